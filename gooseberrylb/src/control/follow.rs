//! Distributes the configuration to all instances, with a lease that bounds how long each may act
//! on its copy.
//!
//! Each instance reports to the leader, or to a relay that does, and receives the changes it lacks
//! and a lease. The lease counts from when the report was sent, so that no clocks are compared, and
//! a relay grants no more than what remains of its own. `docs/DESIGN.md` describes what the lease
//! protects.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use async_std::{future, task};
use futures::future::Either;
use gooseberrylb_config::id;
use gooseberrylb_config::number::{Revision, Term};
use gooseberrylb_config::settings::timing;
use gooseberrylb_control::consensus::Input;
use gooseberrylb_control::membership::Cluster;
use gooseberrylb_wire::codec;
use gooseberrylb_wire::message::{CatchUp, Report, Update};

use super::core::{Core, Source};
use super::relay::{self, relay};
use crate::metrics::METRICS;

/// Maximum time for which an answer without changes is held back.
const MAX_HOLD: Duration = Duration::from_millis(500);

/// Time for which an instance that did not answer is avoided, unless no other is known. It is about
/// the duration of an election.
const AVOIDANCE_DURATION: Duration = Duration::from_secs(1);

/// Pause after a report that did not obtain a lease.
const RETRY_PAUSE: Duration = Duration::from_millis(100);

/// Pause between two reports, which also bounds their rate when they are answered at once.
const REPORT_PAUSE: Duration = Duration::from_millis(20);

/// Pause between two reports of an instance that takes no callers, in a fleet with relays. Changes
/// come more often than that there, and each costs every instance of the fleet an exchange.
const RELAY_REPORT_PAUSE: Duration = Duration::from_millis(60);

/// Pause between two reports of an entry in a fleet with relays.
const RELAYED_REPORT_PAUSE: Duration = Duration::from_millis(300);

/// State of one follower, as known to the leader or a relay.
#[derive(Debug, Clone)]
pub struct Follower {
    /// Last report of the follower.
    pub report: Report,
    /// When the last report was received.
    pub last_contact: Instant,
    /// When the first report was received since which the reports have arrived without a gap longer
    /// than a lease.
    pub alive_since: Instant,
    /// End of the last lease that the follower may hold, by this instance's clock.
    pub lease_until: Instant,
}

/// Followers of this instance, directly or through a relay.
#[derive(Debug, Default)]
pub struct Followers(BTreeMap<id::Instance, Follower>);

impl Followers {
    /// Records a report and the reports that it carries.
    fn record(&mut self, mut report: Report, now: Instant) {
        for child in std::mem::take(&mut report.children) {
            self.record(child, now);
        }
        let lease_until = now + timing::MAX_LEASE;
        let known = self
            .0
            .get(&report.name)
            .filter(|known| now < known.last_contact + timing::MAX_LEASE);
        let alive_since = known.map_or(now, |known| known.alive_since);
        let follower = Follower {
            alive_since,
            report,
            last_contact: now,
            lease_until,
        };
        self.0.insert(follower.report.name.clone(), follower);
    }

    /// Returns the state of a follower.
    pub fn get(&self, name: &id::Instance) -> Option<&Follower> {
        self.0.get(name)
    }

    /// Returns all followers.
    pub fn iter(&self) -> impl Iterator<Item = (&id::Instance, &Follower)> {
        self.0.iter()
    }

    /// Removes all followers.
    pub fn clear(&mut self) {
        self.0.clear();
    }

    /// Returns the loads that are not zero; the load of any other instance is zero.
    fn loads(&self) -> Vec<(id::Instance, u32)> {
        self.0
            .iter()
            .filter(|(_, f)| f.report.load > 0)
            .map(|(name, f)| (name.clone(), f.report.load))
            .collect()
    }

    /// Removes and returns the reports to be forwarded to the leader.
    fn take_reports(&mut self) -> Vec<Report> {
        std::mem::take(&mut self.0)
            .into_values()
            .map(|f| f.report)
            .collect()
    }
}

/// Answers a follower's report: as the leader, as a relay, or by naming another instance to report
/// to.
pub async fn answer(core: &Rc<Core>, report: Report) -> Update {
    if is_other_cluster(core, &report) {
        log::warn!(
            "rejected a report of {}, which belongs to another cluster",
            report.name
        );
        return Update::Ask { instance: None };
    }
    report_cluster(core, report.cluster);
    if core.is_leading() {
        answer_as_leader(core, report).await
    } else {
        answer_as_relay(core, report).await
    }
}

/// Whether a report comes from a member of another cluster than this instance's.
fn is_other_cluster(core: &Core, report: &Report) -> bool {
    match (core.cluster(), report.cluster) {
        (Some(own), Some(other)) => own != other,
        _ => false,
    }
}

/// Informs the consensus node of a cluster that another instance has a configuration of. Founders
/// whose disks are all empty must not form a second cluster.
fn report_cluster(core: &Rc<Core>, cluster: Option<u64>) {
    if let Some(cluster) = cluster {
        core.step(Input::ClusterReported(Cluster(cluster)));
    }
}

/// Returns the leader's answer to a report, once there are changes or [`MAX_HOLD`] has passed.
async fn answer_as_leader(core: &Rc<Core>, report: Report) -> Update {
    if let Some(relay) = assigned_relay(core, &report.name) {
        return Update::Ask {
            instance: Some(relay),
        };
    }
    let held_revision = report.revision;
    let moves = report.moves;
    core.followers
        .borrow_mut()
        .record(report.clone(), core.clock.now());
    // A follower of an earlier leader must learn of this one without delay.
    let term = core.status().map_or(Term(0), |status| status.term);
    if report.term == term {
        wait_for_news(core, held_revision).await;
    }
    // The lease is checked after the wait and there is no await until the answer is made, so a
    // leader that was suspended in the meantime grants nothing.
    if !core.is_leading() {
        return Update::Ask { instance: None };
    }
    core.followers.borrow_mut().record(report, core.clock.now());
    let Some(cluster) = core.cluster() else {
        return Update::Ask { instance: None };
    };
    Update::Fresh {
        cluster,
        leader: core.identity.name.clone(),
        term: core.status().map_or(Term(0), |status| status.term),
        lease: core.lease_duration(),
        news: core.feed.borrow().catch_up(held_revision),
        moves: core.feed.borrow().moves_unless(moves),
        loads: reported_loads(core),
    }
}

/// Returns the loads that go out with each answer; none on a platform, where callers are not
/// directed by load and the list would be most of each answer in a large fleet.
fn reported_loads(core: &Core) -> Vec<(id::Instance, u32)> {
    match core.settings.deployment {
        Some(_) => Vec::new(),
        None => core.followers.borrow().loads(),
    }
}

/// Returns the answer of an instance that does not lead: as a relay in a fleet that needs relays
/// and while its own lease is valid, else a redirect to the leader.
async fn answer_as_relay(core: &Rc<Core>, report: Report) -> Update {
    let published = core.published();
    let fresh = published.is_fresh(core.clock.now());
    let published_leader = published.leader.clone().filter(|_| fresh);
    let leader = relay::leader_hint(&core.identity.name, core.known_leader(), published_leader);
    let redirect = || Update::Ask {
        instance: leader.and_then(|name| core.address_of(&name).map(|address| (name, address))),
    };
    if core.feed.borrow().directory().instances.len() <= core.max_direct_followers() {
        return redirect();
    }
    let held_revision = report.revision;
    let moves = report.moves;
    core.followers.borrow_mut().record(report, core.clock.now());
    wait_for_news(core, held_revision).await;
    let published = core.published();
    let remaining = published
        .fresh_until
        .map(|end| end.saturating_duration_since(core.clock.now()));
    match (remaining, &published.leader, published.cluster) {
        (Some(lease), Some(leader), Some(cluster)) if !lease.is_zero() => Update::Fresh {
            cluster,
            leader: leader.clone(),
            term: published.term,
            lease,
            news: core.feed.borrow().catch_up(held_revision),
            moves: core.feed.borrow().moves_unless(moves),
            loads: published
                .loads
                .iter()
                .map(|(name, load)| (name.clone(), *load))
                .collect(),
        },
        _ => redirect(),
    }
}

/// Waits up to [`MAX_HOLD`] for a revision after `held_revision`, or for a change of the moves.
async fn wait_for_news(core: &Core, held_revision: Revision) {
    if core.feed.borrow().directory().revision <= held_revision {
        core.wait_for_change(MAX_HOLD).await;
    }
}

/// Returns the relay that an instance should follow and its address, or `None` if it should follow
/// the leader.
fn assigned_relay(core: &Core, name: &id::Instance) -> Option<(id::Instance, SocketAddr)> {
    let feed = core.feed.borrow();
    let followers = core.followers.borrow();
    let now = core.clock.now();
    let is_alive = |known: &id::Instance| {
        let follower = followers.get(known);
        follower.is_some_and(|f| now < f.last_contact + timing::REPORT_TIMEOUT + MAX_HOLD)
    };
    let relay = relay(
        core.max_direct_followers(),
        &feed.directory().instances,
        &core.identity.name,
        name,
        is_alive,
    )?;
    Some((relay.clone(), core.address_of(relay)?))
}

/// Reports to the leader, or to the instance that it names, for as long as the process runs.
pub async fn run(core: Rc<Core>) {
    let mut target = Target::new(&core);
    let mut was_fresh = false;
    loop {
        let started = core.clock.now();
        match report_once(&core, &target).await {
            Some(Update::Fresh {
                cluster,
                leader,
                term,
                lease,
                news,
                moves,
                loads,
            }) => {
                if let Some(moves) = moves {
                    let moves = moves
                        .into_iter()
                        .map(|known| (known.version.clone(), known));
                    core.feed.borrow_mut().set_moves(moves.collect());
                }
                let source = Source {
                    leader,
                    term,
                    cluster,
                    loads: loads.into_iter().collect(),
                };
                let lease = lease.min(core.lease_duration());
                let fresh = apply_update(&core, source, news, started + lease);
                if !fresh {
                    task::sleep(RETRY_PAUSE).await;
                }
            }
            Some(Update::Ask { instance }) => {
                // The address known here is preferred: the path named by another instance may not
                // exist from this one, or may be affected by a different network fault.
                let address = instance.map(|(name, named)| core.address_of(&name).unwrap_or(named));
                log::debug!(peer:? = target.address(), redirect:? = address; "report obtained no lease");
                if !target.redirect(&core, address) {
                    task::sleep(RETRY_PAUSE).await;
                }
            }
            None => {
                log::debug!(peer:? = target.address(); "report got no answer");
                target.avoid(&core);
                target.advance(&core);
                task::sleep(RETRY_PAUSE).await;
            }
        }
        let is_fresh = core.published().is_fresh(core.clock.now());
        METRICS.fresh.set(i64::from(is_fresh));
        if std::mem::replace(&mut was_fresh, is_fresh) != is_fresh {
            let revision = core.published().directory.revision.0;
            match is_fresh {
                true => {
                    log::info!(revision = revision, leader:? = core.published().leader; "configuration is up to date")
                }
                false => {
                    log::warn!(revision = revision; "configuration may be out of date; no new work is started")
                }
            }
        }
        task::sleep(report_pause(&core)).await;
    }
}

/// Returns the pause until the next report.
fn report_pause(core: &Core) -> Duration {
    let has_relays = core.feed.borrow().directory().instances.len() > core.max_direct_followers();
    match (has_relays, core.identity.instance.entry) {
        (false, _) => REPORT_PAUSE,
        (true, false) => RELAY_REPORT_PAUSE,
        (true, true) => RELAYED_REPORT_PAUSE,
    }
}

/// Applies what the leader sent; returns whether the configuration is now as recent as the
/// leader's.
fn apply_update(core: &Rc<Core>, source: Source, catch_up: CatchUp, fresh_until: Instant) -> bool {
    if core.cluster().is_some_and(|own| own != source.cluster) {
        log::warn!(
            "rejected an update of leader {}, which belongs to another cluster",
            source.leader
        );
        return false;
    }
    report_cluster(core, Some(source.cluster));
    let complete = {
        let mut feed = core.feed.borrow_mut();
        match catch_up {
            CatchUp::None => true,
            // A voter may have applied some of the changes from the log already.
            CatchUp::Changes(changes) => changes
                .iter()
                .filter(|change| change.to > feed.directory().revision)
                .cloned()
                .collect::<Vec<_>>()
                .iter()
                .all(|change| feed.apply(change)),
            CatchUp::Whole(directory) => {
                feed.replace(&directory) || feed.directory().revision == directory.revision
            }
        }
    };
    core.publish(complete.then_some((fresh_until, source)));
    complete
}

/// Sends one report; returns the answer, or `None` if there is none or its sender is suspected.
async fn report_once(core: &Rc<Core>, target: &Target) -> Option<Update> {
    let report = own_report(core);
    if core.is_leading() {
        return Some(answer(core, report).await);
    }
    let address = target.address()?;
    let link = core.links.to(address);
    let bytes = codec::encode(&report).ok()?;
    let call = async {
        let client = link.client().await.ok()?;
        let mut request = client.follow_request();
        request.get().set_report(&bytes);
        let response = request.send().promise.await.ok()?;
        codec::decode(response.get().ok()?.get_update().ok()?).ok()
    };
    let call = std::pin::pin!(call);
    let suspected = std::pin::pin!(core.suspected(address));
    let either = futures::future::select(call, suspected);
    match future::timeout(timing::REPORT_TIMEOUT, either).await {
        Ok(Either::Left((update, _))) => update,
        // The link is kept: another instance may know the new leader, and this peer may be healthy.
        Ok(Either::Right(_)) => None,
        Err(_) => {
            // The peer may be healthy and only the connection lost; the next call opens a new one.
            link.reset();
            None
        }
    }
}

fn own_report(core: &Core) -> Report {
    let mut instance = core.identity.instance.clone();
    instance.leaving = core.shared.leaving.load(Ordering::SeqCst);
    // A leader whose lease has lapsed for a moment is still the one that its followers report to.
    let children = match core.leader_since.get() {
        Some(_) => Vec::new(),
        None => core.followers.borrow_mut().take_reports(),
    };
    Report {
        name: core.identity.name.clone(),
        incarnation: core.identity.incarnation,
        instance,
        folder: core.folder,
        revision: core.feed.borrow().directory().revision,
        term: core.published().term,
        moves: core.feed.borrow().moves_hash(),
        cluster: core.cluster(),
        load: core.shared.load.load(Ordering::Relaxed),
        holds: core
            .shared
            .holds
            .lock()
            .map(|holds| holds.clone())
            .unwrap_or_default(),
        children,
    }
}

/// Instance to report to.
struct Target {
    /// Address of the instance, if any is known.
    named: Option<SocketAddr>,
    /// Position in the list of known instances, which are tried in turn.
    next_peer: usize,
    /// Instance that did not answer, and the time until which redirects to it are ignored.
    avoided: Option<(SocketAddr, Instant)>,
}

impl Target {
    fn new(core: &Core) -> Self {
        let mut target = Self {
            named: None,
            next_peer: 0,
            avoided: None,
        };
        target.advance(core);
        target
    }

    fn address(&self) -> Option<SocketAddr> {
        self.named
    }

    /// Switches to the named instance, or to the next known one. Returns whether the named instance
    /// is a new target, to which the report should be sent at once.
    fn redirect(&mut self, core: &Core, address: Option<SocketAddr>) -> bool {
        match address {
            Some(address)
                if address != core.identity.instance.peers && !self.avoids(core, address) =>
            {
                self.named.replace(address) != Some(address)
            }
            Some(_) | None => {
                self.advance(core);
                false
            }
        }
    }

    /// Avoids the current target for [`AVOIDANCE_DURATION`].
    fn avoid(&mut self, core: &Core) {
        let until = core.clock.now() + AVOIDANCE_DURATION;
        self.avoided = self.named.map(|address| (address, until));
    }

    fn avoids(&self, core: &Core, address: SocketAddr) -> bool {
        let now = core.clock.now();
        self.avoided
            .is_some_and(|(avoided, until)| avoided == address && now < until)
    }

    /// Switches to the leader known to the consensus node, else to the next of the known instances.
    fn advance(&mut self, core: &Core) {
        let own = core.identity.instance.peers;
        let leader = core.known_leader().and_then(|name| core.address_of(&name));
        if let Some(address) = leader.filter(|a| Some(*a) != self.named && *a != own) {
            self.named = Some(address);
            return;
        }
        let mut known: Vec<SocketAddr> = core.settings.peers.iter().map(|p| p.address).collect();
        let named: Vec<id::Instance> = {
            let feed = core.feed.borrow();
            let targets = relay::discovery_targets(&feed.directory().instances);
            targets.into_iter().cloned().collect()
        };
        known.extend(named.iter().filter_map(|name| core.address_of(name)));
        known.retain(|address| *address != own && !self.avoids(core, *address));
        known.dedup();
        if known.is_empty() {
            self.named = None;
            return;
        }
        self.next_peer = (self.next_peer + 1) % known.len();
        self.named = known.get(self.next_peer).copied();
    }
}

#[cfg(test)]
mod tests;
