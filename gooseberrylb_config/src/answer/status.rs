//! How the system stands, as the instance that is asked knows it.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::SystemTime;

use serde::{Deserialize, Serialize};

use crate::directory::Share;
use crate::{id, note, number};

/// One instance.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Instance {
    /// Its name.
    pub name: id::Instance,
    /// The data centre that it is in.
    pub data_centre: id::DataCentre,
    /// The region that it is in.
    pub region: id::Region,
    /// Where callers reach it.
    pub callers: SocketAddr,
    /// Where operators reach it.
    pub operators: SocketAddr,
    /// Whether it is leaving.
    pub leaving: bool,
    /// Whether it votes on the control state.
    pub voter: bool,
    /// The configuration that it has acknowledged, where the answering instance knows.
    pub revision: Option<number::Revision>,
}

/// The scheduler of a service in a region.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct View {
    /// The service.
    pub service: id::Service,
    /// The region.
    pub region: id::Region,
    /// The number of the view.
    pub view: number::View,
    /// The instance that grants.
    pub scheduler: id::Instance,
    /// The instances that hold copies of its claims.
    pub backups: Vec<id::Instance>,
}

/// A move that is under way.
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
    /// How far it has come.
    pub phase: Arc<str>,
    /// The share that the new version takes.
    pub share: Share,
    /// The time by which it is done or reverted.
    #[serde(with = "note::time")]
    pub move_by: SystemTime,
    /// Why its last step was taken.
    pub reason: Arc<str>,
}

/// The answer of `GET /v1/status`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// The instance that answers.
    pub instance: id::Instance,
    /// Its role in the control state: `leader`, `follower`, `candidate`, `learner` or `unformed`.
    pub role: Arc<str>,
    /// The leader, as far as it knows.
    pub leader: Option<id::Instance>,
    /// The leader's term.
    pub term: number::Term,
    /// The last entry of the log that it knows to be committed.
    pub committed: number::Index,
    /// The configuration that it routes by.
    pub revision: number::Revision,
    /// Whether its configuration is fresh, so that it starts new work.
    pub fresh: bool,
    /// The instances.
    pub instances: Vec<Instance>,
    /// The voters of the control state, those that do not answer too: while a lost one is among them
    /// its repair is not over.
    #[serde(default)]
    pub voters: Vec<id::Instance>,
    /// The schedulers.
    pub views: Vec<View>,
    /// The moves that are under way.
    pub moves: Vec<Move>,
}
