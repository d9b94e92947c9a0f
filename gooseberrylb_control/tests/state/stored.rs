//! Stored states of earlier and later releases.

use gooseberrylb_config::number;
use gooseberrylb_control::state::{Command, State};
use gooseberrylb_policy::moves::Phase;

use crate::harness::{Harness, at, with_move};

#[test]
fn state_of_a_later_release_is_refused() {
    let text = String::from_utf8(State::new().encode()).unwrap();
    let later = text.replace("\"format\":1", "\"format\":2");
    assert!(State::decode(later.as_bytes()).is_err());
    assert!(State::decode(b"{").is_err());
}

/// Returns a state with an example of each kind of content.
fn populated() -> Harness {
    let mut harness = with_move();
    harness.join(1, 0);
    harness.view(1);
    harness.tally(1, 1, (0, 10), false);
    harness.tally(1, 3, (20, 30), false);
    harness.step(1, Phase::Canary, 100);
    let leader = "i1".parse().unwrap();
    let term = number::Term(2);
    harness.apply(Command::Lead {
        leader,
        term,
        at: at(40),
    });
    harness
}

#[test]
fn state_of_an_earlier_release_is_decoded() {
    let stored = include_bytes!("../data/state-format-1.json");
    let state = State::decode(stored).unwrap();
    assert_eq!(state, populated().state);
}
