//! The control thread, which takes part in the replicated log, keeps this instance's copy of the
//! configuration and, on the leader, runs the tasks that only the leader has. Other threads send it
//! requests through a [`Handle`].

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};

use async_channel::{Receiver, Sender};
use futures::channel::oneshot;
use gooseberrylb_config::clock::Clock;
use gooseberrylb_config::directory;
use gooseberrylb_config::id;
use gooseberrylb_config::settings::Settings;
use gooseberrylb_control::journal::{Journal, Recovered};
use gooseberrylb_control::state::{Command, Reply};
use gooseberrylb_policy::moves::evidence::Report;
use gooseberrylb_wire::handshake::Key;
use gooseberrylb_wire::message::Holding;
use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::gateway;
use crate::published::Published;

mod applied;
mod core;
mod disk;
pub mod dispatch;
pub mod evacuation;
mod feed;
#[cfg(test)]
mod fixture;
mod follow;
pub mod homes;
mod in_flight;
mod lead;
mod links;
mod list;
mod listening;
mod moves;
mod peers;
mod query;
mod relay;
mod repair;
mod rollout;
mod rpc;
mod thread;
mod voters;

pub use core::Core;
pub use links::Links;
pub use peers::Accepted;
pub use query::{Answer, Question};
pub use thread::spawn;

/// Identity of this instance.
#[derive(Debug, Clone)]
pub struct Identity {
    /// Name of the instance.
    pub name: id::Instance,
    /// Start time of the process, in milliseconds since 1970.
    pub incarnation: u64,
    /// Addresses and location, as recorded in the directory.
    pub instance: directory::Instance,
    /// Shared key of the cluster, for handshakes between instances.
    pub key: Key,
}

/// Error of a request to the control state.
#[derive(Debug, Clone, PartialEq, Eq, Error, Serialize, Deserialize)]
pub enum Failure {
    /// No leader was reached in time; a proposed command may still be accepted.
    #[error("no leader could be reached; whether the command was accepted is not known")]
    Unreachable,
    /// The instance that received the request is not the leader.
    #[error("this instance does not lead")]
    NotLeader {
        /// Peer address of the leader, if known.
        leader: Option<SocketAddr>,
    },
    /// The log accepts no more entries, because disks of voters are full.
    #[error("the voters' disks take no more entries")]
    Full,
    /// The request cannot be encoded, for example because it is too large.
    #[error("the command cannot be encoded: {0}")]
    Encoding(Arc<str>),
}

/// Request of another thread to the control thread.
pub enum Request {
    /// Propose a command to the replicated log.
    Propose {
        /// Command to be replicated.
        command: Box<Command>,
        /// Channel for the result.
        reply: oneshot::Sender<Result<Reply, Failure>>,
    },
    /// Send the leader a scheduler's evidence on versions under a move.
    Evidence(Box<Report>),
    /// Read the leader's state.
    Query {
        /// What to read.
        question: Question,
        /// Channel for the answer.
        reply: oneshot::Sender<Result<Answer, Failure>>,
    },
}

/// Values set by other threads and sent to the leader with this instance's reports.
#[derive(Debug, Default)]
pub struct Shared {
    /// Number of requests in flight at this instance.
    pub load: AtomicU32,
    /// Whether a planned stop is in progress.
    pub leaving: AtomicBool,
    /// Cells whose claims this instance holds, with the view of each.
    pub holds: Mutex<Vec<Holding>>,
}

/// Sends requests to the control thread from any other thread.
#[derive(Clone)]
pub struct Handle {
    requests: Sender<Request>,
    /// Values for this instance's reports to the leader.
    pub shared: Arc<Shared>,
}

impl Handle {
    /// Returns a new handle and the receiver for the control thread.
    pub fn new() -> (Self, Receiver<Request>) {
        let (requests, receiver) = async_channel::bounded(1024);
        (
            Self {
                requests,
                shared: Arc::default(),
            },
            receiver,
        )
    }

    /// Proposes a command to the replicated log and returns the reply once the voters have accepted
    /// it. Commands are idempotent, so a retry is safe.
    pub async fn propose(&self, command: Command) -> Result<Reply, Failure> {
        let (reply, answer) = oneshot::channel();
        let command = Box::new(command);
        self.send(Request::Propose { command, reply }).await?;
        answer.await.unwrap_or(Err(Failure::Unreachable))
    }

    /// Returns the leader's answer to `question`; [`Question::Status`] is answered by this
    /// instance.
    pub async fn query(&self, question: Question) -> Result<Answer, Failure> {
        let (reply, answer) = oneshot::channel();
        self.send(Request::Query { question, reply }).await?;
        answer.await.unwrap_or(Err(Failure::Unreachable))
    }

    /// Sends the leader a scheduler's evidence. The report is dropped if the queue is full, since a
    /// later report replaces one that is lost.
    pub fn report(&self, report: Report) {
        self.requests
            .try_send(Request::Evidence(Box::new(report)))
            .ok();
    }

    /// Reports from now on that this instance is leaving.
    pub fn leave(&self) {
        self.shared.leaving.store(true, Ordering::SeqCst);
    }

    async fn send(&self, request: Request) -> Result<(), Failure> {
        self.requests
            .send(request)
            .await
            .map_err(|_| Failure::Unreachable)
    }
}

/// Parameters of the control thread.
pub struct Start {
    /// Settings of the instance.
    pub settings: Arc<Settings>,
    /// Identity of this instance.
    pub identity: Identity,
    /// Journal and the state recovered from it, if this instance has a disk.
    pub journal: Option<(Journal, Recovered)>,
    /// Listener for connections of other instances.
    pub listener: std::net::TcpListener,
    /// Receives connections for the traffic plane after their handshake.
    pub traffic: Sender<Accepted>,
    /// Source of the current time.
    pub clock: Arc<dyn Clock>,
    /// Configuration published to the other threads.
    pub published: Published,
    /// Requests of other threads.
    pub requests: Receiver<Request>,
    /// Values for this instance's reports to the leader.
    pub shared: Arc<Shared>,
    /// Parameters of the gateway, if the instance runs on a platform.
    pub gateway: Option<gateway::Start>,
}
