//! Replication of claims to the backups. The grant of a key is sent only once every backup holds
//! the claim.

use std::collections::BTreeMap;
use std::time::Instant;

use super::call::State;
use super::machine::Scheduler;
use super::upstream::Verdict;
use super::{Decision, Output, Refusal};
use crate::request::Id;

/// A batch of records that the backups have not acknowledged yet.
#[derive(Debug)]
struct Batch {
    /// The time at which the batch was sent.
    sent_at: Instant,
    /// The requests whose grants wait for the acknowledgement.
    ids: Vec<Id>,
}

/// The unacknowledged batches.
#[derive(Debug, Default)]
pub struct Copies {
    sequence: u64,
    batches: BTreeMap<u64, Batch>,
    /// The requests whose claims go into the next batch.
    next_ids: Vec<Id>,
}

impl Copies {
    /// Returns the sequence number of the last batch.
    pub fn sequence(&self) -> u64 {
        self.sequence
    }

    /// Returns the time at which the oldest unacknowledged batch was sent.
    pub fn oldest_sent_at(&self) -> Option<Instant> {
        self.batches.values().next().map(|batch| batch.sent_at)
    }

    /// Adds a request to the next batch and returns the sequence number of that batch.
    pub fn add(&mut self, id: Id) -> u64 {
        self.next_ids.push(id);
        self.sequence + 1
    }

    /// Closes the next batch and returns its sequence number.
    fn close_batch(&mut self, now: Instant) -> u64 {
        self.sequence += 1;
        let ids = std::mem::take(&mut self.next_ids);
        self.batches
            .insert(self.sequence, Batch { sent_at: now, ids });
        self.sequence
    }

    /// Removes the batches up to `sequence`, and returns their numbers and requests.
    fn acknowledge(&mut self, sequence: u64) -> Vec<(u64, Vec<Id>)> {
        let rest = self.batches.split_off(&sequence.saturating_add(1));
        let acknowledged = std::mem::replace(&mut self.batches, rest);
        acknowledged
            .into_iter()
            .map(|(sequence, batch)| (sequence, batch.ids))
            .collect()
    }

    /// Removes all unacknowledged batches and returns their requests.
    fn take_pending(&mut self) -> Vec<Id> {
        let batches = std::mem::take(&mut self.batches);
        batches.into_values().flat_map(|batch| batch.ids).collect()
    }
}

impl Scheduler {
    /// Sends the claims changed in this step to the backups, if there are any.
    pub(super) fn flush(&mut self, now: Instant) {
        let records = self.claims.take_changes();
        if records.is_empty() || self.view.backups.is_empty() {
            return;
        }
        let sequence = self.copies.close_batch(now);
        self.outputs.push(Output::Copy { sequence, records });
    }

    /// Proceeds with the grants in the batches that every backup now holds.
    pub(super) fn acknowledge(&mut self, sequence: u64, now: Instant) {
        for (batch, ids) in self.copies.acknowledge(sequence) {
            for id in ids {
                if self.is_in_batch(&id, batch) {
                    self.confirm_claim(&id, now);
                }
            }
        }
    }

    /// Whether the request still waits for the acknowledgement of `batch`.
    fn is_in_batch(&self, id: &Id, batch: u64) -> bool {
        self.calls.get(id).is_some_and(
            |call| matches!(call.state, State::Copying { sequence, .. } if sequence == batch),
        )
    }

    /// Proceeds with a grant whose claim was acknowledged: sends it, or refuses or requeues the
    /// request if the grant can no longer be used.
    fn confirm_claim(&mut self, id: &Id, now: Instant) {
        let Some(call) = self.calls.get(id) else {
            return;
        };
        let State::Copying { grant, .. } = &call.state else {
            return;
        };
        if now >= call.deadline {
            self.refuse(id, Refusal::TooLate, now);
        } else if self.fleet.allows(grant) {
            self.send_grant(id, now);
        } else {
            self.requeue(id, now);
        }
    }

    /// Sends a grant to its entry, which may dispatch the request from then on.
    pub(super) fn send_grant(&mut self, id: &Id, now: Instant) {
        let Some(call) = self.calls.get_mut(id) else {
            return;
        };
        let State::Copying {
            grant, position, ..
        } = call.state.clone()
        else {
            return;
        };
        call.grant_sent = true;
        call.state = State::Running {
            grant: grant.clone(),
            position: Some(position),
        };
        let key = call.request.key.clone();
        let timer = call.deadline + self.limits.end_grace;
        self.set_timer(id, timer);
        self.counters.granted(&grant);
        self.decide(id.clone(), Decision::Grant(grant));
        if let Some(key) = key {
            self.claims.extend(&key, timer + self.limits.retention);
            self.resolve_attached(&key, now);
        }
    }

    /// Returns a request whose grant was not sent to its position in the queue.
    fn requeue(&mut self, id: &Id, now: Instant) {
        let Some(call) = self.calls.get_mut(id) else {
            return;
        };
        let State::Copying {
            grant, position, ..
        } = call.state.clone()
        else {
            return;
        };
        let request = &call.request;
        let share = share_of(&self.directory, &request.account);
        self.queue
            .put_back(&position, share, id.clone(), request.cost);
        self.fleet.free(&grant.upstream, Verdict::Inconclusive, now);
        call.state = State::Waiting { position };
        if let Some(key) = &request.key
            && !call.grant_sent
        {
            self.claims.release(key, now);
        }
        let timer = self.latest_start(id);
        self.set_timer(id, timer);
    }

    /// Sends the unacknowledged claims again, to the backups of a new view.
    pub(super) fn resend_claims(&mut self, now: Instant) {
        for id in self.copies.take_pending() {
            let Some(call) = self.calls.get_mut(&id) else {
                continue;
            };
            let (
                State::Copying {
                    grant, sequence, ..
                },
                Some(key),
            ) = (&mut call.state, &call.request.key)
            else {
                continue;
            };
            self.claims
                .grant(key.clone(), id.clone(), grant.clone(), now);
            *sequence = self.copies.add(id.clone());
        }
        if self.view.backups.is_empty() {
            let ids = std::mem::take(&mut self.copies.next_ids);
            for id in ids {
                self.send_grant(&id, now);
            }
        }
    }
}

/// Returns the weight of a client account; an unknown account has a weight of one.
pub(super) fn share_of(
    directory: &gooseberrylb_config::directory::Directory,
    account: &gooseberrylb_config::id::Account,
) -> u32 {
    directory
        .accounts
        .get(account)
        .map_or(1, |account| account.share)
}
