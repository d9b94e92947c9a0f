//! Applies a rollout to the placement of its service: which upstreams requests may go to, and
//! whether the evidence against the new release suffices to roll it back. A release is judged in
//! the same way as a version under a move.

use std::sync::Arc;
use std::time::{Duration, Instant};

use gooseberrylb_config::directory::Share;
use gooseberrylb_config::directory::rollout::{Rollout, Stage};
use gooseberrylb_config::{id, number};

use super::{Outcome, Upstream};
use crate::moves::baseline::{Baseline, Engine};
use crate::moves::breaker;
use crate::moves::evidence::Sample;
use crate::moves::trial::{self, Parameters, Trial};
use crate::moves::{Move, Phase};
use crate::request::Figures;
use crate::rollout::Observation;

/// Version names under which the trial compares the release with all others.
const RELEASE: &str = "release";
const OTHERS: &str = "others";

/// Route, or data centre, of requests whose own name is not a valid identifier.
const UNNAMED: &str = "unnamed";

/// Number of routes that are judged separately; with more, each would take too long to show a
/// fault.
const MAX_ROUTES: usize = 4;

/// Number of data centres that are judged separately.
const MAX_DATA_CENTRES: usize = 4;

/// Number of requests that may run on a release of which nothing is known yet.
const INITIAL_OUTSTANDING: u64 = 4;

/// Limit of the credit that a release which got less than its share saves up, in requests.
const MAX_CREDIT: f64 = 2.0;

/// A request that ended, or was silent for too long, at an upstream.
pub(super) struct Completion<'a> {
    /// Upstream that ran it.
    pub upstream: &'a Upstream,
    /// Route of the request, where known.
    pub route: Option<&'a str>,
    /// Length of the prompt, in tokens.
    pub prompt: u64,
    /// Most requests that ran at the upstream at once until its first event, where known.
    pub running: Option<u32>,
}

/// State of one rollout in the dispatcher.
#[derive(Debug, Clone)]
pub(super) struct Release {
    /// Rollout in its latest stage.
    rollout: Rollout,
    /// Comparison of the release with the others.
    trial: Trial,
    /// Share of the requests that the release gets while it is on trial.
    share: f64,
    /// Requests that the release may get now to make up its share.
    credit: f64,
    /// Number of requests granted since the trial began.
    requests: u64,
    /// Proof that the release is bad, once there is one.
    proof: Option<Arc<str>>,
}

impl Release {
    pub(super) fn new(service: &id::Service, rollout: &Rollout, share: f64, now: Instant) -> Self {
        let parameters = Parameters {
            version: name(RELEASE),
            replaces: name(OTHERS),
            scopes: trial::scope_count(MAX_ROUTES, MAX_DATA_CENTRES),
            limit: breaker::trip_limit(1),
            initial_outstanding: INITIAL_OUTSTANDING,
        };
        let order = as_move(service, rollout);
        Self {
            trial: Trial::new(parameters, Baseline::default(), now, &order),
            rollout: rollout.clone(),
            share,
            credit: 0.0,
            requests: 0,
            proof: None,
        }
    }

    /// Whether this is the state of the same rollout order.
    pub(super) fn matches(&self, rollout: &Rollout) -> bool {
        self.rollout.release == rollout.release && self.rollout.accepted == rollout.accepted
    }

    /// Takes over the rollout's latest step.
    pub(super) fn update(&mut self, service: &id::Service, rollout: &Rollout, share: f64) {
        self.trial.update(&as_move(service, rollout));
        self.rollout = rollout.clone();
        self.share = share;
    }

    /// Replaces the usable upstreams.
    pub(super) fn set_upstreams<'a>(&mut self, upstreams: impl Iterator<Item = &'a Upstream>) {
        let (new, old): (Vec<_>, Vec<_>) = upstreams.partition(|u| self.is_release(u));
        let engines = |list: Vec<&Upstream>| -> Vec<Engine> {
            let engine = |u: &Upstream| Engine {
                name: u.name.clone(),
                data_centre: u.data_centre.clone(),
                slots: u.slots,
            };
            list.into_iter().map(engine).collect()
        };
        self.trial.set_engines(&engines(new), &engines(old));
    }

    /// Whether an upstream runs the release.
    pub(super) fn is_release(&self, upstream: &Upstream) -> bool {
        upstream.release == self.rollout.release
    }

    /// Whether an upstream runs a release that was rolled back before.
    pub(super) fn is_rolled_back(&self, upstream: &Upstream) -> bool {
        self.rollout.refused.contains(&upstream.release)
    }

    /// Returns whether the next request may go to the release, while `running` requests do; `None`
    /// if it must.
    pub(super) fn allows(&self, running: u32) -> Option<bool> {
        match self.rollout.stage {
            _ if self.proof.is_some() => Some(false),
            Stage::Waiting | Stage::RolledBack => Some(false),
            Stage::Trying => Some(self.credit >= 1.0 && self.trial.allows(running)),
            Stage::Draining | Stage::Completed => None,
        }
    }

    /// Updates the release's credit for a request that was granted.
    pub(super) fn record_grant(&mut self, upstream: &Upstream) {
        if self.rollout.stage != Stage::Trying {
            return;
        }
        self.requests += 1;
        self.credit = (self.credit + self.share).min(MAX_CREDIT);
        if self.is_release(upstream) {
            self.credit -= 1.0;
        }
    }

    /// Records a request that was answered or failed; an `outcome` of `None` is one that is silent
    /// for too long.
    pub(super) fn record_outcome(
        &mut self,
        completion: &Completion<'_>,
        outcome: Option<&Outcome>,
        now: Instant,
    ) {
        let (failed, first, rest, events) = match outcome {
            Some(Outcome::Served {
                first,
                rest,
                events,
            }) => (false, *first, *rest, *events),
            Some(Outcome::Failed | Outcome::Refused) | None => {
                (true, Duration::ZERO, Duration::ZERO, 0)
            }
            Some(Outcome::Full | Outcome::Dropped) => return,
        };
        let Some(route) = completion.route else {
            return;
        };
        let is_release = self.is_release(completion.upstream);
        let sample = Sample {
            version: name(if is_release { RELEASE } else { OTHERS }),
            route: id::Route::new(route).unwrap_or_else(|_| route_name(UNNAMED)),
            upstream: completion.upstream.name.clone(),
            running: completion.running,
            data_centre: data_centre(&completion.upstream.data_centre),
            failed,
            figures: Figures {
                first_token: first,
                decode: rest,
                prompt: number::Tokens(completion.prompt),
                cached: number::Tokens(0),
                output: number::Tokens(events),
            },
        };
        if let Some(trip) = self.trial.record(now, &sample) {
            self.proof = Some(trip.reason);
        }
    }

    /// Returns what was observed so far, with `running_elsewhere` requests at other upstreams.
    pub(super) fn observation<'a>(
        &self,
        upstreams: impl Iterator<Item = &'a Upstream>,
        running_elsewhere: usize,
        now: Instant,
    ) -> Observation {
        let finding = self.trial.finding(now);
        let mut observation = Observation {
            requests: self.requests,
            release_counts: finding.total,
            doubt: finding.doubt,
            leading: finding.leading,
            proof: self.proof.clone(),
            running_elsewhere,
            share: self.share,
            ..Observation::default()
        };
        for upstream in upstreams {
            match self.is_release(upstream) {
                true => observation.release_slots += upstream.slots,
                false if self.is_rolled_back(upstream) => {}
                false => observation.other_slots += upstream.slots,
            }
        }
        observation
    }
}

/// Returns the rollout in the form of a move, which is what trials work on.
fn as_move(service: &id::Service, rollout: &Rollout) -> Move {
    let (phase, share) = match rollout.stage {
        Stage::Waiting => (Phase::Planned, Share::NONE),
        Stage::Trying => (Phase::Canary, Share(1_000)),
        Stage::Draining | Stage::Completed => (Phase::Done, Share::WHOLE),
        Stage::RolledBack => (Phase::Reverted, Share::NONE),
    };
    Move {
        note: number::Note(0),
        service: service.clone(),
        version: name(RELEASE),
        replaces: name(OTHERS),
        move_by: rollout.finish_by,
        accepted: rollout.accepted,
        phase,
        share,
        steps: rollout.steps,
        since: rollout.since,
        reason: rollout.reason.clone(),
    }
}

fn name(text: &str) -> id::Version {
    id::Version::new(text).expect("constant name is well formed")
}

fn route_name(text: &str) -> id::Route {
    id::Route::new(text).expect("constant name is well formed")
}

/// Returns the identifier of a data centre, or [`UNNAMED`] if the name is not a valid one.
fn data_centre(text: &str) -> id::DataCentre {
    let unnamed = || id::DataCentre::new(UNNAMED).expect("constant name is well formed");
    id::DataCentre::new(text).unwrap_or_else(|_| unnamed())
}
