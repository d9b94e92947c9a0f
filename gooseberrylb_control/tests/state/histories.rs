//! Properties that hold after any history of commands.

use gooseberrylb_control::state::{Reply, State};
use gooseberrylb_policy::moves::Phase;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};

use crate::harness::{BASE, Harness, MOVE};

proptest! {
    #![proptest_config(Config {
        rng_seed: RngSeed::Fixed(11),
        failure_persistence: None,
        ..Config::default()
    })]

    #[test]
    fn every_request_is_in_the_report_or_in_a_gap(
        seconds in prop::collection::vec(0..10u8, 1..120)
    ) {
        let mut harness = Harness::default();
        let (mut incarnation, mut number, mut from) = (1, 0, 0);
        let mut lost = Vec::new();
        let mut pending: Option<(u64, u64, (u64, u64))> = None;
        harness.join(incarnation, 0);
        for (second, event) in (1..).zip(seconds) {
            number += 1;
            let window = (from, second);
            match event {
                // The process dies before reporting its counts, and another one starts.
                0 => {
                    lost.push(window);
                    incarnation += 1;
                    number = 0;
                    harness.join(incarnation, second);
                }
                // The tally is lost.
                1 => lost.push(window),
                // The tally arrives twice, the second time delayed.
                2 | 3 => {
                    harness.tally(incarnation, number, window, false);
                    pending = Some((incarnation, number, window));
                }
                _ => {
                    harness.tally(incarnation, number, window, false);
                    if let Some((earlier, number, window)) = pending.take() {
                        harness.tally(earlier, number, window, false);
                    }
                }
            }
            from = second;
        }
        harness.leave(incarnation, false, from);
        let total = from - lost.len() as u64;
        prop_assert_eq!(harness.served(), total);
        let gaps = harness.gaps();
        for (from, to) in &lost {
            let covers = |gap: &&(u64, Option<u64>)| {
                gap.0 <= *from && gap.1.is_none_or(|end| end >= *to)
            };
            prop_assert!(gaps.iter().any(|gap| covers(&gap)), "{from} to {to}: {gaps:?}");
        }
    }

    #[test]
    fn revision_never_decreases_and_a_decoded_state_behaves_the_same(
        kinds in prop::collection::vec((0..9u8, 1..5u32), 1..60)
    ) {
        let mut harness = Harness::default();
        for (kind, n) in kinds {
            let before = harness.clone();
            let mut decoded = Harness {
                state: State::decode(&harness.state.encode()).unwrap(),
                index: harness.index,
            };
            let command = |harness: &mut Harness| match kind {
                0 => harness.submit(BASE),
                1 => harness.submit(MOVE),
                2 => harness.step(n, Phase::Ramping, n as u16 * 1_000),
                3 => harness.step(n, Phase::Reverted, 0),
                4 => harness.join(u64::from(n), harness.index.0),
                5 => harness.leave(u64::from(n), n == 1, harness.index.0),
                6 => harness.view(u64::from(n)),
                7 => harness.tally(u64::from(n), u64::from(n), (1, 2), false),
                _ => harness.submit(r#"{ "note": 3, "author": "r", "withdrawn": { "versions": ["v2"] } }"#),
            };
            let reply = command(&mut harness);
            prop_assert_eq!(&reply, &command(&mut decoded));
            prop_assert_eq!(&harness.state, &decoded.state);
            let (old, new) = (before.state.directory(), harness.state.directory());
            let mut with_old_revision = new.clone();
            with_old_revision.revision = old.revision;
            let increment = new.revision.0 - old.revision.0;
            prop_assert!(increment <= 1);
            prop_assert_eq!(increment == 0, with_old_revision == *old);
            if reply == Reply::Stale {
                prop_assert_eq!(increment, 0);
            }
        }
    }
}
