//! The thread that holds this instance's part of the control state, and the handle by which the
//! other threads ask it.

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

mod core;
mod disk;
pub mod dispatch;
mod feed;
mod follow;
mod lead;
mod links;
mod list;
mod moves;
mod peers;
mod query;
mod relay;
mod repair;
mod rollout;
mod rpc;
mod thread;

pub use core::Core;
pub use links::Links;
pub use peers::Accepted;
pub use query::{Answer, Question};
pub use thread::spawn;

/// Who this instance is.
#[derive(Debug, Clone)]
pub struct Identity {
    /// Its name.
    pub name: id::Instance,
    /// Its start, as milliseconds since 1970.
    pub incarnation: u64,
    /// Its addresses and place.
    pub instance: directory::Instance,
    /// The cluster's key.
    pub key: Key,
}

/// Why the control state did not do what it was asked.
#[derive(Debug, Clone, PartialEq, Eq, Error, Serialize, Deserialize)]
pub enum Failure {
    /// No leader could be reached in time.
    #[error("no leader could be reached; whether the command was accepted is not known")]
    Unreachable,
    /// The asked instance does not lead.
    #[error("this instance does not lead")]
    NotLeader {
        /// Where the leader listens for other instances, as far as it is known.
        leader: Option<SocketAddr>,
    },
    /// The voters' disks are full.
    #[error("the voters' disks take no more entries")]
    Full,
    /// The command is larger than an entry may be.
    #[error("the command cannot be encoded: {0}")]
    Encoding(Arc<str>),
}

/// What other threads ask of the control thread.
pub enum Request {
    /// To have a command accepted by the voters.
    Propose {
        /// The command.
        command: Box<Command>,
        /// Where the reply goes.
        reply: oneshot::Sender<Result<Reply, Failure>>,
    },
    /// To have the leader told what a scheduler has seen of versions under a move.
    Evidence(Box<Report>),
    /// To read the leader's state.
    Query {
        /// What is to be read.
        question: Question,
        /// Where the answer goes.
        reply: oneshot::Sender<Result<Answer, Failure>>,
    },
}

/// What other threads tell the leader through this instance's reports.
#[derive(Debug, Default)]
pub struct Shared {
    /// The requests held for callers.
    pub load: AtomicU32,
    /// Whether a planned stop is under way.
    pub leaving: AtomicBool,
    /// The cells whose claims this instance holds.
    pub holds: Mutex<Vec<Holding>>,
}

/// Asks the control thread from any other thread.
#[derive(Clone)]
pub struct Handle {
    requests: Sender<Request>,
    /// What goes into this instance's reports.
    pub shared: Arc<Shared>,
}

impl Handle {
    /// Makes a handle, and the end that the control thread reads.
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

    /// Has a command accepted by the voters; commands are idempotent, so that asking again is safe.
    pub async fn propose(&self, command: Command) -> Result<Reply, Failure> {
        let (reply, answer) = oneshot::channel();
        let command = Box::new(command);
        self.send(Request::Propose { command, reply }).await?;
        answer.await.unwrap_or(Err(Failure::Unreachable))
    }

    /// Reads the leader's state.
    pub async fn query(&self, question: Question) -> Result<Answer, Failure> {
        let (reply, answer) = oneshot::channel();
        self.send(Request::Query { question, reply }).await?;
        answer.await.unwrap_or(Err(Failure::Unreachable))
    }

    /// Tells the leader what a scheduler here has seen; a later report replaces one that is lost.
    pub fn report(&self, report: Report) {
        self.requests
            .try_send(Request::Evidence(Box::new(report)))
            .ok();
    }

    /// Tells the leader that this instance leaves.
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

/// What the control thread is started with.
pub struct Start {
    /// The settings.
    pub settings: Arc<Settings>,
    /// Who this instance is.
    pub identity: Identity,
    /// The journal and what it held, where this instance has a disk.
    pub journal: Option<(Journal, Recovered)>,
    /// The listener for other instances.
    pub listener: std::net::TcpListener,
    /// Where links for traffic go once their handshake is done.
    pub traffic: Sender<Accepted>,
    /// The time.
    pub clock: Arc<dyn Clock>,
    /// Where the configuration is published.
    pub published: Published,
    /// What other threads ask.
    pub requests: Receiver<Request>,
    /// What goes into this instance's reports.
    pub shared: Arc<Shared>,
    /// What serves a platform, where the instance runs on one.
    pub gateway: Option<gateway::Start>,
}
