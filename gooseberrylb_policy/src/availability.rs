//! What upstreams say of their own availability in their responses: that they leave, for how long
//! they want no request, how many a second they take, or how few they can turn away.
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

/// Longest time that an upstream may be closed for, whatever another instance tells.
const MAX_CLOSED: Duration = Duration::from_secs(3600);

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
    /// Rate of the requests from all instances, if the upstream has named one.
    pub limit: Option<Said<Rate>>,
    /// Number of requests that the upstream can turn away in a second, if it has named one.
    pub tolerance: Option<Said<u32>>,
}

/// What an upstream said last of something that holds for as long as it says so.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Said<T> {
    /// What it said; `None` if it does not say so any more.
    pub value: Option<T>,
    /// Time since then.
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

/// What an upstream said last of something, and when.
#[derive(Debug, Clone, Copy)]
struct Latest<T>(Option<(Option<T>, Instant)>);

impl<T: Copy> Latest<T> {
    fn value(&self) -> Option<T> {
        self.0.and_then(|(value, _)| value)
    }

    /// Takes over what was said later than what is known.
    fn update(&mut self, said: Option<(Option<T>, Instant)>) {
        let is_later = |(_, at): &(_, Instant)| self.0.is_none_or(|(_, known)| known < *at);
        self.0 = said.filter(is_later).or(self.0);
    }

    /// Returns that nothing is said any more, if a request that was sent at `sent` shows it.
    fn unsaid(&self, sent: Instant, now: Instant) -> Option<(Option<T>, Instant)> {
        let is_later = self.0.is_some_and(|(_, at)| at < sent);
        is_later.then_some((None, now))
    }

    fn said(&self, now: Instant) -> Option<Said<T>> {
        self.0.map(|(value, at)| Said {
            value,
            age: now.saturating_duration_since(at),
        })
    }
}

impl<T> Said<T> {
    /// Returns what was said, with its time.
    fn at(self, now: Instant) -> (Option<T>, Instant) {
        (self.value, now.checked_sub(self.age).unwrap_or(now))
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
    /// Rate of the requests from all instances.
    limit: Latest<Rate>,
    /// Number of requests that the upstream can turn away in a second.
    tolerance: Latest<u32>,
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
            limit: Latest(None),
            tolerance: Latest(None),
            heard: now,
            has_left: false,
        }
    }

    fn is_closed(&self, now: Instant) -> bool {
        self.closed_until.is_some_and(|end| now < end)
    }

    /// Returns what the upstream says, without the time at which it did.
    fn content(&self) -> (bool, Option<Instant>, Option<Rate>, Option<u32>) {
        let (limit, tolerance) = (self.limit.value(), self.tolerance.value());
        (self.leaving, self.closed_until, limit, tolerance)
    }

    /// Whether the upstream says anything that binds requests now.
    fn holds(&self, now: Instant) -> bool {
        let (leaving, _, limit, tolerance) = self.content();
        leaving || self.is_closed(now) || limit.is_some() || tolerance.is_some()
    }

    /// Takes over what was heard; returns whether it changes anything. A limit and a tolerance come
    /// with the time at which the upstream named them, or named none any more.
    fn update(
        &mut self,
        leaving: bool,
        closed_until: Option<Instant>,
        limit: Option<(Option<Rate>, Instant)>,
        tolerance: Option<(Option<u32>, Instant)>,
    ) -> bool {
        let was = self.content();
        self.leaving |= leaving;
        self.closed_until = self.closed_until.max(closed_until);
        self.limit.update(limit);
        self.tolerance.update(tolerance);
        was != self.content()
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
            limit: self.limit.said(now),
            tolerance: self.tolerance.said(now),
        }
    }
}

/// Statements of upstreams by their names. An upstream that starts anew mostly has a new name.
#[derive(Debug, Clone, Default)]
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
        let tolerance = statement.tolerance.map(|number| (Some(number), now));
        record.update(statement.leaving, closed_until, limit, tolerance)
    }

    /// Records that a request that was sent at `sent` was served with a statement. Returns whether
    /// that lifts a limit or a tolerance that it does not name.
    pub fn record_served(
        &mut self,
        upstream: &id::Upstream,
        statement: Statement,
        sent: Instant,
        now: Instant,
    ) -> bool {
        let Some(record) = self.0.get_mut(upstream) else {
            return false;
        };
        let limit = record.limit.unsaid(sent, now);
        let tolerance = record.tolerance.unsaid(sent, now);
        record.update(
            false,
            None,
            limit.filter(|_| statement.limit.is_none()),
            tolerance.filter(|_| statement.tolerance.is_none()),
        )
    }

    /// Takes over what another instance tells; returns whether it is new.
    pub fn adopt(&mut self, report: &Report, now: Instant) -> bool {
        let record = self.0.entry(report.upstream.clone());
        let record = record.or_insert_with(|| Record::new(&report.service, now));
        record.heard = now;
        let closed_for = report.closed_for.map(|time| time.min(MAX_CLOSED));
        let closed_until = closed_for.map(|time| now + time);
        let limit = report.limit.map(|said| said.at(now));
        let tolerance = report.tolerance.map(|said| said.at(now));
        record.update(report.leaving, closed_until, limit, tolerance)
    }

    /// Returns the rate of requests that an upstream takes from all instances, if it is limited.
    pub fn limit(&self, upstream: &id::Upstream) -> Option<Rate> {
        self.0.get(upstream)?.limit.value()
    }

    /// Returns the number of requests that an upstream can turn away in a second, if it is brittle.
    pub fn tolerance(&self, upstream: &id::Upstream) -> Option<u32> {
        self.0.get(upstream)?.tolerance.value()
    }

    /// Returns the lowest number of requests that an upstream of a service can turn away in a second, if
    /// one is brittle. One that falls over comes back under another name, and as brittle.
    pub fn service_tolerance(&self, service: &id::Service) -> Option<u32> {
        let records = self.0.values().filter(|record| record.service == *service);
        records.filter_map(|record| record.tolerance.value()).min()
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
        let is_worth_telling = |record: &Record| {
            record.holds(now) || record.limit.0.is_some() || record.tolerance.0.is_some()
        };
        let records = self.0.iter();
        let records = records.filter(|(_, record)| is_worth_telling(record));
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
                    !has_restarted && (record.holds(now) || age < RETENTION)
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
