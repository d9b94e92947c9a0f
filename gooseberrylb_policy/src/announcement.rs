//! What one instance tells others of upstreams and of what crashes them, so that it binds the whole fleet.
//!
//! Entries tell their dispatcher, a dispatcher tells its entries and those of other shards, and a
//! new dispatcher or entry is told what is known. See `docs/PLATFORM.md`.

use std::time::Instant;

use serde::{Deserialize, Deserializer, Serialize, Serializer};

use crate::warm_up::Cold;
use crate::{availability, crash};

/// One piece of what an instance knows.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Announcement {
    /// What an upstream said of its availability.
    Upstream(availability::Report),
    /// What a run told about what may crash upstreams.
    Crash(crash::Report),
    /// That an upstream is cold.
    Cold(Cold),
}

/// Returns reports of upstreams, of what crashes them, and of cold ones as announcements.
pub fn join(
    upstreams: Vec<availability::Report>,
    crashes: Vec<crash::Report>,
    cold: Vec<Cold>,
) -> Vec<Announcement> {
    let upstreams = upstreams.into_iter().map(Announcement::Upstream);
    let crashes = crashes.into_iter().map(Announcement::Crash);
    let cold = cold.into_iter().map(Announcement::Cold);
    upstreams.chain(crashes).chain(cold).collect()
}

/// Returns what an instance with a table of crashes answers to one that told of some.
pub fn replies(
    crashes: &crash::Table,
    announcements: &[Announcement],
    now: Instant,
) -> Vec<Announcement> {
    let mut replies = Vec::new();
    for announcement in announcements {
        match announcement {
            Announcement::Crash(report) => replies.extend(crashes.replies(report, now)),
            Announcement::Upstream(_) | Announcement::Cold(_) => {}
        }
    }
    replies.into_iter().map(Announcement::Crash).collect()
}

/// Form of announcements in messages: an earlier release knows neither the variant for cold
/// upstreams nor the field after the others, and ignores the latter.
#[derive(Serialize, Deserialize)]
struct Message {
    announcements: Vec<Announcement>,
    #[serde(deserialize_with = "gooseberrylb_config::trailing::or_default")]
    cold: Vec<Cold>,
}

/// Serializes announcements as the last part of a message.
pub fn serialize<S: Serializer>(
    announcements: &[Announcement],
    serializer: S,
) -> Result<S::Ok, S::Error> {
    let mut message = Message {
        announcements: Vec::new(),
        cold: Vec::new(),
    };
    for announcement in announcements {
        match announcement {
            Announcement::Cold(cold) => message.cold.push(cold.clone()),
            Announcement::Upstream(_) | Announcement::Crash(_) => {
                message.announcements.push(announcement.clone());
            }
        }
    }
    message.serialize(serializer)
}

/// Deserializes announcements from the last part of a message.
pub fn deserialize<'de, D: Deserializer<'de>>(
    deserializer: D,
) -> Result<Vec<Announcement>, D::Error> {
    let message = Message::deserialize(deserializer)?;
    let cold = message.cold.into_iter().map(Announcement::Cold);
    Ok(message.announcements.into_iter().chain(cold).collect())
}
