//! Durations of the product that a promise of the platform rests on, derived from its [`Bounds`](super::Bounds).
//!
//! Each constant here is a time that the product needs. [`Timing`] fits what can be chosen between
//! these and the promises; [`Deployment::shortfalls`] names the promises that leave too little time.

use std::time::Duration;

use super::bounds::milliseconds;
use super::{Deployment, Settings};
use crate::finding::Findings;

/// Longest duration of a lease.
pub const MAX_LEASE: Duration = Duration::from_secs(3);

/// Shortest duration of a lease: reports are held for half a second, and an election takes about as
/// long again.
pub const MIN_LEASE: Duration = Duration::from_secs(1);

/// Time without a report after which an instance counts as dead. Leases that a leader of an earlier
/// build granted may be the longest ones, and these must have expired.
pub const INSTANCE_TIMEOUT: Duration = MAX_LEASE.saturating_add(Duration::from_millis(500));

/// Interval between two rounds of the leader's tasks.
pub const LEADER_INTERVAL: Duration = Duration::from_millis(150);

/// Time in which an instance is elected once a leader is lost: the longest election timeout, and the
/// votes.
pub const ELECTION_TIME: Duration = Duration::from_secs(1);

/// Time after which a follower gives up a report that is not answered, and turns to another instance.
pub const REPORT_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Pause between two attempts to call the leader.
pub const ATTEMPT_PAUSE: Duration = Duration::from_millis(100);

/// Time from the start of a planned stop for which every request is taken. It is longer than the time to
/// live of an entry's address, and a request that comes so early may be cut off at the exit.
pub const ADMISSION_PERIOD: Duration = Duration::from_millis(2_900);

/// Part of the grace period that is left for the process to exit.
pub const EXIT_RESERVE: Duration = Duration::from_millis(700);

/// Part of the time for a change that is left for the request that is handled last.
const CHANGE_MARGIN: Duration = Duration::from_millis(100);

/// Time from a change of the platform's list until the leader has accepted it: an interval between two
/// reads, a read, and a proposal.
const LISTING_TIME: Duration = Duration::from_millis(1_100);

/// Time that a proposal takes with a sync on each side of the longest distance.
const PROPOSAL_TIME: Duration = Duration::from_millis(300);

/// Shortest silence after which a voter loses its vote. A leader that reaches no quorum steps down
/// before, so that the silence is that of the voter.
const MIN_SILENCE: Duration = Duration::from_secs(1);

/// Silence after which a voter loses its vote without a promise on replacements.
const MAX_SILENCE: Duration = Duration::from_secs(10);

/// Durations that are chosen to fit the promises of a deployment.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Timing {
    /// Time for which an instance may act on its configuration after the leader confirmed it.
    ///
    /// An instance that gets no answer from the leader acts on what it knows until its lease ends. A
    /// change that the leader accepts meanwhile is not in force there, so a lease must not outlast the
    /// time in which changes are promised to be in force. See `docs/PLATFORM.md`.
    pub lease: Duration,
    /// Time after which the leader reports the outcome of a proposal as unknown. It is shorter than an
    /// attempt, so that the asker hears of it.
    pub proposal: Duration,
    /// Time limit for one attempt to call the leader. Two of them fit into a call, since the first one may
    /// go to a leader that is lost.
    pub attempt: Duration,
    /// Time for which a call to the leader is tried before it fails.
    pub call: Duration,
    /// Silence after which a voter loses its vote.
    pub silence: Silence,
}

/// Silence after which a voter loses its vote.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Silence {
    /// While fewer further voters than promised could be lost.
    pub urgent: Duration,
    /// Otherwise.
    pub ordinary: Duration,
}

impl Default for Silence {
    fn default() -> Self {
        Self {
            urgent: MAX_SILENCE,
            ordinary: MAX_SILENCE,
        }
    }
}

impl Silence {
    /// Returns the silence with which a voter that is gone has lost its vote once its successor has run for
    /// `catch_up`: the rest of that time is for the successor to get the log, and for an election.
    pub fn within(catch_up: Duration) -> Self {
        Self {
            urgent: (catch_up / 4).clamp(MIN_SILENCE, MAX_SILENCE),
            ordinary: (catch_up / 2).clamp(MIN_SILENCE, MAX_SILENCE),
        }
    }
}

impl Default for Timing {
    fn default() -> Self {
        Self {
            lease: MAX_LEASE,
            proposal: Duration::from_secs(5),
            attempt: Duration::from_secs(3),
            call: Duration::from_secs(8),
            silence: Silence::default(),
        }
    }
}

impl Timing {
    fn of(deployment: &Deployment) -> Self {
        let bounds = &deployment.bounds;
        let timing = Self {
            lease: lease(deployment),
            silence: Silence::within(bounds.catch_up()),
            ..Self::default()
        };
        match bounds.answer_limit() {
            Some(limit) => timing.with_answer_limit(limit),
            None => timing,
        }
    }

    /// Fits a call into the time in which an operator's change is answered.
    fn with_answer_limit(self, limit: Duration) -> Self {
        let attempt = (limit * 2 / 5).min(self.attempt);
        Self {
            proposal: attempt * 9 / 10,
            attempt,
            call: (limit * 9 / 10).min(self.call),
            ..self
        }
    }
}

impl Settings {
    /// Returns the durations that fit the promises of the platform.
    pub fn timing(&self) -> Timing {
        let deployment = self.deployment.as_ref();
        deployment.map_or_else(Timing::default, Timing::of)
    }

    /// Returns the promises that leave less time than the product needs. An instance runs all the same:
    /// the other promises can be kept.
    pub fn shortfalls(&self) -> Findings {
        let deployment = self.deployment.as_ref();
        deployment.map_or_else(Findings::new, Deployment::shortfalls)
    }
}

fn lease(deployment: &Deployment) -> Duration {
    let limits = [
        (deployment.change_limit(), CHANGE_MARGIN),
        (deployment.bounds.revoke_limit(), CHANGE_MARGIN),
        (deployment.drain_limit(), LISTING_TIME),
    ];
    let left = limits
        .into_iter()
        .filter_map(|(limit, reserved)| Some(limit?.saturating_sub(reserved)));
    let promised = left.min().unwrap_or(MAX_LEASE);
    promised.clamp(MIN_LEASE, MAX_LEASE)
}

impl Deployment {
    /// Returns the time in which an accepted change is in force on all instances, if it is promised.
    fn change_limit(&self) -> Option<Duration> {
        self.change_limit_ms.map(|limit| milliseconds(limit as f64))
    }

    /// Returns the time after which an upstream that the list shows as draining gets no requests, if it is
    /// promised.
    fn drain_limit(&self) -> Option<Duration> {
        self.drain_limit_ms.map(|limit| milliseconds(limit as f64))
    }

    /// Returns the time from SIGTERM until the process is killed.
    pub fn grace(&self) -> Duration {
        Duration::from_secs(self.grace_s)
    }

    /// Returns the promises that leave less time than the product needs, with both times.
    pub fn shortfalls(&self) -> Findings {
        let (bounds, silence) = (&self.bounds, Silence::within(self.bounds.catch_up()));
        let promises = [
            (
                "bounds.catch_up_s",
                Some(bounds.catch_up()),
                ELECTION_TIME + silence.ordinary + LEADER_INTERVAL + PROPOSAL_TIME,
                "in which a lost voter is replaced",
            ),
            (
                "bounds.answer_limit_ms",
                bounds.answer_limit(),
                (ELECTION_TIME + ATTEMPT_PAUSE + PROPOSAL_TIME) * 10 / 9,
                "in which a change is accepted by a new leader",
            ),
            (
                "bounds.settle_limit_ms",
                bounds.settle_limit(),
                REPORT_TIMEOUT + ELECTION_TIME,
                "in which all instances have found a new leader",
            ),
            (
                "bounds.revoke_limit_ms",
                bounds.revoke_limit(),
                MIN_LEASE + CHANGE_MARGIN,
                "for which an instance without a leader acts on its configuration",
            ),
            (
                "bounds.recovery_limit_s",
                bounds.recovery_limit(),
                ELECTION_TIME + INSTANCE_TIMEOUT + LEADER_INTERVAL + PROPOSAL_TIME,
                "in which instances that do not return are given up",
            ),
            (
                "change_limit_ms",
                self.change_limit(),
                MIN_LEASE + CHANGE_MARGIN,
                "for which an instance without a leader acts on its configuration",
            ),
            (
                "drain_limit_ms",
                self.drain_limit(),
                MIN_LEASE + LISTING_TIME,
                "in which the list is read and an instance without a leader stops",
            ),
            (
                "grace_s",
                Some(self.grace()),
                ADMISSION_PERIOD + EXIT_RESERVE,
                "for which callers keep an entry's address, and the exit",
            ),
        ];
        let mut findings = Findings::new();
        for (name, promised, needed, what) in promises {
            if let Some(promised) = promised.filter(|promised| *promised < needed) {
                let message = format!("{promised:?} is shorter than the time {what}, {needed:?}");
                findings.add(format!("deployment.{name}"), message);
            }
        }
        findings
    }
}
