//! The false-alarm rate of the sequential tests, and the leader's collection of reports.

use std::collections::BTreeMap;
use std::time::{Duration, SystemTime};

use gooseberrylb_config::{directory, id, number};
use gooseberrylb_policy::moves::evidence::{Counts, Evidence, Finding, Report};
use gooseberrylb_policy::moves::sequential::{self, Test};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

fn config() -> ProptestConfig {
    ProptestConfig {
        rng_seed: RngSeed::Fixed(6),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn rank_factors_average_to_one(others in 0usize..64) {
        let factors = (0..=others).map(|below| sequential::rank_factors(below, others));
        let sums = factors.fold([0.0; 3], |sum, f| [sum[0] + f[0], sum[1] + f[1], sum[2] + f[2]]);
        for sum in sums {
            prop_assert!((sum / (others + 1) as f64 - 1.0).abs() < 1e-9);
        }
    }

    #[test]
    fn failure_factors_average_to_one(others in 1usize..64, part in 0.0f64..1.0) {
        let failures = ((others + 1) as f64 * part) as usize;
        let chance = failures as f64 / (others + 1) as f64;
        for i in 0..3 {
            let failed_factor = if failures > 0 {
                sequential::failure_factors(true, others, failures - 1)[i]
            } else {
                0.0
            };
            let served_factor = sequential::failure_factors(false, others, failures)[i];
            prop_assert!((chance * failed_factor + (1.0 - chance) * served_factor - 1.0).abs() < 1e-9);
        }
    }
}

#[test]
fn equal_versions_rarely_reach_the_limit() {
    let alpha = 0.05;
    let trials = 400;
    let mut rng = ChaCha8Rng::seed_from_u64(11);
    let reached = (0..trials).filter(|_| {
        let mut test = Test::new();
        (0..500).any(|i| {
            if i % 100 == 0 {
                test.add_start();
            }
            test.update(sequential::rank_factors(rng.random_range(0..=15), 15));
            test.evidence() >= 1.0 / alpha
        })
    });
    let rate = reached.count() as f64 / f64::from(trials);
    assert!(rate <= alpha, "{rate}");
}

fn cell() -> directory::Cell {
    directory::Cell {
        service: id::Service::new("agronomo").unwrap(),
        region: id::Region::new("padana").unwrap(),
    }
}

fn version() -> id::Version {
    id::Version::new("agronomo@2").unwrap()
}

fn report(view: u64, incarnation: u64, number: u64, requests: u64) -> Report {
    let counts = Counts {
        requests,
        failed: 0,
    };
    let finding = Finding {
        step: 1,
        in_step: counts,
        total: counts,
        rate: 1.0,
        doubt: 0.5,
        leading: "".into(),
        trip: None,
        comparisons: Vec::new(),
    };
    Report {
        cell: cell(),
        view: number::View(view),
        incarnation,
        number,
        findings: BTreeMap::from([(version(), finding)]),
    }
}

#[test]
fn duplicate_and_earlier_reports_are_ignored() {
    let wall = SystemTime::UNIX_EPOCH;
    let mut evidence = Evidence::new();
    assert!(evidence.merge(wall, report(1, 1, 2, 20)));
    assert!(!evidence.merge(wall, report(1, 1, 2, 20)));
    assert!(!evidence.merge(wall, report(1, 1, 1, 10)));
    assert!(evidence.merge(wall, report(1, 1, 4, 40)));
    assert_eq!(evidence.total(&version()).requests, 40);
}

#[test]
fn reports_of_a_new_scheduler_add_to_those_of_its_predecessor() {
    let wall = SystemTime::UNIX_EPOCH;
    let mut evidence = Evidence::new();
    evidence.merge(wall, report(1, 1, 9, 90));
    evidence.merge(wall, report(2, 7, 1, 5));
    assert!(!evidence.merge(wall, report(1, 1, 10, 100)));
    assert_eq!(evidence.total(&version()).requests, 95);
    evidence.retain(|_| false);
    assert_eq!(evidence.total(&version()), Counts::default());
}

#[test]
fn old_reports_and_those_of_an_earlier_view_are_not_fresh() {
    let wall = SystemTime::UNIX_EPOCH;
    let mut evidence = Evidence::new();
    evidence.merge(wall, report(1, 1, 1, 10));
    let fresh = |view, after| {
        let (view, at) = (number::View(view), wall + Duration::from_secs(after));
        let age = Duration::from_secs(5);
        evidence
            .fresh_finding(&cell(), view, &version(), at, age)
            .is_some()
    };
    assert!(fresh(1, 5));
    assert!(!fresh(1, 6));
    assert!(!fresh(2, 0));
}
