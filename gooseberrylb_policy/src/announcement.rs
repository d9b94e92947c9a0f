//! What one instance tells others of upstreams and of what crashes them, so that it binds the whole fleet.
//!
//! Entries tell their dispatcher, a dispatcher tells its entries and those of other shards, and a
//! new dispatcher or entry is told what is known. See `docs/PLATFORM.md`.

use serde::{Deserialize, Serialize};

use crate::{availability, crash};

/// One piece of what an instance knows.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Announcement {
    /// What an upstream said of its availability.
    Upstream(availability::Report),
    /// What a run told about what may crash upstreams.
    Crash(crash::Report),
}

/// Returns reports of upstreams and of what crashes them as announcements.
pub fn join(
    upstreams: Vec<availability::Report>,
    crashes: Vec<crash::Report>,
) -> Vec<Announcement> {
    let upstreams = upstreams.into_iter().map(Announcement::Upstream);
    let crashes = crashes.into_iter().map(Announcement::Crash);
    upstreams.chain(crashes).collect()
}
