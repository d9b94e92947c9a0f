//! Instances, views and voters.

use std::collections::BTreeMap;

use gooseberrylb_config::number;
use gooseberrylb_control::entry::{Entry, Payload};
use gooseberrylb_control::membership::{Folder, Membership};
use gooseberrylb_control::state::{Reply, State};

use crate::fed::{BASE, Fed, at, cell};

#[test]
fn views_follow_each_other_even_when_their_service_was_away() {
    let mut fed = Fed::default();
    assert_eq!(fed.view(1), Reply::Stale);
    fed.submit(BASE);
    assert_eq!(fed.view(2), Reply::Stale);
    assert_eq!(fed.view(1), Reply::Applied);
    assert_eq!(fed.view(1), Reply::Stale);
    let away = r#"{ "note": 2, "author": "r", "withdrawn": { "services": ["s"],
        "upstreams": ["u1"], "versions": ["v1"] } }"#;
    assert!(matches!(fed.submit(away), Reply::Accepted(_)));
    let again = BASE.replace("\"note\": 1", "\"note\": 3");
    assert!(matches!(fed.submit(&again), Reply::Accepted(_)));
    assert_eq!(fed.state.next_view(&cell()), number::View(2));
    assert_eq!(fed.view(1), Reply::Stale);
}

#[test]
fn an_earlier_incarnation_neither_joins_nor_leaves() {
    let mut fed = Fed::default();
    assert_eq!(fed.join(5, 0), Reply::Applied);
    assert_eq!(fed.join(4, 1), Reply::Stale);
    assert_eq!(fed.leave(4, false, 1), Reply::Stale);
    let revision = fed.state.directory().revision;
    assert_eq!(fed.join(5, 2), Reply::Applied);
    assert_eq!(fed.state.directory().revision, revision);
    assert_eq!(fed.leave(5, true, 3), Reply::Applied);
    assert!(fed.state.directory().instances.values().all(|i| i.leaving));
    assert_eq!(fed.leave(5, false, 4), Reply::Applied);
    assert!(fed.state.directory().instances.is_empty());
}

#[test]
fn membership_changes_stand_in_the_audit_trail_with_the_time_of_the_next_command() {
    let mut fed = Fed::default();
    for n in 1..=2 {
        let folder = Folder(u64::MAX - n);
        let membership = Membership {
            voters: BTreeMap::from([(format!("i{n}").parse().unwrap(), folder)]),
            learners: BTreeMap::new(),
        };
        fed.index = fed.index.next();
        let entry = Entry {
            index: fed.index,
            term: number::Term(1),
            payload: Payload::Membership(membership),
        };
        assert_eq!(fed.state.apply_entry(&entry).unwrap(), None);
        fed.state = State::decode(&fed.state.encode()).unwrap();
    }
    fed.join(1, 70);
    let entries = fed.state.audit(0, 10).entries;
    let causes: Vec<_> = entries.iter().map(|entry| &*entry.cause).collect();
    let voters = ["voters [i1], catching up []", "voters [i2], catching up []"];
    assert_eq!(causes[..2], voters);
    assert!(entries.iter().all(|entry| entry.at == at(70)));
}
