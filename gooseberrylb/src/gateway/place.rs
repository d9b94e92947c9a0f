//! How an entry gets an upstream for a request: from the dispatcher, or by itself while that is
//! silent.

use std::cell::{Cell, RefCell};
use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use async_std::{future, task};
use gooseberrylb_config::directory::{Directory, Listed};
use gooseberrylb_config::{id, number};
use gooseberrylb_policy::dispatch::refusals::Refusals;
use gooseberrylb_policy::dispatch::{
    Charge, Decision, Dispatcher, Key, Notice, Outcome, Rates, Reason, Request, Running,
};
use gooseberrylb_policy::quota::Usage;

use crate::control::Core;
use crate::control::dispatch;
use crate::gateway::line::{Leader, Line};
use crate::metrics::METRICS;

/// How long the dispatcher may take for its first word on a request. It answers within a few
/// milliseconds when it is well; calls whose objective is 100 ms must still be served in time.
const ASK_TIMEOUT: Duration = Duration::from_millis(60);

/// How long the entry decides itself after the dispatcher was silent.
const ALONE: Duration = Duration::from_millis(300);

/// How much longer than a request may wait its decision is waited for.
const DECISION_SLACK: Duration = Duration::from_millis(200);

/// For how long ends of requests are gathered into one message.
const GATHER: Duration = Duration::from_millis(5);

/// The most charges kept for a dispatcher that cannot be told; about what an entry serves in a minute.
const MAX_CHARGES: usize = 8_192;

/// The span in which what an account uses is added up, for dispatchers that are new.
const SPENT_STEP: Duration = Duration::from_millis(250);

/// The most ends of requests kept for a dispatcher that is not there; their slots are known to be free
/// without them, later.
const MAX_ENDED: usize = 8_192;

/// How long a line may be silent while questions stand on it, before another one is opened.
const SILENCE: Duration = Duration::from_millis(600);

/// What was decided.
pub enum Placement {
    /// The request has an upstream.
    Granted(Grant),
    /// It is refused, and may come back after this time.
    Refused(Reason, Duration),
}

/// Leave to send a request to an upstream. Dropped without an outcome, it was not used or given up.
pub struct Grant {
    /// The upstream.
    pub upstream: id::Upstream,
    /// What is listed of it.
    pub listed: std::sync::Arc<Listed>,
    /// Whether the entry decided itself.
    pub alone: bool,
    place: Rc<Place>,
    key: Key,
    ended: bool,
}

impl Grant {
    /// Tells what became of the request.
    pub fn end(mut self, outcome: Outcome) {
        self.ended = true;
        self.place.end(&self.key, outcome);
    }

    /// Tells that the upstream has been silent for longer than expected.
    pub fn silent(&self) {
        self.place.outbox.borrow_mut().silent.push(self.key.clone());
        self.place.flush_soon();
    }
}

impl Drop for Grant {
    fn drop(&mut self) {
        if !self.ended {
            self.place.end(&self.key, Outcome::Dropped);
        }
    }
}

/// A charge that no dispatcher is known to have taken in.
struct Untaken {
    charge: Charge,
    /// When the request was placed.
    at: Instant,
    /// The notice on the present line that told of it.
    told: Option<u64>,
}

/// Places the requests of one entry.
pub struct Place {
    core: Rc<Core>,
    number: Cell<u64>,
    running: RefCell<HashMap<Key, Running>>,
    /// What was measured of upstreams here, for dispatchers that are new.
    rates: RefCell<HashMap<id::Upstream, (id::Service, Rates)>>,
    outbox: RefCell<Notice>,
    /// What accounts used by requests placed here, by whoever.
    spent: RefCell<HashMap<id::Account, VecDeque<(Instant, f64)>>>,
    started: Instant,
    /// The accounts that have used up their quotas, so that nobody needs to be asked.
    over_quota: RefCell<Refusals>,
    flushing: Cell<bool>,
    /// The line to the dispatcher, which was told all that runs here and is told of each change.
    line: RefCell<Option<Rc<Line>>>,
    /// What counts against quotas of what this entry placed itself, until a dispatcher took it in.
    untaken: RefCell<VecDeque<Untaken>>,
    alone_until: Cell<Option<Instant>>,
    /// Decides while the dispatcher is silent, over this entry's own requests alone.
    own: RefCell<Dispatcher>,
    own_revision: Cell<Option<number::Revision>>,
}

impl Place {
    /// Makes the placing of an entry.
    pub fn new(core: Rc<Core>) -> Rc<Self> {
        Rc::new(Self {
            started: core.clock.now(),
            core,
            number: Cell::new(0),
            running: RefCell::default(),
            rates: RefCell::default(),
            outbox: RefCell::default(),
            spent: RefCell::default(),
            over_quota: RefCell::default(),
            flushing: Cell::new(false),
            line: RefCell::default(),
            untaken: RefCell::default(),
            alone_until: Cell::new(None),
            own: RefCell::default(),
            own_revision: Cell::new(None),
        })
    }

    /// A key for a new attempt.
    pub fn key(&self) -> Key {
        self.number.set(self.number.get() + 1);
        Key {
            entry: self.core.identity.name.clone(),
            incarnation: self.core.identity.incarnation,
            number: self.number.get(),
        }
    }

    /// Finds an upstream for a request, or has it refused.
    pub async fn place(self: &Rc<Self>, ask: Request) -> Placement {
        let now = self.core.clock.now();
        if let Some(left) = self.over_quota.borrow().remaining(&ask, now) {
            return Placement::Refused(Reason::Quota, left);
        }
        if self.alone_until.get().is_some_and(|end| now < end) {
            return self.decide_alone(ask);
        }
        let Some((line, address)) = self.line() else {
            return self.decide_alone(ask);
        };
        let pending = Pending {
            place: self,
            line: &line,
            key: ask.key.clone(),
            settled: Cell::new(false),
        };
        let answers = line.ask(ask.clone(), now);
        let first = future::timeout(ASK_TIMEOUT, answers.recv()).await;
        let mut decision = first.ok().and_then(Result::ok);
        if decision == Some(Decision::Wait) {
            let limit = ask.hold + DECISION_SLACK;
            decision = match future::timeout(limit, answers.recv()).await {
                Ok(decided) => decided.ok(),
                // It has waited for as long as it may, whatever became of the dispatcher.
                Err(_) => Some(Decision::Refuse(Reason::Busy, ALONE)),
            };
        }
        let is_decided = !matches!(decision, None | Some(Decision::Unknown));
        if is_decided && self.alone_until.take().is_some() {
            log::info!(dispatcher:% = address; "the dispatcher answers again");
        }
        match decision {
            Some(Decision::Grant(upstream)) => match self.grant(&ask, &upstream, false) {
                Some(grant) => {
                    pending.settled.set(true);
                    Placement::Granted(grant)
                }
                // The list has changed since, so the dispatcher will know soon as well.
                None => self.decide_alone(ask),
            },
            Some(Decision::Refuse(reason, pause)) => {
                pending.settled.set(true);
                if reason == Reason::Quota {
                    self.over_quota.borrow_mut().record(&ask, pause, now);
                }
                Placement::Refused(reason, pause)
            }
            Some(Decision::Wait | Decision::Unknown) | None => {
                self.lose_dispatcher(&line, address, now);
                // What became of the question is not known, so its key is not used for another place.
                self.decide_alone(Request {
                    key: self.key(),
                    ..ask
                })
            }
        }
    }

    fn lose_dispatcher(&self, line: &Line, address: SocketAddr, now: Instant) {
        if self.alone_until.replace(Some(now + ALONE)).is_none() {
            log::warn!(dispatcher:% = address; "the dispatcher is silent; requests are placed by this entry alone");
        }
        METRICS.dispatcher_lost.inc();
        // One that is only late is asked on the same line again.
        if line.silence(now) > SILENCE {
            line.close();
        }
        self.core.suspect(address);
    }

    /// Where the dispatcher is, as far as it is known.
    fn dispatcher(&self) -> Option<(SocketAddr, Leader)> {
        let published = self.core.published();
        let leader = published.leader.clone()?;
        let address = self.core.address_of(&leader)?;
        Some((address, (leader, published.term)))
    }

    /// The line to the dispatcher; a new one begins with all that runs here.
    fn line(&self) -> Option<(Rc<Line>, SocketAddr)> {
        let (address, leader) = self.dispatcher()?;
        if let Some(line) = &*self.line.borrow()
            && line.is_alive()
            && line.leader == leader
        {
            return Some((line.clone(), address));
        }
        log::info!(leader:% = leader.0, term = leader.1.0; "requests are placed by a dispatcher");
        let line = Rc::new(Line::open(&self.core, address, leader));
        *self.line.borrow_mut() = Some(line.clone());
        self.untaken
            .borrow_mut()
            .iter_mut()
            .for_each(|untaken| untaken.told = None);
        let notice = Notice {
            // Requests that were withdrawn may wait at this dispatcher since an earlier line.
            ended: self.outbox.take().ended,
            spent: self.spent(),
            ..self.own_notice(&self.core.published().directory)
        };
        self.tell(&line, notice);
        Some((line, address))
    }

    /// Takes note of what a request counts that is placed.
    fn spend(&self, ask: &Request) {
        let Some(account) = ask.account.clone().filter(|_| ask.units > 0.0) else {
            return;
        };
        let now = self.core.clock.now();
        let mut spent = self.spent.borrow_mut();
        let spent = spent.entry(account).or_default();
        match spent.back_mut() {
            Some((at, units)) if now < *at + SPENT_STEP => *units += ask.units,
            _ => spent.push_back((now, ask.units)),
        }
        let window = self.quota_window();
        while spent.front().is_some_and(|(at, _)| *at + window < now) {
            spent.pop_front();
        }
    }

    fn quota_window(&self) -> Duration {
        dispatch::quota_window(&self.core)
    }

    /// What was used by requests placed here, unless an earlier process may have placed some.
    fn spent(&self) -> Option<(id::Instance, Vec<(id::Account, Usage)>)> {
        let now = self.core.clock.now();
        if now < self.started + self.quota_window() {
            return None;
        }
        let spent = self.spent.borrow();
        let accounts = spent.iter().map(|(account, spent)| {
            let aged = spent.iter();
            let aged = aged.map(|(at, units)| (now.saturating_duration_since(*at), *units));
            (account.clone(), aged.collect())
        });
        Some((self.core.identity.name.clone(), accounts.collect()))
    }

    /// Tells what happened, with the charges that were not told on this line yet.
    fn tell(&self, line: &Line, mut notice: Notice) {
        let now = self.core.clock.now();
        let (number, taken) = (line.next_number(), line.taken());
        let mut untaken = self.untaken.borrow_mut();
        untaken.retain(|untaken| untaken.told.is_none_or(|told| told > taken));
        for untaken in untaken.iter_mut().filter(|untaken| untaken.told.is_none()) {
            untaken.told = Some(number);
            notice.charges.push(Charge {
                age: now.saturating_duration_since(untaken.at),
                ..untaken.charge.clone()
            });
        }
        line.tell(notice);
    }

    fn grant(
        self: &Rc<Self>,
        ask: &Request,
        upstream: &id::Upstream,
        alone: bool,
    ) -> Option<Grant> {
        let published = self.core.published();
        let listed = published.directory.listed.get(upstream)?.clone();
        let running = Running {
            key: ask.key.clone(),
            service: ask.service.clone(),
            upstream: upstream.clone(),
            prompt: ask.prompt,
            patience: ask.patience,
        };
        self.running.borrow_mut().insert(ask.key.clone(), running);
        self.spend(ask);
        Some(Grant {
            upstream: upstream.clone(),
            listed,
            alone,
            place: self.clone(),
            key: ask.key.clone(),
            ended: false,
        })
    }

    /// Decides by what this entry knows itself: its own requests, and its part of the quotas.
    fn decide_alone(self: &Rc<Self>, ask: Request) -> Placement {
        let now = self.core.clock.now();
        let published = self.core.published();
        METRICS.placed_alone.inc();
        let mut own = self.own.borrow_mut();
        if self.own_revision.get() != Some(published.directory.revision) {
            self.own_revision.set(Some(published.directory.revision));
            let part = self.part(&published.directory);
            dispatch::refresh(&self.core, &published.directory, &mut own, Some(part), now);
            own.apply(self.own_notice(&published.directory), now);
        }
        let decision = own.place(ask.clone(), now);
        let dropped = Notice {
            ended: vec![(ask.key.clone(), Outcome::Dropped)],
            ..Notice::default()
        };
        match decision {
            Decision::Grant(upstream) => match self.grant(&ask, &upstream, true) {
                Some(grant) => {
                    self.report_own(ask);
                    Placement::Granted(grant)
                }
                None => Placement::Refused(Reason::NoUpstream, ALONE),
            },
            Decision::Refuse(reason, pause) => Placement::Refused(reason, pause),
            Decision::Wait | Decision::Unknown => {
                own.apply(dropped, now);
                Placement::Refused(Reason::Busy, ALONE)
            }
        }
    }

    /// Has the dispatcher told of a request that was placed without it.
    fn report_own(self: &Rc<Self>, ask: Request) {
        let mut outbox = self.outbox.borrow_mut();
        let running = self.running.borrow();
        outbox.started.extend(running.get(&ask.key).cloned());
        if let Some(account) = ask.account {
            let mut untaken = self.untaken.borrow_mut();
            untaken.push_back(Untaken {
                charge: Charge {
                    key: ask.key,
                    account,
                    units: ask.units,
                    age: Duration::ZERO,
                },
                at: self.core.clock.now(),
                told: None,
            });
            if untaken.len() > MAX_CHARGES {
                untaken.pop_front();
            }
        }
        drop(outbox);
        self.flush_soon();
    }

    fn part(&self, directory: &Directory) -> dispatch::Part {
        let instances = directory.instances.iter();
        let entries: Vec<_> = instances.filter(|(_, i)| i.entry && !i.leaving).collect();
        let own = |(name, _): &(&id::Instance, _)| **name == self.core.identity.name;
        dispatch::Part {
            index: entries.iter().position(own).unwrap_or_default(),
            count: entries.len(),
        }
    }

    /// All that runs here and what was measured, for a dispatcher that is new.
    fn own_notice(&self, directory: &Directory) -> Notice {
        let running = self.running.borrow().values().cloned().collect();
        let mut rates = self.rates.borrow_mut();
        rates.retain(|upstream, _| directory.listed.contains_key(upstream));
        let rates = rates
            .iter()
            .map(|(upstream, (service, rates))| (service.clone(), upstream.clone(), *rates));
        Notice {
            running: Some((self.core.identity.name.clone(), running)),
            rates: rates.collect(),
            ..Notice::default()
        }
    }

    fn end(self: &Rc<Self>, key: &Key, outcome: Outcome) {
        if let Some(run) = self.running.borrow_mut().remove(key) {
            let mut rates = self.rates.borrow_mut();
            let known = rates.entry(run.upstream);
            let (_, known) = known.or_insert_with(|| (run.service, Rates::default()));
            known.record(run.prompt, Duration::ZERO, &outcome);
        }
        let ended = vec![(key.clone(), outcome)];
        let now = self.core.clock.now();
        let notice = Notice {
            ended: ended.clone(),
            ..Notice::default()
        };
        self.own.borrow_mut().apply(notice, now);
        self.outbox.borrow_mut().ended.extend(ended);
        self.flush_soon();
    }

    fn flush_soon(self: &Rc<Self>) {
        if self.flushing.replace(true) {
            return;
        }
        let place = self.clone();
        task::spawn_local(async move {
            task::sleep(GATHER).await;
            place.flushing.set(false);
            place.flush();
        });
    }

    fn flush(&self) {
        let line = self.line.borrow().clone();
        match line.filter(|line| line.is_alive()) {
            Some(line) => self.tell(&line, self.outbox.take()),
            // The next line begins with all that runs here, and with what was withdrawn.
            None => {
                let mut ended = self.outbox.take().ended;
                ended.truncate(MAX_ENDED);
                self.outbox.borrow_mut().ended = ended;
            }
        }
    }
}

/// Has a request withdrawn that is given up before it was decided on.
struct Pending<'a> {
    place: &'a Rc<Place>,
    line: &'a Line,
    key: Key,
    settled: Cell<bool>,
}

impl Drop for Pending<'_> {
    fn drop(&mut self) {
        self.line.forget(&self.key);
        if !self.settled.get() {
            let ended = (self.key.clone(), Outcome::Dropped);
            self.place.outbox.borrow_mut().ended.push(ended);
            self.place.flush_soon();
        }
    }
}
