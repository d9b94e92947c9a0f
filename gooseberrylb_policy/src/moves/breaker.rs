//! What a scheduler does by itself about versions under a move: it stops one that shows itself bad
//! at once, and limits how many requests run on one of which little is known. Only the control
//! state raises a share again. See `docs/MOVES.md`.

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

/// How often a good version is taken for bad, over a whole move and all regions.
pub const FALSE_ALARM_RATE: f64 = 0.005;

/// The requests that may run on a version of which nothing is known yet, over all regions.
const INITIAL_OUTSTANDING: u64 = 4;

/// How often the leader is told what was seen, where nothing of weight is new.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// By how much the evidence against a version grows before the leader is told at once.
const REPORT_GROWTH_FACTOR: f64 = 2.0;

/// What the leader was told last.
#[derive(Debug, Clone, PartialEq)]
struct LastReport {
    /// When.
    at: Instant,
    /// The step and the evidence of each version.
    findings: BTreeMap<id::Version, (u32, f64)>,
}

/// One scheduler's trials of the versions under a move.
#[derive(Debug, Clone)]
pub struct Breaker {
    cell: Cell,
    view: number::View,
    incarnation: u64,
    report_count: u64,
    last_report: Option<LastReport>,
    schedule: Schedule,
    trials: BTreeMap<id::Version, Trial>,
}

impl Breaker {
    /// Makes a brake for the scheduler of a service in a region; `incarnation` is the scheduler's
    /// start as milliseconds since 1970.
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

    /// Uses another schedule than the default one; the leader must use the same.
    pub fn with_schedule(mut self, schedule: Schedule) -> Self {
        self.schedule = schedule;
        self
    }

    /// Follows the control state; called at each of its changes and at every new view.
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

    /// Takes in what became of a request; gives the proof once a version is shown to be bad. From
    /// then on [`Breaker::allows`] refuses it.
    pub fn record(&mut self, now: Instant, sample: &Sample) -> Option<Trip> {
        self.trials
            .values_mut()
            .filter_map(|trial| trial.record(now, sample))
            .next()
    }

    /// Whether one more request may be sent to a version on which `outstanding` run from here.
    pub fn allows(&self, version: &id::Version, outstanding: u32) -> bool {
        self.trials
            .get(version)
            .is_none_or(|trial| trial.allows(outstanding))
    }

    /// The proof that a version is bad, where there is one.
    pub fn trip(&self, version: &id::Version) -> Option<&Trip> {
        self.trials.get(version).and_then(Trial::trip)
    }

    /// The next report for the leader when one is due: every second, and at once at a new step or
    /// when the evidence against a version has grown. Called every 100 ms or so.
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

    /// The next report for the leader, whether one is due or not.
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

/// The evidence at which a version is taken for bad from the requests of one of so many regions.
///
/// Half of the false-alarm rate is split over the regions, where there are several; the other half
/// is [`joint_trip_limit`]'s.
pub fn trip_limit(regions: usize) -> f64 {
    match regions {
        0 | 1 => 1.0 / FALSE_ALARM_RATE,
        regions => 2.0 * regions as f64 / FALSE_ALARM_RATE,
    }
}

/// The product of all regions' evidence at which a version is taken for bad. The regions' requests
/// are independent, so that the product is a test martingale too.
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

/// When the judging of a move that is done ends, so that a scheduler never stops a version that the
/// leader would not take back any more.
fn judged_until(mv: &Move, now: Instant, wall: SystemTime, schedule: &Schedule) -> Option<Instant> {
    let end = mv.since + schedule.watch;
    let left = end.duration_since(wall).unwrap_or_default();
    (mv.phase == Phase::Done).then(|| now + left)
}

/// Which engines of two versions are alike.
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
