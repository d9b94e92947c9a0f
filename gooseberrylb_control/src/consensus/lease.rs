//! Leader lease: how long a leader can be sure that no other leader was elected.

use std::collections::VecDeque;
use std::time::Instant;

use gooseberrylb_config::id;

use super::node::{Node, Stage};
use super::{LEASE_DURATION, MAX_ELECTION_TIMEOUT, MIN_ELECTION_TIMEOUT};

/// Maximum number of heartbeats whose send times are kept; answers to older ones are not counted.
const MAX_ROUNDS: usize = 32;

/// Send times of the latest heartbeats.
#[derive(Debug, Default)]
pub(super) struct Rounds {
    /// Number of the newest heartbeat.
    last: u64,
    /// Send times in order, ending with that of the newest heartbeat.
    times: VecDeque<Instant>,
}

impl Rounds {
    /// Records a new heartbeat, sent at `now`.
    pub(super) fn start(&mut self, now: Instant) {
        self.last += 1;
        self.times.push_back(now);
        if self.times.len() > MAX_ROUNDS {
            self.times.pop_front();
        }
    }

    /// Returns the number of the newest heartbeat.
    pub(super) fn last(&self) -> u64 {
        self.last
    }

    /// Returns the send time of heartbeat `round`, if it is still kept.
    pub(super) fn sent_at(&self, round: u64) -> Option<Instant> {
        let age = usize::try_from(self.last.checked_sub(round)?).ok()?;
        let position = self.times.len().checked_sub(age + 1)?;
        self.times.get(position).copied()
    }
}

impl Node {
    /// Whether this node is the leader, has applied all entries committed before its term, and no other
    /// leader can have been elected up to `now`. It may then act, and answer reads, from its own
    /// state.
    pub fn holds_lease(&self, now: Instant) -> bool {
        let Stage::Leader(state) = &self.stage else {
            return false;
        };
        self.applied >= state.first_index && self.is_within_lease(now)
    }

    fn is_within_lease(&self, now: Instant) -> bool {
        self.quorum_contact()
            .is_some_and(|contact| now < contact + LEASE_DURATION)
    }

    /// Whether the node must not help another node to become leader, because some leader may hold a
    /// lease.
    pub(super) fn must_honour_lease(&self) -> bool {
        match &self.stage {
            Stage::Leader(_) => self.is_within_lease(self.now),
            Stage::Unformed(_) | Stage::Follower(_) | Stage::PreCandidate(_) | Stage::Candidate => {
                self.now < self.last_contact + MIN_ELECTION_TIMEOUT
            }
        }
    }

    /// Whether this leader has been without answers from a quorum for so long that another leader
    /// may be elected.
    pub(super) fn has_lost_quorum(&self) -> bool {
        let Stage::Leader(state) = &self.stage else {
            return false;
        };
        let contact = self.quorum_contact().unwrap_or(state.elected_at);
        self.now >= contact.max(state.elected_at) + MAX_ELECTION_TIMEOUT
    }

    /// Returns the latest time at which a quorum is known to have been in contact with this leader.
    pub(super) fn quorum_contact(&self) -> Option<Instant> {
        let Stage::Leader(state) = &self.stage else {
            return None;
        };
        let contact = |voter: &id::Instance| {
            if *voter == self.identity.instance {
                return Some(self.now);
            }
            state.members.get(voter)?.last_contact
        };
        let mut times: Vec<_> = self.membership.voters.keys().map(contact).collect();
        times.sort_unstable();
        times.reverse();
        let quorum = self.membership.quorum();
        times.get(quorum - 1).copied().flatten()
    }
}
