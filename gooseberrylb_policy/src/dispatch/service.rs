//! Queue and placement of one service: which requests wait, in which order they are granted, and
//! on which upstream they run.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::time::{Duration, Instant};

use gooseberrylb_config::id;

use super::fairness::Clock;
use super::outlier::Failures;
use super::peers::Capacity;
use super::profile::Profile;
use super::rates::Rates;
use super::release::Release;
use super::upstream::{Exclusion, State};
use super::{Decision, Key, Reason, Request, Running, Upstream};
use crate::availability::Table;
use crate::copies::Copies;
use balance::Shares;
use queue::{Arrivals, InFlight, Position, Priority, Queued};

mod balance;
mod choice;
mod explain;
mod outcome;
mod poll;
mod queue;

/// Pause before callers retry at a service without upstreams; about the interval at which the list
/// of upstreams is read.
pub(super) const NO_UPSTREAM_PAUSE: Duration = Duration::from_secs(1);

/// Share of the objective within which the first event must be expected for a request to count as
/// in time, since estimates err.
const USABLE_OBJECTIVE_SHARE: f64 = 0.85;

/// Share of a late request's hold time within which its grant must be expected.
const USABLE_HOLD_SHARE: f64 = 0.6;

/// Time that a request is expected to hold its slot before any measurement, in seconds.
const DEFAULT_SLOT_SECONDS: f64 = 0.3;

/// Share of the capacity that is assumed to be left for a rank when higher ranks take all of it.
const MIN_CAPACITY_SHARE: f64 = 0.05;

/// Least capacity that waits are computed with, in requests per second.
const MIN_CAPACITY: f64 = 0.01;

/// Shortest pause before a refused request may be retried.
const MIN_RETRY_PAUSE: Duration = Duration::from_millis(200);

/// Divisor of a caller's remaining time that gives its longest pause: callers retry after this
/// part of their time, however long they are told to wait (status codes of the platform's
/// protocol).
const MAX_PAUSE_DIVISOR: u32 = 3;

/// Largest part added to a retry pause as jitter, so that refused callers do not retry together.
const RETRY_JITTER: f64 = 0.5;

/// State of one service.
#[derive(Debug, Clone, Default)]
pub(super) struct Service {
    /// Usable upstreams.
    upstreams: Vec<State>,
    /// Running requests, also at upstreams that were removed.
    running: HashMap<Key, InFlight>,
    /// Queued requests, in the order in which they are granted.
    queue: BTreeMap<Position, Queued>,
    /// Position of each queued request.
    positions: HashMap<Key, Position>,
    /// Rates of all upstreams together, used where one has no measurement.
    pooled: Rates,
    /// Moving average of the time that a request holds its slot, in seconds.
    slot_seconds: Option<f64>,
    /// Counter that numbers queued requests and varies the jitter.
    sequence: u64,
    /// Arrival rate of granted and queued requests, by priority.
    arrivals: BTreeMap<Priority, Arrivals>,
    /// Virtual clock for fair queueing among accounts.
    clock: Clock,
    /// Release under rollout, if any.
    release: Option<Release>,
    /// Upstreams of the service in other shards.
    elsewhere: Capacity,
    /// Decisions to grant upstreams nothing for a while, until they are taken.
    exclusions: Vec<Exclusion>,
    /// Declared properties.
    profile: Profile,
    /// Failures by route and upstream.
    failures: Failures,
    /// Whether upstreams may get more requests than their slots here.
    borrows: bool,
    /// Time at which queued requests were last looked at that may not be granted in time.
    reviewed: Option<Instant>,
    /// Shares of the requests in time, by rank and route.
    shares: Shares,
    /// Second copies of slow requests.
    pub(super) copies: Copies,
    /// Grants of cold upstreams that were not asked for yet.
    cold_grants: u64,
}

impl Service {
    pub(super) fn set_upstreams(&mut self, upstreams: Vec<Upstream>, now: Instant) {
        let mut known: HashMap<_, _> = std::mem::take(&mut self.upstreams)
            .into_iter()
            .map(|state| (state.upstream.name.clone(), state))
            .collect();
        // Upstreams that are there when a dispatcher begins may have started long before.
        let has_begun = !known.is_empty();
        for upstream in upstreams {
            let state = match known.remove(&upstream.name) {
                Some(state) => State { upstream, ..state },
                None => {
                    let mut state = State::new(upstream, now);
                    state.profile = self.profile;
                    state.borrows = self.borrows;
                    if has_begun {
                        state.presume_cold(now);
                    }
                    state
                }
            };
            self.upstreams.push(state);
        }
        let names = self.upstreams.iter().map(|state| &state.upstream.name);
        let names: HashSet<_> = names.collect();
        self.copies.retain(|name| names.contains(name));
        self.failures.retain(|name| names.contains(name));
        self.recount(now);
        if let Some(release) = &mut self.release {
            release.set_upstreams(self.upstreams.iter().map(|state| &state.upstream));
        }
    }

    /// Grants the request an upstream, queues it, or refuses it.
    pub(super) fn place(&mut self, request: Request, now: Instant) -> Decision {
        self.copies.count_request(now);
        if self
            .profile
            .memory
            .is_some_and(|m| self.profile.tokens(&request) > m)
        {
            // No engine of the service can run it, also when it is idle.
            return Decision::Refuse(Reason::NoUpstream, request.patience / MAX_PAUSE_DIVISOR);
        }
        if self.queue.is_empty()
            && let Some(upstream) = self.choose(&request, request.objective, now)
        {
            let start = self.clock.start(&request);
            self.clock.assign(&request, start);
            self.clock.advance(start);
            let priority = Priority::new(request.rank, false);
            self.arrivals.entry(priority).or_default().add(now);
            self.shares.record(request.rank, &request.route, true);
            return Decision::Grant(self.grant(&request, upstream, now));
        }
        let slots = self.usable_slots();
        if self.elsewhere.free > 0 || (slots == 0 && self.elsewhere.exists) {
            return self.enqueue(request, false, now);
        }
        if slots == 0 {
            let pause = self.jitter(NO_UPSTREAM_PAUSE, request.patience);
            return Decision::Refuse(Reason::NoUpstream, pause);
        }
        let closed = self.time_closed(now);
        if let Some(closed) = closed.filter(|closed| *closed > request.hold) {
            let pause = self.jitter(closed, request.patience);
            return Decision::Refuse(Reason::Busy, pause);
        }
        let closed = closed.unwrap_or_default().as_secs_f64();
        let start = self.clock.start(&request);
        let position = |late| Position {
            priority: Priority::new(request.rank, late),
            start,
            number: self.sequence + 1,
        };
        let wait = |late| {
            let ahead = self.queue.range(..position(late)).count() + 1;
            closed + self.grant_interval(position(late).priority, now) * ahead as f64
        };
        let firsts = self
            .upstreams
            .iter()
            .map(|u| u.rates.expected_first(&request, &self.pooled));
        let first = firsts.min().unwrap_or_default().as_secs_f64();
        let is_in_time =
            wait(false) + first <= request.objective.as_secs_f64() * USABLE_OBJECTIVE_SHARE;
        let late_wait = wait(true);
        if !is_in_time {
            let (first, closed) = (
                Duration::from_secs_f64(first),
                Duration::from_secs_f64(closed),
            );
            if let Some(decision) = self.displace(&request, first, closed, now) {
                return decision;
            }
        }
        self.shares.record(request.rank, &request.route, is_in_time);
        if !is_in_time && late_wait > request.hold.as_secs_f64() * USABLE_HOLD_SHARE {
            let pause = Duration::from_secs_f64(late_wait).min(request.patience);
            let pause = self.jitter(pause.max(MIN_RETRY_PAUSE), request.patience);
            return Decision::Refuse(Reason::Busy, pause);
        }
        self.enqueue(request, !is_in_time, now)
    }

    /// Queues a request.
    fn enqueue(&mut self, request: Request, late: bool, now: Instant) -> Decision {
        let start = self.clock.start(&request);
        self.sequence += 1;
        let position = Position {
            priority: Priority::new(request.rank, late),
            start,
            number: self.sequence,
        };
        self.arrivals.entry(position.priority).or_default().add(now);
        self.clock.assign(&request, start);
        self.positions.insert(request.key.clone(), position);
        let queued = Queued {
            request,
            since: now,
            offered: false,
        };
        self.queue.insert(position, queued);
        Decision::Wait
    }

    /// Grants a request offered by another shard's dispatcher, if a slot is free and no request of
    /// this shard waits for it.
    pub(super) fn place_offered(&mut self, request: Request, now: Instant) -> Option<Decision> {
        if !self.queue.is_empty() {
            return None;
        }
        let upstream = self.choose(&request, request.objective, now)?;
        Some(Decision::Grant(self.grant(&request, upstream, now)))
    }

    /// Sets what other shards have of the service.
    pub(super) fn set_elsewhere(&mut self, elsewhere: Capacity) {
        self.elsewhere = elsewhere;
    }

    /// Whether the service has upstreams here that requests may go to.
    pub(super) fn has_slots(&self) -> bool {
        self.usable_slots() > 0
    }

    /// Returns the number of slots that a request may take now; none while requests are queued.
    pub(super) fn free_slots(&self, now: Instant) -> u32 {
        if !self.queue.is_empty() {
            return 0;
        }
        let eligible = self.eligible();
        let usable = self.upstreams.iter().filter(|state| eligible(state));
        usable.map(|state| state.free_slots(now)).sum()
    }

    /// Offers queued requests, in their order, to the shards that `take_slot` names until it names
    /// none.
    pub(super) fn offer(
        &mut self,
        mut take_slot: impl FnMut() -> Option<id::Instance>,
        mut offer: impl FnMut(id::Instance, Request),
        now: Instant,
    ) {
        for queued in self.queue.values_mut().filter(|queued| !queued.offered) {
            let Some(peer) = take_slot() else {
                return;
            };
            queued.offered = true;
            let waited = now.saturating_duration_since(queued.since);
            let request = &queued.request;
            offer(
                peer,
                Request {
                    // The account is charged here.
                    account: None,
                    units: 0.0,
                    objective: request.objective.saturating_sub(waited),
                    patience: request.patience.saturating_sub(waited),
                    ..request.clone()
                },
            );
        }
    }

    /// Makes a request available for offers again.
    pub(super) fn decline_offer(&mut self, key: &Key) {
        let position = self.positions.get(key);
        if let Some(queued) = position.and_then(|position| self.queue.get_mut(position)) {
            queued.offered = false;
        }
    }

    /// Removes a request from the queue; returns whether it was queued.
    pub(super) fn withdraw(&mut self, key: &Key) -> bool {
        let position = self.positions.remove(key);
        position.is_some_and(|position| self.queue.remove(&position).is_some())
    }

    /// Takes over what upstreams said of their availability.
    pub(super) fn set_availability(&mut self, name: &id::Service, table: &Table, now: Instant) {
        let of_service = table.service_tolerance(name);
        for state in &mut self.upstreams {
            let name = &state.upstream.name;
            state.leaving = table.is_leaving(name);
            let closed_until = table.closed_until(name).filter(|end| *end > now);
            state.closed_until = closed_until.max(state.closed_until);
            let (limit, own) = (table.limit(name), table.tolerance(name));
            state.set_limit(limit, now);
            state.set_tolerance(own, of_service);
        }
    }

    /// Replaces the declared properties.
    pub(super) fn set_profile(&mut self, profile: Profile, borrows: bool) {
        self.profile = profile;
        self.borrows = borrows;
        for state in &mut self.upstreams {
            state.profile = profile;
            state.borrows = borrows;
        }
    }

    /// Limits the requests to an upstream that is cold until a time.
    pub(super) fn set_cold(&mut self, upstream: &id::Upstream, until: Instant, now: Instant) {
        if let Some(state) = self.state(upstream) {
            state.set_cold(until, now);
        }
    }

    /// Returns the number of grants of cold upstreams since the last call.
    pub(super) fn take_cold_grants(&mut self) -> u64 {
        std::mem::take(&mut self.cold_grants)
    }

    /// Counts a request that an entry placed alone against the limit of its upstream.
    pub(super) fn count_against_limit(&mut self, upstream: &id::Upstream, now: Instant) {
        if let Some(state) = self.state(upstream) {
            state.count_against_limit(now);
        }
    }

    /// Returns the number of requests per second that the usable upstreams serve. Those whose hosts
    /// refuse connections count only if all do, since some will be back.
    fn capacity(&self, now: Instant) -> f64 {
        let slot_seconds = self.slot_seconds.unwrap_or(DEFAULT_SLOT_SECONDS);
        let eligible = self.eligible();
        let usable = self.upstreams.iter().filter(|state| eligible(state));
        let usable: Vec<_> = usable.filter(|state| !state.leaving).collect();
        let none_listens = usable.iter().all(|state| state.refusals > 0);
        let listening = usable.iter().filter(|s| none_listens || s.refusals == 0);
        listening
            .map(|state| state.capacity(slot_seconds, now))
            .sum()
    }

    /// Returns the number of slots on upstreams that requests may go to, now or once the upstreams
    /// want requests again.
    fn usable_slots(&self) -> u32 {
        let eligible = self.eligible();
        let usable = self.upstreams.iter().filter(|state| eligible(state));
        let usable = usable.filter(|state| !state.leaving);
        usable.map(|state| state.upstream.slots).sum()
    }

    /// Returns the time until an upstream wants requests again, if none wants any now.
    fn time_closed(&self, now: Instant) -> Option<Duration> {
        let eligible = self.eligible();
        let usable = self.upstreams.iter().filter(|state| eligible(state));
        let opens = usable.filter_map(|state| state.opens_at(now)).min()?;
        (opens > now).then(|| opens.saturating_duration_since(now))
    }

    /// Returns the expected time between two grants to requests of a priority, in seconds:
    /// arrivals of higher priority take their part of the capacity first.
    fn grant_interval(&self, priority: Priority, now: Instant) -> f64 {
        let all = self.capacity(now).max(MIN_CAPACITY);
        let higher = self.arrivals.range(..priority);
        let higher_rate: f64 = higher.map(|(_, arrivals)| arrivals.rate(now)).sum();
        1.0 / (all - higher_rate).max(all * MIN_CAPACITY_SHARE)
    }

    /// Records a request that an entry has in flight.
    pub(super) fn track_running(&mut self, running: Running, now: Instant) {
        let run = InFlight {
            upstream: running.upstream,
            since: now,
            prompt: running.prompt,
            // Its output is known to the dispatcher that granted it only.
            tokens: running.prompt,
            route: None,
            prefill_wait: Duration::ZERO,
            silent: false,
            expires: now + running.patience,
        };
        let in_rollout = self.release.is_some();
        if let Some(state) = self.state(&run.upstream) {
            state.set_running(state.running + 1, in_rollout, now);
            state.tokens = state.tokens.saturating_add(run.tokens);
        }
        self.running.insert(running.key, run);
    }

    /// Forgets queued and running requests for which `keep` is false.
    pub(super) fn retain(&mut self, keep: impl Fn(&Key) -> bool, now: Instant) {
        self.running.retain(|key, _| keep(key));
        self.queue.retain(|_, queued| keep(&queued.request.key));
        self.positions.retain(|key, _| keep(key));
        self.recount(now);
    }

    /// Takes over the rates that an entry measured for an upstream.
    pub(super) fn adopt(&mut self, upstream: &id::Upstream, rates: &Rates) {
        self.pooled.adopt(rates);
        if let Some(state) = self.state(upstream) {
            state.rates.adopt(rates);
        }
    }

    /// Forgets running requests for which `keep` is false.
    pub(super) fn retain_running(&mut self, keep: impl Fn(&Key) -> bool, now: Instant) {
        self.running.retain(|key, _| keep(key));
        self.recount(now);
    }

    /// Whether a request is queued here.
    pub(super) fn is_queued(&self, key: &Key) -> bool {
        self.positions.contains_key(key)
    }

    pub(super) fn queued_count(&self) -> usize {
        self.queue.len()
    }

    pub(super) fn running_count(&self) -> usize {
        self.running.len()
    }

    /// Forgets running requests that nobody waits for any more.
    fn drop_expired(&mut self, now: Instant) {
        let before = self.running.len();
        self.running.retain(|_, run| now < run.expires);
        if self.running.len() != before {
            self.recount(now);
        }
    }

    /// Counts the running requests of each upstream anew.
    fn recount(&mut self, now: Instant) {
        let mut counts: HashMap<&id::Upstream, (u32, u64)> = HashMap::new();
        for run in self.running.values() {
            let (running, tokens) = counts.entry(&run.upstream).or_default();
            *running += 1;
            *tokens = tokens.saturating_add(run.tokens);
        }
        for state in &mut self.upstreams {
            let count = counts.get(&state.upstream.name).copied();
            let (running, tokens) = count.unwrap_or_default();
            state.set_running(running, self.release.is_some(), now);
            state.tokens = tokens;
        }
    }

    fn state(&mut self, name: &id::Upstream) -> Option<&mut State> {
        let mut states = self.upstreams.iter_mut();
        states.find(|state| state.upstream.name == *name)
    }

    /// Returns a pause lengthened by a jitter that differs from one refusal to the next, limited
    /// to what a caller with `left` of its time waits.
    fn jitter(&mut self, pause: Duration, left: Duration) -> Duration {
        self.sequence += 1;
        // Multiples of the golden ratio are evenly spread between 0 and 1.
        let part = (self.sequence as f64 * 0.618_034).fract();
        pause
            .mul_f64(1.0 + RETRY_JITTER * part)
            .min(left / MAX_PAUSE_DIVISOR)
    }
}
