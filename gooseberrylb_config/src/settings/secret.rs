//! Keys and tokens, which are read from files and never shown.

use std::fmt;
use std::path::{Path, PathBuf};
use std::sync::Arc;

use thiserror::Error;

/// The shortest secret accepted, in bytes, so that an empty or a forgotten file guards nothing.
pub const MIN_BYTES: usize = 16;

/// Why a file holds no secret.
#[derive(Debug, Error)]
pub enum Error {
    /// The file cannot be read as text.
    #[error("{path} cannot be read: {source}", path = .path.display())]
    Read {
        /// The file.
        path: PathBuf,
        /// Why.
        source: std::io::Error,
    },
    /// The file holds less than [`MIN_BYTES`].
    #[error("{path} must hold at least {MIN_BYTES} bytes", path = .path.display())]
    TooShort {
        /// The file.
        path: PathBuf,
    },
    /// The file holds a character that cannot stand in a header.
    #[error("{path} must hold one line of printable ASCII", path = .path.display())]
    Character {
        /// The file.
        path: PathBuf,
    },
}

/// A key or token. Its text is shown by [`Secret::expose`] alone, so that it is never logged.
#[derive(Clone, PartialEq, Eq)]
pub struct Secret(Arc<str>);

impl Secret {
    /// Reads a secret from a file; white space round it does not count.
    pub fn read(path: &Path) -> Result<Self, Error> {
        let text = std::fs::read_to_string(path).map_err(|source| Error::Read {
            path: path.to_owned(),
            source,
        })?;
        let text = text.trim();
        if text.len() < MIN_BYTES {
            let path = path.to_owned();
            return Err(Error::TooShort { path });
        }
        if !text.chars().all(|c| c.is_ascii_graphic()) {
            let path = path.to_owned();
            return Err(Error::Character { path });
        }
        Ok(Self(Arc::from(text)))
    }

    /// The text of the secret.
    pub fn expose(&self) -> &str {
        &self.0
    }

    /// Whether `text` is this secret, compared in a time that does not tell how much of it agrees.
    pub fn matches(&self, text: &str) -> bool {
        blake3::hash(self.0.as_bytes()) == blake3::hash(text.as_bytes())
    }
}

impl fmt::Debug for Secret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Secret(..)")
    }
}
