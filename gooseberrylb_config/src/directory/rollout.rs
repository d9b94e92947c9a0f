//! Rollouts, which move a declared service's traffic to upstreams of another release.

use std::fmt;
use std::sync::Arc;
use std::time::{Duration, SystemTime};

use serde::{Deserialize, Serialize};

use crate::{id, note};

/// Stage of a rollout.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Stage {
    /// Waiting for the first upstream of the release.
    Waiting,
    /// The release gets a limited share of the requests.
    Trying,
    /// The release gets all new requests, while those at other upstreams finish.
    Draining,
    /// No request is running or will run at an upstream of another release.
    Completed,
    /// The release gets no requests any more.
    RolledBack,
}

impl Stage {
    /// Whether the rollout has ended.
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

/// Rollout of one service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Rollout {
    /// Release that takes over the traffic.
    pub release: Arc<str>,
    /// Time at which the rollout was ordered.
    #[serde(with = "note::time")]
    pub accepted: SystemTime,
    /// Deadline by which the rollout must have ended.
    #[serde(with = "note::time")]
    pub finish_by: SystemTime,
    /// Current stage.
    pub stage: Stage,
    /// Number of the last step.
    pub steps: u32,
    /// Time of the last step.
    #[serde(with = "note::time")]
    pub since: SystemTime,
    /// Reason for the last step.
    pub reason: Arc<str>,
    /// Releases that earlier rollouts rolled back, whose upstreams may still be listed.
    pub refused: Vec<Arc<str>>,
}

/// Maximum number of rolled-back releases that are remembered; their upstreams leave the list
/// within seconds.
const MAX_REFUSED_RELEASES: usize = 16;

/// Longest duration of a rollout. A later end could not be stored, and every voter would stop at it.
const MAX_WINDOW: Duration = Duration::from_secs(10 * 366 * 24 * 60 * 60);

/// Time after acceptance in which an identical order counts as a resend; operators stop retrying
/// sooner.
const RESEND_WINDOW: Duration = Duration::from_secs(10);

impl Rollout {
    /// Creates a rollout that was just ordered.
    pub fn new(release: Arc<str>, accepted: SystemTime, window: Duration) -> Self {
        Self {
            release,
            accepted,
            finish_by: accepted + window.min(MAX_WINDOW),
            stage: Stage::Waiting,
            steps: 0,
            since: accepted,
            reason: Arc::from("ordered"),
            refused: Vec::new(),
        }
    }

    /// Adds the releases that were rolled back up to and including the `earlier` rollout.
    pub fn with_refused_from(mut self, earlier: &Rollout) -> Self {
        let mut refused = earlier.refused.clone();
        if earlier.stage == Stage::RolledBack {
            refused.push(earlier.release.clone());
        }
        refused.retain(|release| *release != self.release);
        let excess = refused.len().saturating_sub(MAX_REFUSED_RELEASES);
        self.refused = refused.split_off(excess);
        self
    }

    /// Whether an order for `release` at `at` is a resend of the order for this rollout.
    pub fn is_resend(&self, release: &str, at: SystemTime) -> bool {
        *self.release == *release && (!self.stage.is_over() || at < self.accepted + RESEND_WINDOW)
    }
}

/// Change of a rollout's stage.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Step {
    /// Service of the rollout.
    pub service: id::Service,
    /// Number of the step; only the successor of the last step is applied.
    pub number: u32,
    /// New stage.
    pub stage: Stage,
    /// Reason for the step.
    pub reason: Arc<str>,
    /// Time of the decision.
    #[serde(with = "note::time")]
    pub at: SystemTime,
}
