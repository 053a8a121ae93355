//! Limits of the size of a data folder.

mod common;

use common::*;
use millpass_storage::{FileSystem, Storage, StorageError, StorageOptions};
use std::path::Path;
use std::sync::Arc;
use std::{fs, io};

const SEGMENT_BYTES: u64 = 4_000;
const LARGEST_STATE_BYTES: u64 = 2_000;
/// Size of an entry body. A write of `WRITE_ENTRIES` entries is smaller than the largest state.
const BODY_BYTES: usize = 300;
const WRITE_ENTRIES: u64 = 5;
/// Writes between a snapshot becoming due and being taken.
const SNAPSHOT_DELAY_WRITES: u64 = 2;

fn options() -> StorageOptions {
    StorageOptions {
        segment_bytes: SEGMENT_BYTES,
        largest_state_bytes: LARGEST_STATE_BYTES,
        minimum_free_bytes: 1_000,
        ..StorageOptions::default()
    }
}

/// Snapshots are taken only some writes after they become due.
#[test]
fn a_folder_stays_within_its_maximum_size() {
    let (_root, folder) = new_folder();
    let (mut storage, _) = Storage::open_with(&folder, options()).expect("open");
    let mut last = 0;
    let mut due_writes = 0;
    let mut maximum = 0;
    for _ in 0..400 {
        let range = last + 1..=last + WRITE_ENTRIES;
        last += WRITE_ENTRIES;
        let entries: Vec<_> = range.map(|index| entry(1, index, BODY_BYTES)).collect();
        storage.write(None, None, &entries).expect("write");
        due_writes += u64::from(storage.is_snapshot_due());
        if due_writes > SNAPSHOT_DELAY_WRITES {
            storage.save_snapshot(&snapshot(1, last)).expect("snapshot");
            due_writes = 0;
        }
        let bytes = storage.bytes().expect("bytes");
        let found: u64 = contents(&folder).iter().map(|it| it.1.len() as u64).sum();
        assert_eq!(bytes, found);
        maximum = maximum.max(bytes);
    }
    assert!(maximum <= options().maximum_bytes(), "{maximum} bytes");
    assert!(maximum > SEGMENT_BYTES, "more than a segment was written");
}

#[test]
fn a_disk_smaller_than_the_maximum_size_is_refused_with_a_remedy() {
    let (_root, folder) = new_folder();
    let required = options().maximum_bytes();
    let with_disk = |bytes| StorageOptions {
        disk_bytes: Some(bytes),
        ..options()
    };
    let error = Storage::open_with(&folder, with_disk(required - 1)).err();
    let error = error.expect("too small");
    assert!(
        matches!(error, StorageError::DiskTooSmall { .. }),
        "{error}"
    );
    assert!(error.to_string().contains("enlarge the disk"), "{error}");
    assert!(!error.is_transient(), "waiting does not help");
    Storage::open_with(&folder, with_disk(required)).expect("large enough");
}

/// A process is killed between writing a snapshot and removing the covered files, and the disk is
/// full at the restart.
#[test]
fn opening_removes_covered_files_before_it_checks_for_free_space() {
    let (_root, folder) = new_folder();
    let (mut storage, _) = Storage::open_with(&folder, small_segments()).expect("open");
    for index in 1..=20 {
        storage
            .write(None, None, &entries(1, index..=index))
            .expect("write");
    }
    storage.save_snapshot(&snapshot(1, 8)).expect("snapshot");
    let before = contents(&folder);
    storage.save_snapshot(&snapshot(1, 20)).expect("snapshot");
    drop(storage);
    for (path, bytes) in &before {
        fs::write(path, bytes).expect("restore removed file");
    }
    let on_full_disk = StorageOptions {
        files: std::sync::Arc::new(FullDisk),
        ..small_segments()
    };
    let error = Storage::open_with(&folder, on_full_disk)
        .err()
        .expect("full");
    assert!(matches!(error, StorageError::DiskFull { .. }), "{error}");
    assert_eq!(files_named(&folder, "snapshot-").len(), 1);
    assert_eq!(files_named(&folder, "log-").len(), 1);
    let (_storage, restored) = open(&folder);
    assert_eq!(restored.snapshot, Some(snapshot(1, 20)));
}

/// A disk without free space.
#[derive(Debug)]
struct FullDisk;

impl millpass_storage::FileSystem for FullDisk {
    fn write_synced(&self, _: &std::path::Path, _: &[&[u8]]) -> std::io::Result<()> {
        Err(std::io::ErrorKind::StorageFull.into())
    }
}

/// A file system that cannot remove files.
#[derive(Debug)]
struct UnremovableFiles;

impl FileSystem for UnremovableFiles {
    fn remove(&self, _path: &Path) -> io::Result<()> {
        Err(io::ErrorKind::PermissionDenied.into())
    }
}

/// A probe file that cannot be removed must not keep a member from starting.
#[test]
fn opening_succeeds_with_a_note_if_the_probe_file_cannot_be_removed() {
    let (_root, folder) = new_folder();
    let with_files = StorageOptions {
        files: Arc::new(UnremovableFiles),
        ..options()
    };
    let (mut storage, restored) = Storage::open_with(&folder, with_files).expect("open");
    let notes: Vec<String> = restored.notes.iter().map(ToString::to_string).collect();
    assert!(
        notes.iter().any(|note| note.contains("file_kept")),
        "{notes:?}"
    );
    storage
        .write(None, None, &entries(1, 1..=3))
        .expect("write");
    drop(storage);
    let probe_files = || {
        let files = contents(&folder).into_iter();
        files
            .filter(|(path, _)| path.to_string_lossy().contains("room"))
            .count()
    };
    assert_eq!(probe_files(), 1);
    let (_, restored) = Storage::open_with(&folder, options()).expect("open again");
    assert_eq!(restored.entries.len(), 3);
    assert_eq!(probe_files(), 0, "the next start removes it");
}
