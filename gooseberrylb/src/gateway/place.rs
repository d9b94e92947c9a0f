//! How an entry gets an upstream for a request: from the dispatcher, or by itself while that is
//! silent.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use async_std::{future, task};
use gooseberrylb_config::directory::{Directory, Listed};
use gooseberrylb_config::{id, number};
use gooseberrylb_policy::dispatch::{
    Ask, Decision, Dispatcher, Key, Notice, Outcome, Rates, Reason, Running,
};
use gooseberrylb_wire::codec;

use crate::control::Core;
use crate::control::dispatch;
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

/// How long telling the dispatcher may take.
const TELL_TIMEOUT: Duration = Duration::from_millis(1500);

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

/// Places the requests of one entry.
pub struct Place {
    core: Rc<Core>,
    number: Cell<u64>,
    running: RefCell<HashMap<Key, Running>>,
    /// What was measured of upstreams here, for dispatchers that are new.
    rates: RefCell<HashMap<id::Upstream, (id::Service, Rates)>>,
    outbox: RefCell<Notice>,
    flushing: Cell<bool>,
    /// The leader that knows what runs here.
    synced: RefCell<Option<(id::Instance, number::Term)>>,
    alone_until: Cell<Option<Instant>>,
    /// Decides while the dispatcher is silent, over this entry's own requests alone.
    own: RefCell<Dispatcher>,
    own_revision: Cell<Option<number::Revision>>,
}

impl Place {
    /// Makes the placing of an entry.
    pub fn new(core: Rc<Core>) -> Rc<Self> {
        Rc::new(Self {
            core,
            number: Cell::new(0),
            running: RefCell::default(),
            rates: RefCell::default(),
            outbox: RefCell::default(),
            flushing: Cell::new(false),
            synced: RefCell::default(),
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
    pub async fn place(self: &Rc<Self>, ask: Ask) -> Placement {
        let now = self.core.clock.now();
        if self.alone_until.get().is_some_and(|end| now < end) {
            return self.decide_alone(&ask);
        }
        let Some((address, leader)) = self.dispatcher() else {
            return self.decide_alone(&ask);
        };
        let pending = Pending {
            place: self,
            key: &ask.key,
            settled: Cell::new(false),
        };
        let mut decision = self.ask(address, leader, &ask).await;
        if decision == Some(Decision::Wait) {
            decision = self.wait(address, &ask).await;
        }
        match decision {
            Some(Decision::Grant(upstream)) => match self.grant(&ask, &upstream, false) {
                Some(grant) => {
                    pending.settled.set(true);
                    Placement::Granted(grant)
                }
                // The list has changed since, so the dispatcher will know soon as well.
                None => self.decide_alone(&ask),
            },
            Some(Decision::Refuse(reason, pause)) => {
                pending.settled.set(true);
                Placement::Refused(reason, pause)
            }
            Some(Decision::Wait | Decision::Unknown) | None => {
                self.lose_dispatcher(address, now);
                self.decide_alone(&ask)
            }
        }
    }

    fn lose_dispatcher(&self, address: SocketAddr, now: Instant) {
        if self.synced.borrow_mut().take().is_some() {
            log::warn!("the dispatcher is lost; requests are placed by this entry alone");
        }
        METRICS.dispatcher_lost.inc();
        self.core.suspect(address);
        self.alone_until.set(Some(now + ALONE));
    }

    /// Where the dispatcher is, as far as it is known.
    fn dispatcher(&self) -> Option<(SocketAddr, (id::Instance, number::Term))> {
        let published = self.core.published();
        let leader = published.leader.clone()?;
        let address = self.core.address_of(&leader)?;
        Some((address, (leader, published.term)))
    }

    async fn ask(
        &self,
        address: SocketAddr,
        leader: (id::Instance, number::Term),
        ask: &Ask,
    ) -> Option<Decision> {
        let link = self.core.links.to(address);
        let call = async {
            let client = link.client().await.ok()?;
            if self.synced.borrow().as_ref() != Some(&leader) {
                // Calls on one link arrive in their order, so the dispatcher knows before it decides.
                let notice = self.whole_notice();
                let mut request = client.tell_request();
                request.get().set_notice(&codec::encode(&notice).ok()?);
                let told = request.send();
                task::spawn_local(async move { told.promise.await.is_ok() });
                log::info!(leader:% = leader.0, term = leader.1.0; "requests are placed by a dispatcher");
                *self.synced.borrow_mut() = Some(leader);
            }
            let mut request = client.ask_request();
            request.get().set_request(&codec::encode(ask).ok()?);
            let response = request.send().promise.await.ok()?;
            codec::decode(response.get().ok()?.get_decision().ok()?).ok()
        };
        future::timeout(ASK_TIMEOUT, call).await.ok().flatten()
    }

    async fn wait(&self, address: SocketAddr, ask: &Ask) -> Option<Decision> {
        let link = self.core.links.to(address);
        let call = async {
            let client = link.client().await.ok()?;
            let mut request = client.decided_request();
            request.get().set_key(&codec::encode(&ask.key).ok()?);
            let response = request.send().promise.await.ok()?;
            codec::decode(response.get().ok()?.get_decision().ok()?).ok()
        };
        let limit = ask.hold + DECISION_SLACK;
        match future::timeout(limit, call).await {
            Ok(decision) => decision,
            // It has waited for as long as it may, whatever became of the dispatcher.
            Err(_) => Some(Decision::Refuse(Reason::Busy, ALONE)),
        }
    }

    fn grant(self: &Rc<Self>, ask: &Ask, upstream: &id::Upstream, alone: bool) -> Option<Grant> {
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
    fn decide_alone(self: &Rc<Self>, ask: &Ask) -> Placement {
        let now = self.core.clock.now();
        let published = self.core.published();
        METRICS.placed_alone.inc();
        let mut own = self.own.borrow_mut();
        if self.own_revision.get() != Some(published.directory.revision) {
            self.own_revision.set(Some(published.directory.revision));
            let part = self.part(&published.directory);
            dispatch::refresh(&self.core, &published.directory, &mut own, Some(part), now);
            own.tell(self.own_notice(&published.directory), now);
        }
        let decision = own.ask(ask.clone(), now);
        let dropped = Notice {
            ended: vec![(ask.key.clone(), Outcome::Dropped)],
            ..Notice::default()
        };
        match decision {
            Decision::Grant(upstream) => match self.grant(ask, &upstream, true) {
                Some(grant) => {
                    if let Some(account) = &ask.account {
                        let used = (account.clone(), ask.units);
                        self.outbox.borrow_mut().used.push(used);
                    }
                    Placement::Granted(grant)
                }
                None => Placement::Refused(Reason::NoUpstream, ALONE),
            },
            Decision::Refuse(reason, pause) => Placement::Refused(reason, pause),
            Decision::Wait | Decision::Unknown => {
                own.tell(dropped, now);
                Placement::Refused(Reason::Busy, ALONE)
            }
        }
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

    /// The same for the fleet's dispatcher, with what was placed without it.
    fn whole_notice(&self) -> Notice {
        Notice {
            used: self.outbox.take().used,
            ..self.own_notice(&self.core.published().directory)
        }
    }

    fn end(self: &Rc<Self>, key: &Key, outcome: Outcome) {
        if let Some(run) = self.running.borrow_mut().remove(key) {
            let mut rates = self.rates.borrow_mut();
            let known = rates.entry(run.upstream);
            let (_, known) = known.or_insert_with(|| (run.service, Rates::default()));
            known.measure(run.prompt, Duration::ZERO, &outcome);
        }
        let ended = vec![(key.clone(), outcome)];
        let now = self.core.clock.now();
        let notice = Notice {
            ended: ended.clone(),
            ..Notice::default()
        };
        self.own.borrow_mut().tell(notice, now);
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
            place.flush().await;
        });
    }

    async fn flush(&self) {
        let Some((address, leader)) = self.dispatcher() else {
            return;
        };
        if self.synced.borrow().as_ref() != Some(&leader) {
            // It will be told all that runs here before it is asked anything; what was used stays.
            let mut outbox = self.outbox.borrow_mut();
            outbox.ended.clear();
            outbox.silent.clear();
            return;
        }
        let notice = self.outbox.take();
        let link = self.core.links.to(address);
        let call = async {
            let client = link.client().await.ok()?;
            let mut request = client.tell_request();
            request.get().set_notice(&codec::encode(&notice).ok()?);
            let response = request.send().promise.await.ok()?;
            response.get().ok().map(|taken| taken.get_taken())
        };
        let taken = future::timeout(TELL_TIMEOUT, call).await.ok().flatten();
        if taken != Some(true) {
            self.synced.take();
        }
    }
}

/// Has a request withdrawn that is given up before it was decided on.
struct Pending<'a> {
    place: &'a Rc<Place>,
    key: &'a Key,
    settled: Cell<bool>,
}

impl Drop for Pending<'_> {
    fn drop(&mut self) {
        if !self.settled.get() {
            let ended = (self.key.clone(), Outcome::Dropped);
            self.place.outbox.borrow_mut().ended.push(ended);
            self.place.flush_soon();
        }
    }
}
