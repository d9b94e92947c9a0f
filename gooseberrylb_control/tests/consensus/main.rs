//! The consensus machine against stated outcomes, in a simulated network.

use std::time::Duration;

use gooseberrylb_control::consensus::Role;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rand::Rng;
use simulation::{FAIR, Weather, World, instance};

mod simulation;

const SECOND: Duration = Duration::from_secs(1);

fn formed(seed: u64) -> World {
    let mut world = World::new(seed, &["a", "b", "c", "d"], 3);
    world.run_until(5 * SECOND, "a leader", |w| {
        w.leader()
            .is_some_and(|leader| w.node(&leader).status().changeable)
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

/// Lets one thing go wrong, or one thing be asked for.
fn disturb(world: &mut World) {
    let names: Vec<_> = world.hosts.keys().cloned().collect();
    let pick = world.random.random_range(0..names.len());
    let other = world.random.random_range(0..names.len());
    let name = &names[pick];
    let until = world.now_ms + world.random.random_range(100..3000);
    match world.random.random_range(0..14) {
        0 => world.crash(name),
        1 | 2 => world.start(name),
        3 => drop(world.cut.insert((name.clone(), names[other].clone()))),
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
