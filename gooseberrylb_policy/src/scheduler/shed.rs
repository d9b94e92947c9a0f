//! Load shedding: refuses requests that exceed the queue limits or cannot meet their deadlines.

use std::time::{Duration, Instant};

use super::call::State;
use super::copy::share_of;
use super::machine::Scheduler;
use super::upstream::Verdict;
use super::{Decision, Refusal};
use crate::request::{Cost, Id, Request};

/// Maximum number of waiting requests checked per tick for whether they can still finish in time.
const MAX_CHECKS_PER_TICK: usize = 256;

/// Ratio of the expected wait to the time left from which a waiting request is refused; the margin
/// keeps a brief slowdown from emptying the queue.
const WAIT_MARGIN: f64 = 1.25;

impl Scheduler {
    /// Refuses the lowest-priority waiting requests until the queue is within its limits.
    pub(super) fn shed(&mut self, now: Instant) {
        while self.is_over_limits() {
            let Some(id) = self.queue.next_to_shed().cloned() else {
                break;
            };
            self.refuse(&id, Refusal::Shed, now);
        }
    }

    fn is_over_limits(&self) -> bool {
        let sum = self.queue.sum();
        let too_many_tokens = sum.tokens() > self.limits.max_waiting_tokens && sum.requests > 1;
        // During recovery, entries are still enqueuing their requests again, and those of the
        // lowest tier may not have arrived yet; the limits are relaxed so that a higher tier is not
        // shed in their place.
        let factor = if self.recovery.is_some() { 2 } else { 1 };
        sum.requests > self.limits.max_waiting * factor || too_many_tokens && factor == 1
    }

    /// Whether a new request would be granted too late to finish by its deadline.
    pub(super) fn misses_deadline(&self, request: &Request, now: Instant) -> bool {
        let Some(service_seconds) = self.fleet.seconds_for(request.cost) else {
            return request.time_left.is_zero();
        };
        let wait = self.expected_wait(request, now).unwrap_or(Duration::ZERO);
        let left = request.time_left.as_secs_f64();
        request.time_left.is_zero() || wait.as_secs_f64() + service_seconds > left
    }

    /// Returns how long a request is expected to wait for its grant, once rates are known.
    pub(super) fn expected_wait(&self, request: &Request, now: Instant) -> Option<Duration> {
        if let Some(until) = self.fleet.all_ejected_until(now) {
            return Some(until.saturating_duration_since(now));
        }
        let share = share_of(&self.directory, &request.account);
        let ahead = self.queue.ahead(request.tier, &request.account, share);
        let cost = Cost {
            prompt: gooseberrylb_config::number::Tokens(ahead.prompt),
            output: gooseberrylb_config::number::Tokens(ahead.output),
        };
        let work = self.fleet.seconds_for(cost)?;
        let capacity = f64::from(self.fleet.capacity(now).max(1));
        Some(Duration::from_secs_f64((work / capacity).min(86_400.0)))
    }

    /// Returns the latest time at which a waiting request can be granted and still finish by its
    /// deadline.
    pub(super) fn latest_start(&self, id: &Id) -> Instant {
        let call = &self.calls[id];
        let service_seconds = self.fleet.seconds_for(call.request.cost).unwrap_or(0.0);
        call.deadline
            .checked_sub(Duration::from_secs_f64(service_seconds.min(86_400.0)))
            .unwrap_or(call.deadline)
    }

    /// Refuses a waiting request whose latest start has passed at the current rates; otherwise
    /// resets its timer.
    pub(super) fn check_latest_start(&mut self, id: &Id, now: Instant) {
        let latest = self.latest_start(id);
        if latest > now {
            self.set_timer(id, latest);
        } else {
            self.refuse(id, Refusal::TooLate, now);
        }
    }

    /// Refuses the newest request of each account if it can no longer be granted in time.
    pub(super) fn refuse_late(&mut self, now: Instant) {
        let newest: Vec<Id> = self
            .queue
            .newest()
            .take(MAX_CHECKS_PER_TICK)
            .cloned()
            .collect();
        for id in newest {
            let Some(call) = self.calls.get(&id) else {
                continue;
            };
            let Some(wait) = self.expected_wait(&call.request, now) else {
                return;
            };
            let left = self.latest_start(&id).saturating_duration_since(now);
            if wait > left.mul_f64(WAIT_MARGIN) {
                self.refuse(&id, Refusal::TooLate, now);
            }
        }
    }

    /// Refuses a request that was not granted. If an earlier grant was sent, the key may have been
    /// dispatched and stays claimed until the entry withdraws the request.
    pub(super) fn refuse(&mut self, id: &Id, reason: Refusal, now: Instant) {
        let Some(call) = self.remove_call(id) else {
            return;
        };
        match &call.state {
            State::Waiting { position } => {
                self.queue.remove(position);
            }
            State::Copying { grant, .. } => {
                self.fleet.free(&grant.upstream, Verdict::Inconclusive, now)
            }
            State::Attached | State::Running { .. } | State::Orphaned { .. } => {}
        }
        self.answer_refusal(&call.request, reason, now);
        let Some(key) = call.request.key else {
            return;
        };
        if !call.grant_sent {
            self.claims.release(&key, now);
        }
        self.groups.remove(&key, id);
        self.resolve_attached(&key, now);
    }

    pub(super) fn answer_refusal(&mut self, request: &Request, reason: Refusal, now: Instant) {
        let retry_after = match (reason, self.claims_lost_until) {
            (Refusal::NotScheduler, Some(until)) => until.saturating_duration_since(now),
            _ => self.retry_after(request, now),
        };
        self.counters.refused(request.tier, reason);
        let decision = Decision::Refuse {
            reason,
            retry_after,
        };
        self.decide(request.id.clone(), decision);
    }
}
