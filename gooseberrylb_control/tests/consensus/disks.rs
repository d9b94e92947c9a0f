//! Tests of clusters whose disks are slow, hang or are full for a while.

use std::time::Duration;

use gooseberrylb_config::id;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rand::Rng;

use crate::simulation::{Simulation, instance};
use crate::{SECOND, inject_event, run_events};

const VOTERS: [&str; 5] = ["a", "b", "c", "d", "e"];

/// Time within which the operators of a platform expect a change to be acknowledged.
const ACKNOWLEDGEMENT_TIME: Duration = Duration::from_secs(4);

/// Time within which a deployment serves again once all its instances are back.
const RECOVERY_TIME: Duration = Duration::from_secs(12);

/// Returns a cluster of five voters with a leader.
fn cluster(seed: u64) -> Simulation {
    let mut sim = Simulation::new(seed, &VOTERS, VOTERS.len());
    sim.run_until(5 * SECOND, "a leader is ready", |sim| {
        sim.leader()
            .is_some_and(|leader| sim.node(&leader).status().can_change_membership)
    });
    sim
}

/// Proposes a command at the leader until one is acknowledged. Returns the time that this took, or
/// `None` if it took longer than `limit`.
fn time_to_acknowledge(sim: &mut Simulation, limit: Duration) -> Option<Duration> {
    let started = sim.now();
    while sim.now() < started + limit {
        let number = sim.leader().map(|leader| sim.propose(&leader));
        for _ in 0..10 {
            sim.run(SECOND / 20);
            if number.is_some_and(|number| sim.acknowledged.contains_key(&number)) {
                return Some(sim.now() - started);
            }
            if number.is_some_and(|number| sim.rejections.contains_key(&number)) {
                break;
            }
        }
    }
    None
}

/// Guards against elections that begin anew before the votes of the one before are synced, so that none
/// ends.
#[test]
fn voters_with_slow_disks_elect_a_leader() {
    let durations = [
        (100, 150),
        (225, 300),
        (300, 400),
        (500, 700),
        (0, 1000),
        (750, 1000),
        (1500, 2000),
    ];
    for (shortest, longest) in durations {
        for seed in 0..20 {
            let mut sim = cluster(seed);
            sim.conditions.min_sync_ms = shortest;
            sim.conditions.sync_ms = longest;
            let expected = format!("seed {seed}, syncs of {longest} ms: there is a leader");
            restart(&mut sim, &[], &expected);
        }
    }
}

/// Restarts the voters of a cluster, but for some that stay lost, and waits for a leader.
fn restart(sim: &mut Simulation, lost: &[&str], expected: &str) {
    let voters = VOTERS.map(instance);
    voters.iter().for_each(|voter| sim.crash(voter));
    let lives = |voter: &&id::Instance| !lost.contains(&voter.as_str());
    voters
        .iter()
        .filter(lives)
        .for_each(|voter| sim.start(voter));
    sim.run_until(RECOVERY_TIME, expected, |sim| sim.leader().is_some());
}

/// Guards against a candidate with a fast disk that begins a new election before slower voters have
/// synced their votes.
#[test]
fn voters_with_unlike_disks_elect_a_leader() {
    for seed in 0..20 {
        let mut sim = cluster(seed);
        for slow in ["b", "c"] {
            sim.hosts.get_mut(&instance(slow)).unwrap().sync_ms = Some((900, 1000));
        }
        let expected = format!("seed {seed}: there is a leader of three voters");
        restart(&mut sim, &["d", "e"], &expected);
    }
}

/// Guards against a voter that yields again and again to a candidate whose log is too old to win.
#[test]
fn voter_with_the_latest_log_is_elected_beside_slow_and_fast_ones() {
    for seed in 0..20 {
        let mut sim = cluster(seed);
        let leader = sim.leader().unwrap();
        let mut others: Vec<id::Instance> = VOTERS.map(instance).to_vec();
        others.retain(|voter| *voter != leader);
        for behind in &others[..2] {
            sim.isolate(behind);
        }
        sim.propose(&leader);
        sim.run(SECOND / 5);
        sim.blocked_links.clear();
        sim.hosts.get_mut(&others[0]).unwrap().sync_ms = Some((450, 500));
        let expected = format!("seed {seed}: the voter with all entries leads");
        restart(&mut sim, &[others[3].as_str(), leader.as_str()], &expected);
        assert_eq!(sim.leader(), Some(others[2].clone()), "seed {seed}");
    }
}

/// Guards against a leader that refuses what all others could store.
#[test]
fn changes_are_accepted_while_only_the_disk_of_the_leader_is_full() {
    for seed in 0..20 {
        let mut sim = cluster(seed);
        let leader = sim.leader().unwrap();
        let end = sim.now_ms + 10_000;
        sim.hosts.get_mut(&leader).unwrap().disk_full_until_ms = end;
        while sim.now_ms < end - 1_000 {
            let time = time_to_acknowledge(&mut sim, ACKNOWLEDGEMENT_TIME);
            assert!(
                time.is_some_and(|time| time <= SECOND),
                "seed {seed}: {time:?}"
            );
        }
        assert_eq!(sim.leader(), Some(leader), "seed {seed}");
        sim.run(2 * SECOND);
        sim.check_acknowledged();
    }
}

/// Guards against proposals that are refused because the other voters take longer than usual.
#[test]
fn full_disk_of_the_leader_refuses_nothing_that_slower_voters_store() {
    for seed in 0..20 {
        let mut sim = cluster(seed);
        let leader = sim.leader().unwrap();
        sim.conditions.min_sync_ms = 200;
        sim.conditions.sync_ms = 400;
        let first = sim.propose(&leader);
        sim.run(SECOND);
        assert!(sim.acknowledged.contains_key(&first), "seed {seed}");
        let end = sim.now_ms + 8_000;
        sim.hosts.get_mut(&leader).unwrap().disk_full_until_ms = end;
        while sim.now_ms < end - 1_000 {
            sim.propose(&leader);
            sim.run(SECOND / 10);
        }
        assert!(
            sim.rejections.is_empty(),
            "seed {seed}: {:?}",
            sim.rejections
        );
        sim.run(3 * SECOND);
        sim.check_acknowledged();
    }
}

/// Guards against changes that wait for the leader's own disk although enough others have stored them.
#[test]
fn changes_are_accepted_while_the_disk_of_the_leader_hangs() {
    for seed in 0..20 {
        let mut sim = cluster(seed);
        let leader = sim.leader().unwrap();
        let end = sim.now_ms + 10_000;
        sim.hosts.get_mut(&leader).unwrap().disk_hangs_until_ms = end;
        while sim.now_ms < end - 1_000 {
            let time = time_to_acknowledge(&mut sim, ACKNOWLEDGEMENT_TIME);
            assert!(
                time.is_some_and(|time| time <= SECOND),
                "seed {seed}: {time:?}"
            );
        }
        sim.run(2 * SECOND);
        sim.check_acknowledged();
    }
}

/// Guards against voters that store nothing any more after their disks were full, one after another.
#[test]
fn changes_are_accepted_while_disks_are_full_one_after_another_and_after_it() {
    for seed in 0..40 {
        let mut sim = cluster(seed);
        let mut order: Vec<id::Instance> = VOTERS.map(instance).to_vec();
        order.rotate_left(seed as usize % VOTERS.len());
        for voter in order.iter().cycle().take(10) {
            sim.hosts.get_mut(voter).unwrap().disk_full_until_ms = sim.now_ms + 3_000;
            for _ in 0..5 {
                let time = time_to_acknowledge(&mut sim, ACKNOWLEDGEMENT_TIME);
                assert!(time.is_some(), "seed {seed}: {voter} is full");
                sim.run(SECOND / 2);
            }
            if seed % 2 == 0 {
                sim.compact(voter);
            }
        }
        sim.run(5 * SECOND);
        let last = sim.committed.keys().max().copied();
        for voter in &order {
            let held = &sim.hosts[voter].disk.persisted;
            let end = held.entries.last().map(|entry| entry.index);
            let covered = held.snapshot.as_ref().map(|snapshot| snapshot.index);
            assert_eq!(
                end.max(covered),
                last,
                "seed {seed}: {voter} does not store all"
            );
        }
        sim.check_acknowledged();
    }
}

/// Makes the disk of a random host hang or refuse writes, or injects another event.
fn inject_disk_fault(sim: &mut Simulation) {
    let names: Vec<_> = sim.hosts.keys().cloned().collect();
    let name = &names[sim.rng.random_range(0..names.len())];
    let until = sim.now_ms + sim.rng.random_range(100..4000);
    match sim.rng.random_range(0..4) {
        0 => sim.hosts.get_mut(name).unwrap().disk_hangs_until_ms = until,
        1 => sim.hosts.get_mut(name).unwrap().disk_full_until_ms = until,
        _ => inject_event(sim),
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 64,
        rng_seed: RngSeed::Fixed(53),
        failure_persistence: None,
        max_shrink_iters: 0,
        ..ProptestConfig::default()
    })]

    #[test]
    fn random_faults_of_disks_never_lose_or_change_committed_entries(seed in any::<u64>()) {
        run_events(seed, 600, inject_disk_fault);
    }
}
