//! Power loss during storage calls. Each directory change since the last sync of the folder
//! persists or is lost independently of the others.
//!
//! Guards against mistaking partially persisted removals of covered segments for a lost segment.

mod common;

use common::*;
use millpass_proto::Snapshot;
use millpass_storage::{AppendFile, RestoredStorage, Storage};
use rstest::rstest;
use std::collections::BTreeMap;
use std::fs;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};

/// Entries written before a snapshot, in segments of a few each.
const ENTRIES: u64 = 14;

type Files = BTreeMap<PathBuf, Vec<u8>>;

fn files(folder: &Path) -> Files {
    contents(folder).into_iter().collect()
}

/// Replaces the content of the folder with these files.
fn replace_files(folder: &Path, wanted: &Files) {
    for path in files(folder).into_keys() {
        fs::remove_file(path).expect("remove");
    }
    for (path, bytes) in wanted {
        fs::write(path, bytes).expect("write");
    }
}

/// Returns all subsets of the names.
fn subsets(names: &[PathBuf]) -> impl Iterator<Item = Vec<&PathBuf>> {
    (0..1_usize << names.len()).map(move |chosen| {
        let is_chosen = |(place, name)| (chosen & (1_usize << place) != 0).then_some(name);
        names.iter().enumerate().filter_map(is_chosen).collect()
    })
}

/// Opens a folder and writes `ENTRIES` entries into several segments.
fn open_with_entries(folder: &Path) -> Storage {
    let (mut storage, _) = Storage::open_with(folder, small_segments()).expect("open");
    for index in 1..=ENTRIES {
        storage
            .write(Some(&hard_state(index)), None, &[entry(1, index, 20)])
            .expect("write");
    }
    storage
}

/// Opens the folder and checks that it is writable and that reopening returns the same data.
fn reopen_and_check(folder: &Path, state: &str) -> RestoredStorage {
    let opened = Storage::open_with(folder, small_segments());
    let (storage, restored) = opened.unwrap_or_else(|error| panic!("{state}: {error}"));
    drop(storage);
    let (mut storage, again) = open(folder);
    assert_eq!(again.entries, restored.entries, "{state}");
    assert_eq!(again.snapshot, restored.snapshot, "{state}");
    let last = again.entries.last().map(|entry| entry.position.index);
    let next = last.unwrap_or(again.snapshot_meta().last.index) + 1;
    let write = storage.write(Some(&hard_state(90)), None, &[entry(90, next, 20)]);
    write.unwrap_or_else(|error| panic!("{state}: {error}"));
    drop(storage);
    let (_storage, later) = open(folder);
    assert_eq!(later.entries.len(), again.entries.len() + 1, "{state}");
    restored
}

/// Source of a snapshot.
#[derive(Clone, Copy, Debug)]
enum SnapshotSource {
    /// Taken by the member from its applied entries.
    Taken,
    /// Received from the leader; covers more than the member's log.
    Received,
}

fn save(storage: &mut Storage, source: SnapshotSource, snapshot: &Snapshot) {
    match source {
        SnapshotSource::Taken => storage.save_snapshot(snapshot),
        SnapshotSource::Received => storage.write(None, Some(snapshot), &[]),
    }
    .expect("snapshot");
}

#[rstest]
#[case::one_segment_removed(SnapshotSource::Taken, 2)]
#[case::some_segments_removed(SnapshotSource::Taken, 7)]
#[case::nearly_all_segments_removed(SnapshotSource::Taken, 13)]
#[case::all_entries_covered(SnapshotSource::Taken, ENTRIES)]
#[case::beyond_the_log(SnapshotSource::Received, ENTRIES + 10)]
fn a_member_starts_whichever_removals_after_a_snapshot_persisted(
    #[case] source: SnapshotSource,
    #[case] index: u64,
) {
    let (_root, folder) = new_folder();
    let mut storage = open_with_entries(&folder);
    // The next snapshot removes this one.
    storage.save_snapshot(&snapshot(1, 1)).expect("snapshot");
    let before = files(&folder);
    save(&mut storage, source, &snapshot(1, index));
    drop(storage);
    let after = files(&folder);
    let removed: Vec<PathBuf> = before
        .keys()
        .filter(|name| !after.contains_key(*name))
        .cloned()
        .collect();
    assert!(!removed.is_empty());
    for remaining in subsets(&removed) {
        let mut state = after.clone();
        state.extend(
            remaining
                .iter()
                .map(|name| ((*name).clone(), before[*name].clone())),
        );
        replace_files(&folder, &state);
        let restored = reopen_and_check(&folder, &format!("not removed: {remaining:?}"));
        assert_eq!(restored.snapshot, Some(snapshot(1, index)), "{remaining:?}");
        assert_eq!(restored.hard_state, hard_state(ENTRIES), "{remaining:?}");
        let kept: Vec<u64> = restored
            .entries
            .iter()
            .map(|entry| entry.position.index)
            .collect();
        assert_eq!(
            kept,
            (index + 1..=ENTRIES).collect::<Vec<_>>(),
            "{remaining:?}"
        );
    }
}

#[rstest]
#[case::taken(SnapshotSource::Taken, 7)]
#[case::received(SnapshotSource::Received, ENTRIES + 10)]
fn a_member_starts_whichever_directory_entries_of_a_new_snapshot_persisted(
    #[case] source: SnapshotSource,
    #[case] index: u64,
) {
    let (_root, folder) = new_folder();
    let mut storage = open_with_entries(&folder);
    let before = files(&folder);
    save(&mut storage, source, &snapshot(1, index));
    drop(storage);
    let after = files(&folder);
    let (name, content) = after
        .iter()
        .find(|(name, _)| !before.contains_key(*name))
        .expect("a new file");
    let temporary = PathBuf::from(format!("{}.tmp", name.display()));
    // Files are only removed after the folder was synced with the new snapshot.
    for length in [None, Some(0), Some(content.len() / 2), Some(content.len())] {
        for renamed in [false, true] {
            let mut state = before.clone();
            if let Some(length) = length {
                state.insert(temporary.clone(), content[..length].to_vec());
            }
            if renamed {
                state.insert(name.clone(), content.clone());
            }
            replace_files(&folder, &state);
            let case = format!("incomplete: {length:?}, renamed: {renamed}");
            let restored = reopen_and_check(&folder, &case);
            assert_eq!(restored.snapshot.is_some(), renamed, "{case}");
            if !renamed {
                assert_eq!(restored.entries.len() as u64, ENTRIES, "{case}");
            }
        }
    }
}

#[test]
fn a_member_starts_after_power_loss_during_the_creation_of_a_segment() {
    let (_root, folder) = new_folder();
    let mut storage = open_with_entries(&folder);
    let mut index = ENTRIES;
    let (before, after) = loop {
        let before = files(&folder);
        index += 1;
        storage
            .write(None, None, &[entry(1, index, 20)])
            .expect("write");
        let after = files(&folder);
        if after.len() > before.len() {
            break (before, after);
        }
    };
    drop(storage);
    let (name, content) = after
        .iter()
        .find(|(name, _)| !before.contains_key(*name))
        .expect("a new segment");
    // None, a part or all of the initial content is on the disk.
    let whole = content.len();
    for length in 0..=whole {
        let mut state = before.clone();
        state.insert(
            PathBuf::from(format!("{}.tmp", name.display())),
            content[..length].to_vec(),
        );
        replace_files(&folder, &state);
        let restored = reopen_and_check(&folder, &format!("{length} of {whole} bytes"));
        assert_eq!(restored.entries.len() as u64, index - 1);
    }
}

#[test]
fn an_interrupted_initialization_can_be_repeated() {
    let (_root, folder) = new_folder();
    let whole = files(&folder);
    let names: Vec<PathBuf> = whole.keys().cloned().collect();
    let identity = folder.join("identity");
    for lost in subsets(&names) {
        // The identity file is synced last.
        if !lost.contains(&&identity) && !lost.is_empty() {
            continue;
        }
        let mut state = whole.clone();
        state.retain(|name, _| !lost.contains(&name));
        replace_files(&folder, &state);
        if lost.contains(&&identity) {
            let initialized = Storage::initialize(&folder, common::identity(), initial());
            initialized.unwrap_or_else(|error| panic!("lost {lost:?}: {error}"));
        }
        let restored = reopen_and_check(&folder, &format!("lost: {lost:?}"));
        assert_eq!(restored.identity, common::identity());
    }
}

/// Synced length of the segment.
static SYNCED_LENGTH: AtomicU64 = AtomicU64::new(0);
/// Whether the process is killed before its next sync.
static KILLED: AtomicBool = AtomicBool::new(false);

/// A file that records its synced length; a killed process leaves unsynced writes.
struct TrackedFile(fs::File);

impl AppendFile for TrackedFile {
    fn append(&mut self, bytes: &[u8]) -> std::io::Result<()> {
        AppendFile::append(&mut self.0, bytes)
    }

    fn sync(&mut self) -> std::io::Result<()> {
        if KILLED.load(Ordering::Relaxed) {
            return Err(std::io::Error::other("killed"));
        }
        SYNCED_LENGTH.store(self.0.metadata()?.len(), Ordering::Relaxed);
        Ok(())
    }

    fn truncate(&mut self, length: u64) -> std::io::Result<()> {
        // A killed process makes no further calls.
        if KILLED.load(Ordering::Relaxed) {
            return Err(std::io::Error::other("killed"));
        }
        AppendFile::truncate(&mut self.0, length)
    }
}

fn tracked(file: fs::File) -> Box<dyn AppendFile> {
    Box::new(TrackedFile(file))
}

/// A process is killed between a write and its sync. After the restart, the member may acknowledge
/// the restored entry, which must then survive a power loss.
#[test]
fn restored_entries_survive_the_next_power_loss() {
    let (_root, folder) = new_folder();
    let options = appended_through(tracked);
    let (mut storage, _) = Storage::open_with(&folder, options.clone()).expect("open");
    storage
        .write(Some(&hard_state(1)), None, &entries(1, 1..=3))
        .expect("write");
    KILLED.store(true, Ordering::Relaxed);
    storage
        .write(Some(&hard_state(2)), None, &entries(2, 4..=4))
        .expect_err("killed");
    drop(storage);
    KILLED.store(false, Ordering::Relaxed);
    let (storage, started) = Storage::open_with(&folder, options.clone()).expect("open");
    assert_eq!(
        started.entries.len(),
        4,
        "the unsynced entry must be restored"
    );
    drop(storage);
    let segment = files_named(&folder, "log-")[0].clone();
    let file = fs::File::options().write(true).open(segment);
    let cut = file.and_then(|file| file.set_len(SYNCED_LENGTH.load(Ordering::Relaxed)));
    cut.expect("loss of power");
    let (_storage, restored) = open(&folder);
    assert_eq!(restored.entries, started.entries);
    assert_eq!(restored.hard_state, started.hard_state);
}
