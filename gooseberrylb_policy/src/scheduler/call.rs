//! A request known to the scheduler and its state.

use std::time::Instant;

use super::Grant;
use super::queue::Position;
use crate::request::Request;

/// The state of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum State {
    /// The request is in the queue.
    Waiting {
        /// The position in the queue.
        position: Position,
    },
    /// Another request holds the same key; this one waits for it to start or end.
    Attached,
    /// A slot is reserved and the claim is being copied to the backups.
    Copying {
        /// The grant that will be sent.
        grant: Grant,
        /// The sequence number of the batch that contains the claim.
        sequence: u64,
        /// The position that the request had in the queue.
        position: Position,
    },
    /// The grant was sent, and the request may be dispatched.
    Running {
        /// The grant.
        grant: Grant,
        /// The position that the request had in the queue; `None` for a request taken over from an
        /// earlier scheduler.
        position: Option<Position>,
    },
    /// The request's entry died. The slot stays reserved for a while, since the upstream may still
    /// be running the request.
    Orphaned {
        /// The grant.
        grant: Grant,
    },
}

/// A request known to the scheduler.
#[derive(Debug)]
pub struct Call {
    /// The request.
    pub request: Request,
    /// The time at which the caller's timeout expires.
    pub deadline: Instant,
    /// The time of the next check of the state.
    pub timer: Instant,
    /// The current state.
    pub state: State,
    /// The number of prefix blocks that the upstream was expected to have cached.
    pub expected_cached: usize,
    /// The time of the current or last grant; `None` if this scheduler made none.
    pub granted_at: Option<Instant>,
    /// Whether a grant was ever sent for the request, which may then have been dispatched even if
    /// it is waiting again.
    pub grant_sent: bool,
}

impl Call {
    /// Returns the grant that holds a slot for the request, if any.
    pub fn grant(&self) -> Option<&Grant> {
        match &self.state {
            State::Waiting { .. } | State::Attached => None,
            State::Copying { grant, .. }
            | State::Running { grant, .. }
            | State::Orphaned { grant } => Some(grant),
        }
    }
}
