//! Measures the number of grants per second on one core: `cargo run --release --example grants`.
//!
//! Arguments: the number of upstreams, the number of waiting requests, and `keyed` for requests
//! with idempotency keys.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::time::{Duration, Instant};

use gooseberrylb_config::directory::{Cell, Directory, Share, View};
use gooseberrylb_config::{id, note, number};
use gooseberrylb_policy::request::{Cost, Figures, Id, Key, Outcome, Request};
use gooseberrylb_policy::scheduler::{Decision, End, Grant, Input, Output, Scheduler};

/// Client accounts among which the requests are spread.
const ACCOUNTS: u64 = 20;
/// Slots per upstream.
const SLOTS: u32 = 16;
/// Requests finished and replaced during the measurement.
const MEASURED_GRANTS: u64 = 200_000;

fn main() {
    let mut arguments = std::env::args().skip(1);
    let mut number = |default| {
        arguments
            .next()
            .and_then(|text| text.parse().ok())
            .unwrap_or(default)
    };
    let upstreams: u32 = number(18);
    let waiting: u32 = number(1_000);
    let keyed = std::env::args().any(|argument| argument == "keyed");
    let mut bench = Bench::new(upstreams);
    let initial_requests = upstreams * SLOTS + waiting;
    for _ in 0..initial_requests {
        bench.arrive(keyed);
    }
    let start = Instant::now();
    let before = bench.granted;
    for _ in 0..MEASURED_GRANTS {
        bench.finish();
        bench.arrive(keyed);
    }
    let seconds = start.elapsed().as_secs_f64();
    let grants = bench.granted - before;
    println!(
        "{upstreams} upstreams, {waiting} waiting, keyed {keyed}: {:.0} grants/s",
        grants as f64 / seconds
    );
}

/// A scheduler with its virtual clock and the requests that are running.
struct Bench {
    scheduler: Scheduler,
    now: Instant,
    number: u64,
    granted: u64,
    running: VecDeque<(Id, Grant)>,
}

impl Bench {
    fn new(upstreams: u32) -> Self {
        let now = Instant::now();
        let cell = Cell {
            service: name("agronomo"),
            region: name("padana"),
        };
        let view = View::new(
            number::View(1),
            name("entry-1"),
            vec![name("entry-2"), name("entry-3")],
        );
        let directory = Arc::new(directory(upstreams));
        Self {
            scheduler: Scheduler::new(cell, view, directory, BTreeMap::new(), now, 1),
            now,
            number: 0,
            granted: 0,
            running: VecDeque::new(),
        }
    }

    /// Enqueues the next request.
    fn arrive(&mut self, keyed: bool) {
        self.number += 1;
        let account: id::Account = name(&format!("account-{}", self.number % ACCOUNTS));
        let key = keyed.then(|| Key {
            account: account.clone(),
            text: Arc::from(format!("key-{}", self.number)),
        });
        let request = Request {
            id: Id {
                entry: name(["entry-1", "entry-2", "entry-3"][self.number as usize % 3]),
                incarnation: 1,
                number: self.number,
            },
            key,
            route: name("plan"),
            tier: number::Tier(1 + (self.number % 4) as u8),
            account,
            repeatable: !keyed,
            cost: Cost {
                prompt: number::Tokens(100 + self.number % 1000),
                output: number::Tokens(50),
            },
            prefix: (0..8).map(|block| (self.number % 50) * 8 + block).collect(),
            time_left: Duration::from_secs(3600),
            data_centre: name("lodi"),
        };
        self.step(Input::Enqueue(request));
    }

    /// Ends the request that has been running longest.
    fn finish(&mut self) {
        let Some((id, grant)) = self.running.pop_front() else {
            return;
        };
        self.now += Duration::from_micros(50);
        self.step(Input::End(End {
            id,
            ticket: grant.ticket,
            outcome: Outcome::Served,
            failed: false,
            cancelled: false,
            figures: Figures {
                first_token: Duration::from_millis(60),
                decode: Duration::from_millis(500),
                prompt: number::Tokens(600),
                cached: number::Tokens(100),
                output: number::Tokens(50),
            },
            answer: None,
        }));
    }

    /// Feeds an input, counts the grants, and acknowledges the claims copied to backups.
    fn step(&mut self, input: Input) {
        let mut last_sequence = None;
        for output in self.scheduler.step(self.now, input) {
            match output {
                Output::Decide(id, Decision::Grant(grant)) => {
                    self.granted += 1;
                    self.running.push_back((id, grant));
                }
                Output::Decide(..) => {}
                Output::Copy { sequence, .. } => last_sequence = Some(sequence),
            }
        }
        if let Some(sequence) = last_sequence {
            self.step(Input::Acknowledged(sequence));
        }
    }
}

fn name<T: std::str::FromStr>(text: &str) -> T
where
    T::Err: std::fmt::Debug,
{
    text.parse().expect("a fixed name is valid")
}

/// Returns a directory with one engine service, one version and the given number of upstreams.
fn directory(upstreams: u32) -> Directory {
    let mut directory = Directory::default();
    let service: id::Service = name("agronomo");
    let described = note::Service {
        name: service.clone(),
        kind: note::Kind::Engine,
        routes: Vec::new(),
    };
    directory.services.insert(service.clone(), described);
    let names: Vec<id::Upstream> = (0..upstreams).map(|n| name(&format!("up-{n}"))).collect();
    for upstream in &names {
        let described = note::Upstream {
            name: upstream.clone(),
            service: service.clone(),
            kind: note::Kind::Engine,
            address: ([127, 0, 0, 1], 9).into(),
            data_centre: name("lodi"),
            slots: number::Slots(SLOTS),
            checks_fencing: false,
        };
        directory.upstreams.insert(upstream.clone(), described);
    }
    let version = note::Version {
        name: name("v1"),
        service,
        upstreams: names,
        replaces: None,
        model: None,
        adapter: None,
        move_by: None,
    };
    directory.shares.insert(version.name.clone(), Share::WHOLE);
    directory.versions.insert(version.name.clone(), version);
    directory
}
