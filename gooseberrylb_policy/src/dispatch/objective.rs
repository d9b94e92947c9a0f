//! Time that a request has left of its route's objective.
//!
//! This distinguishes callers that retry after a refusal from callers at their first attempt whose
//! own time limits are shorter than the route's. If the latter were taken for retries, they would
//! be queued behind lower ranks from the start.

use std::time::Duration;

/// Share of the route's time limit from which on a caller counts as at its first attempt. Callers
/// on a platform set limits of their own, seen from 0.84 of the route's limit on. A caller that
/// was refused and paused as callers do, for a third of its time, has less than 0.7 left.
const FIRST_ATTEMPT_SHARE: f64 = 0.8;

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
