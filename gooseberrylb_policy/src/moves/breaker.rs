//! A scheduler's own protection against bad versions under a move.
//!
//! Without waiting for the leader, the scheduler stops a version that is proven bad, and limits the
//! number of concurrent requests on a version that has little evidence yet. Only the control state
//! raises a share again. See `docs/MOVES.md`.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant, SystemTime};

use gooseberrylb_config::directory::{Cell, Directory};
use gooseberrylb_config::id;
use gooseberrylb_config::number;

use crate::moves::baseline::{Baseline, Engine};
use crate::moves::evidence::{Report, Sample, Trip};
use crate::moves::plan::Schedule;
use crate::moves::trial::{self, Parameters, Trial};
use crate::moves::{Move, Phase};

/// Probability that a good version is reverted by mistake, over a whole move and all regions.
pub const FALSE_ALARM_RATE: f64 = 0.005;

/// Concurrent requests allowed on a version without any evidence, over all regions.
const INITIAL_OUTSTANDING: u64 = 4;

/// Interval between reports to the leader while the evidence is stable.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// Growth of the evidence against a version that triggers a report at once.
const REPORT_GROWTH_FACTOR: f64 = 2.0;

/// What the last report to the leader contained.
#[derive(Debug, Clone, PartialEq)]
struct LastReport {
    /// The time at which it was made.
    at: Instant,
    /// The step and the evidence of each version.
    findings: BTreeMap<id::Version, (u32, f64)>,
}

/// The trials that one scheduler runs on the versions under a move.
#[derive(Debug, Clone)]
pub struct Breaker {
    /// The service and region of the scheduler.
    cell: Cell,
    /// The number of the current view.
    view: number::View,
    /// The start time of the scheduler, in milliseconds since the Unix epoch.
    incarnation: u64,
    /// The number of reports made so far.
    report_count: u64,
    /// What the last report that was due contained.
    last_report: Option<LastReport>,
    /// The schedule, which must be that of the leader.
    schedule: Schedule,
    /// The trial of each version under a move of the service.
    trials: BTreeMap<id::Version, Trial>,
}

impl Breaker {
    /// Creates a breaker for the scheduler of a service in a region; `incarnation` is the start
    /// time of the scheduler in milliseconds since the Unix epoch.
    pub fn new(cell: Cell, incarnation: u64) -> Self {
        Self {
            cell,
            view: number::View(0),
            incarnation,
            report_count: 0,
            last_report: None,
            schedule: Schedule::default(),
            trials: BTreeMap::new(),
        }
    }

    /// Replaces the default schedule. The leader must use the same one.
    pub fn with_schedule(mut self, schedule: Schedule) -> Self {
        self.schedule = schedule;
        self
    }

    /// Applies the control state; must be called on each of its changes and on every new view.
    pub fn configure(
        &mut self,
        now: Instant,
        wall: SystemTime,
        view: number::View,
        moves: &BTreeMap<id::Version, Move>,
        directory: &Directory,
    ) {
        self.view = view;
        let schedule = self.schedule;
        let service = self.cell.service.clone();
        let judged = |m: &Move| m.service == service && is_judged(m, wall, &schedule);
        self.trials
            .retain(|version, _| moves.get(version).is_some_and(&judged));
        for (version, mv) in moves.iter().filter(|(_, m)| judged(m)) {
            let trial = self.trials.entry(version.clone()).or_insert_with(|| {
                let baseline = baseline(directory, version, &mv.replaces);
                Trial::new(parameters(mv, directory), baseline, now, mv)
            });
            trial.update(mv);
            trial.set_judged_until(judged_until(mv, now, wall, &schedule));
        }
    }

    /// Records the outcome of a request, and returns the proof once a version is shown to be bad.
    /// From then on [`Breaker::allows`] rejects requests to it.
    pub fn record(&mut self, now: Instant, sample: &Sample) -> Option<Trip> {
        self.trials
            .values_mut()
            .filter_map(|trial| trial.record(now, sample))
            .next()
    }

    /// Whether another request may be sent to a version on which `outstanding` requests of this
    /// scheduler are running.
    pub fn allows(&self, version: &id::Version, outstanding: u32) -> bool {
        self.trials
            .get(version)
            .is_none_or(|trial| trial.allows(outstanding))
    }

    /// Returns the proof that a version is bad, if there is one.
    pub fn trip(&self, version: &id::Version) -> Option<&Trip> {
        self.trials.get(version).and_then(Trial::trip)
    }

    /// Returns the next report for the leader if one is due: every second, and at once on a new
    /// step or when the evidence against a version has grown. Must be called about every 100 ms.
    pub fn poll(&mut self, now: Instant) -> Option<Report> {
        let current: BTreeMap<_, _> = self
            .trials
            .iter()
            .map(|(version, trial)| (version.clone(), (trial.step(), trial.doubt())))
            .collect();
        if !self.is_due(now, &current) {
            return None;
        }
        self.last_report = Some(LastReport {
            at: now,
            findings: current,
        });
        Some(self.report(now))
    }

    fn is_due(&self, now: Instant, current: &BTreeMap<id::Version, (u32, f64)>) -> bool {
        let Some(last) = &self.last_report else {
            return true;
        };
        if now.saturating_duration_since(last.at) >= REPORT_INTERVAL {
            return true;
        }
        current.iter().any(|(version, (step, doubt))| {
            last.findings
                .get(version)
                .is_none_or(|(last_step, last_doubt)| {
                    last_step != step || *doubt > last_doubt.max(1.0) * REPORT_GROWTH_FACTOR
                })
        })
    }

    /// Returns the next report for the leader, whether one is due or not.
    pub fn report(&mut self, now: Instant) -> Report {
        self.report_count += 1;
        Report {
            cell: self.cell.clone(),
            view: self.view,
            incarnation: self.incarnation,
            number: self.report_count,
            findings: self
                .trials
                .iter()
                .map(|(version, trial)| (version.clone(), trial.finding(now)))
                .collect(),
        }
    }
}

/// Returns the evidence at which a version counts as bad by the requests of a single region, given
/// the number of regions.
///
/// With several regions, half of the false-alarm rate is split evenly between them; the other half
/// is reserved for [`joint_trip_limit`].
pub fn trip_limit(regions: usize) -> f64 {
    match regions {
        0 | 1 => 1.0 / FALSE_ALARM_RATE,
        regions => 2.0 * regions as f64 / FALSE_ALARM_RATE,
    }
}

/// Returns the product of all regions' evidence at which a version counts as bad. The regions'
/// requests are independent, so the product is a test martingale as well.
pub fn joint_trip_limit() -> f64 {
    2.0 / FALSE_ALARM_RATE
}

fn is_judged(mv: &Move, wall: SystemTime, schedule: &Schedule) -> bool {
    match mv.phase {
        Phase::Planned | Phase::Canary | Phase::Ramping => true,
        Phase::Done => wall < mv.since + schedule.watch,
        Phase::Reverted => false,
    }
}

/// Returns the time at which the watch period of a completed move ends, after which no proof is
/// given. Otherwise a scheduler could stop a version that the leader no longer reverts.
fn judged_until(mv: &Move, now: Instant, wall: SystemTime, schedule: &Schedule) -> Option<Instant> {
    let end = mv.since + schedule.watch;
    let left = end.duration_since(wall).unwrap_or_default();
    (mv.phase == Phase::Done).then(|| now + left)
}

/// Creates an empty baseline with the engines of both versions.
fn baseline(directory: &Directory, new: &id::Version, old: &id::Version) -> Baseline {
    let engines = |version| -> Vec<Engine> {
        let version = directory.versions.get(version);
        let names = version.into_iter().flat_map(|version| &version.upstreams);
        let engine = |name| {
            let upstream = directory.upstreams.get(name)?;
            Some(Engine {
                name: upstream.name.clone(),
                data_centre: upstream.data_centre.as_str().into(),
                slots: upstream.slots.0,
            })
        };
        names.filter_map(engine).collect()
    };
    let mut baseline = Baseline::default();
    baseline.set_engines(&engines(new), &engines(old));
    baseline
}

fn parameters(mv: &Move, directory: &Directory) -> Parameters {
    let routes = directory
        .services
        .get(&mv.service)
        .map_or(1, |service| service.routes.len());
    let regions = directory
        .views
        .iter()
        .filter(|(cell, _)| cell.service == mv.service)
        .count();
    Parameters {
        version: mv.version.clone(),
        replaces: mv.replaces.clone(),
        scopes: trial::scope_count(routes, data_centre_count(mv, directory)),
        limit: trip_limit(regions),
        initial_outstanding: (INITIAL_OUTSTANDING / regions.max(1) as u64).max(1),
    }
}

fn data_centre_count(mv: &Move, directory: &Directory) -> usize {
    [&mv.version, &mv.replaces]
        .into_iter()
        .filter_map(|version| directory.versions.get(version))
        .flat_map(|version| &version.upstreams)
        .filter_map(|upstream| directory.upstreams.get(upstream))
        .map(|upstream| &upstream.data_centre)
        .collect::<BTreeSet<_>>()
        .len()
        .max(1)
}
