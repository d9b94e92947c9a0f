//! Status of the system, as known to the instance that answers.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::SystemTime;

use serde::{Deserialize, Serialize};

use crate::directory::Share;
use crate::{id, note, number};

/// State of one instance.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Instance {
    /// Name of the instance.
    pub name: id::Instance,
    /// Data centre that the instance is in.
    pub data_centre: id::DataCentre,
    /// Region that the instance is in.
    pub region: id::Region,
    /// Address for callers.
    pub callers: SocketAddr,
    /// Address for operators.
    pub operators: SocketAddr,
    /// Whether the instance is leaving.
    pub leaving: bool,
    /// Whether the instance votes on the control state.
    pub voter: bool,
    /// Revision that the instance has acknowledged, if the answering instance knows it.
    pub revision: Option<number::Revision>,
}

/// Scheduler and backups of a service in a region.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct View {
    /// Service that is scheduled.
    pub service: id::Service,
    /// Region in which the service is scheduled.
    pub region: id::Region,
    /// Number of the view.
    pub view: number::View,
    /// Instance that grants upstream slots to requests.
    pub scheduler: id::Instance,
    /// Instances that keep copies of the scheduler's claims.
    pub backups: Vec<id::Instance>,
}

/// Move of traffic that is under way.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Move {
    /// Note that requested the move.
    pub note: number::Note,
    /// Service whose traffic moves.
    pub service: id::Service,
    /// Version that takes over the traffic.
    pub version: id::Version,
    /// Version that the traffic is taken from.
    pub replaces: id::Version,
    /// Phase of the move.
    pub phase: Arc<str>,
    /// Share of traffic that the new version takes.
    pub share: Share,
    /// Deadline by which the move is done or reverted.
    #[serde(with = "note::time")]
    pub move_by: SystemTime,
    /// Reason for the last step.
    pub reason: Arc<str>,
}

/// Response to `GET /v1/status`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// Instance that answers.
    pub instance: id::Instance,
    /// Role of the answering instance in the control state: `leader`, `follower`, `candidate`,
    /// `learner` or `unformed`.
    pub role: Arc<str>,
    /// Leader, if known.
    pub leader: Option<id::Instance>,
    /// Term of the leader.
    pub term: number::Term,
    /// Index of the last log entry known to be committed.
    pub committed: number::Index,
    /// Revision of the configuration that the answering instance routes by.
    pub revision: number::Revision,
    /// Whether the answering instance's configuration is fresh enough to start new work.
    pub fresh: bool,
    /// Instances known to the control state.
    pub instances: Vec<Instance>,
    /// Voters of the control state, including those that do not respond: a lost voter is listed
    /// until its repair is complete.
    #[serde(default)]
    pub voters: Vec<id::Instance>,
    /// Number of voters that may be lost before there is no quorum; only the leader knows it.
    #[serde(default)]
    pub losses_borne: Option<usize>,
    /// Schedulers and backups of all services.
    pub views: Vec<View>,
    /// Moves that are under way.
    pub moves: Vec<Move>,
}
