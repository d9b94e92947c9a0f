//! What holds after any history of commands.

use gooseberrylb_control::state::{Reply, State};
use gooseberrylb_policy::moves::Phase;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};

use crate::fed::{BASE, Fed, MOVE};

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
        let mut fed = Fed::default();
        let (mut incarnation, mut number, mut from) = (1, 0, 0);
        let mut lost = Vec::new();
        let mut pending: Option<(u64, u64, (u64, u64))> = None;
        fed.join(incarnation, 0);
        for (second, fate) in (1..).zip(seconds) {
            number += 1;
            let window = (from, second);
            match fate {
                // The process dies with what it counted, and another one starts.
                0 => {
                    lost.push(window);
                    incarnation += 1;
                    number = 0;
                    fed.join(incarnation, second);
                }
                // The tally is lost for good.
                1 => lost.push(window),
                // The tally comes twice, the second time late.
                2 | 3 => {
                    fed.tally(incarnation, number, window, false);
                    pending = Some((incarnation, number, window));
                }
                _ => {
                    fed.tally(incarnation, number, window, false);
                    if let Some((earlier, number, window)) = pending.take() {
                        fed.tally(earlier, number, window, false);
                    }
                }
            }
            from = second;
        }
        fed.leave(incarnation, false, from);
        let total = from - lost.len() as u64;
        prop_assert_eq!(fed.served(), total);
        let gaps = fed.gaps();
        for (from, to) in &lost {
            let covers = |gap: &&(u64, Option<u64>)| {
                gap.0 <= *from && gap.1.is_none_or(|end| end >= *to)
            };
            prop_assert!(gaps.iter().any(|gap| covers(&gap)), "{from} to {to}: {gaps:?}");
        }
    }

    #[test]
    fn the_revision_never_falls_and_a_decoded_state_goes_on_alike(
        kinds in prop::collection::vec((0..9u8, 1..5u32), 1..60)
    ) {
        let mut fed = Fed::default();
        for (kind, n) in kinds {
            let before = fed.clone();
            let mut other = Fed {
                state: State::decode(&fed.state.encode()).unwrap(),
                index: fed.index,
            };
            let command = |fed: &mut Fed| match kind {
                0 => fed.submit(BASE),
                1 => fed.submit(MOVE),
                2 => fed.step(n, Phase::Ramping, n as u16 * 1_000),
                3 => fed.step(n, Phase::Reverted, 0),
                4 => fed.join(u64::from(n), fed.index.0),
                5 => fed.leave(u64::from(n), n == 1, fed.index.0),
                6 => fed.view(u64::from(n)),
                7 => fed.tally(u64::from(n), u64::from(n), (1, 2), false),
                _ => fed.submit(r#"{ "note": 3, "author": "r", "withdrawn": { "versions": ["v2"] } }"#),
            };
            let reply = command(&mut fed);
            prop_assert_eq!(&reply, &command(&mut other));
            prop_assert_eq!(&fed.state, &other.state);
            let (old, new) = (before.state.directory(), fed.state.directory());
            let mut unnumbered = new.clone();
            unnumbered.revision = old.revision;
            let raised = new.revision.0 - old.revision.0;
            prop_assert!(raised <= 1);
            prop_assert_eq!(raised == 0, unnumbered == *old);
            if reply == Reply::Stale {
                prop_assert_eq!(raised, 0);
            }
        }
    }
}
