//! When a rollout takes its next step.
//!
//! Load that it answers: a release that is bad at once, late, under load or on one route, and a good one
//! beside bursts and failing upstreams. The release gets a small part of the requests until half of the
//! time is over, so that one that turns bad late has had few; then all of them, unless something speaks
//! against it. Pure: it is told the time and what the dispatcher saw.

use std::sync::Arc;
use std::time::{Duration, SystemTime};

use gooseberrylb_config::directory::rollout::{Rollout, Stage, Step};
use gooseberrylb_config::id;

use crate::moves::evidence::Counts;

/// The part of the time after which a release that nothing speaks against takes all requests. The
/// other half is for those that run elsewhere to end.
const TRIED: f64 = 0.5;

/// The part of the time that is kept free at its end.
const MARGIN: f64 = 0.1;

/// The evidence above which a release is not given all requests; the same as for moves.
const DOUBTFUL: f64 = 5.0;

/// The requests that a release must have ended before it is given all, where there are as many.
const LEAST_REQUESTS: u64 = 20;

/// The part of its share that a release must have got to be judged by fewer; some are still under way.
const LEAST_PART: f64 = 0.5;

/// The least slots of a release, against those of the others, with which it can carry the service.
const LEAST_SLOTS: f64 = 0.5;

/// What the dispatcher saw of a rollout.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Observation {
    /// The slots of the release's upstreams.
    pub release_slots: u32,
    /// The slots of the other upstreams.
    pub other_slots: u32,
    /// The service's requests since the release is tried.
    pub requests: u64,
    /// Those that ended at the release.
    pub on_release: Counts,
    /// The evidence against the release.
    pub doubt: f64,
    /// What speaks most against it; empty while nothing does.
    pub leading: Arc<str>,
    /// The proof that it is bad, once there is one.
    pub proof: Option<Arc<str>>,
    /// The requests that are at other upstreams.
    pub running_elsewhere: usize,
    /// The part of the requests that the release gets while it is tried.
    pub share: f64,
}

/// The next step of a rollout, if one is due. `lease` is how long an entry out of touch may still act on
/// an earlier stage.
pub fn decide(
    service: &id::Service,
    rollout: &Rollout,
    standing: &Observation,
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
    if let Some(proof) = &standing.proof {
        return step(Stage::RolledBack, proof.to_string());
    }
    let window = rollout.finish_by.duration_since(rollout.accepted);
    let window = window.unwrap_or_default();
    let last = rollout.finish_by - window.mul_f64(MARGIN);
    match rollout.stage {
        Stage::Waiting if standing.release_slots > 0 => {
            let reason = format!("{} slots of it are listed", standing.release_slots);
            step(Stage::Trying, reason)
        }
        Stage::Waiting if wall >= last => {
            let reason = format!("no upstream of {} was listed in time", rollout.release);
            step(Stage::RolledBack, reason)
        }
        Stage::Trying if wall >= rollout.accepted + window.mul_f64(TRIED) => {
            match obstacle(standing) {
                None => {
                    let (counts, doubt) = (standing.on_release, standing.doubt);
                    let reason = format!("{counts}, evidence against it {doubt:.2}");
                    step(Stage::Draining, reason)
                }
                Some(obstacle) if wall >= last => step(Stage::RolledBack, obstacle),
                Some(_) => None,
            }
        }
        Stage::Draining if wall >= rollout.since + lease && standing.running_elsewhere == 0 => {
            step(Stage::Completed, "no request is elsewhere".to_owned())
        }
        Stage::Waiting | Stage::Trying | Stage::Draining | Stage::Completed | Stage::RolledBack => {
            None
        }
    }
}

/// What keeps a release from being given all requests.
fn obstacle(standing: &Observation) -> Option<String> {
    let expected = standing.requests as f64 * standing.share * LEAST_PART;
    let least = LEAST_REQUESTS.min(expected as u64);
    let slots = (standing.release_slots, standing.other_slots);
    if standing.doubt >= DOUBTFUL {
        let (doubt, leading) = (standing.doubt, &standing.leading);
        Some(format!("not cleared: evidence {doubt:.1}; {leading}"))
    } else if standing.on_release.requests < least {
        let counts = standing.on_release;
        Some(format!("too little to judge: {counts}, {least} are needed"))
    } else if f64::from(slots.0) < f64::from(slots.1) * LEAST_SLOTS {
        let (own, others) = slots;
        Some(format!("its {own} slots cannot carry what {others} do"))
    } else {
        None
    }
}
