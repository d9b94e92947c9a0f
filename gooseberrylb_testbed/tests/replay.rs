//! Replays recorded traces in virtual time and checks the targets for goodput, waste and tier
//! order.

use std::path::PathBuf;

use gooseberrylb_testbed::replay::trace::Trace;
use gooseberrylb_testbed::replay::{
    Comparison, MAX_WASTE, MAX_WASTE_OF_BASELINE, MIN_TOP_TIER_RETENTION, capacity, compare,
    is_dense_enough, lower_baseline_waste,
};

const LOW_LOAD: f64 = 0.7;
const HIGH_LOAD: f64 = 3.0;

fn load(name: &str) -> Trace {
    let folder = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../traces");
    Trace::load(&folder.join(name)).unwrap()
}

fn assert_targets_met(name: &str) {
    let trace = load(name);
    let capacity = capacity(&trace);
    assert!(is_dense_enough(&trace, capacity, HIGH_LOAD));
    let low = compare(&trace, capacity, LOW_LOAD);
    let high = compare(&trace, capacity, HIGH_LOAD);
    let top = low.policy.top_tier();
    assert!(high.policy.goodput(top) >= MIN_TOP_TIER_RETENTION * low.policy.goodput(top));
    assert!(high.policy.waste() <= MAX_WASTE);
    assert!(high.policy.waste() <= MAX_WASTE_OF_BASELINE * lower_baseline_waste(&high));
    for comparison in [&low, &high] {
        assert_tier_order(&trace, comparison);
    }
}

/// Asserts that no request is shed while one of a lower tier is queued, and that no tier has a
/// goodput lower by more than one percentage point than that of the next lower tier.
fn assert_tier_order(trace: &Trace, comparison: &Comparison) {
    assert_eq!(comparison.policy.inversions, 0);
    let goodput: Vec<f64> = trace
        .tiers()
        .map(|tier| comparison.policy.goodput(tier))
        .collect();
    let worse = |pair: &[f64]| pair[0] + 0.01 < pair[1];
    assert!(
        !goodput.windows(2).any(worse),
        "goodput by tier: {goodput:?}"
    );
}

#[test]
fn orsenigo_dawn_meets_the_targets() {
    assert_targets_met("orsenigo-dawn.json");
}

#[test]
fn benammar_launch_meets_the_targets() {
    assert_targets_met("benammar-launch.json");
}

#[test]
fn replay_is_deterministic() {
    let trace = load("orsenigo-dawn.json");
    let capacity = capacity(&trace);
    let [first, second] = [0, 1].map(|_| compare(&trace, capacity, LOW_LOAD).policy.outcomes);
    assert_eq!(first, second);
}
