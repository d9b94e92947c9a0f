//! The dispatcher, which runs where the leader is: it feeds the pure machine and hands its decisions
//! to the entries that wait for them.

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

/// The time between two looks at what waits, while something does.
const BUSY_INTERVAL: Duration = Duration::from_millis(20);

/// The time between two looks at whether something waits.
const IDLE_INTERVAL: Duration = Duration::from_millis(250);

/// The window in which the use of quotas is counted where the settings name none.
const DEFAULT_WINDOW: Duration = Duration::from_secs(1);

/// The part of the share that a release may get which it is given while it is tried; the rest is for what
/// it gets between the first bad answers and the proof.
const TRIAL_FRACTION: f64 = 0.6;

/// The dispatcher of an instance that leads or may lead.
#[derive(Default)]
pub struct Host {
    dispatcher: RefCell<Dispatcher>,
    revision: Cell<Option<Revision>>,
    /// The term in which the dispatcher was made.
    term: Cell<Option<Term>>,
    /// Where each entry's answers go.
    sessions: RefCell<HashMap<id::Instance, Sender<Answer>>>,
}

impl Host {
    /// Whether this instance dispatches; a new term begins with a dispatcher that knows nothing.
    fn prepare(&self, core: &Core) -> bool {
        if !core.is_leading() {
            return false;
        }
        let term = core.status().map(|status| status.term);
        if self.term.get() != term {
            self.term.set(term);
            self.revision.set(None);
            self.dispatcher.take();
            // Entries tell a new dispatcher all that runs, on new sessions.
            self.sessions.take();
            log::info!(term = term.map_or(0, |t| t.0); "dispatching for the fleet");
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

    /// Decides on a request.
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

    /// What was seen of a service's rollout, while this instance dispatches.
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

    /// Takes an entry's line in place of an earlier one; says whether this instance dispatches.
    fn connect(&self, core: &Core, entry: id::Instance, answers: Sender<Answer>) -> bool {
        let is_dispatching = self.prepare(core);
        if is_dispatching {
            self.sessions.borrow_mut().insert(entry, answers);
        }
        is_dispatching
    }

    /// Whether a line is the one that the entry's answers go by.
    fn is_connected(&self, entry: &id::Instance, answers: &Sender<Answer>) -> bool {
        let sessions = self.sessions.borrow();
        sessions
            .get(entry)
            .is_some_and(|session| session.same_channel(answers))
    }

    /// Forgets a line that has ended.
    fn disconnect(&self, entry: &id::Instance, answers: &Sender<Answer>) {
        if self.is_connected(entry, answers) {
            self.sessions.borrow_mut().remove(entry);
        }
    }

    /// Takes in what an entry tells; says whether this instance dispatches.
    pub fn apply(&self, core: &Core, notice: Notice) -> bool {
        if !self.prepare(core) {
            return false;
        }
        self.dispatcher.borrow_mut().apply(notice, core.clock.now());
        self.poll(core);
        true
    }

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
                log::info!(entry:% = key.entry, number = key.number; "a decision cannot be told; its entry is gone or does not read");
            }
        }
    }
}

fn label(decision: &Decision) -> &'static str {
    match decision {
        Decision::Grant(_) => "granted",
        Decision::Wait => "waits",
        Decision::Refuse(..) => "refused",
        Decision::Unknown => "unknown",
    }
}

/// Looks after what waits, for as long as the instance runs.
pub async fn run(core: Rc<Core>) {
    loop {
        let (waiting, _) = core.dispatch.dispatcher.borrow().load();
        let interval = if waiting > 0 {
            BUSY_INTERVAL
        } else {
            IDLE_INTERVAL
        };
        task::sleep(interval).await;
        // A leader begins to count the use of quotas when it begins to lead.
        if core.dispatch.prepare(&core) && waiting > 0 {
            core.dispatch.poll(&core);
        }
    }
}

/// An entry's place among all entries.
#[derive(Debug, Clone, Copy)]
pub struct Part {
    /// Its number, from 0.
    pub index: usize,
    /// How many entries there are.
    pub count: usize,
}

/// Tells a dispatcher of the upstreams and the quotas, or of one entry's part of them.
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
    // An entry alone tries nothing: it cannot tell how much others try.
    let trial_share = match part {
        Some(_) => 0.0,
        None => deployment.map_or(0.0, |d| d.trial_share * TRIAL_FRACTION),
    };
    dispatcher.set_rollouts(&directory.rollouts, trial_share, now);
    let part = part.map_or(1.0, |part| 1.0 / part.count.max(1) as f64);
    let Some(table) = core.table(directory) else {
        return;
    };
    let window = quota_window(core);
    let accounts = table.declaration.accounts.iter();
    let quota = accounts.filter_map(|account| {
        let quota = account.quota?;
        Some(Quota {
            account: account.name.clone(),
            per_second: quota.per_second * part,
            burst: quota.burst * part,
            window,
        })
    });
    let instances = directory.instances.values();
    let entries = instances.filter(|i| i.entry && !i.leaving).count();
    dispatcher.set_quotas(&quota.collect::<Vec<_>>(), entries, now);
}

/// The window in which the use of quotas is counted.
pub fn quota_window(core: &Core) -> Duration {
    let deployment = core.settings.deployment.as_ref();
    deployment.map_or(DEFAULT_WINDOW, |d| {
        Duration::from_secs_f64(d.quota_window_s)
    })
}

/// What a request counts against a quota.
pub fn units(unit: Unit, tokens: Option<(u64, u64)>) -> f64 {
    match unit {
        Unit::Requests => 1.0,
        Unit::Tokens { plain } => tokens.map_or(plain, |(prompt, output)| prompt + output) as f64,
    }
}
