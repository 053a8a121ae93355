//! What opening a folder returns.

use millpass_proto::{GroupId, HardState, LogEntry, MemberId, Snapshot, SnapshotMeta};
use serde::{Deserialize, Serialize};
use std::fmt;
use std::path::PathBuf;

/// Which member a folder belongs to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberIdentity {
    /// Group.
    pub group: GroupId,
    /// Member. A folder that was wiped must come back under a new one.
    pub member: MemberId,
}

/// What a folder holds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RestoredStorage {
    /// Whose folder it is.
    pub identity: MemberIdentity,
    /// Term and vote.
    pub hard_state: HardState,
    /// Membership the member was initialized with, at position zero.
    pub initial: SnapshotMeta,
    /// Newest snapshot, if any was ever saved.
    pub snapshot: Option<Snapshot>,
    /// Entries after the snapshot.
    pub entries: Vec<LogEntry>,
    /// What was repaired while opening; to be logged.
    pub notes: Vec<RecoveryNote>,
}

impl RestoredStorage {
    /// What the newest snapshot covers, or the initial membership.
    pub fn snapshot_meta(&self) -> &SnapshotMeta {
        match &self.snapshot {
            Some(snapshot) => &snapshot.meta,
            None => &self.initial,
        }
    }
}

/// A harmless repair.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RecoveryNote {
    /// A record that was never acknowledged was cut off.
    TornTailCut {
        /// File.
        file: PathBuf,
        /// New length.
        length: u64,
        /// Bytes cut.
        bytes: u64,
    },
    /// A half-written file was removed.
    TemporaryFileRemoved {
        /// File.
        file: PathBuf,
    },
    /// A segment or snapshot that a newer snapshot covers was still there; it was removed.
    CoveredFileRemoved {
        /// File.
        file: PathBuf,
    },
    /// A file that is not needed any more cannot be removed; the next start tries again.
    FileKept {
        /// File.
        file: PathBuf,
        /// Why.
        reason: String,
    },
    /// The log did not reach the snapshot, whose installation had begun; it was replaced.
    LogReplaced {
        /// Entries dropped.
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
