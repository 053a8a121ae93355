//! Results of opening a data folder.

use millpass_proto::{GroupId, HardState, LogEntry, MemberId, Snapshot, SnapshotMeta};
use serde::{Deserialize, Serialize};
use std::fmt;
use std::path::PathBuf;

/// Identity of the member that a folder belongs to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberIdentity {
    /// Group of the member.
    pub group: GroupId,
    /// Member. After its folder is wiped, a member must rejoin with a new id.
    pub member: MemberId,
}

/// Content of a data folder.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RestoredStorage {
    /// Member that the folder belongs to.
    pub identity: MemberIdentity,
    /// Term and vote.
    pub hard_state: HardState,
    /// Membership of the initialization, at position zero.
    pub initial: SnapshotMeta,
    /// Newest snapshot, if one was saved.
    pub snapshot: Option<Snapshot>,
    /// Entries after the snapshot.
    pub entries: Vec<LogEntry>,
    /// Repairs made while opening, to be logged.
    pub notes: Vec<RecoveryNote>,
}

impl RestoredStorage {
    /// Returns the metadata of the newest snapshot, or the initial membership.
    pub fn snapshot_meta(&self) -> &SnapshotMeta {
        match &self.snapshot {
            Some(snapshot) => &snapshot.meta,
            None => &self.initial,
        }
    }
}

/// A repair without loss of acknowledged data, or a failed cleanup.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RecoveryNote {
    /// An unacknowledged record was cut off.
    TornTailCut {
        /// File.
        file: PathBuf,
        /// New length in bytes.
        length: u64,
        /// Number of bytes cut off.
        bytes: u64,
    },
    /// An incomplete file was removed.
    TemporaryFileRemoved {
        /// File.
        file: PathBuf,
    },
    /// A leftover segment or snapshot covered by a newer snapshot was removed.
    CoveredFileRemoved {
        /// File.
        file: PathBuf,
    },
    /// An obsolete file could not be removed; the next start retries.
    FileKept {
        /// File.
        file: PathBuf,
        /// Error message.
        reason: String,
    },
    /// The log ended before the snapshot, whose installation was interrupted, and was replaced.
    LogReplaced {
        /// Number of entries dropped.
        dropped: u64,
    },
}

impl fmt::Display for RecoveryNote {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            RecoveryNote::TornTailCut {
                file,
                length,
                bytes,
            } => write!(
                formatter,
                "repair=torn_tail_cut file={} length={length} bytes={bytes}",
                file.display()
            ),
            RecoveryNote::TemporaryFileRemoved { file } => write!(
                formatter,
                "repair=temporary_file_removed file={}",
                file.display()
            ),
            RecoveryNote::CoveredFileRemoved { file } => write!(
                formatter,
                "repair=covered_file_removed file={}",
                file.display()
            ),
            RecoveryNote::FileKept { file, reason } => write!(
                formatter,
                "repair=file_kept file={} reason={reason:?}",
                file.display()
            ),
            RecoveryNote::LogReplaced { dropped } => {
                write!(formatter, "repair=log_replaced dropped={dropped}")
            }
        }
    }
}
