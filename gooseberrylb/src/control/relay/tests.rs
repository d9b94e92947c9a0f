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
    for (count, keepers) in [
        (1, 0),
        (MAX_DIRECT_FOLLOWERS, 0),
        (MAX_DIRECT_FOLLOWERS + 1, 0),
        (30, 0),
        (340, 0),
        (30, 3),
        (291, 9),
    ] {
        let fleet = fleet(count, keepers);
        let names: Vec<_> = fleet.keys().cloned().collect();
        let relay = |leader: &id::Instance, name: &id::Instance, alive: &BTreeSet<_>| {
            let found = relay(MAX_DIRECT_FOLLOWERS, &fleet, leader, name, |n| {
                alive.contains(n)
            });
            found.cloned()
        };
        for step in [2, 3, 7, count + 1] {
            let alive = alive(&names, step);
            // In the largest fleets every seventh, which meets each place in a relay's group.
            for leader in alive.iter().step_by(1 + count / 50) {
                assert_eq!(relay(leader, leader, &alive), None);
                for name in &alive {
                    let Some(relay_name) = relay(leader, name, &alive) else {
                        continue;
                    };
                    assert!(alive.contains(&relay_name));
                    assert_ne!(relay_name, *leader, "the leader would redirect to itself");
                    assert_eq!(
                        relay(leader, &relay_name, &alive),
                        None,
                        "{name} follows {relay_name} in a fleet of {count}"
                    );
                }
            }
        }
    }
}

/// Keepers that followed the leader through entries lost their leases whenever these were killed or
/// had no processor time left.
#[test]
fn keepers_follow_the_leader_and_relay_for_the_entries() {
    let fleet = fleet(291, 9);
    let leader: id::Instance = "keeper-004".parse().unwrap();
    let mut followers: BTreeMap<id::Instance, usize> = BTreeMap::new();
    for (name, instance) in &fleet {
        let relay = relay(128, &fleet, &leader, name, |_| true);
        match instance.entry {
            true => *followers.entry(relay.unwrap().clone()).or_default() += 1,
            false => assert_eq!(relay, None),
        }
    }
    assert_eq!(followers.len(), 8);
    assert!(
        followers
            .keys()
            .all(|name| name.as_str().starts_with("keeper"))
    );
    // Twice the mean.
    assert!(followers.values().all(|count| *count <= 2 * 291 / 8));
}

#[test]
fn entry_follows_a_relay_in_its_data_centre_and_another_one_when_that_is_lost() {
    let mut fleet = fleet(200, 4);
    let leader: id::Instance = "keeper-000".parse().unwrap();
    for name in ["entry-007", "keeper-002"] {
        let instance = fleet.get_mut(&name.parse::<id::Instance>().unwrap());
        instance.unwrap().data_centre = "other".parse().unwrap();
    }
    let name: id::Instance = "entry-007".parse().unwrap();
    let near = relay(128, &fleet, &leader, &name, |_| true).unwrap();
    assert_eq!(near.as_str(), "keeper-002");
    let far = relay(128, &fleet, &leader, &name, |known| known != near).unwrap();
    assert_ne!(far, near);
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
