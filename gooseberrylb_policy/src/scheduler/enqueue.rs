//! Admission of requests: each is queued, attached to another with the same key, answered or
//! refused.

use std::time::{Duration, Instant};

use gooseberrylb_config::note::Kind;

use super::call::{Call, State};
use super::copy::share_of;
use super::fleet::Placement;
use super::machine::Scheduler;
use super::upstream::Verdict;
use super::{Claim, Decision, Grant, Refusal, Ticket};
use crate::request::{Id, Key, Outcome, Request};

impl Scheduler {
    /// Handles a request for a grant.
    pub(super) fn enqueue(&mut self, request: Request, now: Instant) {
        self.track_incarnation(&request.id, now);
        self.tier_arrivals.insert(request.tier, now);
        if self.calls.contains_key(&request.id) {
            self.enqueue_again(&request, now);
            return;
        }
        if !self.fleet.is_served() {
            self.answer_refusal(&request, Refusal::NoUpstream, now);
            return;
        }
        match request.key.clone() {
            Some(key) => self.enqueue_keyed(request, key, now),
            None => self.admit(request, false, now),
        }
    }

    /// Handles a request that is enqueued again, whose entry has therefore not dispatched it.
    fn enqueue_again(&mut self, request: &Request, now: Instant) {
        let id = &request.id;
        let Some(call) = self.calls.get_mut(id) else {
            return;
        };
        call.deadline = now + request.time_left;
        match call.state.clone() {
            State::Waiting { .. } => {
                let timer = self.latest_start(id);
                self.set_timer(id, timer);
            }
            State::Attached => {
                let timer = call.deadline;
                self.set_timer(id, timer);
            }
            State::Copying { .. } => {}
            State::Running { grant, position } => self.void_grant(id, &grant, position, now),
            State::Orphaned { grant } => self.void_grant(id, &grant, None, now),
        }
    }

    /// Voids an unused grant and puts its request back in the queue. The claim is kept: the message
    /// may have crossed the grant, so only this request may be granted the key again, since its
    /// entry dispatches it only once.
    fn void_grant(
        &mut self,
        id: &Id,
        grant: &Grant,
        position: Option<super::queue::Position>,
        now: Instant,
    ) {
        self.fleet.free(&grant.upstream, Verdict::Inconclusive, now);
        let Some(call) = self.calls.get_mut(id) else {
            return;
        };
        let request = &call.request;
        let share = share_of(&self.directory, &request.account);
        let position = match position {
            Some(position) => {
                self.queue
                    .put_back(&position, share, id.clone(), request.cost);
                position
            }
            None => self.queue.push(
                request.tier,
                &request.account,
                share,
                id.clone(),
                request.cost,
            ),
        };
        call.state = State::Waiting { position };
        let timer = self.latest_start(id);
        self.set_timer(id, timer);
    }

    /// Handles a new request with a key, by the claim on that key.
    fn enqueue_keyed(&mut self, request: Request, key: Key, now: Instant) {
        match self.claims.get(&key) {
            Some(Claim::Ended { .. }) => self.answer_ended(&request.id, &key),
            Some(Claim::Granted { id, .. }) if *id == request.id => self.admit(request, true, now),
            Some(Claim::Granted { .. }) => {
                self.attach(request, &key, now);
                self.resolve_attached(&key, now);
            }
            Some(Claim::Released) | None
                if self.claims_lost_until.is_some_and(|until| now < until) =>
            {
                self.answer_refusal(&request, Refusal::NotScheduler, now);
            }
            Some(Claim::Released) | None => match self.groups.leader(&key) {
                Some(_) => self.attach(request, &key, now),
                None => self.admit(request, false, now),
            },
        }
    }

    /// Attaches a request to the one that holds its key.
    fn attach(&mut self, request: Request, key: &Key, now: Instant) {
        let id = request.id.clone();
        if self.groups.attached_count(key) >= self.limits.max_attached {
            // The request that holds the key may still run, so this one cannot be refused as not
            // run.
            self.decide(id, unknown());
            return;
        }
        self.groups.attach(key, id.clone());
        let deadline = now + request.time_left;
        self.insert(request, State::Attached, deadline, false);
        self.set_timer(&id, deadline);
    }

    /// Queues a request unless it cannot finish by its deadline.
    fn admit(&mut self, request: Request, grant_sent: bool, now: Instant) {
        if self.misses_deadline(&request, now) {
            self.answer_refusal(&request, Refusal::TooLate, now);
            return;
        }
        let share = share_of(&self.directory, &request.account);
        let id = request.id.clone();
        if let Some(key) = &request.key {
            self.groups.set_leader(key, id.clone());
        }
        let position = self.queue.push(
            request.tier,
            &request.account,
            share,
            id.clone(),
            request.cost,
        );
        let deadline = now + request.time_left;
        self.insert(request, State::Waiting { position }, deadline, grant_sent);
        let timer = self.latest_start(&id);
        self.set_timer(&id, timer);
        self.shed(now);
    }

    fn insert(&mut self, request: Request, state: State, deadline: Instant, grant_sent: bool) {
        let call = Call {
            deadline,
            timer: deadline,
            state,
            expected_cached: 0,
            granted_at: None,
            grant_sent,
            request,
        };
        self.calls.insert(call.request.id.clone(), call);
    }

    /// Reserves a slot for a request and grants it. A claim on its key is first copied to the
    /// backups, if the view has any.
    pub(super) fn grant(&mut self, id: &Id, placement: Placement, now: Instant) {
        let Some(call) = self.calls.get_mut(id) else {
            return;
        };
        let State::Waiting { position } = call.state.clone() else {
            return;
        };
        self.queue.serve(&position);
        self.last_ticket += 1;
        let grant = Grant {
            ticket: Ticket {
                view: self.view.number,
                number: self.last_ticket,
            },
            upstream: placement.upstream,
            version: placement.version,
        };
        call.expected_cached = self.fleet.take(&grant.upstream, &call.request, now);
        call.granted_at = Some(now);
        let key = call.request.key.clone();
        let copied = key.is_some() && !self.view.backups.is_empty();
        let sequence = if copied {
            self.copies.add(id.clone())
        } else {
            0
        };
        call.state = State::Copying {
            grant: grant.clone(),
            sequence,
            position,
        };
        if let Some(key) = key {
            self.claims.grant(key, id.clone(), grant, now);
        }
        if copied {
            self.set_timer(id, now + self.limits.copy_timeout);
        } else {
            self.send_grant(id, now);
        }
    }

    /// Resolves the requests attached to a key after its claim changed: answers them with the end,
    /// lets them join the running stream, or promotes the first one if the key is free.
    pub(super) fn resolve_attached(&mut self, key: &Key, now: Instant) {
        match self.claims.get(key) {
            Some(Claim::Ended { .. }) => {
                for id in self.groups.take_attached(key) {
                    self.remove_call(&id);
                    self.answer_ended(&id, key);
                }
            }
            Some(Claim::Granted { id, grant }) => {
                if self.can_join(id) {
                    self.join_attached(key, id.clone(), grant.clone());
                }
            }
            Some(Claim::Released) | None => {
                if let Some(next_leader) = self.groups.next_leader(key) {
                    self.promote(&next_leader, key, now);
                }
            }
        }
    }

    /// Whether the stream of a granted request can be joined: its grant was sent, or was made by an
    /// earlier scheduler.
    fn can_join(&self, id: &Id) -> bool {
        let current_grant_sent = self.calls.get(id).is_none_or(|call| {
            matches!(call.state, State::Running { .. } | State::Orphaned { .. })
        });
        self.kind == Kind::Engine && current_grant_sent
    }

    fn join_attached(&mut self, key: &Key, id: Id, grant: Grant) {
        for attached in self.groups.take_attached(key) {
            self.remove_call(&attached);
            let decision = Decision::Join {
                grant: grant.clone(),
                id: id.clone(),
            };
            self.decide(attached, decision);
        }
    }

    /// Queues an attached request in place of one that will not run.
    fn promote(&mut self, id: &Id, key: &Key, now: Instant) {
        self.groups.remove(key, id);
        let Some(call) = self.remove_call(id) else {
            return;
        };
        let request = Request {
            time_left: call.deadline.saturating_duration_since(now),
            ..call.request
        };
        self.admit(request, false, now);
        if self.groups.leader(key).is_none() {
            self.resolve_attached(key, now);
        }
    }

    /// Answers a request whose key has already ended.
    pub(super) fn answer_ended(&mut self, id: &Id, key: &Key) {
        let Some(Claim::Ended {
            outcome,
            version,
            upstream,
            answer,
        }) = self.claims.get(key).cloned()
        else {
            return;
        };
        let decision = Decision::Ended {
            outcome,
            version,
            upstream,
            answer,
        };
        self.decide(id.clone(), decision);
    }

    /// Answers an attached request whose deadline has passed.
    pub(super) fn expire_attached(&mut self, id: &Id) {
        let Some(call) = self.remove_call(id) else {
            return;
        };
        if let Some(key) = &call.request.key {
            self.groups.remove(key, id);
        }
        self.decide(id.clone(), unknown());
    }

    /// Handles the death of an entry's earlier incarnations when a request of a new one arrives.
    fn track_incarnation(&mut self, id: &Id, now: Instant) {
        let known = self
            .incarnations
            .entry(id.entry.clone())
            .or_insert(id.incarnation);
        if *known < id.incarnation {
            *known = id.incarnation;
            self.entry_died(&id.entry, id.incarnation, now);
        }
    }

    pub(super) fn remove_call(&mut self, id: &Id) -> Option<Call> {
        let call = self.calls.remove(id)?;
        self.timers.remove(&(call.timer, id.clone()));
        Some(call)
    }

    /// Returns the time after which a refused caller should retry, with jitter.
    pub(super) fn retry_after(&mut self, request: &Request, now: Instant) -> Duration {
        use rand::Rng;
        let drained = self.expected_wait(request, now).unwrap_or(Duration::ZERO);
        let jitter = self.rng.random_range(0.75..1.5);
        drained
            .clamp(self.limits.retry_min, self.limits.retry_max)
            .mul_f64(jitter)
    }
}

/// Returns the answer to a request whose outcome is unknown.
fn unknown() -> Decision {
    Decision::Ended {
        outcome: Outcome::Unknown,
        version: None,
        upstream: None,
        answer: None,
    }
}
