//! Hosts the dispatcher on the leader: keeps its upstreams, rollouts and quotas current, and sends
//! its decisions to the entries, which are the instances that take requests from callers.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

use async_channel::Sender;
use async_std::task;
use gooseberrylb_config::declaration::Unit;
use gooseberrylb_config::directory::Directory;
use gooseberrylb_config::id;
use gooseberrylb_config::number::{Revision, Term};
use gooseberrylb_policy::dispatch::{
    Decision, Dispatcher, Notice, Quota, Request, Upstream, share,
};
use gooseberrylb_policy::rollout;
use gooseberrylb_wire::dispatch::Answer;

use super::core::Core;
use crate::metrics::METRICS;

pub mod session;

/// Interval between two polls of the dispatcher while requests wait.
const BUSY_INTERVAL: Duration = Duration::from_millis(20);

/// Interval between two checks for waiting requests while none wait.
const IDLE_INTERVAL: Duration = Duration::from_millis(250);

/// Window in which the use of quotas is counted, if the settings have none.
const DEFAULT_WINDOW: Duration = Duration::from_secs(1);

/// Fraction of the settings' `trial_share` that a release receives while it is on trial. The rest
/// is reserved for the requests that it receives between its first bad responses and the proof.
const TRIAL_FRACTION: f64 = 0.6;

/// Dispatcher of an instance that leads or may become leader.
#[derive(Default)]
pub struct Host {
    dispatcher: RefCell<Dispatcher>,
    /// Revision of the configuration that the dispatcher has.
    revision: Cell<Option<Revision>>,
    /// Term for which the dispatcher was created.
    term: Cell<Option<Term>>,
    /// Channel for the answers to each connected entry.
    sessions: RefCell<HashMap<id::Instance, Sender<Answer>>>,
}

impl Host {
    /// Updates the dispatcher to the current term and configuration; returns whether this instance
    /// dispatches. Each term starts with an empty dispatcher.
    fn prepare(&self, core: &Core) -> bool {
        if !core.is_leading() {
            return false;
        }
        let term = core.status().map(|status| status.term);
        if self.term.get() != term {
            self.term.set(term);
            self.revision.set(None);
            self.dispatcher.take();
            // Entries open new sessions and report all running requests to the new dispatcher.
            self.sessions.take();
            log::info!(term = term.map_or(0, |t| t.0); "dispatching started");
        }
        let directory = core.feed.borrow().directory().clone();
        if self.revision.get() != Some(directory.revision) {
            self.revision.set(Some(directory.revision));
            let mut dispatcher = self.dispatcher.borrow_mut();
            let now = core.clock.now();
            refresh(core, &directory, &mut dispatcher, None, now);
            dispatcher.retain_entries(|entry| directory.instances.contains_key(entry), now);
        }
        true
    }

    /// Returns the decision on a request.
    pub fn place(&self, core: &Core, request: Request) -> Decision {
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
        decision
    }

    /// Returns what was observed of a service's rollout, while this instance dispatches.
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

    /// Registers an entry's session in place of an earlier one; returns whether this instance
    /// dispatches.
    fn connect(&self, core: &Core, entry: id::Instance, answers: Sender<Answer>) -> bool {
        let is_dispatching = self.prepare(core);
        if is_dispatching {
            self.sessions.borrow_mut().insert(entry, answers);
        }
        is_dispatching
    }

    /// Whether `answers` belongs to the entry's current session.
    fn is_connected(&self, entry: &id::Instance, answers: &Sender<Answer>) -> bool {
        let sessions = self.sessions.borrow();
        sessions
            .get(entry)
            .is_some_and(|session| session.same_channel(answers))
    }

    /// Removes a session that has ended, unless a later one has replaced it.
    fn disconnect(&self, entry: &id::Instance, answers: &Sender<Answer>) {
        if self.is_connected(entry, answers) {
            self.sessions.borrow_mut().remove(entry);
        }
    }

    /// Applies an entry's notice; returns whether this instance dispatches.
    pub fn apply(&self, core: &Core, notice: Notice) -> bool {
        if !self.prepare(core) {
            return false;
        }
        self.dispatcher.borrow_mut().apply(notice, core.clock.now());
        self.poll(core);
        true
    }

    /// Sends the decisions on waiting requests to their entries.
    fn poll(&self, core: &Core) {
        let decided = self.dispatcher.borrow_mut().poll(core.clock.now());
        for (key, decision) in decided {
            METRICS
                .decisions
                .with_label_values(&[label(&decision)])
                .inc();
            let sessions = self.sessions.borrow();
            let session = sessions.get(&key.entry);
            let sent = session.is_some_and(|session| {
                let answer = Answer::Decided(key.clone(), decision);
                session.try_send(answer).is_ok()
            });
            if !sent {
                log::info!(entry:% = key.entry, number = key.number; "decision was not delivered; the entry is not connected or its queue is full");
            }
        }
    }
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

/// Part of the upstreams and quotas that belongs to one entry when it places requests alone.
#[derive(Debug, Clone, Copy)]
pub struct Part {
    /// Index of the entry among all entries, from 0.
    pub index: usize,
    /// Number of entries.
    pub count: usize,
}

/// Sets the dispatcher's upstreams, rollouts and quotas from the configuration; with `part`, only
/// one entry's part of them.
pub fn refresh(
    core: &Core,
    directory: &Directory,
    dispatcher: &mut Dispatcher,
    part: Option<Part>,
    now: Instant,
) {
    let usable = directory
        .listed
        .iter()
        .filter(|(_, listed)| !listed.draining);
    let upstreams = usable.map(|(name, listed)| Upstream {
        name: name.clone(),
        service: listed.service.clone(),
        release: listed.release.clone(),
        data_centre: listed.data_centre.clone(),
        slots: listed.slots,
    });
    match part {
        Some(part) => {
            let entry_upstreams = share::for_entry(upstreams, part.index, part.count);
            dispatcher.set_upstreams(entry_upstreams, now);
        }
        None => dispatcher.set_upstreams(upstreams, now),
    }
    let deployment = core.settings.deployment.as_ref();
    // An entry on its own sends no trial requests, since it does not know how many the others send.
    let trial_share = match part {
        Some(_) => 0.0,
        None => deployment.map_or(0.0, |d| d.trial_share * TRIAL_FRACTION),
    };
    dispatcher.set_rollouts(&directory.rollouts, trial_share, now);
    let fraction = part.map_or(1.0, |part| 1.0 / part.count.max(1) as f64);
    let Some(table) = core.table(directory) else {
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
    let instances = directory.instances.values();
    let entries = instances.filter(|i| i.entry && !i.leaving).count();
    dispatcher.set_quotas(&quotas.collect::<Vec<_>>(), entries, now);
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
