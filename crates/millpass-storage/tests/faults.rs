//! Random failures of file system calls: successful writes must persist, the folder must open once
//! the disk has recovered, and its size must stay within the limit. Run with more seeds:
//! `MILLPASS_FAULT_SEEDS=0..20000 cargo test --release -p millpass-storage --test faults`

mod common;

use common::*;
use millpass_proto::HardState;
use millpass_storage::{
    AppendFile, FileSystem, RestoredStorage, Storage, StorageError, StorageOptions, open_truncated,
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::fs::{self, File};
use std::io::{self, Write};
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex};

const SEEDS: std::ops::Range<u64> = 0..400;
/// Writes per run.
const WRITES: u32 = 40;
/// Maximum attempts to open a folder while its disk fails.
const MAXIMUM_STARTS: u32 = 4;
/// Maximum successful calls before a failure. A write takes 2 calls, a snapshot about 6, opening at
/// least 10.
const MAXIMUM_CALLS_BEFORE_FAILURE: u64 = 12;
/// Size of an entry body.
const BODY_BYTES: usize = 120;
const SEGMENT_BYTES: u64 = 1_000;
/// Maximum size of a folder: two segments, each exceeded by a write, two snapshots and the probe file.
const MAXIMUM_BYTES: u64 = 2 * (SEGMENT_BYTES + 3_000) + 2 * 1_000 + MINIMUM_FREE_BYTES;
const MINIMUM_FREE_BYTES: u64 = 2_000;

/// Plan of failing calls.
#[derive(Clone, Copy, Debug, Default)]
struct Plan {
    /// Successful calls before the first failure; `None` for a healthy disk.
    after: Option<u64>,
    /// Number of failing calls.
    count: u64,
    /// Kind of the errors.
    kind: Option<io::ErrorKind>,
    /// Part of a failing write that is written, in per mille.
    written_per_mille: usize,
    /// Whether other failing calls take effect.
    takes_effect: bool,
}

#[derive(Debug, Default)]
struct FaultyDisk {
    plan: Mutex<Plan>,
}

impl FaultyDisk {
    fn set(&self, plan: Plan) {
        *self.plan.lock().expect("plan") = plan;
    }

    /// Returns the plan if this call must fail.
    fn failing(&self) -> Option<Plan> {
        let mut plan = self.plan.lock().expect("plan");
        let after = plan.after?;
        if after > 0 {
            plan.after = Some(after - 1);
            return None;
        }
        let failing = *plan;
        plan.count = plan.count.saturating_sub(1);
        if plan.count == 0 {
            *plan = Plan::default();
        }
        Some(failing)
    }

    /// Executes a call or lets it fail according to the plan.
    fn call<T>(&self, call: impl FnOnce() -> io::Result<T>) -> io::Result<T> {
        match self.failing() {
            None => call(),
            Some(plan) => {
                if plan.takes_effect {
                    call()?;
                }
                Err(plan.error())
            }
        }
    }
}

impl Plan {
    fn error(&self) -> io::Error {
        self.kind.unwrap_or(io::ErrorKind::StorageFull).into()
    }

    fn written_part<'a>(&self, bytes: &'a [u8]) -> &'a [u8] {
        &bytes[..bytes.len() * self.written_per_mille / 1_000]
    }
}

#[derive(Clone, Debug)]
struct FaultyFiles(Arc<FaultyDisk>);

impl FileSystem for FaultyFiles {
    fn create_folder(&self, folder: &Path) -> io::Result<()> {
        self.0.call(|| fs::create_dir_all(folder))
    }

    fn list(&self, folder: &Path) -> io::Result<Vec<PathBuf>> {
        self.0
            .call(|| Ok(contents(folder).into_iter().map(|(path, _)| path).collect()))
    }

    fn read(&self, path: &Path) -> io::Result<Vec<u8>> {
        self.0.call(|| fs::read(path))
    }

    fn write_synced(&self, path: &Path, parts: &[&[u8]]) -> io::Result<()> {
        self.0.call(|| Ok(()))?;
        let mut file = File::create(path)?;
        for part in parts {
            if let Some(plan) = self.0.failing() {
                file.write_all(plan.written_part(part))?;
                return Err(plan.error());
            }
            file.write_all(part)?;
        }
        self.0.call(|| file.sync_all())
    }

    fn open_append(&self, path: &Path, length: u64) -> io::Result<Box<dyn AppendFile>> {
        let file = self.0.call(|| open_truncated(path, length))?;
        Ok(Box::new(FaultyAppend {
            file,
            disk: self.0.clone(),
        }))
    }

    fn rename(&self, from: &Path, to: &Path) -> io::Result<()> {
        self.0.call(|| fs::rename(from, to))
    }

    fn remove(&self, path: &Path) -> io::Result<()> {
        self.0.call(|| fs::remove_file(path))
    }

    fn sync_folder(&self, folder: &Path) -> io::Result<()> {
        self.0.call(|| File::open(folder)?.sync_all())
    }
}

struct FaultyAppend {
    file: File,
    disk: Arc<FaultyDisk>,
}

impl AppendFile for FaultyAppend {
    fn append(&mut self, bytes: &[u8]) -> io::Result<()> {
        if let Some(plan) = self.disk.failing() {
            self.file.write_all(plan.written_part(bytes))?;
            return Err(plan.error());
        }
        AppendFile::append(&mut self.file, bytes)
    }

    fn sync(&mut self) -> io::Result<()> {
        let file = &mut self.file;
        self.disk.call(|| AppendFile::sync(file))
    }

    fn truncate(&mut self, length: u64) -> io::Result<()> {
        let file = &mut self.file;
        self.disk.call(|| AppendFile::truncate(file, length))
    }
}

/// Summary of the content of a folder; contents are determined by positions.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct Summary {
    term: u64,
    last: u64,
    snapshot: u64,
}

impl Summary {
    fn of(restored: &RestoredStorage) -> Summary {
        let covered = restored.snapshot_meta().last.index;
        let last = restored
            .entries
            .last()
            .map_or(covered, |it| it.position.index);
        Summary {
            term: restored.hard_state.term,
            last,
            snapshot: covered,
        }
    }
}

/// Run of one seed.
struct Run {
    random: ChaCha8Rng,
    disk: Arc<FaultyDisk>,
    folder: PathBuf,
    options: StorageOptions,
    /// Content after the successful writes.
    written: Summary,
    /// Content if the failed write took effect.
    attempted: Option<Summary>,
}

impl Run {
    fn new(seed: u64, root: &Path) -> Run {
        let disk = Arc::new(FaultyDisk::default());
        Run {
            random: ChaCha8Rng::seed_from_u64(seed),
            folder: root.join("data").join("member"),
            options: StorageOptions {
                segment_bytes: SEGMENT_BYTES,
                minimum_free_bytes: MINIMUM_FREE_BYTES,
                files: Arc::new(FaultyFiles(disk.clone())),
                ..StorageOptions::default()
            },
            disk,
            written: Summary::default(),
            attempted: None,
        }
    }

    /// Randomly plans failures.
    fn draw_fault(&mut self) {
        let fails = self.random.random_bool(0.4);
        let kinds = [
            io::ErrorKind::StorageFull,
            io::ErrorKind::FileTooLarge,
            io::ErrorKind::Other,
        ];
        let plan = Plan {
            after: fails.then(|| self.random.random_range(0..MAXIMUM_CALLS_BEFORE_FAILURE)),
            count: [1, 2, u64::MAX][self.random.random_range(0..3)],
            kind: Some(kinds[self.random.random_range(0..3)]),
            written_per_mille: self.random.random_range(0..1_001),
            takes_effect: self.random.random_bool(0.5),
        };
        self.disk.set(plan);
    }

    fn execute(&mut self) {
        let mut storage = self.start();
        for _ in 0..WRITES {
            self.draw_fault();
            if self.write(&mut storage).is_err() {
                drop(storage);
                storage = self.start();
            }
            self.check_bytes();
        }
        drop(storage);
        self.disk.set(Plan::default());
        drop(self.start());
    }

    /// Opens the folder until that succeeds, finally on a healthy disk. Initializes it if necessary.
    fn start(&mut self) -> Storage {
        for starts in 1.. {
            if starts >= MAXIMUM_STARTS {
                self.disk.set(Plan::default());
            }
            match self.open() {
                Ok((storage, restored)) => {
                    self.check(&restored);
                    return storage;
                }
                Err(error) => {
                    assert!(error.is_transient(), "opening failed permanently: {error}");
                    assert!(
                        starts < MAXIMUM_STARTS,
                        "opening failed on a healthy disk: {error}"
                    );
                }
            }
            self.draw_fault();
        }
        unreachable!("the disk recovers")
    }

    fn open(&self) -> Result<(Storage, RestoredStorage), StorageError> {
        match Storage::open_with(&self.folder, self.options.clone()) {
            Err(StorageError::NotInitialized { .. }) => {
                assert_eq!(self.written, Summary::default(), "written data is lost");
                Storage::initialize_with(&self.folder, &self.options, identity(), initial())?;
                Storage::open_with(&self.folder, self.options.clone())
            }
            opened => opened,
        }
    }

    fn check(&mut self, restored: &RestoredStorage) {
        let found = Summary::of(restored);
        let minimum = self.written;
        let maximum = self.attempted.take().unwrap_or(minimum);
        let within = |low, found, high| (low..=high).contains(&found);
        assert!(
            within(minimum.term, found.term, maximum.term),
            "{minimum:?} {found:?} {maximum:?}"
        );
        assert!(
            within(minimum.last, found.last, maximum.last),
            "{minimum:?} {found:?} {maximum:?}"
        );
        assert!(
            found.snapshot == minimum.snapshot || found.snapshot == maximum.snapshot,
            "{minimum:?} {found:?} {maximum:?}"
        );
        let expected: Vec<u64> = (found.snapshot + 1..=found.last).collect();
        let indexes: Vec<u64> = restored
            .entries
            .iter()
            .map(|it| it.position.index)
            .collect();
        assert_eq!(indexes, expected, "entries must be contiguous");
        for stored in &restored.entries {
            assert_eq!(*stored, entry(1, stored.position.index, BODY_BYTES));
        }
        if let Some(stored) = &restored.snapshot {
            assert_eq!(*stored, snapshot(1, found.snapshot));
        }
        self.written = found;
    }

    fn write(&mut self, storage: &mut Storage) -> Result<(), StorageError> {
        let mut next = self.written;
        let written = match self.random.random_range(0..10) {
            0 => {
                next.snapshot = self.random.random_range(next.snapshot..=next.last);
                if next.snapshot == 0 {
                    return Ok(());
                }
                storage.save_snapshot(&snapshot(1, next.snapshot))
            }
            1 => {
                next.last += self.random.random_range(1..5);
                next.snapshot = next.last;
                storage.write(None, Some(&snapshot(1, next.last)), &[])
            }
            2 => {
                next.term += 1;
                let hard_state = HardState {
                    term: next.term,
                    voted_for: None,
                };
                storage.write(Some(&hard_state), None, &[])
            }
            _ => {
                let first = next.last + 1;
                next.last += self.random.random_range(1..4);
                let range = first..=next.last;
                let entries: Vec<_> = range.map(|index| entry(1, index, BODY_BYTES)).collect();
                storage.write(None, None, &entries)
            }
        };
        match &written {
            Ok(()) => self.written = next,
            Err(_) => self.attempted = Some(next),
        }
        written
    }

    fn check_bytes(&self) {
        let files = contents(&self.folder);
        let bytes: u64 = files.iter().map(|(_, bytes)| bytes.len() as u64).sum();
        assert!(bytes <= MAXIMUM_BYTES, "{bytes} bytes in the folder");
    }
}

fn seeds() -> std::ops::Range<u64> {
    let Ok(text) = std::env::var("MILLPASS_FAULT_SEEDS") else {
        return SEEDS;
    };
    let (first, last) = text.split_once("..").expect("FIRST..LAST");
    first.parse().expect("number")..last.parse().expect("number")
}

#[test]
fn no_written_data_is_lost_when_calls_fail() {
    for seed in seeds() {
        let root = tempfile::tempdir().expect("folder");
        let run = std::panic::AssertUnwindSafe(|| Run::new(seed, root.path()).execute());
        let result = std::panic::catch_unwind(run);
        assert!(result.is_ok(), "seed {seed} failed");
    }
}
