//! Adapts the product's scheduler to the balancer interface: passes its inputs and outputs
//! directly, without a network between them.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;
use std::time::{Duration, Instant};

use gooseberrylb_config::directory::{Cell, Directory, Share, View};
use gooseberrylb_config::note::{self, Kind};
use gooseberrylb_config::number::{Slots, Tier, Tokens};
use gooseberrylb_config::{id, number};
use gooseberrylb_policy::request::{Cost, Figures, Id, Key, Outcome, Request};
use gooseberrylb_policy::scheduler::{
    CacheChange, Decision, End, Grant, Input, Load, Output, Refusal, Scheduler,
};

use super::balancer::{Action, Balancer};
use super::trace::Trace;

/// Time until backups have acknowledged a claim: a round trip between data centres.
const COPY_TIME: Duration = Duration::from_millis(2);

/// Balancer that runs the product's scheduler.
pub struct Policy<'a> {
    trace: &'a Trace,
    scheduler: Scheduler,
    /// Instant that stands for the start of the trace.
    origin: Instant,
    /// Indices of the engines by name.
    engines: BTreeMap<id::Upstream, usize>,
    /// Names of the engines by index.
    names: Vec<id::Upstream>,
    /// Grants of the requests in flight.
    granted: HashMap<usize, Grant>,
    /// Queued requests as (tier, number), so that the last one has the lowest tier.
    waiting: BTreeSet<(u8, usize)>,
}

impl<'a> Policy<'a> {
    /// Returns a balancer for the service of `trace`.
    pub fn new(trace: &'a Trace, seed: u64) -> Self {
        let names: Vec<id::Upstream> = trace.engines.iter().map(|e| e.name.clone()).collect();
        let engines = names.iter().cloned().zip(0..).collect();
        let cell = Cell {
            service: trace.service.clone(),
            region: trace.region.clone(),
        };
        let view = View::new(
            number::View(1),
            trace.instances[0].clone(),
            trace.instances[1..].to_vec(),
        );
        let origin = Instant::now();
        let directory = Arc::new(directory(trace));
        let claims = BTreeMap::new();
        Self {
            scheduler: Scheduler::new(cell, view, directory, claims, origin, seed),
            trace,
            origin,
            engines,
            names,
            granted: HashMap::new(),
            waiting: BTreeSet::new(),
        }
    }

    fn step(&mut self, now: Duration, input: Input) -> Vec<Action> {
        let outputs = self.scheduler.step(self.origin + now, input);
        outputs
            .into_iter()
            .filter_map(|output| self.apply_output(output))
            .collect()
    }

    fn apply_output(&mut self, output: Output) -> Option<Action> {
        match output {
            Output::Copy { sequence, .. } => Some(Action::Wake {
                after: COPY_TIME,
                token: sequence,
            }),
            Output::Decide(id, decision) => {
                let request = id.number as usize;
                let tier = self.trace.tier(request);
                self.waiting.remove(&(tier, request));
                self.apply_decision(request, tier, decision)
            }
        }
    }

    fn apply_decision(&mut self, request: usize, tier: u8, decision: Decision) -> Option<Action> {
        match decision {
            Decision::Grant(grant) => {
                let engine = self.engines[&grant.upstream];
                self.granted.insert(request, grant);
                Some(Action::Dispatch { request, engine })
            }
            Decision::Refuse { reason, .. } => {
                let lowest_waiting = self.waiting.last().map_or(tier, |(tier, _)| *tier);
                let inverted = reason == Refusal::Shed && lowest_waiting > tier;
                Some(Action::Refuse { request, inverted })
            }
            // Idempotency keys are unique within a trace.
            Decision::Join { .. } | Decision::Ended { .. } => None,
        }
    }

    /// Reports the end of a granted request to the scheduler.
    fn end_request(
        &mut self,
        now: Duration,
        request: usize,
        outcome: Outcome,
        figures: Figures,
    ) -> Vec<Action> {
        let Some(grant) = self.granted.remove(&request) else {
            return Vec::new();
        };
        let end = End {
            id: self.request_id(request),
            ticket: grant.ticket,
            outcome,
            failed: false,
            cancelled: outcome != Outcome::Served,
            figures,
            answer: None,
        };
        self.step(now, Input::End(end))
    }

    fn request_id(&self, number: usize) -> Id {
        Id {
            entry: self.trace.instances[0].clone(),
            incarnation: 1,
            number: number as u64,
        }
    }

    /// Returns the data centre of the entry that takes a request.
    fn data_centre(&self, number: usize) -> id::DataCentre {
        let engines = &self.trace.engines;
        engines[number % engines.len()].data_centre.clone()
    }

    fn request(&self, number: usize) -> Request {
        let recorded = &self.trace.requests[number];
        let route = &self.trace.routes[recorded.route];
        let account = self.trace.accounts[recorded.account].name.clone();
        let key = Key {
            account: account.clone(),
            text: Arc::from(number.to_string()),
        };
        Request {
            id: self.request_id(number),
            key: (!route.repeatable).then_some(key),
            route: route.name.clone(),
            tier: Tier(route.tier),
            account,
            repeatable: route.repeatable,
            cost: Cost {
                prompt: Tokens(recorded.prompt),
                output: Tokens(recorded.max_tokens),
            },
            prefix: self.trace.job(number).prefix,
            time_left: route.timeout(),
            data_centre: self.data_centre(number),
        }
    }
}

impl Balancer for Policy<'_> {
    fn arrive(&mut self, now: Duration, request: usize) -> Vec<Action> {
        self.waiting.insert((self.trace.tier(request), request));
        self.step(now, Input::Enqueue(self.request(request)))
    }

    fn end(&mut self, now: Duration, request: usize, figures: Figures) -> Vec<Action> {
        self.end_request(now, request, Outcome::Served, figures)
    }

    fn expire(&mut self, now: Duration, request: usize) -> Vec<Action> {
        if self.waiting.remove(&(self.trace.tier(request), request)) {
            return self.step(now, Input::Withdraw(self.request_id(request)));
        }
        self.end_request(now, request, Outcome::Unknown, Figures::default())
    }

    fn report(&mut self, now: Duration, engine: usize, load: Load) -> Vec<Action> {
        self.step(now, Input::Load(self.names[engine].clone(), load))
    }

    fn cache(&mut self, now: Duration, engine: usize, changes: Vec<CacheChange>) -> Vec<Action> {
        self.step(now, Input::Cache(self.names[engine].clone(), changes))
    }

    fn wake(&mut self, now: Duration, token: u64) -> Vec<Action> {
        self.step(now, Input::Acknowledged(token))
    }

    fn tick(&mut self, now: Duration) -> Vec<Action> {
        self.step(now, Input::Tick)
    }
}

/// Returns the directory with the service, accounts and engines of `trace`.
fn directory(trace: &Trace) -> Directory {
    let (service, version) = (trace.service.clone(), trace.version.clone());
    let routes = trace.routes.iter().map(|route| note::Route {
        name: route.name.clone(),
        tier: Tier(route.tier),
        repeatable: route.repeatable,
    });
    let accounts = trace.accounts.iter().map(|account| {
        let (name, share) = (account.name.clone(), account.share);
        (name.clone(), note::Account { name, share })
    });
    let upstreams: BTreeMap<_, _> = trace
        .engines
        .iter()
        .zip(1..)
        .map(|(engine, port)| {
            let upstream = note::Upstream {
                name: engine.name.clone(),
                service: service.clone(),
                kind: Kind::Engine,
                address: ([127, 0, 0, 1], port).into(),
                data_centre: engine.data_centre.clone(),
                slots: Slots(engine.profile.slots),
                checks_fencing: false,
            };
            (upstream.name.clone(), upstream)
        })
        .collect();
    let declared_version = note::Version {
        name: version.clone(),
        service: service.clone(),
        upstreams: upstreams.keys().cloned().collect(),
        replaces: None,
        model: None,
        adapter: None,
        move_by: None,
    };
    let service = note::Service {
        name: service,
        kind: Kind::Engine,
        routes: routes.collect(),
    };
    Directory {
        services: BTreeMap::from([(service.name.clone(), service)]),
        accounts: accounts.collect(),
        upstreams,
        versions: BTreeMap::from([(version.clone(), declared_version)]),
        shares: BTreeMap::from([(version, Share::WHOLE)]),
        ..Directory::default()
    }
}
