//! Durable storage of the consensus records: a journal in which every append is synced.
//!
//! A data folder holds an id, a lock file and numbered segments. A segment is a header followed by
//! frames; a frame holds the records of one [`Journal::append`] with their length, a CRC32C and a
//! sequence number. Each frame is synced before the next one is written, so a crash can damage
//! only the last frame: an invalid last frame is truncated, and any other invalid frame is
//! reported as corruption. A snapshot starts a new segment with all records that are still needed,
//! and the older segments are deleted.

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

mod data_folder;
mod format;
mod frame;
mod image;
mod segment;

/// Size in bytes at which a segment is closed and the next one is started.
const SEGMENT_BYTES: u64 = 4 * 1024 * 1024;

/// Failure to open the journal or to append records.
#[derive(Debug, ThisError)]
pub enum Error {
    /// No space is left; none of the records were written, and the append may be retried.
    #[error("the data folder has no space left")]
    Full,
    /// Another process has locked the folder.
    #[error("{} is in use by another process", folder.display())]
    Locked {
        /// Data folder.
        folder: PathBuf,
    },
    /// A file is damaged in a place that a crash cannot have damaged.
    #[error("{} is damaged at offset {offset}: {reason}", file.display())]
    Corrupt {
        /// Path of the file.
        file: PathBuf,
        /// Byte offset of the damage.
        offset: u64,
        /// Description of the damage.
        reason: Arc<str>,
    },
    /// A file was written by a later release.
    #[error("{} has format {version}, which this release does not know", file.display())]
    Version {
        /// Path of the file.
        file: PathBuf,
        /// Format version of the file.
        version: u16,
    },
    /// An entry does not directly follow the stored entries; nothing was written.
    #[error("entry {index} does not follow on from the entries in the journal")]
    Gap {
        /// Index of the entry.
        index: Index,
    },
    /// An I/O operation failed and the content on disk is unknown; the process must exit.
    #[error("cannot {action} {}", file.display())]
    Io {
        /// Operation that failed.
        action: &'static str,
        /// Path of the file.
        file: PathBuf,
        /// Error of the operating system.
        source: io::Error,
    },
    /// An earlier write or sync failed, so the journal accepts no more records.
    #[error("an earlier write or sync of the journal failed")]
    Failed,
}

impl Error {
    /// Returns a closure that turns the I/O error of `action` into an [`Error`].
    fn io(action: &'static str, file: &Path) -> impl FnOnce(io::Error) -> Self {
        move |source| {
            if is_full(&source) {
                return Self::Full;
            }
            Self::fatal(action, file, source)
        }
    }

    /// Returns the error of an action after which the content on disk is unknown.
    fn fatal(action: &'static str, file: &Path, source: io::Error) -> Self {
        Self::Io {
            action,
            file: file.to_path_buf(),
            source,
        }
    }

    /// Returns the error for a damaged file.
    fn corrupt(file: &Path, offset: u64, reason: &str) -> Self {
        Self::Corrupt {
            file: file.to_path_buf(),
            offset,
            reason: reason.into(),
        }
    }
}

/// Whether the error means that no space was left for a write.
fn is_full(error: &io::Error) -> bool {
    matches!(
        error.kind(),
        io::ErrorKind::StorageFull | io::ErrorKind::QuotaExceeded | io::ErrorKind::FileTooLarge
    )
}

/// Content of a data folder when it was opened.
#[derive(Debug)]
pub struct Recovered {
    /// Id of the folder, newly generated if the folder was empty.
    pub folder: Folder,
    /// State that the consensus node starts with.
    pub persisted: Persisted,
}

/// Open journal of one data folder.
#[derive(Debug)]
pub struct Journal {
    /// Path of the data folder.
    folder: PathBuf,
    /// Lock file, which keeps other processes out while it is open.
    _lock: File,
    /// State that results from all records written so far.
    image: Image,
    /// Segment that records are appended to.
    active: Segment,
    /// Total size in bytes of the older segments that are still needed.
    older_bytes: u64,
    /// Maximum total size of the segments.
    limit: Option<Bytes>,
    /// Whether a write or sync has failed.
    failed: bool,
}

impl Journal {
    /// Opens the journal in `folder`, creating missing files, and recovers the stored records.
    pub fn open(folder: &Path) -> Result<(Self, Recovered), Error> {
        let lock = data_folder::lock(folder)?;
        let files = segment::list(folder)?;
        let id = data_folder::id(folder, files.is_empty())?;
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

    /// Limits the total size of the segments; an append beyond it fails with [`Error::Full`].
    pub fn with_limit(mut self, limit: Bytes) -> Self {
        self.limit = Some(limit);
        self
    }

    /// Returns the total size of the segments in use.
    pub fn size(&self) -> Bytes {
        Bytes(self.older_bytes + self.active.length())
    }

    /// Writes and syncs the records; they are durable once this returns.
    pub fn append(&mut self, records: &[Record]) -> Result<(), Error> {
        if self.failed {
            return Err(Error::Failed);
        }
        if records.is_empty() {
            return Ok(());
        }
        let has_snapshot = records
            .iter()
            .any(|record| matches!(record, Record::Snapshot(_)));
        let result = if has_snapshot {
            self.checkpoint(records)
        } else {
            self.append_to_active(records)
        };
        let is_fatal = match &result {
            Ok(()) | Err(Error::Full | Error::Gap { .. }) => false,
            Err(_) => true,
        };
        self.failed = is_fatal;
        result
    }

    /// Appends the records to the active segment, starting a new segment if it is full.
    fn append_to_active(&mut self, records: &[Record]) -> Result<(), Error> {
        self.image.check_contiguous(records)?;
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

    /// Closes the active segment and starts the next one.
    fn rotate(&mut self) -> Result<(), Error> {
        let number = self.active.number() + 1;
        let sequence = self.active.sequence();
        let next = Segment::create(&self.folder, number, Kind::Continuation, sequence, &[])?;
        self.older_bytes += self.active.length();
        self.active = next;
        Ok(())
    }

    /// Starts a new segment with all records that are still needed, and deletes the older ones.
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

    /// Fails with [`Error::Full`] if a total of `size` bytes exceeds the limit.
    fn check_limit(&self, size: u64) -> Result<(), Error> {
        match self.limit {
            Some(limit) if size > limit.0 => Err(Error::Full),
            Some(_) | None => Ok(()),
        }
    }
}
