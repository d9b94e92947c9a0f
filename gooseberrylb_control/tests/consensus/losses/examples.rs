//! Shrunk series that have broken a promise.

use super::generator::{LOSSY_CONDITIONS, SLOW_CONDITIONS};
use super::series::{Checks, Event, Loss, Player, Series, Target};
use crate::simulation::NORMAL_CONDITIONS;

#[test]
fn vote_of_a_voter_that_goes_beside_another_loss_ends_in_time() {
    let series = Series {
        seed: 715,
        voters: 7,
        losses: 2,
        catch_up_ms: 6_000,
        conditions: NORMAL_CONDITIONS,
        counts_from_successor: false,
        events: vec![
            Event::Lose {
                loss: Loss::Wiped { down: 796 },
                target: Target::Leader,
                pause: 26,
            },
            Event::Lose {
                loss: Loss::Planned { lead: 4_204 },
                target: Target::Leader,
                pause: 2_621,
            },
            Event::Lose {
                loss: Loss::Wiped { down: 706 },
                target: Target::Leader,
                pause: 2_476,
            },
            Event::End {
                power: true,
                down: 438,
            },
        ],
    };
    Player::play(&series, Checks::Votes);
}

#[test]
fn wiped_disk_on_slow_disks_has_a_vote_again_in_time() {
    let series = Series {
        seed: 301,
        voters: 7,
        losses: 2,
        catch_up_ms: 2_000,
        conditions: SLOW_CONDITIONS,
        counts_from_successor: false,
        events: vec![Event::End {
            power: true,
            down: 82,
        }],
    };
    Player::play(&series, Checks::Votes);
}

#[test]
fn vote_of_a_leader_that_goes_on_a_lossy_network_ends_in_time() {
    let series = Series {
        seed: 205,
        voters: 3,
        losses: 1,
        catch_up_ms: 2_000,
        conditions: LOSSY_CONDITIONS,
        counts_from_successor: false,
        events: vec![
            Event::Lose {
                loss: Loss::Planned { lead: 1_267 },
                target: Target::Leader,
                pause: 23,
            },
            Event::End {
                power: false,
                down: 272,
            },
        ],
    };
    Player::play(&series, Checks::Votes);
}

#[test]
fn disk_lost_two_seconds_after_a_voter_went_on_a_lossy_network_leaves_a_quorum() {
    let series = Series {
        seed: 1049,
        voters: 3,
        losses: 1,
        catch_up_ms: 2_000,
        conditions: LOSSY_CONDITIONS,
        counts_from_successor: false,
        events: vec![
            Event::Lose {
                loss: Loss::Planned { lead: 1_815 },
                target: Target::Leader,
                pause: 14,
            },
            Event::End {
                power: true,
                down: 195,
            },
        ],
    };
    Player::play(&series, Checks::Service);
}
