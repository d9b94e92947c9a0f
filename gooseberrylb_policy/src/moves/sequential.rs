//! Sequential tests that may be looked at after every request without raising the false-alarm rate.
//!
//! Each test is a betting game against the hypothesis that the new version is no worse than the
//! old one. The wealth of the game is a test martingale under that hypothesis, so by Ville's
//! inequality it ever reaches `1/α` with probability `α` at most (Ville 1939; Shafer, "Testing by
//! betting", 2021; Vovk and Wang, "E-values", 2021). Requests are compared with requests of the
//! old version from the same seconds, by the conditional likelihood ratio of a 2×2 table for
//! failures (Fisher's noncentral hypergeometric distribution) and by conformal ranks for times
//! (Vovk, "Testing randomness online", 2021), so a slowdown of both versions favours neither.
//! A change that comes late is found since part of the stake is kept back for later starts, as in
//! the e-detectors of Shin, Ramdas and Rinaldo (2023). See `docs/MOVES.md`.

/// The number of alternatives that each test bets on.
pub const ALTERNATIVES: usize = 3;

/// The factors by which the wealth of each alternative grows with one comparison.
pub type Factors = [f64; ALTERNATIVES];

/// The odds ratios of failing that are bet on.
const ODDS_RATIOS: Factors = [3.0, 10.0, 50.0];

/// The exponents of the rank densities that are bet on; a higher one is for a larger slowdown.
const RANK_EXPONENTS: Factors = [2.0, 5.0, 15.0];

/// The failure rates that are bet on, as multiples of a known baseline.
const BASELINE_MULTIPLES: Factors = [3.0, 10.0, 30.0];

/// The highest failure rate that is bet on, so that one good request never ends the game.
const MAX_FAILURE_RATE: f64 = 0.9;

/// The part of the stake that is kept for starts at steps of the move; the rest is for late starts.
const STEP_STAKE_FRACTION: f64 = 0.5;

/// Where wealth is cut off, so that it stays a number that every codec can carry.
const MAX_WEALTH: f64 = 1e12;

/// The factors for one request of the new version among `others` of the old one.
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

/// The factors for one request where the old version's failure rate is known to be at most
/// `baseline`, for want of requests of the old version to compare with.
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

/// The factors for one request that took longer than `below` of `others` of the old version.
pub fn rank_factors(below: usize, others: usize) -> Factors {
    let ranks = (others + 1) as f64;
    let low = below as f64 / ranks;
    let high = (below + 1) as f64 / ranks;
    RANK_EXPONENTS.map(|exponent| ranks * (high.powf(exponent) - low.powf(exponent)))
}

/// The wealth of one betting game.
#[derive(Debug, Clone, PartialEq)]
pub struct Test {
    wealth: Factors,
    updates: u64,
    restarts: u64,
}

impl Default for Test {
    fn default() -> Self {
        Self::new()
    }
}

impl Test {
    /// Starts a game.
    pub fn new() -> Self {
        let mut test = Self {
            wealth: [0.0; ALTERNATIVES],
            updates: 0,
            restarts: 0,
        };
        test.restart();
        test
    }

    /// Stakes anew, since what was seen before may not hold at the next step of a move.
    pub fn restart(&mut self) {
        self.restarts += 1;
        self.add_stake(STEP_STAKE_FRACTION * stake_fraction(self.restarts));
    }

    /// Plays one comparison.
    pub fn update(&mut self, factors: Factors) {
        self.updates += 1;
        self.add_stake((1.0 - STEP_STAKE_FRACTION) * stake_fraction(self.updates));
        for (wealth, factor) in self.wealth.iter_mut().zip(factors) {
            *wealth = (*wealth * factor).min(MAX_WEALTH);
        }
    }

    /// The evidence against the new version: 1 or less is none.
    pub fn evidence(&self) -> f64 {
        self.wealth.iter().sum::<f64>() / ALTERNATIVES as f64
    }

    fn add_stake(&mut self, stake: f64) {
        for wealth in &mut self.wealth {
            *wealth += stake;
        }
    }
}

/// The part of a stake that is played at its `number`th start; all parts together make 1.
fn stake_fraction(number: u64) -> f64 {
    let number = number as f64;
    1.0 / (number * (number + 1.0))
}
