//! Test fixture: a service with upstreams, requests to it, and a scheduler driven in virtual time.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use gooseberrylb_config::directory::{Cell, Directory, Instance, Share, View};
use gooseberrylb_config::{id, note, number};
use gooseberrylb_policy::request::{Cost, Figures, Id, Key, Outcome, Request};
use gooseberrylb_policy::scheduler::{
    Claim, Decision, End, Grant, Input, Output, Record, Refusal, Scheduler,
};

pub const SEED: u64 = 7;

pub fn name<T: std::str::FromStr>(text: &str) -> T
where
    T::Err: std::fmt::Debug,
{
    text.parse().expect("a fixed name is valid")
}

pub fn address() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 9))
}

pub fn cell() -> Cell {
    Cell {
        service: name("agronomo"),
        region: name("padana"),
    }
}

pub fn view(number: u64, backups: &[&str]) -> View {
    View::new(
        number::View(number),
        name("entry-1"),
        backups.iter().map(|backup| name(backup)).collect(),
    )
}

/// Returns a directory with one service, three entries, and versions given as `(name, share,
/// upstreams, slots)`. Every version but the first replaces the first.
pub fn directory(kind: note::Kind, versions: &[(&str, u16, &[&str], u32)]) -> Directory {
    let mut directory = Directory::default();
    let service: id::Service = name("agronomo");
    let described = note::Service {
        name: service.clone(),
        kind,
        routes: Vec::new(),
    };
    directory.services.insert(service.clone(), described);
    for entry in ["entry-1", "entry-2", "entry-3"] {
        let instance = Instance {
            data_centre: name("lodi"),
            region: name("padana"),
            callers: address(),
            operators: address(),
            peers: address(),
            leaving: false,
            entry: true,
        };
        directory.instances.insert(name(entry), instance);
    }
    let replaced: id::Version = name(versions[0].0);
    for (version, share, upstreams, slots) in versions {
        for upstream in *upstreams {
            let upstream = note::Upstream {
                name: name(upstream),
                service: service.clone(),
                kind,
                address: address(),
                data_centre: name("lodi"),
                slots: number::Slots(*slots),
                checks_fencing: false,
            };
            directory.upstreams.insert(upstream.name.clone(), upstream);
        }
        let version: id::Version = name(version);
        let described = note::Version {
            name: version.clone(),
            service: service.clone(),
            upstreams: upstreams.iter().map(|upstream| name(upstream)).collect(),
            replaces: (version != replaced).then(|| replaced.clone()),
            model: None,
            adapter: None,
            move_by: None,
        };
        directory.versions.insert(version.clone(), described);
        directory.shares.insert(version, Share(*share));
    }
    directory
}

pub fn id(entry: &str, number: u64) -> Id {
    Id {
        entry: name(entry),
        incarnation: 1,
        number,
    }
}

pub fn key(text: &str) -> Key {
    Key {
        account: name("orsenigo"),
        text: Arc::from(text),
    }
}

/// Returns a repeatable request without a key.
pub fn request(entry: &str, number: u64, tier: u8) -> Request {
    Request {
        id: id(entry, number),
        key: None,
        route: name("reading"),
        tier: number::Tier(tier),
        account: name("orsenigo"),
        repeatable: true,
        cost: cost(100, 50),
        prefix: Arc::from([]),
        time_left: Duration::from_secs(20),
        data_centre: name("lodi"),
    }
}

/// Returns a request with the key `text`, which must run at most once.
pub fn keyed_request(entry: &str, number: u64, text: &str) -> Request {
    Request {
        key: Some(key(text)),
        repeatable: false,
        ..request(entry, number, 1)
    }
}

pub fn cost(prompt: u64, output: u64) -> Cost {
    Cost {
        prompt: number::Tokens(prompt),
        output: number::Tokens(output),
    }
}

/// Returns the end of a request, with fixed figures.
pub fn end(id: &Id, grant: &Grant, outcome: Outcome) -> Input {
    Input::End(End {
        id: id.clone(),
        ticket: grant.ticket,
        outcome,
        failed: false,
        cancelled: false,
        figures: Figures {
            first_token: Duration::from_millis(100),
            decode: Duration::from_millis(500),
            prompt: number::Tokens(100),
            cached: number::Tokens(0),
            output: number::Tokens(50),
        },
        answer: None,
    })
}

/// A scheduler with its virtual clock and the outputs so far.
pub struct Bench {
    pub scheduler: Scheduler,
    pub now: Instant,
    pub decisions: Vec<(Id, Decision)>,
    pub copies: Vec<(u64, Vec<Record>)>,
}

impl Bench {
    pub fn new(directory: Directory, view: View) -> Self {
        Self::take_over(directory, view, BTreeMap::new(), Instant::now())
    }

    /// Creates a scheduler with the claims of an earlier view.
    pub fn take_over(
        directory: Directory,
        view: View,
        claims: BTreeMap<Key, Claim>,
        now: Instant,
    ) -> Self {
        let scheduler = Scheduler::new(cell(), view, Arc::new(directory), claims, now, SEED);
        Self {
            scheduler,
            now,
            decisions: Vec::new(),
            copies: Vec::new(),
        }
    }

    /// Feeds an input and returns the resulting decisions.
    pub fn step(&mut self, input: Input) -> Vec<(Id, Decision)> {
        let mut decisions = Vec::new();
        for output in self.scheduler.step(self.now, input) {
            match output {
                Output::Decide(id, decision) => decisions.push((id, decision)),
                Output::Copy { sequence, records } => self.copies.push((sequence, records)),
            }
        }
        self.decisions.extend(decisions.clone());
        decisions
    }

    pub fn enqueue(&mut self, request: Request) -> Vec<(Id, Decision)> {
        self.step(Input::Enqueue(request))
    }

    /// Acknowledges all batches copied so far on behalf of every backup.
    pub fn acknowledge(&mut self) -> Vec<(Id, Decision)> {
        self.step(Input::Acknowledged(self.scheduler.sequence()))
    }

    /// Advances the clock and feeds a tick.
    pub fn advance(&mut self, time: Duration) -> Vec<(Id, Decision)> {
        self.now += time;
        self.step(Input::Tick)
    }
}

/// Returns the grant if it is the only decision and belongs to request `id`; panics otherwise.
pub fn granted(decisions: &[(Id, Decision)], id: &Id) -> Grant {
    match decisions {
        [(to, Decision::Grant(grant))] if to == id => grant.clone(),
        other => panic!("expected one grant to {id}, not {other:?}"),
    }
}

/// Returns the reason if a refusal of request `id` is the only decision; panics otherwise.
pub fn refused(decisions: &[(Id, Decision)], id: &Id) -> Refusal {
    match decisions {
        [(to, Decision::Refuse { reason, .. })] if to == id => *reason,
        other => panic!("expected one refusal of {id}, not {other:?}"),
    }
}
