//! The scheduler's state, and the state machine that turns each input into outputs.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::{Duration, Instant};

use gooseberrylb_config::directory::{Cell, Directory, View};
use gooseberrylb_config::id;
use gooseberrylb_config::note::Kind;
use gooseberrylb_config::number::Tier;
use rand::SeedableRng;
use rand::rngs::StdRng;

use super::call::{Call, State};
use super::claim::Table;
use super::copy::Copies;
use super::fleet::Fleet;
use super::group::Groups;
use super::limits::Limits;
use super::queue::Queue;
use super::stats::Counters;
use super::{Claim, Decision, End, Grant, Input, Output, Record, Refusal};
use crate::request::{Id, Key, Request};

/// Maximum number of waiting requests tried per grant, so that a free slot is used when the first
/// request cannot use it in time.
const MAX_CANDIDATES: usize = 8;

/// Grants the upstreams of one service in one region to its requests.
///
/// Running requests of a lower tier are not cancelled in favour of a higher one: the work already
/// spent on their prompts would be lost, and the headroom that lower tiers leave free serves a
/// burst of the higher tier sooner than a cancelled stream would free its slot.
pub struct Scheduler {
    pub(super) cell: Cell,
    pub(super) view: View,
    pub(super) directory: Arc<Directory>,
    pub(super) kind: Kind,
    pub(super) limits: Limits,
    pub(super) rng: StdRng,
    pub(super) calls: BTreeMap<Id, Call>,
    /// The calls by the time of their next check.
    pub(super) timers: BTreeSet<(Instant, Id)>,
    pub(super) queue: Queue,
    pub(super) claims: Table,
    pub(super) groups: Groups,
    pub(super) fleet: Fleet,
    pub(super) copies: Copies,
    /// The number of the last ticket issued in this view or an earlier one.
    pub(super) last_ticket: u64,
    /// The recovery after a takeover, while it lasts.
    pub(super) recovery: Option<Recovery>,
    /// The time until which unknown keys are refused, if earlier claims were lost.
    pub(super) claims_lost_until: Option<Instant>,
    /// The latest known incarnation of each entry.
    pub(super) incarnations: BTreeMap<id::Instance, u64>,
    /// The time of the last request of each tier.
    pub(super) tier_arrivals: BTreeMap<Tier, Instant>,
    pub(super) counters: Counters,
    pub(super) outputs: Vec<Output>,
}

/// The time after a takeover in which the scheduler waits for entries to report their running
/// requests.
#[derive(Debug)]
pub(super) struct Recovery {
    /// The time from which requests without a key are granted.
    pub(super) unkeyed_from: Instant,
    /// The time from which all requests are granted.
    pub(super) ends_at: Instant,
    /// The entries that have not reported yet.
    pub(super) pending: BTreeSet<id::Instance>,
}

impl Scheduler {
    /// Creates a scheduler for `view` with the claims that a backup held of the previous view; the
    /// first view has none. The `seed` determines the jitter and the initial credits of versions.
    pub fn new(
        cell: Cell,
        view: View,
        directory: Arc<Directory>,
        claims: BTreeMap<Key, Claim>,
        now: Instant,
        seed: u64,
    ) -> Self {
        let limits = Limits::default();
        let mut scheduler = Self {
            claims: Table::new(limits.clone(), claims, now),
            cell,
            kind: Kind::Plain,
            rng: StdRng::seed_from_u64(seed),
            calls: BTreeMap::new(),
            timers: BTreeSet::new(),
            queue: Queue::new(),
            groups: Groups::default(),
            fleet: Fleet::default(),
            copies: Copies::default(),
            last_ticket: 0,
            recovery: Recovery::new(&view, &directory, &limits, now),
            claims_lost_until: None,
            incarnations: BTreeMap::new(),
            tier_arrivals: BTreeMap::new(),
            counters: Counters::default(),
            outputs: Vec::new(),
            limits,
            view,
            directory,
        };
        scheduler.configure(now);
        scheduler
    }

    /// Marks the claims of earlier views as lost. Until `window`, the longest request timeout, has
    /// passed, a request whose key is not known to run is refused: it cannot be told apart from the
    /// resend of one that was granted in an earlier view.
    pub fn with_claims_lost(mut self, now: Instant, window: Duration) -> Self {
        self.claims_lost_until = Some(now + window);
        self
    }

    /// Replaces the default limits.
    pub fn with_limits(mut self, limits: Limits) -> Self {
        self.claims.set_limits(limits.clone());
        self.limits = limits;
        self
    }

    /// Processes an input and returns the resulting outputs in order.
    pub fn step(&mut self, now: Instant, input: Input) -> Vec<Output> {
        match input {
            Input::Enqueue(request) => self.enqueue(request, now),
            Input::Withdraw(id) => self.withdraw(&id, now),
            Input::End(end) => self.end(end, now),
            Input::Resume { entry, running } => self.resume(&entry, running, now),
            Input::Died(instance) => self.entry_died(&instance, u64::MAX, now),
            Input::Directory(directory) => {
                self.directory = directory;
                self.configure(now);
            }
            Input::LowerShare(version, share) => {
                self.fleet.lower_share(&self.directory, &version, share);
                self.configure(now);
            }
            Input::Quota(version, limit) => self.fleet.set_quota(version, limit),
            Input::Load(upstream, load) => self.fleet.set_load(&upstream, load, now),
            Input::Cache(upstream, changes) => self.fleet.apply_cache_changes(&upstream, changes),
            Input::Acknowledged(sequence) => self.acknowledge(sequence, now),
            Input::Tick => self.refuse_late(now),
        }
        self.run_timers(now);
        self.dispatch(now);
        self.flush(now);
        std::mem::take(&mut self.outputs)
    }

    /// Returns a request that holds a slot, with its grant.
    pub fn granted(&self, id: &Id) -> Option<(&Request, &Grant)> {
        let call = self.calls.get(id)?;
        Some((&call.request, call.grant()?))
    }

    /// Returns the maximum number of requests that held a slot of the ended request's upstream at
    /// once, from its grant to its first token, including the request itself. Returns `None` for a
    /// request that was granted by an earlier scheduler.
    pub fn peak_concurrency(&self, end: &End, now: Instant) -> Option<u32> {
        let call = self.calls.get(&end.id)?;
        let first_token = now.checked_sub(end.figures.decode)?;
        self.fleet
            .peak_in_flight(&call.grant()?.upstream, call.granted_at?, first_token)
    }

    /// Returns all claims, for syncing a new backup. The snapshot covers every [`Output::Copy`] up
    /// to [`Scheduler::sequence`].
    pub fn snapshot(&self) -> Vec<Record> {
        self.claims.snapshot()
    }

    /// Returns the sequence number of the last [`Output::Copy`].
    pub fn sequence(&self) -> u64 {
        self.copies.sequence()
    }

    /// Continues as the scheduler of a later view, whose backups must first be synced from
    /// [`Scheduler::snapshot`]. Claims that are not acknowledged yet are copied again, since
    /// acknowledgements of the earlier view do not cover the new backups.
    pub fn change_view(&mut self, view: View, now: Instant) -> Vec<Output> {
        self.view = view;
        self.resend_claims(now);
        self.flush(now);
        std::mem::take(&mut self.outputs)
    }

    /// Returns the view in which this scheduler makes grants.
    pub fn view(&self) -> &View {
        &self.view
    }

    fn configure(&mut self, now: Instant) {
        if let Some(recovery) = &mut self.recovery {
            let instances = &self.directory.instances;
            recovery
                .pending
                .retain(|entry| instances.contains_key(entry));
        }
        let service = self.directory.services.get(&self.cell.service);
        self.kind = service.map_or(Kind::Plain, |service| service.kind);
        self.fleet
            .configure(&self.directory, &self.cell, &mut self.rng, now);
    }

    /// Grants waiting requests in order until none of the first candidates finds a suitable slot.
    fn dispatch(&mut self, now: Instant) {
        self.end_recovery(now);
        if self
            .recovery
            .as_ref()
            .is_some_and(|recovery| now < recovery.unkeyed_from)
        {
            return;
        }
        while self.fleet.has_slot(0, now) && self.dispatch_one(now) {}
    }

    /// Grants or refuses one of the first waiting requests; returns `false` if it can do neither.
    fn dispatch_one(&mut self, now: Instant) -> bool {
        let candidates: Vec<Id> = self.queue.next_to_serve(MAX_CANDIDATES).cloned().collect();
        let mut full_headroom = u32::MAX;
        for id in candidates {
            let Some(call) = self.calls.get(&id) else {
                debug_assert!(false, "a queued request has no call");
                return false;
            };
            let keyed = call.request.key.is_some();
            if keyed && self.recovery.is_some() {
                continue;
            }
            if keyed && !self.can_claim(&id, now) {
                self.refuse(&id, Refusal::NoBackup, now);
                return true;
            }
            let headroom = self.headroom(call.request.tier, now);
            if headroom >= full_headroom {
                continue;
            }
            if !self.fleet.has_slot(headroom, now) {
                full_headroom = headroom;
                continue;
            }
            let time_left = call.deadline.saturating_duration_since(now);
            if let Some(placement) = self.fleet.place(&call.request, time_left, headroom, now) {
                self.grant(&id, placement, now);
                return true;
            }
        }
        false
    }

    /// Whether a key can be claimed for the request: the backups acknowledge claims in time, and
    /// the table has room unless the request already holds its key.
    fn can_claim(&self, id: &Id, now: Instant) -> bool {
        let stalled = !self.view.backups.is_empty()
            && self
                .copies
                .oldest_sent_at()
                .is_some_and(|at| now >= at + self.limits.copy_timeout);
        let claimed = self.claims.granted_to(id).is_some();
        !stalled && (claimed || self.claims.has_room())
    }

    /// Returns the percentage of slots to leave free for higher tiers.
    fn headroom(&self, tier: Tier, now: Instant) -> u32 {
        let higher_tier_active = self
            .tier_arrivals
            .range(..tier)
            .any(|(_, at)| now < *at + self.limits.headroom_window);
        if higher_tier_active {
            self.limits.headroom_percent
        } else {
            0
        }
    }

    fn end_recovery(&mut self, now: Instant) {
        let is_over = |recovery: &Recovery| now >= recovery.ends_at || recovery.pending.is_empty();
        if self.recovery.as_ref().is_some_and(is_over) {
            self.recovery = None;
        }
    }

    fn run_timers(&mut self, now: Instant) {
        while let Some((at, _)) = self.timers.first()
            && *at <= now
        {
            let Some((_, id)) = self.timers.pop_first() else {
                break;
            };
            self.handle_timer(&id, now);
        }
        for (id, key, grant) in self.claims.expire(now) {
            self.expire_claim(&id, &key, grant, now);
        }
    }

    fn handle_timer(&mut self, id: &Id, now: Instant) {
        let Some(call) = self.calls.get(id) else {
            return;
        };
        match call.state {
            State::Waiting { .. } => self.check_latest_start(id, now),
            State::Attached => self.expire_attached(id),
            State::Copying { .. } => self.refuse(id, Refusal::NoBackup, now),
            State::Running { .. } => self.expire_running(id, now),
            State::Orphaned { .. } => self.release_orphan(id, now),
        }
    }

    pub(super) fn set_timer(&mut self, id: &Id, at: Instant) {
        let Some(call) = self.calls.get_mut(id) else {
            return;
        };
        self.timers.remove(&(call.timer, id.clone()));
        call.timer = at;
        self.timers.insert((at, id.clone()));
    }

    pub(super) fn decide(&mut self, id: Id, decision: Decision) {
        self.counters.decided(&decision);
        self.outputs.push(Output::Decide(id, decision));
    }
}

impl Recovery {
    fn new(view: &View, directory: &Directory, limits: &Limits, now: Instant) -> Option<Self> {
        if view.number.0 <= 1 {
            return None;
        }
        Some(Self {
            unkeyed_from: now + limits.recovery_grant_delay,
            ends_at: now + limits.recovery_timeout,
            pending: directory.instances.keys().cloned().collect(),
        })
    }
}
