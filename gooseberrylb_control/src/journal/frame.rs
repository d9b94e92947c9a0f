//! Frames: the records of one append, with what is needed to tell a whole frame from a bad one.

/// What a frame begins with.
const MAGIC: [u8; 4] = *b"GLBF";

/// The size of what stands before the payload: magic, length, number and checksum.
const HEADER_BYTES: usize = 20;

/// One whole frame.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Frame<'a> {
    /// Its number, one higher than that of the frame before.
    pub sequence: u64,
    /// The encoded records.
    pub payload: &'a [u8],
}

impl<'a> Frame<'a> {
    /// The frame at the beginning of `bytes`, if it is whole.
    pub(super) fn decode(bytes: &'a [u8]) -> Option<Self> {
        let rest = bytes.strip_prefix(&MAGIC)?;
        let (length, rest) = rest.split_first_chunk::<4>()?;
        let (sequence, rest) = rest.split_first_chunk::<8>()?;
        let (checksum, rest) = rest.split_first_chunk::<4>()?;
        let payload = rest.get(..u32::from_le_bytes(*length) as usize)?;
        let is_whole = u32::from_le_bytes(*checksum) == check(length, sequence, payload);
        let sequence = u64::from_le_bytes(*sequence);
        is_whole.then_some(Self { sequence, payload })
    }

    /// The frame as bytes.
    pub(super) fn encode(&self) -> Vec<u8> {
        let length = u32::try_from(self.payload.len()).expect("a frame is smaller than 4 GiB");
        let length = length.to_le_bytes();
        let sequence = self.sequence.to_le_bytes();
        let checksum = check(&length, &sequence, self.payload);
        let mut bytes = Vec::with_capacity(HEADER_BYTES + self.payload.len());
        bytes.extend_from_slice(&MAGIC);
        bytes.extend_from_slice(&length);
        bytes.extend_from_slice(&sequence);
        bytes.extend_from_slice(&checksum.to_le_bytes());
        bytes.extend_from_slice(self.payload);
        bytes
    }

    /// The size of the frame.
    pub(super) fn size(&self) -> usize {
        HEADER_BYTES + self.payload.len()
    }
}

/// The size of a frame with this payload.
pub(super) fn size(payload: &[u8]) -> u64 {
    (HEADER_BYTES + payload.len()) as u64
}

/// Whether a whole frame begins anywhere in `bytes`.
pub(super) fn is_any_in(bytes: &[u8]) -> bool {
    (0..bytes.len()).any(|start| Frame::decode(&bytes[start..]).is_some())
}

fn check(length: &[u8; 4], sequence: &[u8; 8], payload: &[u8]) -> u32 {
    let checksum = crc32c::crc32c(length);
    let checksum = crc32c::crc32c_append(checksum, sequence);
    crc32c::crc32c_append(checksum, payload)
}
