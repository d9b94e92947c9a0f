//! Merging of tallies, and gaps for lost counts.

use gooseberrylb_config::number;
use gooseberrylb_control::state::{Command, Counts, Label, Reply, State, Tally};
use gooseberrylb_policy::request::Outcome;

use crate::harness::{Harness, MINUTE, at};

#[test]
fn tally_is_merged_once_and_unreported_counts_of_a_dead_process_are_a_gap() {
    let mut harness = Harness::default();
    harness.join(1, 0);
    assert_eq!(harness.tally(1, 1, (0, 10), false), Reply::Applied);
    assert_eq!(harness.tally(1, 1, (0, 10), false), Reply::Stale);
    assert_eq!((harness.served(), harness.gaps()), (1, vec![]));
    harness.leave(1, false, 40);
    assert_eq!(harness.gaps(), [(10, None)]);
    harness.join(2, 70);
    assert_eq!(harness.gaps(), [(10, Some(70))]);
    assert_eq!(harness.tally(1, 2, (10, 20), false), Reply::Stale);
    assert_eq!(harness.tally(2, 1, (70, 80), false), Reply::Applied);
    assert_eq!(harness.tally(2, 3, (90, 100), true), Reply::Applied);
    assert_eq!(harness.gaps(), [(10, Some(70)), (80, Some(90))]);
    harness.leave(2, false, 110);
    harness.join(3, 200);
    assert_eq!((harness.served(), harness.gaps().len()), (3, 2));
}

#[test]
fn process_that_was_wrongly_declared_dead_leaves_no_gap() {
    let mut harness = Harness::default();
    harness.join(1, 0);
    harness.tally(1, 1, (0, 10), false);
    harness.leave(1, false, 40);
    harness.join(1, 50);
    assert_eq!(harness.gaps(), [(10, None)]);
    harness.tally(1, 2, (10, 60), false);
    assert_eq!((harness.served(), harness.gaps()), (2, vec![]));
}

#[test]
fn folding_minutes_into_hours_loses_no_counts() {
    let mut harness = Harness::default();
    harness.join(1, 0);
    let minutes = 1_500;
    for n in 0..minutes {
        harness.tally(1, n + 1, (n * MINUTE, (n + 1) * MINUTE), false);
    }
    assert_eq!(harness.served(), minutes);
    let decoded = State::decode(&harness.state.encode()).unwrap();
    assert_eq!(decoded, harness.state);
}

#[test]
fn tally_rows_survive_encoding() {
    let labels = [
        ("a", 1, None, Outcome::NotRun, true),
        ("a", 2, Some("v1"), Outcome::Served, false),
        ("b", 2, Some("v2"), Outcome::Unknown, false),
        ("b", 4, Some("v1"), Outcome::NotRun, false),
    ];
    let rows = labels
        .iter()
        .map(|(account, tier, version, outcome, refused)| {
            let label = Label {
                account: account.parse().unwrap(),
                tier: number::Tier(*tier),
                service: "s".parse().unwrap(),
                version: version.map(|version| version.parse().unwrap()),
                outcome: *outcome,
                refused: *refused,
            };
            let counts = Counts {
                requests: 1,
                prompt_tokens: 2,
                output_tokens: 3,
                wasted_tokens: 4,
            };
            (label, counts)
        });
    let command = Command::Tally(Tally {
        instance: "i1".parse().unwrap(),
        incarnation: 1,
        number: 1,
        from: at(0),
        to: at(1),
        last: false,
        rows: rows.collect(),
    });
    let bytes = command.encode();
    assert_eq!(Command::decode(&bytes).unwrap(), command);
    let text = String::from_utf8(bytes).unwrap();
    let dangling = text.replace("[\"a\",\"b\"]", "[\"a\"]");
    assert!(Command::decode(dangling.as_bytes()).is_err());
}
