//! The audit trail, bounded to the most recent entries.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::SystemTime;

use gooseberrylb_config::answer::audit::{Audit, Entry};
use serde::{Deserialize, Serialize};

pub use gooseberrylb_config::answer::audit::Kind;

/// Maximum number of retained entries.
pub const MAX_ENTRIES: usize = 20_000;

/// Audit trail of the last [`MAX_ENTRIES`] entries.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Trail {
    /// Number of entries ever added.
    count: u64,
    /// Retained entries, oldest first.
    entries: VecDeque<Entry>,
}

impl Trail {
    /// Adds an entry and drops the oldest one if the limit is exceeded.
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
        if self.entries.len() > MAX_ENTRIES {
            self.entries.pop_front();
        }
    }

    /// Returns at most `limit` entries that follow the one with number `after`.
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
