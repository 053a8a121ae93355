//! Settings of the storage, and what they bound.

use crate::data_folder::DataFolder;
use crate::error::StorageError;
use crate::file_system::{FileSystem, SystemFiles};
use std::path::Path;
use std::sync::Arc;

const MEGABYTE: u64 = 1_000_000;
/// Room in bytes that a folder must have to be opened: for votes, some changes and a small snapshot. With less, a member
/// would take part and end at one of its first writes: on a full disk, whoever started it each 0.7 s saw it end 7 times
/// in 5 s, and one that waits longer each time kept it away after there was room.
const MINIMUM_FREE_BYTES: u64 = 256 * 1024;
/// Segments that there are at most: one whose snapshot is being taken, its successor, and the one after that.
const MAXIMUM_SEGMENTS: u64 = 3;
/// States that there are at most beside the segments: the newest snapshot, the one that is written, and a write as large
/// as a state at the end of the log.
const MAXIMUM_STATE_COPIES: u64 = 3;

/// Settings of the storage.
#[derive(Clone, Debug)]
pub struct StorageOptions {
    /// Size in bytes from which a new segment is started.
    pub segment_bytes: u64,
    /// Room in bytes without which a folder is not opened.
    pub minimum_free_bytes: u64,
    /// Largest replicated state to be expected, in bytes; so large is a snapshot, and a write at most.
    pub largest_state_bytes: u64,
    /// Size of the disk in bytes; none where it is not known.
    pub disk_bytes: Option<u64>,
    /// How files are reached; tests put a failing disk in between.
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
    /// Bytes that a folder holds at most, as long as the state is not larger than expected.
    pub fn maximum_bytes(&self) -> u64 {
        let segments = MAXIMUM_SEGMENTS.saturating_mul(self.segment_bytes);
        let states = MAXIMUM_STATE_COPIES.saturating_mul(self.largest_state_bytes);
        segments
            .saturating_add(states)
            .saturating_add(self.minimum_free_bytes)
    }

    /// Refuses a disk that cannot hold that.
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
