//! Counts, sizes and rates, each a type of its own so that units cannot be mixed.

use std::fmt;
use std::num::ParseIntError;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

macro_rules! numbers {
    ($($(#[$doc:meta])* $name:ident($inner:ty);)*) => {$(
        $(#[$doc])*
        #[derive(
            Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub $inner);

        impl $name {
            /// The number that follows this one.
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
    /// The importance of a request; tier 1 is the highest.
    Tier(u8);
    /// The number of an accepted configuration; it only grows.
    Revision(u64);
    /// The number that an operator gave a release note.
    Note(u64);
    /// The number of a leader's term.
    Term(u64);
    /// A position in the replicated log; the first entry is 1.
    Index(u64);
    /// The number of a service's view: its scheduler and backups.
    View(u64);
    /// The number that an engine compares to refuse orders of an earlier leader.
    Fencing(u64);
    /// An amount of text as a model counts it.
    Tokens(u64);
    /// An amount of data in bytes.
    Bytes(u64);
    /// The number of requests that an upstream may run at once.
    Slots(u32);
}
