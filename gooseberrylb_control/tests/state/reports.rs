//! Counts are merged once, and what is lost is a gap.

use gooseberrylb_config::number;
use gooseberrylb_control::state::{Command, Counts, Label, Reply, State, Tally};
use gooseberrylb_policy::request::Outcome;

use crate::fed::{Fed, MINUTE, at};

#[test]
fn a_tally_is_merged_once_and_what_died_with_a_process_is_a_gap() {
    let mut fed = Fed::default();
    fed.join(1, 0);
    assert_eq!(fed.tally(1, 1, (0, 10), false), Reply::Applied);
    assert_eq!(fed.tally(1, 1, (0, 10), false), Reply::Stale);
    assert_eq!((fed.served(), fed.gaps()), (1, vec![]));
    fed.leave(1, false, 40);
    assert_eq!(fed.gaps(), [(10, None)]);
    fed.join(2, 70);
    assert_eq!(fed.gaps(), [(10, Some(70))]);
    assert_eq!(fed.tally(1, 2, (10, 20), false), Reply::Stale);
    assert_eq!(fed.tally(2, 1, (70, 80), false), Reply::Applied);
    assert_eq!(fed.tally(2, 3, (90, 100), true), Reply::Applied);
    assert_eq!(fed.gaps(), [(10, Some(70)), (80, Some(90))]);
    fed.leave(2, false, 110);
    fed.join(3, 200);
    assert_eq!((fed.served(), fed.gaps().len()), (3, 2));
}

#[test]
fn a_process_that_was_thought_dead_and_goes_on_leaves_no_gap() {
    let mut fed = Fed::default();
    fed.join(1, 0);
    fed.tally(1, 1, (0, 10), false);
    fed.leave(1, false, 40);
    fed.join(1, 50);
    assert_eq!(fed.gaps(), [(10, None)]);
    fed.tally(1, 2, (10, 60), false);
    assert_eq!((fed.served(), fed.gaps()), (2, vec![]));
}

#[test]
fn old_minutes_become_hours_and_no_count_is_lost_by_it() {
    let mut fed = Fed::default();
    fed.join(1, 0);
    let minutes = 1_500;
    for n in 0..minutes {
        fed.tally(1, n + 1, (n * MINUTE, (n + 1) * MINUTE), false);
    }
    assert_eq!(fed.served(), minutes);
    let decoded = State::decode(&fed.state.encode()).unwrap();
    assert_eq!(decoded, fed.state);
}

#[test]
fn the_rows_of_a_tally_survive_the_log() {
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
    let astray = text.replace("[\"a\",\"b\"]", "[\"a\"]");
    assert!(Command::decode(astray.as_bytes()).is_err());
}
