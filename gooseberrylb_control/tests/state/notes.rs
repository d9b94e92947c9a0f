//! Notes and the steps of their moves.

use gooseberrylb_config::answer::Progress;
use gooseberrylb_config::answer::report::Filter;
use gooseberrylb_config::directory::Share;
use gooseberrylb_config::number::{self, Revision};
use gooseberrylb_control::state::Reply;
use gooseberrylb_policy::moves::Phase;

use crate::fed::{BASE, Fed, MOVE, at, with_move};

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
    let kept = gooseberrylb_control::state::notes::MAX_NOTES;
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
