//! Text of a declaration, which is sent and stored compressed: a declaration with thousands of
//! routes takes half a megabyte, and a change of a single route is sent to every instance.

use std::fmt;
use std::io::Read;
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use serde_with::{Bytes, serde_as};
use thiserror::Error;

/// Zstandard compression level; higher levels take several times as long and save only a few
/// percent.
const COMPRESSION_LEVEL: i32 = 3;

/// Maximum size of a decompressed text in bytes; operators may submit far less.
const MAX_TEXT_BYTES: u64 = 64 * 1024 * 1024;

/// Reason why a compressed text cannot be read.
#[derive(Debug, Error)]
pub enum Error {
    /// Compression or decompression failed.
    #[error("a packed declaration cannot be unpacked: {0}")]
    Compression(#[from] std::io::Error),
    /// The text exceeds the maximum size.
    #[error("a packed declaration has more than {MAX_TEXT_BYTES} bytes")]
    TooLarge,
    /// The decompressed data is not UTF-8.
    #[error("a packed declaration is not UTF-8")]
    Encoding(#[from] std::string::FromUtf8Error),
}

/// Declaration text as sent by the operator, with its compressed form.
#[derive(Clone, Serialize, Deserialize)]
#[serde(try_from = "Compressed", into = "Compressed")]
pub struct Text {
    version: u64,
    source: Arc<str>,
    compressed: Arc<[u8]>,
}

/// Serialized form of a [`Text`].
#[serde_as]
#[derive(Debug, Clone, Serialize, Deserialize)]
struct Compressed {
    version: u64,
    #[serde_as(as = "Bytes")]
    bytes: Box<[u8]>,
}

impl Text {
    /// Creates a text and compresses it once, for all instances that it is sent to.
    ///
    /// # Errors
    ///
    /// Fails if the memory for the compression cannot be allocated.
    pub fn new(version: u64, source: Arc<str>) -> Result<Self, Error> {
        let compressed = zstd::bulk::compress(source.as_bytes(), COMPRESSION_LEVEL)?;
        Ok(Self {
            version,
            source,
            compressed: compressed.into(),
        })
    }

    /// Returns the operator's version; the highest version is in force.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns the text exactly as the operator sent it, byte for byte.
    pub fn source(&self) -> &Arc<str> {
        &self.source
    }

    /// Returns the size of the compressed text in bytes.
    pub fn compressed_len(&self) -> usize {
        self.compressed.len()
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

impl From<Text> for Compressed {
    fn from(text: Text) -> Self {
        Self {
            version: text.version,
            bytes: text.compressed.as_ref().into(),
        }
    }
}

impl TryFrom<Compressed> for Text {
    type Error = Error;

    fn try_from(compressed: Compressed) -> Result<Self, Error> {
        let mut bytes = Vec::new();
        let decoder = zstd::stream::Decoder::new(&*compressed.bytes)?;
        decoder.take(MAX_TEXT_BYTES + 1).read_to_end(&mut bytes)?;
        if bytes.len() as u64 > MAX_TEXT_BYTES {
            return Err(Error::TooLarge);
        }
        Ok(Self {
            version: compressed.version,
            source: String::from_utf8(bytes)?.into(),
            compressed: compressed.bytes.into(),
        })
    }
}
