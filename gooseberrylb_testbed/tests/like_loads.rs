//! Compares versions under unequal load during a move, on simulated engines of the same speeds. The
//! new version has most of the traffic, so its engines are busier than those of the old version,
//! and requests reach an engine in another order than they were granted, as they do between
//! processes. The breaker must not judge a good version slow because of this, also after another
//! scheduler took over, and must still detect a version that is slow.

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

/// Number of simulations, each with its own seed.
const SEEDS: u64 = 30;
/// Number of callers, each of which sends one request after the other.
const CALLERS: u64 = 12;
/// Engines of each version: speed as a multiple of the first engine's, slots, and data centre.
const ENGINES: [(f64, u32, &str); 3] =
    [(1.0, 16, "cremona"), (1.6, 8, "lodi"), (2.56, 8, "mantova")];
/// Decode rate of the first engine, in tokens per second.
const DECODE_RATE: f64 = 80.0;
/// Prefill rate of the first engine, in tokens per second.
const PREFILL_RATE: f64 = 6_000.0;
/// Prompt length, in tokens.
const PROMPT_TOKENS: u64 = 6;
/// Response length, in tokens.
const OUTPUT_TOKENS: u64 = 4;
/// Maximum network delay of a request or a response.
const MAX_NETWORK_DELAY: Duration = Duration::from_millis(6);
/// Steps of the move: share of the new version, and duration in seconds.
const STEPS: [(f64, u64); 3] = [(0.2, 10), (0.5, 10), (0.9, 20)];
/// Slowdown of the new version relative to the old one, as a factor, that must be detected.
const SLOWDOWN_TO_DETECT: f64 = 2.5;

/// Scheduled event of the simulation.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    /// A caller sends a request.
    Send,
    /// A request arrives at its engine.
    Arrive(u64),
    /// The current step of an engine ends.
    StepEnd(usize),
    /// A response arrives at its caller.
    End(u64),
}

/// Request in flight. Times are since the start of the simulation.
struct InFlight {
    engine: usize,
    granted: Duration,
    /// Time of arrival at the engine.
    sent: Duration,
    /// Time of the first token.
    first: Duration,
    /// Time of the last token.
    last: Duration,
}

/// Simulation of one move with random network delays.
struct Simulation {
    rng: ChaCha8Rng,
    start: Instant,
    now: Duration,
    /// Current share of the new version.
    share: f64,
    engines: Vec<Model>,
    /// Number of requests in flight by engine.
    running: Vec<u32>,
    occupancies: Vec<Occupancy>,
    step_ends: Vec<Duration>,
    in_flight: BTreeMap<u64, InFlight>,
    events: BinaryHeap<Reverse<(Duration, Event)>>,
    last_number: u64,
    breaker: Breaker,
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

/// Returns a directory with the engines of the old version, then those of the new one.
fn directory() -> Directory {
    let mut directory = Directory::default();
    let service = cell().service;
    for new in [false, true] {
        let mut upstreams = Vec::new();
        for (i, (_, slots, data_centre)) in ENGINES.into_iter().enumerate() {
            let name = upstream(i + if new { ENGINES.len() } else { 0 });
            upstreams.push(name.clone());
            let declared = note::Upstream {
                name: name.clone(),
                service: service.clone(),
                kind: note::Kind::Engine,
                address: "127.0.0.1:9".parse().unwrap(),
                data_centre: id::DataCentre::new(data_centre).unwrap(),
                slots: number::Slots(slots),
                checks_fencing: true,
            };
            directory.upstreams.insert(name, declared);
        }
        let declared = note::Version {
            name: version(new),
            service: service.clone(),
            upstreams,
            replaces: new.then(|| version(false)),
            model: None,
            adapter: None,
            move_by: None,
        };
        directory.versions.insert(version(new), declared);
    }
    let route = note::Route {
        name: id::Route::new("plan").unwrap(),
        tier: number::Tier(1),
        repeatable: true,
    };
    let declared = note::Service {
        name: service.clone(),
        kind: note::Kind::Engine,
        routes: vec![route],
    };
    directory.services.insert(service, declared);
    let scheduler = id::Instance::new("entry-1").unwrap();
    let view = View::new(number::View(1), scheduler, Vec::new());
    directory.views.push((cell(), view));
    directory
}

/// Returns a move in the ramping phase.
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

impl Simulation {
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
        let send = |i| Reverse((Duration::from_millis(i), Event::Send));
        Self {
            rng: ChaCha8Rng::seed_from_u64(seed),
            start: Instant::now(),
            now: Duration::ZERO,
            share: 0.0,
            engines: engines.collect(),
            running: vec![0; 2 * ENGINES.len()],
            occupancies: vec![Occupancy::default(); 2 * ENGINES.len()],
            step_ends: vec![Duration::MAX; 2 * ENGINES.len()],
            in_flight: BTreeMap::new(),
            events: (0..CALLERS).map(send).collect(),
            last_number: 0,
            breaker: Breaker::new(cell(), 1),
            trip: None,
        }
    }

    /// Runs the move to its end or until the breaker trips. With `taken_over`, another scheduler
    /// with a new breaker takes over at the second step.
    fn run(mut self, taken_over: bool) -> Option<Trip> {
        let epoch = SystemTime::UNIX_EPOCH + Duration::from_secs(1_800_000_000);
        let directory = directory();
        let mut end = Duration::ZERO;
        for (step, (share, seconds)) in STEPS.into_iter().enumerate() {
            self.share = share;
            if taken_over && step == 1 {
                self.breaker = Breaker::new(cell(), 2);
            }
            let ramping_move = ramping(epoch, share, step as u32 + 1);
            let moves = BTreeMap::from([(ramping_move.version.clone(), ramping_move)]);
            let (now, wall) = (self.start + self.now, epoch + self.now);
            let view = number::View(1 + step as u64);
            self.breaker.configure(now, wall, view, &moves, &directory);
            end += Duration::from_secs(seconds);
            while let Some(Reverse((at, _))) = self.events.peek()
                && *at < end
                && self.trip.is_none()
            {
                self.run_next();
            }
        }
        self.trip
    }

    /// Handles the next event.
    fn run_next(&mut self) {
        let Some(Reverse((at, event))) = self.events.pop() else {
            return;
        };
        self.now = at;
        match event {
            Event::Send => self.send(),
            Event::Arrive(number) => self.arrive(number),
            Event::StepEnd(engine) => self.end_step(engine),
            Event::End(number) => self.end(number),
        }
    }

    fn push(&mut self, after: Duration, event: Event) {
        self.events.push(Reverse((self.now + after, event)));
    }

    fn network_delay(&mut self) -> Duration {
        MAX_NETWORK_DELAY.mul_f64(self.rng.random())
    }

    /// Sends a request to the engine of a random version that has the lowest load relative to its
    /// speed.
    fn send(&mut self) {
        self.last_number += 1;
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
        let request = InFlight {
            engine,
            granted: self.now,
            sent: self.now,
            first: Duration::ZERO,
            last: Duration::ZERO,
        };
        self.in_flight.insert(self.last_number, request);
        let after = self.network_delay();
        self.push(after, Event::Arrive(self.last_number));
    }

    fn arrive(&mut self, number: u64) {
        let engine = self.in_flight[&number].engine;
        self.end_step(engine);
        let job = Job {
            id: number.to_string().into(),
            prompt: PROMPT_TOKENS,
            prefix: [].into(),
            output: OUTPUT_TOKENS,
        };
        self.in_flight.get_mut(&number).unwrap().sent = self.now;
        self.engines[engine].admit(self.now, job);
        self.schedule_step_end(engine);
    }

    fn end_step(&mut self, engine: usize) {
        for event in self.engines[engine].advance(self.now) {
            match event.action {
                Action::Token { id, n } => {
                    let request = self.in_flight.get_mut(&id.parse().unwrap()).unwrap();
                    if n == 0 {
                        request.first = event.at;
                    }
                    request.last = event.at;
                }
                Action::Done { id } => {
                    let after = self.network_delay();
                    self.push(after, Event::End(id.parse().unwrap()));
                }
                Action::Started { .. } | Action::Cache(_) => {}
            }
        }
        self.schedule_step_end(engine);
    }

    /// Queues the end of an engine's current step, if it is not queued already.
    fn schedule_step_end(&mut self, engine: usize) {
        if let Some(step_end) = self.engines[engine].next_step_end()
            && self.step_ends[engine] != step_end
        {
            self.step_ends[engine] = step_end;
            self.push(step_end.saturating_sub(self.now), Event::StepEnd(engine));
        }
    }

    /// Records the measurements of a completed request in the breaker, and sends the caller's next
    /// request.
    fn end(&mut self, number: u64) {
        let request = self.in_flight.remove(&number).unwrap();
        let until = self.now - (request.last - request.first);
        let running =
            self.occupancies[request.engine].peak(self.start + request.granted, self.start + until);
        self.running[request.engine] -= 1;
        self.occupancies[request.engine]
            .record(self.running[request.engine], self.start + self.now);
        let (_, _, data_centre) = ENGINES[request.engine % ENGINES.len()];
        let sample = Sample {
            version: version(request.engine >= ENGINES.len()),
            route: id::Route::new("plan").unwrap(),
            upstream: upstream(request.engine),
            running,
            data_centre: id::DataCentre::new(data_centre).unwrap(),
            failed: false,
            figures: Figures {
                first_token: request.first - request.sent,
                decode: request.last - request.first,
                prompt: number::Tokens(PROMPT_TOKENS),
                cached: number::Tokens(0),
                output: number::Tokens(OUTPUT_TOKENS),
            },
        };
        self.trip = self.breaker.record(self.start + self.now, &sample);
        let after = self.network_delay();
        self.push(after, Event::Send);
    }
}

/// Returns the number of simulations in which the breaker trips, and the last trip.
fn count_trips(slowdown: f64, taken_over: bool) -> (usize, Option<Trip>) {
    let trips: Vec<Trip> = (0..SEEDS)
        .filter_map(|seed| Simulation::new(seed, slowdown).run(taken_over))
        .collect();
    (trips.len(), trips.last().cloned())
}

#[test]
fn good_version_with_most_of_the_traffic_is_not_judged_slow() {
    let (count, trip) = count_trips(1.0, false);
    assert_eq!(count, 0, "{trip:?}");
}

#[test]
fn good_version_is_not_judged_slow_by_a_scheduler_that_took_over() {
    let (count, trip) = count_trips(1.0, true);
    assert_eq!(count, 0, "{trip:?}");
}

#[test]
fn slow_version_with_most_of_the_traffic_is_detected() {
    let (count, _) = count_trips(SLOWDOWN_TO_DETECT, false);
    assert_eq!(count as u64, SEEDS);
}
