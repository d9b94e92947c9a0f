//! Orders to evacuate data centres.

use gooseberrylb_config::directory::evacuation::Order;
use gooseberrylb_control::state::{Command, Reply, State};
use serde_json::Value;

use crate::harness::{Harness, at, with_move};

fn order(harness: &mut Harness, data_centre: &str, active: bool, seconds: u64) -> Reply {
    harness.apply(Command::List {
        set: Vec::new(),
        removed: Vec::new(),
        evacuations: vec![Order {
            data_centre: data_centre.into(),
            active,
        }],
        at: at(seconds),
    })
}

fn evacuated(state: &State) -> Vec<&str> {
    state.evacuations().keys().map(|name| &**name).collect()
}

fn audited(harness: &Harness) -> usize {
    let audit = harness.state.audit(0, 1_000);
    let entries = audit.entries.iter();
    let of_evacuations = entries.filter(|entry| entry.subject.starts_with("evacuation of "));
    of_evacuations.count()
}

/// Guards against a resent order that moves the time of the first one or fills the audit trail.
#[test]
fn repeated_orders_change_nothing_and_are_acknowledged() {
    let mut harness = Harness::default();
    for seconds in [1, 2, 3] {
        assert_eq!(order(&mut harness, "lodi", true, seconds), Reply::Applied);
    }
    assert_eq!(harness.state.evacuations()["lodi"].since, at(1));
    order(&mut harness, "cremona", true, 4);
    assert_eq!(evacuated(&harness.state), ["cremona", "lodi"]);
    for seconds in [5, 6] {
        order(&mut harness, "lodi", false, seconds);
    }
    assert_eq!(evacuated(&harness.state), ["cremona"]);
    assert_eq!(audited(&harness), 3);
}

/// Guards against the loss of an accepted order with the log behind a snapshot.
#[test]
fn orders_survive_a_snapshot() {
    let mut harness = with_move();
    order(&mut harness, "lodi", true, 50);
    let restored = State::decode(&harness.state.encode()).unwrap();
    assert_eq!(restored, harness.state);
    assert_eq!(evacuated(&restored), ["lodi"]);
}

/// Guards against an entry or snapshot that ends a voter of the release before this one, 3630e69,
/// and against revisions that differ between both.
#[test]
fn earlier_release_reads_the_entry_as_an_empty_change_of_the_list() {
    let mut harness = Harness::default();
    let before = harness.state.directory().revision;
    let command = Command::List {
        set: Vec::new(),
        removed: Vec::new(),
        evacuations: vec![Order {
            data_centre: "lodi".into(),
            active: true,
        }],
        at: at(1),
    };
    let value: Value = serde_json::from_slice(&command.encode()).unwrap();
    let list = value["list"].as_object().unwrap();
    for known in ["set", "removed", "at"] {
        assert!(list.contains_key(known), "{value}");
    }
    harness.apply(command);
    assert_eq!(harness.state.directory().revision, before.next());
    // An entry of that release has no orders.
    let text = r#"{"list":{"set":[],"removed":[],"at":"2026-12-03T05:00:00Z"}}"#;
    let Command::List { evacuations, .. } = Command::decode(text.as_bytes()).unwrap() else {
        panic!("another command");
    };
    assert!(evacuations.is_empty());
}
