use std::collections::{BTreeMap, BTreeSet};

use gooseberrylb_config::directory::Instance;
use gooseberrylb_config::id;

use super::{MAX_DIRECT_FOLLOWERS, discovery_targets, leader_hint, relay};

fn names(count: usize) -> Vec<id::Instance> {
    (0..count)
        .map(|i| id::Instance::new(&format!("entry-{i:03}")).unwrap())
        .collect()
}

/// Returns the live instances: all but every `step`-th one.
fn alive(names: &[id::Instance], step: usize) -> BTreeSet<id::Instance> {
    let living = names.iter().enumerate().filter(|(i, _)| i % step != 0);
    living.map(|(_, name)| name.clone()).collect()
}

#[test]
fn at_most_one_relay_is_between_an_instance_and_the_leader() {
    for count in [1, MAX_DIRECT_FOLLOWERS, MAX_DIRECT_FOLLOWERS + 1, 30, 340] {
        let names = names(count);
        let known: Vec<_> = names.iter().collect();
        for step in [2, 3, 7, count + 1] {
            let alive = alive(&names, step);
            for leader in &alive {
                assert_eq!(
                    relay(MAX_DIRECT_FOLLOWERS, &known, leader, leader, |n| alive
                        .contains(n)),
                    None
                );
                for name in &alive {
                    let Some(relay_name) = relay(MAX_DIRECT_FOLLOWERS, &known, leader, name, |n| {
                        alive.contains(n)
                    }) else {
                        continue;
                    };
                    assert!(alive.contains(relay_name));
                    let relay_of_relay =
                        relay(MAX_DIRECT_FOLLOWERS, &known, leader, relay_name, |n| {
                            alive.contains(n)
                        });
                    assert_eq!(
                        relay_of_relay, None,
                        "{name} follows {relay_name} in a fleet of {count}"
                    );
                }
            }
        }
    }
}

#[test]
fn isolated_leader_does_not_name_itself_as_leader() {
    let names = names(2);
    let (own, other) = (names[0].clone(), names[1].clone());
    let named = leader_hint(&own, None, Some(own.clone()));
    assert_eq!(named, None);
    let named = leader_hint(&own, Some(other.clone()), Some(own.clone()));
    assert_eq!(named, Some(other));
}

fn fleet(entries: usize, non_entries: usize) -> BTreeMap<id::Instance, Instance> {
    let instance = |entry| Instance {
        data_centre: "d".parse().unwrap(),
        region: "r".parse().unwrap(),
        callers: "127.0.0.1:1".parse().unwrap(),
        operators: "127.0.0.1:2".parse().unwrap(),
        peers: "127.0.0.1:3".parse().unwrap(),
        leaving: false,
        entry,
    };
    let named = |kind: &str, i: usize| format!("{kind}-{i:03}").parse().unwrap();
    let entries = (0..entries).map(|i| (named("entry", i), instance(true)));
    let non_entries = (0..non_entries).map(|i| (named("keeper", i), instance(false)));
    entries.chain(non_entries).collect()
}

#[test]
fn only_instances_without_callers_are_discovery_targets() {
    let fleet = fleet(66, 9);
    let targets = discovery_targets(&fleet);
    assert_eq!(targets.len(), 9);
    assert!(
        targets
            .iter()
            .all(|name| name.as_str().starts_with("keeper"))
    );
}

#[test]
fn all_instances_are_discovery_targets_if_all_are_entries() {
    let fleet = fleet(5, 0);
    assert_eq!(discovery_targets(&fleet).len(), 5);
}
