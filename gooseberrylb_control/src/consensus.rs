//! Agreement of the voters on one log: elections with pre-vote, replication, leader lease,
//! membership changes and snapshots. Pure: `Node::step` is told the time and what happened, and
//! says what is to be done.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use gooseberrylb_config::id;
use gooseberrylb_config::number::{Index, Term};
use serde::{Deserialize, Serialize};

use crate::entry::{Entry, Snapshot};
use crate::membership::{Change, Cluster, Folder, Membership};

pub use message::{Body, Message, Position};
pub use node::Node;

mod election;
mod follower;
mod formation;
mod lease;
mod log;
mod membership;
mod message;
mod node;
mod progress;
mod receive;
mod replication;
mod transfer;
mod writer;

/// How often a leader is heard when it has nothing to say.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(100);

/// The shortest time without a leader after which a node stands for election.
pub const MIN_ELECTION_TIMEOUT: Duration = Duration::from_millis(500);

/// The longest time without a leader after which a node stands for election.
pub const MAX_ELECTION_TIMEOUT: Duration = Duration::from_millis(800);

/// How long a quorum's answers keep a leader certain that no other one was elected. It is shorter
/// than [`MIN_ELECTION_TIMEOUT`], so that clocks may run at rates that differ by a fifth.
pub const LEASE_DURATION: Duration = Duration::from_millis(400);

/// How long a founder waits at its start for others to tell it of a cluster, before it takes part in
/// forming one.
pub const FORMATION_WAIT: Duration = Duration::from_secs(2);

/// The entries kept in memory behind a snapshot, so that a slow follower needs no snapshot.
pub const RETAINED_ENTRIES: u64 = 1024;

/// What a node is in its current term.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Role {
    /// No cluster has been formed yet, as far as this node knows.
    Unformed,
    /// It follows the leader, where it knows one.
    Follower {
        /// The leader.
        leader: Option<id::Instance>,
    },
    /// It asks for votes.
    Candidate,
    /// It leads.
    Leader,
}

/// Numbers a proposal among those made at this node.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Proposal(pub u64);

/// Why a proposal was not accepted.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Rejection {
    /// This node does not lead; it was not proposed.
    NotLeader {
        /// Who leads, as far as is known.
        leader: Option<id::Instance>,
    },
    /// Another membership change is under way, or the learner has not caught up; not proposed.
    NotReady,
    /// The journal takes no more entries; not proposed.
    Full,
    /// The node lost its leadership while the proposal was under way: it may yet be accepted.
    Uncertain,
}

/// What happens to a node.
#[derive(Debug, Clone)]
pub enum Input {
    /// Time has passed; expected at least every 50 ms.
    Tick,
    /// A message came from another node.
    Receive {
        /// The sender.
        from: id::Instance,
        /// The message.
        message: Message,
    },
    /// The control state wants a command in the log.
    Propose {
        /// Its number, for the answer.
        proposal: Proposal,
        /// The encoded command.
        command: Arc<[u8]>,
    },
    /// A membership change is wanted.
    Change {
        /// Its number, for the answer.
        proposal: Proposal,
        /// The change.
        change: Change,
    },
    /// The records of [`Output::Persist`] up to this number are synced.
    Synced(u64),
    /// The journal refused records for want of space, and nothing of them was written.
    Refused(u64),
    /// A snapshot of the applied state was taken and can stand for the entries that it covers.
    Compact(Snapshot),
    /// Another instance holds a configuration of this cluster, so that no new one may be formed in
    /// its place; it has no effect on a node that belongs to a cluster.
    ClusterReported(Cluster),
}

/// What the journal must keep.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Record {
    /// The term and the vote in it.
    Vote {
        /// The term.
        term: Term,
        /// Whom the node voted for.
        vote: Option<id::Instance>,
    },
    /// The cluster that the node belongs to.
    Cluster(Cluster),
    /// An entry; it replaces any entry at its index and all behind it.
    Entry(Entry),
    /// A snapshot, which replaces the entries that it covers.
    Snapshot(Snapshot),
}

/// What a node wants done, in this order.
#[derive(Debug, Clone, PartialEq)]
pub enum Output {
    /// Write and sync the records, then feed [`Input::Synced`] with the number. A crash meanwhile
    /// must leave all of them or none.
    Persist {
        /// Grows by one with each output.
        sequence: u64,
        /// The records.
        records: Vec<Record>,
    },
    /// Send a message; whatever it vouches for is synced already.
    Send {
        /// The receiver.
        to: id::Instance,
        /// The message.
        message: Message,
    },
    /// Apply a committed entry to the control state; entries come in order, each once.
    Apply(Entry),
    /// Replace the control state by a snapshot.
    Restore(Snapshot),
    /// A proposal is committed at this index; its entry was applied before.
    Accepted {
        /// The proposal.
        proposal: Proposal,
        /// Its entry.
        index: Index,
    },
    /// A proposal was not accepted.
    Rejected {
        /// The proposal.
        proposal: Proposal,
        /// Why.
        reason: Rejection,
    },
    /// The role, the term or the leader changed.
    Role {
        /// The role.
        role: Role,
        /// The term.
        term: Term,
    },
}

/// What a node starts with, as the journal recovered it.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Persisted {
    /// The cluster, where one was formed.
    pub cluster: Option<Cluster>,
    /// The term.
    pub term: Term,
    /// The vote in it.
    pub vote: Option<id::Instance>,
    /// The last snapshot.
    pub snapshot: Option<Snapshot>,
    /// The entries behind it.
    pub entries: Vec<Entry>,
}

/// What a node is told of itself.
#[derive(Debug, Clone)]
pub struct Identity {
    /// Its name.
    pub instance: id::Instance,
    /// Its data folder.
    pub folder: Folder,
    /// The voters that form the cluster at first start.
    pub founders: Vec<id::Instance>,
    /// The seed of its election timeouts.
    pub seed: u64,
}

/// Where a node stands, for read-back and metrics.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Status {
    /// Its role.
    pub role: Role,
    /// Its term.
    pub term: Term,
    /// Who leads, as far as it knows.
    pub leader: Option<id::Instance>,
    /// The last committed entry.
    pub committed: Index,
    /// The last entry.
    pub last: Index,
    /// The membership in force at this node.
    pub membership: Membership,
    /// The cluster that keeps an unformed node from forming one: all its voters' disks may be lost,
    /// and only an operator can tell that its configuration is to be given up.
    pub blocked_by: Option<Cluster>,
    /// Whether a membership change may be proposed now; false on all but the leader.
    pub can_change_membership: bool,
    /// Instances that answer with another folder than the membership's, or that it does not name.
    pub unexpected_folders: BTreeMap<id::Instance, Folder>,
    /// What the leader knows of the other members; empty on all but the leader.
    pub members: BTreeMap<id::Instance, Member>,
}

/// What a leader knows of another member.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Member {
    /// The last entry that it has synced.
    pub matched: Index,
    /// When the last message that it answered was sent, if it answered this leader at all.
    pub last_contact: Option<Instant>,
    /// Whether it holds all committed entries and is being heard.
    pub caught_up: bool,
}
