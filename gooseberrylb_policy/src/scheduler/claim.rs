//! The table of claims on idempotency keys.
//!
//! A granted key stays granted until it is released or ended. Only ended keys are forgotten, when
//! their retention expires. When the table is full, new keys are refused rather than old ones
//! evicted.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Instant;

use super::limits::Limits;
use super::{Claim, Grant, Record, Ticket};
use crate::request::{Answer, Id, Key, Outcome};

/// The claim on one key and the time at which it expires.
#[derive(Debug)]
struct Entry {
    claim: Claim,
    expires: Instant,
}

/// The end of the request that held a key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Ended {
    /// The outcome reported to the caller.
    pub outcome: Outcome,
    /// The grant under which the request ran.
    pub grant: Grant,
    /// The response, if it is stored.
    pub answer: Option<Answer>,
}

/// The claims of a scheduler.
#[derive(Debug)]
pub struct Table {
    limits: Limits,
    claims: BTreeMap<Key, Entry>,
    /// The granted keys by request.
    granted: BTreeMap<Id, Key>,
    /// The granted keys by ticket.
    tickets: BTreeMap<Ticket, Key>,
    expiries: BTreeSet<(Instant, Key)>,
    /// The stored responses and their sizes in bytes, oldest first.
    answers: VecDeque<(Key, usize)>,
    answer_bytes: usize,
    /// The changes that were not returned by [`Table::take_changes`] yet.
    changes: Vec<Record>,
}

impl Table {
    /// Creates a table with the claims taken over from an earlier view.
    pub fn new(limits: Limits, claims: BTreeMap<Key, Claim>, now: Instant) -> Self {
        let mut table = Self {
            limits,
            claims: BTreeMap::new(),
            granted: BTreeMap::new(),
            tickets: BTreeMap::new(),
            expiries: BTreeSet::new(),
            answers: VecDeque::new(),
            answer_bytes: 0,
            changes: Vec::new(),
        };
        for (key, claim) in claims {
            table.set(key, claim, now);
        }
        table
    }

    /// Returns the claim on `key`, if known.
    pub fn get(&self, key: &Key) -> Option<&Claim> {
        self.claims.get(key).map(|entry| &entry.claim)
    }

    /// Returns the key that is granted to the request `id`, if any.
    pub fn granted_to(&self, id: &Id) -> Option<&Key> {
        self.granted.get(id)
    }

    /// Returns the keys granted to requests with ids from `first` up to but excluding `last`.
    pub fn granted_between(&self, first: &Id, last: &Id) -> Vec<(Id, Key, Grant)> {
        self.granted
            .range(first..last)
            .filter_map(|(id, key)| match self.get(key) {
                Some(Claim::Granted { grant, .. }) => {
                    Some((id.clone(), key.clone(), grant.clone()))
                }
                Some(Claim::Ended { .. } | Claim::Released) | None => None,
            })
            .collect()
    }

    /// Returns the request and the key granted under `ticket`.
    pub fn granted_under(&self, ticket: Ticket) -> Option<(Id, Key)> {
        let key = self.tickets.get(&ticket)?;
        match self.get(key) {
            Some(Claim::Granted { id, .. }) => Some((id.clone(), key.clone())),
            Some(Claim::Ended { .. } | Claim::Released) | None => None,
        }
    }

    /// Replaces the limits.
    pub fn set_limits(&mut self, limits: Limits) {
        self.limits = limits;
    }

    /// Whether a new key can be added.
    pub fn has_room(&self) -> bool {
        self.claims.len() < self.limits.max_claims
    }

    /// Returns the number of known keys.
    pub fn count(&self) -> usize {
        self.claims.len()
    }

    /// Grants `key` to the request `id`.
    pub fn grant(&mut self, key: Key, id: Id, grant: Grant, now: Instant) {
        self.record(key, Claim::Granted { id, grant }, now);
    }

    /// Releases a granted key whose request is known not to have been dispatched, or may be run
    /// again.
    pub fn release(&mut self, key: &Key, now: Instant) {
        if matches!(self.get(key), Some(Claim::Granted { .. })) {
            self.record(key.clone(), Claim::Released, now);
        }
    }

    /// Records the end of a granted key. The first outcome other than [`Outcome::Unknown`] is
    /// final.
    pub fn end(&mut self, key: &Key, ended: Ended, now: Instant) {
        let is_certain = match self.get(key) {
            Some(Claim::Ended { outcome, .. }) => *outcome != Outcome::Unknown,
            Some(Claim::Granted { .. } | Claim::Released) | None => false,
        };
        if is_certain || ended.outcome == Outcome::Unknown && self.is_ended(key) {
            return;
        }
        let claim = Claim::Ended {
            outcome: ended.outcome,
            version: Some(ended.grant.version),
            upstream: Some(ended.grant.upstream),
            answer: ended.answer,
        };
        self.record(key.clone(), claim, now);
    }

    fn is_ended(&self, key: &Key) -> bool {
        matches!(self.get(key), Some(Claim::Ended { .. }))
    }

    /// Extends the time after which a granted key is treated as lost.
    pub fn extend(&mut self, key: &Key, until: Instant) {
        let Some(entry) = self.claims.get_mut(key) else {
            return;
        };
        if entry.expires < until {
            self.expiries.remove(&(entry.expires, key.clone()));
            entry.expires = until;
            self.expiries.insert((until, key.clone()));
        }
    }

    /// Forgets ended keys whose retention has expired, and returns the granted keys whose end was
    /// not reported in time.
    pub fn expire(&mut self, now: Instant) -> Vec<(Id, Key, Grant)> {
        let mut expired = Vec::new();
        while let Some((at, _)) = self.expiries.first()
            && *at <= now
        {
            let Some((_, key)) = self.expiries.pop_first() else {
                break;
            };
            match self.get(&key) {
                Some(Claim::Granted { id, grant }) => {
                    expired.push((id.clone(), key, grant.clone()))
                }
                Some(Claim::Ended { .. } | Claim::Released) | None => self.forget(&key),
            }
        }
        expired
    }

    /// Returns the changes since the last call, to be copied to the backups.
    pub fn take_changes(&mut self) -> Vec<Record> {
        std::mem::take(&mut self.changes)
    }

    /// Returns all claims, for syncing a new backup.
    pub fn snapshot(&self) -> Vec<Record> {
        self.claims
            .iter()
            .map(|(key, entry)| Record {
                key: key.clone(),
                claim: entry.claim.clone(),
            })
            .collect()
    }

    /// Sets a claim and records the change for the backups.
    fn record(&mut self, key: Key, claim: Claim, now: Instant) {
        self.changes.push(Record {
            key: key.clone(),
            claim: claim.clone(),
        });
        self.set(key, claim, now);
    }

    /// Replaces the claim on a key, without recording a change.
    fn set(&mut self, key: Key, claim: Claim, now: Instant) {
        self.forget(&key);
        match &claim {
            Claim::Released => return,
            Claim::Granted { id, grant } => {
                self.granted.insert(id.clone(), key.clone());
                self.tickets.insert(grant.ticket, key.clone());
            }
            Claim::Ended { answer, .. } => {
                let bytes = answer.as_ref().map_or(0, |answer| answer.body.len());
                self.keep_answer(&key, bytes);
            }
        }
        let expires = now + self.limits.retention;
        self.expiries.insert((expires, key.clone()));
        self.claims.insert(key, Entry { claim, expires });
    }

    fn forget(&mut self, key: &Key) {
        let Some(entry) = self.claims.remove(key) else {
            return;
        };
        self.expiries.remove(&(entry.expires, key.clone()));
        if let Claim::Granted { id, grant } = &entry.claim {
            self.granted.remove(id);
            self.tickets.remove(&grant.ticket);
        }
    }

    fn keep_answer(&mut self, key: &Key, bytes: usize) {
        if bytes == 0 {
            return;
        }
        self.answers.push_back((key.clone(), bytes));
        self.answer_bytes += bytes;
        while self.answer_bytes > self.limits.max_answer_bytes {
            let Some((oldest, bytes)) = self.answers.pop_front() else {
                break;
            };
            self.answer_bytes -= bytes;
            self.drop_answer(&oldest);
        }
    }

    fn drop_answer(&mut self, key: &Key) {
        if let Some(entry) = self.claims.get_mut(key)
            && let Claim::Ended { answer, .. } = &mut entry.claim
        {
            *answer = None;
        }
    }
}
