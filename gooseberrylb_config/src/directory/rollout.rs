//! Rollouts: moves of a declared service's traffic to upstreams of another release.

use std::fmt;
use std::sync::Arc;
use std::time::{Duration, SystemTime};

use serde::{Deserialize, Serialize};

use crate::{id, note};

/// How far a rollout has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Stage {
    /// No upstream of the release is there yet.
    Waiting,
    /// A bounded part of the requests goes to the release.
    Trying,
    /// All new requests go to the release, and those at other upstreams end.
    Draining,
    /// No request is at another upstream or will be.
    Completed,
    /// No request goes to the release any more.
    RolledBack,
}

impl Stage {
    /// Whether nothing changes any more.
    pub fn is_over(self) -> bool {
        match self {
            Stage::Waiting | Stage::Trying | Stage::Draining => false,
            Stage::Completed | Stage::RolledBack => true,
        }
    }
}

impl fmt::Display for Stage {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Stage::Waiting => "waiting",
            Stage::Trying => "trying",
            Stage::Draining => "draining",
            Stage::Completed => "completed",
            Stage::RolledBack => "rolled_back",
        })
    }
}

/// A rollout of one service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Rollout {
    /// The release that takes the traffic.
    pub release: Arc<str>,
    /// When it was ordered.
    #[serde(with = "note::time")]
    pub accepted: SystemTime,
    /// By when it is to be over.
    #[serde(with = "note::time")]
    pub finish_by: SystemTime,
    /// How far it has come.
    pub stage: Stage,
    /// The number of its last step.
    pub steps: u32,
    /// When that was.
    #[serde(with = "note::time")]
    pub since: SystemTime,
    /// Why.
    pub reason: Arc<str>,
    /// The releases that were taken back before, whose upstreams may still be listed.
    pub refused: Vec<Arc<str>>,
}

/// The most releases that are remembered as taken back; their upstreams leave within seconds.
const MAX_REFUSED: usize = 16;

/// How long an order that comes again is taken for the one that was accepted; operators give up sooner.
const REPEATED: Duration = Duration::from_secs(10);

impl Rollout {
    /// Makes a rollout that was just ordered.
    pub fn new(release: Arc<str>, accepted: SystemTime, window: Duration) -> Self {
        Self {
            release,
            accepted,
            finish_by: accepted + window,
            stage: Stage::Waiting,
            steps: 0,
            since: accepted,
            reason: Arc::from("ordered"),
            refused: Vec::new(),
        }
    }

    /// Takes over from the rollout before what was taken back.
    pub fn with_refused_from(mut self, earlier: &Rollout) -> Self {
        let mut refused = earlier.refused.clone();
        if earlier.stage == Stage::RolledBack {
            refused.push(earlier.release.clone());
        }
        refused.retain(|release| *release != self.release);
        let excess = refused.len().saturating_sub(MAX_REFUSED);
        self.refused = refused.split_off(excess);
        self
    }

    /// Whether an order for a release at `at` is this rollout's own, sent once more.
    pub fn is_resend(&self, release: &str, at: SystemTime) -> bool {
        *self.release == *release && (!self.stage.is_over() || at < self.accepted + REPEATED)
    }
}

/// A change of a rollout's stage.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Step {
    /// The service.
    pub service: id::Service,
    /// The step's number; only the next one is taken.
    pub number: u32,
    /// The new stage.
    pub stage: Stage,
    /// Why.
    pub reason: Arc<str>,
    /// When it was decided.
    #[serde(with = "note::time")]
    pub at: SystemTime,
}
