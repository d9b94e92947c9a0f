//! What schedulers measured of versions under a move, and the leader's collection of it.
//!
//! Reports are cumulative and numbered, so that merging one twice, late or after a lost one does
//! no harm, and a new leader holds all of a scheduler's evidence with its next report.

use std::collections::BTreeMap;
use std::fmt;
use std::ops::AddAssign;
use std::sync::Arc;
use std::time::{Duration, SystemTime};

use gooseberrylb_config::directory;
use gooseberrylb_config::id;
use gooseberrylb_config::note;
use gooseberrylb_config::number;
use serde::{Deserialize, Serialize};

use crate::request::Figures;

/// What became of one dispatched request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Sample {
    /// The version that ran it.
    pub version: id::Version,
    /// The route that it came by.
    pub route: id::Route,
    /// The upstream that ran it.
    pub upstream: id::Upstream,
    /// The most requests that ran on that upstream at once from this one's grant to its first token,
    /// itself among them, where known.
    pub running: Option<u32>,
    /// The data centre of that upstream.
    pub data_centre: id::DataCentre,
    /// Whether the upstream is to blame for a bad end.
    pub failed: bool,
    /// What was measured.
    pub figures: Figures,
}

/// Requests and those of them that failed.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    /// Requests that ended.
    pub requests: u64,
    /// Requests that failed.
    pub failed: u64,
}

impl Counts {
    /// Counts one request.
    pub fn add(&mut self, failed: bool) {
        self.requests += 1;
        self.failed += u64::from(failed);
    }

    /// The requests that did not fail.
    pub fn good(self) -> u64 {
        self.requests - self.failed.min(self.requests)
    }

    /// The part of the requests that failed; none where there were none.
    pub fn failure_rate(self) -> f64 {
        self.failed as f64 / self.requests.max(1) as f64
    }
}

impl AddAssign for Counts {
    fn add_assign(&mut self, other: Self) {
        self.requests += other.requests;
        self.failed += other.failed;
    }
}

impl fmt::Display for Counts {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} of {} failed", self.failed, self.requests)
    }
}

/// The requests that one comparison is about.
#[derive(Debug, Clone, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Scope {
    /// The route, or all of them.
    pub route: Option<id::Route>,
    /// The data centre of the upstreams, or all of them.
    pub data_centre: Option<id::DataCentre>,
}

impl fmt::Display for Scope {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.route {
            Some(route) => write!(f, "route {route}")?,
            None => f.write_str("all routes")?,
        }
        match &self.data_centre {
            Some(data_centre) => write!(f, " in data centre {data_centre}"),
            None => f.write_str(" in all data centres"),
        }
    }
}

/// What of a request is compared.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Measure {
    /// Whether it failed.
    Failures,
    /// The time to the first token, by uncached token of the prompt.
    FirstToken,
    /// The time to each further token.
    OutputToken,
}

impl fmt::Display for Measure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Measure::Failures => "failures",
            Measure::FirstToken => "time to the first token",
            Measure::OutputToken => "time per output token",
        })
    }
}

/// Proof that a version is worse than the one that it replaces.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Trip {
    /// The version.
    pub version: id::Version,
    /// The requests that showed it most.
    pub scope: Scope,
    /// What they showed.
    pub measure: Measure,
    /// The proof in words and figures.
    pub reason: Arc<str>,
}

/// One scope's figures, for read-back.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Comparison {
    /// The requests.
    pub scope: Scope,
    /// The new version's requests.
    pub new: Counts,
    /// The last few of the new version's requests.
    pub recent: Counts,
    /// The old version's requests.
    pub old: Counts,
    /// The new version's time to the first token as a multiple of the old one's, where known.
    pub first_token: Option<f64>,
    /// The new version's time per output token as a multiple of the old one's, where known.
    pub output_token: Option<f64>,
}

/// What one scheduler has seen of one version under a move.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Finding {
    /// The step of the move that the scheduler works by.
    pub step: u32,
    /// The version's requests since that step.
    pub in_step: Counts,
    /// All of the version's requests.
    pub total: Counts,
    /// The requests a second of both versions.
    pub rate: f64,
    /// The evidence against the version; the trip comes at the reciprocal of the false-alarm rate.
    pub doubt: f64,
    /// What speaks most against the version, in words and figures; empty while nothing does.
    pub leading: Arc<str>,
    /// The proof that it is bad, once there is one.
    pub trip: Option<Trip>,
    /// The figures of each scope.
    pub comparisons: Vec<Comparison>,
}

/// All that one scheduler has seen of the versions under a move.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// The service and region.
    pub cell: directory::Cell,
    /// The view that the scheduler works in.
    pub view: number::View,
    /// The scheduler's start, as milliseconds since 1970.
    pub incarnation: u64,
    /// The report's number in that incarnation.
    pub number: u64,
    /// What it has seen of each version.
    pub findings: BTreeMap<id::Version, Finding>,
}

impl Report {
    fn sequence(&self) -> (number::View, u64, u64) {
        (self.view, self.incarnation, self.number)
    }
}

/// A report with the time at which the leader had it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
struct Received {
    /// The report.
    report: Report,
    /// When it came.
    #[serde(with = "note::time")]
    at: SystemTime,
}

/// The leader's collection of reports: the latest of each scheduler.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Evidence {
    latest: BTreeMap<directory::Cell, Received>,
    superseded: BTreeMap<id::Version, Counts>,
}

impl Evidence {
    /// Makes an empty collection.
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes in a report unless a later one of its service and region is held; says whether it did.
    pub fn merge(&mut self, wall: SystemTime, report: Report) -> bool {
        match self.latest.get(&report.cell) {
            Some(previous) if previous.report.sequence() >= report.sequence() => return false,
            Some(previous) if previous.report.incarnation != report.incarnation => {
                let findings = previous.report.findings.clone();
                self.supersede(findings);
            }
            Some(_) | None => {}
        }
        let cell = report.cell.clone();
        self.latest.insert(cell, Received { report, at: wall });
        true
    }

    /// Forgets versions that are under no move, so that the collection stays bounded.
    pub fn retain(&mut self, mut keep: impl FnMut(&id::Version) -> bool) {
        self.superseded.retain(|version, _| keep(version));
        for received in self.latest.values_mut() {
            received.report.findings.retain(|version, _| keep(version));
        }
    }

    /// What each scheduler has seen of a version, with its service and region.
    pub fn findings<'a>(
        &'a self,
        version: &'a id::Version,
    ) -> impl Iterator<Item = (&'a directory::Cell, &'a Finding)> {
        self.latest.iter().filter_map(move |(cell, received)| {
            let finding = received.report.findings.get(version)?;
            Some((cell, finding))
        })
    }

    /// All requests of a version that were reported, also by schedulers that are no more.
    pub fn total(&self, version: &id::Version) -> Counts {
        let mut total = self.superseded.get(version).copied().unwrap_or_default();
        for (_, finding) in self.findings(version) {
            total += finding.total;
        }
        total
    }

    /// A scheduler's finding on a version, if it was made in this view and came lately.
    pub fn fresh_finding(
        &self,
        cell: &directory::Cell,
        view: number::View,
        version: &id::Version,
        wall: SystemTime,
        max_age: Duration,
    ) -> Option<&Finding> {
        let received = self.latest.get(cell)?;
        let age = wall.duration_since(received.at).unwrap_or_default();
        if received.report.view != view || age > max_age {
            return None;
        }
        received.report.findings.get(version)
    }

    fn supersede(&mut self, findings: BTreeMap<id::Version, Finding>) {
        for (version, finding) in findings {
            *self.superseded.entry(version).or_default() += finding.total;
        }
    }
}
