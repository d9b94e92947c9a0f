use std::collections::HashMap;

use super::*;
use crate::soak::wire::Message;

/// Entry of all probes.
const ENTRY: u8 = FIRST_ENTRY_HOST;

/// Records of a made-up run, with times in milliseconds since its start.
struct Run {
    start: Instant,
    probes: HashMap<String, Probe>,
    executions: Vec<Execution>,
    declarations: Vec<Declaration>,
    core_disruptions: Vec<CoreDisruption>,
    starts: Vec<(u8, Instant)>,
}

impl Run {
    /// Versions 1 to 3, confirmed at 0, 1 and 10 s: version 2 adds a route, moves one, removes the key and
    /// shortens a limit, and version 3 has the contents of version 1 again.
    fn new() -> Self {
        let mut run = Self {
            start: Instant::now() + Duration::from_secs(60),
            probes: HashMap::new(),
            executions: Vec::new(),
            declarations: Vec::new(),
            core_disruptions: Vec::new(),
            starts: Vec::new(),
        };
        let first = Content {
            has_revocable_key: true,
            added: None,
            moved_to: 0,
            slow_limit_ms: 1_600,
        };
        let second = Content {
            has_revocable_key: false,
            added: Some(2),
            moved_to: 1,
            slow_limit_ms: 500,
        };
        run.declare(1, first.clone(), 0);
        run.declare(2, second, 1_000);
        run.declare(3, first, 10_000);
        run
    }

    fn at(&self, ms: u64) -> Instant {
        self.start + Duration::from_millis(ms)
    }

    fn declare(&mut self, version: u64, content: Content, ms: u64) {
        self.declarations.push(Declaration {
            version,
            text: String::new(),
            content,
            sent_at: self.at(ms),
            acknowledged_at: Some(self.at(ms)),
        });
    }

    fn send(&mut self, target: Target, ms: u64, answer: Option<(u16, u64)>) -> String {
        let attempt = format!("a{}", self.probes.len());
        let probe = Probe {
            entry: ENTRY,
            target,
            sent_at: self.at(ms),
            answer: answer.map(|(status, ms)| (status, self.at(ms))),
        };
        self.probes.insert(attempt.clone(), probe);
        attempt
    }

    fn execute(&mut self, target: Target, ms: u64, service: &'static str) {
        let attempt = self.send(target, ms, None);
        let mut execution = Execution::new(&Message::default(), &attempt, service);
        execution.started_at = self.at(ms);
        self.executions.push(execution);
    }

    fn check(&self) -> Vec<String> {
        let evidence = Evidence {
            probes: &self.probes,
            executions: &self.executions,
            declarations: &self.declarations,
            disruptions: &[],
            cuts: &[],
            core_disruptions: &self.core_disruptions,
            starts: &self.starts,
        };
        evidence.check()
    }
}

#[test]
fn requests_handled_by_an_old_version_are_found() {
    let cases = [
        (Target::Moved, Effect::RunBy(PROBED_SERVICES[0])),
        (Target::Added(2), Effect::NoRoute),
        (Target::RevocableKey, Effect::RunBy(PROBED_SERVICES[0])),
        (Target::Steady, Effect::NoRoute),
        (Target::Steady, Effect::KeyRefused),
    ];
    for (target, effect) in cases {
        // In time for version 1, and later than the bound.
        for (ms, is_late) in [(2_900, false), (3_100, true)] {
            let mut run = Run::new();
            match effect {
                Effect::RunBy(service) => run.execute(target.clone(), ms, service),
                Effect::NoRoute => drop(run.send(target.clone(), ms, Some((404, ms)))),
                Effect::KeyRefused => drop(run.send(target.clone(), ms, Some((401, ms)))),
            }
            let is_always_wrong = target == Target::Steady;
            let is_found = !run.check().is_empty();
            assert_eq!(is_found, is_late || is_always_wrong, "{target:?} {ms}");
        }
    }
}

#[test]
fn requests_on_a_removed_route_are_found() {
    let mut run = Run::new();
    run.execute(Target::Added(2), 12_100, PROBED_SERVICES[0]);
    assert_eq!(run.check().len(), 1);
}

#[test]
fn disturbed_keepers_excuse_an_old_version_for_the_contact_time_only() {
    for (ms, is_excused) in [(5_900, true), (6_100, false)] {
        let mut run = Run::new();
        let (start, end) = (run.at(2_000), run.at(3_000));
        run.core_disruptions.push(CoreDisruption { start, end });
        run.execute(Target::Moved, ms, PROBED_SERVICES[0]);
        assert_eq!(run.check().is_empty(), is_excused, "{ms}");
    }
}

#[test]
fn a_process_that_goes_back_to_an_old_version_is_found() {
    for (started_at, is_found) in [(None, true), (Some(1_600), false)] {
        let mut run = Run::new();
        run.starts
            .extend(started_at.map(|ms| (ENTRY, run.start + Duration::from_millis(ms))));
        run.execute(Target::Added(2), 1_500, PROBED_SERVICES[0]);
        run.execute(Target::Moved, 1_700, PROBED_SERVICES[0]);
        assert!(run.check().is_empty());
        run.execute(Target::Moved, 1_800, PROBED_SERVICES[0]);
        assert_eq!(!run.check().is_empty(), is_found);
    }
}

#[test]
fn executions_on_routes_that_are_not_valid_are_found() {
    let mut run = Run::new();
    run.execute(Target::Forged(7), 500, PROBED_SERVICES[0]);
    assert_eq!(run.check().len(), 1);
}

#[test]
fn added_routes_that_are_rarely_served_are_found() {
    for (status, is_found) in [(503, true), (200, false)] {
        let mut run = Run::new();
        for i in 0..20 {
            run.send(Target::Steady, 4_000 + i, Some((200, 4_100 + i)));
            run.send(Target::Added(2), 4_000 + i, Some((status, 4_100 + i)));
        }
        assert_eq!(!run.check().is_empty(), is_found);
    }
}

#[test]
fn requests_held_beyond_the_limit_of_their_route_are_found() {
    for (answered_at, is_found) in [(4_900, false), (5_100, true)] {
        let mut run = Run::new();
        for _ in 0..MIN_LATE {
            run.send(Target::Slow, 4_000, Some((504, answered_at)));
        }
        assert_eq!(!run.check().is_empty(), is_found);
    }
}
