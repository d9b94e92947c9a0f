//! Times of the consensus that the durations derived from a platform's promises rest on.

use std::time::Duration;

use gooseberrylb_config::settings::{Silence, timing};
use gooseberrylb_control::consensus::{HEARTBEAT_INTERVAL, LEASE_DURATION, MAX_ELECTION_TIMEOUT};
use gooseberrylb_control::repair::Goal;

#[test]
fn election_that_starts_last_ends_within_the_time_for_elections() {
    assert!(MAX_ELECTION_TIMEOUT + HEARTBEAT_INTERVAL <= timing::ELECTION_TIME);
}

#[test]
fn leader_without_a_quorum_steps_down_before_voters_count_as_lost() {
    for catch_up_s in 0..=60 {
        let goal = Goal::every_disk(1, Silence::within(Duration::from_secs(catch_up_s)));
        assert!(goal.urgent_silence > LEASE_DURATION + HEARTBEAT_INTERVAL);
        assert!(goal.silence >= goal.urgent_silence);
    }
}
