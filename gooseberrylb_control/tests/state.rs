//! The control state takes each command once and in order, and answers resends alike.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use gooseberrylb_config::answer::Progress;
use gooseberrylb_config::answer::report::Filter;
use gooseberrylb_config::directory::{Cell, Instance, Share, View};
use gooseberrylb_config::note::Note;
use gooseberrylb_config::number::{self, Index, Revision};
use gooseberrylb_control::entry::{Entry, Payload};
use gooseberrylb_control::membership::{Folder, Membership};
use gooseberrylb_control::state::{Command, Counts, Label, Reply, State, Tally};
use gooseberrylb_policy::moves::{Phase, Step};
use gooseberrylb_policy::request::Outcome;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};

const BASE: &str = r#"{ "note": 1, "author": "rossi", "added": {
    "services": [{ "name": "s", "kind": "engine", "routes": [
        { "name": "r", "tier": 1, "repeatable": true }] }],
    "upstreams": [{ "name": "u1", "service": "s", "kind": "engine", "address": "127.0.0.1:1",
        "data_centre": "d", "slots": 1 }],
    "versions": [{ "name": "v1", "service": "s", "upstreams": ["u1"] }] } }"#;

const MOVE: &str = r#"{ "note": 2, "author": "rossi", "added": { "versions": [
    { "name": "v2", "service": "s", "upstreams": ["u1"], "replaces": "v1",
      "move_by": "2030-01-01T00:00:00Z" }] } }"#;

const MINUTE: u64 = 60;

fn at(seconds: u64) -> SystemTime {
    UNIX_EPOCH + Duration::from_secs(1_790_000_000 / MINUTE * MINUTE + seconds)
}

/// A state that is fed commands one after the other.
#[derive(Default, Clone)]
struct Fed {
    state: State,
    index: Index,
}

impl Fed {
    fn apply(&mut self, command: Command) -> Reply {
        self.index = self.index.next();
        let command = Command::decode(&command.encode()).unwrap();
        self.state.apply(self.index, &command)
    }

    fn submit(&mut self, text: &str) -> Reply {
        let note = Box::new(Note::parse(text).unwrap_or_else(|f| panic!("{f}")));
        let via = "i1".parse().unwrap();
        let at = at(self.index.0);
        self.apply(Command::Submit { note, via, at })
    }

    fn step(&mut self, number: u32, phase: Phase, share: u16) -> Reply {
        self.apply(Command::Step(Step {
            version: "v2".parse().unwrap(),
            number,
            phase,
            share: Share(share),
            reason: Arc::from("because"),
            at: at(self.index.0),
        }))
    }

    fn join(&mut self, incarnation: u64, seconds: u64) -> Reply {
        let address = "127.0.0.1:7001".parse().unwrap();
        let instance = Instance {
            data_centre: "d".parse().unwrap(),
            region: "r".parse().unwrap(),
            callers: address,
            operators: address,
            peers: address,
            leaving: false,
        };
        self.apply(Command::Join {
            name: "i1".parse().unwrap(),
            instance,
            incarnation,
            at: at(seconds),
        })
    }

    fn leave(&mut self, incarnation: u64, draining: bool, seconds: u64) -> Reply {
        self.apply(Command::Leave {
            name: "i1".parse().unwrap(),
            incarnation,
            draining,
            cause: Arc::from("silent"),
            at: at(seconds),
        })
    }

    fn tally(&mut self, incarnation: u64, number: u64, window: (u64, u64), last: bool) -> Reply {
        let label = Label {
            account: "a".parse().unwrap(),
            tier: number::Tier(1),
            service: "s".parse().unwrap(),
            version: None,
            outcome: Outcome::Served,
            refused: false,
        };
        let counts = Counts {
            requests: 1,
            ..Counts::default()
        };
        self.apply(Command::Tally(Tally {
            instance: "i1".parse().unwrap(),
            incarnation,
            number,
            from: at(window.0),
            to: at(window.1),
            last,
            rows: vec![(label, counts)],
        }))
    }

    fn view(&mut self, number: u64) -> Reply {
        let view = View {
            number: number::View(number),
            scheduler: "i1".parse().unwrap(),
            backups: Vec::new(),
        };
        let cause = Arc::from("because");
        let at = at(self.index.0);
        let cell = cell();
        self.apply(Command::View {
            cell,
            view,
            cause,
            at,
        })
    }

    fn share(&self, version: &str) -> Share {
        self.state.directory().share(&version.parse().unwrap())
    }

    fn served(&self) -> u64 {
        let report = self.state.report(&Filter::new(at(0), at(100_000)));
        report.rows.iter().map(|row| row.served).sum()
    }

    /// The bounds of the gaps, in seconds from the first time.
    fn gaps(&self) -> Vec<(u64, Option<u64>)> {
        let since = |time: SystemTime| time.duration_since(at(0)).unwrap().as_secs();
        let report = self.state.report(&Filter::new(at(0), at(100_000)));
        let bounds =
            |gap: &gooseberrylb_config::answer::report::Gap| (since(gap.from), gap.to.map(since));
        report.gaps.iter().map(bounds).collect()
    }
}

fn cell() -> Cell {
    Cell {
        service: "s".parse().unwrap(),
        region: "r".parse().unwrap(),
    }
}

fn with_move() -> Fed {
    let mut fed = Fed::default();
    assert!(matches!(fed.submit(BASE), Reply::Accepted(_)));
    assert!(matches!(fed.submit(MOVE), Reply::Accepted(_)));
    fed
}

#[test]
fn a_resend_gets_the_first_answer_and_other_content_a_conflict() {
    let mut fed = Fed::default();
    let Reply::Accepted(first) = fed.submit(BASE) else {
        panic!("the note is valid");
    };
    fed.submit(MOVE);
    let revision = fed.state.directory().revision;
    assert_eq!(fed.submit(BASE), Reply::Accepted(first.clone()));
    let other = r#"{ "note": 1, "author": "bianchi" }"#;
    assert_eq!(fed.submit(other), Reply::Conflict(first));
    assert_eq!(fed.state.directory().revision, revision);
    let refused = fed.state.audit(2, 10).entries;
    assert_eq!(refused.len(), 1);
    assert!(refused[0].cause.contains("taken by rossi"));
}

#[test]
fn an_invalid_note_takes_no_number_and_stands_in_the_audit_trail() {
    let mut fed = Fed::default();
    assert!(matches!(fed.submit(MOVE), Reply::Invalid(_)));
    assert_eq!(fed.state.directory().revision, Revision(0));
    fed.submit(BASE);
    assert!(matches!(fed.submit(MOVE), Reply::Accepted(_)));
    assert_eq!(fed.state.audit(0, 10).entries.len(), 3);
}

#[test]
fn a_step_is_taken_only_as_the_next_one() {
    let mut fed = with_move();
    assert_eq!(fed.step(2, Phase::Canary, 100), Reply::Stale);
    assert_eq!(fed.step(1, Phase::Canary, 100), Reply::Applied);
    assert_eq!(fed.step(1, Phase::Canary, 100), Reply::Stale);
    assert_eq!(
        (fed.share("v1"), fed.share("v2")),
        (Share(9_900), Share(100))
    );
    assert_eq!(fed.step(2, Phase::Done, 0), Reply::Applied);
    assert_eq!(
        (fed.share("v1"), fed.share("v2")),
        (Share::NONE, Share::WHOLE)
    );
    let state = |fed: &Fed| fed.state.note(number::Note(2), Revision(0)).unwrap().state;
    assert_eq!(state(&fed), Progress::Done);
    assert_eq!(fed.step(3, Phase::Ramping, 100), Reply::Stale);
    assert_eq!(fed.step(3, Phase::Reverted, 0), Reply::Applied);
    assert_eq!(
        (fed.share("v1"), fed.share("v2")),
        (Share::WHOLE, Share::NONE)
    );
    assert_eq!(state(&fed), Progress::Reverted);
    assert_eq!(fed.step(4, Phase::Canary, 100), Reply::Stale);
}

#[test]
fn a_note_that_withdraws_the_new_version_reverts_its_move() {
    let mut fed = with_move();
    fed.step(1, Phase::Canary, 100);
    let withdraw = r#"{ "note": 3, "author": "r", "withdrawn": { "versions": ["v2"] } }"#;
    assert!(matches!(fed.submit(withdraw), Reply::Accepted(_)));
    assert_eq!(
        (fed.share("v1"), fed.share("v2")),
        (Share::WHOLE, Share::NONE)
    );
    let note = fed.state.note(number::Note(2), Revision(9)).unwrap();
    assert_eq!((note.state, note.in_force), (Progress::Reverted, true));
    assert_eq!(fed.step(2, Phase::Ramping, 5_000), Reply::Stale);
    let again = MOVE.replace("\"note\": 2", "\"note\": 4");
    assert!(matches!(fed.submit(&again), Reply::Invalid(_)));
    let moves = fed.state.report(&Filter::new(at(0), at(100))).moves;
    let shares: Vec<_> = moves
        .iter()
        .map(|m| (m.version.as_str(), m.share.0))
        .collect();
    let wanted = [("v1", 10_000), ("v2", 100), ("v1", 10_000), ("v2", 0)];
    assert_eq!(shares, wanted);
}

#[test]
fn views_follow_each_other_even_when_their_service_was_away() {
    let mut fed = Fed::default();
    assert_eq!(fed.view(1), Reply::Stale);
    fed.submit(BASE);
    assert_eq!(fed.view(2), Reply::Stale);
    assert_eq!(fed.view(1), Reply::Applied);
    assert_eq!(fed.view(1), Reply::Stale);
    let away = r#"{ "note": 2, "author": "r", "withdrawn": { "services": ["s"],
        "upstreams": ["u1"], "versions": ["v1"] } }"#;
    assert!(matches!(fed.submit(away), Reply::Accepted(_)));
    let again = BASE.replace("\"note\": 1", "\"note\": 3");
    assert!(matches!(fed.submit(&again), Reply::Accepted(_)));
    assert_eq!(fed.state.next_view(&cell()), number::View(2));
    assert_eq!(fed.view(1), Reply::Stale);
}

#[test]
fn an_earlier_incarnation_neither_joins_nor_leaves() {
    let mut fed = Fed::default();
    assert_eq!(fed.join(5, 0), Reply::Applied);
    assert_eq!(fed.join(4, 1), Reply::Stale);
    assert_eq!(fed.leave(4, false, 1), Reply::Stale);
    let revision = fed.state.directory().revision;
    assert_eq!(fed.join(5, 2), Reply::Applied);
    assert_eq!(fed.state.directory().revision, revision);
    assert_eq!(fed.leave(5, true, 3), Reply::Applied);
    assert!(fed.state.directory().instances.values().all(|i| i.leaving));
    assert_eq!(fed.leave(5, false, 4), Reply::Applied);
    assert!(fed.state.directory().instances.is_empty());
}

#[test]
fn a_tally_is_merged_once_and_what_died_with_a_process_is_a_gap() {
    let mut fed = Fed::default();
    fed.join(1, 0);
    assert_eq!(fed.tally(1, 1, (0, 10), false), Reply::Applied);
    assert_eq!(fed.tally(1, 1, (0, 10), false), Reply::Stale);
    assert_eq!((fed.served(), fed.gaps()), (1, vec![]));
    fed.leave(1, false, 40);
    assert_eq!(fed.gaps(), [(10, None)]);
    fed.join(2, 70);
    assert_eq!(fed.gaps(), [(10, Some(70))]);
    assert_eq!(fed.tally(1, 2, (10, 20), false), Reply::Stale);
    assert_eq!(fed.tally(2, 1, (70, 80), false), Reply::Applied);
    assert_eq!(fed.tally(2, 3, (90, 100), true), Reply::Applied);
    assert_eq!(fed.gaps(), [(10, Some(70)), (80, Some(90))]);
    fed.leave(2, false, 110);
    fed.join(3, 200);
    assert_eq!((fed.served(), fed.gaps().len()), (3, 2));
}

#[test]
fn a_process_that_was_thought_dead_and_goes_on_leaves_no_gap() {
    let mut fed = Fed::default();
    fed.join(1, 0);
    fed.tally(1, 1, (0, 10), false);
    fed.leave(1, false, 40);
    fed.join(1, 50);
    assert_eq!(fed.gaps(), [(10, None)]);
    fed.tally(1, 2, (10, 60), false);
    assert_eq!((fed.served(), fed.gaps()), (2, vec![]));
}

#[test]
fn old_minutes_become_hours_and_no_count_is_lost_by_it() {
    let mut fed = Fed::default();
    fed.join(1, 0);
    let minutes = 1_500;
    for n in 0..minutes {
        fed.tally(1, n + 1, (n * MINUTE, (n + 1) * MINUTE), false);
    }
    assert_eq!(fed.served(), minutes);
    let decoded = State::decode(&fed.state.encode()).unwrap();
    assert_eq!(decoded, fed.state);
}

#[test]
fn a_state_of_a_later_release_is_refused() {
    let text = String::from_utf8(State::new().encode()).unwrap();
    let later = text.replace("\"format\":1", "\"format\":2");
    assert!(State::decode(later.as_bytes()).is_err());
    assert!(State::decode(b"{").is_err());
}

#[test]
fn membership_changes_stand_in_the_audit_trail_with_the_time_of_the_next_command() {
    let mut fed = Fed::default();
    for n in 1..=2 {
        let folder = Folder(u64::MAX - n);
        let membership = Membership {
            voters: BTreeMap::from([(format!("i{n}").parse().unwrap(), folder)]),
            learners: BTreeMap::new(),
        };
        fed.index = fed.index.next();
        let entry = Entry {
            index: fed.index,
            term: number::Term(1),
            payload: Payload::Membership(membership),
        };
        assert_eq!(fed.state.apply_entry(&entry).unwrap(), None);
        fed.state = State::decode(&fed.state.encode()).unwrap();
    }
    fed.join(1, 70);
    let entries = fed.state.audit(0, 10).entries;
    let causes: Vec<_> = entries.iter().map(|entry| &*entry.cause).collect();
    let voters = ["voters [i1], catching up []", "voters [i2], catching up []"];
    assert_eq!(causes[..2], voters);
    assert!(entries.iter().all(|entry| entry.at == at(70)));
}

#[test]
fn the_rows_of_a_tally_survive_the_log() {
    let labels = [
        ("a", 1, None, Outcome::NotRun, true),
        ("a", 2, Some("v1"), Outcome::Served, false),
        ("b", 2, Some("v2"), Outcome::Unknown, false),
        ("b", 4, Some("v1"), Outcome::NotRun, false),
    ];
    let rows = labels
        .iter()
        .map(|(account, tier, version, outcome, refused)| {
            let label = Label {
                account: account.parse().unwrap(),
                tier: number::Tier(*tier),
                service: "s".parse().unwrap(),
                version: version.map(|version| version.parse().unwrap()),
                outcome: *outcome,
                refused: *refused,
            };
            let counts = Counts {
                requests: 1,
                prompt_tokens: 2,
                output_tokens: 3,
                wasted_tokens: 4,
            };
            (label, counts)
        });
    let command = Command::Tally(Tally {
        instance: "i1".parse().unwrap(),
        incarnation: 1,
        number: 1,
        from: at(0),
        to: at(1),
        last: false,
        rows: rows.collect(),
    });
    let bytes = command.encode();
    assert_eq!(Command::decode(&bytes).unwrap(), command);
    let text = String::from_utf8(bytes).unwrap();
    let astray = text.replace("[\"a\",\"b\"]", "[\"a\"]");
    assert!(Command::decode(astray.as_bytes()).is_err());
}

#[test]
fn a_changed_deadline_is_that_of_the_running_move() {
    let mut fed = with_move();
    let later = "2031-01-01T00:00:00Z";
    let changed = MOVE
        .replace("2030-01-01T00:00:00Z", later)
        .replace("\"note\": 2", "\"note\": 3")
        .replace("added", "changed");
    assert!(matches!(fed.submit(&changed), Reply::Accepted(_)));
    let wanted = gooseberrylb_config::note::time::parse(later).unwrap();
    assert!(fed.state.moves().all(|known| known.move_by == wanted));
    let note = fed.state.note(number::Note(2), Revision(0)).unwrap();
    assert_eq!(note.items[0].move_by, Some(wanted));
    fed.step(1, Phase::Done, 0);
    let again = changed
        .replace("2031", "2032")
        .replace("\"note\": 3", "\"note\": 4");
    assert!(matches!(fed.submit(&again), Reply::Invalid(_)));
}

#[test]
fn a_move_whose_old_version_was_withdrawn_stays_done() {
    let mut fed = with_move();
    fed.step(1, Phase::Done, 0);
    assert_eq!(fed.state.open_moves().count(), 1);
    let withdraw = r#"{ "note": 3, "author": "r", "withdrawn": { "versions": ["v1"] } }"#;
    assert!(matches!(fed.submit(withdraw), Reply::Accepted(_)));
    assert_eq!(fed.state.open_moves().count(), 0);
    assert_eq!(fed.step(2, Phase::Reverted, 0), Reply::Stale);
    assert_eq!(fed.share("v2"), Share::WHOLE);
}

#[test]
fn numbers_of_forgotten_notes_are_never_accepted_again() {
    let mut fed = with_move();
    let note = |number: usize| format!(r#"{{ "note": {number}, "author": "rossi" }}"#);
    let kept = gooseberrylb_control::state::notes::KEPT_NOTES;
    for number in 3..=kept + 2 {
        assert!(matches!(fed.submit(&note(number)), Reply::Accepted(_)));
    }
    assert!(matches!(fed.submit(BASE), Reply::Invalid(_)));
    assert!(
        matches!(fed.submit(MOVE), Reply::Accepted(_)),
        "its move is under way"
    );
    assert!(matches!(fed.submit(&note(3)), Reply::Invalid(_)));
    assert!(matches!(fed.submit(&note(4)), Reply::Accepted(_)));
    assert_eq!(fed.state.notes(Revision(0)).notes.len(), kept);
}

/// A state that holds something of each kind.
fn full() -> Fed {
    let mut fed = with_move();
    fed.join(1, 0);
    fed.view(1);
    fed.tally(1, 1, (0, 10), false);
    fed.tally(1, 3, (20, 30), false);
    fed.step(1, Phase::Canary, 100);
    let leader = "i1".parse().unwrap();
    let term = number::Term(2);
    fed.apply(Command::Lead {
        leader,
        term,
        at: at(40),
    });
    fed
}

#[test]
fn a_state_that_an_earlier_release_wrote_is_read() {
    let stored = include_bytes!("data/state-format-1.json");
    let state = State::decode(stored).unwrap();
    assert_eq!(state, full().state);
}

proptest! {
    #![proptest_config(Config {
        rng_seed: RngSeed::Fixed(11),
        failure_persistence: None,
        ..Config::default()
    })]

    #[test]
    fn every_request_is_in_the_report_or_in_a_gap(
        seconds in prop::collection::vec(0..10u8, 1..120)
    ) {
        let mut fed = Fed::default();
        let (mut incarnation, mut number, mut from) = (1, 0, 0);
        let mut lost = Vec::new();
        let mut pending: Option<(u64, u64, (u64, u64))> = None;
        fed.join(incarnation, 0);
        for (second, fate) in (1..).zip(seconds) {
            number += 1;
            let window = (from, second);
            match fate {
                // The process dies with what it counted, and another one starts.
                0 => {
                    lost.push(window);
                    incarnation += 1;
                    number = 0;
                    fed.join(incarnation, second);
                }
                // The tally is lost for good.
                1 => lost.push(window),
                // The tally comes twice, the second time late.
                2 | 3 => {
                    fed.tally(incarnation, number, window, false);
                    pending = Some((incarnation, number, window));
                }
                _ => {
                    fed.tally(incarnation, number, window, false);
                    if let Some((earlier, number, window)) = pending.take() {
                        fed.tally(earlier, number, window, false);
                    }
                }
            }
            from = second;
        }
        fed.leave(incarnation, false, from);
        let total = from - lost.len() as u64;
        prop_assert_eq!(fed.served(), total);
        let gaps = fed.gaps();
        for (from, to) in &lost {
            let covers = |gap: &&(u64, Option<u64>)| {
                gap.0 <= *from && gap.1.is_none_or(|end| end >= *to)
            };
            prop_assert!(gaps.iter().any(|gap| covers(&gap)), "{from} to {to}: {gaps:?}");
        }
    }

    #[test]
    fn the_revision_never_falls_and_a_decoded_state_goes_on_alike(
        kinds in prop::collection::vec((0..9u8, 1..5u32), 1..60)
    ) {
        let mut fed = Fed::default();
        for (kind, n) in kinds {
            let before = fed.clone();
            let mut other = Fed {
                state: State::decode(&fed.state.encode()).unwrap(),
                index: fed.index,
            };
            let command = |fed: &mut Fed| match kind {
                0 => fed.submit(BASE),
                1 => fed.submit(MOVE),
                2 => fed.step(n, Phase::Ramping, n as u16 * 1_000),
                3 => fed.step(n, Phase::Reverted, 0),
                4 => fed.join(u64::from(n), fed.index.0),
                5 => fed.leave(u64::from(n), n == 1, fed.index.0),
                6 => fed.view(u64::from(n)),
                7 => fed.tally(u64::from(n), u64::from(n), (1, 2), false),
                _ => fed.submit(r#"{ "note": 3, "author": "r", "withdrawn": { "versions": ["v2"] } }"#),
            };
            let reply = command(&mut fed);
            prop_assert_eq!(&reply, &command(&mut other));
            prop_assert_eq!(&fed.state, &other.state);
            let (old, new) = (before.state.directory(), fed.state.directory());
            let mut unnumbered = new.clone();
            unnumbered.revision = old.revision;
            let raised = new.revision.0 - old.revision.0;
            prop_assert!(raised <= 1);
            prop_assert_eq!(raised == 0, unnumbered == *old);
            if reply == Reply::Stale {
                prop_assert_eq!(raised, 0);
            }
        }
    }
}
