//! The thread that schedules requests: it hosts the schedulers and backups that the configuration
//! places here, and carries this instance's own requests to theirs.

use std::sync::Arc;

use async_channel::{Receiver, Sender};
use futures::channel::oneshot;
use gooseberrylb_config::clock::Clock;
use gooseberrylb_config::directory::Cell;
use gooseberrylb_config::settings::Settings;
use gooseberrylb_policy::request::{Id, Request};
use gooseberrylb_policy::scheduler::{Decision, End, Running};

use crate::control::{self, Accepted, Identity};
use crate::published::Published;

mod client;
mod copier;
mod host;
mod hosted;
mod looks;
mod notices;
mod rpc;
mod thread;
mod trials;

pub use thread::spawn;

/// What entries ask of the traffic thread.
pub enum Command {
    /// Leave to dispatch a request.
    Enqueue {
        /// The cell that schedules it.
        cell: Cell,
        /// The request.
        request: Box<Request>,
        /// Where the decision goes; once it is dropped, the request is withdrawn.
        reply: oneshot::Sender<Decision>,
    },
    /// A request is about to be dispatched.
    Dispatched {
        /// The cell.
        cell: Cell,
        /// The request and its grant.
        running: Box<Running>,
    },
    /// A dispatched request ended.
    End {
        /// The cell.
        cell: Cell,
        /// How.
        end: Box<End>,
    },
    /// A granted request was not dispatched and will not be.
    Withdraw {
        /// The cell.
        cell: Cell,
        /// The request.
        id: Id,
    },
}

/// Asks the traffic thread from any other thread.
#[derive(Clone)]
pub struct Handle(Sender<Command>);

impl Handle {
    /// Makes a handle, and the end that the traffic thread reads.
    pub fn new() -> (Self, Receiver<Command>) {
        let (commands, receiver) = async_channel::unbounded();
        (Self(commands), receiver)
    }

    /// Asks for leave to dispatch; dropping the receiver withdraws the request.
    pub fn enqueue(&self, cell: Cell, request: Request) -> oneshot::Receiver<Decision> {
        let (reply, decision) = oneshot::channel();
        let request = Box::new(request);
        self.send(Command::Enqueue {
            cell,
            request,
            reply,
        });
        decision
    }

    /// Notes that a request is about to be dispatched.
    pub fn dispatched(&self, cell: Cell, running: Running) {
        self.send(Command::Dispatched {
            cell,
            running: Box::new(running),
        });
    }

    /// Notes how a dispatched request ended.
    pub fn end(&self, cell: Cell, end: End) {
        self.send(Command::End {
            cell,
            end: Box::new(end),
        });
    }

    /// Gives up a granted request that was not dispatched.
    pub fn withdraw(&self, cell: Cell, id: Id) {
        self.send(Command::Withdraw { cell, id });
    }

    fn send(&self, command: Command) {
        // The channel is unbounded, since the callers' requests that fill it are bounded; it closes
        // only with the process.
        self.0.try_send(command).ok();
    }
}

/// What the traffic thread is started with.
pub struct Start {
    /// Who this instance is.
    pub identity: Identity,
    /// The settings, which may name a way to a peer that differs from the peer's own address.
    pub settings: Arc<Settings>,
    /// The time.
    pub clock: Arc<dyn Clock>,
    /// The configuration.
    pub published: Published,
    /// Links of other instances whose handshake is done.
    pub accepted: Receiver<Accepted>,
    /// What entries ask.
    pub commands: Receiver<Command>,
    /// Where the held claims are reported, and what schedulers see of moves.
    pub control: control::Handle,
}
