//! How the records of a frame are encoded, by format version.
//!
//! Each version that was ever released keeps its decoder here. Files are never rewritten when they
//! are opened: an older segment stays as it is, and the next one is written in the newest version.

use crate::consensus::Record;

/// Decodes the records of a frame.
type Decode = fn(&[u8]) -> Option<Vec<Record>>;

/// The version that is written.
pub(super) const CURRENT: u16 = 1;

/// The decoder of each version that can be read, by which older files migrate.
const DECODERS: [(u16, Decode); 1] = [(1, decode_version_1)];

/// Encodes records in the current version.
pub(super) fn encode(records: &[Record]) -> Vec<u8> {
    postcard::to_stdvec(records).expect("records hold nothing that postcard cannot encode")
}

/// The decoder of a version, if it is known.
pub(super) fn decoder(version: u16) -> Option<Decode> {
    DECODERS
        .iter()
        .find(|(known, _)| *known == version)
        .map(|(_, decode)| *decode)
}

fn decode_version_1(bytes: &[u8]) -> Option<Vec<Record>> {
    postcard::from_bytes(bytes).ok()
}
