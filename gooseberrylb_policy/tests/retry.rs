//! Repeats stay within the share and the slack that the fleet is allowed, however many entries there are.

use std::time::{Duration, Instant};

use gooseberrylb_policy::retry::Budget;

const SHARE: f64 = 0.1;
const SLACK: f64 = 52.0;
const WINDOW: f64 = 10.0;

/// Has every request fail at `entries` entries for three windows, and gives the most repeats and the
/// requests of any one window.
fn play(entries: usize, a_second: usize) -> (usize, usize) {
    let start = Instant::now();
    let slack = SLACK / entries as f64;
    let budgets = (0..entries).map(|_| Budget::new(SHARE, slack, WINDOW, start));
    let mut budgets: Vec<_> = budgets.collect();
    let window = 10 * a_second;
    let mut repeats = Vec::new();
    for request in 0..3 * window {
        let seconds = request as f64 / a_second as f64;
        let now = start + Duration::from_secs_f64(seconds);
        let budget = &mut budgets[request % entries];
        budget.deposit(now);
        if budget.allows(now) {
            budget.withdraw(now);
            repeats.push(request);
        }
    }
    let within = |end: &usize| {
        let from = end.saturating_sub(window);
        repeats
            .iter()
            .filter(|at| **at > from && *at <= end)
            .count()
    };
    (repeats.iter().map(within).max().unwrap_or_default(), window)
}

#[test]
fn all_entries_together_stay_within_the_share_and_the_slack() {
    for entries in [1, 6, 18, 66] {
        let (repeats, requests) = play(entries, 200);
        let allowed = 2.0 * SHARE * requests as f64 + SLACK;
        assert!(
            repeats as f64 <= allowed,
            "{entries}: {repeats} of {allowed}"
        );
    }
}

#[test]
fn a_smaller_part_holds_at_once() {
    let now = Instant::now();
    let mut budget = Budget::new(0.0, 40.0, WINDOW, now);
    budget.set_slack(4.0, WINDOW, now);
    let mut repeats = 0;
    while budget.allows(now) {
        budget.withdraw(now);
        repeats += 1;
    }
    assert!(repeats <= 2, "{repeats}");
}
