//! A good version beside the old one on engines of the same speeds, with most of the traffic: its
//! engines are busy and the old one's are not. Requests reach an engine in another order than they
//! were granted, as they do between processes. The version must not be taken for slow, whichever
//! scheduler judges it, and one that is slow must still be found.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::time::{Duration, Instant, SystemTime};

use gooseberrylb_config::directory::{Cell, Directory, Share, View};
use gooseberrylb_config::{id, note, number};
use gooseberrylb_policy::moves::breaker::Breaker;
use gooseberrylb_policy::moves::evidence::{Sample, Trip};
use gooseberrylb_policy::moves::{Move, Phase};
use gooseberrylb_policy::occupancy::Occupancy;
use gooseberrylb_policy::request::Figures;
use gooseberrylb_testbed::engine::Model;
use gooseberrylb_testbed::engine::model::{Action, Job, Profile};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// How many draws are played.
const SEEDS: u64 = 30;
/// Callers that each send one request after the other.
const CALLERS: u64 = 12;
/// The speed of each engine of a version as a multiple of the first one's, its slots, and where it is.
const ENGINES: [(f64, u32, &str); 3] =
    [(1.0, 16, "cremona"), (1.6, 8, "lodi"), (2.56, 8, "mantova")];
/// The decode rate of the first engine, in tokens a second.
const DECODE_RATE: f64 = 80.0;
/// The prefill rate of the first engine, in tokens a second.
const PREFILL_RATE: f64 = 6_000.0;
/// The tokens of a prompt, and of an answer.
const PROMPT: u64 = 6;
const OUTPUT: u64 = 4;
/// How long a request or an answer is on its way at most.
const MOST_ON_THE_WAY: Duration = Duration::from_millis(6);
/// How long the move has run at each share of the new version.
const STEPS: [(f64, u64); 3] = [(0.2, 10), (0.5, 10), (0.9, 20)];
/// How much slower than the old version one is that must be found.
const SLOW: f64 = 2.5;

/// What happens next.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Ask,
    Arrive(u64),
    Wake(usize),
    End(u64),
}

struct Run {
    engine: usize,
    granted: Duration,
    sent: Duration,
    first: Duration,
    last: Duration,
}

struct Play {
    rng: ChaCha8Rng,
    start: Instant,
    now: Duration,
    share: f64,
    engines: Vec<Model>,
    running: Vec<u32>,
    occupancies: Vec<Occupancy>,
    wakes: Vec<Duration>,
    runs: BTreeMap<u64, Run>,
    events: BinaryHeap<Reverse<(Duration, Event)>>,
    asked: u64,
    brake: Breaker,
    trip: Option<Trip>,
}

fn version(new: bool) -> id::Version {
    id::Version::new(if new { "model@2" } else { "model@1" }).unwrap()
}

fn upstream(engine: usize) -> id::Upstream {
    id::Upstream::new(&format!("engine-{engine}")).unwrap()
}

fn cell() -> Cell {
    Cell {
        service: id::Service::new("model").unwrap(),
        region: id::Region::new("padana").unwrap(),
    }
}

/// The configuration: the engines of the old version, then those of the new one.
fn directory() -> Directory {
    let mut directory = Directory::default();
    let service = cell().service;
    for new in [false, true] {
        let mut upstreams = Vec::new();
        for (i, (_, slots, place)) in ENGINES.into_iter().enumerate() {
            let name = upstream(i + if new { ENGINES.len() } else { 0 });
            upstreams.push(name.clone());
            let described = note::Upstream {
                name: name.clone(),
                service: service.clone(),
                kind: note::Kind::Engine,
                address: "127.0.0.1:9".parse().unwrap(),
                data_centre: id::DataCentre::new(place).unwrap(),
                slots: number::Slots(slots),
                checks_fencing: true,
            };
            directory.upstreams.insert(name, described);
        }
        let described = note::Version {
            name: version(new),
            service: service.clone(),
            upstreams,
            replaces: new.then(|| version(false)),
            model: None,
            adapter: None,
            move_by: None,
        };
        directory.versions.insert(version(new), described);
    }
    let route = note::Route {
        name: id::Route::new("plan").unwrap(),
        tier: number::Tier(1),
        repeatable: true,
    };
    let described = note::Service {
        name: service.clone(),
        kind: note::Kind::Engine,
        routes: vec![route],
    };
    directory.services.insert(service, described);
    let scheduler = id::Instance::new("entry-1").unwrap();
    let view = View::new(number::View(1), scheduler, Vec::new());
    directory.views.push((cell(), view));
    directory
}

/// A move that widens.
fn ramping(epoch: SystemTime, share: f64, steps: u32) -> Move {
    Move {
        note: number::Note(1),
        service: cell().service,
        version: version(true),
        replaces: version(false),
        move_by: epoch + Duration::from_secs(600),
        accepted: epoch,
        phase: Phase::Ramping,
        share: Share((f64::from(Share::WHOLE.0) * share) as u16),
        steps,
        since: epoch,
        reason: "widened".into(),
    }
}

impl Play {
    fn new(seed: u64, slowdown: f64) -> Self {
        let engines = (0..2 * ENGINES.len()).map(|i| {
            let (speed, slots, _) = ENGINES[i % ENGINES.len()];
            let slowdown = if i < ENGINES.len() { 1.0 } else { slowdown };
            Model::new(Profile {
                prefill_rate: PREFILL_RATE * speed / slowdown,
                decode_rate: DECODE_RATE * speed / slowdown,
                slots,
                ..Profile::default()
            })
        });
        let ask = |i| Reverse((Duration::from_millis(i), Event::Ask));
        Self {
            rng: ChaCha8Rng::seed_from_u64(seed),
            start: Instant::now(),
            now: Duration::ZERO,
            share: 0.0,
            engines: engines.collect(),
            running: vec![0; 2 * ENGINES.len()],
            occupancies: vec![Occupancy::default(); 2 * ENGINES.len()],
            wakes: vec![Duration::MAX; 2 * ENGINES.len()],
            runs: BTreeMap::new(),
            events: (0..CALLERS).map(ask).collect(),
            asked: 0,
            brake: Breaker::new(cell(), 1),
            trip: None,
        }
    }

    /// Plays the move; with `taken_over`, another scheduler begins anew at the second step.
    fn finish(mut self, taken_over: bool) -> Option<Trip> {
        let epoch = SystemTime::UNIX_EPOCH + Duration::from_secs(1_800_000_000);
        let directory = directory();
        let mut end = Duration::ZERO;
        for (step, (share, seconds)) in STEPS.into_iter().enumerate() {
            self.share = share;
            if taken_over && step == 1 {
                self.brake = Breaker::new(cell(), 2);
            }
            let of = ramping(epoch, share, step as u32 + 1);
            let moves = BTreeMap::from([(of.version.clone(), of)]);
            let (now, wall) = (self.start + self.now, epoch + self.now);
            let view = number::View(1 + step as u64);
            self.brake.configure(now, wall, view, &moves, &directory);
            end += Duration::from_secs(seconds);
            while let Some(Reverse((at, _))) = self.events.peek()
                && *at < end
                && self.trip.is_none()
            {
                self.next();
            }
        }
        self.trip
    }

    fn next(&mut self) {
        let Some(Reverse((at, event))) = self.events.pop() else {
            return;
        };
        self.now = at;
        match event {
            Event::Ask => self.ask(),
            Event::Arrive(number) => self.arrive(number),
            Event::Wake(engine) => self.wake(engine),
            Event::End(number) => self.end(number),
        }
    }

    fn push(&mut self, after: Duration, event: Event) {
        self.events.push(Reverse((self.now + after, event)));
    }

    fn on_the_way(&mut self) -> Duration {
        MOST_ON_THE_WAY.mul_f64(self.rng.random())
    }

    /// Grants a request the engine of its version that is the least loaded for its speed.
    fn ask(&mut self) {
        self.asked += 1;
        let first = if self.rng.random_bool(self.share) {
            ENGINES.len()
        } else {
            0
        };
        let load = |i: &usize| f64::from(self.running[*i] + 1) / ENGINES[i - first].0;
        let engine = (first..first + ENGINES.len())
            .min_by(|a, b| load(a).total_cmp(&load(b)))
            .unwrap();
        self.running[engine] += 1;
        let (running, now) = (self.running[engine], self.start + self.now);
        self.occupancies[engine].record(running, now);
        let run = Run {
            engine,
            granted: self.now,
            sent: self.now,
            first: Duration::ZERO,
            last: Duration::ZERO,
        };
        self.runs.insert(self.asked, run);
        let after = self.on_the_way();
        self.push(after, Event::Arrive(self.asked));
    }

    fn arrive(&mut self, number: u64) {
        let engine = self.runs[&number].engine;
        self.wake(engine);
        let job = Job {
            id: number.to_string().into(),
            prompt: PROMPT,
            prefix: [].into(),
            output: OUTPUT,
        };
        self.runs.get_mut(&number).unwrap().sent = self.now;
        self.engines[engine].admit(self.now, job);
        self.rest(engine);
    }

    fn wake(&mut self, engine: usize) {
        for event in self.engines[engine].advance(self.now) {
            match event.action {
                Action::Token { id, n } => {
                    let run = self.runs.get_mut(&id.parse().unwrap()).unwrap();
                    if n == 0 {
                        run.first = event.at;
                    }
                    run.last = event.at;
                }
                Action::Done { id } => {
                    let after = self.on_the_way();
                    self.push(after, Event::End(id.parse().unwrap()));
                }
                Action::Started { .. } | Action::Cache(_) => {}
            }
        }
        self.rest(engine);
    }

    fn rest(&mut self, engine: usize) {
        if let Some(wake) = self.engines[engine].wake()
            && self.wakes[engine] != wake
        {
            self.wakes[engine] = wake;
            self.push(wake.saturating_sub(self.now), Event::Wake(engine));
        }
    }

    fn end(&mut self, number: u64) {
        let run = self.runs.remove(&number).unwrap();
        let until = self.now - (run.last - run.first);
        let running =
            self.occupancies[run.engine].peak(self.start + run.granted, self.start + until);
        self.running[run.engine] -= 1;
        self.occupancies[run.engine].record(self.running[run.engine], self.start + self.now);
        let (_, _, place) = ENGINES[run.engine % ENGINES.len()];
        let sample = Sample {
            version: version(run.engine >= ENGINES.len()),
            route: id::Route::new("plan").unwrap(),
            upstream: upstream(run.engine),
            running,
            data_centre: id::DataCentre::new(place).unwrap(),
            failed: false,
            figures: Figures {
                first_token: run.first - run.sent,
                decode: run.last - run.first,
                prompt: number::Tokens(PROMPT),
                cached: number::Tokens(0),
                output: number::Tokens(OUTPUT),
            },
        };
        self.trip = self.brake.record(self.start + self.now, &sample);
        let after = self.on_the_way();
        self.push(after, Event::Ask);
    }
}

/// How many of the draws end with a proof against the version, and the last one.
fn tripped(slowdown: f64, taken_over: bool) -> (usize, Option<Trip>) {
    let trips: Vec<Trip> = (0..SEEDS)
        .filter_map(|seed| Play::new(seed, slowdown).finish(taken_over))
        .collect();
    (trips.len(), trips.last().cloned())
}

#[test]
fn good_version_with_most_of_the_traffic_is_not_taken_for_slow() {
    let (count, trip) = tripped(1.0, false);
    assert_eq!(count, 0, "{trip:?}");
}

#[test]
fn good_version_is_not_taken_for_slow_by_a_scheduler_that_took_over() {
    let (count, trip) = tripped(1.0, true);
    assert_eq!(count, 0, "{trip:?}");
}

#[test]
fn slow_version_with_most_of_the_traffic_is_found() {
    let (count, _) = tripped(SLOW, false);
    assert_eq!(count as u64, SEEDS);
}
