//! What a service learns from how its requests end.

use std::time::{Duration, Instant};

use gooseberrylb_config::id;

use super::Service;
use super::queue::InFlight;
use crate::dispatch::rates::{NEWEST_WEIGHT, POOLED_NEWEST_WEIGHT, update_average};
use crate::dispatch::release::Completion;
use crate::dispatch::upstream::{Exclusion, Failure};
use crate::dispatch::{Key, Outcome};

impl Service {
    /// Records that the upstream of a running request has been silent for longer than expected. One that
    /// has served others since it got the request is slow with this one, and counts as failed only
    /// if it is with many; otherwise it may serve nobody.
    pub(in crate::dispatch) fn mark_silent(&mut self, key: &Key, now: Instant) {
        let Some(run) = self.running.get_mut(key).filter(|run| !run.silent) else {
            return;
        };
        run.silent = true;
        let (name, since, route) = (run.upstream.clone(), run.since, run.route.clone());
        let expected = route.map_or(0.0, |route| {
            let expected = self.failures.expected(&route, &name, now);
            self.failures.record(&route, &name, true, now);
            expected
        });
        let ejection = self.state(&name).and_then(|state| {
            let serves_others = state.last_served.is_some_and(|at| at > since);
            match serves_others {
                true => state.health.record_slow(expected, now),
                false => state.health.record_failure(0.0, now),
            }
        });
        self.record_exclusion(&name, key, Failure::Silent, ejection);
        self.record_outcome(key, None, now);
    }

    /// Reports the outcome of a request to the rollout; `None` means that it is silent for too
    /// long.
    fn record_outcome(&mut self, key: &Key, outcome: Option<&Outcome>, now: Instant) {
        let (Some(release), Some(run)) = (&mut self.release, self.running.get(key)) else {
            return;
        };
        let rest = match outcome {
            Some(Outcome::Served { rest, .. }) => *rest,
            Some(Outcome::Full | Outcome::Failed | Outcome::Dropped | Outcome::Refused) | None => {
                Duration::ZERO
            }
        };
        // A silent request was recorded when it became silent.
        if run.silent && outcome.is_some() {
            return;
        }
        let mut states = self.upstreams.iter();
        if let Some(state) = states.find(|state| state.upstream.name == run.upstream) {
            let completion = Completion {
                upstream: &state.upstream,
                route: run.route.as_deref(),
                prompt: run.prompt,
                running: now
                    .checked_sub(rest)
                    .and_then(|first| state.occupancy.peak(run.since, first)),
            };
            release.record_outcome(&completion, outcome, now);
        }
    }

    /// Removes a queued or running request that ended, and learns from its outcome.
    pub(in crate::dispatch) fn finish(&mut self, key: &Key, outcome: Outcome, now: Instant) {
        self.withdraw(key);
        self.record_outcome(key, Some(&outcome), now);
        let Some(run) = self.running.remove(key) else {
            return;
        };
        let expected = self.record_end(&run, &outcome, now);
        let mut pooled = self.pooled;
        let in_rollout = self.release.is_some();
        let mut exclusion = (Failure::Failed, None);
        if let Some(state) = self.state(&run.upstream) {
            state.set_running(state.running.saturating_sub(1), in_rollout, now);
            state.tokens = state.tokens.saturating_sub(run.tokens);
            match outcome {
                Outcome::Served { .. } => {
                    state.record_served(expected, run.since, now);
                    let (prompt, prefill_wait) = (run.prompt, run.prefill_wait);
                    state
                        .rates
                        .update(prompt, prefill_wait, &outcome, NEWEST_WEIGHT);
                    pooled.update(prompt, prefill_wait, &outcome, POOLED_NEWEST_WEIGHT);
                }
                Outcome::Full => state.record_full(now),
                // A silent request was counted when it became silent.
                Outcome::Failed if run.silent => {}
                Outcome::Failed => exclusion.1 = state.health.record_failure(expected, now),
                Outcome::Refused => {
                    let ejection = state.health.record_failure(0.0, now);
                    exclusion = (Failure::Refused, ejection.max(state.record_refused(now)));
                }
                Outcome::Dropped => {}
            }
        }
        let (failure, time) = exclusion;
        self.record_exclusion(&run.upstream, key, failure, time);
        self.pooled = pooled;
        if let Outcome::Served { first, rest, .. } = outcome
            && run.prompt == 0
            && let Some(route) = &run.route
        {
            self.copies.record(route, &run.upstream, first + rest);
        }
        if let Outcome::Served { .. } = outcome {
            let slot_seconds = now.saturating_duration_since(run.since).as_secs_f64();
            update_average(&mut self.slot_seconds, slot_seconds, POOLED_NEWEST_WEIGHT);
        }
    }

    /// Records the end of a request for the comparison of upstreams. Returns the share of such requests
    /// that fail at other upstreams.
    fn record_end(&mut self, run: &InFlight, outcome: &Outcome, now: Instant) -> f64 {
        let (Some(route), Some(failed)) = (&run.route, is_failure(outcome)) else {
            return 0.0;
        };
        if run.silent {
            return 0.0;
        }
        let expected = self.failures.expected(route, &run.upstream, now);
        self.failures.record(route, &run.upstream, failed, now);
        expected
    }

    /// Records that an upstream gets no requests for a time, if there is one.
    fn record_exclusion(
        &mut self,
        upstream: &id::Upstream,
        key: &Key,
        failure: Failure,
        time: Option<Duration>,
    ) {
        self.exclusions.extend(time.map(|time| Exclusion {
            upstream: upstream.clone(),
            entry: key.entry.clone(),
            failure,
            time,
        }));
    }

    /// Returns the decisions to grant upstreams nothing for a while since the last call.
    pub(in crate::dispatch) fn take_exclusions(&mut self) -> Vec<Exclusion> {
        std::mem::take(&mut self.exclusions)
    }
}

/// Whether an outcome is a failure of the upstream or a success; `None` if it is neither.
fn is_failure(outcome: &Outcome) -> Option<bool> {
    match outcome {
        Outcome::Served { .. } => Some(false),
        Outcome::Failed => Some(true),
        Outcome::Full | Outcome::Dropped | Outcome::Refused => None,
    }
}
