//! Sequential tests that may be evaluated after every request without raising the false-alarm rate.
//!
//! Each test bets against the hypothesis that the new version is no worse than the old one. Under
//! that hypothesis its wealth is a test martingale, so by Ville's inequality it ever reaches `1/α`
//! with probability at most `α` (Ville 1939; Shafer, "Testing by betting", 2021; Vovk and Wang,
//! "E-values", 2021). Requests are compared with requests of the old version from the same seconds,
//! by the conditional likelihood ratio of a 2×2 table for failures (Fisher's noncentral
//! hypergeometric distribution) and by conformal ranks for times (Vovk, "Testing randomness
//! online", 2021), so a slowdown of both versions favours neither. To detect a late change, part of
//! the stake is kept back for later starts, as in the e-detectors of Shin, Ramdas and Rinaldo
//! (2023). See `docs/MOVES.md`.

/// Number of alternative hypotheses that each test bets on.
pub const ALTERNATIVES: usize = 3;

/// The factors by which one comparison multiplies the wealth of each alternative.
pub type Factors = [f64; ALTERNATIVES];

/// Odds ratios of a failure under the alternatives.
const ODDS_RATIOS: Factors = [3.0, 10.0, 50.0];

/// Exponents of the rank densities under the alternatives; a higher exponent stands for a larger
/// slowdown.
const RANK_EXPONENTS: Factors = [2.0, 5.0, 15.0];

/// Failure rates under the alternatives, as multiples of a known baseline.
const BASELINE_MULTIPLES: Factors = [3.0, 10.0, 30.0];

/// Maximum failure rate of an alternative. It is below 1 so that a single successful request cannot
/// reduce the wealth to zero.
const MAX_FAILURE_RATE: f64 = 0.9;

/// Fraction of the stake that is spread over the steps of the move; the rest is spread over the
/// comparisons, to detect late changes.
const STEP_STAKE_FRACTION: f64 = 0.5;

/// Upper limit of the wealth, which keeps it a finite number that every codec can represent.
const MAX_WEALTH: f64 = 1e12;

/// Returns the factors for one request of the new version compared with `others` requests of the
/// old one, of which `others_failed` failed.
pub fn failure_factors(failed: bool, others: usize, others_failed: usize) -> Factors {
    let all = (others + 1) as f64;
    let failures = (others_failed + usize::from(failed)) as f64;
    let expected = failures / all;
    ODDS_RATIOS.map(|odds| {
        let weight = odds * failures;
        let alternative = weight / (weight + all - failures);
        likelihood_ratio(failed, alternative, expected)
    })
}

/// Returns the factors for one request given a known upper bound, `baseline`, of the old version's
/// failure rate. Used when there are no requests of the old version to compare with.
pub fn baseline_failure_factors(failed: bool, baseline: f64) -> Factors {
    BASELINE_MULTIPLES.map(|multiple| {
        let alternative = (baseline * multiple).min(MAX_FAILURE_RATE).max(baseline);
        likelihood_ratio(failed, alternative, baseline)
    })
}

fn likelihood_ratio(failed: bool, alternative: f64, expected: f64) -> f64 {
    match (failed, expected) {
        (true, _) => alternative / expected,
        (false, expected) if expected < 1.0 => (1.0 - alternative) / (1.0 - expected),
        (false, _) => 1.0,
    }
}

/// Returns the factors for one request that took longer than `below` of `others` requests of the
/// old version.
pub fn rank_factors(below: usize, others: usize) -> Factors {
    let ranks = (others + 1) as f64;
    let low = below as f64 / ranks;
    let high = (below + 1) as f64 / ranks;
    RANK_EXPONENTS.map(|exponent| ranks * (high.powf(exponent) - low.powf(exponent)))
}

/// A sequential test of one measure.
#[derive(Debug, Clone, PartialEq)]
pub struct Test {
    /// The wealth of the bet on each alternative.
    wealth: Factors,
    /// The number of comparisons so far.
    updates: u64,
    /// The number of starts so far, including the first.
    starts: u64,
}

impl Default for Test {
    fn default() -> Self {
        Self::new()
    }
}

impl Test {
    /// Creates a test with the stake of its first start.
    pub fn new() -> Self {
        let mut test = Self {
            wealth: [0.0; ALTERNATIVES],
            updates: 0,
            starts: 0,
        };
        test.add_start();
        test
    }

    /// Adds the stake of a new start, since earlier observations may not hold at the next step of a
    /// move.
    pub fn add_start(&mut self) {
        self.starts += 1;
        self.add_stake(STEP_STAKE_FRACTION * stake_fraction(self.starts));
    }

    /// Applies the factors of one comparison.
    pub fn update(&mut self, factors: Factors) {
        self.updates += 1;
        self.add_stake((1.0 - STEP_STAKE_FRACTION) * stake_fraction(self.updates));
        for (wealth, factor) in self.wealth.iter_mut().zip(factors) {
            *wealth = (*wealth * factor).min(MAX_WEALTH);
        }
    }

    /// Returns the evidence against the new version; a value of 1 or less is no evidence.
    pub fn evidence(&self) -> f64 {
        self.wealth.iter().sum::<f64>() / ALTERNATIVES as f64
    }

    fn add_stake(&mut self, stake: f64) {
        for wealth in &mut self.wealth {
            *wealth += stake;
        }
    }
}

/// Returns the fraction of a stake that belongs to the start with this number, counted from 1. The
/// fractions of all starts add up to 1.
fn stake_fraction(number: u64) -> f64 {
    let number = number as f64;
    1.0 / (number * (number + 1.0))
}
