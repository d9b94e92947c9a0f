use std::collections::BTreeSet;

use gooseberrylb_config::id;

use super::{MAX_DIRECT, leader_to_name, relay};

fn names(count: usize) -> Vec<id::Instance> {
    (0..count)
        .map(|i| id::Instance::new(&format!("entry-{i:03}")).unwrap())
        .collect()
}

/// Which instances live: every `step`-th one does not.
fn alive(names: &[id::Instance], step: usize) -> BTreeSet<id::Instance> {
    let kept = names.iter().enumerate().filter(|(i, _)| i % step != 0);
    kept.map(|(_, name)| name.clone()).collect()
}

#[test]
fn everyone_reaches_the_leader_over_at_most_one_relay() {
    for count in [1, MAX_DIRECT, MAX_DIRECT + 1, 30, 340] {
        let names = names(count);
        let known: Vec<_> = names.iter().collect();
        for step in [2, 3, 7, count + 1] {
            let alive = alive(&names, step);
            for leader in &alive {
                assert_eq!(
                    relay(MAX_DIRECT, &known, leader, leader, |n| alive.contains(n)),
                    None
                );
                for name in &alive {
                    let Some(head) = relay(MAX_DIRECT, &known, leader, name, |n| alive.contains(n))
                    else {
                        continue;
                    };
                    assert!(alive.contains(head));
                    let above = relay(MAX_DIRECT, &known, leader, head, |n| alive.contains(n));
                    assert_eq!(above, None, "{name} follows {head} in a fleet of {count}");
                }
            }
        }
    }
}

#[test]
fn a_leader_that_was_cut_off_does_not_name_itself() {
    let names = names(2);
    let (own, other) = (names[0].clone(), names[1].clone());
    let named = leader_to_name(&own, None, Some(own.clone()));
    assert_eq!(named, None);
    let named = leader_to_name(&own, Some(other.clone()), Some(own.clone()));
    assert_eq!(named, Some(other));
}
