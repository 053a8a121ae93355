//! Snapshot and identity files: one checksummed value after the header.

use crate::data_folder::DataFolder;
use crate::error::{AtPath, StorageError};
use crate::files::{self, FileKind, HEADER_BYTES};
use crate::restored::MemberIdentity;
use millpass_proto::codec;
use millpass_proto::{Snapshot, SnapshotMeta};
use serde::{Deserialize, Serialize, de::DeserializeOwned};
use std::path::Path;

/// Content of the identity file.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct IdentityRecord {
    /// Member that the folder belongs to.
    pub(crate) identity: MemberIdentity,
    /// Membership at position zero.
    pub(crate) initial: SnapshotMeta,
}

pub(crate) fn write_identity(
    folder: &DataFolder,
    record: &IdentityRecord,
) -> Result<(), StorageError> {
    let path = files::identity_path(&folder.path);
    write_value(folder, &path, FileKind::Identity, record)
}

/// Reads the identity file, if it exists.
pub(crate) fn read_identity(folder: &DataFolder) -> Result<Option<IdentityRecord>, StorageError> {
    let path = files::identity_path(&folder.path);
    if !folder.files.exists(&path).at(&path)? {
        return Ok(None);
    }
    read_value(folder, &path, FileKind::Identity).map(Some)
}

pub(crate) fn write_snapshot(folder: &DataFolder, snapshot: &Snapshot) -> Result<(), StorageError> {
    let path = files::snapshot_path(&folder.path, snapshot.meta.last.index);
    write_value(folder, &path, FileKind::Snapshot, snapshot)
}

/// Reads the snapshot at a log index.
pub(crate) fn read_snapshot(folder: &DataFolder, index: u64) -> Result<Snapshot, StorageError> {
    let path = files::snapshot_path(&folder.path, index);
    let snapshot: Snapshot = read_value(folder, &path, FileKind::Snapshot)?;
    if snapshot.meta.last.index != index {
        let reason = "the snapshot index differs from the file name";
        return Err(StorageError::corrupt(&path, HEADER_BYTES as u64, reason));
    }
    Ok(snapshot)
}

fn write_value<T: Serialize>(
    folder: &DataFolder,
    path: &Path,
    kind: FileKind,
    value: &T,
) -> Result<(), StorageError> {
    let body = codec::encode(value)?;
    folder.write_atomic(path, &[&files::header(kind), &body])
}

fn read_value<T: DeserializeOwned>(
    folder: &DataFolder,
    path: &Path,
    kind: FileKind,
) -> Result<T, StorageError> {
    let bytes = folder.read(path)?;
    files::check_header(path, &bytes, kind)?;
    codec::decode(&bytes[HEADER_BYTES..]).map_err(|_| {
        let reason = "the content does not match its checksum";
        StorageError::corrupt(path, HEADER_BYTES as u64, reason)
    })
}
