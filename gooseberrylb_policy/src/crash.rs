//! Requests, and parts of prompts, under which upstreams crash.
//!
//! A request may crash every upstream that begins to run it, and so may a part of a prompt, whatever
//! else the prompt holds. Repeats of such a request, and requests with such a part, are refused at
//! all entries, so that they do not take down one upstream after the other. Other requests are
//! served, also if they share parts with the refused ones.
//!
//! Entries report crashes, dispatchers conclude from all of them which causes to block, and
//! entries obey. The time is passed in. See `docs/PLATFORM.md`.

use std::collections::{HashMap, VecDeque};
use std::fmt;
use std::time::{Duration, Instant};

use gooseberrylb_config::id;
use serde::{Deserialize, Serialize};

mod judgment;
mod service;
mod trial;

pub use trial::Seat;

/// Longest time for which a cause is blocked.
const MAX_BLOCK: Duration = Duration::from_secs(4 * 3600);

/// Time after the first byte within which a crash may be due to the prompt.
const BEGINNING: Duration = Duration::from_millis(250);

/// Time after a crash for which it is not judged, since other entries may still report their runs.
pub const SETTLING: Duration = Duration::from_millis(100);

/// Time within which the broken runs of one upstream belong to the same crash.
const CRASH_SPREAD: Duration = Duration::from_secs(1);

/// Time for which crashed runs are kept.
const RETENTION: Duration = Duration::from_secs(600);

/// Maximum number of crashed runs that are kept.
const MAX_RUNS: usize = 512;

/// Maximum number of causes whose blocks, or whose last service after a crash, are kept.
const MAX_CAUSES: usize = 1024;

/// Difference below which the ends of two blocks count as equal; the time in transit varies.
const BLOCK_TOLERANCE: Duration = Duration::from_secs(1);

/// What may crash upstreams. A run has the parts of its prompt that other requests may share, in
/// order, and then the request itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Cause {
    /// All requests whose prompts have a part.
    Part(id::Part),
    /// A request and its repeats.
    Request(id::Content),
}

impl Cause {
    /// Returns the kind of the cause, for metrics.
    pub fn kind(&self) -> &'static str {
        match self {
            Self::Part(_) => "part",
            Self::Request(_) => "request",
        }
    }
}

impl fmt::Display for Cause {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Part(part) => write!(f, "part {part}"),
            Self::Request(content) => write!(f, "request {content}"),
        }
    }
}

/// What the end of a run on an upstream tells about its request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Ending {
    /// The upstream wrote the whole response.
    Served,
    /// The connection ended as the upstream began to write, or before.
    Crashed,
    /// Anything else.
    Unclear,
}

impl Ending {
    /// Returns the ending of a run whose connection ended in the midst of a response that had been
    /// written for the given time; `None` if nothing of its body had arrived.
    pub fn of_broken(wrote: Option<Duration>) -> Self {
        match wrote {
            Some(time) if time >= BEGINNING => Self::Unclear,
            Some(_) | None => Self::Crashed,
        }
    }

    /// Returns the ending of a run whose response looks complete. Without a framing, a crash between
    /// two events looks so as well.
    pub fn of_complete(is_framed: bool, wrote: Duration) -> Self {
        match is_framed || wrote >= BEGINNING {
            true => Self::Served,
            false => Self::Unclear,
        }
    }
}

/// What one instance tells another about causes of crashes.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Report {
    /// An upstream crashed as it began to write a response.
    Crashed {
        /// Upstream that crashed.
        upstream: id::Upstream,
        /// What may be the cause, in order.
        causes: Vec<Cause>,
        /// Time since the crash.
        age: Duration,
    },
    /// Requests with a cause are refused.
    Blocked {
        /// What crashes upstreams.
        cause: Cause,
        /// Time since it was blocked.
        age: Duration,
        /// Time for which it is still blocked.
        left: Duration,
        /// How often it has been blocked in a row.
        times: u32,
    },
    /// What seemed to crash upstreams was served.
    Served {
        /// What is sound.
        cause: Cause,
        /// Time since then.
        age: Duration,
    },
}

/// A run that ended with its upstream.
#[derive(Debug, Clone, PartialEq, Eq)]
struct Run {
    upstream: id::Upstream,
    at: Instant,
    causes: Vec<Cause>,
}

/// A cause whose requests are or were refused.
#[derive(Debug, Clone, Copy)]
struct Block {
    since: Instant,
    until: Instant,
    /// How often the cause has been blocked in a row.
    times: u32,
    /// What this instance refused because of it.
    refusals: trial::Refusals,
}

/// What an instance knows of causes of crashes.
#[derive(Debug, Clone, Default)]
pub struct Table {
    /// Runs of this instance.
    own: service::Record,
    /// Crashed runs of all instances that told of them, by time.
    runs: VecDeque<Run>,
    /// Blocks, also those that are over.
    blocks: HashMap<Cause, Block>,
    /// Time at which causes were last served, as far as instances told of it.
    served: HashMap<Cause, Instant>,
}

impl Table {
    /// Records the end of a run of this instance at a time. Returns what other instances need to know
    /// of it.
    pub fn record(
        &mut self,
        upstream: &id::Upstream,
        causes: &[Cause],
        ending: Ending,
        at: Instant,
        now: Instant,
    ) -> Vec<Report> {
        self.own.start_period(now);
        match ending {
            Ending::Unclear => Vec::new(),
            Ending::Served => {
                causes
                    .iter()
                    .for_each(|cause| self.own.count_served(*cause, now));
                let suspects = causes.iter().filter(|cause| self.is_suspect(cause));
                let suspects: Vec<_> = suspects.copied().collect();
                let served = suspects.into_iter().map(|cause| Report::Served {
                    cause,
                    age: Duration::ZERO,
                });
                let served: Vec<_> = served.collect();
                served
                    .into_iter()
                    .flat_map(|r| self.adopt(r, now))
                    .collect()
            }
            Ending::Crashed => {
                causes
                    .iter()
                    .for_each(|cause| self.own.count_crashed(*cause));
                // All need to know that a trial of a blocked cause has failed.
                let is_suspect =
                    |cause: &&Cause| !self.own.is_sound(cause) || self.blocks.contains_key(cause);
                let suspects = causes.iter().filter(is_suspect);
                let report = Report::Crashed {
                    upstream: upstream.clone(),
                    causes: suspects.copied().collect(),
                    age: now.saturating_duration_since(at),
                };
                self.adopt(report, now)
            }
        }
    }

    /// Takes over what another instance tells. Returns it if it is new.
    pub fn adopt(&mut self, report: Report, now: Instant) -> Vec<Report> {
        self.prune(now);
        let before = |age: Duration| now.checked_sub(age).unwrap_or(now);
        match report {
            Report::Crashed {
                upstream,
                causes,
                age,
            } => {
                let at = before(age);
                let is_open = |cause: &Cause| self.last_service(cause).is_none_or(|end| end < at);
                let run = Run {
                    upstream,
                    at,
                    causes: causes.into_iter().filter(is_open).collect(),
                };
                self.insert_run(run, now)
            }
            Report::Blocked {
                cause,
                age,
                left,
                times,
            } => {
                let block = Block {
                    since: before(age),
                    until: now + left.min(MAX_BLOCK),
                    times,
                    refusals: trial::Refusals::default(),
                };
                let last = self.last_service(&cause);
                let is_outdated = last.is_some_and(|at| at >= block.since);
                let known = self.blocks.get(&cause);
                let is_known =
                    known.is_some_and(|known| known.until + BLOCK_TOLERANCE >= block.until);
                if is_outdated || is_known {
                    return Vec::new();
                }
                self.blocks.insert(cause, block);
                vec![block.report(cause, now)]
            }
            Report::Served { cause, age } => {
                let at = before(age);
                let last = self.served.entry(cause).or_insert(at);
                *last = at.max(*last);
                let block = self.blocks.get(&cause);
                if block.is_some_and(|block| block.since > at) {
                    return Vec::new();
                }
                let mut is_news = self.blocks.remove(&cause).is_some();
                for run in self.runs.iter_mut().filter(|run| run.at <= at) {
                    let count = run.causes.len();
                    run.causes.retain(|known| *known != cause);
                    is_news |= run.causes.len() < count;
                }
                self.runs.retain(|run| !run.causes.is_empty());
                if !is_news {
                    return Vec::new();
                }
                vec![Report::Served { cause, age }]
            }
        }
    }

    /// Returns a cause that is blocked now and the time for which it still is, if there is one.
    pub fn blocked(&self, causes: &[Cause], now: Instant) -> Option<(Cause, Duration)> {
        if self.blocks.is_empty() {
            return None;
        }
        let left = causes.iter().filter_map(|cause| {
            let block = self.blocks.get(cause).filter(|block| now < block.until)?;
            Some((*cause, block.until - now))
        });
        left.max_by_key(|(_, left)| *left)
    }

    /// Returns the causes that are blocked now, for entries.
    pub fn blocks(&self, now: Instant) -> Vec<Report> {
        let blocks = self.blocks.iter();
        let blocks = blocks.filter(|(_, block)| now < block.until);
        blocks
            .map(|(cause, block)| block.report(*cause, now))
            .collect()
    }

    /// Returns what another instance that knows nothing needs to know: the blocked causes, the
    /// crashes, and then what was served, which clears some of them.
    pub fn reports(&self, now: Instant) -> Vec<Report> {
        let crashes = self.runs.iter().map(|run| run.report(now));
        let mut reports = self.blocks(now);
        reports.extend(crashes);
        reports.extend(self.services(now));
        reports
    }

    /// Whether a cause is blocked or belongs to a crashed run.
    fn is_suspect(&self, cause: &Cause) -> bool {
        self.blocks.contains_key(cause) || self.runs.iter().any(|run| run.causes.contains(cause))
    }

    /// Inserts a crashed run, unless it is known.
    fn insert_run(&mut self, run: Run, now: Instant) -> Vec<Report> {
        let is_same = |known: &Run| {
            let apart = known.at.max(run.at) - known.at.min(run.at);
            known.upstream == run.upstream && known.causes == run.causes && apart < CRASH_SPREAD
        };
        if run.causes.is_empty() || self.runs.iter().any(is_same) {
            return Vec::new();
        }
        let news = vec![run.report(now)];
        let place = self.runs.partition_point(|known| known.at <= run.at);
        self.runs.insert(place, run);
        if self.runs.len() > MAX_RUNS {
            self.runs.pop_front();
        }
        news
    }

    /// Forgets what is too old, and the oldest of what is too much.
    fn prune(&mut self, now: Instant) {
        let age = |at: Instant| now.saturating_duration_since(at);
        self.runs.retain(|run| age(run.at) < RETENTION);
        self.blocks.retain(|_, block| age(block.until) < MAX_BLOCK);
        self.served.retain(|_, at| age(*at) < MAX_BLOCK);
        drop_oldest(&mut self.blocks, |block| block.since);
        drop_oldest(&mut self.served, |at| *at);
    }
}

impl Run {
    fn report(&self, now: Instant) -> Report {
        Report::Crashed {
            upstream: self.upstream.clone(),
            causes: self.causes.clone(),
            age: now.saturating_duration_since(self.at),
        }
    }

    /// Returns the request that ran, unless it is known to be sound.
    fn request(&self) -> Option<id::Content> {
        self.causes.iter().find_map(|cause| match cause {
            Cause::Request(content) => Some(*content),
            Cause::Part(_) => None,
        })
    }
}

impl Block {
    fn report(&self, cause: Cause, now: Instant) -> Report {
        Report::Blocked {
            cause,
            age: now.saturating_duration_since(self.since),
            left: self.until.saturating_duration_since(now),
            times: self.times,
        }
    }
}

/// Removes the oldest item if there are [`MAX_CAUSES`], so that one more can be inserted.
fn drop_oldest<T>(items: &mut HashMap<Cause, T>, at: impl Fn(&T) -> Instant) {
    if items.len() < MAX_CAUSES {
        return;
    }
    let oldest = items.iter().min_by_key(|(_, item)| at(item));
    if let Some(cause) = oldest.map(|(cause, _)| *cause) {
        items.remove(&cause);
    }
}
