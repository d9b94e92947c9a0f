//! Messages that nodes exchange.

use std::collections::BTreeMap;
use std::sync::Arc;

use gooseberrylb_config::id;
use gooseberrylb_config::number::{Index, Term};
use serde::{Deserialize, Serialize};

use crate::entry::Entry;
use crate::membership::{Cluster, Folder, Membership};

/// Position in the log: an index together with the term of its entry, which makes it unambiguous.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Position {
    /// Term of the entry at this position. It is the first field so that the more recent log
    /// compares as greater.
    pub term: Term,
    /// Index of the entry at this position.
    pub index: Index,
}

/// Message between nodes. It names the data folders of sender and receiver so that a lost disk is
/// detected.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Message {
    /// Cluster of the sender, if it belongs to one.
    pub cluster: Option<Cluster>,
    /// Data folder of the sender.
    pub folder: Folder,
    /// Data folder of the receiver according to the sender's membership; none in an answer, and
    /// none if the membership does not contain the receiver.
    pub addressee: Option<Folder>,
    /// Term of the sender, or the proposed term of a pre-vote.
    pub term: Term,
    /// Content of the message.
    pub body: Body,
}

/// Content of a message.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Body {
    /// Report of a founder that belongs to no cluster.
    Probe {
        /// Founders' folders known to the sender, its own included.
        folders: BTreeMap<id::Instance, Folder>,
    },
    /// Answer to a message that was addressed to a folder the sender does not hold.
    Stranger,
    /// Question whether the receiver would vote for the sender.
    PreVote {
        /// Position of the last entry in the sender's log.
        last: Position,
    },
    /// Answer to [`Body::PreVote`].
    PreVoteAnswer {
        /// Whether the sender would grant its vote.
        granted: bool,
    },
    /// Request for the receiver's vote.
    Vote {
        /// Position of the last entry in the sender's log.
        last: Position,
    },
    /// Answer to [`Body::Vote`].
    VoteAnswer {
        /// Whether the vote is granted; a granted vote is already synced.
        granted: bool,
    },
    /// Entries from the leader; a heartbeat carries none.
    Append {
        /// Position of the entry before the first one.
        previous: Position,
        /// Entries in log order.
        entries: Vec<Entry>,
        /// Index of the last committed entry.
        committed: Index,
        /// Number of the leader's newest heartbeat.
        round: u64,
    },
    /// Answer to [`Body::Append`], also sent later when further entries are synced.
    AppendAnswer {
        /// Number of the newest heartbeat that the sender received.
        round: u64,
        /// Index of the last entry that the sender has synced and that matches the leader's log.
        matched: Index,
        /// Index of the last entry that the sender holds in memory and that matches the leader's
        /// log.
        received: Index,
        /// Last index at which the logs may agree, if they differ at [`Body::Append`]'s `previous`.
        conflict: Option<Index>,
    },
    /// Part of a snapshot from the leader.
    Snapshot {
        /// Position of the last entry that the snapshot covers.
        covers: Position,
        /// Membership at that entry.
        membership: Membership,
        /// Size of the whole encoded state in bytes.
        size: u64,
        /// Offset of this part in bytes.
        offset: u64,
        /// Bytes of this part.
        part: Arc<[u8]>,
        /// Number of the leader's newest heartbeat.
        round: u64,
    },
    /// Answer to [`Body::Snapshot`].
    SnapshotAnswer {
        /// Position of the last entry that the snapshot covers.
        covers: Position,
        /// Number of bytes of the snapshot that the sender holds.
        received: u64,
        /// Number of the newest heartbeat that the sender received.
        round: u64,
    },
}

impl Body {
    /// Whether this body answers another message.
    pub(super) fn is_answer(&self) -> bool {
        match self {
            Body::Stranger
            | Body::PreVoteAnswer { .. }
            | Body::VoteAnswer { .. }
            | Body::AppendAnswer { .. }
            | Body::SnapshotAnswer { .. } => true,
            Body::Probe { .. }
            | Body::PreVote { .. }
            | Body::Vote { .. }
            | Body::Append { .. }
            | Body::Snapshot { .. } => false,
        }
    }

    /// Whether this body grants a pre-vote, whose term no node has entered yet.
    pub(super) fn is_granted_pre_vote(&self) -> bool {
        matches!(self, Body::PreVoteAnswer { granted: true })
    }
}
