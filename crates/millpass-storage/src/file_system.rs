//! The calls by which a folder is used, behind a trait so that tests can let each of them fail.

use crate::append_file::AppendFile;
use std::fmt::Debug;
use std::fs::{self, File, TryLockError};
use std::io::{self, Seek, SeekFrom, Write};
use std::path::{Path, PathBuf};

/// A file system. Each method is the system's own call; tests replace some.
pub trait FileSystem: Debug + Send + Sync {
    /// Makes a folder with those above it that are missing.
    fn create_folder(&self, folder: &Path) -> io::Result<()> {
        fs::create_dir_all(folder)
    }

    /// Paths of what a folder holds.
    fn list(&self, folder: &Path) -> io::Result<Vec<PathBuf>> {
        fs::read_dir(folder)?
            .map(|entry| Ok(entry?.path()))
            .collect()
    }

    /// Whether there is a file or folder of this name.
    fn exists(&self, path: &Path) -> io::Result<bool> {
        path.try_exists()
    }

    /// Content of a file.
    fn read(&self, path: &Path) -> io::Result<Vec<u8>> {
        fs::read(path)
    }

    /// Length of a file in bytes.
    fn length(&self, path: &Path) -> io::Result<u64> {
        Ok(fs::metadata(path)?.len())
    }

    /// Bytes that a folder's disk has left for this process.
    fn free_bytes(&self, folder: &Path) -> io::Result<u64> {
        let disk = rustix::fs::statvfs(folder)?;
        Ok(disk.f_bavail.saturating_mul(disk.f_frsize))
    }

    /// Opens the file that a folder is locked by, and makes it if it is missing. Locked until it is dropped; none if
    /// another process holds it.
    fn lock(&self, path: &Path) -> io::Result<Option<File>> {
        let file = File::options()
            .create(true)
            .truncate(false)
            .write(true)
            .open(path)?;
        match file.try_lock() {
            Ok(()) => Ok(Some(file)),
            Err(TryLockError::WouldBlock) => Ok(None),
            Err(TryLockError::Error(error)) => Err(error),
        }
    }

    /// Makes a file with this content, over one of the same name, and syncs it.
    fn write_synced(&self, path: &Path, parts: &[&[u8]]) -> io::Result<()> {
        let mut file = File::create(path)?;
        for part in parts {
            file.write_all(part)?;
        }
        file.sync_all()
    }

    /// Opens a file to append to; it is cut to this length first.
    fn open_append(&self, path: &Path, length: u64) -> io::Result<Box<dyn AppendFile>> {
        Ok(Box::new(open_truncated(path, length)?))
    }

    /// Gives a file another name, over one that has it.
    fn rename(&self, from: &Path, to: &Path) -> io::Result<()> {
        fs::rename(from, to)
    }

    /// Removes a file.
    fn remove(&self, path: &Path) -> io::Result<()> {
        fs::remove_file(path)
    }

    /// Syncs the names in a folder.
    fn sync_folder(&self, folder: &Path) -> io::Result<()> {
        File::open(folder).and_then(|handle| handle.sync_all())
    }
}

/// Opens a file to append to, cut to this length.
pub fn open_truncated(path: &Path, length: u64) -> io::Result<File> {
    let mut file = File::options().write(true).open(path)?;
    if file.metadata()?.len() != length {
        file.set_len(length)?;
    }
    file.seek(SeekFrom::End(0))?;
    Ok(file)
}

/// The system's files as they are.
#[derive(Clone, Copy, Debug)]
pub struct SystemFiles;

impl FileSystem for SystemFiles {}
