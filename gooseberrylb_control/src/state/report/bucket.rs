//! Counts by time: per minute for a day, then per hour, with a limit on the total number of rows.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use serde::{Deserialize, Serialize};
use serde_with::serde_as;

use crate::state::{Counts, Label};

/// Length of a minute bucket in seconds.
const MINUTE_SECONDS: u64 = 60;
/// Length of an hour bucket in seconds.
const HOUR_SECONDS: u64 = 3_600;
/// Maximum number of retained minute buckets: one day.
pub const MAX_MINUTE_BUCKETS: usize = 24 * 60;
/// Maximum number of retained hour buckets: 35 days.
pub const MAX_HOUR_BUCKETS: usize = 35 * 24;
/// Maximum number of rows retained in all buckets together.
pub const MAX_ROWS: usize = 300_000;

/// Number of a label, used in rows so that the text of the label is stored only once.
type LabelNumber = u32;

/// Counts of one label in one bucket, serialized as a list of numbers.
///
/// The numbers are the label, requests, prompt tokens, output tokens and wasted tokens.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
struct Row(LabelNumber, u64, u64, u64, u64);

/// Counts of one time range, ordered by label.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
struct Bucket(Vec<Row>);

impl Bucket {
    /// Adds counts and returns the number of rows added.
    fn add(&mut self, label: LabelNumber, counts: &Counts) -> usize {
        let (at, added) = match self.0.binary_search_by_key(&label, |row| row.0) {
            Ok(at) => (at, 0),
            Err(at) => {
                self.0.insert(at, Row(label, 0, 0, 0, 0));
                (at, 1)
            }
        };
        let row = &mut self.0[at];
        row.1 += counts.requests;
        row.2 += counts.prompt_tokens;
        row.3 += counts.output_tokens;
        row.4 += counts.wasted_tokens;
        added
    }
}

/// All buckets, by length and time.
#[serde_as]
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct Buckets {
    /// Number of each label that the rows refer to.
    #[serde_as(as = "Vec<(_, _)>")]
    labels: BTreeMap<Label, LabelNumber>,
    /// Number for the next new label.
    next_label: LabelNumber,
    /// Minute buckets, by minutes since 1970.
    minutes: BTreeMap<u64, Bucket>,
    /// Hour buckets, by hours since 1970.
    hours: BTreeMap<u64, Bucket>,
    /// Number of rows in all buckets.
    rows: usize,
    /// End of the latest dropped hour bucket, in seconds since 1970.
    dropped_through: Option<u64>,
}

/// Time range.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Span {
    /// Start, in seconds since 1970.
    pub from: u64,
    /// End (exclusive), in seconds since 1970.
    pub to: u64,
}

impl Span {
    /// Whether the span overlaps a bucket of `seconds` that starts at `from`.
    fn overlaps(&self, from: u64, seconds: u64) -> bool {
        from < self.to && self.from < from + seconds
    }

    /// Extends the span to contain a bucket of `seconds` that starts at `from`.
    fn extend(&mut self, from: u64, seconds: u64) {
        self.from = self.from.min(from);
        self.to = self.to.max(from + seconds);
    }
}

/// Returns the whole seconds from 1970 to `time`, or 0 if `time` is earlier.
pub(super) fn unix_seconds(time: SystemTime) -> u64 {
    let since = time.duration_since(UNIX_EPOCH);
    since.unwrap_or(Duration::ZERO).as_secs()
}

/// Returns the time that is `seconds` after the start of 1970.
pub(super) fn from_unix_seconds(seconds: u64) -> SystemTime {
    UNIX_EPOCH + Duration::from_secs(seconds)
}

impl Buckets {
    /// Adds the counts of a window that starts at `from`.
    pub(super) fn add(&mut self, from: SystemTime, rows: &[(Label, Counts)]) {
        if rows.is_empty() {
            return;
        }
        let minute = unix_seconds(from) / MINUTE_SECONDS;
        for (label, counts) in rows {
            let label = self.label_number(label);
            let bucket = self.minutes.entry(minute).or_default();
            self.rows += bucket.add(label, counts);
        }
        self.enforce_limits();
    }

    /// Returns the number of a label, assigning one if it is new.
    fn label_number(&mut self, label: &Label) -> LabelNumber {
        if let Some(number) = self.labels.get(label) {
            return *number;
        }
        let number = self.next_label;
        self.next_label += 1;
        self.labels.insert(label.clone(), number);
        number
    }

    /// Folds and drops the oldest buckets until all limits are met.
    fn enforce_limits(&mut self) {
        while self.minutes.len() > MAX_MINUTE_BUCKETS
            || (self.rows > MAX_ROWS && !self.minutes.is_empty())
        {
            self.fold_oldest_minute();
        }
        while self.hours.len() > MAX_HOUR_BUCKETS || self.rows > MAX_ROWS {
            self.drop_oldest_hour();
        }
    }

    /// Adds the counts of the oldest minute bucket to its hour bucket.
    fn fold_oldest_minute(&mut self) {
        let Some((minute, bucket)) = self.minutes.pop_first() else {
            return;
        };
        self.rows -= bucket.0.len();
        let hour = minute * MINUTE_SECONDS / HOUR_SECONDS;
        let target = self.hours.entry(hour).or_default();
        for row in &bucket.0 {
            let counts = Counts {
                requests: row.1,
                prompt_tokens: row.2,
                output_tokens: row.3,
                wasted_tokens: row.4,
            };
            self.rows += target.add(row.0, &counts);
        }
    }

    /// Drops the oldest hour bucket and the labels that are no longer used.
    fn drop_oldest_hour(&mut self) {
        let Some((hour, bucket)) = self.hours.pop_first() else {
            return;
        };
        self.rows -= bucket.0.len();
        let end = (hour + 1) * HOUR_SECONDS;
        self.dropped_through = self.dropped_through.max(Some(end));
        let used: BTreeSet<LabelNumber> = self
            .minutes
            .values()
            .chain(self.hours.values())
            .flat_map(|bucket| bucket.0.iter().map(|row| row.0))
            .collect();
        self.labels.retain(|_, number| used.contains(number));
    }

    /// Returns the start of the retained counts, if older ones were dropped.
    pub(super) fn kept_from(&self) -> Option<SystemTime> {
        self.dropped_through.map(from_unix_seconds)
    }

    /// Calls `visitor` with the counts of every bucket that overlaps `span`, and extends `span` to
    /// contain these buckets.
    pub(super) fn visit(&self, span: &mut Span, mut visitor: impl FnMut(&Label, &Counts)) {
        let labels: BTreeMap<LabelNumber, &Label> =
            self.labels.iter().map(|(l, n)| (*n, l)).collect();
        let wanted = *span;
        let minutes = self.minutes.iter().map(|(n, b)| (*n, MINUTE_SECONDS, b));
        let hours = self.hours.iter().map(|(n, b)| (*n, HOUR_SECONDS, b));
        for (number, length, bucket) in minutes.chain(hours) {
            let from = number * length;
            if !wanted.overlaps(from, length) {
                continue;
            }
            span.extend(from, length);
            for row in &bucket.0 {
                let counts = Counts {
                    requests: row.1,
                    prompt_tokens: row.2,
                    output_tokens: row.3,
                    wasted_tokens: row.4,
                };
                if let Some(label) = labels.get(&row.0) {
                    visitor(label, &counts);
                }
            }
        }
    }
}
