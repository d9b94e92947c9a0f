//! The end of requests: withdrawn, finished, orphaned by their entry, or never reported as ended.

use std::time::Instant;

use gooseberrylb_config::id;
use gooseberrylb_config::note::Kind;

use super::call::{Call, State};
use super::claim::Ended;
use super::machine::Scheduler;
use super::upstream::Verdict;
use super::{Claim, End, Grant};
use crate::request::{Cost, Figures, Id, Key, Outcome};

impl Scheduler {
    /// Handles a request that its entry abandons without having dispatched it.
    pub(super) fn withdraw(&mut self, id: &Id, now: Instant) {
        let claimed = self.claims.granted_to(id).cloned();
        let call = self.remove_call(id);
        if let Some(call) = &call {
            self.release_call(call, Verdict::Inconclusive, now);
        }
        let Some(key) = claimed.or_else(|| call.and_then(|call| call.request.key)) else {
            return;
        };
        if self.claims.granted_to(id).is_some() {
            self.claims.release(&key, now);
        }
        self.groups.remove(&key, id);
        self.resolve_attached(&key, now);
    }

    /// Releases the queue position or the slot that a call holds.
    pub(super) fn release_call(&mut self, call: &Call, verdict: Verdict, now: Instant) {
        match &call.state {
            State::Waiting { position } => {
                self.queue.remove(position);
            }
            State::Attached => {}
            State::Copying { grant, .. }
            | State::Running { grant, .. }
            | State::Orphaned { grant } => self.fleet.free(&grant.upstream, verdict, now),
        }
    }

    /// Handles the end of a dispatched request.
    pub(super) fn end(&mut self, end: End, now: Instant) {
        if self.is_superseded(&end) {
            return;
        }
        let claimed = self.claims.granted_to(&end.id).cloned();
        let Some(call) = self.remove_call(&end.id) else {
            match claimed {
                Some(key) => self.record_end(&key, &end, false, now),
                None => self.end_joined(&end, now),
            }
            return;
        };
        let current = call.grant().is_some_and(|grant| grant.ticket == end.ticket);
        let verdict = if current {
            judge(&end)
        } else {
            Verdict::Inconclusive
        };
        if let (Verdict::Answered(figures), Some(grant)) = (verdict, call.grant()) {
            self.fleet.correct_cache(
                &grant.upstream,
                &call.request,
                call.expected_cached,
                &figures,
            );
            self.correct_charge(&call, &figures);
        }
        self.release_call(&call, verdict, now);
        self.counters.ended(&end);
        let Some(key) = claimed.or(call.request.key) else {
            return;
        };
        self.groups.remove(&key, &end.id);
        self.record_end(&key, &end, call.request.repeatable, now);
    }

    /// Replaces the expected cost charged to the account by the measured one, if there is one.
    fn correct_charge(&mut self, call: &Call, figures: &Figures) {
        let State::Running { position, .. } = &call.state else {
            return;
        };
        let actual = Cost {
            prompt: figures.prompt,
            output: figures.output,
        };
        if let Some(position) = position
            && actual != Cost::default()
        {
            self.queue.correct(position, call.request.cost, actual);
        }
    }

    /// Whether an end reports an earlier dispatch that did not run, after which the request was
    /// enqueued again.
    fn is_superseded(&self, end: &End) -> bool {
        let Some(call) = self.calls.get(&end.id) else {
            return false;
        };
        let current = call.grant().is_some_and(|grant| grant.ticket == end.ticket);
        end.outcome == Outcome::NotRun && !current
    }

    /// Handles the end of a request that joined another one's stream. It counts as the end of the
    /// other request if it received the whole response, or if the other request's entry is gone.
    fn end_joined(&mut self, end: &End, now: Instant) {
        let Some((id, key)) = self.claims.granted_under(end.ticket) else {
            return;
        };
        let entry_gone = match self.calls.get(&id) {
            None => true,
            Some(call) => matches!(call.state, State::Orphaned { .. }),
        };
        if end.outcome != Outcome::Served && !entry_gone {
            return;
        }
        if let Some(call) = self.remove_call(&id) {
            self.release_call(&call, Verdict::Inconclusive, now);
            self.groups.remove(&key, &id);
        }
        self.record_end(&key, end, false, now);
    }

    /// Records the end of a granted key. The key is released if its request did not run or may be
    /// run again.
    fn record_end(&mut self, key: &Key, end: &End, repeatable: bool, now: Instant) {
        let Some(Claim::Granted { grant, .. }) = self.claims.get(key) else {
            self.resolve_attached(key, now);
            return;
        };
        let grant = grant.clone();
        match end.outcome {
            Outcome::NotRun if grant.ticket == end.ticket => self.claims.release(key, now),
            // An earlier grant that was not run does not prove that a later grant of the key was
            // unused.
            Outcome::NotRun => {}
            Outcome::Unknown if repeatable => self.claims.release(key, now),
            Outcome::Served | Outcome::Unknown => {
                let ended = Ended {
                    outcome: end.outcome,
                    grant,
                    answer: end.answer.clone(),
                };
                self.claims.end(key, ended, now);
            }
        }
        self.resolve_attached(key, now);
    }

    /// Handles the death of an entry, or of its incarnations before `incarnation`.
    pub(super) fn entry_died(&mut self, entry: &id::Instance, incarnation: u64, now: Instant) {
        if let Some(recovery) = &mut self.recovery
            && incarnation == u64::MAX
        {
            recovery.pending.remove(entry);
        }
        let first = first_id(entry, 0);
        let last = first_id(entry, incarnation);
        let calls: Vec<Id> = self
            .calls
            .range(&first..&last)
            .map(|(id, _)| id.clone())
            .collect();
        for id in calls {
            self.orphan(&id, now);
        }
        if self.kind == Kind::Engine {
            // The streams continue in their engines and can be joined until the claims expire.
            return;
        }
        for (_, key, grant) in self.claims.granted_between(&first, &last) {
            self.end_claim_unknown(&key, grant, now);
        }
    }

    /// Marks a dispatched request of a dead entry as orphaned, and drops one that has no
    /// grant yet.
    fn orphan(&mut self, id: &Id, now: Instant) {
        let Some(call) = self.calls.get_mut(id) else {
            return;
        };
        if let State::Running { grant, .. } = &call.state {
            call.state = State::Orphaned {
                grant: grant.clone(),
            };
            let timer = now + self.limits.orphan_grace;
            self.set_timer(id, timer);
            return;
        }
        if matches!(call.state, State::Orphaned { .. }) {
            return;
        }
        self.abandon(id, now);
    }

    /// Drops a request that has no grant, or whose current grant was not sent.
    fn abandon(&mut self, id: &Id, now: Instant) {
        let Some(call) = self.remove_call(id) else {
            return;
        };
        self.release_call(&call, Verdict::Inconclusive, now);
        let Some(key) = call.request.key else {
            return;
        };
        if !call.grant_sent && self.claims.granted_to(id).is_some() {
            self.claims.release(&key, now);
        }
        self.groups.remove(&key, id);
        self.resolve_attached(&key, now);
    }

    /// Gives up a dispatched request whose end was not reported in time.
    pub(super) fn expire_running(&mut self, id: &Id, now: Instant) {
        let Some(call) = self.remove_call(id) else {
            return;
        };
        self.release_call(&call, Verdict::Inconclusive, now);
        if let (Some(key), Some(grant)) = (&call.request.key, call.grant()) {
            self.groups.remove(key, id);
            self.end_claim_unknown(key, grant.clone(), now);
        }
    }

    /// Frees the slot of a dead entry's request; the claim on its key is kept.
    pub(super) fn release_orphan(&mut self, id: &Id, now: Instant) {
        let Some(call) = self.remove_call(id) else {
            return;
        };
        self.release_call(&call, Verdict::Inconclusive, now);
        if let Some(key) = &call.request.key {
            self.groups.remove(key, id);
            self.resolve_attached(key, now);
        }
    }

    /// Handles a granted key whose end was not reported within its retention.
    pub(super) fn expire_claim(&mut self, id: &Id, key: &Key, grant: Grant, now: Instant) {
        match self.calls.get(id) {
            Some(call) => {
                let until = call.timer.max(now) + self.limits.retention;
                self.claims.extend(key, until);
            }
            None => self.end_claim_unknown(key, grant, now),
        }
    }

    /// Records that the end of a granted key is unknown.
    fn end_claim_unknown(&mut self, key: &Key, grant: Grant, now: Instant) {
        let ended = Ended {
            outcome: Outcome::Unknown,
            grant,
            answer: None,
        };
        self.claims.end(key, ended, now);
        self.resolve_attached(key, now);
    }
}

/// Returns what an end shows about the upstream.
fn judge(end: &End) -> Verdict {
    if end.failed {
        return Verdict::Failed;
    }
    match end.outcome {
        Outcome::Served if !end.cancelled => Verdict::Answered(end.figures),
        Outcome::Served | Outcome::NotRun | Outcome::Unknown => Verdict::Inconclusive,
    }
}

/// Returns the lowest id of an entry's incarnation.
fn first_id(entry: &id::Instance, incarnation: u64) -> Id {
    Id {
        entry: entry.clone(),
        incarnation,
        number: 0,
    }
}
