//! Which upstream a declared request goes to, and which requests wait or are refused.
//!
//! One dispatcher sees all requests of the fleet. Load that it answers: bursts above what the
//! upstreams can run, upstreams of unlike speed, upstreams that fail or fall silent, and accounts
//! that send more than their quota. Pure: it is told the time and what happened.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::fmt;
use std::sync::Arc;
use std::time::{Duration, Instant};

use gooseberrylb_config::directory::rollout::Rollout;
use gooseberrylb_config::id;
use serde::{Deserialize, Serialize};

use crate::quota::{Usage, Window};
use crate::rollout::Observation;

pub use rates::Rates;
pub use upstream::Health;

pub mod objective;
pub mod refusals;
pub mod share;

mod rates;
mod release;
mod service;
mod turns;
mod upstream;

use service::Service;

/// Names a request among those of all entries.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Key {
    /// The entry that holds it.
    pub entry: id::Instance,
    /// The start of the entry's process, as milliseconds since 1970.
    pub incarnation: u64,
    /// Its number at that entry; a second attempt has a number of its own.
    pub number: u64,
}

/// Who is served first: the account's rank decides, and among equals the route's.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Rank {
    /// The rank of the account, or of the route where the account has none.
    pub account: u8,
    /// The rank of the route.
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
    /// The request.
    pub key: Key,
    /// The service.
    pub service: id::Service,
    /// The route.
    pub route: Arc<str>,
    /// The account, where it has a quota.
    pub account: Option<id::Account>,
    /// What it counts against the quota; nothing on a second attempt.
    pub units: f64,
    /// The account's part among accounts, such as its quota a second; none counts as 1.
    pub weight: f64,
    /// Its rank; the lowest is served first.
    pub rank: Rank,
    /// The data centre of the entry.
    pub data_centre: Arc<str>,
    /// The tokens of its prompt; none for plain calls.
    pub prompt: u64,
    /// The events that are expected of it; none for plain calls.
    pub events: u64,
    /// The time left in which its answer, or its first event, is on time.
    pub objective: Duration,
    /// The longest time that it is worth waiting for an upstream.
    pub hold: Duration,
    /// The time left after which nobody waits for its answer.
    pub patience: Duration,
    /// The upstreams that it must not go to.
    pub excluded: Vec<id::Upstream>,
}

/// Why a request is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Reason {
    /// Its account has used what it may.
    Quota,
    /// The upstreams cannot run it in time.
    Busy,
    /// The service has no upstream that may be used.
    NoUpstream,
}

/// What is decided on a request.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Decision {
    /// It goes to this upstream, which has a slot for it.
    Grant(id::Upstream),
    /// It waits for a slot; the decision is to be asked for.
    Wait,
    /// It is refused, and may come back after this time.
    Refuse(Reason, Duration),
    /// It is not known here, so the entry decides itself.
    Unknown,
}

/// What became of a granted request.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub enum Outcome {
    /// It was answered in full.
    Served {
        /// The time to the first byte of the answer's body.
        first: Duration,
        /// The time from then to the end.
        rest: Duration,
        /// The events that came.
        events: u64,
    },
    /// The upstream said that it had no room.
    Full,
    /// The upstream failed, or could not be reached.
    Failed,
    /// The caller left, or the grant was not used.
    Dropped,
}

/// A request that an entry has at an upstream.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Running {
    /// The request.
    pub key: Key,
    /// The service.
    pub service: id::Service,
    /// The upstream.
    pub upstream: id::Upstream,
    /// The tokens of its prompt.
    pub prompt: u64,
    /// How long it may still last.
    pub patience: Duration,
}

/// What a request that an entry placed itself counts against its account's quota.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Charge {
    /// The request; an entry's charges are told in the order of their numbers.
    pub key: Key,
    /// The account.
    pub account: id::Account,
    /// The units.
    pub units: f64,
    /// How long ago the request was placed.
    pub age: Duration,
}

/// What an entry tells without a question.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Notice {
    /// All that the entry has at upstreams, where the dispatcher is new to it.
    pub running: Option<(id::Instance, Vec<Running>)>,
    /// What the entry has placed itself and has at upstreams, beside what the dispatcher knows.
    pub started: Vec<Running>,
    /// What the requests that the entry placed itself counted, told until it is taken in.
    pub charges: Vec<Charge>,
    /// What became of requests.
    pub ended: Vec<(Key, Outcome)>,
    /// The requests whose upstream has been silent for longer than expected.
    pub silent: Vec<Key>,
    /// What the entry has measured of upstreams, where the dispatcher is new to it.
    pub rates: Vec<(id::Service, id::Upstream, Rates)>,
    /// What accounts used by requests of this entry, where the dispatcher is new to it and the entry
    /// has run for a whole window.
    pub spent: Option<(id::Instance, Vec<(id::Account, Usage)>)>,
}

impl Notice {
    /// Whether it tells nothing.
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

/// An upstream as the dispatcher is told of it.
#[derive(Debug, Clone, PartialEq)]
pub struct Upstream {
    /// Its name.
    pub name: id::Upstream,
    /// Its service.
    pub service: id::Service,
    /// The version of its software.
    pub release: Arc<str>,
    /// Where it is.
    pub data_centre: Arc<str>,
    /// How many requests it runs at once.
    pub slots: u32,
}

/// An account's quota.
#[derive(Debug, Clone, PartialEq)]
pub struct Quota {
    /// The account.
    pub account: id::Account,
    /// The units a second.
    pub per_second: f64,
    /// The units that may be used beside the rate in a window.
    pub burst: f64,
    /// The length of the window in which use is counted.
    pub window: Duration,
}

/// A request that waits or runs, and what it counted against its account's quota.
#[derive(Debug)]
struct Placed {
    service: id::Service,
    charge: Option<(id::Account, f64)>,
}

/// Decides for all requests of the fleet.
#[derive(Debug, Default)]
pub struct Dispatcher {
    services: BTreeMap<id::Service, Service>,
    placed: HashMap<Key, Placed>,
    /// Since when all use of quotas is known.
    counts_since: Option<Instant>,
    windows: BTreeMap<id::Account, Window>,
    /// The start and the last number of each entry whose charges were taken in.
    charged: HashMap<id::Instance, (u64, u64)>,
    /// How many entries there were when this dispatcher began to count.
    entries: Option<usize>,
    /// The entries that told what was used before.
    told_spent: HashSet<id::Instance>,
}

impl Dispatcher {
    /// Makes a dispatcher that knows nothing.
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes the upstreams that may be used; what runs at others is forgotten when it ends.
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
        }
    }

    /// Takes the services' rollouts; `share` is the part of its service's requests that a release gets
    /// while it is tried.
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

    /// What was seen of a service's rollout.
    pub fn rollout_observation(&self, service: &id::Service, now: Instant) -> Option<Observation> {
        self.services.get(service)?.observation(now)
    }

    /// Takes the accounts' quotas; what an account has used so far still counts. `entries` is how many
    /// entries there are, each of which may tell what was used before.
    pub fn set_quotas(&mut self, quotas: &[Quota], entries: usize, now: Instant) {
        self.entries.get_or_insert(entries);
        let since = *self.counts_since.get_or_insert(now);
        let known = |name: &id::Account| quotas.iter().any(|a| a.account == *name);
        self.windows.retain(|name, _| known(name));
        for quota in quotas {
            let (rate, burst) = (quota.per_second, quota.burst);
            match self.windows.get_mut(&quota.account) {
                Some(window) => window.change(rate, burst),
                None => {
                    let window = Window::new(rate, burst, quota.window, since, now);
                    self.windows.insert(quota.account.clone(), window);
                }
            }
        }
    }

    /// Decides on a request, or has it wait.
    pub fn place(&mut self, ask: Request, now: Instant) -> Decision {
        let window = ask.account.as_ref().and_then(|a| self.windows.get_mut(a));
        if let Some(wait) = window.and_then(|window| window.lacks(ask.units, now)) {
            return Decision::Refuse(Reason::Quota, wait);
        }
        let (account, units) = (ask.account.clone(), ask.units);
        let (key, name) = (ask.key.clone(), ask.service.clone());
        let Some(service) = self.services.get_mut(&name) else {
            return Decision::Refuse(Reason::NoUpstream, service::NO_UPSTREAM_PAUSE);
        };
        let decision = service.ask(ask, now);
        if !matches!(decision, Decision::Refuse(..)) {
            // A request that waits counts at once, so that no more wait than may run.
            if let Some(window) = account.as_ref().and_then(|a| self.windows.get_mut(a)) {
                window.take(units, now);
            }
            let charge = account.map(|account| (account, units));
            let service = name;
            self.placed.insert(key, Placed { service, charge });
        }
        decision
    }

    /// What waits no longer: granted, or refused since its time is over.
    pub fn poll(&mut self, now: Instant) -> Vec<(Key, Decision)> {
        let mut decided = Vec::new();
        for service in self.services.values_mut() {
            service.poll(now, &mut decided);
        }
        for (key, decision) in &decided {
            if matches!(decision, Decision::Refuse(..)) {
                let charge = self.placed.remove(key).and_then(|placed| placed.charge);
                if let Some((account, units)) = charge
                    && let Some(window) = self.windows.get_mut(&account)
                {
                    window.give_back(units);
                }
            }
        }
        decided
    }

    /// Takes in what an entry tells.
    pub fn apply(&mut self, notice: Notice, now: Instant) {
        if let Some((entry, running)) = notice.running {
            self.replace(&entry, running, now);
        }
        for (service, upstream, rates) in &notice.rates {
            if let Some(service) = self.services.get_mut(service) {
                service.adopt(upstream, rates);
            }
        }
        if let Some((entry, spent)) = &notice.spent {
            self.adopt_spent(entry, spent, now);
        }
        for charge in &notice.charges {
            self.charge(charge, now);
        }
        for run in notice.started {
            self.start(run, now);
        }
        for key in &notice.silent {
            if let Some(placed) = self.placed.get(key) {
                let service = self.services.get_mut(&placed.service);
                service.into_iter().for_each(|s| s.silent(key, now));
            }
        }
        for (key, outcome) in &notice.ended {
            if let Some(placed) = self.placed.remove(key) {
                let service = self.services.get_mut(&placed.service);
                service.into_iter().for_each(|s| s.end(key, *outcome, now));
            }
        }
    }

    /// Forgets what entries had that are gone.
    pub fn retain_entries(&mut self, lives: impl Fn(&id::Instance) -> bool, now: Instant) {
        self.placed.retain(|key, _| lives(&key.entry));
        self.charged.retain(|entry, _| lives(entry));
        for service in self.services.values_mut() {
            service.retain(|key| lives(&key.entry), now);
        }
    }

    fn replace(&mut self, entry: &id::Instance, running: Vec<Running>, now: Instant) {
        // What waits is known here alone; only what runs is told anew.
        let services = &mut self.services;
        self.placed.retain(|key, placed| {
            let service = services.get(&placed.service);
            key.entry != *entry || service.is_some_and(|service| service.waits(key))
        });
        for service in self.services.values_mut() {
            service.retain_running(|key| key.entry != *entry, now);
        }
        for run in running {
            self.start(run, now);
        }
    }

    /// Takes in a request that an entry has at an upstream.
    fn start(&mut self, run: Running, now: Instant) {
        let placed = Placed {
            service: run.service.clone(),
            charge: None,
        };
        if self.placed.insert(run.key.clone(), placed).is_none() {
            let service = self.services.entry(run.service.clone()).or_default();
            service.resume(run, now);
        }
    }

    /// Takes what an entry knows to have been used before this dispatcher counted, once.
    fn adopt_spent(&mut self, entry: &id::Instance, spent: &[(id::Account, Usage)], now: Instant) {
        let (Some(since), Some(entries)) = (self.counts_since, self.entries) else {
            return;
        };
        if !self.told_spent.insert(entry.clone()) {
            return;
        }
        for (account, window) in &mut self.windows {
            let of_account = spent.iter().find(|(name, _)| name == account);
            let of_account = of_account.map(|(_, spent)| spent.as_slice());
            window.adopt(of_account.unwrap_or_default(), entries, since, now);
        }
    }

    /// Counts a charge, unless it or a later one of its entry was counted before.
    fn charge(&mut self, charge: &Charge, now: Instant) {
        let (last, number) = (
            self.charged.get(&charge.key.entry),
            (charge.key.incarnation, charge.key.number),
        );
        if last.is_some_and(|last| *last >= number) {
            return;
        }
        self.charged.insert(charge.key.entry.clone(), number);
        let counts_since = self.counts_since.unwrap_or(now);
        if now.saturating_duration_since(counts_since) < charge.age {
            // Windows begin as if accounts had used their rates before.
            return;
        }
        if let Some(window) = self.windows.get_mut(&charge.account) {
            window.take(charge.units, now);
        }
    }

    /// The requests that wait and that run, for metrics.
    pub fn load(&self) -> (usize, usize) {
        let waiting = self.services.values().map(Service::waiting).sum();
        let running = self.services.values().map(Service::running).sum();
        (waiting, running)
    }
}
