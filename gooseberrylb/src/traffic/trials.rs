//! What the scheduler of one cell does about versions under a move: it stops a bad one at once and
//! keeps few requests on one of which little is known. See `docs/MOVES.md`.

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

/// The largest bound on the requests that run at once on a version; above it, none is set.
const MAX_QUOTA: u32 = 64;

/// The trials of a cell's versions.
pub struct Trials {
    brake: RefCell<Breaker>,
    quotas: RefCell<BTreeMap<id::Version, Option<u32>>>,
}

/// What the trials go by.
pub struct Scene<'a> {
    /// The time.
    pub now: Instant,
    /// The time of day.
    pub wall: SystemTime,
    /// The scheduler's view.
    pub view: number::View,
    /// The moves that are watched.
    pub moves: &'a BTreeMap<id::Version, Move>,
    /// The configuration.
    pub directory: &'a Directory,
}

/// What an ended request says of the version that ran it, unless its caller cut it short.
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
    /// Makes the trials of a cell's scheduler, which started at `incarnation`.
    pub fn new(cell: Cell, incarnation: u64) -> Self {
        Self {
            brake: RefCell::new(Breaker::new(cell, incarnation)),
            quotas: RefCell::default(),
        }
    }

    /// Follows the control state; gives what the scheduler is to be fed.
    pub fn configure(&self, scene: &Scene<'_>) -> Vec<Input> {
        let mut brake = self.brake.borrow_mut();
        brake.configure(
            scene.now,
            scene.wall,
            scene.view,
            scene.moves,
            scene.directory,
        );
        drop(brake);
        let mut quotas = self.quotas.borrow_mut();
        for version in scene.moves.keys() {
            quotas.entry(version.clone()).or_default();
        }
        drop(quotas);
        self.quota_changes()
    }

    /// Takes in what became of a request; gives what the scheduler is to be fed.
    pub fn record(&self, now: Instant, sample: &Sample) -> Vec<Input> {
        let trip = self.brake.borrow_mut().record(now, sample);
        let mut inputs = self.quota_changes();
        if let Some(trip) = trip {
            log::warn!(
                "{} takes no more requests here: {}",
                trip.version,
                trip.reason
            );
            inputs.push(Input::LowerShare(trip.version, Share::NONE));
        }
        inputs
    }

    /// The next report for the leader, when one is due.
    pub fn poll(&self, now: Instant) -> Option<Report> {
        self.brake.borrow_mut().poll(now)
    }

    fn quota_changes(&self) -> Vec<Input> {
        let brake = self.brake.borrow();
        let mut changes = Vec::new();
        for (version, known) in self.quotas.borrow_mut().iter_mut() {
            let quota = (0..=MAX_QUOTA).find(|running| !brake.allows(version, *running));
            if quota != *known {
                *known = quota;
                changes.push(Input::Quota(version.clone(), quota));
            }
        }
        changes
    }
}
