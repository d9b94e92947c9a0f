//! The backup's side of claims: a copy of the scheduler's, in the order in which it was sent.

use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

use gooseberrylb_config::number;
use thiserror::Error;

use super::{Claim, Record};
use crate::request::Key;

/// How long an ended key is kept; at least as long as the scheduler keeps it, which sends no word
/// when it forgets one.
const RETENTION: Duration = Duration::from_secs(600);

/// That the backup holds every record up to a sequence number.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Acknowledgement {
    /// The view.
    pub view: number::View,
    /// The sequence number.
    pub sequence: u64,
}

/// Why a backup did not take records in.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum CopyError {
    /// The sender schedules no more.
    #[error("the records are of view {offered}, but view {known} is known")]
    View {
        /// The sender's view.
        offered: number::View,
        /// The latest view known.
        known: number::View,
    },
    /// The backup must be synced before it can take single batches.
    #[error("this backup was not synced in view {0}")]
    Unsynced(number::View),
    /// Records before these were missed.
    #[error("batch {offered} came, but the last one held is {held}")]
    Gap {
        /// The batch that came.
        offered: u64,
        /// The last one held.
        held: u64,
    },
}

/// A copy of a scheduler's claims.
#[derive(Debug, Clone)]
pub struct Backup {
    view: number::View,
    synced: bool,
    sequence: u64,
    claims: BTreeMap<Key, Claim>,
    ended: VecDeque<(Instant, Key)>,
}

impl Backup {
    /// Makes a backup that knows of `view` and must be synced.
    pub fn new(view: number::View) -> Self {
        Self {
            view,
            synced: false,
            sequence: 0,
            claims: BTreeMap::new(),
            ended: VecDeque::new(),
        }
    }

    /// The latest view known.
    pub fn view(&self) -> number::View {
        self.view
    }

    /// Whether it was synced in the latest view known.
    pub fn is_synced(&self) -> bool {
        self.synced
    }

    /// Learns of a later view: from here on the scheduler of an earlier one is refused. The claims
    /// are kept, for taking over with them or until the new scheduler's sync replaces them.
    pub fn advance(&mut self, view: number::View) {
        if view > self.view {
            self.view = view;
            self.synced = false;
        }
    }

    /// Replaces all claims by those of the view's scheduler, which cover its batches up to
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

    /// Takes in the batch that follows the last one; one that is held already is acknowledged again.
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

    /// The claims, for a scheduler that takes over with them.
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
