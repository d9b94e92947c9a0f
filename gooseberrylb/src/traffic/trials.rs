//! Guards one cell's scheduler against bad versions during a move.
//!
//! A version that performs badly is stopped at once, and the number of requests running on a
//! version with little evidence is limited. See `docs/MOVES.md`.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::time::{Instant, SystemTime};

use gooseberrylb_config::directory::{Cell, Directory, Share};
use gooseberrylb_config::id;
use gooseberrylb_config::number;
use gooseberrylb_policy::moves::Move;
use gooseberrylb_policy::moves::breaker::Breaker;
use gooseberrylb_policy::moves::evidence::{Report, Sample};
use gooseberrylb_policy::scheduler::{End, Input, Scheduler};

/// Largest limit that is set on the requests running at once on a version; a version that may run
/// more has no limit.
const MAX_QUOTA: u32 = 64;

/// Trials of the versions under a move in one cell.
pub struct Trials {
    breaker: RefCell<Breaker>,
    /// Limits last fed to the scheduler; `None` means no limit.
    quotas: RefCell<BTreeMap<id::Version, Option<u32>>>,
}

/// Current time, view and control state that the trials depend on.
pub struct Context<'a> {
    /// Current monotonic time.
    pub now: Instant,
    /// Current wall-clock time.
    pub wall: SystemTime,
    /// View of the scheduler.
    pub view: number::View,
    /// Moves in progress.
    pub moves: &'a BTreeMap<id::Version, Move>,
    /// Current configuration.
    pub directory: &'a Directory,
}

/// Returns the evidence that an ended request gives about its version, or `None` if its caller
/// cancelled it or its grant is unknown.
pub fn sample(
    scheduler: &Scheduler,
    directory: &Directory,
    end: &End,
    now: Instant,
) -> Option<Sample> {
    if end.cancelled {
        return None;
    }
    let (request, grant) = scheduler.granted(&end.id)?;
    let upstream = directory.upstreams.get(&grant.upstream)?;
    Some(Sample {
        version: grant.version.clone(),
        route: request.route.clone(),
        upstream: upstream.name.clone(),
        running: scheduler.peak_concurrency(end, now),
        data_centre: upstream.data_centre.clone(),
        failed: end.failed,
        figures: end.figures,
    })
}

impl Trials {
    /// Creates the trials of a cell's scheduler on an instance started at `incarnation`.
    pub fn new(cell: Cell, incarnation: u64) -> Self {
        Self {
            breaker: RefCell::new(Breaker::new(cell, incarnation)),
            quotas: RefCell::default(),
        }
    }

    /// Updates the trials from the control state; returns the inputs to feed to the scheduler.
    pub fn configure(&self, context: &Context<'_>) -> Vec<Input> {
        let mut breaker = self.breaker.borrow_mut();
        breaker.configure(
            context.now,
            context.wall,
            context.view,
            context.moves,
            context.directory,
        );
        drop(breaker);
        let mut quotas = self.quotas.borrow_mut();
        for version in context.moves.keys() {
            quotas.entry(version.clone()).or_default();
        }
        drop(quotas);
        self.quota_changes()
    }

    /// Records the outcome of a request; returns the inputs to feed to the scheduler.
    pub fn record(&self, now: Instant, sample: &Sample) -> Vec<Input> {
        let trip = self.breaker.borrow_mut().record(now, sample);
        let mut inputs = self.quota_changes();
        if let Some(trip) = trip {
            log::warn!(
                "circuit breaker of this scheduler stopped traffic to version {}: {}",
                trip.version,
                trip.reason
            );
            inputs.push(Input::LowerShare(trip.version, Share::NONE));
        }
        inputs
    }

    /// Returns the next report for the leader, if one is due.
    pub fn poll(&self, now: Instant) -> Option<Report> {
        self.breaker.borrow_mut().poll(now)
    }

    /// Returns an input for each version whose limit changed since the last call.
    fn quota_changes(&self) -> Vec<Input> {
        let breaker = self.breaker.borrow();
        let mut changes = Vec::new();
        for (version, current) in self.quotas.borrow_mut().iter_mut() {
            let quota = (0..=MAX_QUOTA).find(|running| !breaker.allows(version, *running));
            if quota != *current {
                *current = quota;
                changes.push(Input::Quota(version.clone(), quota));
            }
        }
        changes
    }
}
