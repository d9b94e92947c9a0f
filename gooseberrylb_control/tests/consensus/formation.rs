//! Tests of the first start, in which founders are lost, restarted, cut off or get an empty disk.

use std::collections::BTreeSet;
use std::time::Duration;

use gooseberrylb_config::id;
use gooseberrylb_config::number::Index;
use gooseberrylb_control::consensus::{Identity, Input, Node, Role};
use gooseberrylb_control::membership::{Cluster, Membership};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rand::Rng;

use crate::SECOND;
use crate::simulation::{Conditions, NORMAL_CONDITIONS, Simulation, TICK, instance};

/// Time from the first start within which a cluster accepts a command, although founders are lost.
const FORMATION_TIME: Duration = Duration::from_secs(8);

/// First start of a deployment, and every cluster that was observed in it.
struct FirstStart {
    sim: Simulation,
    clusters: BTreeSet<Cluster>,
}

impl FirstStart {
    /// Starts hosts with empty disks; the first `founders` of them are told that they are founders.
    /// No later start tells it to any host.
    fn new(seed: u64, names: &[&str], founders: usize) -> Self {
        let mut sim = Simulation::new(seed, names, founders);
        sim.first_start = true;
        for name in names.iter().map(|name| instance(name)) {
            sim.lose_disk(&name);
            sim.start(&name);
        }
        sim.founders.clear();
        let clusters = BTreeSet::new();
        Self { sim, clusters }
    }

    fn run(&mut self, time: Duration) {
        let end = self.sim.now() + time;
        while self.sim.now() < end {
            self.sim.run(TICK);
            self.check_clusters();
        }
    }

    /// Checks that no second cluster exists, be it in memory or on a disk.
    fn check_clusters(&mut self) {
        for host in self.sim.hosts.values() {
            self.clusters.extend(host.disk.persisted.cluster);
            let node = host.node.as_ref();
            self.clusters.extend(node.and_then(|node| node.cluster()));
        }
        assert!(
            self.clusters.len() <= 1,
            "two clusters: {:?}",
            self.clusters
        );
    }

    /// Proposes commands until one is accepted, and repairs the membership meanwhile.
    fn accept(&mut self, limit: Duration, context: &str) {
        let end = self.sim.now() + limit;
        loop {
            let number = self.sim.leader().map(|leader| self.sim.propose(&leader));
            self.run(SECOND / 10);
            if number.is_some_and(|number| self.sim.acknowledged.contains_key(&number)) {
                return;
            }
            assert!(self.sim.now() < end, "{context}: no command is accepted");
            self.sim.repair();
        }
    }
}

/// Loses `lost` for good `at_ms` after the first start, and expects a cluster nevertheless.
fn lose_founders(seed: u64, names: &[&str], founders: usize, lost: &[&str], at_ms: u64) {
    let mut start = FirstStart::new(seed, names, founders);
    start.run(Duration::from_millis(at_ms));
    for name in lost {
        start.sim.crash(&instance(name));
    }
    let rest = FORMATION_TIME.max(Duration::from_millis(at_ms + 4000));
    let context = format!("seed {seed}, {lost:?} lost after {at_ms} ms");
    start.accept(rest - Duration::from_millis(at_ms), &context);
    start.sim.check_acknowledged();
}

/// Guards against a first start that waits for a lost founder forever.
#[test]
fn cluster_forms_although_a_founder_is_lost_at_any_moment() {
    for at_ms in (0..1900).step_by(300).chain((1900..4600).step_by(10)) {
        for lost in ["a", "b", "c"] {
            let names = ["a", "b", "c", "d", "e"];
            lose_founders(at_ms, &names, 3, &[lost], at_ms);
        }
    }
}

#[test]
fn cluster_of_five_founders_forms_although_two_are_lost_at_any_moment() {
    for at_ms in (0..1900).step_by(300).chain((1900..4600).step_by(20)) {
        let names = ["a", "b", "c", "d", "e"];
        lose_founders(at_ms, &names, 5, &["b", "d"], at_ms);
    }
}

/// Guards against a first start of all founders that waits for the time after which a majority suffices.
#[test]
fn cluster_of_all_founders_forms_soon_after_the_wait_for_an_existing_one() {
    for seed in 0..200 {
        let mut start = FirstStart::new(seed, &["a", "b", "c", "d"], 3);
        start.accept(3500 * SECOND / 1000, &format!("seed {seed}"));
        let voters = start.sim.membership().voters.len();
        assert_eq!(voters, 3, "seed {seed}");
    }
}

/// Guards against a first start that is given up when all processes are killed or all machines lose power
/// in it: their later starts do not tell them that they are founders.
#[test]
fn cluster_forms_although_all_hosts_stop_during_formation() {
    for at_ms in (1000..6000).step_by(20) {
        for lost in [None, Some("c")] {
            let names = ["a", "b", "c", "d"];
            let mut start = FirstStart::new(at_ms, &names, 3);
            lost.iter().for_each(|n| start.sim.crash(&instance(n)));
            start.run(Duration::from_millis(at_ms));
            names.map(instance).iter().for_each(|n| start.sim.crash(n));
            start.run(SECOND / 2);
            for name in names.iter().filter(|n| Some(**n) != lost) {
                start.sim.start(&instance(name));
            }
            let context = format!("stopped after {at_ms} ms, {lost:?} lost");
            start.accept(FORMATION_TIME, &context);
        }
    }
}

/// Cuts `c` off for `at_ms` from the first start on; then `b` loses its disk and `a` is cut off for 10 s.
fn start_with_a_lost_disk_after_a_cut(at_ms: u64) -> FirstStart {
    let [a, b, c] = ["a", "b", "c"].map(instance);
    let mut start = FirstStart::new(at_ms, &["a", "b", "c", "d", "e"], 3);
    start.sim.isolate(&c);
    start.run(Duration::from_millis(at_ms));
    start.sim.blocked_links.clear();
    start.sim.isolate(&a);
    start.sim.lose_disk(&b);
    start.sim.start(&b);
    start.run(10 * SECOND);
    start.sim.blocked_links.clear();
    start
}

/// Guards against two clusters, if a founder that has helped to form one loses its disk and helps another
/// founder, which was cut off, to form a second one.
#[test]
fn founder_with_a_new_disk_does_not_help_to_form_a_second_cluster() {
    for at_ms in (2000..7000).step_by(50) {
        start_with_a_lost_disk_after_a_cut(at_ms).run(10 * SECOND);
    }
}

/// Guards against a first membership that cannot bear the loss of a disk, since it lacks a founder that was
/// cut off.
#[test]
fn disk_lost_after_a_founder_was_cut_off_leaves_a_cluster() {
    for at_ms in (2000..7000).step_by(50) {
        let mut start = start_with_a_lost_disk_after_a_cut(at_ms);
        start.accept(2 * FORMATION_TIME, &format!("disk lost after {at_ms} ms"));
    }
}

/// Guards against what a founder has accepted being taken for an entry of the log, if the node stops after it
/// has synced its cluster and before it receives the first entry.
#[test]
fn record_of_a_founder_is_no_entry_of_the_log_of_its_cluster() {
    let mut start = FirstStart::new(1, &["a", "b", "c"], 3);
    start.run(SECOND);
    let (name, host) = start.sim.hosts.iter().next().unwrap();
    let mut persisted = host.disk.persisted.clone();
    assert_eq!((persisted.cluster, persisted.entries.len()), (None, 1));
    persisted.cluster = Some(Cluster(77));
    let identity = Identity {
        instance: name.clone(),
        folder: host.disk.folder,
        founders: Vec::new(),
        first_start: false,
        seed: 1,
    };
    let status = Node::new(identity, persisted, start.sim.now()).status();
    assert_eq!(
        (status.last, status.membership),
        (Index(0), Membership::default())
    );
}

/// Guards against an empty configuration in place of one that another instance still holds.
#[test]
fn founders_that_learn_of_a_foreign_cluster_form_none() {
    let existing = Cluster(77);
    for at_ms in [0, 500, 1900, 1990] {
        for informed in [&["a", "b", "c"][..], &["a", "b"], &["a"]] {
            let mut start = FirstStart::new(at_ms, &["a", "b", "c", "d"], 3);
            start.run(Duration::from_millis(at_ms));
            let now = start.sim.now();
            for name in informed {
                let host = start.sim.hosts.get_mut(&instance(name)).unwrap();
                let node = host.node.as_mut().unwrap();
                node.step(now, Input::ClusterReported(existing));
            }
            start.run(20 * SECOND);
            // One founder that keeps out does not stop the majority, as a lost one would not.
            if informed.len() > 1 {
                assert!(start.clusters.is_empty(), "{informed:?} after {at_ms} ms");
            }
        }
    }
}

/// Faults that a random history injects.
struct Faults {
    /// Founders that may be cut off for long, get an empty disk, or be lost for good.
    victims: Vec<id::Instance>,
    /// Founders that have lost their disk or are lost for good.
    spent: BTreeSet<id::Instance>,
    /// Hosts that are stopped, with the simulated time at which they start.
    stopped: Vec<(u64, id::Instance)>,
}

impl Faults {
    fn stop(&mut self, sim: &mut Simulation, name: &id::Instance) {
        let is_lost = sim.hosts[name].node.is_none();
        if !is_lost {
            sim.crash(name);
            let pause = sim.rng.random_range(0..1000);
            self.stopped.push((sim.now_ms + pause, name.clone()));
        }
    }

    fn inject(&mut self, sim: &mut Simulation) {
        let names: Vec<_> = sim.hosts.keys().cloned().collect();
        let any = names[sim.rng.random_range(0..names.len())].clone();
        let victim = self.victims[sim.rng.random_range(0..self.victims.len())].clone();
        match sim.rng.random_range(0..20) {
            0..=2 => self.stop(sim, &any),
            3 => names.iter().for_each(|name| self.stop(sim, name)),
            4..=5 => {
                let pause = sim.rng.random_range(0..1000);
                sim.hosts.get_mut(&any).unwrap().frozen_until_ms = sim.now_ms + pause;
            }
            6..=7 => {
                let pause = sim.rng.random_range(0..1000);
                sim.hosts.get_mut(&any).unwrap().disk_full_until_ms = sim.now_ms + pause;
            }
            8..=9 => sim.isolate(&victim),
            10..=11 => {
                let other = names[sim.rng.random_range(0..names.len())].clone();
                sim.blocked_links.insert((victim, other));
            }
            12..=13 => sim.blocked_links.clear(),
            14 => {
                let pause = sim.rng.random_range(0..6000);
                sim.hosts.get_mut(&victim).unwrap().frozen_until_ms = sim.now_ms + pause;
            }
            15 if self.spent.insert(victim.clone()) => {
                sim.lose_disk(&victim);
                sim.start(&victim);
            }
            16 if self.spent.insert(victim.clone()) => {
                sim.crash(&victim);
                self.stopped.retain(|(_, name)| *name != victim);
            }
            _ => {}
        }
    }

    fn restart_due(&mut self, sim: &mut Simulation) {
        let now_ms = sim.now_ms;
        let due = self.stopped.extract_if(.., |(at_ms, _)| *at_ms <= now_ms);
        due.for_each(|(_, name)| sim.start(&name));
    }
}

/// Injects faults into a first start, and expects one cluster that accepts a command in the end.
fn run_first_start(seed: u64, founders: usize) {
    let names = ["a", "b", "c", "d", "e", "f"];
    let mut start = FirstStart::new(seed, &names, founders);
    let sim = &mut start.sim;
    sim.conditions = Conditions {
        loss_percent: sim.rng.random_range(0..15),
        duplicate_percent: sim.rng.random_range(0..15),
        delay_ms: sim.rng.random_range(1..150),
        sync_ms: sim.rng.random_range(0..150),
        min_sync_ms: 0,
    };
    let first = sim.rng.random_range(0..founders);
    let victims = (0..founders.div_ceil(2) - 1).map(|i| names[(first + i) % founders]);
    let mut faults = Faults {
        victims: victims.map(instance).collect(),
        spent: BTreeSet::new(),
        stopped: Vec::new(),
    };
    let longest_pause = sim.rng.random_range(20..600);
    // Before this, a founder may not have recorded that it is one.
    start.run(SECOND / 5);
    let events = start.sim.rng.random_range(5..80);
    for _ in 0..events {
        faults.inject(&mut start.sim);
        let pause = start.sim.rng.random_range(0..longest_pause);
        start.run(Duration::from_millis(pause));
        faults.restart_due(&mut start.sim);
    }
    start.sim.blocked_links.clear();
    start.sim.conditions = NORMAL_CONDITIONS;
    for (_, name) in std::mem::take(&mut faults.stopped) {
        start.sim.start(&name);
    }
    for host in start.sim.hosts.values_mut() {
        host.frozen_until_ms = 0;
        host.disk_full_until_ms = 0;
    }
    start.accept(3 * FORMATION_TIME, &format!("seed {seed}"));
    start.sim.check_acknowledged();
    let unformed = |name: &&id::Instance| start.sim.node(name).status().role == Role::Unformed;
    let voters = start.sim.membership().voters;
    let alive = voters
        .keys()
        .filter(|n| start.sim.hosts[*n].node.is_some())
        .filter(|n| !faults.spent.contains(*n));
    let left_out: Vec<_> = alive.filter(unformed).collect();
    assert!(left_out.is_empty(), "seed {seed}: {left_out:?} left out");
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 300,
        rng_seed: RngSeed::Fixed(11),
        failure_persistence: None,
        max_shrink_iters: 0,
        ..ProptestConfig::default()
    })]

    #[test]
    fn random_first_starts_form_exactly_one_cluster(seed in any::<u64>()) {
        run_first_start(seed, 3);
        run_first_start(seed, 5);
    }
}

/// Longer than CI allows: `cargo test -p gooseberrylb_control --release --test consensus -- --ignored --nocapture`.
#[test]
#[ignore = "takes minutes; CI plays a few hundred of these histories"]
fn thousands_of_random_first_starts_form_exactly_one_cluster() {
    for seed in 0..5000 {
        if seed % 100 == 0 {
            println!("seed {seed}");
        }
        run_first_start(seed, 3);
        run_first_start(seed, 5);
    }
}
