//! Helpers for the storage tests.

#![allow(dead_code)]

use millpass_proto::{
    Command, EntryPayload, GroupId, HardState, LogEntry, LogPosition, MemberAddress, MemberId,
    Membership, Snapshot, SnapshotMeta,
};
use millpass_storage::{
    AppendFile, FileSystem, MemberIdentity, RestoredStorage, Storage, StorageError, StorageOptions,
    open_truncated,
};
use std::fs;
use std::path::{Path, PathBuf};
use std::sync::Arc;

pub fn identity() -> MemberIdentity {
    MemberIdentity {
        group: GroupId(3),
        member: MemberId(17),
    }
}

pub fn address(member: u64) -> MemberAddress {
    MemberAddress {
        member: MemberId(member),
        zone: "north".into(),
        peer_address: "127.0.0.1:1".to_owned(),
        administration_address: "127.0.0.1:2".to_owned(),
    }
}

pub fn initial() -> SnapshotMeta {
    SnapshotMeta {
        last: LogPosition::ZERO,
        membership: Membership {
            voters: vec![address(17)],
            outgoing_voters: Vec::new(),
            learners: Vec::new(),
        },
    }
}

pub fn hard_state(term: u64) -> HardState {
    HardState {
        term,
        voted_for: Some(MemberId(term % 3)),
    }
}

/// Returns an entry with a body of about `size` bytes.
pub fn entry(term: u64, index: u64, size: usize) -> LogEntry {
    let payload = match size {
        0 => EntryPayload::Noop,
        _ => EntryPayload::Command(Command::ChangeObject(millpass_proto::ObjectChange {
            key: millpass_proto::ObjectKey {
                kind: millpass_proto::ObjectKind::Model,
                name: "n".repeat(size),
            },
            expected_version: index,
            change_id: "change".into(),
            operator: millpass_proto::OperatorName("operator".to_owned()),
            at_unix_millis: term,
            spec: None,
        })),
    };
    LogEntry {
        position: LogPosition { term, index },
        payload,
    }
}

pub fn entries(term: u64, range: std::ops::RangeInclusive<u64>) -> Vec<LogEntry> {
    range.map(|index| entry(term, index, 20)).collect()
}

pub fn snapshot(term: u64, index: u64) -> Snapshot {
    Snapshot {
        meta: SnapshotMeta {
            last: LogPosition { term, index },
            membership: initial().membership,
        },
        data: Arc::new(vec![index as u8; 300].into()),
    }
}

/// Creates a folder with an initialized member.
pub fn new_folder() -> (tempfile::TempDir, PathBuf) {
    let root = tempfile::tempdir().expect("temporary folder");
    let folder = root.path().join("data");
    Storage::initialize(&folder, identity(), initial()).expect("initialize");
    (root, folder)
}

pub fn open(folder: &Path) -> (Storage, RestoredStorage) {
    Storage::open(folder).expect("open")
}

/// Options for segments of a few records.
pub fn small_segments() -> StorageOptions {
    StorageOptions {
        segment_bytes: 256,
        ..StorageOptions::default()
    }
}

/// File system that wraps append files.
#[derive(Debug)]
struct AppendedThrough(fn(fs::File) -> Box<dyn AppendFile>);

impl FileSystem for AppendedThrough {
    fn open_append(&self, path: &Path, length: u64) -> std::io::Result<Box<dyn AppendFile>> {
        Ok((self.0)(open_truncated(path, length)?))
    }
}

/// Returns options whose append files are wrapped by `make`.
pub fn appended_through(make: fn(fs::File) -> Box<dyn AppendFile>) -> StorageOptions {
    StorageOptions {
        files: Arc::new(AppendedThrough(make)),
        ..StorageOptions::default()
    }
}

/// Opens the folder and returns the expected error.
pub fn open_error(folder: &Path) -> StorageError {
    match Storage::open(folder) {
        Ok(_) => panic!("opening must fail"),
        Err(error) => error,
    }
}

/// Returns the paths and contents of all files but the lock.
pub fn contents(folder: &Path) -> Vec<(PathBuf, Vec<u8>)> {
    let mut files: Vec<_> = fs::read_dir(folder)
        .expect("folder")
        .map(|entry| entry.expect("entry").path())
        .filter(|path| !path.ends_with("lock"))
        .map(|path| {
            let bytes = fs::read(&path).expect("file");
            (path, bytes)
        })
        .collect();
    files.sort();
    files
}

/// Returns the sorted paths of the files whose name starts with `prefix`.
pub fn files_named(folder: &Path, prefix: &str) -> Vec<PathBuf> {
    let is_named = |path: &PathBuf| {
        path.file_name()
            .and_then(|name| name.to_str())
            .is_some_and(|name| name.starts_with(prefix))
    };
    contents(folder)
        .into_iter()
        .map(|(path, _)| path)
        .filter(is_named)
        .collect()
}
