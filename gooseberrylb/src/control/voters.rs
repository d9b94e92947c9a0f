//! Logs and measures which voters answer: on the leader, those that are silent and how many more may
//! be lost; on a candidate, those that vote for it.

use std::cell::RefCell;
use std::time::{Duration, Instant};

use gooseberrylb_config::id;
use gooseberrylb_control::consensus::{Role, Status};
use gooseberrylb_control::repair::Health;

use super::core::Core;
use crate::metrics::METRICS;

/// Silence from which on a voter is logged as not answering; a leader that reaches no quorum steps
/// down before.
const REPORTED_SILENCE: Duration = Duration::from_secs(1);

/// Time for which an instance is a candidate before that is logged, and between two such lines. An election
/// takes less.
const REPORTED_CANDIDACY: Duration = Duration::from_secs(2);

/// State of the voters as it was logged last.
#[derive(Debug, Default)]
pub struct Observer {
    logged: RefCell<Logged>,
}

#[derive(Debug, Default, PartialEq, Eq)]
enum Logged {
    /// Neither leader nor candidate.
    #[default]
    Nothing,
    /// As the leader: all voters, and those that do not answer.
    Leader {
        voters: Vec<id::Instance>,
        silent: Vec<id::Instance>,
    },
    /// As a candidate, since when or since the last line.
    Candidate { since: Instant },
}

/// Returns how many voters may be lost before there is no quorum, if this instance leads.
pub fn losses_borne(core: &Core) -> Option<usize> {
    let status = core.status().filter(|status| status.role == Role::Leader)?;
    Some(Health::new(&status, REPORTED_SILENCE).losses_borne())
}

impl Observer {
    /// Logs the voters if those that answer have changed, and sets the metrics.
    pub fn observe(&self, core: &Core) {
        let Some(role) = core.role() else {
            return;
        };
        // A follower, as most voters are, needs no copy of the whole status.
        let status = match role {
            Role::Leader | Role::Candidate => core.status(),
            Role::Follower { .. } | Role::Unformed => None,
        };
        match status {
            Some(status) if role == Role::Leader => self.observe_as_leader(&status),
            Some(status) => self.observe_as_candidate(&status, core.clock.now()),
            None => *self.logged.borrow_mut() = Logged::Nothing,
        }
        if role != Role::Leader {
            METRICS.losses_borne.set(-1);
        }
    }

    fn observe_as_leader(&self, status: &Status) {
        let health = Health::new(status, REPORTED_SILENCE);
        let losses_borne = i64::try_from(health.losses_borne()).unwrap_or(i64::MAX);
        METRICS.losses_borne.set(losses_borne);
        let mut silent: Vec<_> = health
            .silent
            .iter()
            .map(|(voter, _)| voter.clone())
            .collect();
        silent.sort_unstable();
        let current = Logged::Leader {
            voters: status.membership.voters.keys().cloned().collect(),
            silent,
        };
        if *self.logged.borrow() != current {
            log::info!(
                term = status.term.0, voters:? = status.membership.voters.keys(), silent:? = health.silent, losses_borne;
                "the voters that answer this leader"
            );
            *self.logged.borrow_mut() = current;
        }
    }

    fn observe_as_candidate(&self, status: &Status, now: Instant) {
        let mut logged = self.logged.borrow_mut();
        let Logged::Candidate { since } = *logged else {
            *logged = Logged::Candidate { since: now };
            return;
        };
        if now >= since + REPORTED_CANDIDACY {
            log::warn!(
                term = status.term.0, voters:? = status.membership.voters.keys(), granted:? = status.granted;
                "no leader is elected"
            );
            *logged = Logged::Candidate { since: now };
        }
    }
}
