//! Durable storage of a control member: write-ahead log, hard state and snapshots.
//!
//! A folder holds:
//!
//! | file | content |
//! |---|---|
//! | `lock` | locked by the process that uses the folder |
//! | `identity` | group, member and initial membership; written last by [`Storage::initialize`] |
//! | `log-NNNN` | a segment of the write-ahead log: hard states, entries, log replacements |
//! | `snapshot-NNNN` | the newest snapshot |
//! | `*.tmp` | a file that was being written when the process died; removed at the next start |
//!
//! What a call to write has returned for is synced. A tail that was never acknowledged (a record
//! cut short or zero-filled) is cut off at the next start, with a note. A complete record that
//! does not match its checksum is refused, and nothing is deleted.

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
