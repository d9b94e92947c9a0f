//! Leader lease: how long a leader can be sure that no other leader was elected.

use std::collections::VecDeque;
use std::time::Instant;

use gooseberrylb_config::id;

use super::node::{Node, Stage};
use super::{LEASE_DURATION, MAX_ELECTION_TIMEOUT, MIN_ELECTION_TIMEOUT};

/// Maximum number of heartbeats whose send times are kept; answers to older ones are not counted.
const KEPT_ROUNDS: usize = 32;

/// Send times of the latest heartbeats.
#[derive(Debug, Default)]
pub(super) struct Rounds {
    /// Number of the newest heartbeat.
    last: u64,
    /// Send times in order, ending with that of the newest heartbeat.
    sent: VecDeque<Instant>,
}

impl Rounds {
    /// Records a new heartbeat, sent at `now`.
    pub(super) fn start(&mut self, now: Instant) {
        self.last += 1;
        self.sent.push_back(now);
        if self.sent.len() > KEPT_ROUNDS {
            self.sent.pop_front();
        }
    }

    /// Returns the number of the newest heartbeat.
    pub(super) fn last(&self) -> u64 {
        self.last
    }

    /// Returns the send time of heartbeat `round`, if it is still kept.
    pub(super) fn started(&self, round: u64) -> Option<Instant> {
        let age = usize::try_from(self.last.checked_sub(round)?).ok()?;
        let place = self.sent.len().checked_sub(age + 1)?;
        self.sent.get(place).copied()
    }
}

impl Node {
    /// Whether this node is the leader, knows all entries committed before its term, and no other
    /// leader can have been elected up to `now`. It may then act, and answer reads, from its own
    /// state.
    pub fn holds_lease(&self, now: Instant) -> bool {
        let Stage::Leader(leadership) = &self.stage else {
            return false;
        };
        self.committed >= leadership.first && self.is_within_lease(now)
    }

    fn is_within_lease(&self, now: Instant) -> bool {
        self.quorum_heard()
            .is_some_and(|heard| now < heard + LEASE_DURATION)
    }

    /// Whether the node must not help another node to become leader, because some leader may hold a
    /// lease.
    pub(super) fn honours_lease(&self) -> bool {
        match &self.stage {
            Stage::Leader(_) => self.is_within_lease(self.now),
            Stage::Unformed(_)
            | Stage::Follower(_)
            | Stage::PreCandidate(_)
            | Stage::Candidate(_) => self.now < self.last_contact + MIN_ELECTION_TIMEOUT,
        }
    }

    /// Whether this leader has been without answers from a quorum for so long that another leader
    /// may be elected.
    pub(super) fn is_cut_off(&self) -> bool {
        let Stage::Leader(leadership) = &self.stage else {
            return false;
        };
        let heard = self.quorum_heard().unwrap_or(leadership.elected);
        self.now >= heard.max(leadership.elected) + MAX_ELECTION_TIMEOUT
    }

    /// Returns the latest time at which a quorum is known to have been in contact with this leader.
    fn quorum_heard(&self) -> Option<Instant> {
        let Stage::Leader(leadership) = &self.stage else {
            return None;
        };
        let heard = |voter: &id::Instance| {
            if *voter == self.identity.instance {
                return Some(self.now);
            }
            leadership.members.get(voter)?.last_contact
        };
        let mut times: Vec<_> = self.membership.voters.keys().map(heard).collect();
        times.sort_unstable();
        times.reverse();
        let quorum = self.membership.quorum();
        times.get(quorum - 1).copied().flatten()
    }
}
