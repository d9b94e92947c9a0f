//! Parts of prompts under which upstreams crash.
//!
//! A part may crash every upstream that begins to write a response on it, whatever else the
//! prompt holds. Requests with such a part are refused at all entries, so that they do not take
//! down one upstream after the other. Requests that only share other parts with them are served.
//!
//! Entries report crashes, dispatchers conclude from all of them which parts to block, and entries
//! obey. The time is passed in. See `docs/PLATFORM.md`.

use std::collections::{BTreeSet, HashMap, VecDeque};
use std::time::{Duration, Instant};

use gooseberrylb_config::id;
use serde::{Deserialize, Serialize};

/// Number of crashes, of different upstreams at different moments, that block a part if it was not
/// served in between.
const BLOCKING_CRASHES: usize = 3;

/// Time for which a part is blocked at first; each further time doubles it.
const FIRST_BLOCK: Duration = Duration::from_secs(600);

/// Longest time for which a part is blocked.
const MAX_BLOCK: Duration = Duration::from_secs(4 * 3600);

/// Maximum number of doublings of the time, enough for [`MAX_BLOCK`].
const MAX_DOUBLINGS: u32 = 5;

/// Time after the first byte within which a crash may be due to the prompt.
const BEGINNING: Duration = Duration::from_millis(250);

/// Time within which crashes of several upstreams count as one. Faults of a network or of a host
/// affect many upstreams at once.
const MOMENT: Duration = Duration::from_millis(50);

/// Time after a crash for which it is not judged, since other entries may still report their runs.
pub const SETTLING: Duration = Duration::from_millis(100);

/// Time within which the broken runs of one upstream belong to the same crash.
const CRASH_SPREAD: Duration = Duration::from_secs(1);

/// Number of served runs per crash from which on an instance takes a part to be sound.
const SERVED_PER_CRASH: u32 = 10;

/// Period over which an instance counts its own runs; the one before counts too.
const TALLY_PERIOD: Duration = Duration::from_secs(60);

/// Maximum number of parts whose runs are counted in a period.
const MAX_TALLIES: usize = 4096;

/// Time for which crashed runs are kept.
const RETENTION: Duration = Duration::from_secs(600);

/// Maximum number of crashed runs that are kept.
const MAX_RUNS: usize = 256;

/// Maximum number of parts whose blocks, or whose last service after a crash, are kept.
const MAX_PARTS: usize = 1024;

/// Difference below which the ends of two blocks count as equal; the time in transit varies.
const BLOCK_TOLERANCE: Duration = Duration::from_secs(1);

/// What the end of a run on an upstream tells about its prompt.
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

/// What one instance tells another about parts of prompts.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Report {
    /// An upstream crashed as it began to write a response.
    Crashed {
        /// Upstream that crashed.
        upstream: id::Upstream,
        /// Parts of the prompt that may be the cause, in order.
        parts: Vec<id::Part>,
        /// Time since the crash.
        age: Duration,
    },
    /// Requests with a part are refused.
    Blocked {
        /// Part that crashes upstreams.
        part: id::Part,
        /// Time since the part was blocked.
        age: Duration,
        /// Time for which it is still blocked.
        left: Duration,
        /// How often it has been blocked in a row.
        times: u32,
    },
    /// A part that seemed to crash upstreams was served.
    Served {
        /// Part that is sound.
        part: id::Part,
        /// Time since then.
        age: Duration,
    },
}

/// A run that ended with its upstream.
#[derive(Debug, Clone, PartialEq, Eq)]
struct Run {
    upstream: id::Upstream,
    at: Instant,
    parts: Vec<id::Part>,
}

/// A part whose requests are or were refused.
#[derive(Debug, Clone, Copy)]
struct Block {
    since: Instant,
    until: Instant,
    /// How often the part has been blocked in a row.
    times: u32,
}

/// Number of an instance's own runs with a part.
#[derive(Debug, Clone, Copy, Default)]
struct Tally {
    served: u32,
    crashed: u32,
}

/// Crash of one upstream, with the parts of all prompts that it may be due to.
struct Crash<'a> {
    upstream: &'a id::Upstream,
    at: Instant,
    /// Parts, each with its position in its prompt.
    parts: Vec<(usize, id::Part)>,
}

/// Crashes that point to a part.
#[derive(Debug, Default)]
struct Suspicion<'a> {
    /// Position of the part in a prompt.
    position: usize,
    /// Upstreams that crashed, each at a moment of its own.
    upstreams: BTreeSet<&'a id::Upstream>,
    /// Number of the last of these moments.
    moment: Option<u32>,
}

/// What an instance knows of parts under which upstreams crash.
#[derive(Debug, Default)]
pub struct Table {
    /// Runs of this instance in the current period, by part.
    tallies: HashMap<id::Part, Tally>,
    /// Those of the period before.
    earlier_tallies: HashMap<id::Part, Tally>,
    /// Start of the current period.
    period_start: Option<Instant>,
    /// Crashed runs of all instances that told of them, by time.
    runs: VecDeque<Run>,
    /// Blocks, also those that are over.
    blocks: HashMap<id::Part, Block>,
    /// Time at which parts were served after a crash.
    served: HashMap<id::Part, Instant>,
}

impl Table {
    /// Records the end of a run of this instance. Returns what other instances need to know of it.
    pub fn record(
        &mut self,
        upstream: &id::Upstream,
        parts: &[id::Part],
        ending: Ending,
        now: Instant,
    ) -> Vec<Report> {
        self.start_period(now);
        match ending {
            Ending::Unclear => Vec::new(),
            Ending::Served => {
                parts.iter().for_each(|part| self.count(*part).served += 1);
                let suspects = parts.iter().filter(|part| self.is_suspect(part));
                let suspects: Vec<_> = suspects.copied().collect();
                let served = suspects.into_iter().map(|part| Report::Served {
                    part,
                    age: Duration::ZERO,
                });
                let served: Vec<_> = served.collect();
                served
                    .into_iter()
                    .flat_map(|r| self.adopt(r, now))
                    .collect()
            }
            Ending::Crashed => {
                parts.iter().for_each(|part| self.count(*part).crashed += 1);
                let suspects = parts.iter().filter(|part| !self.is_sound(part));
                let report = Report::Crashed {
                    upstream: upstream.clone(),
                    parts: suspects.copied().collect(),
                    age: Duration::ZERO,
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
                parts,
                age,
            } => {
                let at = before(age);
                let parts = parts.into_iter();
                let parts = parts.filter(|part| self.served.get(part).is_none_or(|end| *end < at));
                let run = Run {
                    upstream,
                    at,
                    parts: parts.collect(),
                };
                self.insert_run(run, now)
            }
            Report::Blocked {
                part,
                age,
                left,
                times,
            } => {
                let block = Block {
                    since: before(age),
                    until: now + left.min(MAX_BLOCK),
                    times,
                };
                let is_outdated = self.served.get(&part).is_some_and(|at| *at >= block.since);
                let known = self.blocks.get(&part);
                let is_known =
                    known.is_some_and(|known| known.until + BLOCK_TOLERANCE >= block.until);
                if is_outdated || is_known {
                    return Vec::new();
                }
                self.blocks.insert(part, block);
                vec![block.report(part, now)]
            }
            Report::Served { part, age } => {
                let at = before(age);
                let is_later = self.blocks.get(&part).is_none_or(|block| block.since <= at);
                if !is_later || !self.is_suspect(&part) {
                    return Vec::new();
                }
                self.blocks.remove(&part);
                let earlier = self.runs.iter_mut().filter(|run| run.at <= at);
                earlier.for_each(|run| run.parts.retain(|known| *known != part));
                self.runs.retain(|run| !run.parts.is_empty());
                self.served.insert(part, at);
                vec![Report::Served { part, age }]
            }
        }
    }

    /// Returns a part that is blocked now and the time for which it still is, if there is one.
    pub fn blocked(&self, parts: &[id::Part], now: Instant) -> Option<(id::Part, Duration)> {
        if self.blocks.is_empty() {
            return None;
        }
        let left = parts.iter().filter_map(|part| {
            let block = self.blocks.get(part).filter(|block| now < block.until)?;
            Some((*part, block.until - now))
        });
        left.max_by_key(|(_, left)| *left)
    }

    /// Returns the parts that are blocked now, for entries.
    pub fn blocks(&self, now: Instant) -> Vec<Report> {
        let blocks = self.blocks.iter();
        let blocks = blocks.filter(|(_, block)| now < block.until);
        blocks
            .map(|(part, block)| block.report(*part, now))
            .collect()
    }

    /// Returns what another instance that knows nothing needs to know: the blocked parts and the
    /// crashes.
    pub fn reports(&self, now: Instant) -> Vec<Report> {
        let crashes = self.runs.iter().map(|run| run.report(now));
        let mut reports = self.blocks(now);
        reports.extend(crashes);
        reports
    }

    /// Starts a new period if the current one is over, or has too many parts.
    fn start_period(&mut self, now: Instant) {
        let start = *self.period_start.get_or_insert(now);
        if now >= start + TALLY_PERIOD || self.tallies.len() >= MAX_TALLIES {
            self.earlier_tallies = std::mem::take(&mut self.tallies);
            self.period_start = Some(now);
        }
    }

    fn count(&mut self, part: id::Part) -> &mut Tally {
        self.tallies.entry(part).or_default()
    }

    /// Whether most runs of this instance with a part are served.
    fn is_sound(&self, part: &id::Part) -> bool {
        let periods = [&self.tallies, &self.earlier_tallies];
        let tallies = periods.into_iter().filter_map(|period| period.get(part));
        let (served, crashed) = tallies.fold((0, 0), |(served, crashed), tally| {
            (served + tally.served, crashed + tally.crashed)
        });
        served > 0 && served >= crashed.saturating_mul(SERVED_PER_CRASH)
    }

    /// Whether a part is blocked or was in the prompt of a crashed run.
    fn is_suspect(&self, part: &id::Part) -> bool {
        self.blocks.contains_key(part) || self.runs.iter().any(|run| run.parts.contains(part))
    }

    /// Inserts a crashed run, unless it is known.
    fn insert_run(&mut self, run: Run, now: Instant) -> Vec<Report> {
        let is_same = |known: &Run| {
            let apart = known.at.max(run.at) - known.at.min(run.at);
            known.upstream == run.upstream && known.parts == run.parts && apart < CRASH_SPREAD
        };
        if run.parts.is_empty() || self.runs.iter().any(is_same) {
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

    /// Blocks the parts that the known crashes point to, and returns them. A dispatcher decides on
    /// this, since an entry knows only its own runs of a crash.
    pub fn judge(&mut self, now: Instant) -> Vec<Report> {
        let mut news = Vec::new();
        while let Some(part) = self.culprit(now) {
            let times = self.blocks.get(&part).map_or(0, |block| block.times);
            let time = FIRST_BLOCK.saturating_mul(1 << times.min(MAX_DOUBLINGS));
            let block = Block {
                since: now,
                until: now + time.min(MAX_BLOCK),
                times: times + 1,
            };
            self.blocks.insert(part, block);
            news.push(block.report(part, now));
        }
        news
    }

    /// Returns the part that the most crashes point to, if these are enough to block it. Crashes
    /// that a blocked part explains do not count against others. Of several parts that are always
    /// together the last one is taken, since fewer requests share it.
    fn culprit(&self, now: Instant) -> Option<id::Part> {
        let mut suspicions: HashMap<id::Part, Suspicion<'_>> = HashMap::new();
        let mut moment = 0;
        let mut moment_start = None;
        let is_settled = |crash: &Crash<'_>| now >= crash.at + SETTLING;
        for crash in self.crashes().into_iter().filter(is_settled) {
            let parts = crash.parts.iter();
            let blocks = parts.filter_map(|(_, part)| Some((*part, self.blocks.get(part)?)));
            let blocks: Vec<_> = blocks.collect();
            if blocks.iter().any(|(_, block)| crash.at < block.until) {
                continue;
            }
            if let Some((part, _)) = blocks.first() {
                // It crashed an upstream again after its block was over.
                return Some(*part);
            }
            if moment_start.is_none_or(|start| crash.at >= start + MOMENT) {
                moment_start = Some(crash.at);
                moment += 1;
            }
            for (position, part) in &crash.parts {
                let suspicion = suspicions.entry(*part).or_default();
                suspicion.position = *position;
                if suspicion.moment != Some(moment) && suspicion.upstreams.insert(crash.upstream) {
                    suspicion.moment = Some(moment);
                }
            }
        }
        let suspicions = suspicions.into_iter();
        let ranked = suspicions.map(|(part, s)| (s.upstreams.len(), s.position, part));
        let (crashes, _, part) = ranked.max()?;
        (crashes >= BLOCKING_CRASHES).then_some(part)
    }

    /// Returns the crashes, by time.
    fn crashes(&self) -> Vec<Crash<'_>> {
        let mut crashes: Vec<Crash<'_>> = Vec::new();
        for run in &self.runs {
            let parts = run.parts.iter().copied().enumerate();
            let same = crashes
                .iter_mut()
                .rev()
                .find(|crash| *crash.upstream == run.upstream && run.at < crash.at + CRASH_SPREAD);
            match same {
                Some(crash) => crash.parts.extend(parts),
                None => crashes.push(Crash {
                    upstream: &run.upstream,
                    at: run.at,
                    parts: parts.collect(),
                }),
            }
        }
        crashes
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
            parts: self.parts.clone(),
            age: now.saturating_duration_since(self.at),
        }
    }
}

impl Block {
    fn report(&self, part: id::Part, now: Instant) -> Report {
        Report::Blocked {
            part,
            age: now.saturating_duration_since(self.since),
            left: self.until.saturating_duration_since(now),
            times: self.times,
        }
    }
}

/// Removes the oldest item if there are [`MAX_PARTS`], so that one more can be inserted.
fn drop_oldest<T>(items: &mut HashMap<id::Part, T>, at: impl Fn(&T) -> Instant) {
    if items.len() < MAX_PARTS {
        return;
    }
    let oldest = items.iter().min_by_key(|(_, item)| at(item));
    if let Some(part) = oldest.map(|(part, _)| *part) {
        items.remove(&part);
    }
}
