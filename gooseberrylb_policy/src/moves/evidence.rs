//! Measurements of versions under a move: the schedulers' reports and the leader's collection of
//! them.
//!
//! Reports are cumulative and numbered, so merging one that is duplicated, late or follows a lost
//! one does no harm, and a new leader has all of a scheduler's evidence after its next report.

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

/// The outcome of one dispatched request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Sample {
    /// The version that ran the request.
    pub version: id::Version,
    /// The route on which the request arrived.
    pub route: id::Route,
    /// The upstream that ran the request.
    pub upstream: id::Upstream,
    /// The peak number of concurrent requests on that upstream between this request's grant and its
    /// first token, including this request, if known.
    pub running: Option<u32>,
    /// The data centre of that upstream.
    pub data_centre: id::DataCentre,
    /// Whether the request failed through the fault of the upstream.
    pub failed: bool,
    /// The measured times and token counts.
    pub figures: Figures,
}

/// The number of requests and of the failed ones among them.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    /// The number of completed requests, including failed ones.
    pub requests: u64,
    /// The number of failed requests.
    pub failed: u64,
}

impl Counts {
    /// Counts one request.
    pub fn add(&mut self, failed: bool) {
        self.requests += 1;
        self.failed += u64::from(failed);
    }

    /// Returns the number of requests that did not fail.
    pub fn good(self) -> u64 {
        self.requests - self.failed.min(self.requests)
    }

    /// Returns the fraction of requests that failed, or 0 without any requests.
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

/// The set of requests that one comparison covers.
#[derive(Debug, Clone, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Scope {
    /// The route, or `None` for all routes.
    pub route: Option<id::Route>,
    /// The data centre of the upstreams, or `None` for all data centres.
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

/// The property of requests that a test compares.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Measure {
    /// The failure of requests.
    Failures,
    /// The time to the first token, per uncached token of the prompt.
    FirstToken,
    /// The time per output token.
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

/// Proof that a version is worse than the one it replaces.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Trip {
    /// The bad version.
    pub version: id::Version,
    /// The scope with the strongest evidence.
    pub scope: Scope,
    /// The measure with the strongest evidence.
    pub measure: Measure,
    /// A description of the proof with its figures.
    pub reason: Arc<str>,
}

/// The figures of one scope, as shown to operators.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Comparison {
    /// The scope that the figures cover.
    pub scope: Scope,
    /// The counts of the new version's requests.
    pub new: Counts,
    /// The counts of the new version's most recent requests.
    pub recent: Counts,
    /// The counts of the old version's requests.
    pub old: Counts,
    /// The new version's time to the first token as a multiple of the old one's, if known.
    pub first_token: Option<f64>,
    /// The new version's time per output token as a multiple of the old one's, if known.
    pub output_token: Option<f64>,
}

/// The findings of one scheduler on one version under a move.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Finding {
    /// The step of the move that the scheduler has applied.
    pub step: u32,
    /// The counts of the version's requests since that step.
    pub in_step: Counts,
    /// The counts of all of the version's requests.
    pub total: Counts,
    /// The request rate of both versions together, in requests per second.
    pub rate: f64,
    /// The evidence against the version. The scheduler stops the version when it reaches the limit,
    /// which is derived from the reciprocal of the false-alarm rate.
    pub doubt: f64,
    /// A description of the strongest evidence against the version with its figures; empty before
    /// the version's first request.
    pub leading: Arc<str>,
    /// The proof that the version is bad, if there is one.
    pub trip: Option<Trip>,
    /// The figures of each scope.
    pub comparisons: Vec<Comparison>,
}

/// A scheduler's cumulative report on the versions under a move.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// The service and region.
    pub cell: directory::Cell,
    /// The number of the view in which the scheduler works.
    pub view: number::View,
    /// The start time of the scheduler, in milliseconds since the Unix epoch.
    pub incarnation: u64,
    /// The number of the report within that incarnation.
    pub number: u64,
    /// The findings on each version.
    pub findings: BTreeMap<id::Version, Finding>,
}

impl Report {
    fn sequence(&self) -> (number::View, u64, u64) {
        (self.view, self.incarnation, self.number)
    }
}

/// A report with the time at which the leader received it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
struct Received {
    /// The report.
    report: Report,
    /// The time at which it was received.
    #[serde(with = "note::time")]
    at: SystemTime,
}

/// The leader's collection of reports, which holds the latest one of each scheduler.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Evidence {
    /// The latest report for each service and region.
    latest: BTreeMap<directory::Cell, Received>,
    /// The counts of each version from schedulers that were replaced.
    superseded: BTreeMap<id::Version, Counts>,
}

impl Evidence {
    /// Creates an empty collection.
    pub fn new() -> Self {
        Self::default()
    }

    /// Merges a report, and returns whether it was newer than the one held for its service and
    /// region.
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

    /// Removes versions that `keep` rejects, so that the collection stays bounded.
    pub fn retain(&mut self, mut keep: impl FnMut(&id::Version) -> bool) {
        self.superseded.retain(|version, _| keep(version));
        for received in self.latest.values_mut() {
            received.report.findings.retain(|version, _| keep(version));
        }
    }

    /// Returns each scheduler's finding on a version, with its service and region.
    pub fn findings<'a>(
        &'a self,
        version: &'a id::Version,
    ) -> impl Iterator<Item = (&'a directory::Cell, &'a Finding)> {
        self.latest.iter().filter_map(move |(cell, received)| {
            let finding = received.report.findings.get(version)?;
            Some((cell, finding))
        })
    }

    /// Returns the counts of all reported requests of a version, including those of replaced
    /// schedulers.
    pub fn total(&self, version: &id::Version) -> Counts {
        let mut total = self.superseded.get(version).copied().unwrap_or_default();
        for (_, finding) in self.findings(version) {
            total += finding.total;
        }
        total
    }

    /// Returns a scheduler's finding on a version if it was reported in this view and within
    /// `max_age`.
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
