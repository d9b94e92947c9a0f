//! What an entry knows of upstreams and of what crashes them: what it heard itself and tells its
//! dispatcher, and what the dispatcher tells it. Both bind its requests, also while it places them alone.

use std::time::{Duration, Instant};

use gooseberrylb_config::dialect::Statement;
use gooseberrylb_config::id;
use gooseberrylb_policy::announcement::{self, Announcement};
use gooseberrylb_policy::crash::{Cause, Ending};
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
        let mut crashes = self.crashes.borrow_mut();
        let news = crashes
            .record(upstream, causes, ending, at, now)
            .into_iter();
        let news: Vec<_> = news.map(Announcement::Crash).collect();
        let own = &self.core.identity.name;
        news.iter().for_each(|news| announce::log(own, news));
        self.announce(news);
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
                Announcement::Crash(report) => {
                    let news = self.crashes.borrow_mut().adopt(report, now).into_iter();
                    news.for_each(|news| {
                        announce::log(dispatcher, &Announcement::Crash(news));
                    });
                }
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
