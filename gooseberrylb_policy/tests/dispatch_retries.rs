//! Retries of refused callers, each of which retries once, after the pause that it was told.
//!
//! The load is a burst at twice the capacity for some seconds, then at 0.7 of it, with two ranks.
//! The tests check how callers of the lower rank are served.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::time::{Duration, Instant};

use gooseberrylb_policy::dispatch::{
    Decision, Dispatcher, Key, Notice, Outcome, Rank, Request, Upstream, objective,
};

const MS: Duration = Duration::from_millis(1);
const SLOTS: u32 = 50;
/// Time that each request runs on the upstream.
const RUN_TIME: Duration = Duration::from_millis(850);
/// Duration of the burst, and of the whole load.
const BURST: Duration = Duration::from_secs(6);
const LOAD: Duration = Duration::from_secs(20);
/// Share of the requests that are of the first rank.
const FIRST_RANK_SHARE: f64 = 0.6;
/// Time for which a stream may be queued before it begins, and the caller's limit for all of it.
const HOLD: Duration = Duration::from_millis(5_400);
const LIMIT: Duration = Duration::from_secs(15);
/// Share of the requests served by an optimal plan that must be served.
const MIN_SERVED_SHARE: f64 = 0.9;

#[derive(Debug, Clone, Copy)]
struct Caller {
    is_first_rank: bool,
    asked: Duration,
    tries: u32,
}

#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Ask(u64),
    End(u64),
    Poll,
}

#[derive(Debug, Default)]
struct Counts {
    asked: [u32; 2],
    served: [u32; 2],
}

struct Simulation {
    start: Instant,
    dispatcher: Dispatcher,
    callers: BTreeMap<u64, Caller>,
    events: BinaryHeap<Reverse<(Duration, Event)>>,
    counts: Counts,
}

fn key(number: u64) -> Key {
    Key {
        entry: "entry-1".parse().unwrap(),
        incarnation: 1,
        number,
    }
}

/// Returns a dispatcher with one upstream without any measurement.
fn dispatcher(now: Instant) -> Dispatcher {
    let mut dispatcher = Dispatcher::new();
    let upstream = Upstream {
        name: "a".parse().unwrap(),
        service: "agronomo".parse().unwrap(),
        release: "v1".into(),
        data_centre: "lodi".into(),
        slots: SLOTS,
        limit_part: 1.0,
    };
    dispatcher.set_upstreams([upstream], now);
    dispatcher
}

/// Returns the notice of a request that was served.
fn ended(number: u64) -> Notice {
    let outcome = Outcome::Served {
        first: 50 * MS,
        rest: RUN_TIME - 50 * MS,
        events: 40,
    };
    Notice {
        ended: vec![(key(number), outcome)],
        ..Notice::default()
    }
}

impl Simulation {
    fn new() -> Self {
        let start = Instant::now();
        Self {
            start,
            dispatcher: dispatcher(start),
            callers: BTreeMap::new(),
            events: BinaryHeap::new(),
            counts: Counts::default(),
        }
    }

    fn run(mut self) -> Counts {
        let capacity = f64::from(SLOTS) / RUN_TIME.as_secs_f64();
        let (mut at, mut number, mut first) = (Duration::ZERO, 0, 0.0);
        while at < LOAD {
            first += FIRST_RANK_SHARE;
            let is_first_rank = first >= 1.0;
            first -= f64::from(u8::from(is_first_rank));
            self.callers.insert(
                number,
                Caller {
                    is_first_rank,
                    asked: at,
                    tries: 0,
                },
            );
            self.counts.asked[usize::from(!is_first_rank)] += 1;
            self.events.push(Reverse((at, Event::Ask(number))));
            number += 1;
            let load = if at < BURST { 2.0 } else { 0.7 };
            at += Duration::from_secs_f64(1.0 / (capacity * load));
        }
        self.events.push(Reverse((Duration::ZERO, Event::Poll)));
        let end = LOAD + LIMIT;
        while let Some(Reverse((now, event))) = self.events.pop() {
            match event {
                Event::Ask(number) => self.ask(number, now),
                Event::End(number) => self.end(number, now),
                Event::Poll if now < end => {
                    self.events.push(Reverse((now + 5 * MS, Event::Poll)));
                }
                Event::Poll => {}
            }
            for (key, decision) in self.dispatcher.poll(self.start + now) {
                self.apply_decision(key.number, &decision, now);
            }
        }
        self.counts
    }

    fn ask(&mut self, number: u64, now: Duration) {
        let caller = self.callers[&number];
        let left = LIMIT - (now - caller.asked);
        let spent = now - caller.asked;
        let request = Request {
            key: key(number),
            service: "agronomo".parse().unwrap(),
            route: "summary".into(),
            account: None,
            units: 0.0,
            weight: 1.0,
            rank: u8::from(!caller.is_first_rank).into(),
            data_centre: "lodi".into(),
            prompt: 1_000,
            events: 40,
            objective: (1_500 * MS).saturating_sub(spent),
            hold: HOLD,
            patience: left,
            excluded: Vec::new(),
        };
        let decision = self.dispatcher.place(request, self.start + now);
        self.apply_decision(number, &decision, now);
    }

    fn apply_decision(&mut self, number: u64, decision: &Decision, now: Duration) {
        match decision {
            Decision::Grant(_) => {
                self.events
                    .push(Reverse((now + RUN_TIME, Event::End(number))));
            }
            Decision::Refuse(_, pause) => {
                let caller = self.callers.get_mut(&number).unwrap();
                let left = LIMIT - (now - caller.asked);
                assert!(*pause <= left / 3, "{pause:?} of {left:?}");
                caller.tries += 1;
                if caller.tries < 2 {
                    self.events
                        .push(Reverse((now + *pause, Event::Ask(number))));
                }
            }
            Decision::Wait => {}
            Decision::Unknown => unreachable!("the dispatcher does not know its own request"),
        }
    }

    fn end(&mut self, number: u64, now: Duration) {
        self.dispatcher.apply(ended(number), self.start + now);
        self.counts.served[usize::from(!self.callers[&number].is_first_rank)] += 1;
    }
}

#[test]
fn most_requests_refused_in_a_burst_are_served_after_it() {
    let counts = Simulation::new().run();
    let capacity = f64::from(SLOTS) / RUN_TIME.as_secs_f64();
    // A caller that asks in the burst can be served until its retry pause and its hold time are
    // over.
    let reach = BURST + LIMIT / 3 + HOLD;
    let [first, others] = counts.asked.map(f64::from);
    let room = capacity * reach.as_secs_f64().min(LOAD.as_secs_f64());
    let in_reach = |all: f64| {
        let burst = 2.0 * BURST.as_secs_f64();
        let calm = 0.7 * (reach - BURST).as_secs_f64();
        let whole = burst + 0.7 * (LOAD - BURST).as_secs_f64();
        (all * (burst + calm) / whole, all)
    };
    let (first_in_reach, _) = in_reach(first);
    let (others_in_reach, _) = in_reach(others);
    let lost = (others_in_reach - (room - first_in_reach)).max(0.0);
    let most = others - lost;
    let served = f64::from(counts.served[1]);
    assert!(
        f64::from(counts.served[0]) >= MIN_SERVED_SHARE * first,
        "{counts:?}"
    );
    assert!(
        served >= MIN_SERVED_SHARE * most,
        "{counts:?}, an optimal plan serves {most:.0}"
    );
}

/// Simulates a burst in which callers at their first attempt have limits of different lengths, a
/// little shorter than the route's, and returns the share of the first rank's requests that were
/// in time.
fn first_attempts_in_time() -> f64 {
    const OBJECTIVE: Duration = Duration::from_millis(800);
    let start = Instant::now();
    let mut dispatcher = dispatcher(start);
    let mut ends: BTreeMap<u64, u64> = BTreeMap::new();
    let (mut asked, mut in_time) = (0.0, 0.0);
    // 50 slots serve 58 requests a second; the first rank sends 40, the second 160.
    let is_of_first_rank = |number: u64| number.is_multiple_of(25);
    for ms in (0..6_000_u64).step_by(5) {
        let now = start + Duration::from_millis(ms);
        let over: Vec<_> = ends.extract_if(.., |_, end| *end <= ms).collect();
        for (number, _) in over {
            dispatcher.apply(ended(number), now);
        }
        let is_first_rank = is_of_first_rank(ms);
        let own_limit = LIMIT.mul_f64(1.0 - 0.15 * ((ms / 5) as f64 * 0.618).fract());
        let left = objective::remaining(LIMIT, OBJECTIVE, Some(own_limit), Duration::ZERO);
        let request = Request {
            key: key(ms),
            service: "agronomo".parse().unwrap(),
            route: "plan".into(),
            account: None,
            units: 0.0,
            weight: 1.0,
            rank: Rank {
                account: 1,
                route: u8::from(!is_first_rank),
            },
            data_centre: "lodi".into(),
            prompt: 1_000,
            events: 40,
            objective: left,
            hold: 2 * OBJECTIVE,
            patience: own_limit,
            excluded: Vec::new(),
        };
        let mut granted = Vec::new();
        if dispatcher.place(request, now) == Decision::Grant("a".parse().unwrap()) {
            granted.push(ms);
        }
        let decided = dispatcher.poll(now).into_iter();
        let grants = decided.filter(|(_, decision)| matches!(decision, Decision::Grant(_)));
        granted.extend(grants.map(|(key, _)| key.number));
        // The last requests are still in flight when the simulation ends.
        let is_counted = |number: u64| number < 5_000;
        asked += f64::from(u8::from(is_first_rank && is_counted(ms)));
        for number in granted {
            let is_of_rank = is_of_first_rank(number) && is_counted(number);
            let waited = Duration::from_millis(ms - number);
            in_time += f64::from(u8::from(is_of_rank && waited + 50 * MS <= OBJECTIVE));
            ends.insert(number, ms + RUN_TIME.as_millis() as u64);
        }
    }
    in_time / asked
}

#[test]
fn first_attempts_are_in_time_whatever_the_limit_of_their_caller() {
    let share = first_attempts_in_time();
    assert!(share >= 0.97, "{share}");
}

#[test]
fn retry_counts_the_time_that_the_caller_has_waited_before() {
    let left = |patience| objective::remaining(LIMIT, 800 * MS, patience, 100 * MS);
    assert_eq!(left(None), 700 * MS);
    assert_eq!(left(Some(LIMIT.mul_f64(0.85))), 700 * MS);
    assert_eq!(left(Some(LIMIT * 2)), 700 * MS);
    assert_eq!(left(Some(LIMIT.mul_f64(0.66))), Duration::ZERO);
}
