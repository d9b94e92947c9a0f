//! Short soak tests with fixed seeds: one that failed in the past, one more, and one with more instances.

use std::sync::Mutex;

use gooseberrylb_testbed::soak::{self, Options, Program};

/// Seeds to run. `docs/SOAK.md` names the cause for each that failed in the past.
const SEEDS: [u64; 2] = [105, 1];

/// Seed of the deployment with more instances.
const LARGE_SEED: u64 = 53_401;

/// Seed of the deployment whose keepers are lost for good.
const LOST_KEEPER_SEED: u64 = 58_001;

/// Held by the test that runs, as two deployments at once disturb each other.
static RUNNING: Mutex<()> = Mutex::new(());

/// Runs a seed and asserts that no guarantee was violated.
fn assert_guarantees(options: &Options) {
    let seed = options.seed;
    let violations = soak::run_seed(options, seed).unwrap();
    assert!(violations.is_empty(), "seed {seed}: {violations:#?}");
}

/// Returns the options of a seed.
fn options(seed: u64) -> Options {
    Options {
        seed,
        seed_count: 1,
        fault_seconds: 15,
        keepers: 3,
        entries: 3,
        callers: 12,
        change_limit_ms: 2_500,
        drain_limit_ms: 4_000,
        full_disks: false,
        lost_keepers: false,
        log_folder: std::env::temp_dir().join("gooseberrylb-soak"),
        program: Program {
            path: env!("CARGO_BIN_EXE_gooseberrylb_testbed").into(),
            knows_bounds: true,
        },
    }
}

#[test]
fn guarantees_hold_under_random_faults() {
    let _running = RUNNING.lock().unwrap_or_else(|e| e.into_inner());
    for seed in SEEDS {
        assert_guarantees(&options(seed));
    }
}

#[test]
fn confirmed_declarations_are_in_force_in_time_with_five_keepers() {
    let _running = RUNNING.lock().unwrap_or_else(|e| e.into_inner());
    assert_guarantees(&Options {
        fault_seconds: 3,
        keepers: 5,
        entries: 6,
        change_limit_ms: 2_000,
        drain_limit_ms: 3_000,
        full_disks: true,
        ..options(LARGE_SEED)
    });
}

#[test]
fn confirmed_declarations_survive_keepers_that_are_lost_for_good_in_turn() {
    let _running = RUNNING.lock().unwrap_or_else(|e| e.into_inner());
    assert_guarantees(&Options {
        fault_seconds: 0,
        keepers: 5,
        change_limit_ms: 2_000,
        drain_limit_ms: 3_000,
        lost_keepers: true,
        ..options(LOST_KEEPER_SEED)
    });
}
