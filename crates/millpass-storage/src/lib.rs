//! Durable storage of a control member: write-ahead log, hard state and snapshots.
//!
//! Files of a data folder:
//!
//! | file | content |
//! |---|---|
//! | `lock` | locked by the process using the folder |
//! | `identity` | group, member and initial membership; written last by [`Storage::initialize`] |
//! | `log-NNNN` | a segment of the write-ahead log: hard states, entries, log replacements |
//! | `snapshot-NNNN` | the newest snapshot |
//! | `*.tmp` | an incomplete file; removed at the next start |
//!
//! Data is synced when a write call returns. An unacknowledged tail (a truncated or zero-filled
//! record) is cut off at the next start and reported as a [`RecoveryNote`]. If a complete record does
//! not match its checksum, opening fails and nothing is deleted.

mod append_file;
mod data_folder;
mod error;
mod file_system;
mod files;
mod opening;
mod options;
mod record;
mod replay;
mod restored;
mod segment;
mod snapshot_file;
mod storage;

pub use append_file::AppendFile;
pub use error::StorageError;
pub use file_system::{FileSystem, SystemFiles, open_truncated};
pub use options::StorageOptions;
pub use restored::{MemberIdentity, RecoveryNote, RestoredStorage};
pub use storage::{Storage, StorageWrite};
