//! Results of a replay and the figures computed from them: goodput, waste, latency and fairness.

use std::collections::BTreeMap;
use std::time::Duration;

use super::trace::Trace;

/// Outcome of one request.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Outcome {
    /// Whether the complete response arrived before the deadline.
    pub good: bool,
    /// Whether the caller was told that the request was not run.
    pub refused: bool,
    /// Time from arrival to the first token, if one was generated.
    pub first_token: Option<Duration>,
}

/// Results of all requests of a replay.
#[derive(Debug, Clone, Default)]
pub struct Figures {
    /// Number, tier and outcome of each request, in order of number.
    pub outcomes: Vec<(usize, u8, Outcome)>,
    /// Prompt tokens that engines prefilled.
    pub prefilled: u64,
    /// Prompt tokens that engines prefilled for requests that missed their deadlines.
    pub wasted: u64,
    /// Number of requests shed while requests of a lower tier were queued.
    pub inversions: u64,
}

impl Figures {
    /// Returns the highest tier, which has the lowest number.
    pub fn top_tier(&self) -> u8 {
        self.outcomes
            .iter()
            .map(|(_, tier, _)| *tier)
            .min()
            .unwrap_or(1)
    }

    /// Returns the fraction of a tier's requests that got a complete response in time.
    pub fn goodput(&self, tier: u8) -> f64 {
        let (mut all, mut good) = (0_u64, 0_u64);
        for (_, _, outcome) in self.outcomes.iter().filter(|(_, t, _)| *t == tier) {
            all += 1;
            good += u64::from(outcome.good);
        }
        good as f64 / all.max(1) as f64
    }

    /// Returns the prompt and output tokens per second of requests that got a complete response in
    /// time.
    pub fn good_tokens(&self, trace: &Trace) -> f64 {
        let good = self.outcomes.iter().filter(|(_, _, outcome)| outcome.good);
        let tokens: u64 = good
            .map(|(number, _, _)| &trace.requests[*number])
            .map(|request| request.prompt + request.output)
            .sum();
        tokens as f64 / trace.duration().as_secs_f64()
    }

    /// Returns the fraction of requests whose callers were told that they were not run.
    pub fn refused(&self) -> f64 {
        let refused = self
            .outcomes
            .iter()
            .filter(|(_, _, outcome)| outcome.refused);
        refused.count() as f64 / self.outcomes.len().max(1) as f64
    }

    /// Returns the fraction of prefilled tokens that was wasted.
    pub fn waste(&self) -> f64 {
        self.wasted as f64 / self.prefilled.max(1) as f64
    }

    /// Returns a quantile of the time to first token, of one tier or of all.
    pub fn first_token(&self, tier: Option<u8>, quantile: f64) -> Duration {
        let mut times: Vec<Duration> = self
            .outcomes
            .iter()
            .filter(|(_, t, _)| tier.is_none_or(|tier| tier == *t))
            .filter_map(|(_, _, outcome)| outcome.first_token)
            .collect();
        times.sort_unstable();
        let last = times.len().saturating_sub(1);
        let rank = (quantile * last as f64).round() as usize;
        times.get(rank).copied().unwrap_or_default()
    }

    /// Returns the lowest ratio, over the accounts of a tier, of the tokens served to the account's
    /// weighted max-min fair share of all tokens served in the tier. It is 1 if every account gets
    /// its fair share.
    pub fn fairness(&self, trace: &Trace, tier: u8) -> f64 {
        let mut demand: BTreeMap<usize, f64> = BTreeMap::new();
        let mut served: BTreeMap<usize, f64> = BTreeMap::new();
        for (number, _, outcome) in self.outcomes.iter().filter(|(_, t, _)| *t == tier) {
            let request = &trace.requests[*number];
            let cost = (request.prompt + request.output) as f64;
            *demand.entry(request.account).or_default() += cost;
            *served.entry(request.account).or_default() += if outcome.good { cost } else { 0.0 };
        }
        let total = served.values().sum();
        let shares: BTreeMap<usize, f64> = demand
            .keys()
            .map(|account| (*account, f64::from(trace.accounts[*account].share)))
            .collect();
        let fair_shares = max_min_fair(&demand, &shares, total);
        fair_shares
            .iter()
            .filter(|(_, fair_share)| **fair_share > 0.0)
            .map(|(account, fair_share)| (served[account] / fair_share).min(1.0))
            .fold(1.0, f64::min)
    }
}

/// Divides `total` among the accounts in proportion to `shares`, where no account gets more than
/// its demand and what it leaves goes to the others. Returns the allocation of each account.
fn max_min_fair(
    demand: &BTreeMap<usize, f64>,
    shares: &BTreeMap<usize, f64>,
    total: f64,
) -> BTreeMap<usize, f64> {
    let mut accounts: Vec<usize> = demand.keys().copied().collect();
    accounts.sort_by(|a, b| (demand[a] / shares[a]).total_cmp(&(demand[b] / shares[b])));
    let mut remaining = total;
    let mut remaining_weight: f64 = shares.values().sum();
    let mut fair_shares = BTreeMap::new();
    for account in accounts {
        let allocation = (remaining * shares[&account] / remaining_weight).min(demand[&account]);
        fair_shares.insert(account, allocation);
        remaining -= allocation;
        remaining_weight -= shares[&account];
    }
    fair_shares
}
