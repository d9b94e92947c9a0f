//! What upstreams say of their own availability in their responses: that they leave, or for how
//! long they want no request.
//!
//! The platform's list reports the same later or not at all, so a listed upstream that has said so
//! gets no request. The time is passed in. See `docs/PLATFORM.md`.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use gooseberrylb_config::dialect::Statement;
use gooseberrylb_config::directory::ListedUpstream;
use gooseberrylb_config::id;
use serde::{Deserialize, Serialize};

/// Time after a statement within which the list may still show the upstream as it was before.
const LIST_DELAY: Duration = Duration::from_secs(5);

/// Time for which a statement is kept after its upstream has left the list, which may be read only
/// in part.
const RETENTION: Duration = Duration::from_secs(60);

/// A statement as one instance passes it on to another.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// Service of the upstream.
    pub service: id::Service,
    /// Upstream that the statement is about.
    pub upstream: id::Upstream,
    /// The statement, with the time that is left now.
    pub statement: Statement,
}

/// State of an upstream in the platform's list.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Listing {
    /// The upstream is listed as ready.
    Ready,
    /// The upstream is listed as draining.
    Draining,
    /// The upstream is not listed.
    Absent,
}

impl Listing {
    /// Returns the state that an entry of the list shows.
    pub fn new(listed: Option<&ListedUpstream>) -> Self {
        match listed {
            None => Self::Absent,
            Some(listed) if listed.draining => Self::Draining,
            Some(_) => Self::Ready,
        }
    }
}

/// What is known of one upstream.
#[derive(Debug, Clone)]
struct Record {
    service: id::Service,
    /// Whether the upstream has said that it leaves.
    leaving: bool,
    /// Time until which the upstream wants no request.
    closed_until: Option<Instant>,
    /// Time of the last statement.
    heard: Instant,
    /// Whether the list has shown since that the upstream leaves or has left. If it is ready again
    /// after that, it has started anew.
    has_left: bool,
}

impl Record {
    fn is_closed(&self, now: Instant) -> bool {
        self.closed_until.is_some_and(|end| now < end)
    }
}

/// Statements of upstreams by their names. An upstream that starts anew mostly has a new name.
#[derive(Debug, Default)]
pub struct Table(HashMap<id::Upstream, Record>);

impl Table {
    /// Whether no upstream has made a statement.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Records a statement; returns whether it says anything new. Of several times for which an
    /// upstream wants no request, the one that ends last counts.
    pub fn record(
        &mut self,
        service: &id::Service,
        upstream: &id::Upstream,
        statement: Statement,
        now: Instant,
    ) -> bool {
        if !statement.leaving && statement.closed_for.is_none() {
            return false;
        }
        let record = self.0.entry(upstream.clone()).or_insert_with(|| Record {
            service: service.clone(),
            leaving: false,
            closed_until: None,
            heard: now,
            has_left: false,
        });
        let was = (record.leaving, record.closed_until);
        record.heard = now;
        record.leaving |= statement.leaving;
        let end = statement.closed_for.map(|time| now + time);
        record.closed_until = record.closed_until.max(end);
        was != (record.leaving, record.closed_until)
    }

    /// Whether an upstream has said that it leaves.
    pub fn is_leaving(&self, upstream: &id::Upstream) -> bool {
        self.0.get(upstream).is_some_and(|record| record.leaving)
    }

    /// Returns the time until which an upstream wants no request, also if it has passed.
    pub fn closed_until(&self, upstream: &id::Upstream) -> Option<Instant> {
        self.0.get(upstream)?.closed_until
    }

    /// Whether an upstream wants no request now.
    pub fn is_unavailable(&self, upstream: &id::Upstream, now: Instant) -> bool {
        let record = self.0.get(upstream);
        record.is_some_and(|record| record.leaving || record.is_closed(now))
    }

    /// Returns the upstreams of a service that want no request now.
    pub fn unavailable(&self, service: &id::Service, now: Instant) -> Vec<id::Upstream> {
        let records = self.0.iter();
        let records = records.filter(|(_, record)| record.service == *service);
        let records = records.filter(|(_, record)| record.leaving || record.is_closed(now));
        records.map(|(name, _)| name.clone()).collect()
    }

    /// Returns what other instances need to know now.
    pub fn reports(&self, now: Instant) -> Vec<Report> {
        let records = self.0.iter();
        let records = records.filter(|(_, record)| record.leaving || record.is_closed(now));
        let report = |(name, record): (&id::Upstream, &Record)| Report {
            service: record.service.clone(),
            upstream: name.clone(),
            statement: Statement {
                leaving: record.leaving,
                closed_for: record
                    .closed_until
                    .map(|end| end.saturating_duration_since(now))
                    .filter(|left| !left.is_zero()),
                limit: None,
            },
        };
        records.map(report).collect()
    }

    /// Compares the statements with the list, and forgets those of upstreams that have started anew
    /// or have been gone for long.
    pub fn update(&mut self, listing: impl Fn(&id::Upstream) -> Listing, now: Instant) {
        self.0.retain(|name, record| {
            let age = now.saturating_duration_since(record.heard);
            match listing(name) {
                Listing::Ready => {
                    let has_restarted = record.has_left && age >= LIST_DELAY;
                    !has_restarted && (record.leaving || record.is_closed(now) || age < RETENTION)
                }
                Listing::Draining => {
                    record.has_left = true;
                    true
                }
                Listing::Absent => {
                    record.has_left = true;
                    record.is_closed(now) || age < RETENTION
                }
            }
        });
    }
}
