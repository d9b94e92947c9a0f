//! An entry's way to the upstreams: whether connections fail because of their upstreams, or because
//! the entry is cut off from all of them.
//!
//! An upstream that fails binds the whole fleet, so other entries are told of it. A cut binds only
//! the entry behind it. After a failed connection the entry opens others, and tells which of the two
//! it is from these. The time is passed in. See `docs/PLATFORM.md`.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use gooseberrylb_config::id;

/// Number of different upstreams to which connections must fail for a cut, or all if there are fewer.
const CUT_UPSTREAMS: usize = 3;

/// Number of connections that must fail for a cut among those that were opened to find out.
const CUT_PROBES: u32 = 2;

/// Time after a response within which a silent upstream is silent by itself.
const HEARD_PERIOD: Duration = Duration::from_millis(200);

/// What happened to a request whose upstream may not be the reason.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Symptom {
    /// A connection could not be opened, or ended.
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
    failed: BTreeMap<id::Upstream, Instant>,
    /// Number of failed connections that were opened to find out, since one worked.
    failed_probes: u32,
    /// Start of the newest connection that worked.
    opened: Option<Instant>,
    /// Time at which a response arrived last.
    heard: Option<Instant>,
    /// Beginning of the cut, if there is one.
    cut_since: Option<Instant>,
}

impl Reach {
    /// Records that a connection to an upstream could not be opened or ended without a response.
    pub fn record_failure(&mut self, upstream: &id::Upstream, now: Instant) {
        self.failed.insert(upstream.clone(), now);
    }

    /// Records that a connection failed that was opened to find out, with the number of listed
    /// upstreams. Returns whether this shows that a cut has begun.
    pub fn record_failed_probe(
        &mut self,
        upstream: &id::Upstream,
        listed: usize,
        now: Instant,
    ) -> bool {
        self.record_failure(upstream, now);
        self.failed_probes += 1;
        let is_cut =
            self.failed.len() >= CUT_UPSTREAMS.min(listed) && self.failed_probes >= CUT_PROBES;
        let begins = is_cut && self.cut_since.is_none();
        if begins {
            self.cut_since = Some(now);
        }
        begins
    }

    /// Records that a connection worked that was begun at `started`. Returns the length of the cut
    /// that this ends, if there was one.
    pub fn record_opened(&mut self, started: Instant, now: Instant) -> Option<Duration> {
        self.opened = self.opened.max(Some(started));
        self.failed.retain(|_, at| *at > started);
        self.failed_probes = 0;
        let since = self.cut_since.take()?;
        Some(now.saturating_duration_since(since))
    }

    /// Records that a response arrived.
    pub fn record_heard(&mut self, now: Instant) {
        self.heard = Some(now);
    }

    /// Whether the entry is cut off from the upstreams.
    pub fn is_cut(&self) -> bool {
        self.cut_since.is_some()
    }

    /// Whether a connection to an upstream has failed since one worked.
    pub fn has_failed(&self, upstream: &id::Upstream) -> bool {
        self.failed.contains_key(upstream)
    }

    /// Returns the reason of a failure at `at`, as far as it is known.
    pub fn verdict(&self, symptom: Symptom, at: Instant) -> Verdict {
        let is_later = self.opened.is_some_and(|opened| opened >= at);
        let is_heard = match symptom {
            Symptom::Lost => false,
            Symptom::Silent => self.heard.is_some_and(|heard| heard + HEARD_PERIOD >= at),
        };
        match self.is_cut() {
            true => Verdict::Cut,
            false if is_later || is_heard => Verdict::Upstream,
            false => Verdict::Unknown,
        }
    }
}
