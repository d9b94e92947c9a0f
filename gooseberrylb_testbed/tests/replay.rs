//! Recorded traces replayed in virtual time, against the targets stated for them.

use std::path::PathBuf;

use gooseberrylb_testbed::replay::trace::Trace;
use gooseberrylb_testbed::replay::{
    Comparison, TOP_TIER_KEPT, WASTE, WASTE_OF_BASELINE, better_waste, capacity, compare,
    is_dense_enough,
};

const LOW: f64 = 0.7;
const HIGH: f64 = 3.0;

fn load(name: &str) -> Trace {
    let folder = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../traces");
    Trace::load(&folder.join(name)).unwrap()
}

fn meets_targets(name: &str) {
    let trace = load(name);
    let capacity = capacity(&trace);
    assert!(is_dense_enough(&trace, capacity, HIGH));
    let low = compare(&trace, capacity, LOW);
    let high = compare(&trace, capacity, HIGH);
    let top = low.policy.top_tier();
    assert!(high.policy.goodput(top) >= TOP_TIER_KEPT * low.policy.goodput(top));
    assert!(high.policy.waste() <= WASTE);
    assert!(high.policy.waste() <= WASTE_OF_BASELINE * better_waste(&high));
    for comparison in [&low, &high] {
        keeps_tier_order(&trace, comparison);
    }
}

/// No request is shed before a less important one, and no tier fares worse than a lower one.
fn keeps_tier_order(trace: &Trace, comparison: &Comparison) {
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
    meets_targets("orsenigo-dawn.json");
}

#[test]
fn benammar_launch_meets_the_targets() {
    meets_targets("benammar-launch.json");
}

#[test]
fn replay_is_the_same_each_time() {
    let trace = load("orsenigo-dawn.json");
    let capacity = capacity(&trace);
    let [first, second] = [0, 1].map(|_| compare(&trace, capacity, LOW).policy.fates);
    assert_eq!(first, second);
}
