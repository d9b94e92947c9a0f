//! Frames: the encoded records of one append, with a checksum that detects torn or damaged ones.

/// Magic bytes at the start of a frame.
const MAGIC: [u8; 4] = *b"GLBF";

/// Size in bytes of a frame header: magic, payload length, sequence number and checksum.
const HEADER_BYTES: usize = 20;

/// Intact frame.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Frame<'a> {
    /// Sequence number, one higher than that of the preceding frame.
    pub sequence: u64,
    /// Encoded records.
    pub payload: &'a [u8],
}

impl<'a> Frame<'a> {
    /// Decodes the frame at the start of `bytes`, if it is intact.
    pub(super) fn decode(bytes: &'a [u8]) -> Option<Self> {
        let rest = bytes.strip_prefix(&MAGIC)?;
        let (length, rest) = rest.split_first_chunk::<4>()?;
        let (sequence, rest) = rest.split_first_chunk::<8>()?;
        let (checksum, rest) = rest.split_first_chunk::<4>()?;
        let payload = rest.get(..u32::from_le_bytes(*length) as usize)?;
        let is_intact =
            u32::from_le_bytes(*checksum) == compute_checksum(length, sequence, payload);
        let sequence = u64::from_le_bytes(*sequence);
        is_intact.then_some(Self { sequence, payload })
    }

    /// Encodes the frame, including its header.
    pub(super) fn encode(&self) -> Vec<u8> {
        let length = u32::try_from(self.payload.len()).expect("a frame is smaller than 4 GiB");
        let length = length.to_le_bytes();
        let sequence = self.sequence.to_le_bytes();
        let checksum = compute_checksum(&length, &sequence, self.payload);
        let mut bytes = Vec::with_capacity(HEADER_BYTES + self.payload.len());
        bytes.extend_from_slice(&MAGIC);
        bytes.extend_from_slice(&length);
        bytes.extend_from_slice(&sequence);
        bytes.extend_from_slice(&checksum.to_le_bytes());
        bytes.extend_from_slice(self.payload);
        bytes
    }

    /// Returns the encoded size of the frame in bytes.
    pub(super) fn size(&self) -> usize {
        HEADER_BYTES + self.payload.len()
    }
}

/// Returns the encoded size in bytes of a frame with this payload.
pub(super) fn size(payload: &[u8]) -> u64 {
    (HEADER_BYTES + payload.len()) as u64
}

/// Whether an intact frame starts at any offset in `bytes`.
pub(super) fn contains_frame(bytes: &[u8]) -> bool {
    (0..bytes.len()).any(|start| Frame::decode(&bytes[start..]).is_some())
}

/// Returns the CRC32C of length, sequence number and payload.
fn compute_checksum(length: &[u8; 4], sequence: &[u8; 8], payload: &[u8]) -> u32 {
    let checksum = crc32c::crc32c(length);
    let checksum = crc32c::crc32c_append(checksum, sequence);
    crc32c::crc32c_append(checksum, payload)
}
