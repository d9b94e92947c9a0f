//! Central placement of requests: which upstream each request goes to, and which requests wait or
//! are refused.
//!
//! An entry is an instance that takes requests from callers. One dispatcher serves all entries of
//! the fleet. It handles bursts above the capacity of the upstreams, upstreams of different speed,
//! upstreams that fail or stop answering, and accounts that exceed their quota. The code is pure:
//! the caller passes in the time and what happened.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::time::{Duration, Instant};

use gooseberrylb_config::directory::rollout::Rollout;
use gooseberrylb_config::id;

use crate::announcement::{self, Announcement};
use crate::availability::{Listing, Table};
use crate::crash;
use crate::quota::{Usage, Window};
use crate::rollout::Observation;
use crate::warm_up;

pub use message::{
    Charge, Decision, Key, Notice, Outcome, Purpose, Quota, Rank, Reason, Request, Running,
    Upstream,
};
pub use peers::Summary;
pub use rates::Rates;
pub use upstream::{Exclusion, Failure, Health};

pub mod explain;
pub mod objective;
pub mod refusals;
pub mod shard;
pub mod share;

mod fairness;
mod message;
mod outlier;
mod peers;
pub mod profile;
mod rates;
mod release;
mod service;
mod upstream;

use peers::Peers;
use profile::Profile;
use service::Service;

/// A queued or running request, with what was charged to its account's quota.
#[derive(Debug, Clone)]
struct Tracked {
    /// Service that the request is for.
    service: id::Service,
    /// Account and units that were charged.
    charge: Option<(id::Account, f64)>,
    /// Dispatcher of another shard that granted the request one of its upstreams.
    granted_by: Option<id::Instance>,
}

impl Tracked {
    /// Returns a request that is charged to nobody here.
    fn new(service: id::Service) -> Self {
        Self {
            service,
            charge: None,
            granted_by: None,
        }
    }
}

/// Least part of an account's quota whose use is reported to the dispatchers of other shards.
const REPORTED_QUOTA_PART: f64 = 0.05;

/// Decides on the placement of all requests of the fleet.
#[derive(Debug, Clone, Default)]
pub struct Dispatcher {
    /// Queues and upstreams, by service.
    services: BTreeMap<id::Service, Service>,
    /// Queued and running requests.
    tracked: HashMap<Key, Tracked>,
    /// Time from which on all use of quotas is counted here.
    counting_since: Option<Instant>,
    /// Recent use of quotas, by account.
    windows: BTreeMap<id::Account, Window>,
    /// Incarnation and number of the last charge that was counted, by entry.
    last_charges: HashMap<id::Instance, (u64, u64)>,
    /// Number of entries when this dispatcher began to count.
    entry_count: Option<usize>,
    /// Entries that have reported the use before this dispatcher began to count.
    usage_reporters: HashSet<id::Instance>,
    /// Reports of the dispatchers of other shards.
    peers: Peers,
    /// What upstreams said of their availability.
    availability: Table,
    /// What crashes upstreams.
    crashes: crash::Table,
    /// Cold upstreams.
    warm_up: warm_up::Table,
    /// Share of each service's requests of which a second copy may be sent.
    copy_share: f64,
    /// Whether upstreams may get more requests than their slots here.
    borrows: bool,
    /// Declared properties of services.
    profiles: BTreeMap<id::Service, Profile>,
    /// Notices for dispatchers of other shards, about requests that they granted.
    relayed: BTreeMap<id::Instance, Notice>,
}

impl Dispatcher {
    /// Returns a dispatcher without upstreams, quotas and requests.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns a dispatcher for an entry that places alone, and knows only its own requests. It lends
    /// itself slots of the others, since some entries have more requests than their part at any moment
    /// while all together do not.
    pub fn alone() -> Self {
        Self {
            borrows: true,
            ..Self::default()
        }
    }

    /// Replaces the usable upstreams. Requests that run at removed upstreams are forgotten when
    /// they end.
    pub fn set_upstreams(&mut self, upstreams: impl IntoIterator<Item = Upstream>, now: Instant) {
        let mut by_service: BTreeMap<id::Service, Vec<Upstream>> = BTreeMap::new();
        for upstream in upstreams {
            let name = upstream.service.clone();
            by_service.entry(name).or_default().push(upstream);
        }
        for name in by_service.keys() {
            self.services.entry(name.clone()).or_default();
        }
        for (name, service) in &mut self.services {
            let profile = self.profiles.get(name).copied().unwrap_or_default();
            service.set_profile(profile, self.borrows);
            service.copies.set_share(self.copy_share);
            service.set_upstreams(by_service.remove(name).unwrap_or_default(), now);
            service.set_availability(name, &self.availability, now);
        }
        for (upstream, service, until) in self.warm_up.iter() {
            if let Some(service) = self.services.get_mut(service) {
                service.set_cold(upstream, until, now);
            }
        }
    }

    /// Replaces the declared properties of services, for the upstreams that are set after this.
    pub fn set_profiles(&mut self, profiles: BTreeMap<id::Service, Profile>) {
        self.profiles = profiles;
    }

    /// Returns the number of grants of cold upstreams since the last call.
    pub fn take_cold_grants(&mut self) -> u64 {
        let services = self.services.values_mut();
        services.map(Service::take_cold_grants).sum()
    }

    /// Takes over what another instance tells, and returns what is new of it.
    /// Upstreams that want no request get none accordingly, whatever the list says.
    pub fn announce(
        &mut self,
        announcements: Vec<Announcement>,
        now: Instant,
    ) -> Vec<Announcement> {
        let mut news = Vec::new();
        for announcement in announcements {
            match announcement {
                Announcement::Upstream(report) => {
                    let is_new = self.availability.adopt(&report, now);
                    let service = self.services.get_mut(&report.service);
                    if let Some(service) = service.filter(|_| is_new) {
                        service.set_availability(&report.service, &self.availability, now);
                    }
                    news.extend(is_new.then_some(Announcement::Upstream(report)));
                }
                Announcement::Cold(cold) => {
                    let is_new = self.warm_up.record(&cold, now);
                    let service = self.services.get_mut(&cold.service);
                    if let Some(service) = service.filter(|_| is_new) {
                        let until = self.warm_up.until(&cold.upstream).unwrap_or(now);
                        service.set_cold(&cold.upstream, until, now);
                    }
                    news.extend(is_new.then_some(Announcement::Cold(cold)));
                }
                Announcement::Crash(report) => {
                    let reports = self.crashes.adopt(report, now);
                    news.extend(reports.into_iter().map(Announcement::Crash));
                }
            }
        }
        news
    }

    /// Returns what is known of cold upstreams.
    pub fn cold_reports(&self, now: Instant) -> Vec<warm_up::Cold> {
        self.warm_up.reports(now)
    }

    /// Returns what a new dispatcher or entry needs to know of upstreams and crashes.
    pub fn announcements(&self, now: Instant) -> Vec<Announcement> {
        let crashes = self.crashes.reports(now);
        let upstreams = self.availability.reports(now);
        announcement::join(upstreams, crashes, self.warm_up.reports(now))
    }

    /// Blocks the causes that the known crashes point to, and returns them. A crash counts
    /// [`crash::SETTLING`] after it happened.
    pub fn judge_crashes(&mut self, now: Instant) -> Vec<Announcement> {
        let blocks = self.crashes.judge(now).into_iter();
        blocks.map(Announcement::Crash).collect()
    }

    /// Returns what to answer to an instance that told of crashes.
    pub fn replies(&self, announcements: &[Announcement], now: Instant) -> Vec<Announcement> {
        announcement::replies(&self.crashes, announcements, now)
    }

    /// Whether an upstream has said that it leaves.
    pub fn is_leaving(&self, upstream: &id::Upstream) -> bool {
        self.availability.is_leaving(upstream)
    }

    /// Compares what upstreams said with the list, so that those that start anew get requests.
    pub fn update_listing(&mut self, listing: impl Fn(&id::Upstream) -> Listing, now: Instant) {
        if self.availability.is_empty() {
            return;
        }
        self.availability.update(listing, now);
        for (name, service) in &mut self.services {
            service.set_availability(name, &self.availability, now);
        }
    }

    /// Replaces the services' rollouts. `share` is the share of a service's requests that a
    /// release gets while it is on trial.
    pub fn set_rollouts(
        &mut self,
        rollouts: &BTreeMap<id::Service, Rollout>,
        share: f64,
        now: Instant,
    ) {
        for (name, service) in &mut self.services {
            service.set_rollout(name, rollouts.get(name), share, now);
        }
    }

    /// Returns what was observed of a service's rollout, if it has one.
    pub fn rollout_observation(&self, service: &id::Service, now: Instant) -> Option<Observation> {
        self.services.get(service)?.observation(now)
    }

    /// Replaces the accounts' quotas, keeping what each account has used so far. `entries` is the
    /// number of entries, each of which may report use from before this dispatcher began to count.
    pub fn set_quotas(&mut self, quotas: &[Quota], entries: usize, now: Instant) {
        self.set_shared_quotas(quotas, entries, 1.0, now);
    }

    /// Like [`Dispatcher::set_quotas`], for a dispatcher that places only the part `share` of the
    /// fleet's requests.
    pub fn set_shared_quotas(
        &mut self,
        quotas: &[Quota],
        entries: usize,
        share: f64,
        now: Instant,
    ) {
        self.entry_count.get_or_insert(entries);
        let since = *self.counting_since.get_or_insert(now);
        let known = |name: &id::Account| quotas.iter().any(|a| a.account == *name);
        self.windows.retain(|name, _| known(name));
        for quota in quotas {
            let (rate, burst) = (quota.per_second, quota.burst);
            match self.windows.get_mut(&quota.account) {
                Some(window) => window.set_limits(rate, burst),
                None => {
                    let mut window = Window::new(rate, burst, quota.window, since, now);
                    window.set_share(share);
                    self.windows.insert(quota.account.clone(), window);
                }
            }
        }
    }

    /// Grants the request an upstream, queues it, or refuses it.
    pub fn place(&mut self, request: Request, now: Instant) -> Decision {
        let request = request.bounded();
        if let Some(wait) = self.quota_wait(&request, now) {
            return Decision::Refuse(Reason::Quota, wait);
        }
        let (account, units) = (request.account.clone(), request.units);
        let (key, name) = (request.key.clone(), request.service.clone());
        let has_own = self.services.get(&name).is_some_and(Service::has_slots);
        let elsewhere = self.peers.capacity(&name, has_own, now);
        if !self.services.contains_key(&name) && !elsewhere.exists {
            return Decision::Refuse(Reason::NoUpstream, service::NO_UPSTREAM_PAUSE);
        }
        let service = self.services.entry(name.clone()).or_default();
        service.set_elsewhere(elsewhere);
        let decision = service.place(request, now);
        if !matches!(decision, Decision::Refuse(..)) {
            // A queued request is charged at once, so that no more requests are queued than may
            // run.
            if let Some(window) = account.as_ref().and_then(|a| self.windows.get_mut(a)) {
                window.charge(units, now);
            }
            let charge = account.map(|account| (account, units));
            let tracked = Tracked {
                charge,
                ..Tracked::new(name)
            };
            self.tracked.insert(key, tracked);
        }
        decision
    }

    /// Returns how long until the request fits into its account's quota, or `None` if it fits now.
    fn quota_wait(&mut self, request: &Request, now: Instant) -> Option<Duration> {
        let account = request.account.as_ref()?;
        let window = self.windows.get_mut(account)?;
        window.set_elsewhere(self.peers.used(account, window.length(), now));
        window.wait_time(request.units, now)
    }

    /// Grants a request that another shard's dispatcher offers an upstream with a free slot, or
    /// refuses it. The other dispatcher keeps it queued and charges its account.
    pub fn place_offered(&mut self, request: Request, now: Instant) -> Decision {
        let request = request.bounded();
        let (key, name) = (request.key.clone(), request.service.clone());
        let service = self.services.get_mut(&name);
        let decision = service.and_then(|service| service.place_offered(request, now));
        let Some(decision) = decision else {
            return Decision::Refuse(Reason::Busy, Duration::ZERO);
        };
        self.tracked.insert(key, Tracked::new(name));
        decision
    }

    /// Sets the share of each service's requests of which a second copy may be sent.
    pub fn set_copy_share(&mut self, share: f64) {
        self.copy_share = share;
        for service in self.services.values_mut() {
            service.copies.set_share(share);
        }
    }

    /// Grants a copy of a request another upstream that has time for it, or refuses it. Its account is not
    /// charged again.
    pub fn place_copy(&mut self, request: Request, now: Instant) -> Decision {
        let request = request.bounded();
        let (key, name) = (request.key.clone(), request.service.clone());
        let service = self.services.get_mut(&name);
        let Some(upstream) = service.and_then(|service| service.place_copy(&request, now)) else {
            return Decision::Refuse(Reason::Busy, Duration::ZERO);
        };
        self.tracked.insert(key, Tracked::new(name));
        Decision::Grant(upstream)
    }

    /// Returns the time after which a copy of a request that runs is due, if one may be sent.
    pub fn copy_due(&self, key: &Key) -> Option<Duration> {
        let tracked = self.tracked.get(key)?;
        self.services.get(&tracked.service)?.copy_due(key)
    }

    /// Returns what the dispatchers of other shards need to know.
    pub fn summary(&mut self, now: Instant) -> Summary {
        let services = self.services.iter();
        let services = services.filter(|(_, service)| service.has_slots());
        let free = services.map(|(name, service)| (name.clone(), service.free_slots(now)));
        let windows = self.windows.iter_mut();
        let used = windows.filter_map(|(account, window)| {
            let report = window.report(now);
            let is_worth_reporting = report.used >= window.limit() * REPORTED_QUOTA_PART;
            is_worth_reporting.then(|| (account.clone(), report))
        });
        Summary {
            free: free.collect(),
            used: used.collect(),
        }
    }

    /// Takes over the summary of another shard's dispatcher.
    pub fn adopt_summary(&mut self, from: &id::Instance, summary: Summary, now: Instant) {
        self.peers.adopt(from, summary, now);
    }

    /// Returns queued requests to offer to other shards with free slots, with the dispatcher to
    /// offer each to. A request is offered to one dispatcher at a time and stays queued meanwhile.
    pub fn offers(&mut self, now: Instant) -> Vec<(id::Instance, Request)> {
        let mut offers = Vec::new();
        for (name, service) in &mut self.services {
            let has_own = service.has_slots();
            service.offer(
                || self.peers.take_slot(name, has_own, now),
                |peer, request| offers.push((peer, request)),
                now,
            );
        }
        offers
    }

    /// Records that `peer` granted an offered request; returns whether the request was still
    /// queued, so that the grant may be used.
    pub fn accept_offer(&mut self, key: &Key, peer: &id::Instance) -> bool {
        let Some(tracked) = self.tracked.get_mut(key) else {
            return false;
        };
        let service = self.services.get_mut(&tracked.service);
        let was_queued = service.is_some_and(|service| service.withdraw(key));
        if was_queued {
            tracked.granted_by = Some(peer.clone());
        }
        was_queued
    }

    /// Records that `peer` has no slot for an offered request, which stays queued.
    pub fn decline_offer(&mut self, key: &Key, peer: &id::Instance) {
        let Some(tracked) = self.tracked.get(key) else {
            return;
        };
        self.peers.clear_slots(peer, &tracked.service);
        if let Some(service) = self.services.get_mut(&tracked.service) {
            service.decline_offer(key);
        }
    }

    /// Returns the notices for dispatchers of other shards since the last call.
    pub fn take_relayed(&mut self) -> BTreeMap<id::Instance, Notice> {
        std::mem::take(&mut self.relayed)
    }

    /// Returns the decisions on queued requests: those granted now, and those refused since they
    /// have waited for too long.
    pub fn poll(&mut self, now: Instant) -> Vec<(Key, Decision)> {
        let mut decided = Vec::new();
        for (name, service) in &mut self.services {
            service.set_elsewhere(self.peers.capacity(name, service.has_slots(), now));
            service.poll(now, &mut decided);
        }
        for (key, decision) in &decided {
            if matches!(decision, Decision::Refuse(..)) {
                let charge = self.tracked.remove(key).and_then(|tracked| tracked.charge);
                if let Some((account, units)) = charge
                    && let Some(window) = self.windows.get_mut(&account)
                {
                    window.refund(units);
                }
            }
        }
        decided
    }

    /// Applies what an entry reports.
    pub fn apply(&mut self, notice: Notice, now: Instant) {
        let notice = notice.bounded();
        if let Some((entry, running)) = notice.running {
            self.replace_running(&entry, running, now);
        }
        for (service, upstream, rates) in &notice.rates {
            if let Some(service) = self.services.get_mut(service) {
                service.adopt(upstream, rates);
            }
        }
        if let Some((entry, spent)) = &notice.spent {
            self.adopt_usage(entry, spent, now);
        }
        for charge in &notice.charges {
            self.charge(charge, now);
        }
        for run in notice.started {
            if let Some(service) = self.services.get_mut(&run.service)
                && !self.tracked.contains_key(&run.key)
            {
                service.count_against_limit(&run.upstream, now);
            }
            self.track_running(run, now);
        }
        for key in &notice.silent {
            let Some(tracked) = self.tracked.get(key) else {
                continue;
            };
            if let Some(peer) = &tracked.granted_by {
                let relayed = self.relayed.entry(peer.clone()).or_default();
                relayed.silent.push(key.clone());
            } else if let Some(service) = self.services.get_mut(&tracked.service) {
                service.mark_silent(key, now);
            }
        }
        for (key, outcome) in &notice.ended {
            let Some(tracked) = self.tracked.remove(key) else {
                continue;
            };
            if let Some(peer) = tracked.granted_by {
                let relayed = self.relayed.entry(peer).or_default();
                relayed.ended.push((key.clone(), *outcome));
            } else if let Some(service) = self.services.get_mut(&tracked.service) {
                service.finish(key, *outcome, now);
            }
        }
    }

    /// Returns the decisions to grant upstreams nothing for a while since the last call.
    pub fn take_exclusions(&mut self) -> Vec<Exclusion> {
        let services = self.services.values_mut();
        services.flat_map(Service::take_exclusions).collect()
    }

    /// Forgets the requests and charges of entries for which `is_alive` is false.
    pub fn retain_entries(&mut self, is_alive: impl Fn(&id::Instance) -> bool, now: Instant) {
        self.tracked.retain(|key, _| is_alive(&key.entry));
        self.last_charges.retain(|entry, _| is_alive(entry));
        for service in self.services.values_mut() {
            service.retain(|key| is_alive(&key.entry), now);
        }
    }

    /// Replaces what is known of the requests that an entry has in flight.
    fn replace_running(&mut self, entry: &id::Instance, running: Vec<Running>, now: Instant) {
        // Only the dispatcher knows the queued requests, so they stay; the running ones are
        // replaced.
        let services = &mut self.services;
        self.tracked.retain(|key, tracked| {
            let service = services.get(&tracked.service);
            key.entry != *entry || service.is_some_and(|service| service.is_queued(key))
        });
        for service in self.services.values_mut() {
            service.retain_running(|key| key.entry != *entry, now);
        }
        for run in running {
            self.track_running(run, now);
        }
    }

    /// Records a request that an entry has in flight, unless it is known already.
    fn track_running(&mut self, run: Running, now: Instant) {
        let tracked = Tracked::new(run.service.clone());
        if self.tracked.insert(run.key.clone(), tracked).is_none() {
            let service = self.services.entry(run.service.clone()).or_default();
            service.track_running(run, now);
        }
    }

    /// Replaces an entry's part of the assumed use before this dispatcher began to count by the
    /// use that the entry reports; only its first report counts.
    fn adopt_usage(&mut self, entry: &id::Instance, spent: &[(id::Account, Usage)], now: Instant) {
        let (Some(since), Some(entries)) = (self.counting_since, self.entry_count) else {
            return;
        };
        if !self.usage_reporters.insert(entry.clone()) {
            return;
        }
        for (account, window) in &mut self.windows {
            let of_account = spent.iter().find(|(name, _)| name == account);
            let of_account = of_account.map(|(_, spent)| spent.as_slice());
            window.adopt(of_account.unwrap_or_default(), entries, since, now);
        }
    }

    /// Counts a charge, unless it or a later one of the same entry was counted before.
    fn charge(&mut self, charge: &Charge, now: Instant) {
        let (last, number) = (
            self.last_charges.get(&charge.key.entry),
            (charge.key.incarnation, charge.key.number),
        );
        if last.is_some_and(|last| *last >= number) {
            return;
        }
        self.last_charges.insert(charge.key.entry.clone(), number);
        let counting_since = self.counting_since.unwrap_or(now);
        if now.saturating_duration_since(counting_since) < charge.age {
            // The window starts out with the account's full rate as used, which covers older
            // charges.
            return;
        }
        if let Some(window) = self.windows.get_mut(&charge.account) {
            window.charge(charge.units, now);
        }
    }

    /// Returns the number of queued and of running requests, for metrics.
    pub fn load(&self) -> (usize, usize) {
        let queued = self.services.values().map(Service::queued_count).sum();
        let running = self.services.values().map(Service::running_count).sum();
        (queued, running)
    }
}
