//! What a folder holds at most, from its options.

mod common;

use common::*;
use millpass_storage::{FileSystem, Storage, StorageError, StorageOptions};
use std::path::Path;
use std::sync::Arc;
use std::{fs, io};

const SEGMENT_BYTES: u64 = 4_000;
const LARGEST_STATE_BYTES: u64 = 2_000;
/// Size of a body, and entries of a write, below the largest state together.
const BODY_BYTES: usize = 300;
const WRITE_ENTRIES: u64 = 5;
/// Writes until a snapshot that is wanted has come.
const LATE_WRITES: u64 = 2;

fn options() -> StorageOptions {
    StorageOptions {
        segment_bytes: SEGMENT_BYTES,
        largest_state_bytes: LARGEST_STATE_BYTES,
        minimum_free_bytes: 1_000,
        ..StorageOptions::default()
    }
}

/// Snapshots are taken when the storage wants them, somewhat late, and at no other time.
#[test]
fn a_folder_stays_within_its_bound_whatever_is_written() {
    let (_root, folder) = new_folder();
    let (mut storage, _) = Storage::open_with(&folder, options()).expect("open");
    let mut last = 0;
    let mut wanted = 0;
    let mut most = 0;
    for _ in 0..400 {
        let range = last + 1..=last + WRITE_ENTRIES;
        last += WRITE_ENTRIES;
        let entries: Vec<_> = range.map(|index| entry(1, index, BODY_BYTES)).collect();
        storage.write(None, None, &entries).expect("write");
        wanted += u64::from(storage.is_snapshot_due());
        if wanted > LATE_WRITES {
            storage.save_snapshot(&snapshot(1, last)).expect("snapshot");
            wanted = 0;
        }
        let bytes = storage.bytes().expect("bytes");
        let found: u64 = contents(&folder).iter().map(|it| it.1.len() as u64).sum();
        assert_eq!(bytes, found);
        most = most.max(bytes);
    }
    assert!(most <= options().maximum_bytes(), "{most} bytes");
    assert!(most > SEGMENT_BYTES, "more than a segment was written");
}

#[test]
fn a_disk_that_cannot_hold_what_may_be_needed_is_refused_with_the_remedy() {
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

/// A process is killed after its snapshot was written and before the older files were removed; then the disk is full.
#[test]
fn a_start_removes_what_a_snapshot_covers_before_it_needs_room() {
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
        fs::write(path, bytes).expect("as if it had not been removed");
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

/// Takes no byte.
#[derive(Debug)]
struct FullDisk;

impl millpass_storage::FileSystem for FullDisk {
    fn write_synced(&self, _: &std::path::Path, _: &[&[u8]]) -> std::io::Result<()> {
        Err(std::io::ErrorKind::StorageFull.into())
    }
}

/// Files can be written and not removed.
#[derive(Debug)]
struct NothingGoes;

impl FileSystem for NothingGoes {
    fn remove(&self, _path: &Path) -> io::Result<()> {
        Err(io::ErrorKind::PermissionDenied.into())
    }
}

/// A start whose trial file could not be removed waited for as long as that lasted, though the member could write all it
/// had to, and other files that stay are only noted.
#[test]
fn a_start_that_cannot_remove_its_trial_file_goes_on_and_says_so() {
    let (_root, folder) = new_folder();
    let with_files = StorageOptions {
        files: Arc::new(NothingGoes),
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
        .expect("it writes");
    drop(storage);
    let trials = || {
        let files = contents(&folder).into_iter();
        files
            .filter(|(path, _)| path.to_string_lossy().contains("room"))
            .count()
    };
    assert_eq!(trials(), 1);
    let (_, restored) = Storage::open_with(&folder, options()).expect("open again");
    assert_eq!(restored.entries.len(), 3);
    assert_eq!(trials(), 0, "the next start removes it");
}
