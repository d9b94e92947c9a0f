//! Traffic thread, which schedules requests.
//!
//! The thread hosts the schedulers and backups that the configuration places on this instance, and
//! forwards the requests of this instance's entry to the schedulers of their cells.

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
mod notices;
mod poller;
mod rpc;
mod runner;
mod thread;
mod trials;

pub use thread::spawn;

/// Command from the entry to the traffic thread.
pub enum Command {
    /// Obtain a decision on a request.
    Enqueue {
        /// Cell of the request.
        cell: Cell,
        /// Request to decide on.
        request: Box<Request>,
        /// Receives the decision; dropping its receiver withdraws the request.
        reply: oneshot::Sender<Decision>,
    },
    /// A request is about to be dispatched.
    Dispatched {
        /// Cell of the request.
        cell: Cell,
        /// Request and its grant.
        running: Box<Running>,
    },
    /// A dispatched request ended.
    End {
        /// Cell of the request.
        cell: Cell,
        /// Details of the end.
        end: Box<End>,
    },
    /// A granted request has not been dispatched and will not be.
    Withdraw {
        /// Cell of the request.
        cell: Cell,
        /// Id of the request.
        id: Id,
    },
}

/// Sends commands to the traffic thread from any other thread.
#[derive(Clone)]
pub struct Handle(Sender<Command>);

impl Handle {
    /// Creates a handle and the receiver for the traffic thread.
    pub fn new() -> (Self, Receiver<Command>) {
        let (commands, receiver) = async_channel::unbounded();
        (Self(commands), receiver)
    }

    /// Requests a decision; dropping the returned receiver withdraws the request.
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

    /// Reports that a request is about to be dispatched.
    pub fn dispatched(&self, cell: Cell, running: Running) {
        self.send(Command::Dispatched {
            cell,
            running: Box::new(running),
        });
    }

    /// Reports the end of a dispatched request.
    pub fn end(&self, cell: Cell, end: End) {
        self.send(Command::End {
            cell,
            end: Box::new(end),
        });
    }

    /// Withdraws a granted request that has not been dispatched.
    pub fn withdraw(&self, cell: Cell, id: Id) {
        self.send(Command::Withdraw { cell, id });
    }

    fn send(&self, command: Command) {
        // The channel needs no bound of its own, since the number of requests from callers is
        // limited. It closes only at the end of the process, so a failure can be ignored.
        self.0.try_send(command).ok();
    }
}

/// Parameters of the traffic thread.
pub struct Start {
    /// Identity of this instance.
    pub identity: Identity,
    /// Settings, which may override the addresses that peers publish.
    pub settings: Arc<Settings>,
    /// Source of time.
    pub clock: Arc<dyn Clock>,
    /// Configuration published by the control thread.
    pub published: Published,
    /// Links from other instances that have completed the handshake.
    pub accepted: Receiver<Accepted>,
    /// Commands from the entry.
    pub commands: Receiver<Command>,
    /// Receives the reports on held claims and on versions under a move.
    pub control: control::Handle,
}
