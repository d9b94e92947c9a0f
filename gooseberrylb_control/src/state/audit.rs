//! The audit trail, kept within a bound.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::SystemTime;

use gooseberrylb_config::answer::audit::{Audit, Entry};
use serde::{Deserialize, Serialize};

pub use gooseberrylb_config::answer::audit::Kind;

/// The number of entries that are kept.
pub const KEPT_ENTRIES: usize = 20_000;

/// The audit trail: the last [`KEPT_ENTRIES`] entries.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Trail {
    /// The number of entries ever made.
    count: u64,
    /// The entries that are kept, oldest first.
    entries: VecDeque<Entry>,
}

impl Trail {
    /// Adds an entry and drops the oldest one where there are too many.
    pub(super) fn add(
        &mut self,
        at: SystemTime,
        actor: impl Into<Arc<str>>,
        kind: Kind,
        subject: impl Into<Arc<str>>,
        cause: impl Into<Arc<str>>,
    ) {
        self.count += 1;
        self.entries.push_back(Entry {
            sequence: self.count,
            at,
            actor: actor.into(),
            kind,
            subject: subject.into(),
            cause: cause.into(),
        });
        if self.entries.len() > KEPT_ENTRIES {
            self.entries.pop_front();
        }
    }

    /// At most `limit` entries behind the one of number `after`.
    pub fn read(&self, after: u64, limit: usize) -> Audit {
        let oldest = self.count + 1 - self.entries.len() as u64;
        let skipped = (after + 1).saturating_sub(oldest) as usize;
        let entries: Vec<Entry> = self
            .entries
            .iter()
            .skip(skipped)
            .take(limit)
            .cloned()
            .collect();
        let after = entries.last().map_or(after, |entry| entry.sequence);
        Audit {
            more: after < self.count && !entries.is_empty(),
            entries,
            oldest,
            after,
        }
    }
}
