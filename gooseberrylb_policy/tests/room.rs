//! Plays of upstreams that fail if they have to turn too many requests away.

use std::time::{Duration, Instant};

use gooseberrylb_config::id;
use gooseberrylb_policy::announcement::Announcement;
use gooseberrylb_policy::availability::{Report, Said};
use gooseberrylb_policy::dispatch::{
    Decision, Dispatcher, Key, Notice, Outcome, Request, Upstream,
};
use gooseberrylb_policy::room::Room;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use fixture::MS;

#[path = "fixture/dispatch.rs"]
mod fixture;

const UPSTREAMS: usize = 3;

const SLOTS: u32 = 6;

/// Number of requests that an upstream can turn away in a second.
const TOLERANCE: u32 = 3;

fn service() -> id::Service {
    "desk".parse().unwrap()
}

fn name(index: usize) -> id::Upstream {
    format!("i-{index}").parse().unwrap()
}

fn upstream(index: usize) -> Upstream {
    Upstream {
        slots: SLOTS,
        ..fixture::upstream(index)
    }
}

/// Returns what an upstream says that can turn [`TOLERANCE`] requests away.
fn brittle(index: usize) -> Announcement {
    Announcement::Upstream(Report {
        service: service(),
        upstream: name(index),
        leaving: false,
        closed_for: None,
        limit: None,
        tolerance: Some(Said {
            value: Some(TOLERANCE),
            age: Duration::ZERO,
        }),
    })
}

fn request(number: u64) -> Request {
    Request {
        rank: 1.into(),
        objective: 100 * MS,
        hold: 400 * MS,
        patience: 600 * MS,
        ..fixture::request(number)
    }
}

/// Plays 30 s of requests, more than the upstreams can run, of which each has room for `room` and turns
/// the others away. All of them say that they are brittle from the first second on. Returns the times
/// from the fourth second on at which each turned a request away, and the number of those served.
fn play(seed: u64, room: usize) -> (Vec<Vec<u32>>, usize) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let start = Instant::now();
    let mut dispatcher = Dispatcher::new();
    dispatcher.set_upstreams((0..UPSTREAMS).map(upstream), start);
    let mut running: Vec<(u32, usize, Key, Outcome)> = Vec::new();
    let mut rejected = vec![Vec::new(); UPSTREAMS];
    let mut served = 0;
    for ms in 0..30_000 {
        let now = start + ms * MS;
        if ms == 1_000 {
            let reports = (0..UPSTREAMS).map(brittle);
            dispatcher.announce(reports.collect(), now);
        }
        let mut decided = dispatcher.poll(now);
        if rng.random_bool(0.3) {
            let request = request(u64::from(ms));
            let key = request.key.clone();
            decided.push((key, dispatcher.place(request, now)));
        }
        for (key, decision) in decided {
            let Decision::Grant(upstream) = decision else {
                continue;
            };
            let index = (0..UPSTREAMS).find(|i| name(*i) == upstream).unwrap();
            let at_work =
                |run: &&(u32, usize, Key, Outcome)| run.1 == index && run.3 != Outcome::Full;
            let (end, outcome) = match running.iter().filter(at_work).count() < room {
                true => (
                    ms + rng.random_range(20..120),
                    Outcome::Served {
                        first: 50 * MS,
                        rest: Duration::ZERO,
                        events: 0,
                    },
                ),
                false => (ms + 3, Outcome::Full),
            };
            if outcome == Outcome::Full && ms >= 4_000 {
                rejected[index].push(ms);
            }
            running.push((end, index, key, outcome));
        }
        let ended = running.extract_if(.., |run| run.0 <= ms);
        let ended: Vec<_> = ended.map(|(_, _, key, outcome)| (key, outcome)).collect();
        served += ended.iter().filter(|(_, o)| *o != Outcome::Full).count();
        let notice = Notice {
            ended,
            ..Notice::default()
        };
        dispatcher.apply(notice, now);
    }
    (rejected, served)
}

#[test]
fn brittle_upstreams_turn_away_no_more_than_they_tolerate_and_are_used() {
    for seed in 0..6 {
        for room in [2, 4] {
            let (rejected, served) = play(seed, room);
            for times in &rejected {
                let in_second = |from: &u32| {
                    let second = *from..*from + 1_000;
                    times.iter().filter(|at| second.contains(at)).count()
                };
                let most = times.iter().map(in_second).max().unwrap_or(0);
                assert!(
                    most <= TOLERANCE as usize,
                    "seed {seed}, room {room}: {most}"
                );
            }
            // Of what the room allows at 70 ms a request, with pauses after rejections.
            let possible = UPSTREAMS * room * 30_000 / 70;
            assert!(
                served * 2 >= possible,
                "seed {seed}, room {room}: {served} of {possible}"
            );
        }
    }
}

#[test]
fn upstream_that_starts_beside_brittle_ones_gets_few_requests_at_first() {
    let now = Instant::now();
    let mut dispatcher = Dispatcher::new();
    dispatcher.set_upstreams([upstream(0)], now);
    dispatcher.announce(vec![brittle(0)], now);
    // It fell over, and is back under another name.
    dispatcher.set_upstreams([upstream(1)], now + 10 * MS);
    let place = |dispatcher: &mut Dispatcher, number, ms| {
        let decision = dispatcher.place(request(number), now + ms * MS);
        matches!(decision, Decision::Grant(_))
    };
    let granted = (0..10).filter(|number| place(&mut dispatcher, *number, 11));
    assert_eq!(granted.count(), TOLERANCE as usize);
    // Once it has served without a word of it, it gets what it has slots for.
    let served = Outcome::Served {
        first: MS,
        rest: Duration::ZERO,
        events: 0,
    };
    let ended = Notice {
        ended: vec![(request(0).key, served)],
        ..Notice::default()
    };
    dispatcher.apply(ended, now + 20 * MS);
    let granted = dispatcher.poll(now + 22 * MS).len();
    assert!(granted > 1, "{granted}");
}

#[test]
fn room_grows_again_while_nothing_is_turned_away() {
    let now = Instant::now();
    let mut room = Room::new(SLOTS, TOLERANCE);
    assert_eq!(room.slots, SLOTS - 1);
    let pause = room.record_full(2, 1.0, now);
    assert!(pause > 500 * MS && room.slots == 2);
    // Others that place alone pause too.
    assert!(room.clone().record_full(2, 0.5, now) > pause);
    room.record_served(SLOTS, now + 1_000 * MS);
    assert_eq!(room.slots, 2);
    for second in 1..20 {
        room.record_served(SLOTS, now + second * 1_000 * MS);
    }
    assert_eq!(room.slots, SLOTS - 1);
    assert_eq!(Room::new(1, TOLERANCE).slots, 1);
}
