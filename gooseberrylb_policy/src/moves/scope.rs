//! The requests of both versions in one scope, paired for the tests.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use crate::moves::baseline::Times;
use crate::moves::evidence::{Comparison, Counts, Measure, Scope};
use crate::moves::sequential::{self, Process};

/// How long requests of the old version stand for what holds now.
const COMPARABLE: Duration = Duration::from_secs(10);

/// The most requests of the old version that one of the new is compared with.
const MAX_GROUP: usize = 32;

/// The most requests of the new version that wait for some of the old one.
const MAX_PENDING: usize = 32;

/// The requests of the old version that are kept to compare with when it has no traffic.
const MAX_HISTORY: usize = 64;

/// The last requests of the new version that read-back tells of.
const MAX_RECENT: usize = 24;

/// The kept requests of the old version that one of the new is compared with.
const HISTORY_GROUP: usize = 8;

/// How much slower than the old version a new one may be.
const TOLERANCE: f64 = 1.25;

/// The same while the old version has no traffic, so that a general slowdown is not ruled out.
const HISTORY_TOLERANCE: f64 = 2.5;

/// The failure rate that is taken for granted while the old version has no traffic.
const HISTORY_FAILURE_RATE: f64 = 0.01;

/// The requests that stand for what was expected before any was seen, one of which failed.
const PRIOR_REQUESTS: u64 = 20;

/// How much more often than before a version may fail while the old one has no traffic.
const HISTORY_FAILURE_MULTIPLE: f64 = 2.0;

/// One request, with its times made comparable over sizes and engines.
#[derive(Debug, Clone, Copy)]
pub struct Observation {
    /// When it ended.
    pub at: Instant,
    /// Whether the upstream is to blame for a bad end.
    pub failed: bool,
    /// Its times as multiples of the old version's on like engines.
    pub times: Times,
}

impl Observation {
    fn time(&self, measure: Measure) -> Option<f64> {
        match measure {
            Measure::Failures => None,
            Measure::FirstToken => self.times.first_token,
            Measure::OutputToken => self.times.output_token,
        }
    }
}

/// The three tests of one scope.
#[derive(Debug, Clone, Default)]
struct Tests {
    failures: Process,
    first_token: Process,
    output_token: Process,
}

/// The requests of one scope.
#[derive(Debug, Clone, Default)]
pub struct Requests {
    old: VecDeque<Observation>,
    pending: VecDeque<Observation>,
    history: VecDeque<Observation>,
    recent: VecDeque<Observation>,
    new_counts: Counts,
    old_counts: Counts,
    baseline: Option<f64>,
    turn: usize,
    tests: Tests,
    doubt: f64,
}

impl Requests {
    /// Makes one for a version that has all of the traffic already, as a new scheduler must.
    pub fn without_old() -> Self {
        let mut requests = Self::default();
        requests.freeze();
        requests
    }

    /// Takes in a request of the old version.
    pub fn record_old(&mut self, observation: Observation, wanted: usize) {
        self.old_counts.add(observation.failed);
        push_bounded(&mut self.old, observation, MAX_GROUP.max(wanted));
        push_bounded(&mut self.history, observation, MAX_HISTORY);
        self.pair(observation.at, wanted);
    }

    /// Counts a request of the new version that is left out of the tests.
    pub fn count_new(&mut self, observation: Observation) {
        self.new_counts.add(observation.failed);
    }

    /// The requests of the new version.
    pub fn new_counts(&self) -> Counts {
        self.new_counts
    }

    /// Takes in a request of the new version.
    pub fn record_new(&mut self, observation: Observation, wanted: usize) {
        self.count_new(observation);
        push_bounded(&mut self.recent, observation, MAX_RECENT);
        if self.baseline.is_some() {
            self.compare_with_history(observation);
            return;
        }
        push_bounded(&mut self.pending, observation, MAX_PENDING);
        self.pair(observation.at, wanted);
    }

    /// Stakes anew, at a step of the move.
    pub fn start(&mut self) {
        self.tests.failures.start();
        self.tests.first_token.start();
        self.tests.output_token.start();
        self.weigh();
    }

    /// Takes what was seen so far for what is to be expected, now that the old version has no
    /// traffic to compare with.
    pub fn freeze(&mut self) {
        let mut seen = self.old_counts;
        seen += self.new_counts;
        let rate = (seen.failed + 1) as f64 / (seen.requests + PRIOR_REQUESTS) as f64;
        let expected = (rate * HISTORY_FAILURE_MULTIPLE).max(HISTORY_FAILURE_RATE);
        self.baseline = Some(expected.min(0.5));
        self.pending.clear();
    }

    /// The evidence against the new version, summed over the measures.
    pub fn doubt(&self) -> f64 {
        self.doubt
    }

    /// The measure that speaks most against the new version, and how much.
    pub fn worst(&self) -> (Measure, f64) {
        [
            (Measure::Failures, &self.tests.failures),
            (Measure::FirstToken, &self.tests.first_token),
            (Measure::OutputToken, &self.tests.output_token),
        ]
        .map(|(measure, process)| (measure, process.value()))
        .into_iter()
        .max_by(|(_, a), (_, b)| a.total_cmp(b))
        .unwrap_or((Measure::Failures, 0.0))
    }

    /// The figures for read-back.
    pub fn comparison(&self, scope: Scope) -> Comparison {
        Comparison {
            scope,
            new: self.new_counts,
            recent: self.recent_counts(),
            old: self.old_counts,
            first_token: self.ratio(Measure::FirstToken),
            output_token: self.ratio(Measure::OutputToken),
        }
    }

    fn recent_counts(&self) -> Counts {
        let mut counts = Counts::default();
        self.recent.iter().for_each(|o| counts.add(o.failed));
        counts
    }

    fn ratio(&self, measure: Measure) -> Option<f64> {
        let new = median(&self.recent, measure)?;
        let old = median(&self.history, measure)?;
        (old > 0.0).then(|| new / old)
    }

    /// Compares requests of the new version, each with requests of the old one that no other is
    /// compared with, so that the comparisons are independent.
    fn pair(&mut self, now: Instant, wanted: usize) {
        discard_before(&mut self.old, now, COMPARABLE);
        while let Some(first) = self.pending.front() {
            let waited = now.saturating_duration_since(first.at) > COMPARABLE;
            let enough = self.old.len() >= wanted || (waited && !self.old.is_empty());
            if !enough {
                break;
            }
            let size = if self.pending.len() == 1 {
                self.old.len().min(MAX_GROUP)
            } else {
                self.old.len().min(wanted)
            };
            let group = self.old.split_off(self.old.len() - size);
            if let Some(new) = self.pending.pop_front() {
                self.compare(new, group);
            }
        }
    }

    fn compare(&mut self, new: Observation, group: VecDeque<Observation>) {
        let failed = group.iter().filter(|o| o.failed).count();
        let factors = sequential::failure(new.failed, group.len(), failed);
        self.tests.failures.bet(factors);
        self.compare_times(new, group.iter(), TOLERANCE);
    }

    fn compare_with_history(&mut self, new: Observation) {
        if let Some(baseline) = self.baseline {
            let factors = sequential::failure_against(new.failed, baseline);
            self.tests.failures.bet(factors);
            self.weigh();
        }
        if self.history.len() < HISTORY_GROUP {
            return;
        }
        let length = self.history.len();
        let turn = self.turn;
        let group: Vec<_> = (0..HISTORY_GROUP)
            .map(|i| self.history[(turn + i) % length])
            .collect();
        self.turn = (turn + HISTORY_GROUP) % length;
        self.compare_times(new, group.iter(), HISTORY_TOLERANCE);
    }

    fn compare_times<'a>(
        &mut self,
        new: Observation,
        group: impl Iterator<Item = &'a Observation> + Clone,
        tolerance: f64,
    ) {
        for measure in [Measure::FirstToken, Measure::OutputToken] {
            let Some(time) = new.time(measure) else {
                continue;
            };
            let others: Vec<f64> = group.clone().filter_map(|o| o.time(measure)).collect();
            let below = others.iter().filter(|o| **o * tolerance < time).count();
            let factors = sequential::rank(below, others.len());
            self.process(measure).bet(factors);
        }
        self.weigh();
    }

    fn weigh(&mut self) {
        let tests = &self.tests;
        let times = tests.first_token.value() + tests.output_token.value();
        self.doubt = tests.failures.value() + times;
    }

    fn process(&mut self, measure: Measure) -> &mut Process {
        match measure {
            Measure::Failures => &mut self.tests.failures,
            Measure::FirstToken => &mut self.tests.first_token,
            Measure::OutputToken => &mut self.tests.output_token,
        }
    }
}

fn push_bounded(queue: &mut VecDeque<Observation>, observation: Observation, bound: usize) {
    if queue.len() >= bound {
        queue.pop_front();
    }
    queue.push_back(observation);
}

fn discard_before(queue: &mut VecDeque<Observation>, now: Instant, age: Duration) {
    while let Some(first) = queue.front() {
        if now.saturating_duration_since(first.at) <= age {
            break;
        }
        queue.pop_front();
    }
}

fn median(observations: &VecDeque<Observation>, measure: Measure) -> Option<f64> {
    let mut times: Vec<f64> = observations
        .iter()
        .filter_map(|o| o.time(measure))
        .collect();
    if times.is_empty() {
        return None;
    }
    times.sort_by(f64::total_cmp);
    Some(times[times.len() / 2])
}
