//! Placement of requests on upstreams, as seen by an entry.
//!
//! An entry asks the dispatcher for an upstream. While the dispatcher does not answer, the entry
//! places requests alone, within its own part of the upstreams and quotas, and reports these
//! placements later.

use std::cell::{Cell, RefCell};
use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use async_std::{future, task};
use gooseberrylb_config::dialect::Statement;
use gooseberrylb_config::directory::ListedUpstream;
use gooseberrylb_config::settings::timing::INSTANCE_TIMEOUT;
use gooseberrylb_config::{id, number};
use gooseberrylb_policy::availability::Table;
use gooseberrylb_policy::crash::{self, Cause, Ending};
use gooseberrylb_policy::dispatch::refusals::Refusals;
use gooseberrylb_policy::dispatch::{
    Charge, Decision, Dispatcher, Key, Notice, Outcome, Purpose, Rates, Reason, Request, Running,
};
use gooseberrylb_policy::quota::Usage;

use crate::control::Core;
use crate::control::dispatch;
use crate::gateway::session::{self, Session};
use crate::metrics::METRICS;

mod alone;
mod knowledge;

/// Time limit for the dispatcher's first answer on a request. A working dispatcher answers within a
/// few milliseconds; after the timeout, requests with an objective of 100 ms can still be served in
/// time.
const FIRST_ANSWER_TIMEOUT: Duration = Duration::from_millis(60);

/// Time for which the entry places requests alone after the dispatcher failed to answer. Also the
/// `Retry-After` of the refusals that the entry makes alone.
const ALONE_PERIOD: Duration = Duration::from_millis(300);

/// Time to wait for a decision beyond the time for which the dispatcher may hold the request.
const DECISION_SLACK: Duration = Duration::from_millis(200);

/// Time for which changes are collected before they are sent in one notice.
const NOTICE_DELAY: Duration = Duration::from_millis(5);

/// Maximum number of charges kept until a dispatcher acknowledges them: about one minute of an
/// entry's requests.
const MAX_PENDING_CHARGES: usize = 8_192;

/// Interval over which an account's usage is summed up. The sums are sent to a new dispatcher.
const USAGE_RESOLUTION: Duration = Duration::from_millis(250);

/// Maximum number of request ends kept while there is no dispatcher. Slots whose ends are dropped
/// still become free, only later.
const MAX_PENDING_ENDS: usize = 8_192;

/// Time without any answer, while requests are pending, after which the session with the dispatcher
/// is replaced.
const SESSION_SILENCE_LIMIT: Duration = Duration::from_millis(600);

/// Time for which the second dispatcher of a shard is used after the first one was silent. The first
/// is out of the configuration by then if it has failed.
const FAILOVER_PERIOD: Duration = INSTANCE_TIMEOUT.saturating_add(Duration::from_millis(500));

/// Decision on a request.
pub enum Placement {
    /// The request may be sent to an upstream.
    Granted(Grant),
    /// The request is refused; the caller may retry after the given time.
    Refused(Reason, Duration),
}

/// Permission to send a request to an upstream. Dropping it without an outcome reports that the
/// request was not sent or was given up.
pub struct Grant {
    /// Name of the upstream.
    pub upstream: id::Upstream,
    /// Entry of the upstream in the platform's list.
    pub listed: std::sync::Arc<ListedUpstream>,
    /// Whether the entry placed the request alone, without the dispatcher.
    pub alone: bool,
    /// Time after which a second copy is due, if one may be sent.
    pub copy_due: Option<Duration>,
    placer: Rc<Placer>,
    key: Key,
    ended: bool,
}

impl Grant {
    /// Ends the grant and reports the outcome of the request.
    pub fn end(mut self, outcome: Outcome) {
        self.ended = true;
        self.placer.end(&self.key, outcome);
    }

    /// Takes over what the upstream said of its availability in a response. `served` is the time at
    /// which the request was sent, if the response is a success.
    pub fn record_statement(&self, statement: Statement, served: Option<Instant>) {
        let service = &self.listed.service;
        self.placer
            .record_statement(service, &self.upstream, statement, served);
    }

    /// Takes over for how long the upstream says that it stays cold.
    pub fn record_cold(&self, left: Duration) {
        let service = &self.listed.service;
        self.placer.record_cold(service, &self.upstream, left);
    }

    /// Records what the end of a run at a time told about what may crash upstreams.
    pub fn record_ending(&self, causes: &[Cause], ending: Ending, at: Instant) {
        self.placer
            .record_ending(&self.upstream, causes, ending, at);
    }

    /// Returns the key of the attempt.
    pub fn key(&self) -> &Key {
        &self.key
    }
}

impl Drop for Grant {
    fn drop(&mut self) {
        if !self.ended {
            self.placer.end(&self.key, Outcome::Dropped);
        }
    }
}

/// Charge that no dispatcher has acknowledged yet.
struct PendingCharge {
    charge: Charge,
    /// Time at which the request was placed.
    at: Instant,
    /// Number of the notice of the current session that carried the charge, once sent.
    notice: Option<u64>,
}

/// Places the requests of one entry.
pub struct Placer {
    core: Rc<Core>,
    /// Number of the last key.
    number: Cell<u64>,
    /// Requests placed by this entry that have not ended.
    running: RefCell<HashMap<Key, Running>>,
    /// Rates of upstreams measured by this entry, for new dispatchers.
    rates: RefCell<HashMap<id::Upstream, (id::Service, Rates)>>,
    /// Changes to send in the next notice.
    outbox: RefCell<Notice>,
    /// Units used by each account through this entry, by the start of the interval, whether the
    /// dispatcher or the entry placed the requests.
    usage: RefCell<HashMap<id::Account, VecDeque<(Instant, f64)>>>,
    /// Time at which this process began to place requests.
    started: Instant,
    /// Accounts that have used up their quotas. Their requests are refused without asking the
    /// dispatcher.
    over_quota: RefCell<Refusals>,
    /// Whether a notice is scheduled.
    flushing: Cell<bool>,
    /// Session with the dispatcher. It begins with all running requests and then carries changes.
    session: RefCell<Option<Rc<Session>>>,
    /// Charges for requests that this entry placed alone, until a dispatcher acknowledges them.
    pending_charges: RefCell<VecDeque<PendingCharge>>,
    /// Time until which requests are placed without asking the dispatcher.
    alone_until: Cell<Option<Instant>>,
    /// Time until which the second dispatcher of the shard is used.
    failover_until: Cell<Option<Instant>>,
    /// Dispatcher for requests that are placed alone. It knows only this entry's requests.
    fallback: RefCell<Dispatcher>,
    /// Configuration revision that `fallback` was refreshed from.
    fallback_revision: Cell<Option<number::Revision>>,
    /// What upstreams said of their availability to this entry.
    availability: RefCell<Table>,
    /// Configuration revision that `availability` was compared with.
    availability_revision: Cell<Option<number::Revision>>,
    /// What crashes upstreams, and the crashes that this entry saw.
    crashes: RefCell<crash::Table>,
}

impl Placer {
    /// Creates the placer of an entry.
    pub fn new(core: Rc<Core>) -> Rc<Self> {
        Rc::new(Self {
            started: core.clock.now(),
            core,
            number: Cell::new(0),
            running: RefCell::default(),
            rates: RefCell::default(),
            outbox: RefCell::default(),
            usage: RefCell::default(),
            over_quota: RefCell::default(),
            flushing: Cell::new(false),
            session: RefCell::default(),
            pending_charges: RefCell::default(),
            alone_until: Cell::new(None),
            failover_until: Cell::new(None),
            fallback: RefCell::new(Dispatcher::alone()),
            fallback_revision: Cell::new(None),
            availability: RefCell::default(),
            availability_revision: Cell::new(None),
            crashes: RefCell::default(),
        })
    }

    /// Returns a new key for an attempt.
    pub fn key(&self) -> Key {
        self.number.set(self.number.get() + 1);
        Key {
            entry: self.core.identity.name.clone(),
            incarnation: self.core.identity.incarnation,
            number: self.number.get(),
        }
    }

    /// Reports that the upstream of an attempt has not responded within the expected time.
    pub fn report_silence(self: &Rc<Self>, key: Key) {
        self.outbox.borrow_mut().silent.push(key);
        self.flush_soon();
    }

    /// Finds an upstream for a request, or refuses it, also if one of `causes`, which belong to it,
    /// crashes upstreams. It is no upstream that this entry knows to want no requests, whatever the
    /// dispatcher knows.
    pub async fn place(self: &Rc<Self>, mut request: Request, causes: &[Cause]) -> Placement {
        let is_trial = match self.admit(causes) {
            Ok(is_trial) => is_trial,
            Err((cause, left)) => return refusal(cause, left),
        };
        loop {
            if let Some((cause, left)) = self.blocked(causes).filter(|_| !is_trial) {
                return refusal(cause, left);
            }
            let unavailable = self.unavailable(&request.service);
            request.excluded.extend(unavailable);
            let mut placement = self.place_once(request.clone()).await;
            if let Placement::Granted(grant) = &mut placement
                && is_trial
            {
                // A copy would put a second upstream at risk.
                grant.copy_due = None;
            }
            let is_blocked = !is_trial && self.blocked(causes).is_some();
            match &placement {
                Placement::Granted(grant) if is_blocked || !self.is_available(grant) => {}
                Placement::Granted(_) | Placement::Refused(..) => return placement,
            }
            // It became known while the request waited. Its account is charged already.
            request.key = self.key();
            request.units = 0.0;
        }
    }

    /// Asks the dispatcher for an upstream for a second copy of a request. There is none without a
    /// dispatcher that answers.
    pub async fn place_copy(self: &Rc<Self>, request: Request) -> Option<Grant> {
        let now = self.core.clock.now();
        if self.alone_until.get().is_some_and(|end| now < end) {
            return None;
        }
        let session = self.session.borrow().clone();
        let session = session.filter(|session| session.is_alive())?;
        let guard = WithdrawGuard {
            placer: self,
            session: &session,
            key: request.key.clone(),
            decided: Cell::new(false),
        };
        let answers = session.ask(request.clone(), Purpose::Copy, now);
        let answer = future::timeout(FIRST_ANSWER_TIMEOUT, answers.recv()).await;
        match answer.ok()?.ok()?.decision {
            Decision::Grant(upstream) => {
                let grant = self.grant(&request, &upstream, false)?;
                guard.decided.set(true);
                Some(grant)
            }
            Decision::Refuse(..) => {
                guard.decided.set(true);
                None
            }
            Decision::Wait | Decision::Unknown => None,
        }
    }

    /// Whether the upstream of a grant has not said that it wants no request.
    pub fn is_available(&self, grant: &Grant) -> bool {
        let now = self.core.clock.now();
        let availability = self.availability.borrow();
        !availability.is_unavailable(&grant.upstream, now)
    }

    /// Finds an upstream for a request, or refuses it.
    async fn place_once(self: &Rc<Self>, request: Request) -> Placement {
        let now = self.core.clock.now();
        if let Some(left) = self.over_quota.borrow().remaining(&request, now) {
            return Placement::Refused(Reason::Quota, left);
        }
        if self.alone_until.get().is_some_and(|end| now < end) {
            return self.place_alone(request);
        }
        let Some((session, address)) = self.session() else {
            return self.place_alone(request);
        };
        let guard = WithdrawGuard {
            placer: self,
            session: &session,
            key: request.key.clone(),
            decided: Cell::new(false),
        };
        let answers = session.ask(request.clone(), Purpose::Attempt, now);
        let first = future::timeout(FIRST_ANSWER_TIMEOUT, answers.recv()).await;
        let mut verdict = first.ok().and_then(Result::ok);
        if verdict
            .as_ref()
            .is_some_and(|v| v.decision == Decision::Wait)
        {
            let limit = request.hold + DECISION_SLACK;
            verdict = match future::timeout(limit, answers.recv()).await {
                Ok(decided) => decided.ok(),
                // The request has waited for as long as it may, even if the dispatcher has failed.
                Err(_) => Some(session::Verdict {
                    decision: Decision::Refuse(Reason::Busy, ALONE_PERIOD),
                    copy_due: None,
                }),
            };
        }
        let copy_due = verdict.as_ref().and_then(|verdict| verdict.copy_due);
        let decision = verdict.map(|verdict| verdict.decision);
        let is_decided = !matches!(decision, None | Some(Decision::Unknown));
        if is_decided && self.alone_until.take().is_some() {
            log::info!(dispatcher:% = address; "the dispatcher answers again");
        }
        match decision {
            Some(Decision::Grant(upstream)) => match self.grant(&request, &upstream, false) {
                Some(mut grant) => {
                    guard.decided.set(true);
                    grant.copy_due = copy_due;
                    Placement::Granted(grant)
                }
                // The upstream has left the list meanwhile. The dispatcher will notice it soon.
                None => self.place_alone(request),
            },
            Some(Decision::Refuse(reason, pause)) => {
                guard.decided.set(true);
                if reason == Reason::Quota {
                    self.over_quota.borrow_mut().record(&request, pause, now);
                }
                Placement::Refused(reason, pause)
            }
            Some(Decision::Wait | Decision::Unknown) | None => {
                self.suspect_dispatcher(&session, address, now);
                // The dispatcher may still place the request, so its key must not be used again.
                self.place_alone(Request {
                    key: self.key(),
                    ..request
                })
            }
        }
    }

    /// Returns the dispatcher of this entry's shard, or of the whole fleet, and its address; `None`
    /// if it is not known.
    fn dispatcher(&self) -> Option<(SocketAddr, session::Dispatcher)> {
        let published = self.core.published();
        let plan = self.core.plan(&published.directory);
        let (instance, term) = match plan.shard_of(&self.core.identity.instance.data_centre) {
            Some(shard) => {
                let now = self.core.clock.now();
                let fails_over = self.failover_until.get().is_some_and(|end| now < end);
                let second = shard.dispatchers.get(1).filter(|_| fails_over);
                (second.or(shard.dispatchers.first())?.clone(), None)
            }
            None => (published.leader.clone()?, Some(published.term)),
        };
        let address = self.core.address_of(&instance)?;
        Some((address, session::Dispatcher { instance, term }))
    }

    /// Returns the session with the dispatcher. Opens one if needed, which begins with all running
    /// requests of this entry.
    fn session(self: &Rc<Self>) -> Option<(Rc<Session>, SocketAddr)> {
        let (address, dispatcher) = self.dispatcher()?;
        if let Some(session) = &*self.session.borrow()
            && session.is_alive()
            && session.dispatcher == dispatcher
        {
            return Some((session.clone(), address));
        }
        log::info!(dispatcher:% = dispatcher.instance, term = dispatcher.term.map_or(0, |t| t.0); "using a new dispatcher");
        let placer = Rc::downgrade(self);
        let name = dispatcher.instance.clone();
        let on_announced = move |announcements| {
            if let Some(placer) = placer.upgrade() {
                placer.adopt(&name, announcements);
            }
        };
        let session = Session::open(&self.core, address, dispatcher, on_announced);
        let session = Rc::new(session);
        *self.session.borrow_mut() = Some(session.clone());
        self.pending_charges
            .borrow_mut()
            .iter_mut()
            .for_each(|pending| pending.notice = None);
        let notice = Notice {
            // Withdrawn requests of an earlier session may still wait at this dispatcher.
            ended: self.outbox.take().ended,
            spent: self.usage(),
            ..self.snapshot_notice(&self.core.published().directory)
        };
        self.send_notice(&session, notice);
        session.announce(self.announcements());
        Some((session, address))
    }

    /// Opens a session with the dispatcher if there is none, and keeps what was heard of upstreams
    /// current for it. Without requests nothing else does.
    pub fn keep_session(self: &Rc<Self>) {
        self.compare_with_list();
        let now = self.core.clock.now();
        if self.alone_until.get().is_none_or(|end| now >= end) {
            self.session();
        }
    }

    /// Adds the units of a placed request to the usage of its account.
    fn record_usage(&self, request: &Request) {
        let Some(account) = request.account.clone().filter(|_| request.units > 0.0) else {
            return;
        };
        let now = self.core.clock.now();
        let mut usage = self.usage.borrow_mut();
        let usage = usage.entry(account).or_default();
        match usage.back_mut() {
            Some((at, units)) if now < *at + USAGE_RESOLUTION => *units += request.units,
            _ => usage.push_back((now, request.units)),
        }
        let window = self.quota_window();
        while usage.front().is_some_and(|(at, _)| *at + window < now) {
            usage.pop_front();
        }
    }

    /// Returns the window over which quotas are counted.
    fn quota_window(&self) -> Duration {
        dispatch::quota_window(&self.core)
    }

    /// Returns the usage of accounts through this entry. Returns `None` during the first quota
    /// window after the start, in which an earlier process of this instance may have used more.
    fn usage(&self) -> Option<(id::Instance, Vec<(id::Account, Usage)>)> {
        let now = self.core.clock.now();
        if now < self.started + self.quota_window() {
            return None;
        }
        let usage = self.usage.borrow();
        let accounts = usage.iter().map(|(account, usage)| {
            let aged = usage.iter();
            let aged = aged.map(|(at, units)| (now.saturating_duration_since(*at), *units));
            (account.clone(), aged.collect())
        });
        Some((self.core.identity.name.clone(), accounts.collect()))
    }

    /// Sends a notice, with the charges that were not sent in this session yet.
    fn send_notice(&self, session: &Session, mut notice: Notice) {
        let now = self.core.clock.now();
        let (number, acknowledged) = (session.next_notice(), session.acknowledged());
        let mut pending_charges = self.pending_charges.borrow_mut();
        pending_charges.retain(|pending| pending.notice.is_none_or(|notice| notice > acknowledged));
        for pending in pending_charges
            .iter_mut()
            .filter(|pending| pending.notice.is_none())
        {
            pending.notice = Some(number);
            notice.charges.push(Charge {
                age: now.saturating_duration_since(pending.at),
                ..pending.charge.clone()
            });
        }
        session.send_notice(notice);
    }

    /// Records a request as running and returns its grant; `None` if the upstream is not listed.
    fn grant(
        self: &Rc<Self>,
        request: &Request,
        upstream: &id::Upstream,
        alone: bool,
    ) -> Option<Grant> {
        let published = self.core.published();
        let listed = published.directory.listed.get(upstream)?.clone();
        let running = Running {
            key: request.key.clone(),
            service: request.service.clone(),
            upstream: upstream.clone(),
            prompt: request.prompt,
            patience: request.patience,
        };
        self.running
            .borrow_mut()
            .insert(request.key.clone(), running);
        self.record_usage(request);
        Some(Grant {
            upstream: upstream.clone(),
            listed,
            alone,
            copy_due: None,
            placer: self.clone(),
            key: request.key.clone(),
            ended: false,
        })
    }

    /// Records the end of a request and queues it for the dispatcher.
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
        let mut fallback = self.fallback.borrow_mut();
        fallback.apply(notice, now);
        match self.alone_until.get() {
            Some(_) => dispatch::log_exclusions(&mut fallback),
            // The dispatcher logs what it decides on the same outcome.
            None => drop(fallback.take_exclusions()),
        }
        self.outbox.borrow_mut().ended.extend(ended);
        self.flush_soon();
    }

    /// Schedules a notice after [`NOTICE_DELAY`], unless one is scheduled.
    fn flush_soon(self: &Rc<Self>) {
        if self.flushing.replace(true) {
            return;
        }
        let placer = self.clone();
        task::spawn_local(async move {
            task::sleep(NOTICE_DELAY).await;
            placer.flushing.set(false);
            placer.flush();
        });
    }

    /// Sends the queued changes to the dispatcher.
    fn flush(&self) {
        let session = self.session.borrow().clone();
        match session.filter(|session| session.is_alive()) {
            Some(session) => self.send_notice(&session, self.outbox.take()),
            // The next session begins with all running requests and with the ends kept here, which
            // also withdraw requests.
            None => {
                let mut ended = self.outbox.take().ended;
                ended.truncate(MAX_PENDING_ENDS);
                self.outbox.borrow_mut().ended = ended;
            }
        }
    }
}

/// Withdraws a request from the dispatcher when dropped, unless its decision was accepted.
struct WithdrawGuard<'a> {
    placer: &'a Rc<Placer>,
    session: &'a Session,
    key: Key,
    decided: Cell<bool>,
}

impl Drop for WithdrawGuard<'_> {
    fn drop(&mut self) {
        self.session.forget(&self.key);
        if !self.decided.get() {
            let ended = (self.key.clone(), Outcome::Dropped);
            self.placer.outbox.borrow_mut().ended.push(ended);
            self.placer.flush_soon();
        }
    }
}

/// Refuses a request because of a cause of crashes.
fn refusal(cause: Cause, left: Duration) -> Placement {
    let kind = cause.kind();
    METRICS.crash_refusals.with_label_values(&[kind]).inc();
    let reason = match cause {
        Cause::Part(_) => Reason::Prompt,
        Cause::Request(_) => Reason::Crashing,
    };
    Placement::Refused(reason, left)
}
