//! Short soak test with fixed seeds: one that failed in the past, and one more.

use gooseberrylb_testbed::soak::{self, Options};

/// Seeds to run. `docs/SOAK.md` names the cause for each that failed in the past.
const SEEDS: [u64; 2] = [105, 1];

#[test]
fn guarantees_hold_under_random_faults() {
    for seed in SEEDS {
        let options = Options {
            seed,
            seed_count: 1,
            fault_seconds: 15,
            keepers: 3,
            entries: 3,
            callers: 12,
            change_limit_ms: 2_500,
            drain_limit_ms: 4_000,
            full_disks: false,
            log_folder: std::env::temp_dir().join("gooseberrylb-soak"),
            program: env!("CARGO_BIN_EXE_gooseberrylb_testbed").into(),
        };
        let violations = soak::run_seed(&options, seed).unwrap();
        assert!(violations.is_empty(), "seed {seed}: {violations:#?}");
    }
}
