//! Encoding of the records in a frame, by format version.
//!
//! Every released version keeps its decoder. Files are not rewritten when they are opened: older
//! segments stay unchanged, and new segments are written in the current version.

use crate::consensus::Record;

/// Decoder of the records of one frame.
type Decode = fn(&[u8]) -> Option<Vec<Record>>;

/// Format version of newly written segments.
pub(super) const CURRENT: u16 = 1;

/// Decoders of all readable versions, including those of earlier releases.
const DECODERS: [(u16, Decode); 1] = [(1, decode_version_1)];

/// Encodes records in the [`CURRENT`] version.
pub(super) fn encode(records: &[Record]) -> Vec<u8> {
    postcard::to_stdvec(records).expect("every record type can be encoded with postcard")
}

/// Returns the decoder of `version`, if this release knows it.
pub(super) fn decoder(version: u16) -> Option<Decode> {
    DECODERS
        .iter()
        .find(|(known, _)| *known == version)
        .map(|(_, decode)| *decode)
}

fn decode_version_1(bytes: &[u8]) -> Option<Vec<Record>> {
    postcard::from_bytes(bytes).ok()
}
