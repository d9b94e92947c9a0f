//! Limits of an account's use in any window, also across changes of the counting instance.

use std::time::{Duration, Instant};

use gooseberrylb_policy::quota::Window;

const LENGTH: Duration = Duration::from_secs(8);
const RATE: f64 = 1_000.0;
const BURST: f64 = 2_000.0;

/// Returns the window of an account that is known to have used nothing for its length.
fn unused(now: Instant) -> Window {
    Window::new(RATE, BURST, LENGTH, now - LENGTH, now)
}

#[test]
fn whole_quota_may_be_used_at_once() {
    let now = Instant::now() + LENGTH * 10;
    let mut window = unused(now);
    let limit = RATE * LENGTH.as_secs_f64() + BURST;
    for _ in 0..10 {
        assert_eq!(window.wait_time(limit / 10.0, now), None);
        window.charge(limit / 10.0, now);
    }
    assert!(window.wait_time(1.0, now).is_some());
}

#[test]
fn no_window_holds_more_than_the_quota() {
    let start = Instant::now() + LENGTH * 10;
    let mut window = unused(start);
    let limit = RATE * LENGTH.as_secs_f64() + BURST;
    let step = Duration::from_millis(7);
    let mut charged = Vec::new();
    for i in 0..6_000 {
        let now = start + step * i;
        if window.wait_time(90.0, now).is_none() {
            window.charge(90.0, now);
            charged.push((now, 90.0));
        }
    }
    for (end, _) in &charged {
        let within = charged
            .iter()
            .filter(|(at, _)| at <= end && *at + LENGTH > *end);
        let used: f64 = within.map(|(_, units)| units).sum();
        assert!(used <= limit, "{used} of {limit}");
    }
}

#[test]
fn new_counter_allows_no_more_than_the_rate_and_the_burst() {
    let start = Instant::now() + LENGTH * 10;
    let mut window = Window::new(RATE, BURST, LENGTH, start, start);
    let mut used = 0.0;
    let seconds = 4;
    for i in 0..seconds * 100 {
        let now = start + Duration::from_millis(10) * i;
        if window.wait_time(50.0, now).is_none() {
            window.charge(50.0, now);
            used += 50.0;
        }
    }
    assert!(used <= RATE * f64::from(seconds) + BURST, "{used}");
    assert!(
        used >= RATE * f64::from(seconds - 1) + BURST * 0.9,
        "{used}"
    );
}

#[test]
fn refused_request_fits_after_the_returned_wait_time() {
    let now = Instant::now() + LENGTH * 10;
    let mut window = unused(now);
    window.charge(RATE * LENGTH.as_secs_f64() + BURST, now);
    let pause = window.wait_time(500.0, now).unwrap();
    assert_eq!(window.wait_time(500.0, now + pause), None);
}

#[test]
fn request_that_did_not_run_is_refunded() {
    let now = Instant::now() + LENGTH * 10;
    let mut window = unused(now);
    window.charge(RATE * LENGTH.as_secs_f64() + BURST, now);
    window.refund(700.0);
    assert_eq!(window.wait_time(700.0, now), None);
    assert!(window.wait_time(701.0, now).is_some());
}

#[test]
fn lower_limit_holds_at_once() {
    let now = Instant::now() + LENGTH * 10;
    let mut window = unused(now);
    window.charge(5_000.0, now);
    window.set_limits(RATE / 10.0, BURST / 10.0);
    assert!(window.wait_time(1.0, now).is_some());
}
