//! Plays of a small plain service whose callers ask for more than it can run for some seconds.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use gooseberrylb_policy::dispatch::{
    Decision, Dispatcher, Key, Notice, Outcome, Request, Upstream, share,
};
use gooseberrylb_policy::quota::Part;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use fixture::MS;

#[path = "fixture/dispatch.rs"]
mod fixture;

/// Time that a call takes on the mean, in milliseconds.
const WORK_MS: u64 = 60;

/// Calls that the service runs in a second: three upstreams of six slots.
const CAPACITY: f64 = 300.0;

/// Kind of calls: its share of all, its objective and how long its callers wait.
#[derive(Clone, Copy)]
struct Class {
    name: &'static str,
    share: f64,
    objective: Duration,
    limit: Duration,
}

const CLASSES: [Class; 2] = [
    Class {
        name: "lodge",
        share: 0.7,
        objective: Duration::from_millis(200),
        limit: Duration::from_millis(2_500),
    },
    Class {
        name: "status",
        share: 0.3,
        objective: Duration::from_millis(150),
        limit: Duration::from_millis(2_500),
    },
];

fn upstreams() -> Vec<Upstream> {
    let upstream = |index| Upstream {
        slots: 6,
        ..fixture::upstream(index)
    };
    (0..3).map(upstream).collect()
}

/// What became of the calls of one class.
#[derive(Default, Debug)]
struct Tally {
    asked: usize,
    in_time: usize,
    /// Times for which refused calls were held.
    held: Vec<Duration>,
}

struct Play {
    rng: ChaCha8Rng,
    dispatcher: Dispatcher,
    now: Instant,
    number: u64,
    running: Vec<(Instant, Key)>,
    calls: HashMap<Key, (usize, Instant)>,
    tallies: [Tally; CLASSES.len()],
}

impl Play {
    fn new(seed: u64) -> Self {
        let now = Instant::now();
        let mut dispatcher = Dispatcher::new();
        dispatcher.set_upstreams(upstreams(), now);
        Self {
            rng: ChaCha8Rng::seed_from_u64(seed),
            dispatcher,
            now,
            number: 0,
            running: Vec::new(),
            calls: HashMap::new(),
            tallies: Default::default(),
        }
    }

    fn call(&mut self, class: usize) -> Request {
        self.number += 1;
        let kind = CLASSES[class];
        self.tallies[class].asked += 1;
        let key = fixture::key(self.number);
        self.calls.insert(key.clone(), (class, self.now));
        let account = format!("account-{}", self.number % 4);
        Request {
            route: kind.name.into(),
            account: Some(account.parse().unwrap()),
            rank: 2.into(),
            objective: kind.objective,
            hold: kind.limit.mul_f64(0.6),
            patience: kind.limit,
            ..fixture::request(self.number)
        }
    }

    fn decide(&mut self, key: Key, decision: Decision) {
        let (class, since) = self.calls[&key];
        match decision {
            Decision::Grant(_) => {
                let work = self.rng.random_range(WORK_MS / 2..WORK_MS * 3 / 2);
                let end = self.now + work as u32 * MS;
                if end <= since + CLASSES[class].objective {
                    self.tallies[class].in_time += 1;
                }
                self.running.push((end, key));
            }
            Decision::Refuse(..) => {
                let held = self.now - since;
                self.tallies[class].held.push(held);
            }
            Decision::Wait | Decision::Unknown => {}
        }
    }

    /// Lets a time pass with a number of calls a second.
    fn run(&mut self, time: Duration, per_second: f64) {
        let end = self.now + time;
        while self.now < end {
            self.now += 2 * MS;
            let now = self.now;
            let (ended, running): (Vec<_>, Vec<_>) = std::mem::take(&mut self.running)
                .into_iter()
                .partition(|(end, _)| *end <= now);
            self.running = running;
            let served = |end: Instant, since: Instant| Outcome::Served {
                first: end - since,
                rest: Duration::ZERO,
                events: 0,
            };
            let ended = ended.into_iter().map(|(end, key)| {
                let work = served(end, end - WORK_MS as u32 * MS);
                (key, work)
            });
            let notice = Notice {
                ended: ended.collect(),
                ..Notice::default()
            };
            self.dispatcher.apply(notice, now);
            for (key, decision) in self.dispatcher.poll(now) {
                self.decide(key, decision);
            }
            if self.rng.random_bool(per_second * 0.002) {
                let class = usize::from(self.rng.random_bool(CLASSES[1].share));
                let request = self.call(class);
                let key = request.key.clone();
                let decision = self.dispatcher.place(request, now);
                self.decide(key, decision);
            }
        }
    }
}

/// Guards against one of two kinds of calls with the same rank that pays for the other, since its
/// objective is shorter: it was refused or late far more often.
#[test]
fn calls_with_a_shorter_objective_are_served_in_time_like_the_others() {
    for seed in 0..10 {
        let mut play = Play::new(seed);
        play.run(Duration::from_secs(3), 0.6 * CAPACITY);
        play.tallies = Default::default();
        play.run(Duration::from_secs(12), 1.15 * CAPACITY);
        let [long, short] = &play.tallies;
        let share = |tally: &Tally| tally.in_time as f64 / tally.asked as f64;
        let difference = share(long) - share(short);
        assert!(difference <= 0.15, "seed {seed}: {difference}");
    }
}

/// Guards against calls that are held for most of their callers' time and then refused.
#[test]
fn calls_that_cannot_be_served_are_refused_soon() {
    for (seed, load) in (0..5).flat_map(|seed| [(seed, 1.5), (seed, 1.65)]) {
        let mut play = Play::new(seed);
        play.run(Duration::from_secs(3), 0.6 * CAPACITY);
        play.tallies = Default::default();
        play.run(Duration::from_secs(6), load * CAPACITY);
        for (class, tally) in CLASSES.iter().zip(&mut play.tallies) {
            tally.held.sort();
            let long = tally.held.iter().filter(|held| **held > class.objective);
            let long = long.count() as f64 / tally.held.len().max(1) as f64;
            assert!(long <= 0.1, "seed {seed}, {load}: {long} of {}", class.name);
        }
    }
}

/// Guards against entries that refuse while they place alone though all together have room: each has
/// more requests than its part of the slots at some moments.
#[test]
fn entries_that_place_alone_serve_uneven_load_below_the_capacity() {
    const ENTRIES: usize = 9;
    let now = Instant::now();
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let mut entries: Vec<_> = (0..ENTRIES)
        .map(|index| {
            let mut dispatcher = Dispatcher::alone();
            dispatcher.set_upstreams(share::for_entry(upstreams(), index, ENTRIES), now);
            dispatcher
        })
        .collect();
    let mut play = Play::new(1);
    let mut running: Vec<(Instant, usize, Key)> = Vec::new();
    let (mut granted, mut asked) = (0, 0);
    for step in 0..2_000 {
        let now = now + step * 2 * MS;
        play.now = now;
        let (ended, still) = running.into_iter().partition(|(end, ..)| *end <= now);
        running = still;
        let ended: Vec<(Instant, usize, Key)> = ended;
        for (_, entry, key) in ended {
            let notice = Notice {
                ended: vec![(key, Outcome::Dropped)],
                ..Notice::default()
            };
            entries[entry].apply(notice, now);
        }
        if rng.random_bool(0.6 * CAPACITY * 0.002) {
            asked += 1;
            let entry = rng.random_range(0..ENTRIES);
            let request = play.call(0);
            let key = request.key.clone();
            match entries[entry].place(request, now) {
                Decision::Grant(_) => {
                    granted += 1;
                    running.push((now + WORK_MS as u32 * MS, entry, key));
                }
                // An entry that places alone queues nothing.
                Decision::Wait | Decision::Refuse(..) | Decision::Unknown => {
                    let notice = Notice {
                        ended: vec![(key, Outcome::Dropped)],
                        ..Notice::default()
                    };
                    entries[entry].apply(notice, now);
                }
            }
        }
    }
    assert!(granted * 10 >= asked * 9, "{granted} of {asked}");
}

/// Guards against an account that is refused by all entries that place alone because they do not know
/// what they granted it before, and against one that gets its quota once more.
#[test]
fn entry_that_places_alone_counts_what_it_knows_of_a_quota() {
    const SECOND: Duration = Duration::from_secs(1);
    let part = |counted| Part {
        limit: 20_000.0,
        window: 8 * SECOND,
        counted,
    };
    let known = part(60 * SECOND);
    assert_eq!(known.wait_time(&[], 4_000.0), None);
    assert_eq!(known.wait_time(&[(SECOND, 8_000.0)], 4_000.0), None);
    let used = [(2 * SECOND, 12_000.0), (SECOND, 4_000.0)];
    assert_eq!(known.wait_time(&used, 4_000.0), Some(6 * SECOND));
    // What has left the window does not count.
    assert_eq!(known.wait_time(&[(9 * SECOND, 90_000.0)], 4_000.0), None);
    // A large request fits into an unused window, but not a huge one.
    assert_eq!(known.wait_time(&[], 30_000.0), None);
    assert!(known.wait_time(&[], 50_000.0).is_some());
    // Before the start the part may have been used up.
    assert!(part(SECOND).wait_time(&[], 4_000.0).is_some());
}
