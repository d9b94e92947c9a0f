//! Requests that arrive during a planned stop.

use std::time::{Duration, Instant};

use gooseberrylb_policy::drain::Drain;

const MS: Duration = Duration::from_millis(1);
const GRACE: Duration = Duration::from_secs(8);

#[test]
fn callers_with_an_address_that_was_valid_at_the_stop_are_served() {
    let began = Instant::now();
    let drain = Drain::new(began, GRACE);
    for after in [0, 1_000, 2_800] {
        assert!(drain.admits(began + after * MS, 60_000 * MS), "{after}");
    }
}

/// Found on days with `roll_term`: a stream taken 6.5 s after the signal was cut when the process
/// exited.
#[test]
fn later_request_is_taken_only_if_it_ends_before_the_exit() {
    let began = Instant::now();
    let drain = Drain::new(began, GRACE);
    for after in [3_000, 4_000, 6_500] {
        let now = began + after * MS;
        let left = GRACE - 700 * MS - after * MS;
        assert!(drain.admits(now, left), "{after}");
        assert!(!drain.admits(now, left + MS), "{after}");
    }
}

#[test]
fn stop_is_over_before_the_grace_period_ends() {
    let began = Instant::now();
    let drain = Drain::new(began, GRACE);
    assert!(!drain.is_over(began + 7_299 * MS));
    assert!(drain.is_over(began + 7_300 * MS));
    assert!(drain.is_over(began + GRACE));
}

#[test]
fn grace_period_shorter_than_the_reserve_is_over_at_once() {
    let began = Instant::now();
    let drain = Drain::new(began, 500 * MS);
    assert!(drain.is_over(began));
}
