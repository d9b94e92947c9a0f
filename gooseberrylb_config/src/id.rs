//! Validated names, one newtype per kind of item so that they cannot be confused.

use std::fmt;
use std::num::ParseIntError;
use std::str::FromStr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use serde_with::{DeserializeFromStr, SerializeDisplay};
use thiserror::Error;

/// Maximum length of a name in bytes; bounds its cost in messages and metric labels.
pub const MAX_NAME_BYTES: usize = 128;

/// Reason why a text is not a valid name.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum Error {
    /// The text is empty.
    #[error("a name must not be empty")]
    Empty,
    /// The text is longer than [`MAX_NAME_BYTES`].
    #[error("a name must be at most {MAX_NAME_BYTES} bytes long, not {0}")]
    TooLong(usize),
    /// The text contains a character that would need quoting in a URL, a header or a metric label.
    #[error("a name may hold letters, digits and . _ - @ : only, not {0:?}")]
    Character(char),
}

/// Checks the length and characters of a name.
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
            /// Creates a name from `text` if it is valid.
            pub fn new(text: &str) -> Result<Self, Error> {
                check(text)?;
                Ok(Self(Arc::from(text)))
            }

            /// Returns the name as text.
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
    /// Name of an instance, a process of the system.
    Instance;
    /// Name of a data centre.
    DataCentre;
    /// Name of a region, which consists of data centres.
    Region;
    /// Name of a service that callers address.
    Service;
    /// Name of a route of a service.
    Route;
    /// Name of a client account, to which requests are charged.
    Account;
    /// Name of an upstream that runs requests.
    Upstream;
    /// Name of a version of a service's model or software.
    Version;
    /// Name of a model.
    Model;
    /// Name of an adapter of a model.
    Adapter;
    /// Name of the operator who submitted a release note.
    Author;
}

/// Identifies a part of a prompt. Requests whose prompts share a part name the same one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Part(u128);

impl fmt::Display for Part {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:x}", self.0)
    }
}

impl FromStr for Part {
    type Err = ParseIntError;

    /// Parses a hexadecimal number.
    fn from_str(text: &str) -> Result<Self, ParseIntError> {
        u128::from_str_radix(text, 16).map(Self)
    }
}

/// Identifies what a request asks for. All repeats of a request have the same one, whoever sends
/// them again and to whichever entry.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Content(u128);

impl Content {
    /// Returns the identity of requests of an account with a method, a target, a prompt and a body.
    pub fn new(
        method: &str,
        target: &str,
        account: Option<&Account>,
        prompt: Option<&str>,
        body: &[u8],
    ) -> Self {
        let account = account.map_or("", Account::as_str);
        let mut hasher = blake3::Hasher::new();
        // Without a prompt, the identity is that of releases that did not know prompts.
        for field in [method, target, account].into_iter().chain(prompt) {
            hasher.update(&(field.len() as u64).to_le_bytes());
            hasher.update(field.as_bytes());
        }
        hasher.update(body);
        let mut bytes = [0; 16];
        hasher.finalize_xof().fill(&mut bytes);
        Self(u128::from_le_bytes(bytes))
    }
}

impl fmt::Display for Content {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:x}", self.0)
    }
}
