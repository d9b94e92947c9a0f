//! What upstreams say of their own availability in their responses: that they leave, for how long
//! they want no request, or how many a second they take.
//!
//! The platform's list reports the same later or not at all, so a listed upstream that has said so
//! gets no request. The time is passed in. See `docs/PLATFORM.md`.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use gooseberrylb_config::dialect::Statement;
use gooseberrylb_config::directory::ListedUpstream;
use gooseberrylb_config::id;
use gooseberrylb_config::number::Rate;
use serde::{Deserialize, Serialize};

/// Time after a statement within which the list may still show the upstream as it was before.
const LIST_DELAY: Duration = Duration::from_secs(5);

/// Time for which a statement is kept after its upstream has left the list, which may be read only
/// in part.
const RETENTION: Duration = Duration::from_secs(60);

/// What one instance tells another of an upstream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// Service of the upstream.
    pub service: id::Service,
    /// Upstream that the report is about.
    pub upstream: id::Upstream,
    /// Whether the upstream has said that it leaves.
    pub leaving: bool,
    /// Time that is left for which the upstream wants no request.
    pub closed_for: Option<Duration>,
    /// Limit of the upstream, if it has named one.
    pub limit: Option<Limit>,
}

/// Limit of an upstream as last heard.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Limit {
    /// Rate of the requests from all instances; `None` if the upstream names none any more.
    pub rate: Option<Rate>,
    /// Time since the upstream said so.
    pub age: Duration,
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
    /// Limit that the upstream named last, `None` in it if it names none any more, and when it said so.
    limit: Option<(Option<Rate>, Instant)>,
    /// Time of the last statement.
    heard: Instant,
    /// Whether the list has shown since that the upstream leaves or has left. If it is ready again
    /// after that, it has started anew.
    has_left: bool,
}

impl Record {
    fn new(service: &id::Service, now: Instant) -> Self {
        Self {
            service: service.clone(),
            leaving: false,
            closed_until: None,
            limit: None,
            heard: now,
            has_left: false,
        }
    }

    fn is_closed(&self, now: Instant) -> bool {
        self.closed_until.is_some_and(|end| now < end)
    }

    /// Returns the rate that the upstream takes, if it names one.
    fn rate(&self) -> Option<Rate> {
        self.limit.and_then(|(rate, _)| rate)
    }

    /// Takes over what was heard; returns whether it changes anything. A limit comes with the time at
    /// which the upstream named it, or named none any more.
    fn update(
        &mut self,
        leaving: bool,
        closed_until: Option<Instant>,
        limit: Option<(Option<Rate>, Instant)>,
    ) -> bool {
        let was = (self.leaving, self.closed_until, self.rate());
        self.leaving |= leaving;
        self.closed_until = self.closed_until.max(closed_until);
        let is_later = |(_, at): &(_, Instant)| self.limit.is_none_or(|(_, known)| known < *at);
        self.limit = limit.filter(is_later).or(self.limit);
        was != (self.leaving, self.closed_until, self.rate())
    }

    fn report(&self, upstream: &id::Upstream, now: Instant) -> Report {
        Report {
            service: self.service.clone(),
            upstream: upstream.clone(),
            leaving: self.leaving,
            closed_for: self
                .closed_until
                .map(|end| end.saturating_duration_since(now))
                .filter(|left| !left.is_zero()),
            limit: self.limit.map(|(rate, at)| Limit {
                rate,
                age: now.saturating_duration_since(at),
            }),
        }
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
    /// upstream wants no request, the one that ends last counts, and of several limits the last.
    pub fn record(
        &mut self,
        service: &id::Service,
        upstream: &id::Upstream,
        statement: Statement,
        now: Instant,
    ) -> bool {
        if statement == Statement::default() {
            return false;
        }
        let record = self.0.entry(upstream.clone());
        let record = record.or_insert_with(|| Record::new(service, now));
        record.heard = now;
        let closed_until = statement.closed_for.map(|time| now + time);
        let limit = statement.limit.map(|rate| (Some(rate), now));
        record.update(statement.leaving, closed_until, limit)
    }

    /// Records that a request that was sent at `sent` was served without a word of a limit; returns
    /// whether that lifts one.
    pub fn record_unlimited(
        &mut self,
        upstream: &id::Upstream,
        sent: Instant,
        now: Instant,
    ) -> bool {
        let Some(record) = self.0.get_mut(upstream) else {
            return false;
        };
        let is_later = record.limit.is_some_and(|(_, at)| at < sent);
        is_later && record.update(false, None, Some((None, now)))
    }

    /// Takes over what another instance tells; returns whether it is new.
    pub fn adopt(&mut self, report: &Report, now: Instant) -> bool {
        let record = self.0.entry(report.upstream.clone());
        let record = record.or_insert_with(|| Record::new(&report.service, now));
        record.heard = now;
        let closed_until = report.closed_for.map(|time| now + time);
        let limit = report.limit.map(|limit| {
            let at = now.checked_sub(limit.age).unwrap_or(now);
            (limit.rate, at)
        });
        record.update(report.leaving, closed_until, limit)
    }

    /// Returns the rate of requests that an upstream takes from all instances, if it is limited.
    pub fn limit(&self, upstream: &id::Upstream) -> Option<Rate> {
        self.0.get(upstream)?.rate()
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

    /// Returns what other instances need to know of an upstream now.
    pub fn report(&self, upstream: &id::Upstream, now: Instant) -> Option<Report> {
        Some(self.0.get(upstream)?.report(upstream, now))
    }

    /// Returns what other instances need to know now.
    pub fn reports(&self, now: Instant) -> Vec<Report> {
        let records = self.0.iter().filter(|(_, record)| {
            record.leaving || record.is_closed(now) || record.limit.is_some()
        });
        let reports = records.map(|(name, record)| record.report(name, now));
        reports.collect()
    }

    /// Compares the statements with the list, and forgets those of upstreams that have started anew
    /// or have been gone for long.
    pub fn update(&mut self, listing: impl Fn(&id::Upstream) -> Listing, now: Instant) {
        self.0.retain(|name, record| {
            let age = now.saturating_duration_since(record.heard);
            match listing(name) {
                Listing::Ready => {
                    let has_restarted = record.has_left && age >= LIST_DELAY;
                    let holds = record.leaving || record.is_closed(now) || record.rate().is_some();
                    !has_restarted && (holds || age < RETENTION)
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
