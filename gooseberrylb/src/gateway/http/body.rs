//! Bodies: which bytes of a connection belong to them, and where they end.

use super::{Error, Framing};

/// The longest line that gives a chunk's size, with its extensions.
const MAX_SIZE_LINE: usize = 256;

/// The most bytes of fields behind the last chunk.
const MAX_TRAILER: usize = 16 * 1024;

/// Whether a body is at its end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Progress {
    /// All of it was taken.
    Done,
    /// More is to come.
    More,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Stage {
    /// So many bytes are to come.
    Data(u64),
    /// A chunk's size comes next.
    Size,
    /// So many bytes of a chunk are to come.
    Chunk(u64),
    /// The line end behind a chunk comes next.
    ChunkEnd,
    /// The fields behind the last chunk come next.
    Trailer,
    /// Bytes come until the connection ends.
    Open,
    /// It is at its end.
    Done,
}

/// A body as it is read.
#[derive(Debug)]
pub struct Body {
    stage: Stage,
}

impl Body {
    /// Begins a body behind its head.
    pub fn new(framing: Framing) -> Self {
        let stage = match framing {
            Framing::Empty => Stage::Done,
            Framing::Length(length) => Stage::Data(length),
            Framing::Chunked => Stage::Size,
            Framing::UntilClose => Stage::Open,
        };
        Self { stage }
    }

    /// Whether the end of the connection is the end of the body.
    pub fn ends_with_connection(&self) -> bool {
        self.stage == Stage::Open
    }

    /// Takes what belongs to the body from `bytes`; gives how many bytes were used.
    pub fn take(&mut self, bytes: &[u8], out: &mut Vec<u8>) -> Result<(usize, Progress), Error> {
        let mut used = 0;
        loop {
            let rest = &bytes[used..];
            match self.stage {
                Stage::Done => return Ok((used, Progress::Done)),
                Stage::Open => {
                    out.extend_from_slice(rest);
                    return Ok((bytes.len(), Progress::More));
                }
                Stage::Data(left) => {
                    let taken = take_data(rest, left, out);
                    used += taken;
                    let left = left - taken as u64;
                    self.stage = match left {
                        0 => Stage::Done,
                        left => Stage::Data(left),
                    };
                }
                Stage::Chunk(left) => {
                    let taken = take_data(rest, left, out);
                    used += taken;
                    let left = left - taken as u64;
                    self.stage = match left {
                        0 => Stage::ChunkEnd,
                        left => Stage::Chunk(left),
                    };
                }
                Stage::ChunkEnd if rest.len() >= 2 => {
                    if !rest.starts_with(b"\r\n") {
                        return Err(Error::Malformed("a chunk does not end where it should"));
                    }
                    used += 2;
                    self.stage = Stage::Size;
                }
                Stage::ChunkEnd => {}
                Stage::Size => match line(rest, MAX_SIZE_LINE)? {
                    Some(line) => {
                        used += line.len() + 2;
                        self.stage = match chunk_size(line)? {
                            0 => Stage::Trailer,
                            size => Stage::Chunk(size),
                        };
                        continue;
                    }
                    None => return Ok((used, Progress::More)),
                },
                Stage::Trailer => match line(rest, MAX_TRAILER)? {
                    Some(line) => {
                        used += line.len() + 2;
                        if line.is_empty() {
                            self.stage = Stage::Done;
                        }
                        continue;
                    }
                    None => return Ok((used, Progress::More)),
                },
            }
            let waits = matches!(self.stage, Stage::ChunkEnd) && bytes.len() - used < 2;
            if waits || (used == bytes.len() && self.stage != Stage::Done) {
                return Ok((used, Progress::More));
            }
        }
    }
}

fn take_data(bytes: &[u8], left: u64, out: &mut Vec<u8>) -> usize {
    let taken = usize::try_from(left).unwrap_or(usize::MAX).min(bytes.len());
    out.extend_from_slice(&bytes[..taken]);
    taken
}

/// The next line without its end, if it is there as a whole.
fn line(bytes: &[u8], max: usize) -> Result<Option<&[u8]>, Error> {
    match bytes.windows(2).take(max).position(|pair| pair == b"\r\n") {
        Some(end) => Ok(Some(&bytes[..end])),
        None if bytes.len() > max => Err(Error::Malformed("a line is too long")),
        None => Ok(None),
    }
}

fn chunk_size(line: &[u8]) -> Result<u64, Error> {
    let digits = line.split(|b| *b == b';').next().unwrap_or_default();
    let digits = digits.trim_ascii_end();
    let is_number = !digits.is_empty() && digits.iter().all(u8::is_ascii_hexdigit);
    let text = std::str::from_utf8(digits).ok().filter(|_| is_number);
    let size = text.and_then(|text| u64::from_str_radix(text, 16).ok());
    size.ok_or(Error::Malformed("a chunk's size is no number"))
}
