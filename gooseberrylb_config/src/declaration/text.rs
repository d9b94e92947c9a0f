//! A declaration's text, which travels and is stored packed: one with thousands of routes is half a
//! megabyte, and a change of one of them goes to every instance.

use std::fmt;
use std::io::Read;
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use serde_with::{Bytes, serde_as};
use thiserror::Error;

/// How hard texts are packed; higher levels take several times as long for a few percent.
const LEVEL: i32 = 3;

/// The largest text that is unpacked, in bytes; callers may send far less.
const MAX_TEXT_BYTES: u64 = 64 * 1024 * 1024;

/// Why a packed text cannot be read.
#[derive(Debug, Error)]
pub enum Error {
    /// It cannot be unpacked.
    #[error("a packed declaration cannot be unpacked: {0}")]
    Packing(#[from] std::io::Error),
    /// It is larger than any that is accepted.
    #[error("a packed declaration has more than {MAX_TEXT_BYTES} bytes")]
    Size,
    /// It is not text.
    #[error("a packed declaration is not UTF-8")]
    Encoding(#[from] std::string::FromUtf8Error),
}

/// A declaration as the operator sent it.
#[derive(Clone, Serialize, Deserialize)]
#[serde(try_from = "Packed", into = "Packed")]
pub struct Text {
    version: u64,
    source: Arc<str>,
    packed: Arc<[u8]>,
}

/// What is sent and stored of a text.
#[serde_as]
#[derive(Debug, Clone, Serialize, Deserialize)]
struct Packed {
    version: u64,
    #[serde_as(as = "Bytes")]
    bytes: Box<[u8]>,
}

impl Text {
    /// Packs a text once, for all instances that it goes to.
    ///
    /// # Errors
    ///
    /// Fails where the memory to pack it cannot be had.
    pub fn new(version: u64, source: Arc<str>) -> Result<Self, Error> {
        let packed = zstd::bulk::compress(source.as_bytes(), LEVEL)?;
        Ok(Self {
            version,
            source,
            packed: packed.into(),
        })
    }

    /// The operator's version; the highest is in force.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// The text, byte for byte.
    pub fn source(&self) -> &Arc<str> {
        &self.source
    }

    /// How many bytes travel.
    pub fn compressed_len(&self) -> usize {
        self.packed.len()
    }
}

impl PartialEq for Text {
    fn eq(&self, other: &Self) -> bool {
        self.version == other.version && self.source == other.source
    }
}

impl Eq for Text {}

impl fmt::Debug for Text {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Text")
            .field("version", &self.version)
            .field("source", &self.source)
            .finish()
    }
}

impl From<Text> for Packed {
    fn from(text: Text) -> Self {
        Self {
            version: text.version,
            bytes: text.packed.as_ref().into(),
        }
    }
}

impl TryFrom<Packed> for Text {
    type Error = Error;

    fn try_from(packed: Packed) -> Result<Self, Error> {
        let mut bytes = Vec::new();
        let unpacked = zstd::stream::Decoder::new(&*packed.bytes)?;
        unpacked.take(MAX_TEXT_BYTES + 1).read_to_end(&mut bytes)?;
        if bytes.len() as u64 > MAX_TEXT_BYTES {
            return Err(Error::Size);
        }
        Ok(Self {
            version: packed.version,
            source: String::from_utf8(bytes)?.into(),
            packed: packed.bytes.into(),
        })
    }
}
