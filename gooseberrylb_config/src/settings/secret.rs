//! Keys and tokens, which are read from files and never logged.

use std::fmt;
use std::path::{Path, PathBuf};
use std::sync::Arc;

use thiserror::Error;

/// Minimum length of a secret in bytes, so that an empty or placeholder file is not accepted.
pub const MIN_BYTES: usize = 16;

/// Reason why a file holds no valid secret.
#[derive(Debug, Error)]
pub enum Error {
    /// The file cannot be read as text.
    #[error("{path} cannot be read: {source}", path = .path.display())]
    Read {
        /// Path of the file.
        path: PathBuf,
        /// Cause of the failure.
        source: std::io::Error,
    },
    /// The file holds fewer than [`MIN_BYTES`] bytes.
    #[error("{path} must hold at least {MIN_BYTES} bytes", path = .path.display())]
    TooShort {
        /// Path of the file.
        path: PathBuf,
    },
    /// The file holds a character that is not allowed in a header.
    #[error("{path} must hold one line of printable ASCII", path = .path.display())]
    Character {
        /// Path of the file.
        path: PathBuf,
    },
}

/// Key or token. Only [`Secret::expose`] returns its text, so that it is never logged by accident.
#[derive(Clone, PartialEq, Eq)]
pub struct Secret(Arc<str>);

impl Secret {
    /// Reads a secret from a file, without leading and trailing white space.
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

    /// Returns the text of the secret.
    pub fn expose(&self) -> &str {
        &self.0
    }

    /// Whether `text` equals the secret. Compares digests, so that the time taken does not reveal
    /// how much of the text agrees.
    pub fn matches(&self, text: &str) -> bool {
        blake3::hash(self.0.as_bytes()) == blake3::hash(text.as_bytes())
    }
}

impl fmt::Debug for Secret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Secret(..)")
    }
}
