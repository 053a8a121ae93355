//! Storage options and the disk usage they imply.

use crate::data_folder::DataFolder;
use crate::error::StorageError;
use crate::file_system::{FileSystem, SystemFiles};
use std::path::Path;
use std::sync::Arc;

const MEGABYTE: u64 = 1_000_000;
/// Space for votes, some changes and a small snapshot. Prevents restart loops on a full disk, where
/// a member would start and then fail at one of its first writes.
const MINIMUM_FREE_BYTES: u64 = 256 * 1024;
/// Maximum segments: one covered by the snapshot in progress and two successors.
const MAXIMUM_SEGMENTS: u64 = 3;
/// Maximum copies of the state in addition to the segments: the newest snapshot, the one being
/// written, and a final write as large as the state.
const MAXIMUM_STATE_COPIES: u64 = 3;

/// Storage options.
#[derive(Clone, Debug)]
pub struct StorageOptions {
    /// Segment size in bytes from which a new segment is started.
    pub segment_bytes: u64,
    /// Free bytes required to open a folder.
    pub minimum_free_bytes: u64,
    /// Largest expected replicated state in bytes; limits the size of a snapshot or write.
    pub largest_state_bytes: u64,
    /// Size of the disk in bytes; `None` if unknown.
    pub disk_bytes: Option<u64>,
    /// File system; tests inject failures.
    pub files: Arc<dyn FileSystem>,
}

impl Default for StorageOptions {
    fn default() -> Self {
        StorageOptions {
            segment_bytes: 8 * MEGABYTE,
            minimum_free_bytes: MINIMUM_FREE_BYTES,
            largest_state_bytes: 16 * MEGABYTE,
            disk_bytes: None,
            files: Arc::new(SystemFiles),
        }
    }
}

impl StorageOptions {
    /// Returns the maximum size of a folder in bytes, provided that the state is not larger than expected.
    pub fn maximum_bytes(&self) -> u64 {
        let segments = MAXIMUM_SEGMENTS.saturating_mul(self.segment_bytes);
        let states = MAXIMUM_STATE_COPIES.saturating_mul(self.largest_state_bytes);
        segments
            .saturating_add(states)
            .saturating_add(self.minimum_free_bytes)
    }

    /// Fails if the disk is smaller than [`Self::maximum_bytes`].
    pub(crate) fn check(&self) -> Result<(), StorageError> {
        let required = self.maximum_bytes();
        match self.disk_bytes {
            Some(disk) if disk < required => Err(StorageError::DiskTooSmall { disk, required }),
            _ => Ok(()),
        }
    }

    pub(crate) fn folder(&self, path: &Path) -> DataFolder {
        DataFolder {
            path: path.to_owned(),
            files: self.files.clone(),
        }
    }
}
