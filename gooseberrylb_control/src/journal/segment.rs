//! Segments: the numbered files of a journal, each a header followed by frames.

use std::fs::{self, File, OpenOptions};
use std::io::Read;
use std::os::unix::fs::FileExt;
use std::path::{Path, PathBuf};

use super::frame::{self, Frame};
use super::image::Image;
use super::{Error, data_folder, format};

/// Magic bytes at the start of a segment.
const MAGIC: [u8; 8] = *b"GLBJRNL\n";

/// Size in bytes of a segment header: magic, version, kind, initial length, sequence number and
/// checksum.
const HEADER_BYTES: usize = 31;

/// File name extension of a segment.
const EXTENSION: &str = "journal";

/// Relation of a segment to the preceding ones.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Kind {
    /// Requires the preceding segments.
    Continuation,
    /// Contains everything that is still needed from the preceding segments.
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

/// Header of a segment.
#[derive(Debug, Clone, Copy)]
struct Header {
    /// Format version of the records.
    version: u16,
    /// Relation to the preceding segments.
    kind: Kind,
    /// Length in bytes when the file got its name; a crash cannot have damaged this part.
    initial_length: u64,
    /// Sequence number of the last frame before the segment.
    sequence: u64,
}

impl Header {
    fn encode(&self) -> Vec<u8> {
        let mut bytes = Vec::with_capacity(HEADER_BYTES);
        bytes.extend_from_slice(&MAGIC);
        bytes.extend_from_slice(&self.version.to_le_bytes());
        bytes.push(self.kind.to_byte());
        bytes.extend_from_slice(&self.initial_length.to_le_bytes());
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
        let (initial_length, rest) = rest.split_first_chunk::<8>()?;
        let (sequence, _) = rest.split_first_chunk::<8>()?;
        Some(Self {
            version: u16::from_le_bytes(*version),
            kind: Kind::from_byte(*kind)?,
            initial_length: u64::from_le_bytes(*initial_length),
            sequence: u64::from_le_bytes(*sequence),
        })
    }
}

/// Open segment that frames are appended to.
#[derive(Debug)]
pub(super) struct Segment {
    /// Path of the file.
    path: PathBuf,
    /// Open file.
    file: File,
    /// Number of the segment.
    number: u64,
    /// Format version of the records.
    version: u16,
    /// Length in bytes.
    length: u64,
    /// Sequence number of the last frame.
    sequence: u64,
}

impl Segment {
    /// Creates a segment whose frames follow frame `sequence`.
    ///
    /// A non-empty payload is written as its first frame.
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
            initial_length: length,
            sequence,
        };
        let content = [header.encode(), frames].concat();
        let name = file_name(number);
        let file = data_folder::create_file(folder, &name, &content)?;
        Ok(Self {
            path: folder.join(name),
            file,
            number,
            version: format::CURRENT,
            length,
            sequence: last,
        })
    }

    /// Returns the number of the segment.
    pub(super) fn number(&self) -> u64 {
        self.number
    }

    /// Returns the length in bytes.
    pub(super) fn length(&self) -> u64 {
        self.length
    }

    /// Returns the sequence number of the last frame.
    pub(super) fn sequence(&self) -> u64 {
        self.sequence
    }

    /// Whether the segment has the current format version.
    pub(super) fn is_current(&self) -> bool {
        self.version == format::CURRENT
    }

    /// Appends a frame and syncs it.
    pub(super) fn append(&mut self, payload: &[u8]) -> Result<(), Error> {
        let frame = Frame {
            sequence: self.sequence + 1,
            payload,
        };
        let bytes = frame.encode();
        if let Err(source) = self.file.write_all_at(&bytes, self.length) {
            return Err(self.undo_write(source));
        }
        self.file
            .sync_data()
            .map_err(|source| self.fatal("sync", source))?;
        self.length += bytes.len() as u64;
        self.sequence = frame.sequence;
        Ok(())
    }

    /// Removes a partially written frame if the write failed for lack of space.
    ///
    /// Any other failure is fatal.
    fn undo_write(&self, source: std::io::Error) -> Error {
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

/// Segment file in a data folder.
#[derive(Debug)]
pub(super) struct SegmentFile {
    /// Path of the file.
    path: PathBuf,
    /// Number of the segment.
    number: u64,
}

/// Returns the segments in a folder, ordered by number.
pub(super) fn list(folder: &Path) -> Result<Vec<SegmentFile>, Error> {
    let mut files = Vec::new();
    for item in fs::read_dir(folder).map_err(Error::io("read", folder))? {
        let path = item.map_err(Error::io("read", folder))?.path();
        if let Some(number) = parse_number(&path) {
            files.push(SegmentFile { path, number });
        }
    }
    files.sort_by_key(|segment| segment.number);
    Ok(files)
}

/// Deletes the segments before `number`, a checkpoint that replaces them.
pub(super) fn remove_before(folder: &Path, number: u64) -> Result<(), Error> {
    for segment_file in list(folder)? {
        if segment_file.number < number {
            fs::remove_file(&segment_file.path).map_err(Error::io("delete", &segment_file.path))?;
        }
    }
    data_folder::sync_folder(folder)
}

/// Replays the segments into `image` and truncates a torn last frame.
///
/// Returns the last segment, opened for appending, and the total size in bytes of the other
/// segments that are still needed.
pub(super) fn replay(files: &[SegmentFile], image: &mut Image) -> Result<(Segment, u64), Error> {
    let mut headers = Vec::with_capacity(files.len());
    for segment_file in files {
        headers.push(segment_file.read_header()?);
    }
    let start = headers
        .iter()
        .rposition(|header| header.kind == Kind::Checkpoint)
        .ok_or_else(|| Error::corrupt(&files[0].path, 0, "the preceding segments are missing"))?;
    let (files, headers) = (&files[start..], &headers[start..]);
    let last = files.len() - 1;
    let mut sequence = headers[0].sequence;
    let (mut older_bytes, mut end, mut file_length) = (0, 0, 0);
    // One segment at a time is held in memory.
    for (position, (segment_file, header)) in files.iter().zip(headers).enumerate() {
        older_bytes += end;
        let is_last = position == last;
        (end, file_length) = segment_file.replay(header, is_last, &mut sequence, image)?;
    }
    let segment = reopen(&files[last], &headers[last], end, file_length, sequence)?;
    Ok((segment, older_bytes))
}

impl SegmentFile {
    /// Reads the header.
    fn read_header(&self) -> Result<Header, Error> {
        let mut bytes = Vec::with_capacity(HEADER_BYTES);
        File::open(&self.path)
            .and_then(|file| file.take(HEADER_BYTES as u64).read_to_end(&mut bytes))
            .map_err(Error::io("read", &self.path))?;
        Header::decode(&bytes).ok_or_else(|| Error::corrupt(&self.path, 0, "the header is damaged"))
    }

    /// Replays the frames into `image`. Returns the length in bytes of the intact part and of the file.
    fn replay(
        &self,
        header: &Header,
        is_last: bool,
        sequence: &mut u64,
        image: &mut Image,
    ) -> Result<(u64, usize), Error> {
        let bytes = fs::read(&self.path).map_err(Error::io("read", &self.path))?;
        let reader = Reader {
            path: &self.path,
            header,
            bytes: &bytes,
            is_last,
        };
        Ok((reader.replay(sequence, image)?, bytes.len()))
    }
}

/// Opens the last segment for appending, truncated to `length`.
fn reopen(
    segment_file: &SegmentFile,
    header: &Header,
    length: u64,
    file_length: usize,
    sequence: u64,
) -> Result<Segment, Error> {
    let path = &segment_file.path;
    let file = OpenOptions::new()
        .read(true)
        .write(true)
        .open(path)
        .map_err(Error::io("open", path))?;
    if length < file_length as u64 {
        file.set_len(length).map_err(Error::io("truncate", path))?;
    }
    // The previous process may have exited between write and sync, so the replayed frames may not
    // be durable yet.
    file.sync_all().map_err(Error::io("sync", path))?;
    Ok(Segment {
        path: path.clone(),
        file,
        number: segment_file.number,
        version: header.version,
        length,
        sequence,
    })
}

/// Reader of the frames of one segment.
struct Reader<'a> {
    /// Path of the file.
    path: &'a Path,
    /// Decoded header.
    header: &'a Header,
    /// Content of the file, including the header.
    bytes: &'a [u8],
    /// Whether this is the last segment, the only one whose end a crash may have torn.
    is_last: bool,
}

impl Reader<'_> {
    /// Replays the frames into `image` and returns the length in bytes of the intact part.
    fn replay(&self, sequence: &mut u64, image: &mut Image) -> Result<u64, Error> {
        let version = self.header.version;
        let decode = format::decoder(version).ok_or_else(|| Error::Version {
            file: self.path.to_path_buf(),
            version,
        })?;
        if self.header.sequence != *sequence {
            return Err(self.corrupt(0, "a preceding segment is missing"));
        }
        let mut offset = HEADER_BYTES;
        while offset < self.bytes.len() {
            let Some(frame) = Frame::decode(&self.bytes[offset..]) else {
                self.check_torn(offset)?;
                break;
            };
            if frame.sequence != *sequence + 1 {
                return Err(self.corrupt(offset, "a preceding frame is missing"));
            }
            let records = decode(frame.payload)
                .ok_or_else(|| self.corrupt(offset, "the records cannot be decoded"))?;
            for record in &records {
                image
                    .apply(record)
                    .map_err(|_| self.corrupt(offset, "a preceding entry is missing"))?;
            }
            *sequence = frame.sequence;
            offset += frame.size();
        }
        if (offset as u64) < self.header.initial_length {
            return Err(self.corrupt(offset, "the file is shorter than when it was created"));
        }
        Ok(offset as u64)
    }

    /// Checks that the invalid frame at `offset` can be the result of a crash during a write.
    fn check_torn(&self, offset: usize) -> Result<(), Error> {
        if !self.is_last || (offset as u64) < self.header.initial_length {
            return Err(self.corrupt(offset, "a synced frame is damaged"));
        }
        if frame::contains_frame(&self.bytes[offset + 1..]) {
            return Err(self.corrupt(offset, "a damaged frame is followed by intact ones"));
        }
        Ok(())
    }

    fn corrupt(&self, offset: usize, reason: &str) -> Error {
        Error::corrupt(self.path, offset as u64, reason)
    }
}

/// Returns the file name of segment `number`.
fn file_name(number: u64) -> String {
    format!("{number:016}.{EXTENSION}")
}

/// Returns the segment number in a file name, if the file is a segment.
fn parse_number(path: &Path) -> Option<u64> {
    if path.extension()?.to_str()? != EXTENSION {
        return None;
    }
    path.file_stem()?.to_str()?.parse().ok()
}
