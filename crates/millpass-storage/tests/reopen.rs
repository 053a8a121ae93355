//! Reopening a folder restores the synced data.

mod common;

use common::*;
use millpass_proto::{HardState, LogEntry, LogPosition, Snapshot};
use millpass_storage::{Storage, StorageError, StorageWrite};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

#[test]
fn a_new_folder_holds_the_initial_membership() {
    let (_root, folder) = new_folder();
    let (_storage, restored) = open(&folder);
    assert_eq!(restored.identity, identity());
    assert_eq!(restored.snapshot_meta(), &initial());
    assert!(restored.entries.is_empty() && restored.notes.is_empty());
}

#[test]
fn writes_are_restored_and_conflicting_entries_truncate_the_log() {
    let (_root, folder) = new_folder();
    let (mut storage, _) = open(&folder);
    storage
        .write(Some(&hard_state(1)), None, &entries(1, 1..=5))
        .expect("write");
    storage
        .write(Some(&hard_state(2)), None, &entries(2, 4..=4))
        .expect("write");
    drop(storage);
    let (_storage, restored) = open(&folder);
    let positions: Vec<LogPosition> = restored.entries.iter().map(|e| e.position).collect();
    assert_eq!(restored.hard_state, hard_state(2));
    assert_eq!(positions.len(), 4);
    assert_eq!(positions[3], LogPosition { term: 2, index: 4 });
}

#[test]
fn a_received_snapshot_replaces_the_log() {
    let (_root, folder) = new_folder();
    let (mut storage, _) = open(&folder);
    storage
        .write(None, None, &entries(1, 1..=3))
        .expect("write");
    let received = snapshot(4, 10);
    storage
        .write(Some(&hard_state(4)), Some(&received), &[])
        .expect("write");
    storage
        .write(None, None, &entries(4, 11..=12))
        .expect("write");
    drop(storage);
    let (_storage, restored) = open(&folder);
    assert_eq!(restored.snapshot, Some(received));
    assert_eq!(restored.entries, entries(4, 11..=12));
}

#[test]
fn a_saved_snapshot_removes_segments_it_covers() {
    let (_root, folder) = new_folder();
    let (mut storage, _) = Storage::open_with(&folder, small_segments()).expect("open");
    for index in 1..=60 {
        storage
            .write(Some(&hard_state(index)), None, &[entry(1, index, 20)])
            .expect("write");
    }
    let before = files_named(&folder, "log-").len();
    storage.save_snapshot(&snapshot(1, 30)).expect("snapshot");
    storage.save_snapshot(&snapshot(1, 50)).expect("snapshot");
    let after = files_named(&folder, "log-").len();
    drop(storage);
    assert!(before > 10, "{before} segments");
    assert!(after < before / 2, "{after} of {before} segments are left");
    assert_eq!(files_named(&folder, "snapshot-").len(), 1);
    let (_storage, restored) = open(&folder);
    assert_eq!(restored.snapshot, Some(snapshot(1, 50)));
    assert_eq!(restored.entries, entries(1, 51..=60));
    assert_eq!(restored.hard_state, hard_state(60));
}

#[test]
fn a_snapshot_file_without_its_log_record_replaces_the_log_when_opening() {
    let (_root, folder) = new_folder();
    let (mut storage, _) = open(&folder);
    storage
        .write(None, None, &entries(1, 1..=3))
        .expect("write");
    drop(storage);
    let log = files_named(&folder, "log-")[0].clone();
    let before = std::fs::read(&log).expect("log");
    let (mut storage, _) = open(&folder);
    storage
        .write(None, Some(&snapshot(4, 10)), &[])
        .expect("write");
    drop(storage);
    std::fs::write(&log, before).expect("restore the log without the record");
    let (mut storage, restored) = open(&folder);
    assert_eq!(restored.snapshot, Some(snapshot(4, 10)));
    assert!(restored.entries.is_empty());
    assert_eq!(restored.notes.len(), 1);
    storage
        .write(None, None, &entries(4, 11..=11))
        .expect("write");
    drop(storage);
    let (_storage, restored) = open(&folder);
    assert_eq!(restored.entries, entries(4, 11..=11));
    assert!(restored.notes.is_empty());
}

#[test]
fn an_entry_that_leaves_a_gap_is_refused() {
    let (_root, folder) = new_folder();
    let (mut storage, _) = open(&folder);
    let error = storage
        .write(None, None, &entries(1, 2..=2))
        .expect_err("gap");
    assert!(matches!(
        error,
        StorageError::OutOfOrder { last: 0, found: 2 }
    ));
}

/// A step of a random run. Numbers are relative to the state of the model.
#[derive(Clone, Debug)]
enum Action {
    Append { count: u64, size: usize },
    Truncate { back: u64, count: u64 },
    HardState,
    SaveSnapshot { back: u64 },
    ReceiveSnapshot { ahead: u64 },
    Batch { writes: u64 },
    Reopen,
}

fn action() -> impl Strategy<Value = Action> {
    prop_oneof![
        4 => (1_u64..5, 0_usize..60).prop_map(|(count, size)| Action::Append { count, size }),
        3 => (0_u64..8, 1_u64..4).prop_map(|(back, count)| Action::Truncate { back, count }),
        2 => Just(Action::HardState),
        2 => (0_u64..12).prop_map(|back| Action::SaveSnapshot { back }),
        1 => (1_u64..9).prop_map(|ahead| Action::ReceiveSnapshot { ahead }),
        2 => (1_u64..6).prop_map(|writes| Action::Batch { writes }),
        2 => Just(Action::Reopen),
    ]
}

/// Expected content of the folder.
struct Model {
    term: u64,
    hard_state: HardState,
    snapshot: Option<Snapshot>,
    base: LogPosition,
    entries: Vec<LogEntry>,
    /// Committed index; the log must not be truncated at or before it.
    committed: u64,
}

impl Model {
    fn last(&self) -> u64 {
        self.entries.last().map_or(self.base, |e| e.position).index
    }

    fn append(&mut self, first: u64, count: u64, size: usize) -> Vec<LogEntry> {
        self.entries.retain(|e| e.position.index < first);
        let added: Vec<LogEntry> = (first..first + count)
            .map(|index| entry(self.term, index, size))
            .collect();
        self.entries.extend(added.iter().cloned());
        added
    }

    fn apply(&mut self, storage: &mut Storage, action: &Action) {
        match action {
            Action::Append { count, size } => {
                let added = self.append(self.last() + 1, *count, *size);
                storage.write(None, None, &added).expect("write");
            }
            Action::Truncate { back, count } => {
                self.term += 1;
                let first = (self.last() + 1)
                    .saturating_sub(*back)
                    .max(self.committed + 1);
                let added = self.append(first, *count, 10);
                self.hard_state = hard_state(self.term);
                storage
                    .write(Some(&self.hard_state), None, &added)
                    .expect("write");
            }
            Action::HardState => {
                self.term += 1;
                self.hard_state = hard_state(self.term);
                storage
                    .write(Some(&self.hard_state), None, &[])
                    .expect("write");
            }
            Action::SaveSnapshot { back } => self.save_snapshot(storage, *back),
            Action::ReceiveSnapshot { ahead } => {
                let received = snapshot(self.term, self.last() + ahead);
                storage.write(None, Some(&received), &[]).expect("write");
                self.base = received.meta.last;
                self.committed = self.base.index;
                self.entries.clear();
                self.snapshot = Some(received);
            }
            Action::Batch { writes } => {
                let batch: Vec<Vec<LogEntry>> = (0..*writes)
                    .map(|_| self.append(self.last() + 1, 2, 15))
                    .collect();
                let batch: Vec<StorageWrite<'_>> = batch
                    .iter()
                    .map(|entries| StorageWrite {
                        entries,
                        ..StorageWrite::default()
                    })
                    .collect();
                storage.write_batch(&batch).expect("write");
            }
            Action::Reopen => {}
        }
    }

    fn save_snapshot(&mut self, storage: &mut Storage, back: u64) {
        let index = self.last().saturating_sub(back);
        let found = self.entries.iter().find(|e| e.position.index == index);
        let Some(position) = found.map(|e| e.position) else {
            return;
        };
        let taken = snapshot(position.term, position.index);
        storage.save_snapshot(&taken).expect("snapshot");
        self.committed = self.committed.max(index);
        self.base = position;
        self.entries.retain(|e| e.position.index > index);
        self.snapshot = Some(taken);
    }
}

#[test]
fn random_runs_reopen_with_the_synced_data() {
    let config = Config {
        cases: 96,
        failure_persistence: None,
        ..Config::default()
    };
    let random = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    let mut runner = TestRunner::new_with_rng(config, random);
    let runs = proptest::collection::vec(action(), 1..40);
    let verdict = runner.run(&runs, |actions| {
        let (_root, folder) = new_folder();
        let (mut storage, restored) = Storage::open_with(&folder, small_segments()).expect("open");
        let mut model = Model {
            term: 1,
            hard_state: restored.hard_state,
            snapshot: None,
            base: LogPosition::ZERO,
            entries: Vec::new(),
            committed: 0,
        };
        for action in actions.iter().chain([&Action::Reopen]) {
            model.apply(&mut storage, action);
            if matches!(action, Action::Reopen) {
                drop(storage);
                let reopened = Storage::open_with(&folder, small_segments());
                let (opened, restored) = reopened
                    .map_err(|error| TestCaseError::fail(format!("cannot reopen: {error}")))?;
                storage = opened;
                prop_assert_eq!(&restored.hard_state, &model.hard_state);
                prop_assert_eq!(&restored.snapshot, &model.snapshot);
                prop_assert_eq!(&restored.entries, &model.entries);
                prop_assert!(restored.notes.is_empty());
            }
        }
        Ok(())
    });
    verdict.unwrap_or_else(|failure| panic!("{failure}"));
}
