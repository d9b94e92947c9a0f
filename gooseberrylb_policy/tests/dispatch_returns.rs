//! Callers that are refused come back once, when they are told to. The load: a burst at twice the
//! capacity for some seconds, then seven tenths of it, with a rank that goes first and one that does
//! not; each test checks what callers of the lower rank get.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::time::{Duration, Instant};

use gooseberrylb_policy::dispatch::{
    Decision, Dispatcher, Key, Notice, Outcome, Rank, Request, Upstream, objective,
};

const MS: Duration = Duration::from_millis(1);
const SLOTS: u32 = 50;
/// How long each request stays at the upstream.
const STAY: Duration = Duration::from_millis(850);
/// How long the burst and the whole load last.
const BURST: Duration = Duration::from_secs(6);
const LOAD: Duration = Duration::from_secs(20);
/// The part of the requests that goes first.
const FIRST_PART: f64 = 0.6;
/// How long callers are held for a stream to begin, and how long they wait for all of it.
const HOLD: Duration = Duration::from_millis(5_400);
const LIMIT: Duration = Duration::from_secs(15);
/// The part of an all-knowing plan's service that is wanted.
const WANTED: f64 = 0.9;

#[derive(Debug, Clone, Copy)]
struct Caller {
    is_first: bool,
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
struct Tally {
    asked: [u32; 2],
    served: [u32; 2],
}

struct Play {
    start: Instant,
    dispatcher: Dispatcher,
    callers: BTreeMap<u64, Caller>,
    events: BinaryHeap<Reverse<(Duration, Event)>>,
    tally: Tally,
}

fn key(number: u64) -> Key {
    Key {
        entry: "entry-1".parse().unwrap(),
        incarnation: 1,
        number,
    }
}

/// A dispatcher with one upstream, of which nothing is measured yet.
fn dispatcher(now: Instant) -> Dispatcher {
    let mut dispatcher = Dispatcher::new();
    let upstream = Upstream {
        name: "a".parse().unwrap(),
        service: "agronomo".parse().unwrap(),
        release: "v1".into(),
        data_centre: "lodi".into(),
        slots: SLOTS,
    };
    dispatcher.set_upstreams([upstream], now);
    dispatcher
}

/// What is told of a request that was served.
fn ended(number: u64) -> Notice {
    let outcome = Outcome::Served {
        first: 50 * MS,
        rest: STAY - 50 * MS,
        events: 40,
    };
    Notice {
        ended: vec![(key(number), outcome)],
        ..Notice::default()
    }
}

impl Play {
    fn new() -> Self {
        let start = Instant::now();
        Self {
            start,
            dispatcher: dispatcher(start),
            callers: BTreeMap::new(),
            events: BinaryHeap::new(),
            tally: Tally::default(),
        }
    }

    fn finish(mut self) -> Tally {
        let capacity = f64::from(SLOTS) / STAY.as_secs_f64();
        let (mut at, mut number, mut first) = (Duration::ZERO, 0, 0.0);
        while at < LOAD {
            first += FIRST_PART;
            let is_first = first >= 1.0;
            first -= f64::from(u8::from(is_first));
            self.callers.insert(
                number,
                Caller {
                    is_first,
                    asked: at,
                    tries: 0,
                },
            );
            self.tally.asked[usize::from(!is_first)] += 1;
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
                self.decided(key.number, &decision, now);
            }
        }
        self.tally
    }

    fn ask(&mut self, number: u64, now: Duration) {
        let caller = self.callers[&number];
        let left = LIMIT - (now - caller.asked);
        let spent = now - caller.asked;
        let ask = Request {
            key: key(number),
            service: "agronomo".parse().unwrap(),
            route: "summary".into(),
            account: None,
            units: 0.0,
            weight: 1.0,
            rank: u8::from(!caller.is_first).into(),
            data_centre: "lodi".into(),
            prompt: 1_000,
            events: 40,
            objective: (1_500 * MS).saturating_sub(spent),
            hold: HOLD,
            patience: left,
            excluded: Vec::new(),
        };
        let decision = self.dispatcher.place(ask, self.start + now);
        self.decided(number, &decision, now);
    }

    fn decided(&mut self, number: u64, decision: &Decision, now: Duration) {
        match decision {
            Decision::Grant(_) => {
                self.events.push(Reverse((now + STAY, Event::End(number))));
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
            Decision::Unknown => unreachable!("the dispatcher knows its own requests"),
        }
    }

    fn end(&mut self, number: u64, now: Duration) {
        self.dispatcher.apply(ended(number), self.start + now);
        self.tally.served[usize::from(!self.callers[&number].is_first)] += 1;
    }
}

#[test]
fn most_of_those_that_a_burst_pushes_back_are_served_when_it_is_over() {
    let tally = Play::new().finish();
    let capacity = f64::from(SLOTS) / STAY.as_secs_f64();
    // Whoever asks in the burst can be reached until its time to return and to wait is over.
    let reach = BURST + LIMIT / 3 + HOLD;
    let [first, others] = tally.asked.map(f64::from);
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
    let served = f64::from(tally.served[1]);
    assert!(f64::from(tally.served[0]) >= WANTED * first, "{tally:?}");
    assert!(
        served >= WANTED * most,
        "{tally:?}, an all-knowing plan serves {most:.0}"
    );
}

/// A burst in which callers at their first attempt say that they wait for a little less than the
/// route's limit, each as long as it likes.
fn in_time_at_first_attempts() -> f64 {
    const OBJECTIVE: Duration = Duration::from_millis(800);
    let start = Instant::now();
    let mut dispatcher = dispatcher(start);
    let mut ends: BTreeMap<u64, u64> = BTreeMap::new();
    let (mut asked, mut in_time) = (0.0, 0.0);
    // 50 slots run 58 a second; the first rank sends 40, the second one 160.
    let is_of_first = |number: u64| number.is_multiple_of(25);
    for ms in (0..6_000_u64).step_by(5) {
        let now = start + Duration::from_millis(ms);
        let over: Vec<_> = ends.extract_if(.., |_, end| *end <= ms).collect();
        for (number, _) in over {
            dispatcher.apply(ended(number), now);
        }
        let is_first = is_of_first(ms);
        let own_limit = LIMIT.mul_f64(1.0 - 0.15 * ((ms / 5) as f64 * 0.618).fract());
        let left = objective::remaining(LIMIT, OBJECTIVE, Some(own_limit), Duration::ZERO);
        let ask = Request {
            key: key(ms),
            service: "agronomo".parse().unwrap(),
            route: "plan".into(),
            account: None,
            units: 0.0,
            weight: 1.0,
            rank: Rank {
                account: 1,
                route: u8::from(!is_first),
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
        if dispatcher.place(ask, now) == Decision::Grant("a".parse().unwrap()) {
            granted.push(ms);
        }
        let decided = dispatcher.poll(now).into_iter();
        let grants = decided.filter(|(_, decision)| matches!(decision, Decision::Grant(_)));
        granted.extend(grants.map(|(key, _)| key.number));
        // What comes last is still under way when the play ends.
        let counts = |number: u64| number < 5_000;
        asked += f64::from(u8::from(is_first && counts(ms)));
        for number in granted {
            let is_of_rank = is_of_first(number) && counts(number);
            let waited = Duration::from_millis(ms - number);
            in_time += f64::from(u8::from(is_of_rank && waited + 50 * MS <= OBJECTIVE));
            ends.insert(number, ms + STAY.as_millis() as u64);
        }
    }
    in_time / asked
}

#[test]
fn callers_at_their_first_attempt_are_in_time_whatever_their_own_limits() {
    let share = in_time_at_first_attempts();
    assert!(share >= 0.97, "{share}");
}

#[test]
fn a_caller_that_comes_back_has_used_its_time() {
    let left = |patience| objective::remaining(LIMIT, 800 * MS, patience, 100 * MS);
    assert_eq!(left(None), 700 * MS);
    assert_eq!(left(Some(LIMIT.mul_f64(0.85))), 700 * MS);
    assert_eq!(left(Some(LIMIT * 2)), 700 * MS);
    assert_eq!(left(Some(LIMIT.mul_f64(0.66))), Duration::ZERO);
}
