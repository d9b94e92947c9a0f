//! Which causes the known crashes point to.

use std::collections::{BTreeSet, HashMap};
use std::time::{Duration, Instant};

use gooseberrylb_config::id;

use super::{Block, CRASH_SPREAD, Cause, MAX_BLOCK, Report, Run, SETTLING, Table, trial};

/// Number of crashes, at different moments, that block a cause if it was not served in between.
const BLOCKING_CRASHES: usize = 3;

/// Number that blocks a part that was served shortly before. Many requests share it, so that faults
/// that have nothing to do with it hit it often.
const BLOCKING_CRASHES_OF_SERVED: usize = 6;

/// Time since a part was served within which it counts as such.
const SERVED_RECENTLY: Duration = Duration::from_secs(60);

/// Number of different upstreams among those that a request crashed, from which on it is blocked. One
/// that breaks off responses by itself is not enough.
const MIN_UPSTREAMS: usize = 2;

/// Number of different requests that must have crashed upstreams for a part to be blocked, without
/// blocked ones. The crashes of one request and its repeats are due to the request.
const BLOCKING_REQUESTS: usize = 2;

/// Time for which a cause is blocked at first; each further time doubles it.
const FIRST_BLOCK: Duration = Duration::from_secs(600);

/// Maximum number of doublings of the time, enough for [`MAX_BLOCK`].
const MAX_DOUBLINGS: u32 = 5;

/// Time within which crashes of several upstreams count as one. Faults of a network or of a host
/// affect many upstreams at once.
const MOMENT: Duration = Duration::from_millis(50);

/// Crash of one upstream, with all runs that ended with it.
pub(super) struct Crash<'a> {
    upstream: &'a id::Upstream,
    pub(super) at: Instant,
    pub(super) runs: Vec<&'a Run>,
}

/// Crashes that point to a cause.
#[derive(Debug, Clone, Default)]
struct Suspicion<'a> {
    /// Position of the cause in its run.
    position: usize,
    /// Number of crashes, each at a moment of its own.
    crashes: usize,
    /// Upstreams that crashed.
    upstreams: BTreeSet<&'a id::Upstream>,
    /// Requests that ended with them and are not blocked themselves; `None` stands for those that are
    /// not known.
    requests: BTreeSet<Option<id::Content>>,
    /// Number of the last of these moments.
    moment: Option<u32>,
    /// Number of moments at which upstreams crashed, whether others or the same again.
    moments: usize,
    /// Number of the last of them.
    last_moment: Option<u32>,
}

impl Table {
    /// Blocks the causes that the known crashes point to, and returns them. A dispatcher decides on
    /// this, since an entry knows only its own runs of a crash.
    pub fn judge(&mut self, now: Instant) -> Vec<Report> {
        let mut news = Vec::new();
        while let Some(cause) = self.culprit(now) {
            let times = self.blocks.get(&cause).map_or(0, |block| block.times);
            let time = FIRST_BLOCK.saturating_mul(1 << times.min(MAX_DOUBLINGS));
            let block = Block {
                since: now,
                until: now + time.min(MAX_BLOCK),
                times: times + 1,
                refusals: trial::Refusals::default(),
            };
            self.blocks.insert(cause, block);
            news.push(block.report(cause, now));
        }
        news
    }

    /// Returns the cause that the most crashes point to, if these are enough to block it. Of several
    /// that are always together the last one is taken, since fewer requests share it.
    fn culprit(&self, now: Instant) -> Option<Cause> {
        let mut suspicions: HashMap<Cause, Suspicion<'_>> = HashMap::new();
        let mut moment = 0;
        let mut moment_start = None;
        let is_settled = |crash: &Crash<'_>| now >= crash.at + SETTLING;
        for crash in self.crashes().into_iter().filter(is_settled) {
            let explanation = self.explanation(&crash);
            if let Some((cause, block)) = explanation
                && crash.at >= block.until
            {
                // It crashed an upstream again after its block was over.
                return Some(cause);
            }
            if moment_start.is_none_or(|start| crash.at >= start + MOMENT) {
                moment_start = Some(crash.at);
                moment += 1;
            }
            for (run, position, cause) in crash.suspects(explanation.map(|(cause, _)| cause)) {
                let suspicion = suspicions.entry(cause).or_default();
                suspicion.position = position;
                let is_blocked =
                    |content: &id::Content| self.blocks.contains_key(&Cause::Request(*content));
                if !run.request().as_ref().is_some_and(is_blocked) {
                    suspicion.requests.insert(run.request());
                }
                suspicion.count(crash.upstream, moment, cause);
            }
        }
        let needed = |cause: &Cause| {
            let served = self.last_service(cause);
            let is_recent = |at| now.saturating_duration_since(at) < SERVED_RECENTLY;
            match cause {
                Cause::Part(_) if served.is_some_and(is_recent) => BLOCKING_CRASHES_OF_SERVED,
                Cause::Part(_) | Cause::Request(_) => BLOCKING_CRASHES,
            }
        };
        let sufficient = suspicions
            .iter()
            .filter(|(cause, s)| s.suffices(**cause, needed(cause)));
        let mut ranked: Vec<_> = sufficient
            .map(|(cause, s)| (s.crashes, s.position, *cause))
            .collect();
        ranked.sort_unstable();
        let (crashes, _, cause) = ranked.pop()?;
        let is_request = |cause: Cause| matches!(cause, Cause::Request(_));
        let rival = ranked.pop().filter(|rival| rival.0 == crashes);
        let is_tied = is_request(cause) && rival.is_some_and(|rival| is_request(rival.2));
        // Of two requests that ended together each time, only one ends with the next crash.
        (!is_tied || crashes > BLOCKING_CRASHES).then_some(cause)
    }

    /// Returns a blocked cause that explains a crash, with its block. A part explains more than a
    /// request.
    fn explanation(&self, crash: &Crash<'_>) -> Option<(Cause, Block)> {
        let causes = crash.runs.iter().flat_map(|run| &run.causes);
        let blocked = causes.filter_map(|cause| Some((*cause, *self.blocks.get(cause)?)));
        blocked.min_by_key(|(cause, _)| *cause)
    }

    /// Returns the crashes, by time.
    pub(super) fn crashes(&self) -> Vec<Crash<'_>> {
        let mut crashes: Vec<Crash<'_>> = Vec::new();
        for run in &self.runs {
            let same = crashes
                .iter_mut()
                .rev()
                .find(|crash| *crash.upstream == run.upstream && run.at < crash.at + CRASH_SPREAD);
            match same {
                Some(crash) => crash.runs.push(run),
                None => crashes.push(Crash {
                    upstream: &run.upstream,
                    at: run.at,
                    runs: vec![run],
                }),
            }
        }
        crashes
    }
}

impl<'a> Crash<'a> {
    /// Returns what may be the cause of the crash, with its run and its position there. A blocked
    /// part explains the crash. A blocked request does too, but a part of it may be the reason.
    fn suspects(&self, explanation: Option<Cause>) -> Vec<(&'a Run, usize, Cause)> {
        let mut suspects = Vec::new();
        for run in &self.runs {
            for (position, cause) in run.causes.iter().enumerate() {
                let is_suspect = match (explanation, cause) {
                    (None, _) => true,
                    (Some(Cause::Part(_)), _) | (Some(Cause::Request(_)), Cause::Request(_)) => {
                        false
                    }
                    (Some(request @ Cause::Request(_)), Cause::Part(_)) => {
                        run.causes.contains(&request)
                    }
                };
                if is_suspect {
                    suspects.push((*run, position, *cause));
                }
            }
        }
        suspects
    }
}

impl<'a> Suspicion<'a> {
    /// Counts a crash at a moment. An upstream counts once for a part: it may break off responses by
    /// itself. It may start again under its name and run the same request once more.
    fn count(&mut self, upstream: &'a id::Upstream, moment: u32, cause: Cause) {
        if self.last_moment.replace(moment) != Some(moment) {
            self.moments += 1;
        }
        if self.moment == Some(moment) {
            return;
        }
        let is_new = self.upstreams.insert(upstream);
        if is_new || matches!(cause, Cause::Request(_)) {
            self.moment = Some(moment);
            self.crashes += 1;
        }
    }

    /// Whether the crashes are enough to block the cause, if they must be at a number of moments.
    fn suffices(&self, cause: Cause, needed: usize) -> bool {
        let is_due_to_cause = match cause {
            Cause::Part(_) => {
                self.requests.len() >= BLOCKING_REQUESTS || self.requests.contains(&None)
            }
            Cause::Request(_) => self.upstreams.len() >= MIN_UPSTREAMS,
        };
        is_due_to_cause && self.crashes >= BLOCKING_CRASHES && self.moments >= needed
    }
}
