//! Entries of the replicated log.

use std::sync::Arc;

use gooseberrylb_config::number::{Index, Term};
use serde::{Deserialize, Serialize};

use crate::membership::Membership;

/// What an entry says.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Payload {
    /// Nothing; a new leader's first entry, by which it learns what is committed.
    Noop,
    /// The membership from here on.
    Membership(Membership),
    /// An encoded command for the control state.
    Command(Arc<[u8]>),
}

/// One entry of the replicated log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Its position.
    pub index: Index,
    /// The term of the leader that made it.
    pub term: Term,
    /// What it says.
    pub payload: Payload,
}

/// The control state up to an entry, which stands for all entries up to it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// The last entry that it covers.
    pub index: Index,
    /// That entry's term.
    pub term: Term,
    /// The membership at that entry.
    pub membership: Membership,
    /// The encoded control state.
    pub state: Arc<[u8]>,
}
