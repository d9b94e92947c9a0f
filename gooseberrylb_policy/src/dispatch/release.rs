//! What a dispatcher does about a rollout of its service: which upstreams requests may go to, and
//! whether the new release shows itself bad. It is judged as versions under a move are.

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

/// Under these names the trial knows the release and all others.
const RELEASE: &str = "release";
const OTHERS: &str = "others";

/// The route under which requests stand whose route's name cannot be used.
const UNNAMED: &str = "unnamed";

/// The routes that are judged apart; more would take each of them too long to show anything.
const MAX_ROUTES: usize = 4;

/// The data centres that are judged apart.
const MAX_DATA_CENTRES: usize = 4;

/// The requests that may run on a release of which nothing is known yet.
const FIRST_OUTSTANDING: u64 = 4;

/// The most that a release which got less than its share may make up for at once, in requests.
const MAX_CREDIT: f64 = 2.0;

/// What ended at an upstream.
pub(super) struct Ended<'a> {
    /// The upstream.
    pub upstream: &'a Upstream,
    /// The route, where it is known.
    pub route: Option<&'a str>,
    /// The tokens of the prompt.
    pub prompt: u64,
    /// The most that ran at the upstream at once until its first event, where known.
    pub running: Option<u32>,
}

/// A rollout as its service's dispatcher sees it.
#[derive(Debug)]
pub(super) struct Release {
    rollout: Rollout,
    trial: Trial,
    /// The part of the requests that the release gets while it is tried.
    share: f64,
    /// What it may have of that now, in requests.
    credit: f64,
    /// The service's requests since the release is tried.
    requests: u64,
    proof: Option<Arc<str>>,
}

impl Release {
    pub(super) fn new(service: &id::Service, rollout: &Rollout, share: f64, now: Instant) -> Self {
        let terms = Parameters {
            version: name(RELEASE),
            replaces: name(OTHERS),
            scopes: trial::scope_count(MAX_ROUTES, MAX_DATA_CENTRES),
            limit: breaker::trip_limit(1),
            initial_outstanding: FIRST_OUTSTANDING,
        };
        let standing = as_move(service, rollout);
        Self {
            trial: Trial::new(terms, Baseline::default(), now, &standing),
            rollout: rollout.clone(),
            share,
            credit: 0.0,
            requests: 0,
            proof: None,
        }
    }

    /// Whether this is about the same order.
    pub(super) fn is_of(&self, rollout: &Rollout) -> bool {
        self.rollout.release == rollout.release && self.rollout.accepted == rollout.accepted
    }

    /// Takes notice of the rollout's latest step.
    pub(super) fn follow(&mut self, service: &id::Service, rollout: &Rollout, share: f64) {
        self.trial.update(&as_move(service, rollout));
        self.rollout = rollout.clone();
        self.share = share;
    }

    /// Takes the upstreams that may be used.
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

    /// Whether an upstream runs a release that was taken back before.
    pub(super) fn is_refused(&self, upstream: &Upstream) -> bool {
        self.rollout.refused.contains(&upstream.release)
    }

    /// Whether the next request may go to the release, while `running` do; none where it must.
    pub(super) fn allows(&self, running: u32) -> Option<bool> {
        match self.rollout.stage {
            _ if self.proof.is_some() => Some(false),
            Stage::Waiting | Stage::RolledBack => Some(false),
            Stage::Trying => Some(self.credit >= 1.0 && self.trial.allows(running)),
            Stage::Draining | Stage::Completed => None,
        }
    }

    /// Counts a request that was granted.
    pub(super) fn granted(&mut self, upstream: &Upstream) {
        if self.rollout.stage != Stage::Trying {
            return;
        }
        self.requests += 1;
        self.credit = (self.credit + self.share).min(MAX_CREDIT);
        if self.is_release(upstream) {
            self.credit -= 1.0;
        }
    }

    /// Takes in a request that was answered, failed, or is silent for too long.
    pub(super) fn ended(&mut self, ended: &Ended<'_>, outcome: Option<&Outcome>, now: Instant) {
        let (failed, first, rest, events) = match outcome {
            Some(Outcome::Served {
                first,
                rest,
                events,
            }) => (false, *first, *rest, *events),
            Some(Outcome::Failed) | None => (true, Duration::ZERO, Duration::ZERO, 0),
            Some(Outcome::Full | Outcome::Dropped) => return,
        };
        let Some(route) = ended.route else {
            return;
        };
        let is_release = self.is_release(ended.upstream);
        let sample = Sample {
            version: name(if is_release { RELEASE } else { OTHERS }),
            route: id::Route::new(route).unwrap_or_else(|_| route_name(UNNAMED)),
            upstream: ended.upstream.name.clone(),
            running: ended.running,
            data_centre: data_centre(&ended.upstream.data_centre),
            failed,
            figures: Figures {
                first_token: first,
                decode: rest,
                prompt: number::Tokens(ended.prompt),
                cached: number::Tokens(0),
                output: number::Tokens(events),
            },
        };
        if let Some(trip) = self.trial.record(now, &sample) {
            self.proof = Some(trip.reason);
        }
    }

    /// What was seen, with `running_elsewhere` requests at other upstreams.
    pub(super) fn observation<'a>(
        &self,
        upstreams: impl Iterator<Item = &'a Upstream>,
        running_elsewhere: usize,
        now: Instant,
    ) -> Observation {
        let finding = self.trial.finding(now);
        let mut standing = Observation {
            requests: self.requests,
            on_release: finding.total,
            doubt: finding.doubt,
            leading: finding.leading,
            proof: self.proof.clone(),
            running_elsewhere,
            share: self.share,
            ..Observation::default()
        };
        for upstream in upstreams {
            match self.is_release(upstream) {
                true => standing.release_slots += upstream.slots,
                false if self.is_refused(upstream) => {}
                false => standing.other_slots += upstream.slots,
            }
        }
        standing
    }
}

/// The rollout as a move, which is how trials know it.
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
    id::Version::new(text).expect("a constant name is well formed")
}

fn route_name(text: &str) -> id::Route {
    id::Route::new(text).expect("a constant name is well formed")
}

fn data_centre(text: &str) -> id::DataCentre {
    let unnamed = || id::DataCentre::new(UNNAMED).expect("a constant name is well formed");
    id::DataCentre::new(text).unwrap_or_else(|_| unnamed())
}
