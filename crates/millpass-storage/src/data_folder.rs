//! A member's folder: whole files that appear complete or not at all, and what is in the folder.

use crate::error::{AtPath, StorageError};
use crate::file_system::FileSystem;
use crate::files::{self, FolderContent, LOCK_NAME};
use std::fs::File;
use std::path::{Path, PathBuf};
use std::sync::Arc;

/// Path of a folder, and the file system that it is in.
#[derive(Clone, Debug)]
pub(crate) struct DataFolder {
    /// Path.
    pub(crate) path: PathBuf,
    /// File system.
    pub(crate) files: Arc<dyn FileSystem>,
}

impl DataFolder {
    /// Whether it is there.
    pub(crate) fn exists(&self) -> Result<bool, StorageError> {
        self.files.exists(&self.path).at(&self.path)
    }

    /// Makes the folder with those above it that are missing, and syncs the name of each: an identity in a folder whose
    /// own name is lost with the power is lost as well.
    pub(crate) fn create(&self) -> Result<(), StorageError> {
        let is_missing = |folder: &&Path| {
            let named = !folder.as_os_str().is_empty();
            named && !self.files.exists(folder).unwrap_or(false)
        };
        let missing: Vec<&Path> = self.path.ancestors().take_while(is_missing).collect();
        self.files.create_folder(&self.path).at(&self.path)?;
        for made in missing {
            let above = files::parent(made);
            self.files.sync_folder(above).at(above)?;
        }
        Ok(())
    }

    /// Locks the folder for this process until the file is dropped.
    pub(crate) fn lock(&self) -> Result<File, StorageError> {
        let path = self.path.join(LOCK_NAME);
        let locked = self.files.lock(&path).at(&path)?;
        locked.ok_or_else(|| StorageError::Locked {
            folder: self.path.clone(),
        })
    }

    /// What it holds.
    pub(crate) fn list(&self) -> Result<FolderContent, StorageError> {
        let mut content = FolderContent::default();
        for path in self.files.list(&self.path).at(&self.path)? {
            content.take(path);
        }
        content.sort();
        Ok(content)
    }

    /// Bytes of all its files. One that is removed meanwhile counts as none.
    pub(crate) fn bytes(&self) -> Result<u64, StorageError> {
        let paths = self.files.list(&self.path).at(&self.path)?;
        let lengths = paths
            .iter()
            .map(|path| self.files.length(path).unwrap_or(0));
        Ok(lengths.sum())
    }

    /// Content of a file.
    pub(crate) fn read(&self, path: &Path) -> Result<Vec<u8>, StorageError> {
        self.files.read(path).at(path)
    }

    /// Writes a whole file: to a temporary name, synced, then renamed, then the folder synced. What cannot be written is
    /// removed again: on a full disk it would take the room that it lacks.
    pub(crate) fn write_whole(&self, path: &Path, parts: &[&[u8]]) -> Result<(), StorageError> {
        let temporary = files::temporary_path(path);
        let written = self
            .files
            .write_synced(&temporary, parts)
            .and_then(|()| self.files.rename(&temporary, path));
        if written.is_err() {
            // The next start removes it otherwise.
            let _ = self.files.remove(&temporary);
        }
        written.at(path)?;
        self.sync()
    }

    /// Removes a file.
    pub(crate) fn remove(&self, path: &Path) -> Result<(), StorageError> {
        self.files.remove(path).at(path)
    }

    /// Syncs the names in the folder.
    pub(crate) fn sync(&self) -> Result<(), StorageError> {
        self.files.sync_folder(&self.path).at(&self.path)
    }
}
