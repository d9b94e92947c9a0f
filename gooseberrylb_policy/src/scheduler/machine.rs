//! The scheduler itself: what it holds, and how one input is turned into outputs.

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

/// The most waiting requests tried for a free slot that the first one cannot use in time.
const MAX_CANDIDATES: usize = 8;

/// Grants the upstreams of one service in one region to its requests.
///
/// Running work of a lower tier is not cancelled for waiting work of a higher one: what was read
/// for it would be wasted, and the headroom that lower tiers leave free serves a burst of the
/// higher tier sooner than a cancelled stream gives its slot back.
pub struct Scheduler {
    pub(super) cell: Cell,
    pub(super) view: View,
    pub(super) directory: Arc<Directory>,
    pub(super) kind: Kind,
    pub(super) limits: Limits,
    pub(super) rng: StdRng,
    pub(super) calls: BTreeMap<Id, Call>,
    pub(super) timers: BTreeSet<(Instant, Id)>,
    pub(super) queue: Queue,
    pub(super) claims: Table,
    pub(super) groups: Groups,
    pub(super) fleet: Fleet,
    pub(super) copies: Copies,
    pub(super) last_ticket: u64,
    pub(super) recovery: Option<Recovery>,
    pub(super) claims_lost_until: Option<Instant>,
    pub(super) incarnations: BTreeMap<id::Instance, u64>,
    pub(super) tier_arrivals: BTreeMap<Tier, Instant>,
    pub(super) counters: Counters,
    pub(super) outputs: Vec<Output>,
}

/// Until when a new scheduler waits for entries to tell what they run.
#[derive(Debug)]
pub(super) struct Recovery {
    /// From when on requests without a key are granted.
    pub(super) unkeyed_from: Instant,
    /// From when on all are.
    pub(super) ends_at: Instant,
    /// The entries that have not told yet.
    pub(super) pending: BTreeSet<id::Instance>,
}

impl Scheduler {
    /// Makes a scheduler for `view` with the claims that a backup held of the view before; the very
    /// first view has none. The `seed` decides its jitter and the first turns of versions.
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

    /// Says that the claims of earlier views were lost. A keyed request that is not known to run is
    /// refused until `window`, the longest request timeout, has passed: it cannot be told from the
    /// resend of one that an earlier view granted.
    pub fn with_claims_lost(mut self, now: Instant, window: Duration) -> Self {
        self.claims_lost_until = Some(now + window);
        self
    }

    /// Sets other bounds and times than the usual ones.
    pub fn with_limits(mut self, limits: Limits) -> Self {
        self.claims.set_limits(limits.clone());
        self.limits = limits;
        self
    }

    /// Takes an input in and returns what is to be done, in order.
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
                self.fleet.lower(&self.directory, &version, share);
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

    /// A request that holds a slot, with the grant that it holds it by.
    pub fn granted(&self, id: &Id) -> Option<(&Request, &Grant)> {
        let call = self.calls.get(id)?;
        Some((&call.request, call.grant()?))
    }

    /// The most requests that held a slot of a request's upstream at once from its grant to its first
    /// token, itself among them, where it was granted here.
    pub fn peak_concurrency(&self, end: &End, now: Instant) -> Option<u32> {
        let call = self.calls.get(&end.id)?;
        let first_token = now.checked_sub(end.figures.decode)?;
        self.fleet
            .peak_in_flight(&call.grant()?.upstream, call.granted_at?, first_token)
    }

    /// All claims, for syncing a new backup. It covers every [`Output::Copy`] up to
    /// [`Scheduler::sequence`].
    pub fn snapshot(&self) -> Vec<Record> {
        self.claims.snapshot()
    }

    /// The number of the last [`Output::Copy`].
    pub fn sequence(&self) -> u64 {
        self.copies.sequence()
    }

    /// Goes on as the scheduler of a later view, whose backups are synced from
    /// [`Scheduler::snapshot`] first. Claims on their way are copied once more, since the earlier
    /// view's acknowledgements say nothing of the new backups.
    pub fn change_view(&mut self, view: View, now: Instant) -> Vec<Output> {
        self.view = view;
        self.resend_claims(now);
        self.flush(now);
        std::mem::take(&mut self.outputs)
    }

    /// The view that it grants in.
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

    /// Grants waiting requests, in order, until none of the first few finds a slot that suits it.
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

    /// Grants or refuses one of the first waiting requests; false where none can be.
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

    fn can_claim(&self, id: &Id, now: Instant) -> bool {
        let stalled = !self.view.backups.is_empty()
            && self
                .copies
                .oldest_sent_at()
                .is_some_and(|at| now >= at + self.limits.copy_timeout);
        let claimed = self.claims.granted_to(id).is_some();
        !stalled && (claimed || self.claims.has_room())
    }

    /// The part of the slots to be left free for higher tiers, in percent.
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
