//! Recovery after a takeover: entries report their running requests to the new scheduler.

use std::time::Instant;

use gooseberrylb_config::id;

use super::call::{Call, State};
use super::machine::Scheduler;
use super::upstream::Verdict;
use super::{Claim, Running};

impl Scheduler {
    /// Handles an entry's report of its running requests.
    pub(super) fn resume(&mut self, entry: &id::Instance, running: Vec<Running>, now: Instant) {
        for running in running {
            self.adopt(running, now);
        }
        if let Some(recovery) = &mut self.recovery {
            recovery.pending.remove(entry);
        }
    }

    /// Adopts a dispatched request; the entry's report overrides what was known of the request.
    fn adopt(&mut self, running: Running, now: Instant) {
        let Running { request, grant } = running;
        let id = request.id.clone();
        let known = self.calls.get(&id).and_then(Call::grant);
        if known.is_some_and(|known| known.ticket == grant.ticket) {
            return;
        }
        let key = request.key.clone();
        if let Some(key) = &key {
            match self.claims.get(key) {
                Some(Claim::Ended { .. }) => return,
                Some(Claim::Granted { id: other, .. }) if *other != id => {}
                Some(Claim::Granted { .. } | Claim::Released) | None => {
                    self.claims
                        .grant(key.clone(), id.clone(), grant.clone(), now);
                }
            }
        }
        if let Some(call) = self.remove_call(&id) {
            self.release_call(&call, Verdict::Inconclusive, now);
        }
        self.insert_running(request, grant, now);
        if let Some(key) = key {
            self.groups.remove(&key, &id);
            self.groups.set_leader(&key, id);
            self.resolve_attached(&key, now);
        }
    }

    /// Adds an adopted request, which holds a slot of its upstream.
    fn insert_running(
        &mut self,
        request: crate::request::Request,
        grant: super::Grant,
        now: Instant,
    ) {
        let id = request.id.clone();
        let deadline = now + request.time_left;
        self.fleet.adopt(&grant.upstream, now);
        let call = Call {
            deadline,
            timer: deadline,
            state: State::Running {
                grant,
                position: None,
            },
            expected_cached: 0,
            granted_at: None,
            grant_sent: true,
            request,
        };
        self.calls.insert(id.clone(), call);
        self.set_timer(&id, deadline + self.limits.end_grace);
    }
}
