//! Usage reports: outcome counts, each merged once, and the time windows whose counts were lost.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::time::SystemTime;

use gooseberrylb_config::answer::report::{Change, Coverage, Filter, Gap, Report, Row};
use gooseberrylb_config::{id, note};
use gooseberrylb_policy::request::Outcome;
use serde::{Deserialize, Serialize};

use super::{Counts, Label, Reply, Tally};

mod bucket;

pub use bucket::{MAX_HOUR_BUCKETS, MAX_MINUTE_BUCKETS, MAX_ROWS};

/// Maximum number of retained gaps that are closed or belong to instances no longer tracked.
pub const MAX_CLOSED_GAPS: usize = 10_000;
/// Maximum number of retained share changes.
pub const MAX_SHARE_CHANGES: usize = 5_000;

/// Progress of the tallies of one process.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct Track {
    /// Start of the process, in milliseconds since 1970.
    incarnation: u64,
    /// Number of the last merged tally, or 0.
    number: u64,
    /// End of the last merged tally, or the time at which the process joined.
    #[serde(with = "note::time")]
    until: SystemTime,
    /// Whether the last merged tally was marked as the final one.
    finished: bool,
    /// Reason why the counts after the last merged tally are lost, if they are.
    lost: Option<Arc<str>>,
}

/// Data that reports are built from.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Reports {
    /// Counts by time and label.
    buckets: bucket::Buckets,
    /// Progress of the tallies by instance.
    tracks: BTreeMap<id::Instance, Track>,
    /// Closed gaps, and the open ones of instances that are no longer tracked, oldest first.
    gaps: VecDeque<Gap>,
    /// Share changes, oldest first.
    changes: VecDeque<Change>,
}

impl Reports {
    /// Starts tracking the tallies of a process that joined at `at`.
    ///
    /// Counts that an earlier process of the same name has not reported are lost.
    pub(super) fn start_tracking(&mut self, name: &id::Instance, incarnation: u64, at: SystemTime) {
        let known = self.tracks.get(name);
        if known.is_some_and(|track| track.incarnation >= incarnation) {
            return;
        }
        let track = Track {
            incarnation,
            number: 0,
            until: at,
            finished: false,
            lost: None,
        };
        let Some(earlier) = self.tracks.insert(name.clone(), track) else {
            return;
        };
        if !earlier.finished {
            let restarted = || Arc::from("the process was started anew");
            self.add_gap(Gap {
                instance: name.clone(),
                incarnation: earlier.incarnation,
                from: earlier.until,
                to: Some(at.max(earlier.until)),
                cause: earlier.lost.unwrap_or_else(restarted),
            });
        }
    }

    /// Opens a gap after the last tally of a process that has left or died.
    pub(super) fn mark_lost(&mut self, name: &id::Instance, incarnation: u64, cause: &Arc<str>) {
        let Some(track) = self.tracks.get_mut(name) else {
            return;
        };
        if track.incarnation == incarnation && !track.finished {
            track.lost = Some(cause.clone());
        }
    }

    /// Stops tracking an instance that left long ago; its open gap is kept without an end.
    pub(super) fn remove(&mut self, name: &id::Instance) {
        let Some(track) = self.tracks.remove(name) else {
            return;
        };
        if let Some(gap) = open_gap(name, &track) {
            self.add_gap(gap);
        }
    }

    /// Merges a tally, unless it was merged before.
    pub(super) fn merge(&mut self, tally: &Tally) -> Reply {
        self.start_tracking(&tally.instance, tally.incarnation, tally.from);
        let Some(track) = self.tracks.get_mut(&tally.instance) else {
            return Reply::Stale;
        };
        if track.incarnation != tally.incarnation || tally.number <= track.number {
            return Reply::Stale;
        }
        let missing = track.number + 1..tally.number;
        let from = track.until;
        track.number = tally.number;
        track.until = tally.to;
        track.finished = tally.last;
        track.lost = None;
        if !missing.is_empty() {
            let last = tally.number - 1;
            self.add_gap(Gap {
                instance: tally.instance.clone(),
                incarnation: tally.incarnation,
                from,
                to: Some(tally.from.max(from)),
                cause: Arc::from(format!("tallies {} to {last} are missing", missing.start)),
            });
        }
        self.buckets.add(tally.from, &tally.rows);
        Reply::Applied
    }

    /// Adds a gap and drops the oldest one if the limit is exceeded.
    fn add_gap(&mut self, gap: Gap) {
        self.gaps.push_back(gap);
        if self.gaps.len() > MAX_CLOSED_GAPS {
            self.gaps.pop_front();
        }
    }

    /// Records that a version took over or gave back traffic.
    pub(super) fn record(&mut self, change: Change) {
        self.changes.push_back(change);
        if self.changes.len() > MAX_SHARE_CHANGES {
            self.changes.pop_front();
        }
    }

    /// Returns the report for `filter`.
    pub fn query(&self, filter: &Filter) -> Report {
        let mut span = bucket::Span {
            from: bucket::unix_seconds(filter.from),
            to: bucket::unix_seconds(filter.to),
        };
        let rows = self.rows(filter, &mut span);
        let from = bucket::from_unix_seconds(span.from).min(filter.from);
        let to = bucket::from_unix_seconds(span.to).max(filter.to);
        Report {
            from,
            to,
            kept_from: self.buckets.kept_from().filter(|kept| *kept > from),
            rows,
            gaps: self.gaps_between(from, to),
            moves: self.changes_between(filter, from, to),
            counted: self.counted(),
        }
    }

    /// Returns the rows that match the filter, and extends `span` to the buckets that were read.
    fn rows(&self, filter: &Filter, span: &mut bucket::Span) -> Vec<Row> {
        let mut rows = BTreeMap::new();
        self.buckets.visit(span, |label, counts| {
            let version = label.version.as_ref();
            if !filter.matches(&label.account, label.tier, &label.service, version) {
                return;
            }
            let key = (&label.account, label.tier, &label.service, version);
            let key = (key.0.clone(), key.1, key.2.clone(), key.3.cloned());
            let row = rows.entry(key).or_insert_with(|| empty_row(label));
            add(row, label, counts);
        });
        rows.into_values().collect()
    }

    /// Returns the closed and open gaps that overlap the given time range.
    fn gaps_between(&self, from: SystemTime, to: SystemTime) -> Vec<Gap> {
        let open = self
            .tracks
            .iter()
            .filter_map(|(name, track)| open_gap(name, track));
        let overlaps = |gap: &Gap| gap.from < to && gap.to.is_none_or(|end| end > from);
        self.gaps
            .iter()
            .cloned()
            .chain(open)
            .filter(overlaps)
            .collect()
    }

    /// Returns the share changes in the given time range that match the filter.
    fn changes_between(&self, filter: &Filter, from: SystemTime, to: SystemTime) -> Vec<Change> {
        let wanted = |change: &&Change| {
            let service = filter.service.as_ref().is_none_or(|s| *s == change.service);
            let version = filter.version.as_ref().is_none_or(|v| *v == change.version);
            change.at >= from && change.at < to && service && version
        };
        self.changes.iter().filter(wanted).cloned().collect()
    }

    /// Returns the running instances with the time up to which their counts are merged.
    fn counted(&self) -> Vec<Coverage> {
        let running = |track: &&Track| !track.finished && track.lost.is_none();
        self.tracks
            .iter()
            .filter(|(_, track)| running(track))
            .map(|(name, track)| Coverage {
                instance: name.clone(),
                until: track.until,
            })
            .collect()
    }
}

/// Returns the gap after the last tally of `track`, if its counts are lost.
fn open_gap(name: &id::Instance, track: &Track) -> Option<Gap> {
    let cause = track.lost.clone()?;
    Some(Gap {
        instance: name.clone(),
        incarnation: track.incarnation,
        from: track.until,
        to: None,
        cause,
    })
}

fn empty_row(label: &Label) -> Row {
    Row {
        account: label.account.clone(),
        tier: label.tier,
        service: label.service.clone(),
        version: label.version.clone(),
        served: 0,
        refused: 0,
        not_run: 0,
        unknown: 0,
        prompt_tokens: 0,
        output_tokens: 0,
        wasted_tokens: 0,
    }
}

fn add(row: &mut Row, label: &Label, counts: &Counts) {
    let outcome = match (label.outcome, label.refused) {
        (Outcome::Served, _) => &mut row.served,
        (Outcome::NotRun, true) => &mut row.refused,
        (Outcome::NotRun, false) => &mut row.not_run,
        (Outcome::Unknown, _) => &mut row.unknown,
    };
    *outcome += counts.requests;
    row.prompt_tokens += counts.prompt_tokens;
    row.output_tokens += counts.output_tokens;
    row.wasted_tokens += counts.wasted_tokens;
}
