//! Plays of an entry that has to tell failing upstreams from a cut of its own links.

use std::time::{Duration, Instant};

use gooseberrylb_config::id;
use gooseberrylb_policy::reach::{Reach, Symptom, Verdict};

const MS: Duration = Duration::from_millis(1);

/// Number of listed upstreams.
const LISTED: usize = 21;

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
    reach.record_opened(start + MS, start + 3 * MS);
    assert_eq!(reach.verdict(Symptom::Lost, start), Verdict::Upstream);
    assert!(!reach.is_cut());
    // A connection from before a failure says nothing of it.
    reach.record_failure(&upstream(6), start + 2 * MS);
    let verdict = reach.verdict(Symptom::Lost, start + 2 * MS);
    assert_eq!(verdict, Verdict::Unknown);
}

#[test]
fn failed_probes_of_other_upstreams_show_a_cut_until_one_works() {
    let start = Instant::now();
    let mut reach = Reach::default();
    reach.record_failure(&upstream(0), start);
    assert!(!reach.record_failed_probe(&upstream(1), LISTED, start + 2 * MS));
    assert!(reach.record_failed_probe(&upstream(2), LISTED, start + 4 * MS));
    assert!(!reach.record_failed_probe(&upstream(3), LISTED, start + 500 * MS));
    assert_eq!(reach.verdict(Symptom::Lost, start), Verdict::Cut);
    assert_eq!(reach.verdict(Symptom::Silent, start), Verdict::Cut);
    let length = reach.record_opened(start + 1000 * MS, start + 1004 * MS);
    assert_eq!(length, Some(1000 * MS));
    assert!(!reach.is_cut());
}

#[test]
fn failed_requests_alone_show_no_cut_and_one_upstream_shows_one_if_it_is_all() {
    let start = Instant::now();
    let mut reach = Reach::default();
    for number in 0..10 {
        reach.record_failure(&upstream(number), start);
    }
    assert!(!reach.is_cut());
    let mut reach = Reach::default();
    assert!(!reach.record_failed_probe(&upstream(0), 1, start));
    assert!(reach.record_failed_probe(&upstream(0), 1, start + MS));
}

#[test]
fn silence_is_the_upstreams_own_while_others_answer() {
    let start = Instant::now();
    let mut reach = Reach::default();
    reach.record_heard(start);
    let silent = |reach: &Reach, ms| reach.verdict(Symptom::Silent, start + ms * MS);
    assert_eq!(silent(&reach, 150), Verdict::Upstream);
    assert_eq!(silent(&reach, 400), Verdict::Unknown);
    assert_eq!(
        reach.verdict(Symptom::Lost, start + 150 * MS),
        Verdict::Unknown
    );
}
