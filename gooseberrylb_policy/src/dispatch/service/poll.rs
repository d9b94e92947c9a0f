//! Decisions on queued requests: which are granted next, and which are refused.

use std::time::{Duration, Instant};

use super::queue::{Position, Priority, Queued};
use super::{MIN_RETRY_PAUSE, NO_UPSTREAM_PAUSE, Service};
use crate::dispatch::{Decision, Key, Reason};

/// Interval at which queued requests are looked at that may not be granted in time.
const REVIEW_INTERVAL: Duration = Duration::from_millis(100);

/// Hold time from which on a request may outlast the burst that makes its queue long, and is kept.
const BURST_TIME: Duration = Duration::from_millis(1_800);

impl Service {
    /// Grants queued requests that have room now, and refuses those that have waited for too long.
    pub(in crate::dispatch) fn poll(&mut self, now: Instant, decided: &mut Vec<(Key, Decision)>) {
        self.drop_expired(now);
        self.refuse_and_demote(now, decided);
        self.refuse_hopeless(now, decided);
        while !self.queue.is_empty() {
            let mut granted = None;
            for (position, queued) in &self.queue {
                if let Some(upstream) = self.choose_for_queued(queued, now) {
                    granted = Some((*position, upstream));
                    break;
                }
                if queued.request.excluded.is_empty() && !self.has_room(now) {
                    // A request that may go to any upstream found no slot, so no other will
                    // either. Where slots are free, a smaller one may fit the memory.
                    return;
                }
            }
            let Some((position, mut upstream)) = granted else {
                return;
            };
            if self.promote_soonest(position) {
                let queued = self.queue.get(&position);
                let chosen = queued.and_then(|queued| self.choose_for_queued(queued, now));
                let Some(chosen) = chosen else {
                    return;
                };
                upstream = chosen;
            }
            let Some(queued) = self.queue.remove(&position) else {
                return;
            };
            self.positions.remove(&queued.request.key);
            self.clock.advance(position.start);
            let upstream = self.grant(&queued.request, upstream, now);
            decided.push((queued.request.key, Decision::Grant(upstream)));
        }
    }

    /// Returns the index of the upstream for a request that has waited.
    fn choose_for_queued(&self, queued: &Queued, now: Instant) -> Option<usize> {
        let waited = now.saturating_duration_since(queued.since);
        let objective = queued.request.objective.saturating_sub(waited);
        self.choose(&queued.request, objective, now)
    }

    /// Exchanges the request at a position with the one of the same account and priority whose
    /// deadline comes first, if that may go to as many upstreams. Returns whether there is such a one.
    fn promote_soonest(&mut self, position: Position) -> bool {
        let Some(first) = self.queue.get(&position) else {
            return false;
        };
        let is_alike = |other: &Position, queued: &Queued| {
            other.priority == position.priority
                && queued.request.account == first.request.account
                && queued.request.excluded == first.request.excluded
        };
        let alike = self.queue.range(position..);
        let alike = alike.take_while(|(other, _)| other.priority == position.priority);
        let alike = alike.filter(|(other, queued)| is_alike(other, queued));
        let soonest = alike.min_by_key(|(other, queued)| (queued.deadline(), **other));
        let Some((soonest, _)) = soonest.filter(|(other, _)| **other != position) else {
            return false;
        };
        let soonest = *soonest;
        if let (Some(first), Some(second)) =
            (self.queue.remove(&position), self.queue.remove(&soonest))
        {
            self.positions.insert(first.request.key.clone(), soonest);
            self.positions.insert(second.request.key.clone(), position);
            self.queue.insert(soonest, first);
            self.queue.insert(position, second);
        }
        true
    }

    /// Refuses queued requests that are not expected to be granted while they may be held, so that
    /// their callers are told at once.
    fn refuse_hopeless(&mut self, now: Instant, decided: &mut Vec<(Key, Decision)>) {
        let is_due = self.reviewed.is_none_or(|at| now >= at + REVIEW_INTERVAL);
        // Other shards may grant what this one cannot.
        if !is_due || self.elsewhere.free > 0 || self.usable_slots() == 0 {
            return;
        }
        self.reviewed = Some(now);
        let mut interval: Option<(Priority, f64)> = None;
        let mut kept = 0.0;
        let mut hopeless = Vec::new();
        for (position, queued) in &self.queue {
            let per_grant = match interval {
                Some((priority, seconds)) if priority == position.priority => seconds,
                Some(_) | None => {
                    let seconds = self.grant_interval(position.priority, now);
                    interval = Some((position.priority, seconds));
                    seconds
                }
            };
            let waited = now.saturating_duration_since(queued.since);
            let left = queued.request.hold.saturating_sub(waited);
            let wait = kept * per_grant;
            let is_short = queued.request.hold < BURST_TIME && !queued.offered;
            if is_short && waited >= REVIEW_INTERVAL && wait > left.as_secs_f64() {
                hopeless.push((*position, wait));
            } else {
                kept += 1.0;
            }
        }
        for (position, wait) in hopeless {
            let Some(queued) = self.queue.remove(&position) else {
                continue;
            };
            self.positions.remove(&queued.request.key);
            let waited = now.saturating_duration_since(queued.since);
            let left = queued.request.patience.saturating_sub(waited);
            let pause = Duration::from_secs_f64(wait).min(left).max(MIN_RETRY_PAUSE);
            let pause = self.jitter(pause, left);
            decided.push((queued.request.key, Decision::Refuse(Reason::Busy, pause)));
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
}
