//! Segments: numbered files of frames.

use std::fs::{self, File, OpenOptions};
use std::os::unix::fs::FileExt;
use std::path::{Path, PathBuf};

use super::frame::{self, Frame};
use super::image::Image;
use super::{Error, format, home};

/// What a segment begins with.
const MAGIC: [u8; 8] = *b"GLBJRNL\n";

/// The size of a segment's header: magic, version, kind, first length, sequence and checksum.
const HEADER_BYTES: usize = 31;

/// The end of a segment's name.
const EXTENSION: &str = "journal";

/// How a segment relates to the one before.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Kind {
    /// It needs the segments before it.
    Continuation,
    /// It holds all that is of use from the segments before it.
    Checkpoint,
}

impl Kind {
    fn to_byte(self) -> u8 {
        match self {
            Kind::Continuation => 0,
            Kind::Checkpoint => 1,
        }
    }

    fn from_byte(byte: u8) -> Option<Self> {
        match byte {
            0 => Some(Kind::Continuation),
            1 => Some(Kind::Checkpoint),
            _ => None,
        }
    }
}

/// The header of a segment.
#[derive(Debug, Clone, Copy)]
struct Header {
    /// The format of its records.
    version: u16,
    /// How it relates to the one before.
    kind: Kind,
    /// How long it was when it got its name, up to where a crash cannot have damaged it.
    whole: u64,
    /// The number of the last frame before it.
    sequence: u64,
}

impl Header {
    fn encode(&self) -> Vec<u8> {
        let mut bytes = Vec::with_capacity(HEADER_BYTES);
        bytes.extend_from_slice(&MAGIC);
        bytes.extend_from_slice(&self.version.to_le_bytes());
        bytes.push(self.kind.to_byte());
        bytes.extend_from_slice(&self.whole.to_le_bytes());
        bytes.extend_from_slice(&self.sequence.to_le_bytes());
        bytes.extend_from_slice(&crc32c::crc32c(&bytes).to_le_bytes());
        bytes
    }

    fn decode(bytes: &[u8]) -> Option<Self> {
        let bytes = bytes.get(..HEADER_BYTES)?;
        let (content, checksum) = bytes.split_last_chunk::<4>()?;
        if u32::from_le_bytes(*checksum) != crc32c::crc32c(content) {
            return None;
        }
        let rest = content.strip_prefix(&MAGIC)?;
        let (version, rest) = rest.split_first_chunk::<2>()?;
        let (kind, rest) = rest.split_first()?;
        let (whole, rest) = rest.split_first_chunk::<8>()?;
        let (sequence, _) = rest.split_first_chunk::<8>()?;
        Some(Self {
            version: u16::from_le_bytes(*version),
            kind: Kind::from_byte(*kind)?,
            whole: u64::from_le_bytes(*whole),
            sequence: u64::from_le_bytes(*sequence),
        })
    }
}

/// A segment that is written to.
#[derive(Debug)]
pub(super) struct Segment {
    /// Where it is.
    path: PathBuf,
    /// The open file.
    file: File,
    /// Its number.
    number: u64,
    /// The format of its records.
    version: u16,
    /// Its length.
    length: u64,
    /// The number of the last frame.
    sequence: u64,
}

impl Segment {
    /// Creates a segment behind the frame `sequence`, with one frame in it if there is a payload.
    pub(super) fn create(
        folder: &Path,
        number: u64,
        kind: Kind,
        sequence: u64,
        payload: &[u8],
    ) -> Result<Self, Error> {
        let frame = Frame {
            sequence: sequence + 1,
            payload,
        };
        let (frames, last) = match payload {
            [] => (Vec::new(), sequence),
            _ => (frame.encode(), frame.sequence),
        };
        let length = (HEADER_BYTES + frames.len()) as u64;
        let header = Header {
            version: format::CURRENT,
            kind,
            whole: length,
            sequence,
        };
        let content = [header.encode(), frames].concat();
        let name = name(number);
        let file = home::create_file(folder, &name, &content)?;
        Ok(Self {
            path: folder.join(name),
            file,
            number,
            version: format::CURRENT,
            length,
            sequence: last,
        })
    }

    /// Its number.
    pub(super) fn number(&self) -> u64 {
        self.number
    }

    /// Its length.
    pub(super) fn length(&self) -> u64 {
        self.length
    }

    /// The number of its last frame.
    pub(super) fn sequence(&self) -> u64 {
        self.sequence
    }

    /// Whether its records have the format that is written.
    pub(super) fn is_current(&self) -> bool {
        self.version == format::CURRENT
    }

    /// Writes a frame and syncs it.
    pub(super) fn append(&mut self, payload: &[u8]) -> Result<(), Error> {
        let frame = Frame {
            sequence: self.sequence + 1,
            payload,
        };
        let bytes = frame.encode();
        if let Err(source) = self.file.write_all_at(&bytes, self.length) {
            return Err(self.give_up(source));
        }
        self.file
            .sync_data()
            .map_err(|source| self.fatal("sync", source))?;
        self.length += bytes.len() as u64;
        self.sequence = frame.sequence;
        Ok(())
    }

    /// Takes back a frame of which only a part could be written.
    fn give_up(&self, source: std::io::Error) -> Error {
        if !super::is_full(&source) {
            return self.fatal("write", source);
        }
        let cut = self
            .file
            .set_len(self.length)
            .and_then(|()| self.file.sync_all());
        match cut {
            Ok(()) => Error::Full,
            Err(source) => self.fatal("truncate", source),
        }
    }

    fn fatal(&self, action: &'static str, source: std::io::Error) -> Error {
        Error::fatal(action, &self.path, source)
    }
}

/// A segment as it was found.
#[derive(Debug)]
pub(super) struct Found {
    /// Where it is.
    path: PathBuf,
    /// Its number.
    number: u64,
}

/// The segments in a folder, by number.
pub(super) fn list(folder: &Path) -> Result<Vec<Found>, Error> {
    let mut found = Vec::new();
    for item in fs::read_dir(folder).map_err(Error::io("read", folder))? {
        let path = item.map_err(Error::io("read", folder))?.path();
        if let Some(number) = number(&path) {
            found.push(Found { path, number });
        }
    }
    found.sort_by_key(|segment| segment.number);
    Ok(found)
}

/// Deletes the segments before `number`, which holds all that is of use from them.
pub(super) fn remove_before(folder: &Path, number: u64) -> Result<(), Error> {
    for found in list(folder)? {
        if found.number < number {
            fs::remove_file(&found.path).map_err(Error::io("delete", &found.path))?;
        }
    }
    home::sync_folder(folder)
}

/// Replays the segments into an image, cuts a torn end, and gives the last segment to write to
/// with the size of the others that are of use.
pub(super) fn replay(files: &[Found], image: &mut Image) -> Result<(Segment, u64), Error> {
    let mut segments = Vec::with_capacity(files.len());
    for found in files {
        let bytes = fs::read(&found.path).map_err(Error::io("read", &found.path))?;
        let header = Header::decode(&bytes)
            .ok_or_else(|| Error::corrupt(&found.path, 0, "the header is damaged"))?;
        segments.push((found, header, bytes));
    }
    let start = segments
        .iter()
        .rposition(|(_, header, _)| header.kind == Kind::Checkpoint)
        .ok_or_else(|| Error::corrupt(&files[0].path, 0, "the segments before it are missing"))?;
    let segments = &segments[start..];
    let mut sequence = segments[0].1.sequence;
    let mut ends = Vec::with_capacity(segments.len());
    for (place, (found, header, bytes)) in segments.iter().enumerate() {
        let is_last = place + 1 == segments.len();
        let reader = Reader {
            path: &found.path,
            header,
            bytes,
            is_last,
        };
        ends.push(reader.replay(&mut sequence, image)?);
    }
    let older = ends[..ends.len() - 1].iter().sum();
    let (found, header, bytes) = &segments[segments.len() - 1];
    let segment = reopen(found, header, ends[ends.len() - 1], bytes.len(), sequence)?;
    Ok((segment, older))
}

fn reopen(
    found: &Found,
    header: &Header,
    length: u64,
    found_length: usize,
    sequence: u64,
) -> Result<Segment, Error> {
    let path = &found.path;
    let file = OpenOptions::new()
        .read(true)
        .write(true)
        .open(path)
        .map_err(Error::io("open", path))?;
    if length < found_length as u64 {
        file.set_len(length).map_err(Error::io("truncate", path))?;
    }
    // The process before may have ended between write and sync: what is read must be on disk.
    file.sync_all().map_err(Error::io("sync", path))?;
    Ok(Segment {
        path: path.clone(),
        file,
        number: found.number,
        version: header.version,
        length,
        sequence,
    })
}

/// Reads the frames of one segment.
struct Reader<'a> {
    /// Where it is.
    path: &'a Path,
    /// Its header.
    header: &'a Header,
    /// All of it.
    bytes: &'a [u8],
    /// Whether a crash may have torn its end.
    is_last: bool,
}

impl Reader<'_> {
    /// Replays the frames into the image, and gives the length up to which they are whole.
    fn replay(&self, sequence: &mut u64, image: &mut Image) -> Result<u64, Error> {
        let version = self.header.version;
        let decode = format::decoder(version).ok_or_else(|| Error::Version {
            file: self.path.to_path_buf(),
            version,
        })?;
        if self.header.sequence != *sequence {
            return Err(self.corrupt(0, "a segment before it is missing"));
        }
        let mut offset = HEADER_BYTES;
        while offset < self.bytes.len() {
            let Some(frame) = Frame::decode(&self.bytes[offset..]) else {
                self.check_torn(offset)?;
                break;
            };
            if frame.sequence != *sequence + 1 {
                return Err(self.corrupt(offset, "a frame before it is missing"));
            }
            let records = decode(frame.payload)
                .ok_or_else(|| self.corrupt(offset, "the records cannot be decoded"))?;
            for record in &records {
                image
                    .apply(record)
                    .map_err(|_| self.corrupt(offset, "an entry before it is missing"))?;
            }
            *sequence = frame.sequence;
            offset += frame.size();
        }
        if (offset as u64) < self.header.whole {
            return Err(self.corrupt(offset, "its first part is cut short"));
        }
        Ok(offset as u64)
    }

    /// Checks that a bad frame can only be one that a crash has torn.
    fn check_torn(&self, offset: usize) -> Result<(), Error> {
        if !self.is_last || (offset as u64) < self.header.whole {
            return Err(self.corrupt(offset, "a frame is damaged that was synced"));
        }
        if frame::is_any_in(&self.bytes[offset + 1..]) {
            return Err(self.corrupt(offset, "a frame is damaged and whole ones follow"));
        }
        Ok(())
    }

    fn corrupt(&self, offset: usize, reason: &str) -> Error {
        Error::corrupt(self.path, offset as u64, reason)
    }
}

fn name(number: u64) -> String {
    format!("{number:016}.{EXTENSION}")
}

fn number(path: &Path) -> Option<u64> {
    if path.extension()?.to_str()? != EXTENSION {
        return None;
    }
    path.file_stem()?.to_str()?.parse().ok()
}
