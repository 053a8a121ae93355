//! Damaged, torn, locked, inaccessible and full folders: typed errors without data loss.

mod common;

use common::*;
use millpass_storage::{AppendFile, RecoveryNote, Storage, StorageError};
use rstest::rstest;
use std::fs;
use std::path::{Path, PathBuf};

/// Creates a folder with three records after the first. Returns the segment, the offset of the last
/// record and the segment's bytes.
fn written(size: usize) -> (tempfile::TempDir, PathBuf, PathBuf, usize, Vec<u8>) {
    let (root, folder) = new_folder();
    let (mut storage, _) = open(&folder);
    storage
        .write(Some(&hard_state(5)), None, &entries(5, 1..=2))
        .expect("write");
    let before_last = storage.active_segment_bytes() as usize;
    storage
        .write(None, None, &[entry(5, 3, size)])
        .expect("write");
    drop(storage);
    let segment = files_named(&folder, "log-")[0].clone();
    let bytes = fs::read(&segment).expect("segment");
    (root, folder, segment, before_last, bytes)
}

#[test]
fn a_record_truncated_at_any_byte_is_cut_off_with_a_note() {
    let (_root, folder, segment, last_start, bytes) = written(20);
    for length in last_start..bytes.len() {
        fs::write(&segment, &bytes[..length]).expect("cut");
        let (_storage, restored) = open(&folder);
        assert_eq!(restored.entries, entries(5, 1..=2), "cut to {length}");
        assert_eq!(restored.hard_state, hard_state(5));
        let expected = usize::from(length > last_start);
        assert_eq!(restored.notes.len(), expected, "cut to {length}");
        let remaining = fs::metadata(&segment).expect("segment").len();
        assert_eq!(remaining as usize, last_start);
    }
}

#[test]
fn a_torn_tail_is_cut_off_once_and_the_log_stays_writable() {
    let (_root, folder, segment, last_start, bytes) = written(20);
    fs::write(&segment, &bytes[..bytes.len() - 3]).expect("cut");
    let (mut storage, restored) = open(&folder);
    let cut = (bytes.len() - 3 - last_start) as u64;
    let note = RecoveryNote::TornTailCut {
        file: segment,
        length: last_start as u64,
        bytes: cut,
    };
    assert_eq!(restored.notes, vec![note]);
    storage
        .write(None, None, &entries(6, 3..=4))
        .expect("write");
    drop(storage);
    let (_storage, restored) = open(&folder);
    assert!(restored.notes.is_empty());
    assert_eq!(restored.entries.len(), 4);
}

#[test]
fn zeros_from_any_sector_boundary_are_a_torn_tail() {
    let (_root, folder, segment, last_start, bytes) = written(2000);
    let sectors = (last_start.next_multiple_of(512)..bytes.len()).step_by(512);
    for zeros_from in sectors.chain([last_start]) {
        let mut torn = bytes.clone();
        torn[zeros_from..].fill(0);
        torn.resize(bytes.len() + 700, 0);
        fs::write(&segment, &torn).expect("torn");
        let (_storage, restored) = open(&folder);
        assert_eq!(
            restored.entries,
            entries(5, 1..=2),
            "zeros from {zeros_from}"
        );
        assert_eq!(restored.notes.len(), 1);
    }
}

#[rstest]
#[case::small_record(20)]
#[case::record_over_sectors(1100)]
fn a_flipped_byte_in_the_log_is_refused_without_changes(#[case] size: usize) {
    let (_root, folder, segment, _, bytes) = written(size);
    for position in 0..bytes.len() {
        for mask in [0x01, 0x80, 0xff, bytes[position]] {
            let mut damaged = bytes.clone();
            damaged[position] ^= mask;
            if damaged == bytes {
                continue;
            }
            assert_refused_unchanged(&folder, &segment, &damaged, position);
        }
    }
}

fn assert_refused_unchanged(folder: &Path, file: &Path, damaged: &[u8], position: usize) {
    fs::write(file, damaged).expect("damage");
    let before = contents(folder);
    let error = open_error(folder);
    let is_typed = matches!(
        error,
        StorageError::Corrupt { .. } | StorageError::UnknownVersion { .. }
    );
    assert!(is_typed, "byte {position}: {error}");
    assert_eq!(contents(folder), before, "byte {position}");
}

#[rstest]
#[case::snapshot("snapshot-")]
#[case::identity("identity")]
fn a_flipped_byte_in_other_files_is_refused(#[case] prefix: &str) {
    let (_root, folder, ..) = written(20);
    let (mut storage, _) = open(&folder);
    storage.save_snapshot(&snapshot(5, 2)).expect("snapshot");
    drop(storage);
    let file = files_named(&folder, prefix)[0].clone();
    let bytes = fs::read(&file).expect("file");
    for position in 0..bytes.len() {
        let mut damaged = bytes.clone();
        damaged[position] ^= 0x10;
        assert_refused_unchanged(&folder, &file, &damaged, position);
    }
}

#[test]
fn a_damage_error_states_file_offset_and_remedy() {
    let (_root, folder, segment, last_start, mut bytes) = written(20);
    bytes[last_start + 12] ^= 1;
    fs::write(&segment, &bytes).expect("damage");
    let error = open_error(&folder);
    let StorageError::Corrupt { file, offset, .. } = &error else {
        panic!("{error}");
    };
    assert_eq!((file, *offset), (&segment, last_start as u64));
    assert!(
        error.to_string().contains("under a new identity"),
        "{error}"
    );
}

#[test]
fn an_unknown_version_error_states_the_remedy() {
    let (_root, folder, segment, _, mut bytes) = written(20);
    bytes[8] = 9;
    fs::write(&segment, &bytes).expect("version");
    let error = open_error(&folder);
    assert!(matches!(
        error,
        StorageError::UnknownVersion { found: 9, .. }
    ));
    assert!(error.to_string().contains("run the release"), "{error}");
}

#[test]
fn a_torn_tail_before_a_later_segment_is_damage() {
    let (_root, folder) = new_folder();
    let (mut storage, _) = Storage::open_with(&folder, small_segments()).expect("open");
    for index in 1..=30 {
        storage
            .write(None, None, &[entry(1, index, 20)])
            .expect("write");
    }
    drop(storage);
    let first = files_named(&folder, "log-")[0].clone();
    let bytes = fs::read(&first).expect("segment");
    fs::write(&first, &bytes[..bytes.len() - 1]).expect("cut");
    assert!(matches!(open_error(&folder), StorageError::Corrupt { .. }));
}

#[rstest]
#[case::first(0)]
#[case::middle(2)]
fn a_missing_segment_is_damage(#[case] position: usize) {
    let (_root, folder) = new_folder();
    let (mut storage, _) = Storage::open_with(&folder, small_segments()).expect("open");
    for index in 1..=30 {
        storage
            .write(None, None, &[entry(1, index, 20)])
            .expect("write");
    }
    drop(storage);
    fs::remove_file(&files_named(&folder, "log-")[position]).expect("remove");
    assert!(matches!(open_error(&folder), StorageError::Corrupt { .. }));
}

#[test]
fn a_missing_snapshot_is_damage() {
    let (_root, folder) = new_folder();
    let (mut storage, _) = Storage::open_with(&folder, small_segments()).expect("open");
    for index in 1..=30 {
        storage
            .write(None, None, &[entry(1, index, 20)])
            .expect("write");
    }
    storage.save_snapshot(&snapshot(1, 25)).expect("snapshot");
    drop(storage);
    fs::remove_file(&files_named(&folder, "snapshot-")[0]).expect("remove");
    assert!(matches!(open_error(&folder), StorageError::Corrupt { .. }));
}

#[test]
fn a_folder_with_a_lost_identity_is_not_initialized_again() {
    let (_root, folder, ..) = written(20);
    fs::remove_file(folder.join("identity")).expect("remove");
    assert!(matches!(
        open_error(&folder),
        StorageError::NotInitialized { .. }
    ));
    let before = contents(&folder);
    let error = Storage::initialize(&folder, identity(), initial()).expect_err("leftover log");
    assert!(matches!(error, StorageError::Corrupt { .. }), "{error}");
    assert_eq!(contents(&folder), before);
}

#[test]
fn an_initialization_without_identity_can_be_repeated() {
    let (_root, folder) = new_folder();
    fs::remove_file(folder.join("identity")).expect("remove");
    Storage::initialize(&folder, identity(), initial()).expect("again");
    open(&folder);
}

#[test]
fn a_second_initialization_is_refused() {
    let (_root, folder) = new_folder();
    let error = Storage::initialize(&folder, identity(), initial()).expect_err("second");
    assert!(matches!(error, StorageError::AlreadyInitialized { .. }));
}

#[test]
fn an_incomplete_file_is_removed_with_a_note() {
    let (_root, folder) = new_folder();
    let temporary = folder.join("snapshot-0000000000000007.tmp");
    fs::write(&temporary, b"half").expect("half");
    let (_storage, restored) = open(&folder);
    assert!(!temporary.exists());
    let note = RecoveryNote::TemporaryFileRemoved { file: temporary };
    assert_eq!(restored.notes, vec![note]);
}

#[test]
fn a_folder_in_use_is_locked_until_it_is_closed() {
    let (_root, folder) = new_folder();
    let first = open(&folder);
    assert!(matches!(open_error(&folder), StorageError::Locked { .. }));
    drop(first);
    open(&folder);
}

#[test]
fn an_inaccessible_folder_error_states_the_path() {
    let root = tempfile::tempdir().expect("temporary folder");
    let file = root.path().join("file");
    fs::write(&file, b"not a folder").expect("file");
    let error = Storage::initialize(&file.join("data"), identity(), initial()).expect_err("file");
    assert!(
        matches!(error, StorageError::Inaccessible { .. }),
        "{error}"
    );
    assert!(
        error
            .to_string()
            .contains("read and write access to the data folder")
    );
    let missing = open_error(&root.path().join("missing"));
    assert!(matches!(missing, StorageError::NotInitialized { .. }));
}

/// A disk with limited free space.
struct SmallDisk {
    file: fs::File,
    free_bytes: usize,
    /// Number of successful syncs, including the one on opening.
    syncs: usize,
}

impl AppendFile for SmallDisk {
    fn append(&mut self, bytes: &[u8]) -> std::io::Result<()> {
        let fits = bytes.len().min(self.free_bytes);
        self.free_bytes -= fits;
        AppendFile::append(&mut self.file, &bytes[..fits])?;
        match fits == bytes.len() {
            true => Ok(()),
            false => Err(std::io::ErrorKind::StorageFull.into()),
        }
    }

    fn sync(&mut self) -> std::io::Result<()> {
        let Some(left) = self.syncs.checked_sub(1) else {
            return Err(std::io::Error::other("sync failed"));
        };
        self.syncs = left;
        AppendFile::sync(&mut self.file)
    }

    fn truncate(&mut self, length: u64) -> std::io::Result<()> {
        AppendFile::truncate(&mut self.file, length)
    }
}

fn disk_with_one_kilobyte(file: fs::File) -> Box<dyn AppendFile> {
    Box::new(SmallDisk {
        file,
        free_bytes: 1024,
        syncs: usize::MAX,
    })
}

fn disk_that_never_syncs(file: fs::File) -> Box<dyn AppendFile> {
    Box::new(SmallDisk {
        file,
        free_bytes: usize::MAX,
        syncs: 0,
    })
}

#[test]
fn a_folder_whose_log_cannot_be_synced_is_not_opened() {
    let (_root, folder) = new_folder();
    let options = appended_through(disk_that_never_syncs);
    let error = Storage::open_with(&folder, options).err().expect("refused");
    assert!(
        matches!(error, StorageError::Inaccessible { .. }),
        "{error}"
    );
    open(&folder);
}

fn disk_that_syncs_once(file: fs::File) -> Box<dyn AppendFile> {
    Box::new(SmallDisk {
        file,
        free_bytes: usize::MAX,
        syncs: 1,
    })
}

#[test]
fn a_full_disk_refuses_the_write_and_keeps_the_synced_data() {
    let (_root, folder) = new_folder();
    let options = appended_through(disk_with_one_kilobyte);
    let (mut storage, _) = Storage::open_with(&folder, options).expect("open");
    storage.write(None, None, &entries(1, 1..=2)).expect("fits");
    let error = storage
        .write(None, None, &[entry(1, 3, 4000)])
        .expect_err("does not fit");
    assert!(matches!(error, StorageError::DiskFull { .. }), "{error}");
    assert!(error.to_string().contains("free space"));
    drop(storage);
    let (_storage, restored) = open(&folder);
    assert_eq!(restored.entries, entries(1, 1..=2));
    assert!(restored.notes.is_empty());
}

#[test]
fn writes_are_refused_after_a_failed_sync() {
    let (_root, folder) = new_folder();
    let options = appended_through(disk_that_syncs_once);
    let (mut storage, _) = Storage::open_with(&folder, options).expect("open");
    let first = storage.write(None, None, &entries(1, 1..=1));
    assert!(matches!(first, Err(StorageError::Inaccessible { .. })));
    let second = storage.write(None, None, &entries(1, 1..=1));
    assert!(matches!(second, Err(StorageError::Poisoned { .. })));
}
