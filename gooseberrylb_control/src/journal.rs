//! The disk side of the control state: records are synced before anyone relies on them.
//!
//! A data folder holds the id of the folder, a lock and numbered segments. A segment is a header
//! and frames; a frame holds the records of one [`Journal::append`] with its length, a CRC32C and
//! a number. Each frame is synced before the next is written, so a crash can spoil no frame but
//! the last: a bad last frame is cut off, and any other bad frame is damage and is refused. A
//! snapshot begins a new segment with all that is still of use, and the older ones are deleted.

use std::fs::File;
use std::io;
use std::path::{Path, PathBuf};
use std::sync::Arc;

use gooseberrylb_config::number::{Bytes, Index};
use thiserror::Error as ThisError;

use crate::consensus::{Persisted, Record};
use crate::membership::Folder;

use image::Image;
use segment::{Kind, Segment};

mod format;
mod frame;
mod home;
mod image;
mod segment;

/// The size at which a segment is closed and the next one begun.
const SEGMENT_BYTES: u64 = 4 * 1024 * 1024;

/// Why the journal could not be opened or did not take records.
#[derive(Debug, ThisError)]
pub enum Error {
    /// There is no space; nothing of the records counts as written, and more may be tried later.
    #[error("the data folder has no space left")]
    Full,
    /// Another process uses the folder.
    #[error("{} is in use by another process", folder.display())]
    Locked {
        /// The folder.
        folder: PathBuf,
    },
    /// A file is damaged where a crash cannot have damaged it.
    #[error("{} is damaged at offset {offset}: {reason}", file.display())]
    Corrupt {
        /// The file.
        file: PathBuf,
        /// The place of the damage in bytes.
        offset: u64,
        /// What is wrong there.
        reason: Arc<str>,
    },
    /// A file was written by a later release.
    #[error("{} has format {version}, which this release does not know", file.display())]
    Version {
        /// The file.
        file: PathBuf,
        /// Its format.
        version: u16,
    },
    /// An entry does not follow on from those that are kept; nothing was written.
    #[error("entry {index} does not follow on from the entries in the journal")]
    Gap {
        /// The entry.
        index: Index,
    },
    /// Input or output failed, and what is on disk is no longer known: the process must end.
    #[error("cannot {action} {}", file.display())]
    Io {
        /// What was tried.
        action: &'static str,
        /// The file.
        file: PathBuf,
        /// Why it failed.
        source: io::Error,
    },
    /// An earlier write or sync failed, so that nothing more can be relied upon.
    #[error("an earlier write or sync of the journal failed")]
    Failed,
}

impl Error {
    /// Makes the error of an action on a file.
    fn io(action: &'static str, file: &Path) -> impl FnOnce(io::Error) -> Self {
        move |source| {
            if is_full(&source) {
                return Self::Full;
            }
            Self::fatal(action, file, source)
        }
    }

    /// Makes the error of an action after which it is not known what is on disk.
    fn fatal(action: &'static str, file: &Path, source: io::Error) -> Self {
        Self::Io {
            action,
            file: file.to_path_buf(),
            source,
        }
    }

    /// Makes the error of a damaged file.
    fn corrupt(file: &Path, offset: u64, reason: &str) -> Self {
        Self::Corrupt {
            file: file.to_path_buf(),
            offset,
            reason: reason.into(),
        }
    }
}

/// Whether there was no space for what was to be written.
fn is_full(error: &io::Error) -> bool {
    matches!(
        error.kind(),
        io::ErrorKind::StorageFull | io::ErrorKind::QuotaExceeded | io::ErrorKind::FileTooLarge
    )
}

/// What was found in a data folder.
#[derive(Debug)]
pub struct Recovered {
    /// The folder's id; a new one, if the folder was empty.
    pub folder: Folder,
    /// What a node starts with.
    pub persisted: Persisted,
}

/// The open journal of one data folder.
#[derive(Debug)]
pub struct Journal {
    /// The data folder.
    folder: PathBuf,
    /// Holds off other processes for as long as it is open.
    _lock: File,
    /// What the records have added up to.
    image: Image,
    /// The segment that is written to.
    active: Segment,
    /// The size of the older segments that are still of use.
    older_bytes: u64,
    /// The most that the segments may hold together.
    limit: Option<Bytes>,
    /// Whether a write or sync failed.
    failed: bool,
}

impl Journal {
    /// Opens the folder, creates what is missing and recovers what is there.
    pub fn open(folder: &Path) -> Result<(Self, Recovered), Error> {
        let lock = home::lock(folder)?;
        let files = segment::list(folder)?;
        let id = home::id(folder, files.is_empty())?;
        let mut image = Image::default();
        let (active, older_bytes) = match files.last() {
            Some(_) => segment::replay(&files, &mut image)?,
            None => (Segment::create(folder, 1, Kind::Checkpoint, 0, &[])?, 0),
        };
        let recovered = Recovered {
            folder: id,
            persisted: image.persisted(),
        };
        let journal = Self {
            folder: folder.to_path_buf(),
            _lock: lock,
            image,
            active,
            older_bytes,
            limit: None,
            failed: false,
        };
        Ok((journal, recovered))
    }

    /// Bounds the size of the segments; what would go beyond is refused as [`Error::Full`].
    pub fn with_limit(mut self, limit: Bytes) -> Self {
        self.limit = Some(limit);
        self
    }

    /// The size of the segments that are in use.
    pub fn size(&self) -> Bytes {
        Bytes(self.older_bytes + self.active.length())
    }

    /// Writes the records and syncs them; they survive once this returns.
    pub fn append(&mut self, records: &[Record]) -> Result<(), Error> {
        if self.failed {
            return Err(Error::Failed);
        }
        if records.is_empty() {
            return Ok(());
        }
        let begins_anew = records
            .iter()
            .any(|record| matches!(record, Record::Snapshot(_)));
        let result = if begins_anew {
            self.checkpoint(records)
        } else {
            self.extend(records)
        };
        let is_fatal = match &result {
            Ok(()) | Err(Error::Full | Error::Gap { .. }) => false,
            Err(_) => true,
        };
        self.failed = is_fatal;
        result
    }

    /// Writes the records behind those in the active segment.
    fn extend(&mut self, records: &[Record]) -> Result<(), Error> {
        self.image.check(records)?;
        let payload = format::encode(records);
        self.check_limit(self.size().0 + frame::size(&payload))?;
        if self.active.length() >= SEGMENT_BYTES || !self.active.is_current() {
            self.rotate()?;
        }
        self.active.append(&payload)?;
        for record in records {
            self.image.apply(record)?;
        }
        Ok(())
    }

    fn rotate(&mut self) -> Result<(), Error> {
        let number = self.active.number() + 1;
        let sequence = self.active.sequence();
        let next = Segment::create(&self.folder, number, Kind::Continuation, sequence, &[])?;
        self.older_bytes += self.active.length();
        self.active = next;
        Ok(())
    }

    /// Begins a new segment with all that is of use, and deletes the older ones.
    fn checkpoint(&mut self, records: &[Record]) -> Result<(), Error> {
        let mut image = self.image.clone();
        for record in records {
            image.apply(record)?;
        }
        let payload = format::encode(&image.records());
        self.check_limit(frame::size(&payload))?;
        let number = self.active.number() + 1;
        let sequence = self.active.sequence();
        let folder = &self.folder;
        self.active = Segment::create(folder, number, Kind::Checkpoint, sequence, &payload)?;
        self.image = image;
        self.older_bytes = 0;
        segment::remove_before(folder, number)
    }

    fn check_limit(&self, size: u64) -> Result<(), Error> {
        match self.limit {
            Some(limit) if size > limit.0 => Err(Error::Full),
            Some(_) | None => Ok(()),
        }
    }
}
