//! How much of a route's objective a request still has.
//!
//! Load that it answers: callers that come back after a refusal, beside callers at their first attempt
//! whose own limits are shorter than the route's. Taken for callers that come back, these would stand
//! behind ranks below their own from the start.

use std::time::Duration;

/// The part of the route's time limit from which on a caller counts as at its first attempt. Callers
/// on a platform have limits of their own, seen from 0.84 of the route's on; whoever was refused and
/// waited as long as callers do, a third of its time, has less than 0.7 left.
const FIRST_ATTEMPT: f64 = 0.8;

/// The time in which an answer, or its first event, is still on time. `limit` and `objective` are the
/// route's, `patience` is what the caller says that it waits, and `waited` what it has waited here.
pub fn remaining(
    limit: Duration,
    objective: Duration,
    patience: Option<Duration>,
    waited: Duration,
) -> Duration {
    let patience = patience.unwrap_or(limit).min(limit);
    let spent_before = match patience < limit.mul_f64(FIRST_ATTEMPT) {
        true => limit - patience,
        false => Duration::ZERO,
    };
    objective.saturating_sub(waited + spent_before)
}
