//! An entry's way to the upstreams: whether connections fail because of their upstreams, or because
//! the entry is cut off from all of them.
//!
//! An upstream that fails binds the whole fleet, so other entries are told of it. A cut binds only
//! the entry behind it. After a failed connection the entry opens others, and tells which of the two
//! it is from these. The time is passed in. See `docs/PLATFORM.md`.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use gooseberrylb_config::id;

/// Number of rounds of connections that must all fail for a cut. Many upstreams may crash at once.
const CUT_ROUNDS: u32 = 3;

/// Number of connections that are opened in a round after the first, which opens one.
const ROUND_CONNECTIONS: usize = 4;

/// Time after a response within which a silent upstream is silent by itself.
const HEARD_PERIOD: Duration = Duration::from_millis(200);

/// Time for which it is kept that an upstream answered or that connections to it failed.
const RETENTION: Duration = Duration::from_secs(10);

/// What happened to a request whose upstream may not be the reason.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Symptom {
    /// No connection could be established.
    Unreached,
    /// A connection ended.
    Lost,
    /// Nothing arrived in the expected time.
    Silent,
}

/// What is known of the reason of a failure.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// The entry reaches upstreams, so the failure is that of its upstream.
    Upstream,
    /// The entry is cut off from the upstreams.
    Cut,
    /// It is not known yet.
    Unknown,
}

/// Connections to upstreams as one entry sees them.
#[derive(Debug, Default)]
pub struct Reach {
    /// Upstreams to which connections have failed since one worked, with the times.
    failed: HashMap<id::Upstream, Instant>,
    /// Upstreams that have answered, with the times.
    heard: HashMap<id::Upstream, Instant>,
    /// Time at which a response arrived last.
    last_heard: Option<Instant>,
    /// Number of rounds of connections that have failed since one worked.
    failed_rounds: u32,
    /// Start of the newest connection that was established.
    established: Option<Instant>,
    /// Start of the newest connection that worked.
    worked: Option<Instant>,
    /// Beginning of the cut, if there is one.
    cut_since: Option<Instant>,
}

impl Reach {
    /// Records that a connection to an upstream could not be established, or ended.
    pub fn record_failure(&mut self, upstream: &id::Upstream, now: Instant) {
        self.failed.insert(upstream.clone(), now);
    }

    /// Records that all connections of a round failed. Returns whether a cut begins.
    pub fn record_failed_round(&mut self, now: Instant) -> bool {
        self.failed_rounds += 1;
        let begins = self.failed_rounds >= CUT_ROUNDS && self.cut_since.is_none();
        if begins {
            self.cut_since = Some(now);
        }
        begins
    }

    /// Records that a connection was established that was begun at `started`. It may still be reset,
    /// by something between the entry and the upstream.
    pub fn record_established(&mut self, started: Instant) {
        self.established = self.established.max(Some(started));
    }

    /// Records that a connection worked that was begun at `started`. Returns the length of the cut
    /// that this ends, if there was one.
    pub fn record_worked(&mut self, started: Instant, now: Instant) -> Option<Duration> {
        self.worked = self.worked.max(Some(started));
        self.failed_rounds = 0;
        let since = self.cut_since.take()?;
        Some(now.saturating_duration_since(since))
    }

    /// Records that an upstream answered.
    pub fn record_heard(&mut self, upstream: &id::Upstream, now: Instant) {
        self.last_heard = Some(now);
        self.failed.remove(upstream);
        self.heard.insert(upstream.clone(), now);
    }

    /// Whether the entry is cut off from the upstreams.
    pub fn is_cut(&self) -> bool {
        self.cut_since.is_some()
    }

    /// Returns the upstreams to connect to in the next round, of those that `listed` names: those that
    /// answered last, and those that have not failed, come first.
    pub fn candidates(
        &mut self,
        listed: impl IntoIterator<Item = id::Upstream>,
        now: Instant,
    ) -> Vec<id::Upstream> {
        let is_recent = |at: &Instant| now.saturating_duration_since(*at) < RETENTION;
        self.failed.retain(|_, at| is_recent(at));
        self.heard.retain(|_, at| is_recent(at));
        let mut candidates: Vec<_> = listed.into_iter().collect();
        candidates.sort_by_key(|upstream| {
            let is_failed = self.failed.contains_key(upstream);
            (!is_failed, self.heard.get(upstream).copied())
        });
        candidates.reverse();
        candidates.truncate(match self.failed_rounds {
            0 => 1,
            _ => ROUND_CONNECTIONS,
        });
        candidates
    }

    /// Returns the reason of a failure at `at`, as far as it is known.
    pub fn verdict(&self, symptom: Symptom, at: Instant) -> Verdict {
        let is_later = |time: Option<Instant>| time.is_some_and(|time| time >= at);
        let is_upstream = match symptom {
            Symptom::Unreached => is_later(self.established),
            Symptom::Lost => false,
            Symptom::Silent => is_later(self.last_heard.map(|heard| heard + HEARD_PERIOD)),
        };
        match self.is_cut() {
            true => Verdict::Cut,
            false if is_upstream || is_later(self.worked) => Verdict::Upstream,
            false => Verdict::Unknown,
        }
    }
}
