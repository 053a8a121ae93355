//! File names, file headers, and writing whole files so that they appear complete or not at all.

use crate::error::{AtPath, StorageError};
use std::fs::{self, File, TryLockError};
use std::io::Write;
use std::path::{Path, PathBuf};

/// Format version this release writes and reads.
pub(crate) const FORMAT_VERSION: u32 = 1;

/// Bytes before the content of each file: magic number, version, kind.
pub(crate) const HEADER_BYTES: usize = 16;

const MAGIC: &[u8; 8] = b"millpass";
const TEMPORARY_SUFFIX: &str = ".tmp";
const LOCK_NAME: &str = "lock";
const IDENTITY_NAME: &str = "identity";
const SEGMENT_PREFIX: &str = "log-";
const SNAPSHOT_PREFIX: &str = "snapshot-";

/// Kind of a file.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum FileKind {
    /// The identity.
    Identity,
    /// A log segment.
    Segment,
    /// A snapshot.
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

/// The header of a new file.
pub(crate) fn header(kind: FileKind) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(HEADER_BYTES);
    bytes.extend_from_slice(MAGIC);
    bytes.extend_from_slice(&FORMAT_VERSION.to_le_bytes());
    bytes.extend_from_slice(kind.tag());
    bytes
}

/// Checks a file's header.
pub(crate) fn check_header(path: &Path, bytes: &[u8], kind: FileKind) -> Result<(), StorageError> {
    if bytes.len() < HEADER_BYTES {
        return Err(StorageError::corrupt(
            path,
            0,
            "the file header is cut short",
        ));
    }
    if &bytes[..8] != MAGIC || &bytes[12..HEADER_BYTES] != kind.tag() {
        return Err(StorageError::corrupt(
            path,
            0,
            "the file header is not one of millpass",
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

/// Path of the identity file.
pub(crate) fn identity_path(folder: &Path) -> PathBuf {
    folder.join(IDENTITY_NAME)
}

/// Path of a log segment.
pub(crate) fn segment_path(folder: &Path, number: u64) -> PathBuf {
    folder.join(format!("{SEGMENT_PREFIX}{number:016x}"))
}

/// Path of the snapshot at a log index.
pub(crate) fn snapshot_path(folder: &Path, index: u64) -> PathBuf {
    folder.join(format!("{SNAPSHOT_PREFIX}{index:016x}"))
}

/// What a folder holds, by file name.
#[derive(Debug, Default)]
pub(crate) struct FolderContent {
    /// Segment numbers, ascending.
    pub(crate) segments: Vec<u64>,
    /// Snapshot indexes, ascending.
    pub(crate) snapshots: Vec<u64>,
    /// Files left half-written.
    pub(crate) temporary: Vec<PathBuf>,
}

/// Lists a folder.
pub(crate) fn list(folder: &Path) -> Result<FolderContent, StorageError> {
    let mut content = FolderContent::default();
    for entry in fs::read_dir(folder).at(folder)? {
        let path = entry.at(folder)?.path();
        let Some(name) = path.file_name().and_then(|name| name.to_str()) else {
            continue;
        };
        if name.ends_with(TEMPORARY_SUFFIX) {
            content.temporary.push(path);
        } else if let Some(number) = number_after(name, SEGMENT_PREFIX) {
            content.segments.push(number);
        } else if let Some(index) = number_after(name, SNAPSHOT_PREFIX) {
            content.snapshots.push(index);
        }
    }
    content.segments.sort_unstable();
    content.snapshots.sort_unstable();
    content.temporary.sort_unstable();
    Ok(content)
}

fn number_after(name: &str, prefix: &str) -> Option<u64> {
    u64::from_str_radix(name.strip_prefix(prefix)?, 16).ok()
}

/// Locks a folder for this process until the file is dropped.
pub(crate) fn lock(folder: &Path) -> Result<File, StorageError> {
    let path = folder.join(LOCK_NAME);
    let file = File::options()
        .create(true)
        .truncate(false)
        .write(true)
        .open(&path)
        .at(&path)?;
    match file.try_lock() {
        Ok(()) => Ok(file),
        Err(TryLockError::WouldBlock) => Err(StorageError::Locked {
            folder: folder.to_owned(),
        }),
        Err(TryLockError::Error(source)) => Err(StorageError::io(&path, source)),
    }
}

/// Writes a whole file: to a temporary name, synced, then renamed, then the folder synced.
pub(crate) fn write_whole(path: &Path, parts: &[&[u8]]) -> Result<(), StorageError> {
    let mut temporary = path.as_os_str().to_owned();
    temporary.push(TEMPORARY_SUFFIX);
    let temporary = PathBuf::from(temporary);
    let mut file = File::create(&temporary).at(&temporary)?;
    for part in parts {
        file.write_all(part).at(&temporary)?;
    }
    file.sync_all().at(&temporary)?;
    fs::rename(&temporary, path).at(path)?;
    sync_folder(parent(path))
}

/// Makes a folder with those above it that are missing, and syncs the name of each: an identity in a folder whose own
/// name is lost with the power is lost as well.
pub(crate) fn create_folder(folder: &Path) -> Result<(), StorageError> {
    let is_missing = |folder: &&Path| !folder.as_os_str().is_empty() && !folder.exists();
    let missing: Vec<&Path> = folder.ancestors().take_while(is_missing).collect();
    fs::create_dir_all(folder).at(folder)?;
    for made in missing {
        sync_folder(parent(made))?;
    }
    Ok(())
}

/// Folder that holds a file or folder.
fn parent(path: &Path) -> &Path {
    match path.parent() {
        Some(parent) if !parent.as_os_str().is_empty() => parent,
        _ => Path::new("."),
    }
}

/// Syncs the names in a folder.
pub(crate) fn sync_folder(folder: &Path) -> Result<(), StorageError> {
    File::open(folder)
        .and_then(|handle| handle.sync_all())
        .at(folder)
}
