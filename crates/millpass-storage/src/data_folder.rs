//! Data folder of a member, with atomic creation of files.

use crate::error::{AtPath, StorageError};
use crate::file_system::FileSystem;
use crate::files::{self, FolderContent, LOCK_NAME};
use std::fs::File;
use std::path::{Path, PathBuf};
use std::sync::Arc;

/// A folder path and its file system.
#[derive(Clone, Debug)]
pub(crate) struct DataFolder {
    pub(crate) path: PathBuf,
    pub(crate) files: Arc<dyn FileSystem>,
}

impl DataFolder {
    pub(crate) fn exists(&self) -> Result<bool, StorageError> {
        self.files.exists(&self.path).at(&self.path)
    }

    /// Creates the folder and its missing parents and syncs their directory entries, so that a
    /// power loss cannot remove a folder that holds an identity.
    pub(crate) fn create(&self) -> Result<(), StorageError> {
        let is_missing = |folder: &&Path| {
            let named = !folder.as_os_str().is_empty();
            named && !self.files.exists(folder).unwrap_or(false)
        };
        let missing: Vec<&Path> = self.path.ancestors().take_while(is_missing).collect();
        self.files.create_folder(&self.path).at(&self.path)?;
        for created in missing {
            let parent = files::parent(created);
            self.files.sync_folder(parent).at(parent)?;
        }
        Ok(())
    }

    /// Locks the folder for this process until the returned file is dropped.
    pub(crate) fn lock(&self) -> Result<File, StorageError> {
        let path = self.path.join(LOCK_NAME);
        let locked = self.files.lock(&path).at(&path)?;
        locked.ok_or_else(|| StorageError::Locked {
            folder: self.path.clone(),
        })
    }

    /// Returns the files of the folder, by kind.
    pub(crate) fn list(&self) -> Result<FolderContent, StorageError> {
        let mut content = FolderContent::default();
        for path in self.files.list(&self.path).at(&self.path)? {
            content.add(path);
        }
        content.sort();
        Ok(content)
    }

    /// Returns the total size of the files in bytes. Files removed concurrently count as 0.
    pub(crate) fn bytes(&self) -> Result<u64, StorageError> {
        let paths = self.files.list(&self.path).at(&self.path)?;
        let lengths = paths
            .iter()
            .map(|path| self.files.length(path).unwrap_or(0));
        Ok(lengths.sum())
    }

    pub(crate) fn read(&self, path: &Path) -> Result<Vec<u8>, StorageError> {
        self.files.read(path).at(path)
    }

    /// Writes a file atomically: writes and syncs a temporary file, renames it and syncs the
    /// folder. On failure the temporary file is removed to free its space.
    pub(crate) fn write_atomic(&self, path: &Path, parts: &[&[u8]]) -> Result<(), StorageError> {
        let temporary = files::temporary_path(path);
        let written = self
            .files
            .write_synced(&temporary, parts)
            .and_then(|()| self.files.rename(&temporary, path));
        if written.is_err() {
            // Best effort: the next start removes remaining temporary files.
            let _ = self.files.remove(&temporary);
        }
        written.at(path)?;
        self.sync()
    }

    pub(crate) fn remove(&self, path: &Path) -> Result<(), StorageError> {
        self.files.remove(path).at(path)
    }

    /// Syncs the directory entries of the folder.
    pub(crate) fn sync(&self) -> Result<(), StorageError> {
        self.files.sync_folder(&self.path).at(&self.path)
    }
}
