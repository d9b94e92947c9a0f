//! Moves of traffic from one version to another: planned, tried on little traffic, widened, then
//! done or taken back. See `docs/DESIGN.md`.

use std::fmt;
use std::sync::Arc;
use std::time::SystemTime;

use gooseberrylb_config::directory::Share;
use gooseberrylb_config::id;
use gooseberrylb_config::note;
use gooseberrylb_config::number;
use serde::{Deserialize, Serialize};

pub mod breaker;
pub mod controller;
pub mod evidence;
pub mod order;
pub mod plan;
pub mod sequential;
pub mod trial;
pub mod weights;

pub(crate) mod baseline;
mod meter;
mod scope;

/// How far a move has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Phase {
    /// Accepted; weights are being loaded where there are any.
    Planned,
    /// The new version takes a bounded small share.
    Canary,
    /// The new version's share grows as evidence allows.
    Ramping,
    /// The new version has all of the traffic; the old one is kept warm for a while.
    Done,
    /// The old version has all of the traffic again.
    Reverted,
}

impl fmt::Display for Phase {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Phase::Planned => "planned",
            Phase::Canary => "canary",
            Phase::Ramping => "ramping",
            Phase::Done => "done",
            Phase::Reverted => "reverted",
        })
    }
}

/// One change of a move, as the control log records it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Step {
    /// The version that takes or gives back traffic.
    pub version: id::Version,
    /// The number of the step within its move; the first is 1. A step is applied only when it is
    /// the next one, so that a new leader neither repeats nor forgets a step.
    pub number: u32,
    /// The phase that the move comes to.
    pub phase: Phase,
    /// The share that the new version takes from now on; the replaced one takes the rest.
    pub share: Share,
    /// Why, in words and figures.
    pub reason: Arc<str>,
    /// When it was decided.
    #[serde(with = "note::time")]
    pub at: SystemTime,
}

/// A move and how far it has come; it lives in the control state.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Move {
    /// The note that asked for it.
    pub note: number::Note,
    /// The service.
    pub service: id::Service,
    /// The version that takes traffic.
    pub version: id::Version,
    /// The version that gives it.
    pub replaces: id::Version,
    /// The time by which it is done or reverted.
    #[serde(with = "note::time")]
    pub move_by: SystemTime,
    /// When the note was accepted.
    #[serde(with = "note::time")]
    pub accepted: SystemTime,
    /// How far it has come.
    pub phase: Phase,
    /// The share that the new version takes.
    pub share: Share,
    /// The number of steps taken.
    pub steps: u32,
    /// When the last step was taken.
    #[serde(with = "note::time")]
    pub since: SystemTime,
    /// Why the last step was taken.
    pub reason: Arc<str>,
}
