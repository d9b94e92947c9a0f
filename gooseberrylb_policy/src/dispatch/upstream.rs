//! State of one upstream in the dispatcher: running requests, measured speed and health.

use std::time::{Duration, Instant};

use gooseberrylb_config::id;
use gooseberrylb_config::number::Rate;

use super::profile::Profile;
use super::rates::Rates;
use super::{Request, Upstream};
use crate::limit::Bucket;
use crate::occupancy::Occupancy;
use crate::room::Room;
use crate::warm_up::Allowance;

/// Ejection time of an upstream after its first failures; each further failure doubles it.
const BASE_EJECTION: Duration = Duration::from_millis(500);

/// Limit of the ejection time, so that a recovered upstream is found within seconds.
const MAX_EJECTION: Duration = Duration::from_secs(4);

/// Chance of a run of failures at a sound upstream below which the upstream is ejected. A single failure
/// may be the fault of the request itself.
const EJECTION_CHANCE: f64 = 5e-4;

/// Chance of a failure at a sound upstream where none is expected, so that two in a row suffice.
const MIN_FAILURE_CHANCE: f64 = 0.02;

/// Failure rate beyond the expected one from which on an upstream is ejected though some requests are
/// answered.
const EJECTION_FAILURE_RATE: f64 = 0.3;

/// Share of slow requests that is expected of a sound upstream.
const SLOW_SHARE: f64 = 0.05;

/// Largest weight of the newest request in the moving average of the failure rate.
const NEWEST_WEIGHT: f64 = 0.2;

/// Number of standard deviations of a sound upstream's failure rate that the bound is away.
const DEVIATIONS: f64 = 5.0;

/// Time for which an upstream gets no request after it reported that it is full; about the
/// duration of one plain call.
const FULL_PAUSE: Duration = Duration::from_millis(50);

/// Time for which an upstream gets no request after its host refused a connection; each further
/// refusal doubles it.
const BASE_REFUSED_PAUSE: Duration = Duration::from_millis(250);

/// Limit of that time, so that an upstream that listens again is found soon.
const MAX_REFUSED_PAUSE: Duration = Duration::from_secs(1);

/// Number of times its part of an upstream's slots that an entry uses while it places alone. Upstreams
/// queue what comes together.
const BORROWING_FACTOR: u32 = 2;

/// Decision to grant an upstream no requests for a while.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Exclusion {
    /// Upstream that gets no requests.
    pub upstream: id::Upstream,
    /// Entry whose request led to the decision.
    pub entry: id::Instance,
    /// What happened to that request.
    pub failure: Failure,
    /// Time for which the upstream gets none.
    pub time: Duration,
}

/// Failure of a request that counts against its upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Failure {
    /// The upstream failed or could not be reached.
    Failed,
    /// The upstream's host refused the connection.
    Refused,
    /// The upstream has been silent for longer than expected.
    Silent,
}

/// Health of an upstream, judged by its failures.
#[derive(Debug, Clone)]
pub struct Health {
    /// Ejections since the last success.
    ejections: u32,
    /// Chance of the failures since the last success at a sound upstream.
    chance: f64,
    /// Moving average of the share of failed requests, beyond the expected one.
    failure_rate: f64,
    /// End of the latest ejection.
    ejected_until: Option<Instant>,
    /// Whether the upstream gets one request at a time after an ejection.
    probing: bool,
}

impl Default for Health {
    fn default() -> Self {
        Self {
            ejections: 0,
            chance: 1.0,
            failure_rate: 0.0,
            ejected_until: None,
            probing: false,
        }
    }
}

impl Health {
    /// Records a request that was answered. `expected` is the share of such requests that fail at
    /// other upstreams.
    pub fn record_success(&mut self, expected: f64) {
        self.ejections = 0;
        self.chance = 1.0;
        self.average(0.0, expected);
        if self.failure_rate < EJECTION_FAILURE_RATE {
            self.probing = false;
        }
    }

    /// Records a request that failed. Returns the time for which the upstream is ejected, if it is.
    /// `expected` is the share of such requests that fail at other upstreams.
    pub fn record_failure(&mut self, expected: f64, now: Instant) -> Option<Duration> {
        self.chance *= expected.max(MIN_FAILURE_CHANCE);
        self.average(1.0, expected);
        let is_likely = self.chance > EJECTION_CHANCE;
        if is_likely && self.failure_rate < EJECTION_FAILURE_RATE {
            return None;
        }
        let doublings = self.ejections.min(8);
        if !is_likely {
            self.ejections += 1;
        }
        let ejection = (BASE_EJECTION * 2_u32.pow(doublings)).min(MAX_EJECTION);
        self.ejected_until = Some(now + ejection);
        self.probing = true;
        Some(ejection)
    }

    /// Records a request that takes longer than expected at an upstream that serves others meanwhile.
    /// Returns the time for which the upstream is ejected, if it is slow with too many.
    pub fn record_slow(&mut self, expected: f64, now: Instant) -> Option<Duration> {
        self.average(1.0, expected.max(SLOW_SHARE));
        if self.failure_rate < EJECTION_FAILURE_RATE {
            return None;
        }
        self.ejected_until = Some(now + BASE_EJECTION);
        self.probing = true;
        Some(BASE_EJECTION)
    }

    /// Adds the newest request to the failure rate: 1 for a failure, 0 for a success, less what is
    /// expected. The more is expected, the more requests are averaged, so that the average of a sound
    /// upstream stays within a few of its deviations of the bound.
    fn average(&mut self, newest: f64, expected: f64) {
        let deviation = EJECTION_FAILURE_RATE / DEVIATIONS;
        let variance = expected * (1.0 - expected);
        // The average of values with a weight w has w / (2 - w) of their variance.
        let weight = 2.0 * deviation.powi(2) / (variance + deviation.powi(2));
        let weight = weight.min(NEWEST_WEIGHT);
        let rate = self.failure_rate * (1.0 - weight) + weight * (newest - expected);
        self.failure_rate = rate.max(0.0);
    }

    /// Whether nothing is held against the upstream now.
    pub fn is_sound(&self, now: Instant) -> bool {
        !self.probing && self.ejected_until.is_none_or(|end| now >= end)
    }

    /// Returns how many requests the upstream should run at most now, out of `slots`.
    pub fn limit(&self, slots: u32, now: Instant) -> u32 {
        match self.ejected_until {
            Some(end) if now < end => 0,
            _ if self.probing => slots.min(1),
            _ => slots,
        }
    }
}

/// State of one upstream.
#[derive(Debug, Clone)]
pub(super) struct State {
    /// Configuration of the upstream.
    pub(super) upstream: Upstream,
    /// Number of requests that run on it.
    pub(super) running: u32,
    /// History of `running`, kept during a rollout.
    pub(super) occupancy: Occupancy,
    /// Measured speed.
    pub(super) rates: Rates,
    /// Health by recent failures.
    pub(super) health: Health,
    /// Time at which the prompts granted so far are expected to be prefilled.
    pub(super) prefill_until: Instant,
    /// End of the pause after the upstream reported that it is full.
    pub(super) full_until: Instant,
    /// End of the pause after the upstream's host refused a connection.
    pub(super) refused_until: Instant,
    /// Refused connections since the last served request.
    pub(super) refusals: u32,
    /// Whether the upstream has said that it leaves.
    pub(super) leaving: bool,
    /// Time until which the upstream wants no request, until it has served one after that.
    pub(super) closed_until: Option<Instant>,
    /// Requests that the upstream takes by the limit that it names.
    pub(super) limit: Option<Bucket>,
    /// Room of the upstream, if it says that it is brittle, or others do and it has served nothing yet.
    pub(super) room: Option<Room>,
    /// Whether the upstream has not said so itself.
    pub(super) is_room_presumed: bool,
    /// Whether the upstream has served a request.
    pub(super) served: bool,
    /// Time at which it served one last.
    pub(super) last_served: Option<Instant>,
    /// Tokens that its running requests are expected to hold.
    pub(super) tokens: u64,
    /// Declared properties of the service.
    pub(super) profile: Profile,
    /// Whether the upstream may get more requests than its slots here.
    pub(super) borrows: bool,
    /// Allowance of the upstream while it is cold.
    pub(super) cold: Option<Allowance>,
}

impl State {
    pub(super) fn new(upstream: Upstream, now: Instant) -> Self {
        Self {
            upstream,
            running: 0,
            occupancy: Occupancy::default(),
            rates: Rates::default(),
            health: Health::default(),
            prefill_until: now,
            full_until: now,
            refused_until: now,
            refusals: 0,
            leaving: false,
            closed_until: None,
            limit: None,
            room: None,
            is_room_presumed: false,
            served: false,
            last_served: None,
            tokens: 0,
            profile: Profile::default(),
            borrows: false,
            cold: None,
        }
    }

    /// Limits the requests until a time up to which the upstream is cold, if its service declares what a
    /// cold one tolerates.
    pub(super) fn set_cold(&mut self, until: Instant, now: Instant) {
        let Some(warm_up) = self.profile.warm_up.filter(|_| now < until) else {
            return;
        };
        let part = self.upstream.limit_part;
        match self.cold.as_mut().filter(|cold| cold.is_cold(now)) {
            Some(cold) => cold.extend(until),
            None => self.cold = Some(Allowance::new(warm_up, part, until, now)),
        }
    }

    /// Takes an upstream that has probably just started for cold, since the list shows that later.
    pub(super) fn presume_cold(&mut self, now: Instant) {
        if let Some(warm_up) = self.profile.warm_up {
            self.set_cold(now + warm_up.duration, now);
        }
    }

    /// Whether the upstream's memory holds a request of a number of tokens beside those that run.
    pub(super) fn holds(&self, tokens: u64) -> bool {
        let memory = self.profile.memory.unwrap_or(u64::MAX);
        self.tokens.saturating_add(tokens) <= memory
    }

    /// Whether the upstream is cold.
    pub(super) fn is_cold(&self, now: Instant) -> bool {
        self.cold.as_ref().is_some_and(|cold| cold.is_cold(now))
    }

    /// Returns the time from which on the upstream takes requests again, by its own word or since its
    /// host may listen again; `None` if it leaves or is left to others.
    pub(super) fn opens_at(&self, now: Instant) -> Option<Instant> {
        if self.leaving {
            return None;
        }
        let opens = self.closed_until.map_or(now, |end| end.max(now));
        let opens = opens.max(self.refused_until);
        let cold = self.cold.as_ref().map(|cold| cold.opens_at(now));
        let opens = opens.max(cold.unwrap_or(now));
        match &self.limit {
            Some(limit) => Some(opens.max(limit.opens_at(now)?)),
            None => Some(opens),
        }
    }

    /// Sets the rate of requests that the upstream takes from all instances.
    pub(super) fn set_limit(&mut self, rate: Option<Rate>, now: Instant) {
        let part = self.upstream.limit_part;
        match (&mut self.limit, rate) {
            (limit, None) => *limit = None,
            (Some(limit), Some(rate)) => limit.set_rate(rate, part, now),
            (limit, Some(rate)) => *limit = Some(Bucket::new(rate, part, now)),
        }
    }

    /// Sets the number of requests that the upstream can turn away in a second. One of which nothing is
    /// known yet may be as brittle as others of its service.
    pub(super) fn set_tolerance(&mut self, own: Option<u32>, of_service: Option<u32>) {
        let slots = self.upstream.slots;
        self.is_room_presumed = own.is_none();
        match (&mut self.room, own.or(of_service.filter(|_| !self.served))) {
            (room, None) => *room = None,
            (Some(room), Some(tolerance)) => room.tolerance = tolerance,
            (room, Some(tolerance)) if self.served => *room = Some(Room::new(slots, tolerance)),
            (room, Some(tolerance)) => *room = Some(Room::with_unknown(slots, tolerance)),
        }
    }

    /// Counts a request against the limit, and against what the upstream tolerates while it is cold.
    pub(super) fn count_against_limit(&mut self, now: Instant) {
        if let Some(limit) = &mut self.limit {
            limit.take(now);
        }
        if let Some(cold) = &mut self.cold {
            cold.take(now);
        }
    }

    /// Returns the number of requests per second that the upstream serves, if each holds a slot for
    /// `slot_seconds`.
    pub(super) fn capacity(&self, slot_seconds: f64, now: Instant) -> f64 {
        let by_slots = f64::from(self.upstream.slots) / slot_seconds;
        let limit = self.limit.as_ref().map(Bucket::rate);
        let cold = self.cold.as_ref().and_then(|cold| cold.rate(now));
        let limits = [limit, cold].into_iter().flatten();
        limits.fold(by_slots, f64::min)
    }

    /// Returns the number of requests that the limit, and the warm-up, allow now.
    fn allowed(&self, now: Instant) -> u32 {
        let limit = self.limit.as_ref();
        let limit = limit.map_or(u32::MAX, |limit| limit.available(now));
        let cold = self.cold.as_ref();
        limit.min(cold.map_or(u32::MAX, |cold| cold.available(now)))
    }

    /// Returns how many requests the upstream wants at most by its own word. After a time in which
    /// it wanted none, or in which its host refused connections, it gets one at first.
    fn wanted(&self, now: Instant) -> u32 {
        let room = self.room.as_ref();
        let room = room.map_or(self.slots(), |room| room.slots);
        let wanted = match self.closed_until {
            _ if self.leaving => 0,
            Some(end) if now < end => 0,
            Some(_) => self.upstream.slots.min(1),
            None if self.refusals > 0 => self.upstream.slots.min(1),
            None => self.slots(),
        };
        wanted.min(room)
    }

    /// Records that a request was served that was granted at `since`.
    pub(super) fn record_served(&mut self, expected_failures: f64, since: Instant, now: Instant) {
        self.health.record_success(expected_failures);
        self.served = true;
        self.last_served = Some(now);
        if self.is_room_presumed {
            self.room = None;
        }
        if let Some(room) = &mut self.room {
            room.record_served(self.upstream.slots, now);
        }
        if std::mem::take(&mut self.refusals) > 0 {
            self.presume_cold(now);
        }
        if self.closed_until.is_some_and(|end| since >= end) {
            self.closed_until = None;
        }
    }

    /// Sets the number of running requests. Its history is kept only during a rollout, which is
    /// the only reader, to save memory.
    pub(super) fn set_running(&mut self, running: u32, in_rollout: bool, now: Instant) {
        if self.running != running && in_rollout {
            self.occupancy.record(running, now);
        }
        self.running = running;
    }

    /// Records that the upstream's host refused a connection, and returns the pause that this begins.
    /// Refusals of requests that were granted before the first of them count as one.
    pub(super) fn record_refused(&mut self, now: Instant) -> Option<Duration> {
        if now < self.refused_until {
            return None;
        }
        let pause = BASE_REFUSED_PAUSE * 2_u32.pow(self.refusals.min(8));
        let pause = pause.min(MAX_REFUSED_PAUSE);
        self.refused_until = now + pause;
        self.refusals += 1;
        Some(pause)
    }

    /// Records that the upstream reported that it is full though it should have room. A brittle one
    /// gets a longer pause, and fewer requests after it.
    pub(super) fn record_full(&mut self, now: Instant) {
        let pause = match &mut self.room {
            Some(room) => room.record_full(self.running, self.upstream.limit_part, now),
            None => FULL_PAUSE,
        };
        self.full_until = self.full_until.max(now + pause);
    }

    /// Returns the number of requests that the upstream gets at once at most, if nothing else limits it.
    fn slots(&self) -> u32 {
        let is_limited = self.room.is_some() || self.limit.is_some() || self.cold.is_some();
        match self.borrows && !is_limited {
            true => self.upstream.slots * BORROWING_FACTOR,
            false => self.upstream.slots,
        }
    }

    /// Whether the upstream can run one more request. With `check_health`, an upstream that failed
    /// lately has less room.
    pub(super) fn has_room(&self, check_health: bool, now: Instant) -> bool {
        let slots = self.slots();
        let limit = if check_health {
            self.health.limit(slots, now)
        } else {
            slots
        };
        self.running < limit.min(self.wanted(now))
            && self.allowed(now) > 0
            && now >= self.full_until.max(self.refused_until)
    }

    /// Whether the upstream is sound, limited by nothing, and has most of its slots free.
    pub(super) fn has_time(&self, now: Instant) -> bool {
        let is_limited = self.room.is_some() || self.limit.is_some() || self.is_cold(now);
        let is_sound = self.health.is_sound(now) && self.refusals == 0;
        let is_idle = 2 * (self.running + 1) <= self.upstream.slots;
        !is_limited && is_sound && is_idle && self.has_room(true, now)
    }

    /// Returns the number of requests that the upstream can still run, given its health.
    pub(super) fn free_slots(&self, now: Instant) -> u32 {
        if now < self.full_until.max(self.refused_until) {
            return 0;
        }
        let limit = self.health.limit(self.slots(), now);
        let free = limit.min(self.wanted(now)).saturating_sub(self.running);
        free.min(self.allowed(now))
    }

    /// Returns the expected times to the first event and to the end of the response.
    pub(super) fn expected_times(
        &self,
        request: &Request,
        pooled: &Rates,
        now: Instant,
    ) -> (Duration, Duration) {
        let queued = self.prefill_until.saturating_duration_since(now);
        let first = queued + self.rates.expected_first(request, pooled);
        (first, first + self.rates.expected_rest(request, pooled))
    }
}
