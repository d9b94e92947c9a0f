//! What came of a replay.

use std::collections::BTreeMap;
use std::time::Duration;

use super::trace::Trace;

/// What came of one request.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Fate {
    /// Whether the whole answer came in time.
    pub good: bool,
    /// Whether the caller was told that it was not run.
    pub refused: bool,
    /// From its arrival to the first token, where one came.
    pub first_token: Option<Duration>,
}

/// What came of all requests of a replay.
#[derive(Debug, Clone, Default)]
pub struct Figures {
    /// What came of each request, with its number and its tier.
    pub fates: Vec<(usize, u8, Fate)>,
    /// The tokens of prompts that engines read.
    pub prefilled: u64,
    /// The tokens of prompts that engines read for requests without a whole answer in time.
    pub wasted: u64,
    /// The requests that were shed while less important ones were waiting.
    pub inversions: u64,
}

impl Figures {
    /// The highest tier.
    pub fn top_tier(&self) -> u8 {
        self.fates
            .iter()
            .map(|(_, tier, _)| *tier)
            .min()
            .unwrap_or(1)
    }

    /// The part of a tier's requests that got the whole answer in time.
    pub fn goodput(&self, tier: u8) -> f64 {
        let (mut all, mut good) = (0_u64, 0_u64);
        for (_, _, fate) in self.fates.iter().filter(|(_, t, _)| *t == tier) {
            all += 1;
            good += u64::from(fate.good);
        }
        good as f64 / all.max(1) as f64
    }

    /// The tokens read and written a second for requests that got the whole answer in time.
    pub fn good_tokens(&self, trace: &Trace) -> f64 {
        let good = self.fates.iter().filter(|(_, _, fate)| fate.good);
        let tokens: u64 = good
            .map(|(number, _, _)| &trace.requests[*number])
            .map(|entry| entry.prompt + entry.output)
            .sum();
        tokens as f64 / trace.duration().as_secs_f64()
    }

    /// The part of requests whose callers were told that they were not run.
    pub fn refused(&self) -> f64 {
        let refused = self.fates.iter().filter(|(_, _, fate)| fate.refused);
        refused.count() as f64 / self.fates.len().max(1) as f64
    }

    /// The part of prefilled tokens that was wasted.
    pub fn waste(&self) -> f64 {
        self.wasted as f64 / self.prefilled.max(1) as f64
    }

    /// A quantile of the time to first token, of one tier or of all.
    pub fn first_token(&self, tier: Option<u8>, quantile: f64) -> Duration {
        let mut times: Vec<Duration> = self
            .fates
            .iter()
            .filter(|(_, t, _)| tier.is_none_or(|tier| tier == *t))
            .filter_map(|(_, _, fate)| fate.first_token)
            .collect();
        times.sort_unstable();
        let last = times.len().saturating_sub(1);
        let rank = (quantile * last as f64).round() as usize;
        times.get(rank).copied().unwrap_or_default()
    }

    /// How close the worst-off account of a tier comes to its fair share of what the tier was
    /// served, in tokens: 1 where every account gets its weighted max-min fair share.
    pub fn fairness(&self, trace: &Trace, tier: u8) -> f64 {
        let mut demand: BTreeMap<usize, f64> = BTreeMap::new();
        let mut served: BTreeMap<usize, f64> = BTreeMap::new();
        for (number, _, fate) in self.fates.iter().filter(|(_, t, _)| *t == tier) {
            let entry = &trace.requests[*number];
            let cost = (entry.prompt + entry.output) as f64;
            *demand.entry(entry.account).or_default() += cost;
            *served.entry(entry.account).or_default() += if fate.good { cost } else { 0.0 };
        }
        let total = served.values().sum();
        let shares: BTreeMap<usize, f64> = demand
            .keys()
            .map(|account| (*account, f64::from(trace.accounts[*account].share)))
            .collect();
        let entitled = max_min_fair(&demand, &shares, total);
        entitled
            .iter()
            .filter(|(_, entitled)| **entitled > 0.0)
            .map(|(account, entitled)| (served[account] / entitled).min(1.0))
            .fold(1.0, f64::min)
    }
}

/// Shares `total` out by weight, none getting more than its demand.
fn max_min_fair(
    demand: &BTreeMap<usize, f64>,
    shares: &BTreeMap<usize, f64>,
    total: f64,
) -> BTreeMap<usize, f64> {
    let mut open: Vec<usize> = demand.keys().copied().collect();
    open.sort_by(|a, b| (demand[a] / shares[a]).total_cmp(&(demand[b] / shares[b])));
    let mut left = total;
    let mut weight: f64 = shares.values().sum();
    let mut entitled = BTreeMap::new();
    for account in open {
        let part = (left * shares[&account] / weight).min(demand[&account]);
        entitled.insert(account, part);
        left -= part;
        weight -= shares[&account];
    }
    entitled
}
