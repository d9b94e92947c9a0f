//! What an entry knows of upstreams and of what crashes them: what it heard itself and tells its
//! dispatcher, and what the dispatcher tells it. Both bind its requests, also while it places them alone.

use std::time::{Duration, Instant};

use gooseberrylb_config::dialect::Statement;
use gooseberrylb_config::id;
use gooseberrylb_policy::announcement::{self, Announcement};
use gooseberrylb_policy::crash::{Cause, Ending, Report, Seat};
use gooseberrylb_policy::warm_up::Cold;

use super::Placer;
use crate::control::dispatch::{self, announce};
use crate::metrics::METRICS;

impl Placer {
    /// Returns the upstreams of a service that have told this entry that they want no requests.
    pub(super) fn unavailable(&self, service: &id::Service) -> Vec<id::Upstream> {
        self.compare_with_list();
        let availability = self.availability.borrow();
        availability.unavailable(service, self.core.clock.now())
    }

    /// Compares what upstreams said with the list, if that has changed, so that those that started
    /// anew are not taken for what they were before.
    pub(super) fn compare_with_list(&self) {
        let mut availability = self.availability.borrow_mut();
        if availability.is_empty() {
            return;
        }
        let now = self.core.clock.now();
        let directory = &self.core.published().directory;
        if self.availability_revision.replace(Some(directory.revision)) != Some(directory.revision)
        {
            availability.update(|name| dispatch::listing(directory, name), now);
        }
    }

    /// Takes over what an upstream said of its availability in a response, and tells the dispatcher.
    /// A success that names no limit or tolerance lifts an earlier one; `served` is the time at which its request
    /// was sent.
    pub(super) fn record_statement(
        &self,
        service: &id::Service,
        upstream: &id::Upstream,
        statement: Statement,
        served: Option<Instant>,
    ) {
        let now = self.core.clock.now();
        let mut availability = self.availability.borrow_mut();
        let mut is_new = availability.record(service, upstream, statement, now);
        if let Some(sent) = served {
            is_new |= availability.record_served(upstream, statement, sent, now);
        }
        for (kind, is_said) in [
            ("leaving", statement.leaving),
            ("closed", statement.closed_for.is_some()),
            ("limit", statement.limit.is_some()),
            ("brittle", statement.tolerance.is_some()),
        ] {
            if is_said {
                METRICS.statements.with_label_values(&[kind]).inc();
            }
        }
        if !is_new {
            return;
        }
        let Some(report) = availability.report(upstream, now) else {
            return;
        };
        let announcement = Announcement::Upstream(report);
        announce::log(&self.core.identity.name, &announcement);
        let announcements = vec![announcement];
        let mut fallback = self.fallback.borrow_mut();
        fallback.announce(announcements.clone(), now);
        self.announce(announcements);
    }

    /// Takes over for how long an upstream says that it stays cold, and tells the dispatcher.
    pub(super) fn record_cold(
        &self,
        service: &id::Service,
        upstream: &id::Upstream,
        left: Duration,
    ) {
        let now = self.core.clock.now();
        let cold = Cold {
            service: service.clone(),
            upstream: upstream.clone(),
            left,
        };
        let announcements = vec![Announcement::Cold(cold)];
        let news = self.fallback.borrow_mut().announce(announcements, now);
        let own = &self.core.identity.name;
        news.iter().for_each(|news| announce::log(own, news));
        self.announce(news);
    }

    /// Records what the end of a run at a time told about what may crash upstreams, and tells the
    /// dispatcher.
    pub(super) fn record_ending(
        &self,
        upstream: &id::Upstream,
        causes: &[Cause],
        ending: Ending,
        at: Instant,
    ) {
        let now = self.core.clock.now();
        let blocked = causes.iter().filter(|cause| self.is_blocked(cause));
        let blocked: Vec<_> = blocked.copied().collect();
        let mut crashes = self.crashes.borrow_mut();
        let news = crashes.record(upstream, causes, ending, at, now);
        for report in &news {
            if let Report::Served { cause, .. } = report
                && blocked.contains(cause)
            {
                record_lifted(cause);
            }
        }
        let news: Vec<_> = news.into_iter().map(Announcement::Crash).collect();
        let own = &self.core.identity.name;
        news.iter().for_each(|news| announce::log(own, news));
        self.announce(news);
    }

    /// Takes over what the dispatcher tells of a cause of crashes, and answers it if that is known to
    /// be sound here.
    fn adopt_crash(&self, dispatcher: &id::Instance, report: Report) {
        let now = self.core.clock.now();
        let blocked = match &report {
            Report::Served { cause, .. } => Some(*cause).filter(|cause| self.is_blocked(cause)),
            Report::Crashed { .. } | Report::Blocked { .. } => None,
        };
        let replies = self.crashes.borrow().replies(&report, now);
        let news = self.crashes.borrow_mut().adopt(report, now);
        if let Some(cause) = blocked.filter(|cause| !self.is_blocked(cause)) {
            record_lifted(&cause);
        }
        for news in news {
            announce::log(dispatcher, &Announcement::Crash(news));
        }
        self.announce(replies.into_iter().map(Announcement::Crash).collect());
    }

    /// Whether requests with a cause are refused.
    fn is_blocked(&self, cause: &Cause) -> bool {
        self.blocked(&[*cause]).is_some()
    }

    /// Returns a cause that is blocked now and the time for which it still is, if there is one.
    pub(super) fn blocked(&self, causes: &[Cause]) -> Option<(Cause, Duration)> {
        let now = self.core.clock.now();
        self.crashes.borrow().blocked(causes, now)
    }

    /// Returns whether a request runs though it has a blocked cause, to find out whether the block is
    /// wrong, or the cause because of which it is refused.
    pub(super) fn admit(&self, causes: &[Cause]) -> Result<bool, (Cause, Duration)> {
        let Some((cause, _)) = self.blocked(causes) else {
            return Ok(false);
        };
        let seat = self.seat();
        let now = self.core.clock.now();
        let refused = self.crashes.borrow_mut().refuse(causes, seat, now);
        refused.map_or(Ok(()), Err)?;
        METRICS
            .crash_trials
            .with_label_values(&[cause.kind()])
            .inc();
        log::info!(cause:% = cause; "trying a blocked cause of crashes again");
        Ok(true)
    }

    /// Returns the place of this entry among all entries while it is in touch with a dispatcher.
    fn seat(&self) -> Option<Seat> {
        let now = self.core.clock.now();
        let is_alone = self.alone_until.get().is_some_and(|end| now < end);
        let session = self.session.borrow().clone();
        if is_alone || !session.is_some_and(|session| session.is_alive()) {
            return None;
        }
        let directory = &self.core.published().directory;
        let number = directory
            .entries()
            .position(|(name, _)| *name == self.core.identity.name)?;
        let count = directory.entries().count();
        Some(Seat { number, count })
    }

    /// Tells the dispatcher, if there is a session. A later one begins with all that is known.
    fn announce(&self, announcements: Vec<Announcement>) {
        let session = self.session.borrow().clone();
        if let Some(session) = session.filter(|session| session.is_alive()) {
            session.announce(announcements);
        }
    }

    /// Takes over what the dispatcher tells.
    pub(super) fn adopt(&self, dispatcher: &id::Instance, announcements: Vec<Announcement>) {
        let now = self.core.clock.now();
        for announcement in announcements {
            match announcement {
                Announcement::Crash(report) => self.adopt_crash(dispatcher, report),
                Announcement::Cold(_) => {
                    let mut fallback = self.fallback.borrow_mut();
                    let news = fallback.announce(vec![announcement], now);
                    news.iter().for_each(|news| announce::log(dispatcher, news));
                }
                Announcement::Upstream(report) => {
                    let is_new = self.availability.borrow_mut().adopt(&report, now);
                    let announcement = Announcement::Upstream(report);
                    if is_new {
                        announce::log(dispatcher, &announcement);
                    }
                    let mut fallback = self.fallback.borrow_mut();
                    fallback.announce(vec![announcement], now);
                }
            }
        }
    }

    /// Returns what a new dispatcher needs to know of upstreams and crashes.
    pub(super) fn announcements(&self) -> Vec<Announcement> {
        let now = self.core.clock.now();
        let upstreams = self.availability.borrow().reports(now);
        let cold = self.fallback.borrow().cold_reports(now);
        announcement::join(upstreams, self.crashes.borrow().reports(now), cold)
    }
}

fn record_lifted(cause: &Cause) {
    METRICS
        .crash_blocks_lifted
        .with_label_values(&[cause.kind()])
        .inc();
    log::info!(cause:% = cause; "lifted the block of a cause that is sound");
}
