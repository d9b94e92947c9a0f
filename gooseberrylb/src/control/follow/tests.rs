use std::time::Duration;

use gooseberrylb_config::clock::Clock;
use gooseberrylb_wire::message::Report;

use super::own_report;
use crate::control::fixture::{Voter, name};

#[test]
fn leader_whose_lease_lapses_for_a_moment_does_not_forget_who_has_reported() {
    let voter = Voter::new(&["a", "b", "c"]);
    voter.lead();
    let report = Report {
        name: name("e"),
        ..own_report(&voter.core)
    };
    let now = voter.clock.now();
    voter.core.followers.borrow_mut().record(report, now);
    voter.wait(Duration::from_millis(450));
    assert!(!voter.core.is_leading() && voter.core.leader_since.get().is_some());
    own_report(&voter.core);
    assert!(voter.core.followers.borrow().get(&name("e")).is_some());
}
