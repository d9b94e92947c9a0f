//! Stored states of other releases.

use gooseberrylb_config::number;
use gooseberrylb_control::state::{Command, State};
use gooseberrylb_policy::moves::Phase;

use crate::fed::{Fed, at, with_move};

#[test]
fn a_state_of_a_later_release_is_refused() {
    let text = String::from_utf8(State::new().encode()).unwrap();
    let later = text.replace("\"format\":1", "\"format\":2");
    assert!(State::decode(later.as_bytes()).is_err());
    assert!(State::decode(b"{").is_err());
}

/// A state that holds something of each kind.
fn full() -> Fed {
    let mut fed = with_move();
    fed.join(1, 0);
    fed.view(1);
    fed.tally(1, 1, (0, 10), false);
    fed.tally(1, 3, (20, 30), false);
    fed.step(1, Phase::Canary, 100);
    let leader = "i1".parse().unwrap();
    let term = number::Term(2);
    fed.apply(Command::Lead {
        leader,
        term,
        at: at(40),
    });
    fed
}

#[test]
fn a_state_that_an_earlier_release_wrote_is_read() {
    let stored = include_bytes!("../data/state-format-1.json");
    let state = State::decode(stored).unwrap();
    assert_eq!(state, full().state);
}
