//! Losses that follow each other as closely as a deployment allows.

use std::time::Duration;

use gooseberrylb_config::id;
use gooseberrylb_config::settings::Silence;
use gooseberrylb_control::repair::Goal;

use crate::simulation::{Simulation, instance};

mod examples;
mod generator;
mod series;

/// Time after its start during which a successor still counts as lost.
const CATCH_UP: Duration = Duration::from_secs(4);

/// Time from a loss until its successor starts.
const REPLACEMENT: Duration = Duration::from_secs(2);

/// Interval between two rounds of the leader's tasks.
const ROUND: Duration = Duration::from_millis(150);

/// Longest time until a change is accepted.
const ACCEPTANCE: Duration = Duration::from_secs(4);

/// Advances time by `time`, in which the leader repairs the membership.
fn run(sim: &mut Simulation, time: Duration) {
    let end = sim.now() + time;
    while sim.now() < end {
        sim.repair();
        sim.run(ROUND.min(end - sim.now()));
    }
}

/// Proposes a command until one is accepted.
fn accept(sim: &mut Simulation, context: &str) {
    let end = sim.now() + ACCEPTANCE;
    loop {
        let number = sim.leader().map(|leader| sim.propose(&leader));
        run(sim, ROUND);
        if number.is_some_and(|number| sim.acknowledged.contains_key(&number)) {
            return;
        }
        assert!(sim.now() < end, "{context}: no command is accepted");
    }
}

#[test]
fn lost_leaders_that_are_replaced_one_by_one_do_not_keep_the_votes_of_a_quorum() {
    for seed in 0..20 {
        let mut sim = Simulation::new(seed, &["a", "b", "c", "d", "e"], 5);
        sim.goal = Goal::every_disk(1, Silence::within(CATCH_UP));
        accept(&mut sim, "at the start");
        for successor in ["f", "g", "h", "i", "j"].map(instance) {
            let lost: id::Instance = sim.leader().unwrap();
            sim.crash(&lost);
            run(&mut sim, REPLACEMENT);
            sim.add_host(&successor);
            run(&mut sim, CATCH_UP);
            accept(
                &mut sim,
                &format!("seed {seed}, {lost} replaced by {successor}"),
            );
        }
        sim.check_acknowledged();
    }
}
