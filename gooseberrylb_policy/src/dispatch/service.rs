//! Queue and placement of one service: which requests wait, in which order they are granted, and
//! on which upstream they run.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::{Duration, Instant};

use gooseberrylb_config::directory::rollout::Rollout;
use gooseberrylb_config::id;

use super::fairness::{Clock, VirtualTime};
use super::peers::Capacity;
use super::rates::{NEWEST_WEIGHT, POOLED_NEWEST_WEIGHT, Rates, update_average};
use super::release::{Completion, Release};
use super::upstream::{Exclusion, Failure, State};
use super::{Decision, Key, Outcome, Rank, Reason, Request, Running, Upstream};
use crate::availability::Table;
use crate::occupancy::Occupancy;
use crate::rollout::Observation;

/// Pause before callers retry at a service without upstreams; about the interval at which the list
/// of upstreams is read.
pub(super) const NO_UPSTREAM_PAUSE: Duration = Duration::from_secs(1);

/// Time by which a response from another data centre must be expected sooner for the request to go
/// there: bytes between data centres cost, and a round trip takes a few milliseconds.
const CROSS_DATA_CENTRE_COST: Duration = Duration::from_millis(30);

/// Time added to the cost of an upstream that runs as many requests as it has slots, and in
/// proportion otherwise: prefill of one prompt delays the tokens of other requests.
const CONTENTION_COST: Duration = Duration::from_millis(40);

/// Time added to the cost of an upstream on which the first event would be late.
const LATE_COST: Duration = Duration::from_secs(60);

/// Share of the objective within which the first event must be expected for a request to count as
/// in time, since estimates err.
const USABLE_OBJECTIVE_SHARE: f64 = 0.85;

/// Share of a late request's hold time within which its grant must be expected.
const USABLE_HOLD_SHARE: f64 = 0.6;

/// Time that a request is expected to hold its slot before any measurement, in seconds.
const DEFAULT_SLOT_SECONDS: f64 = 0.3;

/// Time constant of the moving arrival rate; bursts last for seconds.
const ARRIVAL_DECAY: Duration = Duration::from_secs(1);

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

/// A request that runs on an upstream.
#[derive(Debug)]
struct InFlight {
    /// Upstream that runs the request.
    upstream: id::Upstream,
    /// Time of the grant.
    since: Instant,
    /// Length of the prompt, in tokens.
    prompt: u64,
    /// Route of the request, if this dispatcher granted it.
    route: Option<Arc<str>>,
    /// Prefill time of the prompts ahead of it when it was granted.
    prefill_wait: Duration,
    /// Whether the upstream was reported silent on this request.
    silent: bool,
    /// Time after which nobody waits for the request, so that its slot is freed even if its end is
    /// never reported.
    expires: Instant,
}

/// A queued request.
#[derive(Debug)]
struct Queued {
    /// Request that waits.
    request: Request,
    /// Time at which it was queued.
    since: Instant,
    /// Whether it is offered to the dispatcher of another shard.
    offered: bool,
}

/// Position in the queue: by priority, then by fair queueing among accounts, then by arrival.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Position {
    priority: Priority,
    start: VirtualTime,
    number: u64,
}

/// Order of precedence: the account's rank, then the route's. A late request has already lost most
/// of its value, so it ranks one lower, behind those of that rank that can still be in time.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Priority {
    /// Rank of the account.
    account: u8,
    /// Rank of the route, plus 1 for a late request.
    route: u8,
    /// Whether the request can no longer be in time.
    late: bool,
}

impl Priority {
    fn new(rank: Rank, late: bool) -> Self {
        Self {
            account: rank.account,
            route: rank.route.saturating_add(u8::from(late)),
            late,
        }
    }
}

/// Exponentially decaying count of arrivals.
#[derive(Debug, Default)]
struct Arrivals {
    /// Decayed count at the time of the last arrival.
    count: f64,
    /// Time of the last arrival.
    at: Option<Instant>,
}

impl Arrivals {
    fn decayed(&self, now: Instant) -> f64 {
        let passed = self
            .at
            .map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
        self.count * (-passed.as_secs_f64() / ARRIVAL_DECAY.as_secs_f64()).exp()
    }

    fn count(&mut self, now: Instant) {
        self.count = self.decayed(now) + 1.0;
        self.at = Some(now);
    }

    /// Returns the arrival rate, in requests per second.
    fn rate(&self, now: Instant) -> f64 {
        self.decayed(now) / ARRIVAL_DECAY.as_secs_f64()
    }
}

/// State of one service.
#[derive(Debug, Default)]
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
}

impl Service {
    pub(super) fn set_upstreams(&mut self, upstreams: Vec<Upstream>, now: Instant) {
        let mut known: HashMap<_, _> = std::mem::take(&mut self.upstreams)
            .into_iter()
            .map(|state| (state.upstream.name.clone(), state))
            .collect();
        for upstream in upstreams {
            let state = match known.remove(&upstream.name) {
                Some(state) => State { upstream, ..state },
                None => State::new(upstream, now),
            };
            self.upstreams.push(state);
        }
        self.recount(now);
        if let Some(release) = &mut self.release {
            release.set_upstreams(self.upstreams.iter().map(|state| &state.upstream));
        }
    }

    pub(super) fn set_rollout(
        &mut self,
        name: &id::Service,
        rollout: Option<&Rollout>,
        share: f64,
        now: Instant,
    ) {
        match (&mut self.release, rollout) {
            (release, None) => {
                *release = None;
                let states = self.upstreams.iter_mut();
                states.for_each(|state| state.occupancy = Occupancy::default());
            }
            (Some(release), Some(rollout)) if release.matches(rollout) => {
                release.update(name, rollout, share);
            }
            (release, Some(rollout)) => {
                let release = release.insert(Release::new(name, rollout, share, now));
                release.set_upstreams(self.upstreams.iter().map(|state| &state.upstream));
            }
        }
    }

    /// Returns what was observed of the rollout, if there is one.
    pub(super) fn observation(&self, now: Instant) -> Option<Observation> {
        let release = self.release.as_ref()?;
        let at_release = self.running_at(release) as usize;
        let upstreams = self.upstreams.iter().map(|state| &state.upstream);
        // Requests that run at upstreams no longer listed are elsewhere as well.
        Some(release.observation(upstreams, self.running.len() - at_release, now))
    }

    /// Returns the number of requests that run on upstreams of the release.
    fn running_at(&self, release: &Release) -> u32 {
        let at = self.upstreams.iter();
        let at = at.filter(|state| release.is_release(&state.upstream));
        at.map(|state| state.running).sum()
    }

    /// Returns a predicate for the upstreams that requests may go to: all, or those that the
    /// rollout's stage allows.
    fn eligible(&self) -> impl Fn(&State) -> bool {
        let rule = self.release.as_ref().map(|release| {
            let wanted = release.allows(self.running_at(release)).is_none();
            // If only other upstreams exist, serving takes precedence over the rollout.
            let of_stage = |state: &State| is_eligible(release, wanted, state);
            (release, wanted, self.upstreams.iter().any(of_stage))
        });
        move |state| match rule {
            Some((release, wanted, true)) => is_eligible(release, wanted, state),
            Some((_, _, false)) | None => true,
        }
    }

    /// Grants the request an upstream, queues it, or refuses it.
    pub(super) fn place(&mut self, request: Request, now: Instant) -> Decision {
        if self.queue.is_empty()
            && let Some(upstream) = self.choose(&request, request.objective, now)
        {
            let start = self.clock.start(&request);
            self.clock.assign(&request, start);
            self.clock.advance(start);
            let priority = Priority::new(request.rank, false);
            self.arrivals.entry(priority).or_default().count(now);
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
        self.arrivals
            .entry(position.priority)
            .or_default()
            .count(now);
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

    /// Counts a request that an entry placed alone against the limit of its upstream.
    pub(super) fn count_against_limit(&mut self, upstream: &id::Upstream, now: Instant) {
        if let Some(state) = self.state(upstream) {
            state.count_against_limit(now);
        }
    }

    /// Returns the number of requests per second that the usable upstreams serve. Those whose hosts
    /// refuse connections count only if all do, since some will be back.
    fn capacity(&self) -> f64 {
        let slot_seconds = self.slot_seconds.unwrap_or(DEFAULT_SLOT_SECONDS);
        let eligible = self.eligible();
        let usable = self.upstreams.iter().filter(|state| eligible(state));
        let usable: Vec<_> = usable.filter(|state| !state.leaving).collect();
        let none_listens = usable.iter().all(|state| state.refusals > 0);
        let listening = usable.iter().filter(|s| none_listens || s.refusals == 0);
        listening.map(|state| state.capacity(slot_seconds)).sum()
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
        let all = self.capacity().max(MIN_CAPACITY);
        let higher = self.arrivals.range(..priority);
        let higher_rate: f64 = higher.map(|(_, arrivals)| arrivals.rate(now)).sum();
        1.0 / (all - higher_rate).max(all * MIN_CAPACITY_SHARE)
    }

    /// Grants queued requests that have room now, and refuses those that have waited for too long.
    pub(super) fn poll(&mut self, now: Instant, decided: &mut Vec<(Key, Decision)>) {
        self.drop_expired(now);
        self.refuse_and_demote(now, decided);
        while !self.queue.is_empty() {
            let mut granted = None;
            for (position, queued) in &self.queue {
                let waited = now.saturating_duration_since(queued.since);
                let objective = queued.request.objective.saturating_sub(waited);
                if let Some(upstream) = self.choose(&queued.request, objective, now) {
                    granted = Some((*position, upstream));
                    break;
                }
                if queued.request.excluded.is_empty() {
                    // A request that may go to any upstream found no room, so no other will
                    // either.
                    return;
                }
            }
            let Some((position, upstream)) = granted else {
                return;
            };
            let Some(queued) = self.queue.remove(&position) else {
                return;
            };
            self.positions.remove(&queued.request.key);
            self.clock.advance(position.start);
            let upstream = self.grant(&queued.request, upstream, now);
            decided.push((queued.request.key, Decision::Grant(upstream)));
        }
    }

    /// Refuses queued requests whose hold time is over, and demotes those that can no longer be in
    /// time.
    fn refuse_and_demote(&mut self, now: Instant, decided: &mut Vec<(Key, Decision)>) {
        let over = |w: &Queued| now >= w.since + w.request.hold;
        let late =
            |p: &Position, w: &Queued| !p.priority.late && now >= w.since + w.request.objective;
        let affected: Vec<Position> = self
            .queue
            .iter()
            .filter(|(position, queued)| over(queued) || late(position, queued))
            .map(|(position, _)| *position)
            .collect();
        for position in affected {
            let Some(queued) = self.queue.remove(&position) else {
                continue;
            };
            if over(&queued) {
                self.positions.remove(&queued.request.key);
                let waited = now.saturating_duration_since(queued.since);
                let left = queued.request.patience.saturating_sub(waited);
                // If the hold time was too short, an immediate retry is unlikely to succeed.
                let pause = self.jitter(queued.request.hold.max(NO_UPSTREAM_PAUSE), left);
                decided.push((queued.request.key, Decision::Refuse(Reason::Busy, pause)));
            } else {
                let position = Position {
                    priority: Priority::new(queued.request.rank, true),
                    ..position
                };
                self.positions.insert(queued.request.key.clone(), position);
                self.queue.insert(position, queued);
            }
        }
    }

    /// Counts a running request as a failure of its upstream, as that has been silent for too long.
    pub(super) fn mark_silent(&mut self, key: &Key, now: Instant) {
        let Some(run) = self.running.get_mut(key).filter(|run| !run.silent) else {
            return;
        };
        run.silent = true;
        let name = run.upstream.clone();
        let ejection = self
            .state(&name)
            .and_then(|state| state.health.record_failure(now));
        self.record_exclusion(&name, key, Failure::Silent, ejection);
        self.record_outcome(key, None, now);
    }

    /// Reports the outcome of a request to the rollout; `None` means that it is silent for too
    /// long.
    fn record_outcome(&mut self, key: &Key, outcome: Option<&Outcome>, now: Instant) {
        let (Some(release), Some(run)) = (&mut self.release, self.running.get(key)) else {
            return;
        };
        let rest = match outcome {
            Some(Outcome::Served { rest, .. }) => *rest,
            Some(Outcome::Full | Outcome::Failed | Outcome::Dropped | Outcome::Refused) | None => {
                Duration::ZERO
            }
        };
        // A silent request was recorded when it became silent.
        if run.silent && outcome.is_some() {
            return;
        }
        let mut states = self.upstreams.iter();
        if let Some(state) = states.find(|state| state.upstream.name == run.upstream) {
            let completion = Completion {
                upstream: &state.upstream,
                route: run.route.as_deref(),
                prompt: run.prompt,
                running: now
                    .checked_sub(rest)
                    .and_then(|first| state.occupancy.peak(run.since, first)),
            };
            release.record_outcome(&completion, outcome, now);
        }
    }

    /// Removes a queued or running request that ended, and learns from its outcome.
    pub(super) fn finish(&mut self, key: &Key, outcome: Outcome, now: Instant) {
        self.withdraw(key);
        self.record_outcome(key, Some(&outcome), now);
        let Some(run) = self.running.remove(key) else {
            return;
        };
        let mut pooled = self.pooled;
        let in_rollout = self.release.is_some();
        let mut exclusion = (Failure::Failed, None);
        if let Some(state) = self.state(&run.upstream) {
            state.set_running(state.running.saturating_sub(1), in_rollout, now);
            match outcome {
                Outcome::Served { .. } => {
                    state.record_served(run.since, now);
                    let (prompt, prefill_wait) = (run.prompt, run.prefill_wait);
                    state
                        .rates
                        .update(prompt, prefill_wait, &outcome, NEWEST_WEIGHT);
                    pooled.update(prompt, prefill_wait, &outcome, POOLED_NEWEST_WEIGHT);
                }
                Outcome::Full => state.record_full(now),
                Outcome::Failed => exclusion.1 = state.health.record_failure(now),
                Outcome::Refused => {
                    let ejection = state.health.record_failure(now);
                    exclusion = (Failure::Refused, ejection.max(state.record_refused(now)));
                }
                Outcome::Dropped => {}
            }
        }
        let (failure, time) = exclusion;
        self.record_exclusion(&run.upstream, key, failure, time);
        self.pooled = pooled;
        if let Outcome::Served { .. } = outcome {
            let slot_seconds = now.saturating_duration_since(run.since).as_secs_f64();
            update_average(&mut self.slot_seconds, slot_seconds, POOLED_NEWEST_WEIGHT);
        }
    }

    /// Records that an upstream gets no requests for a time, if there is one.
    fn record_exclusion(
        &mut self,
        upstream: &id::Upstream,
        key: &Key,
        failure: Failure,
        time: Option<Duration>,
    ) {
        self.exclusions.extend(time.map(|time| Exclusion {
            upstream: upstream.clone(),
            entry: key.entry.clone(),
            failure,
            time,
        }));
    }

    /// Returns the decisions to grant upstreams nothing for a while since the last call.
    pub(super) fn take_exclusions(&mut self) -> Vec<Exclusion> {
        std::mem::take(&mut self.exclusions)
    }

    /// Records a request that an entry has in flight.
    pub(super) fn track_running(&mut self, running: Running, now: Instant) {
        let run = InFlight {
            upstream: running.upstream,
            since: now,
            prompt: running.prompt,
            route: None,
            prefill_wait: Duration::ZERO,
            silent: false,
            expires: now + running.patience,
        };
        let in_rollout = self.release.is_some();
        if let Some(state) = self.state(&run.upstream) {
            state.set_running(state.running + 1, in_rollout, now);
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
        let mut counts: HashMap<&id::Upstream, u32> = HashMap::new();
        for run in self.running.values() {
            *counts.entry(&run.upstream).or_default() += 1;
        }
        for state in &mut self.upstreams {
            let running = counts.get(&state.upstream.name).copied().unwrap_or(0);
            state.set_running(running, self.release.is_some(), now);
        }
    }

    fn state(&mut self, name: &id::Upstream) -> Option<&mut State> {
        let mut states = self.upstreams.iter_mut();
        states.find(|state| state.upstream.name == *name)
    }

    /// Returns the index of the upstream with room on which the request costs least: the expected
    /// end of the response, with the additions for lateness, contention and distance.
    fn choose(&self, request: &Request, objective: Duration, now: Instant) -> Option<usize> {
        let healthy = |state: &State| state.health.limit(state.upstream.slots, now) > 0;
        // If most upstreams fail, ejecting them all would leave none to serve, unless other shards
        // have some.
        let check_health = self.elsewhere.free > 0
            || self.upstreams.iter().filter(|s| healthy(s)).count() * 2 >= self.upstreams.len();
        let best = |eligible: &dyn Fn(&State) -> bool| {
            let candidates = self.upstreams.iter().enumerate();
            candidates
                .filter(|(_, state)| eligible(state) && state.has_room(check_health, now))
                .filter(|(_, state)| !request.excluded.contains(&state.upstream.name))
                .min_by_key(|(_, state)| self.cost(request, objective, state, now))
                .map(|(i, _)| i)
        };
        let on_trial = self.release.as_ref().and_then(|release| {
            let may_use_release = release.allows(self.running_at(release)) == Some(true);
            let of_release = |state: &State| release.is_release(&state.upstream);
            may_use_release.then(|| best(&of_release)).flatten()
        });
        on_trial.or_else(|| best(&self.eligible()))
    }

    /// Returns the cost of running a request on an upstream, as a time.
    fn cost(
        &self,
        request: &Request,
        objective: Duration,
        state: &State,
        now: Instant,
    ) -> Duration {
        let (first, end) = state.expected_times(request, &self.pooled, now);
        let mut cost = end + CONTENTION_COST * state.running / state.upstream.slots.max(1);
        if first > objective {
            cost += LATE_COST + first;
        }
        if state.upstream.data_centre != request.data_centre {
            cost += CROSS_DATA_CENTRE_COST;
        }
        cost
    }

    /// Records a request as running on the upstream of an index, and returns the upstream's name.
    fn grant(&mut self, request: &Request, upstream: usize, now: Instant) -> id::Upstream {
        let pooled = self.pooled;
        let state = &mut self.upstreams[upstream];
        let prefill_wait = state.prefill_until.saturating_duration_since(now);
        if request.prompt > 0 {
            state.prefill_until =
                state.prefill_until.max(now) + state.rates.expected_first(request, &pooled);
        }
        state.set_running(state.running + 1, self.release.is_some(), now);
        state.count_against_limit(now);
        if let Some(release) = &mut self.release {
            release.record_grant(&state.upstream);
        }
        let run = InFlight {
            upstream: state.upstream.name.clone(),
            since: now,
            prompt: request.prompt,
            route: Some(request.route.clone()),
            prefill_wait,
            silent: false,
            expires: now + request.patience + NO_UPSTREAM_PAUSE,
        };
        self.running.insert(request.key.clone(), run);
        self.upstreams[upstream].upstream.name.clone()
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

/// Whether an upstream runs the release, if `wanted`, or else one that is neither the release nor
/// rolled back.
fn is_eligible(release: &Release, wanted: bool, state: &State) -> bool {
    release.is_release(&state.upstream) == wanted && !release.is_rolled_back(&state.upstream)
}
