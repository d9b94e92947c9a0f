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
const ODDS: Factors = [3.0, 10.0, 50.0];

/// The exponents of the rank densities that are bet on; a higher one is for a larger slowdown.
const EXPONENTS: Factors = [2.0, 5.0, 15.0];

/// The failure rates that are bet on, as multiples of a known baseline.
const MULTIPLES: Factors = [3.0, 10.0, 30.0];

/// The highest failure rate that is bet on, so that one good request never ends the game.
const HIGHEST_RATE: f64 = 0.9;

/// The part of the stake that is kept for starts at steps of the move; the rest is for late starts.
const STEP_STAKE: f64 = 0.5;

/// Where wealth is cut off, so that it stays a number that every codec can carry.
const MAX_WEALTH: f64 = 1e12;

/// The factors for one request of the new version among `others` of the old one.
pub fn failure(failed: bool, others: usize, others_failed: usize) -> Factors {
    let all = (others + 1) as f64;
    let failures = (others_failed + usize::from(failed)) as f64;
    let expected = failures / all;
    ODDS.map(|odds| {
        let weight = odds * failures;
        let alternative = weight / (weight + all - failures);
        likelihood_ratio(failed, alternative, expected)
    })
}

/// The factors for one request where the old version's failure rate is known to be at most
/// `baseline`, for want of requests of the old version to compare with.
pub fn failure_against(failed: bool, baseline: f64) -> Factors {
    MULTIPLES.map(|multiple| {
        let alternative = (baseline * multiple).min(HIGHEST_RATE).max(baseline);
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
pub fn rank(below: usize, others: usize) -> Factors {
    let ranks = (others + 1) as f64;
    let low = below as f64 / ranks;
    let high = (below + 1) as f64 / ranks;
    EXPONENTS.map(|exponent| ranks * (high.powf(exponent) - low.powf(exponent)))
}

/// The wealth of one betting game.
#[derive(Debug, Clone, PartialEq)]
pub struct Process {
    wealth: Factors,
    bets: u64,
    starts: u64,
}

impl Default for Process {
    fn default() -> Self {
        Self::new()
    }
}

impl Process {
    /// Starts a game.
    pub fn new() -> Self {
        let mut process = Self {
            wealth: [0.0; ALTERNATIVES],
            bets: 0,
            starts: 0,
        };
        process.start();
        process
    }

    /// Stakes anew, since what was seen before may not hold at the next step of a move.
    pub fn start(&mut self) {
        self.starts += 1;
        self.deposit(STEP_STAKE * instalment(self.starts));
    }

    /// Plays one comparison.
    pub fn bet(&mut self, factors: Factors) {
        self.bets += 1;
        self.deposit((1.0 - STEP_STAKE) * instalment(self.bets));
        for (wealth, factor) in self.wealth.iter_mut().zip(factors) {
            *wealth = (*wealth * factor).min(MAX_WEALTH);
        }
    }

    /// The evidence against the new version: 1 or less is none.
    pub fn value(&self) -> f64 {
        self.wealth.iter().sum::<f64>() / ALTERNATIVES as f64
    }

    fn deposit(&mut self, stake: f64) {
        for wealth in &mut self.wealth {
            *wealth += stake;
        }
    }
}

/// The part of a stake that is played at its `number`th start; all parts together make 1.
fn instalment(number: u64) -> f64 {
    let number = number as f64;
    1.0 / (number * (number + 1.0))
}
