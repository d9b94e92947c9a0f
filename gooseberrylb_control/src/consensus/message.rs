//! What nodes say to each other.

use std::collections::BTreeMap;
use std::sync::Arc;

use gooseberrylb_config::id;
use gooseberrylb_config::number::{Index, Term};
use serde::{Deserialize, Serialize};

use crate::entry::Entry;
use crate::membership::{Cluster, Folder, Membership};

/// A place in the log, which the term makes unambiguous.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Position {
    /// The term of the entry there; it comes first, so that the later log compares as greater.
    pub term: Term,
    /// The index of the entry there.
    pub index: Index,
}

/// A message between nodes; it names both data folders, so that a lost disk is noticed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Message {
    /// The sender's cluster, if it belongs to one.
    pub cluster: Option<Cluster>,
    /// The sender's data folder.
    pub folder: Folder,
    /// The receiver's data folder as the sender's membership names it.
    pub addressee: Option<Folder>,
    /// The sender's term, or the term that a pre-vote is about.
    pub term: Term,
    /// What it says.
    pub body: Body,
}

/// What a message says.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Body {
    /// The sender has no cluster, and knows these folders of the founders.
    Probe {
        /// The founders' folders, the sender's among them.
        folders: BTreeMap<id::Instance, Folder>,
    },
    /// The message answered was addressed to a folder that the sender does not hold.
    Stranger,
    /// Would the receiver vote for the sender?
    PreVote {
        /// The end of the sender's log.
        last: Position,
    },
    /// Whether it would.
    PreVoteAnswer {
        /// The answer.
        granted: bool,
    },
    /// The sender asks for a vote.
    Vote {
        /// The end of the sender's log.
        last: Position,
    },
    /// Whether the vote is given; it is synced.
    VoteAnswer {
        /// The answer.
        granted: bool,
    },
    /// The leader sends entries, or none as a heartbeat.
    Append {
        /// Where the entries follow on.
        previous: Position,
        /// The entries.
        entries: Vec<Entry>,
        /// The last committed entry.
        committed: Index,
        /// Numbers the leader's heartbeats.
        round: u64,
    },
    /// Answers [`Body::Append`], and tells later when more is synced.
    AppendAnswer {
        /// The last heartbeat that the sender has seen.
        round: u64,
        /// The last entry that the sender has synced and that is the leader's.
        matched: Index,
        /// The last entry that the sender holds in memory and that is the leader's.
        received: Index,
        /// Where the logs may agree, if they did not where the entries were to follow on.
        conflict: Option<Index>,
    },
    /// The leader sends a part of a snapshot.
    Snapshot {
        /// The last entry that it covers.
        covers: Position,
        /// The membership at that entry.
        membership: Membership,
        /// The size of the whole state in bytes.
        size: u64,
        /// Where this part begins in it.
        offset: u64,
        /// The part.
        part: Arc<[u8]>,
        /// Numbers the leader's heartbeats.
        round: u64,
    },
    /// Answers [`Body::Snapshot`].
    SnapshotAnswer {
        /// The last entry that the snapshot covers.
        covers: Position,
        /// How much of it the sender holds.
        received: u64,
        /// The last heartbeat that the sender has seen.
        round: u64,
    },
}

impl Body {
    /// Whether it answers another message.
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

    /// Whether it grants a pre-vote, whose term is not yet anyone's.
    pub(super) fn is_granted_pre_vote(&self) -> bool {
        matches!(self, Body::PreVoteAnswer { granted: true })
    }
}
