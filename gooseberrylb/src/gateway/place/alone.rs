//! Placement while the dispatcher is silent: by this entry's own requests, and its part of the
//! upstreams and quotas.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use gooseberrylb_config::directory::Directory;
use gooseberrylb_config::id;
use gooseberrylb_policy::dispatch::{Charge, Decision, Notice, Outcome, Reason, Request};
use gooseberrylb_policy::quota;

use super::{ALONE_PERIOD, FAILOVER_PERIOD, MAX_PENDING_CHARGES, SESSION_SILENCE_LIMIT};
use super::{PendingCharge, Placement, Placer};
use crate::control::dispatch;
use crate::gateway::session::Session;
use crate::metrics::METRICS;

impl Placer {
    /// Switches to placement without the dispatcher for [`ALONE_PERIOD`].
    pub(super) fn suspect_dispatcher(&self, session: &Session, address: SocketAddr, now: Instant) {
        if self.alone_until.replace(Some(now + ALONE_PERIOD)).is_none() {
            log::warn!(dispatcher:% = address; "the dispatcher does not answer; placing requests without it");
        }
        METRICS.dispatcher_lost.inc();
        // A dispatcher that is only late is asked again in the same session, and one whose connection
        // broke in a new one.
        let is_silent = session.silence(now) > SESSION_SILENCE_LIMIT;
        if is_silent {
            session.close();
        }
        if is_silent || (!session.is_alive() && !session.has_answered()) {
            self.failover_until.set(Some(now + FAILOVER_PERIOD));
        }
        self.core.suspect(address);
    }

    /// Places a request without the dispatcher, based on this entry's own requests and its part of
    /// the upstreams and quotas.
    pub(super) fn place_alone(self: &Rc<Self>, request: Request) -> Placement {
        let now = self.core.clock.now();
        let published = self.core.published();
        METRICS.placed_alone.inc();
        let mut fallback = self.fallback.borrow_mut();
        if self.fallback_revision.get() != Some(published.directory.revision) {
            self.fallback_revision
                .set(Some(published.directory.revision));
            let part = self.own_part(&published.directory);
            dispatch::refresh(&self.core, &published.directory, &mut fallback, &part, now);
            fallback.update_listing(|name| dispatch::listing(&published.directory, name), now);
            fallback.apply(self.snapshot_notice(&published.directory), now);
        }
        if let Some(wait) = self.own_quota_wait(&request, now) {
            return Placement::Refused(Reason::Quota, wait);
        }
        // The quota is checked; the fallback knows only what was placed alone.
        let unmetered = Request {
            units: 0.0,
            ..request.clone()
        };
        let decision = fallback.place(unmetered, now);
        let dropped = Notice {
            ended: vec![(request.key.clone(), Outcome::Dropped)],
            ..Notice::default()
        };
        match decision {
            Decision::Grant(upstream) => match self.grant(&request, &upstream, true) {
                Some(grant) => {
                    self.report_alone(request);
                    Placement::Granted(grant)
                }
                None => Placement::Refused(Reason::NoUpstream, ALONE_PERIOD),
            },
            Decision::Refuse(reason, pause) => Placement::Refused(reason, pause),
            Decision::Wait | Decision::Unknown => {
                fallback.apply(dropped, now);
                Placement::Refused(Reason::Busy, ALONE_PERIOD)
            }
        }
    }

    /// Queues a notice to the dispatcher of a request that was placed without it.
    fn report_alone(self: &Rc<Self>, request: Request) {
        let mut outbox = self.outbox.borrow_mut();
        let running = self.running.borrow();
        outbox.started.extend(running.get(&request.key).cloned());
        if let Some(account) = request.account {
            let mut pending_charges = self.pending_charges.borrow_mut();
            pending_charges.push_back(PendingCharge {
                charge: Charge {
                    key: request.key,
                    account,
                    units: request.units,
                    age: Duration::ZERO,
                },
                at: self.core.clock.now(),
                notice: None,
            });
            if pending_charges.len() > MAX_PENDING_CHARGES {
                pending_charges.pop_front();
            }
        }
        drop(outbox);
        self.flush_soon();
    }

    /// Returns this entry's position among the entries that are not leaving.
    fn own_part(&self, directory: &Directory) -> dispatch::Part {
        let is_own = |(name, _): (&id::Instance, _)| *name == self.core.identity.name;
        dispatch::Part::Entry {
            index: directory.entries().position(is_own).unwrap_or_default(),
            count: directory.entries().count(),
        }
    }

    /// Returns a notice of all running requests and measured rates, for a new dispatcher.
    pub(super) fn snapshot_notice(&self, directory: &Directory) -> Notice {
        let running = self.running.borrow().values().cloned().collect();
        let mut rates = self.rates.borrow_mut();
        rates.retain(|upstream, _| directory.listed.contains_key(upstream));
        let rates = rates
            .iter()
            .map(|(upstream, (service, rates))| (service.clone(), upstream.clone(), *rates));
        Notice {
            running: Some((self.core.identity.name.clone(), running)),
            rates: rates.collect(),
            ..Notice::default()
        }
    }

    /// Returns how long until a request fits into this entry's part of its account's quota, or `None`
    /// if it fits now.
    fn own_quota_wait(&self, request: &Request, now: Instant) -> Option<Duration> {
        let account = request.account.as_ref()?;
        let published = self.core.published();
        let table = self.core.table(&published.directory)?;
        let mut accounts = table.declaration.accounts.iter();
        let quota = accounts.find(|known| known.name == *account)?.quota?;
        let entries = published.directory.entries().count();
        let window = self.quota_window();
        let part = quota::Part {
            limit: (quota.per_second * window.as_secs_f64() + quota.burst) / entries.max(1) as f64,
            window,
            counted: now.saturating_duration_since(self.started),
        };
        let usage = self.usage.borrow();
        let used = usage.get(account).into_iter().flatten();
        let used = used.map(|(at, units)| (now.saturating_duration_since(*at), *units));
        part.wait_time(&used.collect::<Vec<_>>(), request.units)
    }
}
