//! A request that the scheduler answers for, and how far it has come.

use std::time::Instant;

use super::Grant;
use super::queue::Position;
use crate::request::Request;

/// How far a request has come.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum State {
    /// It stands in the queue.
    Waiting {
        /// Where.
        position: Position,
    },
    /// Another request has its key; it waits for that one to start or end.
    Attached,
    /// Its slot is reserved and its claim on the way to the backups.
    Copying {
        /// The grant to be made.
        grant: Grant,
        /// The batch that its claim is in.
        sequence: u64,
        /// Where it stood in the queue.
        position: Position,
    },
    /// It was granted and may be dispatched.
    Running {
        /// The grant.
        grant: Grant,
        /// Where it stood in the queue; a request taken over stood in none.
        position: Option<Position>,
    },
    /// Its entry died; its slot is kept for a while, since the upstream may still run it.
    Orphaned {
        /// The grant.
        grant: Grant,
    },
}

/// A request that the scheduler answers for.
#[derive(Debug)]
pub struct Call {
    /// The request.
    pub request: Request,
    /// When its caller stops waiting.
    pub deadline: Instant,
    /// When its state is looked at again.
    pub timer: Instant,
    /// How far it has come.
    pub state: State,
    /// The blocks of its prefix that its upstream was believed to hold.
    pub expected_cached: usize,
    /// When it was granted; none before, and where an earlier scheduler granted it.
    pub granted_at: Option<Instant>,
    /// Whether a grant of it has left at some time, so that it may have been dispatched even while
    /// it waits again.
    pub grant_sent: bool,
}

impl Call {
    /// The grant that holds a slot for it.
    pub fn grant(&self) -> Option<&Grant> {
        match &self.state {
            State::Waiting { .. } | State::Attached => None,
            State::Copying { grant, .. }
            | State::Running { grant, .. }
            | State::Orphaned { grant } => Some(grant),
        }
    }
}
