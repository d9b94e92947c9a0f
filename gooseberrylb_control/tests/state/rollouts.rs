//! Rollout orders and the steps of rollouts.

use std::time::Duration;

use gooseberrylb_config::directory::rollout::{Stage, Step};
use gooseberrylb_control::state::{Command, Reply};

use crate::harness::{Harness, at};

/// Maximum duration of the ordered rollouts.
const WINDOW: Duration = Duration::from_secs(12);

/// Orders a rollout of `agronomo` to `release`.
fn order(harness: &mut Harness, release: &str, seconds: u64) -> Reply {
    harness.apply(Command::RollOut {
        service: "agronomo".parse().unwrap(),
        release: release.into(),
        window: WINDOW,
        at: at(seconds),
    })
}

fn step(harness: &mut Harness, number: u32, stage: Stage) -> Reply {
    harness.apply(Command::RolloutStep(Step {
        service: "agronomo".parse().unwrap(),
        number,
        stage,
        reason: "because".into(),
        at: at(20),
    }))
}

/// Returns the release, the stage and the number of steps of the rollout.
fn summary(harness: &Harness) -> (String, Stage, u32) {
    let service = "agronomo".parse().unwrap();
    let rollout = &harness.state.directory().rollouts[&service];
    (rollout.release.to_string(), rollout.stage, rollout.steps)
}

#[test]
fn repeated_order_is_acknowledged_and_changes_nothing() {
    let mut harness = Harness::default();
    assert_eq!(order(&mut harness, "v2", 0), Reply::Applied);
    assert_eq!(step(&mut harness, 1, Stage::Trying), Reply::Applied);
    let revision = harness.state.directory().revision;
    assert_eq!(order(&mut harness, "v2", 3), Reply::Stale);
    assert_eq!(step(&mut harness, 2, Stage::RolledBack), Reply::Applied);
    assert_eq!(order(&mut harness, "v2", 4), Reply::Stale);
    assert_eq!(summary(&harness), ("v2".to_owned(), Stage::RolledBack, 2));
    assert_eq!(harness.state.directory().revision, revision.next());
}

#[test]
fn second_order_is_refused_until_the_first_is_over() {
    let mut harness = Harness::default();
    order(&mut harness, "v2", 0);
    assert_eq!(order(&mut harness, "v3", 1), Reply::Busy);
    assert_eq!(summary(&harness).0, "v2");
    step(&mut harness, 1, Stage::RolledBack);
    assert_eq!(order(&mut harness, "v3", 2), Reply::Applied);
    assert_eq!(summary(&harness), ("v3".to_owned(), Stage::Waiting, 0));
    let service = "agronomo".parse().unwrap();
    let refused = |harness: &Harness| harness.state.directory().rollouts[&service].refused.clone();
    assert_eq!(refused(&harness), ["v2".into()]);
    step(&mut harness, 1, Stage::Completed);
    order(&mut harness, "v2", 60);
    assert_eq!(refused(&harness), []);
}

#[test]
fn rolled_back_release_can_be_ordered_again_later() {
    let mut harness = Harness::default();
    order(&mut harness, "v2", 0);
    step(&mut harness, 1, Stage::RolledBack);
    assert_eq!(order(&mut harness, "v2", 60), Reply::Applied);
    assert_eq!(summary(&harness), ("v2".to_owned(), Stage::Waiting, 0));
}

#[test]
fn only_the_next_step_is_applied_and_none_after_the_end() {
    let mut harness = Harness::default();
    assert_eq!(step(&mut harness, 1, Stage::Trying), Reply::Stale);
    order(&mut harness, "v2", 0);
    assert_eq!(step(&mut harness, 2, Stage::Trying), Reply::Stale);
    assert_eq!(step(&mut harness, 1, Stage::Trying), Reply::Applied);
    assert_eq!(step(&mut harness, 1, Stage::RolledBack), Reply::Stale);
    step(&mut harness, 2, Stage::Completed);
    assert_eq!(step(&mut harness, 3, Stage::RolledBack), Reply::Stale);
    assert_eq!(summary(&harness), ("v2".to_owned(), Stage::Completed, 2));
}

#[test]
fn rollouts_are_audited_and_survive_encoding() {
    let mut harness = Harness::default();
    order(&mut harness, "v2", 0);
    step(&mut harness, 1, Stage::Trying);
    let causes: Vec<String> = harness
        .state
        .audit(0, 10)
        .entries
        .iter()
        .map(|entry| format!("{}: {}", entry.subject, entry.cause))
        .collect();
    assert_eq!(
        causes,
        [
            "rollout of agronomo to v2: ordered, to be over in 12 s",
            "rollout of agronomo to v2: step 1, trying: because",
        ]
    );
    let stored = gooseberrylb_control::state::State::decode(&harness.state.encode()).unwrap();
    assert_eq!(stored, harness.state);
}
