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
    pub(super) tickets: u64,
    pub(super) settling: Option<Settling>,
    pub(super) lost_until: Option<Instant>,
    pub(super) incarnations: BTreeMap<id::Instance, u64>,
    pub(super) tier_seen: BTreeMap<Tier, Instant>,
    pub(super) counters: Counters,
    pub(super) outputs: Vec<Output>,
}

/// Until when a new scheduler waits for entries to tell what they run.
#[derive(Debug)]
pub(super) struct Settling {
    /// From when on requests without a key are granted.
    pub(super) open: Instant,
    /// From when on all are.
    pub(super) until: Instant,
    /// The entries that have not told yet.
    pub(super) awaited: BTreeSet<id::Instance>,
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
            tickets: 0,
            settling: Settling::new(&view, &directory, &limits, now),
            lost_until: None,
            incarnations: BTreeMap::new(),
            tier_seen: BTreeMap::new(),
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
        self.lost_until = Some(now + window);
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
            Input::Died(instance) => self.died(&instance, u64::MAX, now),
            Input::Directory(directory) => {
                self.directory = directory;
                self.configure(now);
            }
            Input::LowerShare(version, share) => {
                self.fleet.lower(&self.directory, &version, share);
                self.configure(now);
            }
            Input::Quota(version, most) => self.fleet.set_quota(version, most),
            Input::Load(upstream, load) => self.fleet.report(&upstream, load, now),
            Input::Cache(upstream, changes) => self.fleet.cache(&upstream, changes),
            Input::Acknowledged(sequence) => self.held(sequence, now),
            Input::Tick => self.review(now),
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
            .most_running(&call.grant()?.upstream, call.granted?, first_token)
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
        self.copy_again(now);
        self.flush(now);
        std::mem::take(&mut self.outputs)
    }

    /// The view that it grants in.
    pub fn view(&self) -> &View {
        &self.view
    }

    fn configure(&mut self, now: Instant) {
        if let Some(settling) = &mut self.settling {
            let known = &self.directory.instances;
            settling.awaited.retain(|entry| known.contains_key(entry));
        }
        let service = self.directory.services.get(&self.cell.service);
        self.kind = service.map_or(Kind::Plain, |service| service.kind);
        self.fleet
            .configure(&self.directory, &self.cell, &mut self.rng, now);
    }

    /// Grants waiting requests, in order, until none of the first few finds a slot that suits it.
    fn dispatch(&mut self, now: Instant) {
        self.end_settling(now);
        if self
            .settling
            .as_ref()
            .is_some_and(|settling| now < settling.open)
        {
            return;
        }
        while self.fleet.has_slot(0, now) && self.dispatch_one(now) {}
    }

    /// Grants or refuses one of the first waiting requests; false where none can be.
    fn dispatch_one(&mut self, now: Instant) -> bool {
        let first: Vec<Id> = self.queue.first(MAX_CANDIDATES).cloned().collect();
        let mut full_above = u32::MAX;
        for id in first {
            let Some(call) = self.calls.get(&id) else {
                debug_assert!(false, "a queued request has no call");
                return false;
            };
            let keyed = call.request.key.is_some();
            if keyed && self.settling.is_some() {
                continue;
            }
            if keyed && !self.can_claim(&id, now) {
                self.refuse(&id, Refusal::NoBackup, now);
                return true;
            }
            let headroom = self.headroom(call.request.tier, now);
            if headroom >= full_above {
                continue;
            }
            if !self.fleet.has_slot(headroom, now) {
                full_above = headroom;
                continue;
            }
            let left = call.deadline.saturating_duration_since(now);
            if let Some(place) = self.fleet.place(&call.request, left, headroom, now) {
                self.grant(&id, place, now);
                return true;
            }
        }
        false
    }

    fn can_claim(&self, id: &Id, now: Instant) -> bool {
        let stalled = !self.view.backups.is_empty()
            && self
                .copies
                .oldest()
                .is_some_and(|at| now >= at + self.limits.copy_timeout);
        let known = self.claims.granted_to(id).is_some();
        !stalled && (known || self.claims.has_room())
    }

    /// The part of the slots to be left free for higher tiers, in percent.
    fn headroom(&self, tier: Tier, now: Instant) -> u32 {
        let seen = self
            .tier_seen
            .range(..tier)
            .any(|(_, at)| now < *at + self.limits.headroom_memory);
        if seen {
            self.limits.headroom_percent
        } else {
            0
        }
    }

    fn end_settling(&mut self, now: Instant) {
        let over = |settling: &Settling| now >= settling.until || settling.awaited.is_empty();
        if self.settling.as_ref().is_some_and(over) {
            self.settling = None;
        }
    }

    fn run_timers(&mut self, now: Instant) {
        while let Some((at, _)) = self.timers.first()
            && *at <= now
        {
            let Some((_, id)) = self.timers.pop_first() else {
                break;
            };
            self.timed_out(&id, now);
        }
        for (id, key, grant) in self.claims.expire(now) {
            self.give_up_claim(&id, &key, grant, now);
        }
    }

    fn timed_out(&mut self, id: &Id, now: Instant) {
        let Some(call) = self.calls.get(id) else {
            return;
        };
        match call.state {
            State::Waiting { .. } => self.review_call(id, now),
            State::Attached => self.end_attached(id),
            State::Copying { .. } => self.refuse(id, Refusal::NoBackup, now),
            State::Running { .. } => self.lose(id, now),
            State::Orphaned { .. } => self.drop_call(id, now),
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

impl Settling {
    fn new(view: &View, directory: &Directory, limits: &Limits, now: Instant) -> Option<Self> {
        if view.number.0 <= 1 {
            return None;
        }
        Some(Self {
            open: now + limits.settle_all,
            until: now + limits.settle,
            awaited: directory.instances.keys().cloned().collect(),
        })
    }
}
