//! Incremental decoder for message bodies.

use gooseberrylb_config::number::Bytes;

use super::{Error, Framing};

/// Maximum length in bytes of a chunk size line, including extensions.
const MAX_CHUNK_SIZE_LINE_BYTES: usize = 256;

/// Maximum size in bytes of the trailer section.
const MAX_TRAILER_BYTES: usize = 16 * 1024;

/// Progress of a decoder.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Progress {
    /// The body is complete.
    Done,
    /// More bytes are needed.
    More,
}

/// What the decoder expects next.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    /// The given number of bytes, up to the end of the body.
    Data(u64),
    /// A line with the size of a chunk.
    Size,
    /// The given number of bytes of the current chunk.
    Chunk(u64),
    /// The line break after a chunk.
    ChunkEnd,
    /// A line of the trailer section.
    Trailer,
    /// Bytes until the connection is closed.
    UntilClose,
    /// Nothing; the body is complete.
    Done,
}

/// Decoder of one body.
#[derive(Debug)]
pub struct Body {
    state: State,
    /// Size in bytes of the lines read from the trailer section.
    trailer_bytes: usize,
}

impl Body {
    /// Creates a decoder that starts after the head.
    pub fn new(framing: Framing) -> Self {
        let state = match framing {
            Framing::Empty => State::Done,
            Framing::Length(length) => State::Data(length),
            Framing::Chunked => State::Size,
            Framing::UntilClose => State::UntilClose,
        };
        Self {
            state,
            trailer_bytes: 0,
        }
    }

    /// Returns the number of bytes that are left of a body with a fixed length.
    pub fn length(&self) -> Option<Bytes> {
        match self.state {
            State::Data(left) => Some(Bytes(left)),
            State::Done => Some(Bytes(0)),
            State::Size
            | State::Chunk(_)
            | State::ChunkEnd
            | State::Trailer
            | State::UntilClose => None,
        }
    }

    /// Fails if the body is known to have more than `max_bytes`.
    pub fn check_length(&self, max_bytes: usize) -> Result<(), Error> {
        match self.length() {
            Some(length) if length.0 > max_bytes as u64 => Err(Error::BodyTooLarge(max_bytes)),
            Some(_) | None => Ok(()),
        }
    }

    /// Whether the body ends when the connection is closed.
    pub fn ends_at_close(&self) -> bool {
        self.state == State::UntilClose
    }

    /// Decodes `bytes` and appends the content to `out`. Returns the number of bytes consumed;
    /// bytes after the end of the body and incomplete lines are not consumed.
    pub fn decode(&mut self, bytes: &[u8], out: &mut Vec<u8>) -> Result<(usize, Progress), Error> {
        let mut used = 0;
        loop {
            let rest = &bytes[used..];
            match self.state {
                State::Done => return Ok((used, Progress::Done)),
                State::UntilClose => {
                    out.extend_from_slice(rest);
                    return Ok((bytes.len(), Progress::More));
                }
                State::Data(left) => {
                    let copied = copy_data(rest, left, out);
                    used += copied;
                    let left = left - copied as u64;
                    self.state = match left {
                        0 => State::Done,
                        left => State::Data(left),
                    };
                }
                State::Chunk(left) => {
                    let copied = copy_data(rest, left, out);
                    used += copied;
                    let left = left - copied as u64;
                    self.state = match left {
                        0 => State::ChunkEnd,
                        left => State::Chunk(left),
                    };
                }
                State::ChunkEnd if rest.len() >= 2 => {
                    if !rest.starts_with(b"\r\n") {
                        return Err(Error::Malformed("a chunk does not end where it should"));
                    }
                    used += 2;
                    self.state = State::Size;
                }
                State::ChunkEnd => {}
                State::Size => match read_line(rest, MAX_CHUNK_SIZE_LINE_BYTES)? {
                    Some(line) => {
                        used += line.len() + 2;
                        self.state = match chunk_size(line)? {
                            0 => State::Trailer,
                            size => State::Chunk(size),
                        };
                        continue;
                    }
                    None => return Ok((used, Progress::More)),
                },
                State::Trailer => match read_line(rest, MAX_TRAILER_BYTES - self.trailer_bytes)? {
                    Some(line) => {
                        used += line.len() + 2;
                        self.trailer_bytes += line.len() + 2;
                        if self.trailer_bytes > MAX_TRAILER_BYTES {
                            return Err(Error::Malformed("the trailer section is too long"));
                        }
                        if line.is_empty() {
                            self.state = State::Done;
                        }
                        continue;
                    }
                    None => return Ok((used, Progress::More)),
                },
            }
            let waits = matches!(self.state, State::ChunkEnd) && bytes.len() - used < 2;
            if waits || (used == bytes.len() && self.state != State::Done) {
                return Ok((used, Progress::More));
            }
        }
    }
}

/// Appends at most `left` of `bytes` to `out` and returns the number of bytes copied.
fn copy_data(bytes: &[u8], left: u64, out: &mut Vec<u8>) -> usize {
    let copied = usize::try_from(left).unwrap_or(usize::MAX).min(bytes.len());
    out.extend_from_slice(&bytes[..copied]);
    copied
}

/// Returns the next line without its line break, or `None` if the line is incomplete.
fn read_line(bytes: &[u8], max: usize) -> Result<Option<&[u8]>, Error> {
    match bytes.windows(2).take(max).position(|pair| pair == b"\r\n") {
        Some(end) => Ok(Some(&bytes[..end])),
        None if bytes.len() > max => Err(Error::Malformed("a line is too long")),
        None => Ok(None),
    }
}

/// Parses the size from a chunk size line and ignores extensions.
fn chunk_size(line: &[u8]) -> Result<u64, Error> {
    let digits = line.split(|b| *b == b';').next().unwrap_or_default();
    let digits = digits.trim_ascii_end();
    let is_number = !digits.is_empty() && digits.iter().all(u8::is_ascii_hexdigit);
    let text = std::str::from_utf8(digits).ok().filter(|_| is_number);
    let size = text.and_then(|text| u64::from_str_radix(text, 16).ok());
    size.ok_or(Error::Malformed("a chunk's size is no number"))
}
