//! Duration of the leases by which instances act on the configuration, from what the settings promise.
//!
//! An instance that gets no answer from the leader acts on what it knows until its lease ends. A change
//! that the leader accepts meanwhile is not in force there, so a lease must not outlast the time in
//! which changes are promised to be in force. See `docs/PLATFORM.md`.

use std::time::Duration;

use gooseberrylb_config::settings::Deployment;

/// Longest duration of a lease.
pub const MAX_DURATION: Duration = Duration::from_secs(3);

/// Shortest duration of a lease: reports are held for half a second, and an election takes about as
/// long again.
const MIN_DURATION: Duration = Duration::from_secs(1);

/// Part of the time for a change that is left for the request that is handled last.
const MARGIN: Duration = Duration::from_millis(100);

/// Time from a change of the platform's list until the leader has accepted it: an interval between two
/// reads, a read, and a proposal.
const LISTING_TIME: Duration = Duration::from_millis(1100);

/// Returns the time for which an instance may act on its configuration after the leader confirmed it.
pub fn duration(deployment: Option<&Deployment>) -> Duration {
    let Some(deployment) = deployment else {
        return MAX_DURATION;
    };
    let limits = [
        (deployment.change_limit_ms, MARGIN),
        (deployment.drain_limit_ms, LISTING_TIME),
    ];
    let left = limits.into_iter().filter_map(|(limit, reserved)| {
        let limit = Duration::from_millis(limit?);
        Some(limit.saturating_sub(reserved))
    });
    let promised = left.min().unwrap_or(MAX_DURATION);
    promised.clamp(MIN_DURATION, MAX_DURATION)
}

#[cfg(test)]
mod tests;
