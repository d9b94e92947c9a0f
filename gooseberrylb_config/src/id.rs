//! Names that operators choose, each a type of its own so that one cannot stand in for another.

use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

use serde_with::{DeserializeFromStr, SerializeDisplay};
use thiserror::Error;

/// The longest name accepted, in bytes, which bounds what a name costs in every message and label.
pub const MAX_NAME_BYTES: usize = 128;

/// Why a text is not a name.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum Error {
    /// The text has no characters.
    #[error("a name must not be empty")]
    Empty,
    /// The text is longer than [`MAX_NAME_BYTES`].
    #[error("a name must be at most {MAX_NAME_BYTES} bytes long, not {0}")]
    TooLong(usize),
    /// The text holds a character that would need quoting in a URL, a header or a metric's label.
    #[error("a name may hold letters, digits and . _ - @ : only, not {0:?}")]
    Character(char),
}

fn check(text: &str) -> Result<(), Error> {
    if text.is_empty() {
        return Err(Error::Empty);
    }
    if text.len() > MAX_NAME_BYTES {
        return Err(Error::TooLong(text.len()));
    }
    let allowed = |c: char| c.is_ascii_alphanumeric() || "._-@:".contains(c);
    match text.chars().find(|c| !allowed(*c)) {
        Some(c) => Err(Error::Character(c)),
        None => Ok(()),
    }
}

macro_rules! names {
    ($($(#[$doc:meta])* $name:ident;)*) => {$(
        $(#[$doc])*
        #[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash, SerializeDisplay, DeserializeFromStr)]
        pub struct $name(Arc<str>);

        impl $name {
            /// Checks `text` and makes it a name.
            pub fn new(text: &str) -> Result<Self, Error> {
                check(text)?;
                Ok(Self(Arc::from(text)))
            }

            /// The name as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl fmt::Debug for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                fmt::Debug::fmt(&self.0, f)
            }
        }

        impl FromStr for $name {
            type Err = Error;

            fn from_str(text: &str) -> Result<Self, Error> {
                Self::new(text)
            }
        }
    )*};
}

names! {
    /// One process of the system.
    Instance;
    /// One data centre.
    DataCentre;
    /// One region, which holds data centres.
    Region;
    /// One service that callers address.
    Service;
    /// One route of a service.
    Route;
    /// One client account, to which requests are charged.
    Account;
    /// One upstream that runs requests.
    Upstream;
    /// One version of a service's model or software.
    Version;
    /// One model.
    Model;
    /// One adapter of a model.
    Adapter;
    /// Who submitted a release note.
    Author;
}
