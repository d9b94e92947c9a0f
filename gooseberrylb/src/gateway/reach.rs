//! Finds out whether failures at upstreams are due to these or to this entry's links, before the
//! dispatcher is told of them.

use std::rc::Rc;
use std::time::{Duration, Instant};

use async_std::net::TcpStream;
use async_std::{future, task};
use gooseberrylb_config::directory::ListedUpstream;
use gooseberrylb_config::id;
use gooseberrylb_policy::crash::{Cause, Ending};
use gooseberrylb_policy::dispatch::Outcome;
use gooseberrylb_policy::reach::{Symptom, Verdict};
use rand::seq::IteratorRandom;

use super::Gateway;
use super::http::Connection;
use super::place::Grant;
use super::pool::CONNECT_TIMEOUT;
use crate::metrics::METRICS;

/// Time after which a connection that was opened to find out, and was not ended meanwhile, works.
const PROBE_TIME: Duration = Duration::from_millis(50);

/// Time for which such a connection is kept for requests.
const PROBE_KEEP_TIME: Duration = Duration::from_secs(2);

/// Pause between two attempts to find out while nothing is known.
const PROBE_PAUSE: Duration = Duration::from_millis(50);

/// Pause between two attempts to reach an upstream during a cut.
const CUT_PROBE_PAUSE: Duration = Duration::from_millis(500);

/// Interval at which a failure whose reason is not known is looked at again.
const VERDICT_INTERVAL: Duration = Duration::from_millis(10);

/// Longest time to wait for the reason of a failure. After it nobody is told of the failure.
const MAX_VERDICT_WAIT: Duration = Duration::from_secs(1);

/// What a request that failed is reported as, if its upstream is the reason.
pub struct Report {
    /// What kind of failure it is.
    pub symptom: Symptom,
    /// Outcome for the dispatcher.
    pub outcome: Outcome,
    /// What the end of the run tells about causes of crashes.
    pub ending: Ending,
    /// What may have crashed the upstream.
    pub causes: Vec<Cause>,
}

impl Gateway {
    /// Ends a grant whose request failed at its upstream. The outcome is reported once it is clear
    /// that the upstream is the reason; otherwise the grant is dropped.
    pub(super) fn end_failed(self: &Rc<Self>, grant: Grant, report: Report) {
        let failed_at = self.core.clock.now();
        self.suspect(&grant.upstream, report.symptom);
        let gateway = self.clone();
        task::spawn_local(async move {
            let verdict = gateway.verdict(report.symptom, failed_at).await;
            if verdict == Verdict::Upstream {
                grant.record_ending(&report.causes, report.ending, failed_at);
                grant.end(report.outcome);
            }
        });
    }

    /// Reports that the upstream of a grant is silent, once it is clear that the upstream is the
    /// reason.
    pub(super) fn report_silence(self: &Rc<Self>, grant: &Grant) {
        let failed_at = self.core.clock.now();
        self.suspect(&grant.upstream, Symptom::Silent);
        let (gateway, key) = (self.clone(), grant.key().clone());
        task::spawn_local(async move {
            if gateway.verdict(Symptom::Silent, failed_at).await == Verdict::Upstream {
                gateway.placer.report_silence(key);
            }
        });
    }

    /// Records that a connection to an upstream that was begun at `started` has worked.
    pub(super) fn record_opened(&self, started: Instant) {
        let now = self.core.clock.now();
        if let Some(length) = self.reach.borrow_mut().record_opened(started, now) {
            METRICS.cut_off.set(0);
            log::info!(ms = length.as_millis() as u64; "reaches upstreams again");
        }
    }

    /// Records that a response arrived.
    pub(super) fn record_heard(&self) {
        let now = self.core.clock.now();
        self.reach.borrow_mut().record_heard(now);
    }

    /// Whether this entry is cut off from the upstreams.
    pub(super) fn is_cut(&self) -> bool {
        self.reach.borrow().is_cut()
    }

    /// Records a failure, and begins to look for its reason if that is not known.
    fn suspect(self: &Rc<Self>, upstream: &id::Upstream, symptom: Symptom) {
        let now = self.core.clock.now();
        if symptom == Symptom::Lost {
            self.reach.borrow_mut().record_failure(upstream, now);
        }
        if self.reach.borrow().verdict(symptom, now) == Verdict::Upstream {
            return;
        }
        if self.suspected_at.replace(Some(now)).is_none() {
            task::spawn_local(probe_until_known(self.clone()));
        }
    }

    /// Waits for the reason of a failure.
    pub(super) async fn verdict(&self, symptom: Symptom, failed_at: Instant) -> Verdict {
        let end = failed_at + MAX_VERDICT_WAIT;
        loop {
            let verdict = self.reach.borrow().verdict(symptom, failed_at);
            if verdict != Verdict::Unknown || self.core.clock.now() >= end {
                return verdict;
            }
            task::sleep(VERDICT_INTERVAL).await;
        }
    }

    /// Opens a connection to an upstream, rather to one that has not failed, and keeps it for
    /// requests. Returns whether it worked.
    async fn probe(&self) -> bool {
        let directory = self.core.published().directory.clone();
        let listed = || directory.listed.iter().filter(|(_, u)| !u.draining);
        let sound = listed().filter(|(name, _)| !self.reach.borrow().has_failed(name));
        let mut rng = rand::rng();
        let chosen = sound.choose(&mut rng);
        let Some((name, upstream)) = chosen.or_else(|| listed().choose(&mut rng)) else {
            return false;
        };
        let started = self.core.clock.now();
        match self.open_probe(upstream).await {
            Some(connection) => {
                let until = self.core.clock.now() + PROBE_KEEP_TIME;
                self.pool.keep(upstream.address, connection, until);
                self.record_opened(started);
                true
            }
            None => {
                let now = self.core.clock.now();
                let mut reach = self.reach.borrow_mut();
                if reach.record_failed_probe(name, listed().count(), now) {
                    METRICS.cut_off.set(1);
                    log::warn!(upstream:% = name; "cut off from the upstreams; other entries forward the requests");
                }
                false
            }
        }
    }

    /// Opens a connection that lasts for [`PROBE_TIME`]; a middlebox may accept and then reset it.
    async fn open_probe(&self, upstream: &ListedUpstream) -> Option<Connection> {
        METRICS.upstream_connections.inc();
        let connecting = future::timeout(CONNECT_TIMEOUT, TcpStream::connect(upstream.address));
        let connection = Connection::new(connecting.await.ok()?.ok()?);
        task::sleep(PROBE_TIME).await;
        connection.is_idle().await.then_some(connection)
    }
}

/// Opens connections until one works that began after the last failure, also if that takes until the
/// end of a cut.
async fn probe_until_known(gateway: Rc<Gateway>) {
    while let Some(suspected_at) = gateway.suspected_at.get() {
        let verdict = gateway.reach.borrow().verdict(Symptom::Lost, suspected_at);
        match verdict {
            Verdict::Upstream => break,
            Verdict::Cut => task::sleep(CUT_PROBE_PAUSE).await,
            Verdict::Unknown => {}
        }
        if !gateway.probe().await && !gateway.is_cut() {
            // Two at once: each may take as long as an unanswered connection attempt.
            let (first, second) = futures::join!(gateway.probe(), gateway.probe());
            if !first && !second {
                task::sleep(PROBE_PAUSE).await;
            }
        }
    }
    gateway.suspected_at.set(None);
}
