//! Counts by time: minutes for a day, then hours, within a bound on all rows.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use serde::{Deserialize, Serialize};
use serde_with::serde_as;

use crate::state::{Counts, Label};

/// The seconds of a bucket that counts a minute.
const MINUTE_SECONDS: u64 = 60;
/// The seconds of a bucket that counts an hour.
const HOUR_SECONDS: u64 = 3_600;
/// The number of buckets of a minute that are kept: a day of them.
pub const KEPT_MINUTES: usize = 24 * 60;
/// The number of buckets of an hour that are kept: 35 days of them.
pub const KEPT_HOURS: usize = 35 * 24;
/// The number of rows that are kept in all buckets together.
pub const KEPT_ROWS: usize = 300_000;

/// Stands for a label in the rows, which would otherwise repeat its text in each bucket.
type LabelNumber = u32;

/// The counts of one label in one bucket, written as a list of numbers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
struct Row(LabelNumber, u64, u64, u64, u64);

/// The counts of one stretch of time, by label.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
struct Bucket(Vec<Row>);

impl Bucket {
    /// Adds counts and tells how many rows that added.
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

/// All buckets.
#[serde_as]
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct Buckets {
    /// The number of each label in the rows.
    #[serde_as(as = "Vec<(_, _)>")]
    labels: BTreeMap<Label, LabelNumber>,
    /// The number that the next new label gets.
    next_label: LabelNumber,
    /// The buckets of a minute, by the minute's number since 1970.
    minutes: BTreeMap<u64, Bucket>,
    /// The buckets of an hour, by the hour's number since 1970.
    hours: BTreeMap<u64, Bucket>,
    /// The number of rows in all buckets.
    rows: usize,
    /// The end of the latest hour that was dropped.
    dropped_through: Option<u64>,
}

/// A stretch of time whose buckets are read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Span {
    /// Where it begins, in seconds since 1970.
    pub from: u64,
    /// Where it ends, in seconds since 1970.
    pub to: u64,
}

impl Span {
    fn meets(&self, from: u64, seconds: u64) -> bool {
        from < self.to && self.from < from + seconds
    }

    fn widen(&mut self, from: u64, seconds: u64) {
        self.from = self.from.min(from);
        self.to = self.to.max(from + seconds);
    }
}

/// The whole seconds of `time` since 1970.
pub(super) fn seconds(time: SystemTime) -> u64 {
    let since = time.duration_since(UNIX_EPOCH);
    since.unwrap_or(Duration::ZERO).as_secs()
}

/// The time that is `seconds` after the beginning of 1970.
pub(super) fn time(seconds: u64) -> SystemTime {
    UNIX_EPOCH + Duration::from_secs(seconds)
}

impl Buckets {
    /// Adds the counts of a window that begins at `from`.
    pub(super) fn add(&mut self, from: SystemTime, rows: &[(Label, Counts)]) {
        if rows.is_empty() {
            return;
        }
        let minute = seconds(from) / MINUTE_SECONDS;
        for (label, counts) in rows {
            let label = self.number(label);
            let bucket = self.minutes.entry(minute).or_default();
            self.rows += bucket.add(label, counts);
        }
        self.shrink();
    }

    fn number(&mut self, label: &Label) -> LabelNumber {
        if let Some(number) = self.labels.get(label) {
            return *number;
        }
        let number = self.next_label;
        self.next_label += 1;
        self.labels.insert(label.clone(), number);
        number
    }

    fn shrink(&mut self) {
        while self.minutes.len() > KEPT_MINUTES
            || (self.rows > KEPT_ROWS && !self.minutes.is_empty())
        {
            self.fold_oldest_minute();
        }
        while self.hours.len() > KEPT_HOURS || self.rows > KEPT_ROWS {
            self.drop_oldest_hour();
        }
    }

    fn fold_oldest_minute(&mut self) {
        let Some((minute, bucket)) = self.minutes.pop_first() else {
            return;
        };
        self.rows -= bucket.0.len();
        let hour = minute * MINUTE_SECONDS / HOUR_SECONDS;
        let into = self.hours.entry(hour).or_default();
        for row in &bucket.0 {
            let counts = Counts {
                requests: row.1,
                prompt_tokens: row.2,
                output_tokens: row.3,
                wasted_tokens: row.4,
            };
            self.rows += into.add(row.0, &counts);
        }
    }

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

    /// Where kept counts begin, once older ones were dropped.
    pub(super) fn kept_from(&self) -> Option<SystemTime> {
        self.dropped_through.map(time)
    }

    /// Gives `take` the counts of every bucket that meets the span, which is widened by them.
    pub(super) fn read(&self, span: &mut Span, mut take: impl FnMut(&Label, &Counts)) {
        let labels: BTreeMap<LabelNumber, &Label> =
            self.labels.iter().map(|(l, n)| (*n, l)).collect();
        let wanted = *span;
        let minutes = self.minutes.iter().map(|(n, b)| (*n, MINUTE_SECONDS, b));
        let hours = self.hours.iter().map(|(n, b)| (*n, HOUR_SECONDS, b));
        for (number, length, bucket) in minutes.chain(hours) {
            let from = number * length;
            if !wanted.meets(from, length) {
                continue;
            }
            span.widen(from, length);
            for row in &bucket.0 {
                let counts = Counts {
                    requests: row.1,
                    prompt_tokens: row.2,
                    output_tokens: row.3,
                    wasted_tokens: row.4,
                };
                if let Some(label) = labels.get(&row.0) {
                    take(label, &counts);
                }
            }
        }
    }
}
