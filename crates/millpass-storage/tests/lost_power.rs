//! What is left of a folder when power is lost in the middle of a call: each name that was made, renamed or removed
//! since the folder was last synced is kept or lost, each independently of the others.
//!
//! What users would see: after a loss of all power a member refuses to start, as "the segment before it is missing".
//! Where a disk is lost at the same moment, two of three members are left and both are needed: nobody leads any more.
//!
//! Cause: a snapshot that covers several segments removes them one after the other. The removal of a later one may
//! last while that of an earlier one does not, and the gap was taken for a segment that had been lost.

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

/// Makes the folder hold exactly these files.
fn lay_out(folder: &Path, wanted: &Files) {
    for path in files(folder).into_keys() {
        fs::remove_file(path).expect("remove");
    }
    for (path, bytes) in wanted {
        fs::write(path, bytes).expect("write");
    }
}

/// Every choice of some of these names.
fn subsets(names: &[PathBuf]) -> impl Iterator<Item = Vec<&PathBuf>> {
    (0..1_usize << names.len()).map(move |chosen| {
        let is_chosen = |(place, name)| (chosen & (1_usize << place) != 0).then_some(name);
        names.iter().enumerate().filter_map(is_chosen).collect()
    })
}

/// A folder with `ENTRIES` entries in several segments, of which the last is in the newest.
fn written(folder: &Path) -> Storage {
    let (mut storage, _) = Storage::open_with(folder, small_segments()).expect("open");
    for index in 1..=ENTRIES {
        storage
            .write(Some(&hard_state(index)), None, &[entry(1, index, 20)])
            .expect("write");
    }
    storage
}

/// Opens, checks that the folder takes writes and gives the same once more.
fn reopened(folder: &Path, state: &str) -> RestoredStorage {
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

/// How the snapshot reaches the folder.
#[derive(Clone, Copy, Debug)]
enum Arrives {
    /// The member took it of what it had applied.
    Taken,
    /// The leader sent it, for it covers more than the member has.
    Sent,
}

fn take(storage: &mut Storage, arrives: Arrives, snapshot: &Snapshot) {
    match arrives {
        Arrives::Taken => storage.save_snapshot(snapshot),
        Arrives::Sent => storage.write(None, Some(snapshot), &[]),
    }
    .expect("snapshot");
}

#[rstest]
#[case::one_segment_goes(Arrives::Taken, 2)]
#[case::some_segments_go(Arrives::Taken, 7)]
#[case::nearly_all_go(Arrives::Taken, 13)]
#[case::all_entries_go(Arrives::Taken, ENTRIES)]
#[case::beyond_the_log(Arrives::Sent, ENTRIES + 10)]
fn a_member_starts_whichever_removals_of_a_snapshot_lasted(
    #[case] arrives: Arrives,
    #[case] index: u64,
) {
    let (_root, folder) = new_folder();
    let mut storage = written(&folder);
    // An older snapshot, which the next one removes.
    storage.save_snapshot(&snapshot(1, 1)).expect("snapshot");
    let before = files(&folder);
    take(&mut storage, arrives, &snapshot(1, index));
    drop(storage);
    let after = files(&folder);
    let removed: Vec<PathBuf> = before
        .keys()
        .filter(|name| !after.contains_key(*name))
        .cloned()
        .collect();
    assert!(!removed.is_empty());
    for left in subsets(&removed) {
        let mut state = after.clone();
        state.extend(
            left.iter()
                .map(|name| ((*name).clone(), before[*name].clone())),
        );
        lay_out(&folder, &state);
        let restored = reopened(&folder, &format!("still there: {left:?}"));
        assert_eq!(restored.snapshot, Some(snapshot(1, index)), "{left:?}");
        assert_eq!(restored.hard_state, hard_state(ENTRIES), "{left:?}");
        let kept: Vec<u64> = restored
            .entries
            .iter()
            .map(|entry| entry.position.index)
            .collect();
        assert_eq!(kept, (index + 1..=ENTRIES).collect::<Vec<_>>(), "{left:?}");
    }
}

#[rstest]
#[case::taken(Arrives::Taken, 7)]
#[case::sent(Arrives::Sent, ENTRIES + 10)]
fn a_member_starts_whichever_names_of_a_new_snapshot_lasted(
    #[case] arrives: Arrives,
    #[case] index: u64,
) {
    let (_root, folder) = new_folder();
    let mut storage = written(&folder);
    let before = files(&folder);
    take(&mut storage, arrives, &snapshot(1, index));
    drop(storage);
    let after = files(&folder);
    let (name, content) = after
        .iter()
        .find(|(name, _)| !before.contains_key(*name))
        .expect("a new file");
    let temporary = PathBuf::from(format!("{}.tmp", name.display()));
    // Nothing is removed before the folder was synced with the new name in it.
    for length in [None, Some(0), Some(content.len() / 2), Some(content.len())] {
        for renamed in [false, true] {
            let mut state = before.clone();
            if let Some(length) = length {
                state.insert(temporary.clone(), content[..length].to_vec());
            }
            if renamed {
                state.insert(name.clone(), content.clone());
            }
            lay_out(&folder, &state);
            let case = format!("half-written: {length:?}, renamed: {renamed}");
            let restored = reopened(&folder, &case);
            assert_eq!(restored.snapshot.is_some(), renamed, "{case}");
            if !renamed {
                assert_eq!(restored.entries.len() as u64, ENTRIES, "{case}");
            }
        }
    }
}

#[test]
fn a_member_starts_when_power_was_lost_while_a_segment_was_begun() {
    let (_root, folder) = new_folder();
    let mut storage = written(&folder);
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
    // What it held before the first entry: nothing of it is on the disk, a part, or all.
    let whole = content.len();
    for length in 0..=whole {
        let mut state = before.clone();
        state.insert(
            PathBuf::from(format!("{}.tmp", name.display())),
            content[..length].to_vec(),
        );
        lay_out(&folder, &state);
        let restored = reopened(&folder, &format!("{length} of {whole} bytes"));
        assert_eq!(restored.entries.len() as u64, index - 1);
    }
}

#[test]
fn a_folder_that_was_being_made_is_made_again() {
    let (_root, folder) = new_folder();
    let whole = files(&folder);
    let names: Vec<PathBuf> = whole.keys().cloned().collect();
    let identity = folder.join("identity");
    for lost in subsets(&names) {
        // The identity's name is synced last, after all others.
        if !lost.contains(&&identity) && !lost.is_empty() {
            continue;
        }
        let mut state = whole.clone();
        state.retain(|name, _| !lost.contains(&name));
        lay_out(&folder, &state);
        if lost.contains(&&identity) {
            let made = Storage::initialize(&folder, common::identity(), initial());
            made.unwrap_or_else(|error| panic!("lost {lost:?}: {error}"));
        }
        let restored = reopened(&folder, &format!("lost: {lost:?}"));
        assert_eq!(restored.identity, common::identity());
    }
}

/// Bytes of the segment that the disk is known to hold.
static ON_DISK: AtomicU64 = AtomicU64::new(0);
/// Whether the process is killed before its next sync.
static KILLED: AtomicBool = AtomicBool::new(false);

/// A file whose synced length is noted; a killed process leaves what it wrote, not synced.
struct Watched(fs::File);

impl AppendFile for Watched {
    fn append(&mut self, bytes: &[u8]) -> std::io::Result<()> {
        AppendFile::append(&mut self.0, bytes)
    }

    fn sync(&mut self) -> std::io::Result<()> {
        if KILLED.load(Ordering::Relaxed) {
            return Err(std::io::Error::other("killed"));
        }
        ON_DISK.store(self.0.metadata()?.len(), Ordering::Relaxed);
        Ok(())
    }

    fn truncate(&mut self, length: u64) -> std::io::Result<()> {
        // A process that was killed makes no further call.
        if KILLED.load(Ordering::Relaxed) {
            return Err(std::io::Error::other("killed"));
        }
        AppendFile::truncate(&mut self.0, length)
    }
}

fn watched(file: fs::File) -> Box<dyn AppendFile> {
    Box::new(Watched(file))
}

/// A process is killed between a write and its sync, and started again. It finds the entry and tells the leader that
/// it has it; the leader commits it and acknowledges the change. Then power is lost.
#[test]
fn what_a_start_gives_back_outlasts_the_next_loss_of_power() {
    let (_root, folder) = new_folder();
    let options = appended_through(watched);
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
    assert_eq!(started.entries.len(), 4, "the process finds what it wrote");
    drop(storage);
    let segment = files_named(&folder, "log-")[0].clone();
    let file = fs::File::options().write(true).open(segment);
    let cut = file.and_then(|file| file.set_len(ON_DISK.load(Ordering::Relaxed)));
    cut.expect("loss of power");
    let (_storage, restored) = open(&folder);
    assert_eq!(restored.entries, started.entries);
    assert_eq!(restored.hard_state, started.hard_state);
}
