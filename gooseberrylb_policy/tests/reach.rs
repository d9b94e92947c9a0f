//! Plays of an entry that has to tell failing upstreams from a cut of its own links.

use std::time::{Duration, Instant};

use gooseberrylb_config::id;
use gooseberrylb_policy::reach::{Reach, Symptom, Verdict};
use rand::SeedableRng;
use rand::seq::SliceRandom;
use rand_chacha::ChaCha8Rng;

const MS: Duration = Duration::from_millis(1);

fn upstream(number: u32) -> id::Upstream {
    format!("i-{number}").parse().unwrap()
}

#[test]
fn upstreams_that_fail_while_another_is_reached_are_at_fault() {
    let start = Instant::now();
    let mut reach = Reach::default();
    for number in 0..5 {
        reach.record_failure(&upstream(number), start);
    }
    assert_eq!(reach.verdict(Symptom::Lost, start), Verdict::Unknown);
    // One that is established tells that others refuse by themselves, and once it works, that others
    // end connections by themselves.
    reach.record_established(start + MS);
    assert_eq!(reach.verdict(Symptom::Unreached, start), Verdict::Upstream);
    assert_eq!(reach.verdict(Symptom::Lost, start), Verdict::Unknown);
    reach.record_worked(start + MS, start + 3 * MS);
    assert_eq!(reach.verdict(Symptom::Lost, start), Verdict::Upstream);
    assert!(!reach.is_cut());
    // A connection from before a failure says nothing of it.
    for symptom in [Symptom::Unreached, Symptom::Lost, Symptom::Silent] {
        let verdict = reach.verdict(symptom, start + 2 * MS);
        assert_eq!(verdict, Verdict::Unknown);
    }
}

#[test]
fn rounds_of_failed_connections_show_a_cut_until_one_works() {
    let start = Instant::now();
    let mut reach = Reach::default();
    for number in 0..10 {
        reach.record_failure(&upstream(number), start);
    }
    assert!(!reach.is_cut(), "failed requests alone show no cut");
    assert!(!reach.record_failed_round(start + 2 * MS));
    assert!(!reach.record_failed_round(start + 4 * MS));
    assert!(reach.record_failed_round(start + 6 * MS));
    assert!(!reach.record_failed_round(start + 500 * MS));
    for symptom in [Symptom::Unreached, Symptom::Lost, Symptom::Silent] {
        assert_eq!(reach.verdict(symptom, start), Verdict::Cut);
    }
    let length = reach.record_worked(start + 1000 * MS, start + 1006 * MS);
    assert_eq!(length, Some(1000 * MS));
    assert!(!reach.is_cut());
    assert!(!reach.record_failed_round(start + 1100 * MS));
}

#[test]
fn upstreams_that_answered_last_and_have_not_failed_are_tried_first() {
    let start = Instant::now();
    let mut reach = Reach::default();
    let listed = || (0..9).map(upstream);
    for number in [3, 1, 2] {
        reach.record_heard(&upstream(number), start + number * MS);
    }
    reach.record_failure(&upstream(3), start + 4 * MS);
    assert_eq!(reach.candidates(listed(), start + 5 * MS), [upstream(2)]);
    reach.record_failed_round(start + 6 * MS);
    let next = reach.candidates(listed(), start + 7 * MS);
    assert_eq!(next[..2], [upstream(2), upstream(1)]);
    assert_eq!(next.len(), 4);
    assert!(!next.contains(&upstream(3)));
    assert_eq!(
        reach.candidates([upstream(3)], start + 8 * MS),
        [upstream(3)]
    );
}

/// Plays a crash of a part of 21 upstreams, of which all had answered, at an entry that then opens
/// connections. Returns whether it takes that for a cut.
fn play_crash(seed: u64, crashed: usize) -> bool {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let start = Instant::now();
    let mut reach = Reach::default();
    let mut numbers: Vec<u32> = (0..21).collect();
    numbers.shuffle(&mut rng);
    for (at, number) in (0..).zip(&numbers) {
        reach.record_heard(&upstream(*number), start + at * MS);
    }
    numbers.shuffle(&mut rng);
    let crashed: Vec<_> = numbers[..crashed].iter().copied().map(upstream).collect();
    let now = start + 100 * MS;
    reach.record_failure(&crashed[0], now);
    while !reach.is_cut() {
        let candidates = reach.candidates((0..21).map(upstream), now);
        let (failed, worked): (Vec<_>, Vec<_>) = candidates
            .into_iter()
            .partition(|name| crashed.contains(name));
        if !worked.is_empty() {
            return false;
        }
        failed
            .iter()
            .for_each(|name| reach.record_failure(name, now));
        reach.record_failed_round(now);
    }
    true
}

#[test]
fn crash_of_most_upstreams_is_rarely_taken_for_a_cut_and_that_of_all_is() {
    let false_cuts = (0..1000).filter(|seed| play_crash(*seed, 14)).count();
    assert!(false_cuts <= 30, "{false_cuts} of 1000");
    assert!(play_crash(1, 21));
}

#[test]
fn silence_is_the_upstreams_own_while_others_answer() {
    let start = Instant::now();
    let mut reach = Reach::default();
    reach.record_heard(&upstream(1), start);
    let silent = |reach: &Reach, ms| reach.verdict(Symptom::Silent, start + ms * MS);
    assert_eq!(silent(&reach, 150), Verdict::Upstream);
    assert_eq!(silent(&reach, 400), Verdict::Unknown);
    let lost = reach.verdict(Symptom::Lost, start + 150 * MS);
    assert_eq!(lost, Verdict::Unknown);
}
