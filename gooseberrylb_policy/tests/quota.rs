//! Quotas: what an account may use in any window, and no more, whoever counts.

use std::time::{Duration, Instant};

use gooseberrylb_policy::quota::Window;

const LENGTH: Duration = Duration::from_secs(8);
const RATE: f64 = 1_000.0;
const BURST: f64 = 2_000.0;

/// The window of an account that is known not to have used anything for its length.
fn unused(now: Instant) -> Window {
    Window::new(RATE, BURST, LENGTH, now - LENGTH, now)
}

#[test]
fn use_within_the_window_may_come_all_at_once() {
    let now = Instant::now() + LENGTH * 10;
    let mut window = unused(now);
    let most = RATE * LENGTH.as_secs_f64() + BURST;
    for _ in 0..10 {
        assert_eq!(window.lacks(most / 10.0, now), None);
        window.take(most / 10.0, now);
    }
    assert!(window.lacks(1.0, now).is_some());
}

#[test]
fn no_window_holds_more_than_the_quota() {
    let start = Instant::now() + LENGTH * 10;
    let mut window = unused(start);
    let most = RATE * LENGTH.as_secs_f64() + BURST;
    let step = Duration::from_millis(7);
    let mut taken = Vec::new();
    for i in 0..6_000 {
        let now = start + step * i;
        if window.lacks(90.0, now).is_none() {
            window.take(90.0, now);
            taken.push((now, 90.0));
        }
    }
    for (end, _) in &taken {
        let within = taken
            .iter()
            .filter(|(at, _)| at <= end && *at + LENGTH > *end);
        let used: f64 = within.map(|(_, units)| units).sum();
        assert!(used <= most, "{used} of {most}");
    }
}

#[test]
fn whoever_counts_anew_lets_no_more_be_used_than_the_rate_and_the_burst() {
    let start = Instant::now() + LENGTH * 10;
    let mut window = Window::new(RATE, BURST, LENGTH, start, start);
    let mut used = 0.0;
    let seconds = 4;
    for i in 0..seconds * 100 {
        let now = start + Duration::from_millis(10) * i;
        if window.lacks(50.0, now).is_none() {
            window.take(50.0, now);
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
fn a_refused_request_is_told_when_there_is_room() {
    let now = Instant::now() + LENGTH * 10;
    let mut window = unused(now);
    window.take(RATE * LENGTH.as_secs_f64() + BURST, now);
    let pause = window.lacks(500.0, now).unwrap();
    assert_eq!(window.lacks(500.0, now + pause), None);
}

#[test]
fn what_did_not_run_is_given_back() {
    let now = Instant::now() + LENGTH * 10;
    let mut window = unused(now);
    window.take(RATE * LENGTH.as_secs_f64() + BURST, now);
    window.give_back(700.0);
    assert_eq!(window.lacks(700.0, now), None);
    assert!(window.lacks(701.0, now).is_some());
}

#[test]
fn a_lower_limit_holds_at_once() {
    let now = Instant::now() + LENGTH * 10;
    let mut window = unused(now);
    window.take(5_000.0, now);
    window.change(RATE / 10.0, BURST / 10.0);
    assert!(window.lacks(1.0, now).is_some());
}
