//! Counts of outcomes, merged once each, and the windows whose counts were lost.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::time::SystemTime;

use gooseberrylb_config::answer::report::{Change, Counted, Filter, Gap, Report, Row};
use gooseberrylb_config::{id, note};
use gooseberrylb_policy::request::Outcome;
use serde::{Deserialize, Serialize};

use super::{Counts, Label, Reply, Tally};

mod bucket;

pub use bucket::{KEPT_HOURS, KEPT_MINUTES, KEPT_ROWS};

/// The number of closed gaps that are kept.
pub const KEPT_GAPS: usize = 10_000;
/// The number of changes of shares that are kept.
pub const KEPT_CHANGES: usize = 5_000;

/// How far the counts of one process have come in.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct Track {
    /// The process's start, as milliseconds since 1970.
    incarnation: u64,
    /// The number of the last tally.
    number: u64,
    /// The end of the last tally, or when the process joined.
    #[serde(with = "note::time")]
    until: SystemTime,
    /// Whether the last tally said that it was the last one.
    finished: bool,
    /// Why the counts behind the last tally are lost, where they are.
    lost: Option<Arc<str>>,
}

/// All that reports are made of.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Reports {
    /// The counts.
    buckets: bucket::Buckets,
    /// How far the counts of each instance have come in.
    tracks: BTreeMap<id::Instance, Track>,
    /// The gaps that have ended, oldest first.
    gaps: VecDeque<Gap>,
    /// The changes of shares, oldest first.
    changes: VecDeque<Change>,
}

impl Reports {
    /// Expects tallies of a process that joined at `at`. What an earlier process of that name had
    /// not yet told is lost.
    pub(super) fn begin(&mut self, name: &id::Instance, incarnation: u64, at: SystemTime) {
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

    /// Opens a gap behind the last tally of a process that is gone.
    pub(super) fn end(&mut self, name: &id::Instance, incarnation: u64, cause: &Arc<str>) {
        let Some(track) = self.tracks.get_mut(name) else {
            return;
        };
        if track.incarnation == incarnation && !track.finished {
            track.lost = Some(cause.clone());
        }
    }

    /// Forgets an instance that left long ago; a gap that it left open ends where it began.
    pub(super) fn forget(&mut self, name: &id::Instance) {
        let Some(track) = self.tracks.remove(name) else {
            return;
        };
        if let Some(gap) = open_gap(name, &track) {
            self.add_gap(gap);
        }
    }

    /// Merges a tally, unless it was merged before.
    pub(super) fn merge(&mut self, tally: &Tally) -> Reply {
        self.begin(&tally.instance, tally.incarnation, tally.from);
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

    fn add_gap(&mut self, gap: Gap) {
        self.gaps.push_back(gap);
        if self.gaps.len() > KEPT_GAPS {
            self.gaps.pop_front();
        }
    }

    /// Remembers that a version took or gave back traffic.
    pub(super) fn record(&mut self, change: Change) {
        self.changes.push_back(change);
        if self.changes.len() > KEPT_CHANGES {
            self.changes.pop_front();
        }
    }

    /// What the filter wants of all this.
    pub fn read(&self, filter: &Filter) -> Report {
        let mut span = bucket::Span {
            from: bucket::seconds(filter.from),
            to: bucket::seconds(filter.to),
        };
        let rows = self.rows(filter, &mut span);
        let from = bucket::time(span.from).min(filter.from);
        let to = bucket::time(span.to).max(filter.to);
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

    fn rows(&self, filter: &Filter, span: &mut bucket::Span) -> Vec<Row> {
        let mut rows = BTreeMap::new();
        self.buckets.read(span, |label, counts| {
            let version = label.version.as_ref();
            if !filter.wants(&label.account, label.tier, &label.service, version) {
                return;
            }
            let key = (&label.account, label.tier, &label.service, version);
            let key = (key.0.clone(), key.1, key.2.clone(), key.3.cloned());
            let row = rows.entry(key).or_insert_with(|| empty_row(label));
            add(row, label, counts);
        });
        rows.into_values().collect()
    }

    fn gaps_between(&self, from: SystemTime, to: SystemTime) -> Vec<Gap> {
        let open = self
            .tracks
            .iter()
            .filter_map(|(name, track)| open_gap(name, track));
        let meets = |gap: &Gap| gap.from < to && gap.to.is_none_or(|end| end > from);
        self.gaps
            .iter()
            .cloned()
            .chain(open)
            .filter(meets)
            .collect()
    }

    fn changes_between(&self, filter: &Filter, from: SystemTime, to: SystemTime) -> Vec<Change> {
        let wanted = |change: &&Change| {
            let service = filter.service.as_ref().is_none_or(|s| *s == change.service);
            let version = filter.version.as_ref().is_none_or(|v| *v == change.version);
            change.at >= from && change.at < to && service && version
        };
        self.changes.iter().filter(wanted).cloned().collect()
    }

    fn counted(&self) -> Vec<Counted> {
        let running = |track: &&Track| !track.finished && track.lost.is_none();
        self.tracks
            .iter()
            .filter(|(_, track)| running(track))
            .map(|(name, track)| Counted {
                instance: name.clone(),
                until: track.until,
            })
            .collect()
    }
}

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
