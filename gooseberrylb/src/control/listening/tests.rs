use std::time::{Duration, Instant};

use super::Listening;

const STEP: Duration = Duration::from_millis(50);

#[test]
fn silence_while_the_leader_could_not_hear_does_not_count() {
    let listening = Listening::default();
    let start = Instant::now();
    let last_contact = start + Duration::from_secs(1);
    let mut now = start;
    while now < start + Duration::from_secs(2) {
        listening.observe(now);
        now += STEP;
    }
    assert_eq!(listening.silent_since(last_contact), last_contact);
    // The leader does not run, or holds no lease, for 4 s.
    let back = now + Duration::from_secs(4);
    listening.observe(back);
    assert_eq!(listening.silent_since(last_contact), back);
    // A short gap is bridged by the next reports.
    let later = back + Duration::from_millis(900);
    listening.observe(later);
    assert_eq!(listening.silent_since(last_contact), back);
}
