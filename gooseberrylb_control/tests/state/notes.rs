//! Release notes and the steps of their moves.

use gooseberrylb_config::answer::Progress;
use gooseberrylb_config::answer::report::Filter;
use gooseberrylb_config::directory::Share;
use gooseberrylb_config::number::{self, Revision};
use gooseberrylb_control::state::Reply;
use gooseberrylb_policy::moves::Phase;

use crate::harness::{BASE, Harness, MOVE, at, with_move};

#[test]
fn resend_gets_the_original_reply_and_other_content_a_conflict() {
    let mut harness = Harness::default();
    let Reply::Accepted(first) = harness.submit(BASE) else {
        panic!("the note is valid");
    };
    harness.submit(MOVE);
    let revision = harness.state.directory().revision;
    assert_eq!(harness.submit(BASE), Reply::Accepted(first.clone()));
    let other = r#"{ "note": 1, "author": "bianchi" }"#;
    assert_eq!(harness.submit(other), Reply::Conflict(first));
    assert_eq!(harness.state.directory().revision, revision);
    let refused = harness.state.audit(2, 10).entries;
    assert_eq!(refused.len(), 1);
    assert!(refused[0].cause.contains("taken by rossi"));
}

#[test]
fn invalid_note_uses_no_number_and_is_audited() {
    let mut harness = Harness::default();
    assert!(matches!(harness.submit(MOVE), Reply::Invalid(_)));
    assert_eq!(harness.state.directory().revision, Revision(0));
    harness.submit(BASE);
    assert!(matches!(harness.submit(MOVE), Reply::Accepted(_)));
    assert_eq!(harness.state.audit(0, 10).entries.len(), 3);
}

#[test]
fn step_is_applied_only_with_the_next_number() {
    let mut harness = with_move();
    assert_eq!(harness.step(2, Phase::Canary, 100), Reply::Stale);
    assert_eq!(harness.step(1, Phase::Canary, 100), Reply::Applied);
    assert_eq!(harness.step(1, Phase::Canary, 100), Reply::Stale);
    assert_eq!(
        (harness.share("v1"), harness.share("v2")),
        (Share(9_900), Share(100))
    );
    assert_eq!(harness.step(2, Phase::Done, 0), Reply::Applied);
    assert_eq!(
        (harness.share("v1"), harness.share("v2")),
        (Share::NONE, Share::WHOLE)
    );
    let state = |harness: &Harness| {
        harness
            .state
            .note(number::Note(2), Revision(0))
            .unwrap()
            .state
    };
    assert_eq!(state(&harness), Progress::Done);
    assert_eq!(harness.step(3, Phase::Ramping, 100), Reply::Stale);
    assert_eq!(harness.step(3, Phase::Reverted, 0), Reply::Applied);
    assert_eq!(
        (harness.share("v1"), harness.share("v2")),
        (Share::WHOLE, Share::NONE)
    );
    assert_eq!(state(&harness), Progress::Reverted);
    assert_eq!(harness.step(4, Phase::Canary, 100), Reply::Stale);
}

#[test]
fn withdrawing_the_new_version_reverts_its_move() {
    let mut harness = with_move();
    harness.step(1, Phase::Canary, 100);
    let withdraw = r#"{ "note": 3, "author": "r", "withdrawn": { "versions": ["v2"] } }"#;
    assert!(matches!(harness.submit(withdraw), Reply::Accepted(_)));
    assert_eq!(
        (harness.share("v1"), harness.share("v2")),
        (Share::WHOLE, Share::NONE)
    );
    let note = harness.state.note(number::Note(2), Revision(9)).unwrap();
    assert_eq!((note.state, note.in_force), (Progress::Reverted, true));
    assert_eq!(harness.step(2, Phase::Ramping, 5_000), Reply::Stale);
    let resubmitted = MOVE.replace("\"note\": 2", "\"note\": 4");
    assert!(matches!(harness.submit(&resubmitted), Reply::Invalid(_)));
    let moves = harness.state.report(&Filter::new(at(0), at(100))).moves;
    let shares: Vec<_> = moves
        .iter()
        .map(|m| (m.version.as_str(), m.share.0))
        .collect();
    let wanted = [("v1", 10_000), ("v2", 100), ("v1", 10_000), ("v2", 0)];
    assert_eq!(shares, wanted);
}

#[test]
fn changed_deadline_applies_to_the_running_move() {
    let mut harness = with_move();
    let later = "2031-01-01T00:00:00Z";
    let changed = MOVE
        .replace("2030-01-01T00:00:00Z", later)
        .replace("\"note\": 2", "\"note\": 3")
        .replace("added", "changed");
    assert!(matches!(harness.submit(&changed), Reply::Accepted(_)));
    let wanted = gooseberrylb_config::note::time::parse(later).unwrap();
    assert!(harness.state.moves().all(|known| known.move_by == wanted));
    let note = harness.state.note(number::Note(2), Revision(0)).unwrap();
    assert_eq!(note.items[0].move_by, Some(wanted));
    harness.step(1, Phase::Done, 0);
    let resubmitted = changed
        .replace("2031", "2032")
        .replace("\"note\": 3", "\"note\": 4");
    assert!(matches!(harness.submit(&resubmitted), Reply::Invalid(_)));
}

#[test]
fn move_stays_done_after_its_old_version_is_withdrawn() {
    let mut harness = with_move();
    harness.step(1, Phase::Done, 0);
    assert_eq!(harness.state.open_moves().count(), 1);
    let withdraw = r#"{ "note": 3, "author": "r", "withdrawn": { "versions": ["v1"] } }"#;
    assert!(matches!(harness.submit(withdraw), Reply::Accepted(_)));
    assert_eq!(harness.state.open_moves().count(), 0);
    assert_eq!(harness.step(2, Phase::Reverted, 0), Reply::Stale);
    assert_eq!(harness.share("v2"), Share::WHOLE);
}

#[test]
fn numbers_of_evicted_notes_are_not_accepted_again() {
    let mut harness = with_move();
    let note = |number: usize| format!(r#"{{ "note": {number}, "author": "rossi" }}"#);
    let limit = gooseberrylb_control::state::notes::MAX_NOTES;
    for number in 3..=limit + 2 {
        assert!(matches!(harness.submit(&note(number)), Reply::Accepted(_)));
    }
    assert!(matches!(harness.submit(BASE), Reply::Invalid(_)));
    assert!(
        matches!(harness.submit(MOVE), Reply::Accepted(_)),
        "the note is retained while its move is running"
    );
    assert!(matches!(harness.submit(&note(3)), Reply::Invalid(_)));
    assert!(matches!(harness.submit(&note(4)), Reply::Accepted(_)));
    assert_eq!(harness.state.notes(Revision(0)).notes.len(), limit);
}
