//! Finds out whether failures at upstreams are due to these or to this entry's links, before the
//! dispatcher is told of them.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use async_std::net::TcpStream;
use async_std::{future, task};
use gooseberrylb_config::id;
use gooseberrylb_policy::crash::{Cause, Ending};
use gooseberrylb_policy::dispatch::Outcome;
use gooseberrylb_policy::reach::{Symptom, Verdict};
use rand::seq::SliceRandom;

use super::Gateway;
use super::http::Connection;
use super::place::Grant;
use super::pool::CONNECT_TIMEOUT;
use crate::metrics::METRICS;

/// Time after which a connection that was opened to find out, and was not ended meanwhile, works.
const PROBE_TIME: Duration = Duration::from_millis(150);

/// Time for which such a connection is kept for requests.
const PROBE_KEEP_TIME: Duration = Duration::from_secs(2);

/// Pause between two rounds of connections while nothing is known.
const PROBE_PAUSE: Duration = Duration::from_millis(20);

/// Pause between two rounds of connections during a cut.
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

    /// Records that a connection to an upstream that was begun at `started` was established.
    pub(super) fn record_established(&self, started: Instant) {
        self.reach.borrow_mut().record_established(started);
    }

    /// Records that a connection to an upstream that was begun at `started` has worked.
    pub(super) fn record_worked(&self, started: Instant) {
        let now = self.core.clock.now();
        if let Some(length) = self.reach.borrow_mut().record_worked(started, now) {
            METRICS.cut_off.set(0);
            log::info!(ms = length.as_millis() as u64; "reaches upstreams again");
        }
    }

    /// Records that an upstream answered.
    pub(super) fn record_heard(&self, upstream: &id::Upstream) {
        let now = self.core.clock.now();
        self.reach.borrow_mut().record_heard(upstream, now);
    }

    /// Whether this entry is cut off from the upstreams.
    pub(super) fn is_cut(&self) -> bool {
        self.reach.borrow().is_cut()
    }

    /// Records a failure, and begins to look for its reason if that is not known.
    fn suspect(self: &Rc<Self>, upstream: &id::Upstream, symptom: Symptom) {
        let now = self.core.clock.now();
        match symptom {
            Symptom::Unreached | Symptom::Lost => {
                self.reach.borrow_mut().record_failure(upstream, now);
            }
            Symptom::Silent => {}
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

    /// Opens connections to some upstreams at the same time and keeps them for requests. Returns
    /// whether one worked.
    async fn probe(&self) -> bool {
        let directory = self.core.published().directory.clone();
        let listed = directory.listed.iter().filter(|(_, u)| !u.draining);
        let mut names: Vec<_> = listed.map(|(name, _)| name.clone()).collect();
        names.shuffle(&mut rand::rng());
        let now = self.core.clock.now();
        let candidates = self.reach.borrow_mut().candidates(names, now);
        let probes = candidates.iter().filter_map(|name| {
            let upstream = directory.listed.get(name)?;
            Some(self.probe_one(name, upstream.address))
        });
        let worked = futures::future::join_all(probes).await;
        if worked.contains(&true) {
            return true;
        }
        let now = self.core.clock.now();
        if self.reach.borrow_mut().record_failed_round(now) {
            METRICS.cut_off.set(1);
            log::warn!("cut off from the upstreams; other entries forward the requests");
        }
        false
    }

    /// Opens a connection to an upstream. It works if it lasts for [`PROBE_TIME`], since something in
    /// between may accept and then reset it.
    async fn probe_one(&self, name: &id::Upstream, address: SocketAddr) -> bool {
        METRICS.upstream_connections.inc();
        let started = self.core.clock.now();
        let connecting = future::timeout(CONNECT_TIMEOUT, TcpStream::connect(address));
        let connected = connecting.await;
        if let Ok(Ok(stream)) = connected {
            self.record_established(started);
            let connection = Connection::new(stream);
            task::sleep(PROBE_TIME).await;
            if connection.is_idle().await {
                let until = self.core.clock.now() + PROBE_KEEP_TIME;
                self.pool.keep(address, connection, until);
                self.record_worked(started);
                return true;
            }
        }
        let now = self.core.clock.now();
        self.reach.borrow_mut().record_failure(name, now);
        false
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
            task::sleep(PROBE_PAUSE).await;
        }
    }
    gateway.suspected_at.set(None);
}
