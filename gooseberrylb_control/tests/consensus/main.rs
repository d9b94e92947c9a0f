//! The consensus machine against stated outcomes, in a simulated network.

use std::time::Duration;

use gooseberrylb_control::consensus::{Rejection, Role};
use gooseberrylb_control::membership::Change;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rand::Rng;
use simulation::{FAIR, Weather, World, instance};

mod direct;
mod simulation;

const SECOND: Duration = Duration::from_secs(1);

fn formed(seed: u64) -> World {
    let mut world = World::new(seed, &["a", "b", "c", "d"], 3);
    world.run_until(5 * SECOND, "a leader", |w| {
        w.leader()
            .is_some_and(|leader| w.node(&leader).status().can_change_membership)
    });
    world
}

#[test]
fn three_founders_form_elect_and_accept() {
    let mut world = formed(1);
    let leader = world.leader().expect("there is a leader");
    let number = world.propose(&leader);
    world.run_until(SECOND, "applied at all founders", |w| {
        let index = w.acknowledged.get(&number);
        let names = ["a", "b", "c"].map(instance);
        index.is_some()
            && names
                .iter()
                .all(|n| w.node(n).status().committed >= *index.unwrap())
    });
    world.check_acknowledged();
    assert_eq!(world.node(&instance("d")).status().role, Role::Unformed);
}

#[test]
fn a_follower_cut_off_from_the_leader_unseats_nobody() {
    for seed in 0..20 {
        let mut world = formed(seed);
        let leader = world.leader().unwrap();
        let others: Vec<_> = ["a", "b", "c"]
            .map(instance)
            .into_iter()
            .filter(|n| *n != leader)
            .collect();
        world.part(&leader, &others[0]);
        // The other follower keeps restarting, and must not forget that it heard the leader.
        for _ in 0..15 {
            world.run(SECOND / 5);
            assert_eq!(world.leader(), Some(leader.clone()), "seed {seed}");
            world.crash(&others[1]);
            world.start(&others[1]);
        }
    }
}

#[test]
fn a_leader_cut_off_steps_down_and_a_thawed_one_trusts_no_lease() {
    for seed in 0..20 {
        let mut world = formed(seed);
        let leader = world.leader().unwrap();
        if seed % 2 == 0 {
            world.hosts.get_mut(&leader).unwrap().frozen_until = world.now_ms + 5000;
        } else {
            world.isolate(&leader);
        }
        let lost = world.propose(&leader);
        world.run(4 * SECOND);
        let successor = world.leader().unwrap();
        assert_ne!(successor, leader);
        let number = world.propose(&successor);
        world.cut.clear();
        world.run(4 * SECOND);
        assert!(world.acknowledged.contains_key(&number));
        assert!(!world.acknowledged.contains_key(&lost));
        assert_eq!(world.rejections[&lost], Rejection::Uncertain);
        assert_eq!(world.node(&leader).status().leader, Some(successor));
    }
}

#[test]
fn a_learner_votes_only_once_it_has_caught_up() {
    let mut world = formed(5);
    let leader = world.leader().unwrap();
    let spare = instance("d");
    world.isolate(&spare);
    let folder = world.hosts[&spare].disk.folder;
    world.change(
        &leader,
        Change::AddLearner {
            instance: spare.clone(),
            folder,
        },
    );
    world.run(SECOND);
    let early = world.change(
        &leader,
        Change::Promote {
            instance: spare.clone(),
        },
    );
    assert_eq!(world.rejections[&early], Rejection::NotReady);
    world.cut.clear();
    world.run(SECOND);
    let due = world.change(
        &leader,
        Change::Promote {
            instance: spare.clone(),
        },
    );
    world.run(SECOND);
    assert!(world.acknowledged.contains_key(&due));
    assert!(world.membership().voters.contains_key(&spare));
}

#[test]
fn a_second_loss_right_after_a_repair_loses_nothing() {
    for seed in 0..20 {
        let mut world = formed(seed);
        let names = ["a", "b", "c"].map(instance);
        let leader = world.leader().unwrap();
        let number = world.propose(&leader);
        world.run(SECOND);
        world.wipe(&names[seed as usize % 3]);
        let is_repaired = |world: &World| world.is_whole() && world.leader().is_some();
        let end = world.now_ms + 30_000;
        while !is_repaired(&world)
            || world
                .membership()
                .voters
                .contains_key(&names[seed as usize % 3])
        {
            assert!(
                world.now_ms < end,
                "seed {seed}: the lost voter was not replaced"
            );
            world.repair();
            world.run(SECOND / 20);
        }
        world.wipe(&names[(seed as usize + 1) % 3]);
        world.run(3 * SECOND);
        let leader = world.leader().expect("two voters are enough");
        let second = world.propose(&leader);
        world.run(SECOND);
        assert!(world.acknowledged.contains_key(&second));
        assert!(world.node(&leader).status().committed >= world.acknowledged[&number]);
        world.check_acknowledged();
    }
}

#[test]
fn a_full_disk_refuses_proposals_and_changes_no_leader() {
    let mut world = formed(6);
    let leader = world.leader().unwrap();
    let end = world.now_ms + 5000;
    world
        .hosts
        .values_mut()
        .for_each(|host| host.full_until = end);
    let first = world.propose(&leader);
    world.run(SECOND / 5);
    let second = world.propose(&leader);
    world.run(4 * SECOND);
    assert_eq!(world.rejections[&first], Rejection::Full);
    assert_eq!(world.rejections[&second], Rejection::Full);
    assert_eq!(world.leader(), Some(leader.clone()));
    world.run(2 * SECOND);
    let third = world.propose(&leader);
    world.run(SECOND);
    assert!(world.acknowledged.contains_key(&third));
}

#[test]
fn a_slow_follower_gets_entries_or_a_snapshot_whichever_is_left() {
    for behind in [500, 3000] {
        let mut world = formed(7);
        let leader = world.leader().unwrap();
        let slow = ["a", "b", "c"]
            .map(instance)
            .into_iter()
            .find(|n| *n != leader)
            .unwrap();
        world.crash(&slow);
        for _ in 0..behind {
            world.propose(&leader);
        }
        world.run(SECOND);
        world.compact(&leader);
        world.run(SECOND);
        world.start(&slow);
        world.run_until(SECOND, "caught up", |w| {
            w.node(&slow).status().committed == w.node(&leader).status().committed
        });
        let applied: Vec<_> = world.committed.values().cloned().collect();
        assert_eq!(world.hosts[&slow].applied, applied);
    }
}

/// Lets one thing go wrong, or one thing be asked for.
fn disturb(world: &mut World) {
    let names: Vec<_> = world.hosts.keys().cloned().collect();
    let pick = world.random.random_range(0..names.len());
    let other = world.random.random_range(0..names.len());
    let leader = world.leader().filter(|_| pick % 2 == 0);
    let name = &leader.unwrap_or_else(|| names[pick].clone());
    let until = world.now_ms + world.random.random_range(100..3000);
    match world.random.random_range(0..15) {
        0 => world.crash(name),
        1 | 2 => world.start(name),
        3 => drop(world.cut.insert((name.clone(), names[other].clone()))),
        12 => world.part(name, &names[other]),
        4 => world.cut.retain(|(from, _)| from != name),
        5 => world.cut.clear(),
        6 => world.hosts.get_mut(name).unwrap().frozen_until = until,
        7 => world.hosts.get_mut(name).unwrap().full_until = until,
        8 => world.compact(name),
        9 if world.is_whole() => world.wipe(name),
        10 | 11 => world.repair(),
        _ => {
            let at = world.leader().unwrap_or_else(|| name.clone());
            world.propose(&at);
        }
    }
}

/// Heals all that is broken.
fn calm(world: &mut World) {
    world.weather = FAIR;
    world.cut.clear();
    let names: Vec<_> = world.hosts.keys().cloned().collect();
    for name in &names {
        let host = world.hosts.get_mut(name).unwrap();
        host.frozen_until = 0;
        host.full_until = 0;
        world.start(name);
    }
}

fn history(seed: u64) {
    let mut world = World::new(seed, &["a", "b", "c", "d", "e"], 3);
    world.weather = Weather {
        lost: world.random.random_range(0..15),
        doubled: world.random.random_range(0..15),
        delay_ms: world.random.random_range(1..150),
        sync_ms: world.random.random_range(0..150),
    };
    for _ in 0..250 {
        disturb(&mut world);
        let pause = world.random.random_range(0..200);
        world.run(Duration::from_millis(pause));
    }
    calm(&mut world);
    for _ in 0..300 {
        world.repair();
        world.run(SECOND / 10);
    }
    let leader = world.leader().expect("a leader, once all is healed");
    let number = world.propose(&leader);
    world.run(2 * SECOND);
    assert!(
        world.acknowledged.contains_key(&number),
        "nothing is accepted any more"
    );
    assert!(world.is_whole(), "lost voters were not replaced");
    for voter in world.membership().voters.keys() {
        let committed = world.node(voter).status().committed;
        assert_eq!(
            world.committed.keys().max(),
            Some(&committed),
            "{voter} lags"
        );
    }
    world.check_acknowledged();
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 256,
        rng_seed: RngSeed::Fixed(4),
        failure_persistence: None,
        max_shrink_iters: 0,
        ..ProptestConfig::default()
    })]

    #[test]
    fn no_history_loses_or_changes_what_was_committed(seed in any::<u64>()) {
        history(seed);
    }
}
