//! Time that a request has left of its route's objective, and for which it may wait.
//!
//! This distinguishes callers that retry after a refusal from callers at their first attempt whose
//! own time limits are shorter than the route's. If the latter were taken for retries, they would
//! be queued behind lower ranks from the start.

use std::time::Duration;

use gooseberrylb_config::declaration::Route;

/// Share of the route's time limit from which on a caller counts as at its first attempt. Callers
/// on a platform set limits of their own, seen from 0.84 of the route's limit on. A caller that
/// was refused and paused as callers do, for a third of its time, has less than 0.7 left.
const FIRST_ATTEMPT_SHARE: f64 = 0.8;

/// Longest time for which a request waits for an upstream, as a fraction of the time after which
/// its caller is expected to give up.
const HOLD_FRACTION: f64 = 0.6;

/// Minimum time after which a caller is expected to give up a stream that has not begun.
const MIN_STREAM_PATIENCE: Duration = Duration::from_secs(2);

/// Time for which a caller waits for a stream to begin, as a multiple of the route's objective.
const PATIENCE_OBJECTIVES: u32 = 4;

/// Time for which a caller waits for a stream to begin, as a multiple of the longest gap that the
/// route allows between two events.
const PATIENCE_GAPS: u32 = 8;

/// Returns the time left in which a response, or its first event, is on time. `limit` and
/// `objective` are the route's, `patience` is how long the caller says it waits, and `waited` is
/// how long the request has waited here.
pub fn remaining(
    limit: Duration,
    objective: Duration,
    patience: Option<Duration>,
    waited: Duration,
) -> Duration {
    let patience = patience.unwrap_or(limit).min(limit);
    let waited_before = match patience < limit.mul_f64(FIRST_ATTEMPT_SHARE) {
        true => limit - patience,
        false => Duration::ZERO,
    };
    objective.saturating_sub(waited + waited_before)
}

/// Returns the time for which a request that has waited for a while may still wait for an upstream.
pub fn hold(route: &Route, waited: Duration) -> Duration {
    let patience = match route.streams {
        true => MIN_STREAM_PATIENCE
            .max(route.objective * PATIENCE_OBJECTIVES)
            .max(route.gap * PATIENCE_GAPS),
        false => route.time_limit,
    };
    patience.mul_f64(HOLD_FRACTION).saturating_sub(waited)
}
