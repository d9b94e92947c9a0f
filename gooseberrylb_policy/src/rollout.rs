//! Decides when a rollout takes its next step.
//!
//! It handles releases that are bad at once, late, under load or on one route, and good releases
//! during bursts or while upstreams fail. The release gets a small share of the requests until
//! half of the window is over, so that one that turns bad late has had few of them; then it gets
//! all, unless there is evidence against it. The code is pure: the caller passes in the time and
//! what the dispatcher observed.

use std::sync::Arc;
use std::time::{Duration, SystemTime};

use gooseberrylb_config::directory::rollout::{Rollout, Stage, Step};
use gooseberrylb_config::id;

use crate::moves::evidence::Counts;

/// Share of the window after which a release without evidence against it takes all requests. The
/// rest is for the requests at other upstreams to end.
const TRIAL_SHARE: f64 = 0.5;

/// Share of the window that is kept free at its end.
const END_MARGIN_SHARE: f64 = 0.1;

/// Evidence from which on a release is not given all requests; the same as for moves.
const MAX_DOUBT: f64 = 5.0;

/// Number of requests that must have ended at a release before it is given all, if it got that
/// many.
const MIN_REQUESTS: u64 = 20;

/// Part of the release's expected requests that suffices if it is less than [`MIN_REQUESTS`]; the
/// others may still be in flight.
const MIN_ENDED_SHARE: f64 = 0.5;

/// Smallest ratio of the release's slots to the others' with which it can carry the service.
const MIN_SLOT_RATIO: f64 = 0.5;

/// What the dispatcher observed of a rollout.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Observation {
    /// Slots of the upstreams that run the release.
    pub release_slots: u32,
    /// Slots of the other upstreams, without releases that were rolled back before.
    pub other_slots: u32,
    /// Requests of the service since the trial of the release began.
    pub requests: u64,
    /// Counts of the requests that ended at the release.
    pub release_counts: Counts,
    /// Evidence against the release.
    pub doubt: f64,
    /// Description of the strongest evidence against the release; empty if there is none.
    pub leading: Arc<str>,
    /// Proof that the release is bad, once there is one.
    pub proof: Option<Arc<str>>,
    /// Number of requests that run at other upstreams.
    pub running_elsewhere: usize,
    /// Share of the requests that the release gets while it is on trial.
    pub share: f64,
}

/// Returns the next step of a rollout, if one is due. `lease` is how long an entry without contact
/// to the leader may still act on an earlier stage.
pub fn decide(
    service: &id::Service,
    rollout: &Rollout,
    observation: &Observation,
    lease: Duration,
    wall: SystemTime,
) -> Option<Step> {
    let step = |stage, reason: String| {
        Some(Step {
            service: service.clone(),
            number: rollout.steps + 1,
            stage,
            reason: reason.into(),
            at: wall,
        })
    };
    if rollout.stage.is_over() {
        return None;
    }
    if let Some(proof) = &observation.proof {
        return step(Stage::RolledBack, proof.to_string());
    }
    let window = rollout.finish_by.duration_since(rollout.accepted);
    let window = window.unwrap_or_default();
    let deadline = rollout.finish_by - window.mul_f64(END_MARGIN_SHARE);
    match rollout.stage {
        Stage::Waiting if observation.release_slots > 0 => {
            let reason = format!("{} slots of it are listed", observation.release_slots);
            step(Stage::Trying, reason)
        }
        Stage::Waiting if wall >= deadline => {
            let reason = format!("no upstream of {} was listed in time", rollout.release);
            step(Stage::RolledBack, reason)
        }
        Stage::Trying if wall >= rollout.accepted + window.mul_f64(TRIAL_SHARE) => {
            match obstacle(observation) {
                None => {
                    let (counts, doubt) = (observation.release_counts, observation.doubt);
                    let reason = format!("{counts}, evidence against it {doubt:.2}");
                    step(Stage::Draining, reason)
                }
                Some(obstacle) if wall >= deadline => step(Stage::RolledBack, obstacle),
                Some(_) => None,
            }
        }
        Stage::Draining if wall >= rollout.since + lease && observation.running_elsewhere == 0 => {
            step(Stage::Completed, "no request is elsewhere".to_owned())
        }
        Stage::Waiting | Stage::Trying | Stage::Draining | Stage::Completed | Stage::RolledBack => {
            None
        }
    }
}

/// Returns the reason that keeps a release from being given all requests, if there is one.
fn obstacle(observation: &Observation) -> Option<String> {
    let expected = observation.requests as f64 * observation.share * MIN_ENDED_SHARE;
    let min_requests = MIN_REQUESTS.min(expected as u64);
    let slots = (observation.release_slots, observation.other_slots);
    if observation.doubt >= MAX_DOUBT {
        let (doubt, leading) = (observation.doubt, &observation.leading);
        Some(format!("not cleared: evidence {doubt:.1}; {leading}"))
    } else if observation.release_counts.requests < min_requests {
        let counts = observation.release_counts;
        Some(format!(
            "too little to judge: {counts}, {min_requests} are needed"
        ))
    } else if f64::from(slots.0) < f64::from(slots.1) * MIN_SLOT_RATIO {
        let (own, others) = slots;
        Some(format!("its {own} slots cannot carry what {others} do"))
    } else {
        None
    }
}
