//! A backup's replica of the scheduler's claims, updated in the order in which changes were sent.

use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

use gooseberrylb_config::number;
use thiserror::Error;

use super::{Claim, Record};
use crate::request::Key;

/// How long an ended key is kept. Must be at least as long as the scheduler keeps it, since the
/// scheduler does not report when it forgets a key.
const RETENTION: Duration = Duration::from_secs(600);

/// An acknowledgement that the backup holds every record up to a sequence number.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Acknowledgement {
    /// The latest view known to the backup.
    pub view: number::View,
    /// The sequence number of the last batch held.
    pub sequence: u64,
}

/// The reason why a backup rejected records.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum CopyError {
    /// The sender is the scheduler of an earlier view.
    #[error("records of view {offered} rejected, since view {known} is known")]
    View {
        /// The view of the sender.
        offered: number::View,
        /// The latest view known to the backup.
        known: number::View,
    },
    /// The backup must be synced before it accepts single batches.
    #[error("the backup is not synced in view {0}")]
    Unsynced(number::View),
    /// Earlier batches are missing.
    #[error("batch {offered} received, but the last batch held is {held}")]
    Gap {
        /// The sequence number of the rejected batch.
        offered: u64,
        /// The sequence number of the last batch held.
        held: u64,
    },
}

/// A replica of a scheduler's claims.
#[derive(Debug, Clone)]
pub struct Backup {
    view: number::View,
    synced: bool,
    sequence: u64,
    claims: BTreeMap<Key, Claim>,
    /// The ended keys with the time at which their end was received, oldest first.
    ended: VecDeque<(Instant, Key)>,
}

impl Backup {
    /// Creates a backup for `view` that must be synced.
    pub fn new(view: number::View) -> Self {
        Self {
            view,
            synced: false,
            sequence: 0,
            claims: BTreeMap::new(),
            ended: VecDeque::new(),
        }
    }

    /// Returns the latest known view.
    pub fn view(&self) -> number::View {
        self.view
    }

    /// Whether the backup was synced in the latest known view.
    pub fn is_synced(&self) -> bool {
        self.synced
    }

    /// Advances to a later view, after which schedulers of earlier views are rejected. The claims
    /// are kept for a takeover, or until the new scheduler's sync replaces them.
    pub fn advance(&mut self, view: number::View) {
        if view > self.view {
            self.view = view;
            self.synced = false;
        }
    }

    /// Replaces all claims by a snapshot of the scheduler of `view`, which covers its batches up to
    /// `sequence`.
    pub fn sync(
        &mut self,
        view: number::View,
        sequence: u64,
        records: Vec<Record>,
        now: Instant,
    ) -> Result<Acknowledgement, CopyError> {
        self.check_view(view)?;
        if self.synced && view == self.view && sequence < self.sequence {
            return Ok(self.held());
        }
        self.view = view;
        self.synced = true;
        self.sequence = sequence;
        self.claims.clear();
        self.ended.clear();
        for record in records {
            self.apply(record, now);
        }
        Ok(self.held())
    }

    /// Applies the next batch in sequence; a batch that is already held is acknowledged again.
    pub fn accept(
        &mut self,
        view: number::View,
        sequence: u64,
        records: Vec<Record>,
        now: Instant,
    ) -> Result<Acknowledgement, CopyError> {
        self.check_view(view)?;
        if view > self.view || !self.synced {
            return Err(CopyError::Unsynced(view));
        }
        if sequence > self.sequence + 1 {
            return Err(CopyError::Gap {
                offered: sequence,
                held: self.sequence,
            });
        }
        if sequence == self.sequence + 1 {
            for record in records {
                self.apply(record, now);
            }
            self.sequence = sequence;
            self.forget(now);
        }
        Ok(self.held())
    }

    /// Returns the claims, for a scheduler that takes over.
    pub fn claims(&self) -> &BTreeMap<Key, Claim> {
        &self.claims
    }

    fn check_view(&self, view: number::View) -> Result<(), CopyError> {
        if view < self.view {
            return Err(CopyError::View {
                offered: view,
                known: self.view,
            });
        }
        Ok(())
    }

    fn held(&self) -> Acknowledgement {
        Acknowledgement {
            view: self.view,
            sequence: self.sequence,
        }
    }

    fn apply(&mut self, record: Record, now: Instant) {
        match &record.claim {
            Claim::Released => {
                self.claims.remove(&record.key);
                return;
            }
            Claim::Ended { .. } => self.ended.push_back((now, record.key.clone())),
            Claim::Granted { .. } => {}
        }
        self.claims.insert(record.key, record.claim);
    }

    fn forget(&mut self, now: Instant) {
        while let Some((at, _)) = self.ended.front()
            && now >= *at + RETENTION
        {
            let Some((_, key)) = self.ended.pop_front() else {
                break;
            };
            if matches!(self.claims.get(&key), Some(Claim::Ended { .. })) {
                self.claims.remove(&key);
            }
        }
    }
}
