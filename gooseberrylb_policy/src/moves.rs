//! Progressive traffic shifting between two versions of a service.
//!
//! A move is planned, tried as a canary on a small share of the traffic, ramped up step by step,
//! and then either completed or reverted. This module defines the state of a move in the control
//! log; the submodules collect evidence, test it, and decide the steps. See `docs/DESIGN.md`.

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

/// The phase of a move.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Phase {
    /// Accepted; any weights that the new version needs are being loaded.
    Planned,
    /// The new version takes a small, bounded share of the traffic.
    Canary,
    /// The share of the new version grows as the evidence allows.
    Ramping,
    /// The new version takes all of the traffic; the old one is kept warm for the watch period.
    Done,
    /// The old version takes all of the traffic again.
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

/// A state transition of a move, as recorded in the control log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Step {
    /// The new version, whose share changes.
    pub version: id::Version,
    /// The number of the step within its move, starting at 1. A step is applied only if it is the
    /// next one, so a new leader neither repeats nor skips a step.
    pub number: u32,
    /// The phase that the move enters.
    pub phase: Phase,
    /// The new version's share from this step on; the replaced version takes the rest.
    pub share: Share,
    /// A description of the reason with its figures.
    pub reason: Arc<str>,
    /// The time of the decision.
    #[serde(with = "note::time")]
    pub at: SystemTime,
}

/// The state of a move, kept in the control state.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Move {
    /// The number of the note that requested the move.
    pub note: number::Note,
    /// The service whose traffic moves.
    pub service: id::Service,
    /// The new version, which takes over the traffic.
    pub version: id::Version,
    /// The old version, which is replaced.
    pub replaces: id::Version,
    /// The deadline by which the move is done or reverted.
    #[serde(with = "note::time")]
    pub move_by: SystemTime,
    /// The time at which the note was accepted.
    #[serde(with = "note::time")]
    pub accepted: SystemTime,
    /// The current phase.
    pub phase: Phase,
    /// The current share of the new version.
    pub share: Share,
    /// The number of steps applied so far.
    pub steps: u32,
    /// The time of the last step, or of the acceptance before the first one.
    #[serde(with = "note::time")]
    pub since: SystemTime,
    /// The reason for the last step.
    pub reason: Arc<str>,
}
