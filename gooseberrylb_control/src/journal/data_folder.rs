//! The data folder: its lock, its id, and the atomic creation of files in it.

use std::fs::{self, File, OpenOptions, TryLockError};
use std::io::Write;
use std::path::{Path, PathBuf};

use super::Error;
use crate::membership::Folder;

/// Name of the file that the process using the folder holds locked.
const LOCK_FILE: &str = "lock";

/// Name of the file that holds the id of the folder.
const ID_FILE: &str = "folder-id";

/// Creates the folder if it is missing, and locks it against other processes.
pub(super) fn lock(folder: &Path) -> Result<File, Error> {
    fs::create_dir_all(folder).map_err(Error::io("create", folder))?;
    let path = folder.join(LOCK_FILE);
    let file = OpenOptions::new()
        .create(true)
        .truncate(false)
        .write(true)
        .open(&path)
        .map_err(Error::io("open", &path))?;
    match file.try_lock() {
        Ok(()) => Ok(file),
        Err(TryLockError::WouldBlock) => Err(Error::Locked {
            folder: folder.to_path_buf(),
        }),
        Err(TryLockError::Error(source)) => Err(Error::io("lock", &path)(source)),
    }
}

/// Returns the id of the folder.
///
/// A new id is generated only for an empty folder, since a node that lost its votes must not vote
/// under the old id again.
pub(super) fn id(folder: &Path, is_empty: bool) -> Result<Folder, Error> {
    let path = folder.join(ID_FILE);
    let exists = path.try_exists().map_err(Error::io("look for", &path))?;
    match (exists, is_empty) {
        (true, _) => read_id(&path),
        (false, true) => create_id(folder),
        (false, false) => Err(Error::corrupt(
            &path,
            0,
            "segments exist but the folder id is missing",
        )),
    }
}

fn read_id(path: &Path) -> Result<Folder, Error> {
    let text = fs::read_to_string(path).map_err(Error::io("read", path))?;
    let text = text.trim_end();
    let id = u64::from_str_radix(text, 16).ok();
    let id = id.filter(|_| text.len() == 16);
    let corrupt = || Error::corrupt(path, 0, "the content is not a folder id");
    id.map(Folder).ok_or_else(corrupt)
}

fn create_id(folder: &Path) -> Result<Folder, Error> {
    let id = Folder(rand::random());
    create_file(folder, ID_FILE, format!("{id}\n").as_bytes())?;
    Ok(id)
}

/// Creates a file atomically: its content is complete and synced before it gets its name.
pub(super) fn create_file(folder: &Path, name: &str, content: &[u8]) -> Result<File, Error> {
    let path = folder.join(name);
    let temporary = temporary_path(&path);
    let file = match write_new(&temporary, content) {
        Ok(file) => file,
        Err(error) => {
            // A leftover temporary file only wastes space; the next attempt truncates it anyway.
            let _ = fs::remove_file(&temporary);
            return Err(error);
        }
    };
    fs::rename(&temporary, &path).map_err(Error::io("rename", &temporary))?;
    sync_folder(folder)?;
    Ok(file)
}

/// Writes `content` to a new file at `path` and syncs it.
fn write_new(path: &Path, content: &[u8]) -> Result<File, Error> {
    let mut file = OpenOptions::new()
        .create(true)
        .truncate(true)
        .read(true)
        .write(true)
        .open(path)
        .map_err(Error::io("create", path))?;
    file.write_all(content).map_err(Error::io("write", path))?;
    file.sync_all().map_err(Error::io("sync", path))?;
    Ok(file)
}

/// Syncs the directory entries of a folder.
///
/// A failure is fatal even if no space is left, since it is unknown which files the folder holds
/// after a crash.
pub(super) fn sync_folder(folder: &Path) -> Result<(), Error> {
    File::open(folder)
        .and_then(|file| file.sync_all())
        .map_err(|source| Error::fatal("sync", folder, source))
}

fn temporary_path(path: &Path) -> PathBuf {
    path.with_extension("tmp")
}
