//! Balance between the routes of one rank that compete for too little room.
//!
//! A request is queued as in time if it is expected to be granted within its objective. When the
//! queue is about as long as one route's objective, nearly all requests of that route come too late,
//! while those of a route with a slightly longer objective go on. The route that has been served less
//! takes the place of one that has been served more. See `docs/design/hard-load.md`.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use super::queue::{Position, Priority, Queued};
use super::{Service, USABLE_OBJECTIVE_SHARE};
use crate::dispatch::{Decision, Rank, Request};

/// Weight of the newest request in the share of a route's requests that are queued in time.
const NEWEST_WEIGHT: f64 = 0.05;

/// Difference of two routes' shares from which on they are balanced.
const MIN_DIFFERENCE: f64 = 0.05;

/// Shares of the requests that were granted or queued in time, by rank and route.
#[derive(Debug, Clone, Default)]
pub(super) struct Shares(HashMap<Rank, HashMap<Arc<str>, f64>>);

impl Shares {
    /// Records whether a request was in time.
    pub(super) fn record(&mut self, rank: Rank, route: &Arc<str>, in_time: bool) {
        let routes = self.0.entry(rank).or_default();
        let newest = f64::from(u8::from(in_time));
        match routes.get_mut(route) {
            Some(share) => *share += (newest - *share) * NEWEST_WEIGHT,
            None => {
                routes.insert(route.clone(), 1.0);
            }
        }
    }

    /// Returns the share of a route.
    fn of(&self, rank: Rank, route: &str) -> f64 {
        let routes = self.0.get(&rank);
        let share = routes.and_then(|routes| routes.get(route));
        share.copied().unwrap_or(1.0)
    }

    /// Whether a rank has more than one route.
    fn has_choice(&self, rank: Rank) -> bool {
        self.0.get(&rank).is_some_and(|routes| routes.len() > 1)
    }
}

impl Service {
    /// Queues a request that would be late in the place of one of a route that is served better, if one
    /// of these stands where the request is still in time. `first` is the expected time to the first
    /// event, and `closed` the time until the service takes any request.
    pub(super) fn displace(
        &mut self,
        request: &Request,
        first: Duration,
        closed: Duration,
        now: Instant,
    ) -> Option<Decision> {
        if !self.shares.has_choice(request.rank) {
            return None;
        }
        let victim = self.victim(request, first, closed, now)?;
        let Queued {
            request: displaced,
            since,
            offered,
        } = self.queue.remove(&victim)?;
        self.positions.remove(&displaced.key);
        let left = displaced
            .objective
            .saturating_sub(now.saturating_duration_since(since));
        let interval = self.grant_interval(victim.priority, now);
        let ahead = self.queue.range(..victim).count() as f64;
        let behind = self.queue.range(victim..);
        let behind = behind.take_while(|(other, _)| other.priority == victim.priority);
        let wait = closed.as_secs_f64() + (ahead + behind.count() as f64 + 2.0) * interval;
        let is_late = wait + first.as_secs_f64() > left.as_secs_f64() * USABLE_OBJECTIVE_SHARE;
        if is_late {
            self.shares.record(displaced.rank, &displaced.route, false);
        }
        self.shares.record(request.rank, &request.route, true);
        self.sequence += 1;
        let start = self.clock.start(request);
        self.clock.assign(request, start);
        let tail = Position {
            priority: Priority::new(displaced.rank, is_late),
            start: start.max(victim.start),
            number: self.sequence,
        };
        self.positions.insert(displaced.key.clone(), tail);
        let displaced = Queued {
            request: displaced,
            since,
            offered,
        };
        self.queue.insert(tail, displaced);
        self.arrivals.entry(victim.priority).or_default().add(now);
        self.positions.insert(request.key.clone(), victim);
        let queued = Queued {
            request: request.clone(),
            since: now,
            offered: false,
        };
        self.queue.insert(victim, queued);
        Some(Decision::Wait)
    }

    /// Returns the last position at which the request would be in time and that a request of a route
    /// with a higher share has.
    fn victim(
        &self,
        request: &Request,
        first: Duration,
        closed: Duration,
        now: Instant,
    ) -> Option<Position> {
        let priority = Priority::new(request.rank, false);
        let interval = self.grant_interval(priority, now);
        let usable = request.objective.as_secs_f64() * USABLE_OBJECTIVE_SHARE;
        let usable = usable - first.as_secs_f64() - closed.as_secs_f64();
        let places = (usable / interval).max(0.0) as usize;
        let own = self.shares.of(request.rank, &request.route);
        let is_served_better = |queued: &Queued| {
            let other = &queued.request;
            other.route != request.route
                && !queued.offered
                && self.shares.of(other.rank, &other.route) > own + MIN_DIFFERENCE
        };
        let reachable = self.queue.iter().take(places);
        let alike = reachable.filter(|(position, _)| position.priority == priority);
        let mut candidates = alike.filter(|(_, queued)| is_served_better(queued));
        candidates.next_back().map(|(position, _)| *position)
    }
}
