//! Choice of the upstream for a request, also under a rollout.

use std::time::{Duration, Instant};

use gooseberrylb_config::directory::rollout::Rollout;
use gooseberrylb_config::id;

use super::queue::InFlight;
use super::{NO_UPSTREAM_PAUSE, Service};
use crate::dispatch::release::Release;
use crate::dispatch::upstream::State;
use crate::dispatch::{Key, Request};
use crate::occupancy::Occupancy;
use crate::rollout::Observation;

/// Time by which a response from another data centre must be expected sooner for the request to go
/// there: bytes between data centres cost, and a round trip takes a few milliseconds.
const CROSS_DATA_CENTRE_COST: Duration = Duration::from_millis(30);

/// Time added to the cost of an upstream that runs as many requests as it has slots, and in
/// proportion otherwise: prefill of one prompt delays the tokens of other requests.
const CONTENTION_COST: Duration = Duration::from_millis(40);

/// Time added to the cost of an upstream on which the first event would be late.
const LATE_COST: Duration = Duration::from_secs(60);

impl Service {
    pub(in crate::dispatch) fn set_rollout(
        &mut self,
        name: &id::Service,
        rollout: Option<&Rollout>,
        share: f64,
        now: Instant,
    ) {
        match (&mut self.release, rollout) {
            (release, None) => {
                *release = None;
                let states = self.upstreams.iter_mut();
                states.for_each(|state| state.occupancy = Occupancy::default());
            }
            (Some(release), Some(rollout)) if release.matches(rollout) => {
                release.update(name, rollout, share);
            }
            (release, Some(rollout)) => {
                let release = release.insert(Release::new(name, rollout, share, now));
                release.set_upstreams(self.upstreams.iter().map(|state| &state.upstream));
            }
        }
    }

    /// Returns what was observed of the rollout, if there is one.
    pub(in crate::dispatch) fn observation(&self, now: Instant) -> Option<Observation> {
        let release = self.release.as_ref()?;
        let at_release = self.running_at(release) as usize;
        let upstreams = self.upstreams.iter().map(|state| &state.upstream);
        // Requests that run at upstreams no longer listed are elsewhere as well.
        Some(release.observation(upstreams, self.running.len() - at_release, now))
    }

    /// Returns the number of requests that run on upstreams of the release.
    pub(super) fn running_at(&self, release: &Release) -> u32 {
        let at = self.upstreams.iter();
        let at = at.filter(|state| release.is_release(&state.upstream));
        at.map(|state| state.running).sum()
    }

    /// Returns a predicate for the upstreams that requests may go to: all, or those that the
    /// rollout's stage allows.
    pub(super) fn eligible(&self) -> impl Fn(&State) -> bool {
        let rule = self.release.as_ref().map(|release| {
            let wanted = release.allows(self.running_at(release)).is_none();
            // If only other upstreams exist, serving takes precedence over the rollout.
            let of_stage = |state: &State| is_eligible(release, wanted, state);
            (release, wanted, self.upstreams.iter().any(of_stage))
        });
        move |state| match rule {
            Some((release, wanted, true)) => is_eligible(release, wanted, state),
            Some((_, _, false)) | None => true,
        }
    }

    /// Whether any upstream has a slot for one more request, whatever its size.
    pub(super) fn has_room(&self, now: Instant) -> bool {
        let eligible = self.eligible();
        let mut usable = self.upstreams.iter().filter(|state| eligible(state));
        usable.any(|state| state.has_room(false, now))
    }

    /// Returns the index of the upstream with room on which the request costs least: the expected
    /// end of the response, with the additions for lateness, contention and distance.
    pub(super) fn choose(
        &self,
        request: &Request,
        objective: Duration,
        now: Instant,
    ) -> Option<usize> {
        let healthy = |state: &State| state.health.limit(state.upstream.slots, now) > 0;
        // If most upstreams fail, ejecting them all would leave none to serve, unless other shards
        // have some.
        let check_health = self.elsewhere.free > 0
            || self.upstreams.iter().filter(|s| healthy(s)).count() * 2 >= self.upstreams.len();
        let tokens = self.profile.tokens(request);
        let best = |eligible: &dyn Fn(&State) -> bool| {
            let candidates = self.upstreams.iter().enumerate();
            candidates
                .filter(|(_, state)| eligible(state) && state.has_room(check_health, now))
                .filter(|(_, state)| state.holds(tokens))
                .filter(|(_, state)| !request.excluded.contains(&state.upstream.name))
                .min_by_key(|(_, state)| self.cost(request, objective, state, now))
                .map(|(i, _)| i)
        };
        let on_trial = self.release.as_ref().and_then(|release| {
            let may_use_release = release.allows(self.running_at(release)) == Some(true);
            let of_release = |state: &State| release.is_release(&state.upstream);
            may_use_release.then(|| best(&of_release)).flatten()
        });
        on_trial.or_else(|| best(&self.eligible()))
    }

    /// Returns the cost of running a request on an upstream, as a time.
    fn cost(
        &self,
        request: &Request,
        objective: Duration,
        state: &State,
        now: Instant,
    ) -> Duration {
        let (first, end) = state.expected_times(request, &self.pooled, now);
        let mut cost = end + CONTENTION_COST * state.running / state.upstream.slots.max(1);
        if first > objective {
            cost += LATE_COST + first;
        }
        if state.upstream.data_centre != request.data_centre {
            cost += CROSS_DATA_CENTRE_COST;
        }
        cost
    }

    /// Grants a copy of a request an upstream that has time for it: a sound one with most of its slots
    /// free that nothing limits, while no request waits and copies are within their share.
    pub(in crate::dispatch) fn place_copy(
        &mut self,
        request: &Request,
        now: Instant,
    ) -> Option<id::Upstream> {
        if !self.queue.is_empty() || self.release.is_some() || !self.copies.allows(now) {
            return None;
        }
        let tokens = self.profile.tokens(request);
        let states = self.upstreams.iter().enumerate();
        let idle = states.filter(|(_, state)| {
            state.has_time(now)
                && state.holds(tokens)
                && !request.excluded.contains(&state.upstream.name)
        });
        let best = idle.min_by_key(|(_, s)| self.cost(request, request.objective, s, now));
        let upstream = best.map(|(index, _)| index)?;
        self.copies.count_copy(now);
        Some(self.grant(request, upstream, now))
    }

    /// Returns the time after which a copy of a running request is due, if one may be sent. Only
    /// requests without a prompt are copied: what an engine has read would be read again.
    pub(in crate::dispatch) fn copy_due(&self, key: &Key) -> Option<Duration> {
        if !self.copies.are_sent() {
            return None;
        }
        let run = self.running.get(key).filter(|run| run.prompt == 0)?;
        let (route, upstream) = (run.route.as_ref()?, &run.upstream);
        let slots: u32 = self
            .upstreams
            .iter()
            .map(|state| state.upstream.slots)
            .sum();
        let running: u32 = self.upstreams.iter().map(|state| state.running).sum();
        let load = f64::from(running) / f64::from(slots.max(1));
        self.copies.due_after(route, upstream, load)
    }

    /// Records a request as running on the upstream of an index, and returns the upstream's name.
    pub(super) fn grant(
        &mut self,
        request: &Request,
        upstream: usize,
        now: Instant,
    ) -> id::Upstream {
        let pooled = self.pooled;
        let state = &mut self.upstreams[upstream];
        let prefill_wait = state.prefill_until.saturating_duration_since(now);
        if request.prompt > 0 {
            state.prefill_until =
                state.prefill_until.max(now) + state.rates.expected_first(request, &pooled);
        }
        state.set_running(state.running + 1, self.release.is_some(), now);
        let tokens = self.profile.tokens(request);
        state.tokens = state.tokens.saturating_add(tokens);
        state.count_against_limit(now);
        self.cold_grants += u64::from(state.is_cold(now));
        if let Some(release) = &mut self.release {
            release.record_grant(&state.upstream);
        }
        let run = InFlight {
            upstream: state.upstream.name.clone(),
            since: now,
            prompt: request.prompt,
            tokens,
            route: Some(request.route.clone()),
            prefill_wait,
            silent: false,
            expires: now + request.patience + NO_UPSTREAM_PAUSE,
        };
        self.running.insert(request.key.clone(), run);
        self.upstreams[upstream].upstream.name.clone()
    }
}

/// Whether an upstream runs the release, if `wanted`, or else one that is neither the release nor
/// rolled back.
fn is_eligible(release: &Release, wanted: bool, state: &State) -> bool {
    release.is_release(&state.upstream) == wanted && !release.is_rolled_back(&state.upstream)
}
