//! Retries stay within the share and the slack of the fleet, however many entries there are.

use std::time::{Duration, Instant};

use gooseberrylb_policy::retry::Budget;

const SHARE: f64 = 0.1;
const SLACK: f64 = 52.0;
const WINDOW: f64 = 10.0;

/// Simulates three windows in which every request fails at `entries` entries. Returns the most
/// retries in any one window, and the number of requests in a window.
fn simulate(entries: usize, per_second: usize) -> (usize, usize) {
    let start = Instant::now();
    let slack = SLACK / entries as f64;
    let budgets = (0..entries).map(|_| Budget::new(SHARE, slack, WINDOW, start));
    let mut budgets: Vec<_> = budgets.collect();
    let window = 10 * per_second;
    let mut retries = Vec::new();
    for request in 0..3 * window {
        let seconds = request as f64 / per_second as f64;
        let now = start + Duration::from_secs_f64(seconds);
        let budget = &mut budgets[request % entries];
        budget.deposit(now);
        if budget.allows(now) {
            budget.withdraw(now);
            retries.push(request);
        }
    }
    let within = |end: &usize| {
        let from = end.saturating_sub(window);
        retries
            .iter()
            .filter(|at| **at > from && *at <= end)
            .count()
    };
    (retries.iter().map(within).max().unwrap_or_default(), window)
}

#[test]
fn all_entries_together_stay_within_the_share_and_the_slack() {
    for entries in [1, 6, 18, 66] {
        let (retries, requests) = simulate(entries, 200);
        let allowed = 2.0 * SHARE * requests as f64 + SLACK;
        assert!(
            retries as f64 <= allowed,
            "{entries}: {retries} of {allowed}"
        );
    }
}

#[test]
fn smaller_slack_holds_at_once() {
    let now = Instant::now();
    let mut budget = Budget::new(0.0, 40.0, WINDOW, now);
    budget.set_slack(4.0, WINDOW, now);
    let mut retries = 0;
    while budget.allows(now) {
        budget.withdraw(now);
        retries += 1;
    }
    assert!(retries <= 2, "{retries}");
}
