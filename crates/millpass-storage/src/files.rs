//! File names and file headers.

use crate::error::StorageError;
use std::path::{Path, PathBuf};

/// Format version that this release writes and reads.
pub(crate) const FORMAT_VERSION: u32 = 1;

/// Size of the file header: magic number, version, kind.
pub(crate) const HEADER_BYTES: usize = 16;

const MAGIC: &[u8; 8] = b"millpass";
const TEMPORARY_SUFFIX: &str = ".tmp";
/// Name of the lock file.
pub(crate) const LOCK_NAME: &str = "lock";
const IDENTITY_NAME: &str = "identity";
const SEGMENT_PREFIX: &str = "log-";
const SNAPSHOT_PREFIX: &str = "snapshot-";

/// Kind of a file.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum FileKind {
    Identity,
    Segment,
    Snapshot,
}

impl FileKind {
    fn tag(self) -> &'static [u8; 4] {
        match self {
            FileKind::Identity => b"iden",
            FileKind::Segment => b"segm",
            FileKind::Snapshot => b"snap",
        }
    }
}

/// Returns the header of a new file.
pub(crate) fn header(kind: FileKind) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(HEADER_BYTES);
    bytes.extend_from_slice(MAGIC);
    bytes.extend_from_slice(&FORMAT_VERSION.to_le_bytes());
    bytes.extend_from_slice(kind.tag());
    bytes
}

/// Checks the header of a file.
pub(crate) fn check_header(path: &Path, bytes: &[u8], kind: FileKind) -> Result<(), StorageError> {
    if bytes.len() < HEADER_BYTES {
        return Err(StorageError::corrupt(
            path,
            0,
            "the file header is truncated",
        ));
    }
    if &bytes[..8] != MAGIC || &bytes[12..HEADER_BYTES] != kind.tag() {
        return Err(StorageError::corrupt(
            path,
            0,
            "the file header is not a valid millpass header",
        ));
    }
    let found = u32::from_le_bytes([bytes[8], bytes[9], bytes[10], bytes[11]]);
    if found != FORMAT_VERSION {
        return Err(StorageError::UnknownVersion {
            file: path.to_owned(),
            found,
            supported: FORMAT_VERSION,
        });
    }
    Ok(())
}

pub(crate) fn identity_path(folder: &Path) -> PathBuf {
    folder.join(IDENTITY_NAME)
}

pub(crate) fn segment_path(folder: &Path, number: u64) -> PathBuf {
    folder.join(format!("{SEGMENT_PREFIX}{number:016x}"))
}

/// Returns the path of the snapshot at a log index.
pub(crate) fn snapshot_path(folder: &Path, index: u64) -> PathBuf {
    folder.join(format!("{SNAPSHOT_PREFIX}{index:016x}"))
}

/// Files of a data folder, by kind.
#[derive(Debug, Default)]
pub(crate) struct FolderContent {
    /// Segment numbers, ascending.
    pub(crate) segments: Vec<u64>,
    /// Snapshot indexes, ascending.
    pub(crate) snapshots: Vec<u64>,
    /// Incomplete files.
    pub(crate) temporary: Vec<PathBuf>,
}

impl FolderContent {
    /// Adds a file, classified by its name; unknown files are ignored.
    pub(crate) fn add(&mut self, path: PathBuf) {
        let Some(name) = path.file_name().and_then(|name| name.to_str()) else {
            return;
        };
        if name.ends_with(TEMPORARY_SUFFIX) {
            self.temporary.push(path);
        } else if let Some(number) = number_after(name, SEGMENT_PREFIX) {
            self.segments.push(number);
        } else if let Some(index) = number_after(name, SNAPSHOT_PREFIX) {
            self.snapshots.push(index);
        }
    }

    pub(crate) fn sort(&mut self) {
        self.segments.sort_unstable();
        self.snapshots.sort_unstable();
        self.temporary.sort_unstable();
    }
}

fn number_after(name: &str, prefix: &str) -> Option<u64> {
    u64::from_str_radix(name.strip_prefix(prefix)?, 16).ok()
}

/// Returns the temporary path of a file while it is written.
pub(crate) fn temporary_path(path: &Path) -> PathBuf {
    let mut name = path.as_os_str().to_owned();
    name.push(TEMPORARY_SUFFIX);
    PathBuf::from(name)
}

/// Returns the parent folder; `.` for a bare name.
pub(crate) fn parent(path: &Path) -> &Path {
    match path.parent() {
        Some(parent) if !parent.as_os_str().is_empty() => parent,
        _ => Path::new("."),
    }
}
