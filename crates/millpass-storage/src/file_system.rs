//! File system calls, as a trait so that tests can inject failures.

use crate::append_file::AppendFile;
use std::fmt::Debug;
use std::fs::{self, File, TryLockError};
use std::io::{self, Seek, SeekFrom, Write};
use std::path::{Path, PathBuf};

/// A file system. The default methods use the operating system's calls.
pub trait FileSystem: Debug + Send + Sync {
    /// Creates a folder and its missing parents.
    fn create_folder(&self, folder: &Path) -> io::Result<()> {
        fs::create_dir_all(folder)
    }

    /// Returns the paths of the entries of a folder.
    fn list(&self, folder: &Path) -> io::Result<Vec<PathBuf>> {
        fs::read_dir(folder)?
            .map(|entry| Ok(entry?.path()))
            .collect()
    }

    /// Returns whether a path exists.
    fn exists(&self, path: &Path) -> io::Result<bool> {
        path.try_exists()
    }

    /// Returns the content of a file.
    fn read(&self, path: &Path) -> io::Result<Vec<u8>> {
        fs::read(path)
    }

    /// Returns the length of a file in bytes.
    fn length(&self, path: &Path) -> io::Result<u64> {
        Ok(fs::metadata(path)?.len())
    }

    /// Returns the free bytes on a folder's disk that are available to this process.
    fn free_bytes(&self, folder: &Path) -> io::Result<u64> {
        let disk = rustix::fs::statvfs(folder)?;
        Ok(disk.f_bavail.saturating_mul(disk.f_frsize))
    }

    /// Opens or creates a lock file and locks it until the returned file is dropped. Returns `None`
    /// if another process holds the lock.
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

    /// Creates or overwrites a file with this content and syncs it.
    fn write_synced(&self, path: &Path, parts: &[&[u8]]) -> io::Result<()> {
        let mut file = File::create(path)?;
        for part in parts {
            file.write_all(part)?;
        }
        file.sync_all()
    }

    /// Opens a file for appending after truncating it to `length` bytes.
    fn open_append(&self, path: &Path, length: u64) -> io::Result<Box<dyn AppendFile>> {
        Ok(Box::new(open_truncated(path, length)?))
    }

    /// Renames a file, replacing an existing one.
    fn rename(&self, from: &Path, to: &Path) -> io::Result<()> {
        fs::rename(from, to)
    }

    /// Removes a file.
    fn remove(&self, path: &Path) -> io::Result<()> {
        fs::remove_file(path)
    }

    /// Syncs the directory entries of a folder.
    fn sync_folder(&self, folder: &Path) -> io::Result<()> {
        File::open(folder).and_then(|handle| handle.sync_all())
    }
}

/// Opens a file for appending after truncating it to `length` bytes.
pub fn open_truncated(path: &Path, length: u64) -> io::Result<File> {
    let mut file = File::options().write(true).open(path)?;
    if file.metadata()?.len() != length {
        file.set_len(length)?;
    }
    file.seek(SeekFrom::End(0))?;
    Ok(file)
}

/// The operating system's file system.
#[derive(Clone, Copy, Debug)]
pub struct SystemFiles;

impl FileSystem for SystemFiles {}
