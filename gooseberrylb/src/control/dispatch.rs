//! Hosts the dispatcher of the fleet, on the leader, or of a shard of a large fleet: keeps its
//! upstreams, rollouts and quotas current, sends its decisions to the entries, which are the
//! instances that take requests from callers, and exchanges requests with other shards.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;
use std::time::{Duration, Instant};

use async_channel::Sender;
use async_std::{future, task};
use gooseberrylb_config::declaration::Unit;
use gooseberrylb_config::directory::{self, Directory};
use gooseberrylb_config::id;
use gooseberrylb_config::number::{Revision, Term};
use gooseberrylb_policy::availability::Listing;
use gooseberrylb_policy::dispatch::{
    Decision, Dispatcher, Key, Notice, Outcome, Quota, Request, Summary, Upstream, share,
};
use gooseberrylb_policy::rollout;
use gooseberrylb_wire::dispatch::Answer;

use super::core::Core;
use crate::gateway::{self, session::Session};
use crate::metrics::METRICS;
use turn::Turns;

pub mod announce;
pub mod placement;
pub mod session;
mod turn;

/// Interval between two polls of the dispatcher while requests wait.
const BUSY_INTERVAL: Duration = Duration::from_millis(20);

/// Interval between two checks for waiting requests while none wait.
const IDLE_INTERVAL: Duration = Duration::from_millis(250);

/// Interval between two reports to the dispatchers of other shards. Quotas may be exceeded by what
/// is used meanwhile.
const REPORT_INTERVAL: Duration = Duration::from_millis(100);

/// Time limit for another dispatcher's answer to an offered request.
const OFFER_TIMEOUT: Duration = Duration::from_millis(100);

/// Time without the right to dispatch after which a shard's dispatcher starts anew; longer than the
/// interval at which it is checked.
const MAX_LAPSE: Duration = Duration::from_secs(1);

/// Least time between two openings of a session with the same dispatcher.
const REOPEN_PAUSE: Duration = Duration::from_millis(500);

/// Window in which the use of quotas is counted, if the settings have none.
const DEFAULT_WINDOW: Duration = Duration::from_secs(1);

/// Fraction of the settings' `trial_share` that a release receives while it is on trial. The rest
/// is reserved for the requests that it receives between its first bad responses and the proof.
const TRIAL_FRACTION: f64 = 0.6;

/// Requests that a dispatcher places.
#[derive(Debug, Clone, PartialEq, Eq)]
enum Scope {
    /// All requests of the fleet, as the leader of a term.
    Fleet(Term),
    /// The requests of a shard, by its name.
    Shard(id::DataCentre),
}

/// Dispatcher of an instance that dispatches the fleet or a shard, or may do so later.
#[derive(Default)]
pub struct Host {
    dispatcher: RefCell<Dispatcher>,
    /// Revision of the configuration that the dispatcher has.
    revision: Cell<Option<Revision>>,
    /// Requests that the dispatcher was created for.
    scope: RefCell<Option<Scope>>,
    /// When this instance last had the right to dispatch them.
    prepared: Cell<Option<Instant>>,
    /// Channel for the answers to each connected entry or dispatcher.
    sessions: RefCell<HashMap<id::Instance, Sender<Answer>>>,
    /// Turns of the sessions.
    turns: Turns,
    /// Sessions with the dispatchers of other shards, and when each was opened.
    peers: RefCell<BTreeMap<id::Instance, (Rc<Session>, Instant)>>,
}

impl Host {
    /// Updates the dispatcher to the current scope and configuration; returns whether this instance
    /// dispatches. The leader starts with an empty dispatcher in each term.
    fn prepare(&self, core: &Core) -> bool {
        let directory = core.feed.borrow().directory().clone();
        self.end_after_lapse(core.clock.now());
        let Some(scope) = scope(core, &directory) else {
            return false;
        };
        self.prepared.set(Some(core.clock.now()));
        if self.scope.borrow().as_ref() != Some(&scope) {
            log::info!(scope:? = scope; "dispatching started");
            self.scope.replace(Some(scope.clone()));
            self.revision.set(None);
            self.dispatcher.take();
            // Entries open new sessions and report all running requests to the new dispatcher.
            self.sessions.take();
            self.peers.take();
        }
        if self.revision.get() != Some(directory.revision) {
            self.revision.set(Some(directory.revision));
            let mut dispatcher = self.dispatcher.borrow_mut();
            let now = core.clock.now();
            let part = match scope {
                Scope::Fleet(_) => Part::Fleet,
                Scope::Shard(name) => Part::Shard(name),
            };
            refresh(core, &directory, &mut dispatcher, &part, now);
            if !core.is_leading() {
                // The leader compares with the list itself, which is newer.
                dispatcher.update_listing(|name| listing(&directory, name), now);
            }
            dispatcher.retain_entries(|entry| directory.instances.contains_key(entry), now);
        }
        true
    }

    /// Ends the dispatching of a shard that this instance had no right to dispatch for a while, or
    /// during which it did not run. Another dispatcher took over meanwhile, so that what is known
    /// here of running requests and of the use of quotas is out of date. A leader starts anew in its
    /// next term instead.
    fn end_after_lapse(&self, now: Instant) {
        let is_shard = matches!(&*self.scope.borrow(), Some(Scope::Shard(_)));
        let lapsed = self.prepared.get().is_some_and(|at| now > at + MAX_LAPSE);
        if is_shard && lapsed {
            log::info!(scope:? = self.scope.take(); "dispatching ended, since it had lapsed");
        }
    }

    /// Returns the decision on a request.
    pub fn place(&self, core: &Rc<Core>, request: Request) -> Decision {
        if !self.prepare(core) {
            return Decision::Unknown;
        }
        let decision = self
            .dispatcher
            .borrow_mut()
            .place(request, core.clock.now());
        METRICS
            .decisions
            .with_label_values(&[label(&decision)])
            .inc();
        self.count_cold_grants();
        if decision == Decision::Wait {
            self.offer(core);
        }
        decision
    }

    /// Returns the decision on a second copy of a request.
    fn place_copy(&self, core: &Core, request: Request) -> Decision {
        if !self.prepare(core) {
            return Decision::Unknown;
        }
        let mut dispatcher = self.dispatcher.borrow_mut();
        dispatcher.place_copy(request, core.clock.now())
    }

    /// Returns the answer with a decision.
    fn answer(&self, key: Key, decision: Decision) -> Answer {
        let due = match &decision {
            Decision::Grant(_) => self.dispatcher.borrow().copy_due(&key),
            Decision::Wait | Decision::Refuse(..) | Decision::Unknown => None,
        };
        Answer::Decided(key, decision, due)
    }

    /// Counts the grants of cold upstreams since the last call.
    fn count_cold_grants(&self) {
        let count = self.dispatcher.borrow_mut().take_cold_grants();
        METRICS.cold_grants.inc_by(count);
    }

    /// Returns the decision on a request that the dispatcher of another shard offers.
    fn place_offered(&self, core: &Core, request: Request) -> Decision {
        if !self.prepare(core) {
            return Decision::Unknown;
        }
        let mut dispatcher = self.dispatcher.borrow_mut();
        let decision = dispatcher.place_offered(request, core.clock.now());
        METRICS
            .offers
            .with_label_values(&["received", label(&decision)])
            .inc();
        decision
    }

    /// Takes over what the dispatcher of another shard reports.
    fn adopt_summary(&self, core: &Core, from: &id::Instance, summary: Summary) {
        if self.prepare(core) {
            let mut dispatcher = self.dispatcher.borrow_mut();
            dispatcher.adopt_summary(from, summary, core.clock.now());
        }
    }

    /// Whether an upstream has said that it leaves, as far as known here.
    pub fn is_leaving(&self, upstream: &id::Upstream) -> bool {
        self.dispatcher.borrow().is_leaving(upstream)
    }

    /// Compares what upstreams said of their availability with the list.
    pub fn update_listing(&self, listing: impl Fn(&id::Upstream) -> Listing, now: Instant) {
        self.dispatcher.borrow_mut().update_listing(listing, now);
    }

    /// Returns what was observed of a service's rollout, while this instance dispatches the fleet.
    pub fn rollout_observation(
        &self,
        core: &Core,
        service: &id::Service,
        now: Instant,
    ) -> Option<rollout::Observation> {
        if !self.prepare(core) {
            return None;
        }
        self.dispatcher.borrow().rollout_observation(service, now)
    }

    /// Registers a session in place of an earlier one of the same instance; returns whether this
    /// instance dispatches.
    fn connect(&self, core: &Core, instance: id::Instance, answers: Sender<Answer>) -> bool {
        let is_dispatching = self.prepare(core);
        if is_dispatching {
            let dispatcher = self.dispatcher.borrow();
            let known = dispatcher.announcements(core.clock.now());
            announce::send(&instance, &answers, known);
            self.sessions.borrow_mut().insert(instance, answers);
        }
        is_dispatching
    }

    /// Whether `answers` belongs to the instance's current session.
    fn is_connected(&self, instance: &id::Instance, answers: &Sender<Answer>) -> bool {
        let sessions = self.sessions.borrow();
        sessions
            .get(instance)
            .is_some_and(|session| session.same_channel(answers))
    }

    /// Removes a session that has ended, unless a later one has replaced it.
    fn disconnect(&self, instance: &id::Instance, answers: &Sender<Answer>) {
        if self.is_connected(instance, answers) {
            self.sessions.borrow_mut().remove(instance);
        }
    }

    /// Applies a notice of an entry or of another dispatcher; returns whether this instance
    /// dispatches.
    pub fn apply(&self, core: &Rc<Core>, notice: Notice) -> bool {
        if !self.prepare(core) {
            return false;
        }
        self.dispatcher.borrow_mut().apply(notice, core.clock.now());
        log_exclusions(&mut self.dispatcher.borrow_mut());
        self.poll(core);
        let relayed = self.dispatcher.borrow_mut().take_relayed();
        for (peer, notice) in relayed {
            match self.peer(core, &peer) {
                Some(session) => session.send_notice(notice),
                // Its slots become free when the requests' time is over.
                None => {
                    log::info!(dispatcher:% = peer; "ends of requests were not relayed; the dispatcher has left")
                }
            }
        }
        true
    }

    /// Sends the decisions on waiting requests to their entries, and offers those that still wait
    /// to other shards.
    fn poll(&self, core: &Rc<Core>) {
        let decided = self.dispatcher.borrow_mut().poll(core.clock.now());
        for (key, decision) in decided {
            METRICS
                .decisions
                .with_label_values(&[label(&decision)])
                .inc();
            self.send_decision(key, decision);
        }
        self.count_cold_grants();
        self.offer(core);
    }

    /// Sends the decision on a waiting request to its entry.
    fn send_decision(&self, key: Key, decision: Decision) {
        let sessions = self.sessions.borrow();
        let session = sessions.get(&key.entry);
        let sent = session.is_some_and(|session| {
            let answer = self.answer(key.clone(), decision);
            session.len() < session::MAX_ANSWERS && session.try_send(answer).is_ok()
        });
        if !sent {
            log::info!(entry:% = key.entry, number = key.number; "decision was not delivered; the entry is not connected or its queue is full");
        }
    }

    /// Returns the session with the dispatcher of another shard, opening one if needed; `None` if
    /// the dispatcher is not known or the last session has just failed.
    fn peer(&self, core: &Rc<Core>, name: &id::Instance) -> Option<Rc<Session>> {
        let address = core.address_of(name)?;
        let now = core.clock.now();
        let mut peers = self.peers.borrow_mut();
        match peers.get(name) {
            Some((session, _)) if session.is_alive() => return Some(session.clone()),
            Some((_, opened)) if now < *opened + REOPEN_PAUSE => return None,
            Some(_) | None => {}
        }
        let dispatcher = gateway::session::Dispatcher {
            instance: name.clone(),
            term: None,
        };
        // Dispatchers announce to entries only.
        let session = Rc::new(Session::open(core, address, dispatcher, drop));
        session.announce(self.dispatcher.borrow().announcements(now));
        peers.insert(name.clone(), (session.clone(), now));
        Some(session)
    }

    /// Offers waiting requests to other shards that have free slots.
    fn offer(&self, core: &Rc<Core>) {
        let now = core.clock.now();
        let offers = self.dispatcher.borrow_mut().offers(now);
        for (peer, request) in offers {
            let key = request.key.clone();
            let Some(session) = self.peer(core, &peer) else {
                self.dispatcher.borrow_mut().decline_offer(&key, &peer);
                continue;
            };
            let answers = session.offer(request, now);
            let core = core.clone();
            task::spawn_local(async move {
                let answer = future::timeout(OFFER_TIMEOUT, answers.recv()).await;
                session.forget(&key);
                let decision = answer.ok().and_then(Result::ok);
                let decision = decision.map(|verdict| verdict.decision);
                core.dispatch.settle_offer(&session, key, decision);
            });
        }
    }

    /// Passes on the grant of another shard's dispatcher to the request's entry, or keeps the
    /// request queued.
    fn settle_offer(&self, session: &Session, key: Key, decision: Option<Decision>) {
        let peer = &session.dispatcher.instance;
        let is_used = match &decision {
            Some(Decision::Grant(_)) => self.dispatcher.borrow_mut().accept_offer(&key, peer),
            Some(Decision::Wait | Decision::Refuse(..) | Decision::Unknown) | None => {
                self.dispatcher.borrow_mut().decline_offer(&key, peer);
                false
            }
        };
        let outcome = if is_used { "used" } else { "unused" };
        METRICS.offers.with_label_values(&["sent", outcome]).inc();
        match decision {
            Some(decision @ Decision::Grant(_)) if is_used => self.send_decision(key, decision),
            // The slot may have been granted, or may still be.
            Some(Decision::Grant(_)) | None => session.send_notice(Notice {
                ended: vec![(key, Outcome::Dropped)],
                ..Notice::default()
            }),
            Some(Decision::Wait | Decision::Refuse(..) | Decision::Unknown) => {}
        }
    }

    /// Reports the free slots and the use of quotas to all other dispatchers of a divided fleet.
    /// An instance that entries use only while another is silent reports no slots, which the other
    /// one may have granted.
    fn report(&self, core: &Rc<Core>) {
        let directory = core.feed.borrow().directory().clone();
        let plan = core.plan(&directory);
        let own = &core.identity.name;
        let Some(shard) = plan.dispatched_by(own) else {
            return;
        };
        let is_first = shard.dispatchers.first() == Some(own);
        if !self.prepare(core) {
            return;
        }
        let mut summary = self.dispatcher.borrow_mut().summary(core.clock.now());
        if !is_first {
            summary.free.clear();
            if summary.used.is_empty() {
                return;
            }
        }
        let dispatchers = plan.shards().iter().flat_map(|shard| &shard.dispatchers);
        for name in dispatchers.filter(|name| *name != own) {
            if let Some(session) = self.peer(core, name) {
                session.summarize(summary.clone());
            }
        }
    }
}

/// Returns the state of an upstream in the replicated list.
pub fn listing(directory: &Directory, upstream: &id::Upstream) -> Listing {
    Listing::new(directory.listed.get(upstream).map(|listed| &**listed))
}

/// Returns the requests that this instance dispatches, if any.
fn scope(core: &Core, directory: &Directory) -> Option<Scope> {
    let plan = core.plan(directory);
    if !plan.is_divided() {
        let term = core.status().map_or(Term(0), |status| status.term);
        return core.is_leading().then_some(Scope::Fleet(term));
    }
    let shard = plan.dispatched_by(&core.identity.name)?;
    let is_fresh = core.published().is_fresh(core.clock.now());
    (is_fresh || core.is_leading()).then(|| Scope::Shard(shard.name().clone()))
}

/// Returns the metric label of a decision.
fn label(decision: &Decision) -> &'static str {
    match decision {
        Decision::Grant(_) => "granted",
        Decision::Wait => "waits",
        Decision::Refuse(..) => "refused",
        Decision::Unknown => "unknown",
    }
}

/// Logs which upstreams a dispatcher has left out, and on whose word.
pub fn log_exclusions(dispatcher: &mut Dispatcher) {
    for exclusion in dispatcher.take_exclusions() {
        log::info!(
            upstream:% = exclusion.upstream, from:% = exclusion.entry, failure:? = exclusion.failure,
            ms = exclusion.time.as_millis() as u64;
            "an upstream gets no requests for a while"
        );
    }
}

/// Polls the dispatcher for as long as the process runs.
pub async fn run(core: Rc<Core>) {
    loop {
        let (waiting, _) = core.dispatch.dispatcher.borrow().load();
        let interval = if waiting > 0 {
            BUSY_INTERVAL
        } else {
            IDLE_INTERVAL
        };
        task::sleep(interval).await;
        // The dispatcher is prepared even if nothing waits, so that a new leader starts to count
        // the use of quotas at once.
        if core.dispatch.prepare(&core) && waiting > 0 {
            core.dispatch.poll(&core);
        }
    }
}

/// Reports to the dispatchers of other shards for as long as the process runs.
pub async fn report(core: Rc<Core>) {
    loop {
        task::sleep(REPORT_INTERVAL).await;
        core.dispatch.report(&core);
    }
}

/// Part of the upstreams and quotas that a dispatcher has.
#[derive(Debug, Clone)]
pub enum Part {
    /// All of them.
    Fleet,
    /// The upstreams of the named shard, and the quotas together with the other shards' dispatchers.
    Shard(id::DataCentre),
    /// The part of one entry that places requests alone.
    Entry {
        /// Index of the entry among all entries, from 0.
        index: usize,
        /// Number of entries.
        count: usize,
    },
}

/// Sets a part of the upstreams, rollouts and quotas of the configuration in a dispatcher.
pub fn refresh(
    core: &Core,
    directory: &Directory,
    dispatcher: &mut Dispatcher,
    part: &Part,
    now: Instant,
) {
    let table = core.table(directory);
    if let Some(table) = &table {
        let services = table.declaration.services.iter();
        let profiles = services.map(|(name, service)| (name.clone(), service.into()));
        dispatcher.set_profiles(profiles.collect());
    }
    let plan = core.plan(directory);
    let usable = directory
        .listed
        .iter()
        .filter(|(_, listed)| !listed.draining)
        .filter(|(name, listed)| match part {
            Part::Fleet | Part::Entry { .. } => true,
            Part::Shard(shard) => {
                let owner = plan.owner(name, listed);
                owner.is_some_and(|owner| owner.name() == shard)
            }
        });
    let upstreams = usable.map(|(name, listed)| Upstream {
        name: name.clone(),
        service: listed.service.clone(),
        release: listed.release.clone(),
        data_centre: listed.data_centre.clone(),
        // An earlier release may have accepted more.
        slots: listed.slots.min(directory::MAX_SLOTS),
        limit_part: 1.0,
    });
    match part {
        Part::Entry { index, count } => {
            let entry_upstreams = share::for_entry(upstreams, *index, *count);
            dispatcher.set_upstreams(entry_upstreams, now);
        }
        Part::Fleet | Part::Shard(_) => dispatcher.set_upstreams(upstreams, now),
    }
    let deployment = core.settings.deployment.as_ref();
    // An entry or a shard on its own sends no trial requests, since it does not know how many the
    // others send.
    let trial_share = match part {
        Part::Entry { .. } | Part::Shard(_) => 0.0,
        Part::Fleet => deployment.map_or(0.0, |d| d.trial_share * TRIAL_FRACTION),
    };
    dispatcher.set_copy_share(deployment.map_or(0.0, |d| d.copy_share));
    dispatcher.set_rollouts(&directory.rollouts, trial_share, now);
    let fraction = match part {
        Part::Entry { count, .. } => 1.0 / (*count).max(1) as f64,
        Part::Fleet | Part::Shard(_) => 1.0,
    };
    let Some(table) = table else {
        return;
    };
    let window = quota_window(core);
    let accounts = table.declaration.accounts.iter();
    let quotas = accounts.filter_map(|account| {
        let quota = account.quota?;
        Some(Quota {
            account: account.name.clone(),
            per_second: quota.per_second * fraction,
            burst: quota.burst * fraction,
            window,
        })
    });
    let quotas: Vec<_> = quotas.collect();
    let entries: Vec<_> = directory.entries().map(|(_, entry)| entry).collect();
    match part {
        Part::Fleet | Part::Entry { .. } => dispatcher.set_quotas(&quotas, entries.len(), now),
        Part::Shard(shard) => {
            let is_own = |entry: &&&directory::Instance| {
                let owner = plan.shard_of(&entry.data_centre);
                owner.is_some_and(|owner| owner.name() == shard)
            };
            let own = entries.iter().filter(is_own).count();
            let share = own as f64 / entries.len().max(1) as f64;
            dispatcher.set_shared_quotas(&quotas, own, share, now);
        }
    }
}

/// Returns the window in which the use of quotas is counted.
pub fn quota_window(core: &Core) -> Duration {
    let deployment = core.settings.deployment.as_ref();
    deployment.map_or(DEFAULT_WINDOW, |d| {
        Duration::from_secs_f64(d.quota_window_s)
    })
}

/// Returns the units that a request counts against a quota. `tokens` are its prompt and output
/// tokens, if known.
pub fn units(unit: Unit, tokens: Option<(u64, u64)>) -> f64 {
    match unit {
        Unit::Requests => 1.0,
        Unit::Tokens { plain } => tokens.map_or(plain, |(prompt, output)| prompt + output) as f64,
    }
}
