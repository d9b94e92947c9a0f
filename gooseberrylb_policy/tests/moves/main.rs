//! Moves between versions, replayed from the traces at the root of the repository.

mod replay;
mod trace;

use std::collections::BTreeMap;
use std::time::Duration;

use gooseberrylb_config::directory::Share;
use gooseberrylb_policy::moves::controller::Controller;
use gooseberrylb_policy::moves::evidence::Evidence;
use gooseberrylb_policy::moves::plan::Schedule;
use gooseberrylb_policy::moves::{Phase, weights};

use crate::replay::{Replay, Run, directory, new_version};
use crate::trace::{Outcome, Trace};

/// Number of seeds with which each trace is replayed.
const SEEDS: u64 = 50;
/// Number of harmed requests that is always allowed; beyond it, 1% of the requests may be harmed.
const MIN_HARM_BOUND: u64 = 20;
/// Maximum time from the proof that a version is bad to the last request sent to it, in seconds.
const MAX_STOP_DELAY_S: f64 = 2.0;

/// Whether a run ended with the outcome and reason that its trace expects, and in time.
fn matches_expected(trace: &Trace, run: &Run) -> bool {
    let phase = match trace.expected.outcome {
        Outcome::Done => Phase::Done,
        Outcome::Reverted => Phase::Reverted,
    };
    run.phase == phase
        && run.ended <= trace.expected.by_s
        && run.reason.contains(&trace.expected.reason)
}

fn check_trace(name: &str) {
    let trace = Trace::read(name);
    let runs: Vec<Run> = (0..SEEDS)
        .map(|seed| Replay::new(&trace, seed).finish())
        .collect();
    let unexpected: Vec<&Run> = runs
        .iter()
        .filter(|run| !matches_expected(&trace, run))
        .collect();
    let stops = runs
        .iter()
        .filter_map(|run| run.tripped.map(|at| (run.last_sent - at).max(0.0)));
    let slowest_stop: f64 = stops.fold(0.0, f64::max);
    let most_harmed = runs.iter().map(|run| run.harmed).max().unwrap_or(0);
    let mut ended: Vec<f64> = runs.iter().map(|run| run.ended).collect();
    ended.sort_by(f64::total_cmp);
    println!(
        "{name}: {} of {SEEDS} as expected; ended at {:.1} s (median), {:.1} s (last); \
         most harmed {most_harmed}; slowest stop {slowest_stop:.2} s; e.g. {}",
        runs.len() - unexpected.len(),
        ended[ended.len() / 2],
        ended[ended.len() - 1],
        runs[0].reason,
    );
    for run in &runs {
        let decided = matches!(run.phase_at_deadline, Phase::Done | Phase::Reverted);
        assert!(decided, "{name}: pending at the deadline: {run:?}");
        if trace.expected.bounded_harm {
            let bound = (run.requests_to_end / 100).max(MIN_HARM_BOUND);
            assert!(run.harmed <= bound, "{name}: harmed {} {run:?}", run.harmed);
        }
    }
    assert!(slowest_stop <= MAX_STOP_DELAY_S, "{name}: {slowest_stop} s");
    assert!(
        unexpected.is_empty(),
        "{name}: {:?}",
        unexpected
            .iter()
            .map(|run| (run.phase, run.ended, &run.reason))
            .collect::<Vec<_>>()
    );
}

#[test]
fn good_version_completes_on_time() {
    check_trace("good");
}

#[test]
fn good_version_with_weights_completes_on_time() {
    check_trace("good-with-weights");
}

#[test]
fn version_bad_at_once_is_reverted() {
    check_trace("bad-at-once");
}

#[test]
fn version_bad_at_once_in_two_regions_is_reverted() {
    check_trace("bad-at-once-in-two-regions");
}

#[test]
fn version_slow_at_once_is_reverted() {
    check_trace("slow-at-once");
}

#[test]
fn version_bad_late_is_reverted() {
    check_trace("bad-late");
}

#[test]
fn version_slow_late_is_reverted() {
    check_trace("slow-late");
}

#[test]
fn version_bad_under_load_is_reverted() {
    check_trace("bad-under-load");
}

#[test]
fn version_bad_on_one_route_is_reverted() {
    check_trace("bad-on-one-route");
}

#[test]
fn version_bad_in_one_data_centre_is_reverted() {
    check_trace("bad-in-one-data-centre");
}

#[test]
fn general_slowdown_is_not_blamed_on_a_good_version() {
    check_trace("general-slowdown");
}

#[test]
fn good_version_on_unlike_engines_completes_on_time() {
    check_trace("good-on-unlike-engines");
}

#[test]
fn version_slow_on_unlike_engines_is_reverted() {
    check_trace("slow-on-unlike-engines");
}

#[test]
fn too_little_traffic_is_reverted() {
    check_trace("little-traffic");
}

#[test]
fn completed_move_reports_little_evidence() {
    check_trace("little-traffic-but-enough");
}

#[test]
fn deadline_too_short_is_reverted_at_once() {
    check_trace("deadline-too-short");
}

#[test]
fn version_slow_at_once_in_two_regions_is_reverted() {
    check_trace("slow-at-once-in-two-regions");
}

#[test]
fn crash_of_one_engine_is_not_blamed_on_a_good_version() {
    check_trace("engine-crash");
}

#[test]
fn new_leader_continues_the_move() {
    for name in ["good", "bad-at-once", "bad-under-load", "bad-late"] {
        let trace = Trace::read(name);
        for (seed, at) in [(1, 2), (2, 8), (3, 60), (4, 107), (5, 189), (6, 212)] {
            let mut replay = Replay::new(&trace, seed);
            replay.run_until(Duration::from_secs(at));
            replay.change_leader();
            let run = replay.finish();
            assert!(matches_expected(&trace, &run), "{name}, {at} s: {run:?}");
            let numbers: Vec<u32> = run.steps.iter().map(|step| step.number).collect();
            let expected: Vec<u32> = (1..=numbers.len() as u32).collect();
            assert_eq!(numbers, expected, "{name}, {at} s");
        }
    }
}

#[test]
fn new_leader_does_not_raise_the_share_without_evidence() {
    let trace = Trace::read("good");
    let mut replay = Replay::new(&trace, 1);
    replay.run_until(Duration::from_secs(60));
    let share = replay.current_move().share;
    let decide = |evidence: &Evidence| {
        let wall = replay.current_move().since + Duration::from_secs(60);
        let moves = BTreeMap::from([(new_version(), replay.current_move().clone())]);
        let weights = weights::State::default();
        Controller::new().decide(wall, &moves, &directory(&trace), evidence, &weights)
    };
    assert!(share > Share::NONE);
    assert_eq!(decide(&Evidence::new()), Vec::new());
}

#[test]
fn new_scheduler_still_detects_a_bad_version() {
    for (name, at) in [
        ("bad-at-once", 6),
        ("bad-under-load", 100),
        ("bad-late", 200),
    ] {
        let trace = Trace::read(name);
        for seed in 0..5 {
            let mut replay = Replay::new(&trace, seed);
            replay.run_until(Duration::from_secs(at));
            replay.change_scheduler(0);
            let run = replay.finish();
            assert!(matches_expected(&trace, &run), "{name}, {at} s: {run:?}");
        }
    }
}

#[test]
fn version_is_not_stopped_after_the_watch_period() {
    let trace = Trace::read("bad-late");
    let schedule = Schedule {
        watch: Duration::from_secs(15),
        watch_grace: Duration::from_secs(5),
        ..Schedule::default()
    };
    let run = Replay::new(&trace, 1).with_schedule(schedule).finish();
    assert_eq!((run.phase, run.tripped), (Phase::Done, None));
}
