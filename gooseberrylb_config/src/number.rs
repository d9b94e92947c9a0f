//! Newtypes for counts, sizes and sequence numbers, so that units cannot be mixed up.

use std::fmt;
use std::num::ParseIntError;
use std::str::FromStr;

use serde::{Deserialize, Serialize};
use thiserror::Error;

macro_rules! numbers {
    ($($(#[$doc:meta])* $name:ident($inner:ty);)*) => {$(
        $(#[$doc])*
        #[derive(
            Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub $inner);

        impl $name {
            /// Returns the next number.
            pub fn next(self) -> Self {
                Self(self.0 + 1)
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                self.0.fmt(f)
            }
        }

        impl FromStr for $name {
            type Err = ParseIntError;

            fn from_str(text: &str) -> Result<Self, ParseIntError> {
                text.parse().map(Self)
            }
        }
    )*};
}

numbers! {
    /// Priority class of a request; tier 1 is the highest.
    Tier(u8);
    /// Number of an accepted configuration; it only increases.
    Revision(u64);
    /// Number that an operator assigned to a release note.
    Note(u64);
    /// Number of a leader's term.
    Term(u64);
    /// Position in the replicated log; the first entry has index 1.
    Index(u64);
    /// Number of a service's view, which names its scheduler and backups.
    View(u64);
    /// Fencing number, which engines compare to refuse orders of an earlier leader.
    Fencing(u64);
    /// Amount of text in model tokens.
    Tokens(u64);
    /// Amount of data in bytes.
    Bytes(u64);
    /// Number of requests that an upstream may run concurrently.
    Slots(u32);
}

/// Number of requests per second, to a thousandth.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Rate(u64);

/// Reason why a text is not a rate.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("a rate must be a decimal number of at most {MAX_RATE} requests a second")]
pub struct RateError;

/// Highest rate, in requests per second.
const MAX_RATE: f64 = 1e9;

/// Number of the units of a [`Rate`] in one request per second.
const RATE_UNITS: f64 = 1000.0;

impl Rate {
    /// Returns the number of requests per second.
    pub fn per_second(self) -> f64 {
        self.0 as f64 / RATE_UNITS
    }
}

impl fmt::Display for Rate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.per_second().fmt(f)
    }
}

impl FromStr for Rate {
    type Err = RateError;

    fn from_str(text: &str) -> Result<Self, RateError> {
        let is_number = text.bytes().all(|b| b.is_ascii_digit() || b == b'.');
        let rate: Option<f64> = text
            .parse()
            .ok()
            .filter(|rate| is_number && *rate <= MAX_RATE);
        let rate = rate.ok_or(RateError)?;
        Ok(Self((rate * RATE_UNITS).round() as u64))
    }
}
