//! The claims on idempotency keys: which are granted and how others ended.
//!
//! A granted key stays granted until it is released or ended; only ended keys are forgotten, after
//! their retention. When the table is full no new key is taken, rather than an old one forgotten.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Instant;

use super::limits::Limits;
use super::{Claim, Grant, Record, Ticket};
use crate::request::{Answer, Id, Key, Outcome};

/// One key's claim and when it is looked at again.
#[derive(Debug)]
struct Entry {
    claim: Claim,
    expires: Instant,
}

/// How a key ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Ended {
    /// What its caller was told.
    pub outcome: Outcome,
    /// The grant that it ran under.
    pub grant: Grant,
    /// The answer, where it is kept.
    pub answer: Option<Answer>,
}

/// The claims of a scheduler.
#[derive(Debug)]
pub struct Table {
    limits: Limits,
    claims: BTreeMap<Key, Entry>,
    granted: BTreeMap<Id, Key>,
    tickets: BTreeMap<Ticket, Key>,
    expiries: BTreeSet<(Instant, Key)>,
    answers: VecDeque<(Key, usize)>,
    answer_bytes: usize,
    changes: Vec<Record>,
}

impl Table {
    /// Makes a table of claims taken over.
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

    /// What is known of a key.
    pub fn get(&self, key: &Key) -> Option<&Claim> {
        self.claims.get(key).map(|entry| &entry.claim)
    }

    /// The key that is granted to a request.
    pub fn granted_to(&self, id: &Id) -> Option<&Key> {
        self.granted.get(id)
    }

    /// The keys granted to requests from `first` up to, not including, `last`.
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

    /// The request and the key granted under a ticket.
    pub fn granted_under(&self, ticket: Ticket) -> Option<(Id, Key)> {
        let key = self.tickets.get(&ticket)?;
        match self.get(key) {
            Some(Claim::Granted { id, .. }) => Some((id.clone(), key.clone())),
            Some(Claim::Ended { .. } | Claim::Released) | None => None,
        }
    }

    /// Sets other bounds.
    pub fn set_limits(&mut self, limits: Limits) {
        self.limits = limits;
    }

    /// Whether a new key can be taken in.
    pub fn has_room(&self) -> bool {
        self.claims.len() < self.limits.max_claims
    }

    /// The number of keys known.
    pub fn count(&self) -> usize {
        self.claims.len()
    }

    /// Grants a key to a request.
    pub fn grant(&mut self, key: Key, id: Id, grant: Grant, now: Instant) {
        self.record(key, Claim::Granted { id, grant }, now);
    }

    /// Frees a key whose request is known not to have been dispatched.
    pub fn release(&mut self, key: &Key, now: Instant) {
        if matches!(self.get(key), Some(Claim::Granted { .. })) {
            self.record(key.clone(), Claim::Released, now);
        }
    }

    /// Notes how a granted key ended; the first end that is known for sure stands.
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

    /// Puts off the time at which a granted key is given up as unknown.
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

    /// Forgets ended keys whose retention is over, and returns the granted ones whose end never came.
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

    /// The changes since the last call, to be copied to the backups.
    pub fn take_changes(&mut self) -> Vec<Record> {
        std::mem::take(&mut self.changes)
    }

    /// All claims, for a new backup.
    pub fn snapshot(&self) -> Vec<Record> {
        self.claims
            .iter()
            .map(|(key, entry)| Record {
                key: key.clone(),
                claim: entry.claim.clone(),
            })
            .collect()
    }

    fn record(&mut self, key: Key, claim: Claim, now: Instant) {
        self.changes.push(Record {
            key: key.clone(),
            claim: claim.clone(),
        });
        self.set(key, claim, now);
    }

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
