//! Consensus among the voters on one log: elections with a pre-vote phase, replication, leader
//! leases, membership changes and snapshots.
//!
//! The module performs no I/O and reads no clock: `Node::step` receives the current time and an
//! input, and returns the actions that the caller must carry out.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::{Duration, Instant};

use gooseberrylb_config::id;
use gooseberrylb_config::number::{Bytes, Index, Term};
use serde::{Deserialize, Serialize};

use crate::entry::{Entry, Snapshot};
use crate::membership::{Change, Cluster, Folder, Membership};

pub use message::{Body, Message, Position};
pub use node::Node;

mod ballot;
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

/// Interval at which a leader sends heartbeats.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(100);

/// Shortest time without contact from a leader after which a node starts an election.
pub const MIN_ELECTION_TIMEOUT: Duration = Duration::from_millis(500);

/// Longest time without contact from a leader after which a node starts an election.
pub const MAX_ELECTION_TIMEOUT: Duration = Duration::from_millis(800);

/// How long the answers of a quorum assure a leader that no other leader was elected. It is shorter
/// than [`MIN_ELECTION_TIMEOUT`] so that clock rates may differ by up to a fifth.
pub const LEASE_DURATION: Duration = Duration::from_millis(400);

/// How long a starting founder waits to learn of an existing cluster before it takes part in
/// forming a new one.
pub const FORMATION_WAIT: Duration = Duration::from_secs(2);

/// How long after its start a founder waits for all others before a majority of founders suffices.
pub const MAJORITY_WAIT: Duration = Duration::from_secs(4);

/// Maximum number of entries kept in memory before a snapshot, so that a slow follower can catch up
/// without receiving the snapshot.
pub const RETAINED_ENTRIES: u64 = 1024;

/// Maximum total size of the entries kept in memory before a snapshot.
pub const RETAINED: Bytes = Bytes(4 * 1024 * 1024);

/// Role of a node in its current term.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Role {
    /// The node belongs to no cluster yet.
    Unformed,
    /// The node follows the leader, if it knows one.
    Follower {
        /// Current leader, if known.
        leader: Option<id::Instance>,
    },
    /// The node is requesting votes or pre-votes.
    Candidate,
    /// The node is the leader.
    Leader,
}

/// Identifier of a proposal, unique among the proposals made at this node.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Proposal(pub u64);

/// Reason why a proposal was not accepted.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Rejection {
    /// This node is not the leader; the proposal did not enter the log.
    NotLeader {
        /// Current leader, if known.
        leader: Option<id::Instance>,
    },
    /// Another membership change is in progress, the learner has not caught up, or the change is
    /// not allowed now; the proposal did not enter the log.
    NotReady,
    /// The journal has no space for further entries; the proposal did not take effect.
    Full,
    /// The node lost its leadership while the proposal was in progress; it may still be committed.
    Uncertain,
}

/// Event that a node processes in one step.
#[derive(Debug, Clone)]
pub enum Input {
    /// Time has passed; expected at least every 50 ms.
    Tick,
    /// A message arrived from another node.
    Receive {
        /// Sender of the message.
        from: id::Instance,
        /// Message as received.
        message: Message,
    },
    /// A command of the control state is to be appended to the log.
    Propose {
        /// Identifier that the answer carries.
        proposal: Proposal,
        /// Encoded command.
        command: Arc<[u8]>,
    },
    /// A membership change is to be made.
    Change {
        /// Identifier that the answer carries.
        proposal: Proposal,
        /// Requested change.
        change: Change,
    },
    /// All records of [`Output::Persist`] up to this sequence number are synced.
    Synced(u64),
    /// The journal rejected the records of this sequence number for lack of space and wrote none of
    /// them.
    Refused(u64),
    /// A snapshot of the applied state that can replace the entries it covers.
    Compact(Snapshot),
    /// Another instance reported that it holds a configuration of this cluster, so that no new
    /// cluster may be formed in its place. It has no effect on a node that already belongs to a
    /// cluster.
    ClusterReported(Cluster),
}

/// Record that the journal must store.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Record {
    /// Current term and the vote given in it.
    Vote {
        /// Current term of the node.
        term: Term,
        /// Candidate that the node voted for in this term, if any.
        vote: Option<id::Instance>,
    },
    /// Cluster that the node belongs to.
    Cluster(Cluster),
    /// Log entry; it replaces any entry at its index and all entries after it.
    Entry(Entry),
    /// Snapshot; it replaces the entries that it covers.
    Snapshot(Snapshot),
}

/// Action that the caller must carry out, in the order in which a step returns them.
#[derive(Debug, Clone, PartialEq)]
pub enum Output {
    /// Write and sync the records, then pass [`Input::Synced`] with the sequence number. After a
    /// crash either all of the records or none of them must be on disk.
    Persist {
        /// Number of the batch; it grows by one with each batch.
        sequence: u64,
        /// Records of the batch, in the order in which they are to be written.
        records: Vec<Record>,
    },
    /// Send a message; everything that it acknowledges is already synced.
    Send {
        /// Receiver of the message.
        to: id::Instance,
        /// Message to send.
        message: Message,
    },
    /// Apply a committed entry to the control state; each entry is passed once, in log order.
    Apply(Entry),
    /// Replace the control state with a snapshot.
    Restore(Snapshot),
    /// A proposal was committed; its entry was passed in an earlier [`Output::Apply`].
    Accepted {
        /// Identifier of the proposal.
        proposal: Proposal,
        /// Index of the proposal's entry.
        index: Index,
    },
    /// A proposal was not accepted.
    Rejected {
        /// Identifier of the proposal.
        proposal: Proposal,
        /// Reason for the rejection.
        reason: Rejection,
    },
    /// The role, the term or the leader changed.
    Role {
        /// New role.
        role: Role,
        /// Current term.
        term: Term,
    },
}

/// State of a node as recovered by the journal at start.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Persisted {
    /// Cluster that the node belongs to, if one was formed.
    pub cluster: Option<Cluster>,
    /// Last term that the node recorded.
    pub term: Term,
    /// Vote given in that term, if any.
    pub vote: Option<id::Instance>,
    /// Latest snapshot, if any.
    pub snapshot: Option<Snapshot>,
    /// Entries after the snapshot.
    pub entries: Vec<Entry>,
}

/// Identity and start configuration of a node.
#[derive(Debug, Clone)]
pub struct Identity {
    /// Name of the instance that runs the node.
    pub instance: id::Instance,
    /// Identifier of the node's data folder.
    pub folder: Folder,
    /// Voters that form the cluster at the first start.
    pub founders: Vec<id::Instance>,
    /// Whether `founders` is told only at the first start, when the disks are empty, so that a node without
    /// a disk of that start is never taken for a founder. Then a majority of them suffices; otherwise all
    /// of them are required.
    pub first_start: bool,
    /// Seed of the random election timeouts.
    pub seed: u64,
}

/// State of a node for queries and metrics.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Status {
    /// Role in the current term.
    pub role: Role,
    /// Current term.
    pub term: Term,
    /// Current leader, if known.
    pub leader: Option<id::Instance>,
    /// Index of the last entry known to be committed.
    pub committed: Index,
    /// Index of the last entry in the log.
    pub last: Index,
    /// Membership in force at this node.
    pub membership: Membership,
    /// Existing cluster that prevents an unformed node from forming a new one. The disks of all its
    /// voters may be lost, and only an operator can decide that its configuration is to be
    /// abandoned.
    pub blocked_by: Option<Cluster>,
    /// Voters that have granted this node a vote or pre-vote in the election that it takes part in as a
    /// candidate.
    pub granted: BTreeSet<id::Instance>,
    /// Whether a membership change may be proposed now; false on every node but the leader.
    pub can_change_membership: bool,
    /// Folders of instances that answer with a folder other than the membership's, or that the
    /// membership does not contain.
    pub unexpected_folders: BTreeMap<id::Instance, Folder>,
    /// Replication state of the other members; empty on every node but the leader.
    pub members: BTreeMap<id::Instance, Member>,
}

/// Replication state of another member, as the leader knows it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Member {
    /// Index of the last entry that the member has synced.
    pub matched: Index,
    /// Send time of the newest message that the member answered; none if it has not answered this
    /// leader.
    pub last_contact: Option<Instant>,
    /// Time for which the member has left unanswered what a quorum answered, since the election or since it became a member at most.
    /// The time in which the leader itself reached no quorum, or did not run, does not count.
    pub silence: Duration,
    /// Whether the member holds all committed entries and has answered recently.
    pub caught_up: bool,
}
