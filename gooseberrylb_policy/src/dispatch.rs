//! Central placement of requests: which upstream each request goes to, and which requests wait or
//! are refused.
//!
//! An entry is an instance that takes requests from callers. One dispatcher serves all entries of
//! the fleet. It handles bursts above the capacity of the upstreams, upstreams of different speed,
//! upstreams that fail or stop answering, and accounts that exceed their quota. The code is pure:
//! the caller passes in the time and what happened.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::fmt;
use std::sync::Arc;
use std::time::{Duration, Instant};

use gooseberrylb_config::directory::rollout::Rollout;
use gooseberrylb_config::id;
use serde::{Deserialize, Serialize};

use crate::announcement::{self, Announcement};
use crate::availability::{Listing, Table};
use crate::crash;
use crate::quota::{Usage, Window};
use crate::rollout::Observation;

pub use peers::Summary;
pub use rates::Rates;
pub use upstream::{Exclusion, Failure, Health};

pub mod objective;
pub mod refusals;
pub mod shard;
pub mod share;

mod fairness;
mod peers;
mod rates;
mod release;
mod service;
mod upstream;

use peers::Peers;
use service::Service;

/// Identifies a request, or one attempt of it, across all entries.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Key {
    /// Entry that holds the request.
    pub entry: id::Instance,
    /// Start time of the entry's process, in milliseconds since 1970.
    pub incarnation: u64,
    /// Number of the attempt at that entry; each retry has its own.
    pub number: u64,
}

/// Scheduling priority, lowest value first: the account's rank decides, and between equal accounts
/// the route's.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Rank {
    /// Rank of the account, or of the route if the account has none.
    pub account: u8,
    /// Rank of the route.
    pub route: u8,
}

impl From<u8> for Rank {
    fn from(rank: u8) -> Self {
        Self {
            account: rank,
            route: rank,
        }
    }
}

impl fmt::Display for Rank {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.account, self.route)
    }
}

/// A request that needs an upstream.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Request {
    /// Key of the attempt.
    pub key: Key,
    /// Service that the request is for.
    pub service: id::Service,
    /// Route that the request came by.
    pub route: Arc<str>,
    /// Account that is charged, if it has a quota.
    pub account: Option<id::Account>,
    /// Units charged to the quota; 0 for a retry.
    pub units: f64,
    /// Weight of the account in fair queueing, such as its quota per second; 1 without an account.
    pub weight: f64,
    /// Priority of the request; the lowest rank is served first.
    pub rank: Rank,
    /// Data centre of the entry.
    pub data_centre: Arc<str>,
    /// Length of the prompt, in tokens; 0 for plain calls.
    pub prompt: u64,
    /// Expected number of events in the response; 0 for plain calls.
    pub events: u64,
    /// Time left in which the response, or its first event, is on time.
    pub objective: Duration,
    /// Longest time for which it is worth queueing the request for an upstream.
    pub hold: Duration,
    /// Time left until the caller stops waiting for the response.
    pub patience: Duration,
    /// Upstreams that the request must not go to.
    pub excluded: Vec<id::Upstream>,
}

/// Why a request is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Reason {
    /// The account has used up its quota.
    Quota,
    /// The upstreams cannot run the request in time.
    Busy,
    /// The service has no usable upstream.
    NoUpstream,
    /// A part of the prompt crashes upstreams. Entries decide this themselves.
    Prompt,
    /// The request crashes upstreams. Entries decide this themselves.
    Crashing,
}

/// The dispatcher's decision on a request.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Decision {
    /// The request goes to this upstream, which has a free slot for it.
    Grant(id::Upstream),
    /// The request is queued; [`Dispatcher::poll`] returns the final decision.
    Wait,
    /// The request is refused, and the caller may retry after this time.
    Refuse(Reason, Duration),
    /// The dispatcher does not know the request, so the entry decides itself.
    Unknown,
}

/// How a granted request ended.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub enum Outcome {
    /// The response was complete.
    Served {
        /// Time to the first byte of the response body.
        first: Duration,
        /// Time from the first byte to the end.
        rest: Duration,
        /// Number of events received.
        events: u64,
    },
    /// The upstream reported that it had no room.
    Full,
    /// The upstream failed, or could not be reached.
    Failed,
    /// The caller left, or the grant was not used.
    Dropped,
    /// The upstream's host refused the connection: nothing listens there.
    Refused,
}

/// A request that an entry has in flight at an upstream.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Running {
    /// Key of the attempt.
    pub key: Key,
    /// Service that the request is for.
    pub service: id::Service,
    /// Upstream that runs it.
    pub upstream: id::Upstream,
    /// Length of the prompt, in tokens.
    pub prompt: u64,
    /// Longest time that the request may still take.
    pub patience: Duration,
}

/// Units charged to an account's quota by a request that an entry placed without the dispatcher.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Charge {
    /// Key of the attempt; an entry reports its charges in the order of their numbers.
    pub key: Key,
    /// Account that is charged.
    pub account: id::Account,
    /// Units charged.
    pub units: f64,
    /// Time since the request was placed.
    pub age: Duration,
}

/// What an entry reports to the dispatcher, apart from its requests for a placement.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Notice {
    /// All requests that the entry has in flight, sent to a dispatcher that is new to the entry.
    pub running: Option<(id::Instance, Vec<Running>)>,
    /// Requests in flight that the entry placed without the dispatcher, in addition to those that
    /// the dispatcher knows.
    pub started: Vec<Running>,
    /// Charges of requests that the entry placed without the dispatcher; resent until
    /// acknowledged.
    pub charges: Vec<Charge>,
    /// Requests that ended, with their outcomes.
    pub ended: Vec<(Key, Outcome)>,
    /// Requests whose upstream has been silent for longer than expected.
    pub silent: Vec<Key>,
    /// Upstream rates that the entry measured, sent to a dispatcher that is new to the entry.
    pub rates: Vec<(id::Service, id::Upstream, Rates)>,
    /// Use of quotas by requests of this entry, sent to a dispatcher that is new to the entry,
    /// once the entry has run for a whole window.
    pub spent: Option<(id::Instance, Vec<(id::Account, Usage)>)>,
}

impl Notice {
    /// Whether the notice reports nothing.
    pub fn is_empty(&self) -> bool {
        let Self {
            running,
            started,
            charges,
            ended,
            silent,
            rates,
            spent,
        } = self;
        running.is_none()
            && started.is_empty()
            && charges.is_empty()
            && ended.is_empty()
            && silent.is_empty()
            && rates.is_empty()
            && spent.is_none()
    }
}

/// An upstream as configured in the dispatcher.
#[derive(Debug, Clone, PartialEq)]
pub struct Upstream {
    /// Name of the upstream.
    pub name: id::Upstream,
    /// Service that it belongs to.
    pub service: id::Service,
    /// Version of its software.
    pub release: Arc<str>,
    /// Data centre in which it runs.
    pub data_centre: Arc<str>,
    /// Number of requests that it runs at once.
    pub slots: u32,
    /// Part of the limit that the upstream may name which this dispatcher uses, from 0 to 1.
    pub limit_part: f64,
}

/// Quota of an account.
#[derive(Debug, Clone, PartialEq)]
pub struct Quota {
    /// Account that the quota belongs to.
    pub account: id::Account,
    /// Sustained rate, in units per second.
    pub per_second: f64,
    /// Units that may be used in a window on top of the rate.
    pub burst: f64,
    /// Length of the sliding window in which use is counted.
    pub window: Duration,
}

/// A queued or running request, with what was charged to its account's quota.
#[derive(Debug)]
struct Tracked {
    /// Service that the request is for.
    service: id::Service,
    /// Account and units that were charged.
    charge: Option<(id::Account, f64)>,
    /// Dispatcher of another shard that granted the request one of its upstreams.
    granted_by: Option<id::Instance>,
}

/// Least part of an account's quota whose use is reported to the dispatchers of other shards.
const REPORTED_QUOTA_PART: f64 = 0.05;

/// Decides on the placement of all requests of the fleet.
#[derive(Debug, Default)]
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
    /// Notices for dispatchers of other shards, about requests that they granted.
    relayed: BTreeMap<id::Instance, Notice>,
}

impl Dispatcher {
    /// Returns a dispatcher without upstreams, quotas and requests.
    pub fn new() -> Self {
        Self::default()
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
            service.set_upstreams(by_service.remove(name).unwrap_or_default(), now);
            service.set_availability(name, &self.availability, now);
        }
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
                Announcement::Crash(report) => {
                    let reports = self.crashes.adopt(report, now);
                    news.extend(reports.into_iter().map(Announcement::Crash));
                }
            }
        }
        news
    }

    /// Returns what another dispatcher needs to know of upstreams and crashes.
    pub fn announcements(&self, now: Instant) -> Vec<Announcement> {
        announcement::join(self.availability.reports(now), self.crashes.reports(now))
    }

    /// Blocks the causes that the known crashes point to, and returns them. A crash counts
    /// [`crash::SETTLING`] after it happened.
    pub fn judge_crashes(&mut self, now: Instant) -> Vec<Announcement> {
        let blocks = self.crashes.judge(now).into_iter();
        blocks.map(Announcement::Crash).collect()
    }

    /// Returns what entries need to know of upstreams and crashes to place requests alone.
    pub fn announcements_for_entries(&self, now: Instant) -> Vec<Announcement> {
        announcement::join(self.availability.reports(now), self.crashes.blocks(now))
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
                service: name,
                charge,
                granted_by: None,
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
        let (key, name) = (request.key.clone(), request.service.clone());
        let service = self.services.get_mut(&name);
        let decision = service.and_then(|service| service.place_offered(request, now));
        let Some(decision) = decision else {
            return Decision::Refuse(Reason::Busy, Duration::ZERO);
        };
        let tracked = Tracked {
            service: name,
            charge: None,
            granted_by: None,
        };
        self.tracked.insert(key, tracked);
        decision
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
        let tracked = Tracked {
            service: run.service.clone(),
            charge: None,
            granted_by: None,
        };
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
