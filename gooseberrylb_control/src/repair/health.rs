//! Health of the voters as the leader sees it: which ones answer, and how many more may be lost.

use std::time::Duration;

use gooseberrylb_config::id;

use crate::consensus::Status;

/// Voters of a membership, by whether they answer the leader.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Health {
    /// Number of voters.
    voters: usize,
    /// Number of voters that must agree.
    quorum: usize,
    /// Voters that do not answer, with the time for which they have not, the longest first.
    pub silent: Vec<(id::Instance, Duration)>,
}

impl Health {
    /// Returns the health of the voters in a leader's status; those that have left heartbeats unanswered
    /// for `limit` count as silent.
    pub fn new(status: &Status, limit: Duration) -> Self {
        let silences = status.membership.voters.keys().filter_map(|voter| {
            let silence = status.members.get(voter)?.silence;
            (silence >= limit).then(|| (voter.clone(), silence))
        });
        let mut silent: Vec<_> = silences.collect();
        silent.sort_by(|(_, one), (_, other)| other.cmp(one));
        Self {
            voters: status.membership.voters.len(),
            quorum: status.membership.quorum(),
            silent,
        }
    }

    /// Returns the number of voters that answer.
    pub fn answering(&self) -> usize {
        self.voters - self.silent.len()
    }

    /// Returns how many of the voters that answer may be lost before there is no quorum.
    pub fn losses_borne(&self) -> usize {
        self.answering().saturating_sub(self.quorum)
    }
}
