//! Instances, views and memberships in the control state.

use std::collections::BTreeMap;

use gooseberrylb_config::number;
use gooseberrylb_control::entry::{Entry, Payload};
use gooseberrylb_control::membership::{Folder, Membership};
use gooseberrylb_control::state::{Reply, State};

use crate::harness::{BASE, Harness, at, cell};

#[test]
fn view_numbers_continue_after_their_service_was_withdrawn() {
    let mut harness = Harness::default();
    assert_eq!(harness.view(1), Reply::Stale);
    harness.submit(BASE);
    assert_eq!(harness.view(2), Reply::Stale);
    assert_eq!(harness.view(1), Reply::Applied);
    assert_eq!(harness.view(1), Reply::Stale);
    let withdrawal = r#"{ "note": 2, "author": "r", "withdrawn": { "services": ["s"],
        "upstreams": ["u1"], "versions": ["v1"] } }"#;
    assert!(matches!(harness.submit(withdrawal), Reply::Accepted(_)));
    let readded = BASE.replace("\"note\": 1", "\"note\": 3");
    assert!(matches!(harness.submit(&readded), Reply::Accepted(_)));
    assert_eq!(harness.state.next_view(&cell()), number::View(2));
    assert_eq!(harness.view(1), Reply::Stale);
}

#[test]
fn earlier_incarnation_can_neither_join_nor_leave() {
    let mut harness = Harness::default();
    assert_eq!(harness.join(5, 0), Reply::Applied);
    assert_eq!(harness.join(4, 1), Reply::Stale);
    assert_eq!(harness.leave(4, false, 1), Reply::Stale);
    let revision = harness.state.directory().revision;
    assert_eq!(harness.join(5, 2), Reply::Applied);
    assert_eq!(harness.state.directory().revision, revision);
    assert_eq!(harness.leave(5, true, 3), Reply::Applied);
    assert!(
        harness
            .state
            .directory()
            .instances
            .values()
            .all(|i| i.leaving)
    );
    assert_eq!(harness.leave(5, false, 4), Reply::Applied);
    assert!(harness.state.directory().instances.is_empty());
}

#[test]
fn membership_changes_are_audited_with_the_time_of_the_next_command() {
    let mut harness = Harness::default();
    for n in 1..=2 {
        let folder = Folder(u64::MAX - n);
        let membership = Membership {
            voters: BTreeMap::from([(format!("i{n}").parse().unwrap(), folder)]),
            learners: BTreeMap::new(),
        };
        harness.index = harness.index.next();
        let entry = Entry {
            index: harness.index,
            term: number::Term(1),
            payload: Payload::Membership(membership),
        };
        assert_eq!(harness.state.apply_entry(&entry).unwrap(), None);
        harness.state = State::decode(&harness.state.encode()).unwrap();
    }
    harness.join(1, 70);
    let entries = harness.state.audit(0, 10).entries;
    let causes: Vec<_> = entries.iter().map(|entry| &*entry.cause).collect();
    let voters = ["voters [i1], catching up []", "voters [i2], catching up []"];
    assert_eq!(causes[..2], voters);
    assert!(entries.iter().all(|entry| entry.at == at(70)));
}
