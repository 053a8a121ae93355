//! Any call to the file system may fail, at any moment: the disk is full, or refuses, for one call or until it is mended.
//! A write may be taken in part, a rename or removal may have happened although it failed.
//!
//! What is checked: a write that returned well outlasts it; one that failed has left nothing that a later start refuses;
//! once the disk is mended the folder opens; nothing is left over; the bytes in the folder stay within their bound.
//!
//! By hand with more seeds: `MILLPASS_FAULT_SEEDS=0..20000 cargo test --release -p millpass-storage --test faults`.

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

/// Seeds that are played each time; those that once failed are among them.
const SEEDS: std::ops::Range<u64> = 0..400;
/// Writes of a run.
const WRITES: u32 = 40;
/// Times a folder is opened while its disk fails.
const MOST_STARTS: u32 = 4;
/// Most calls that go well before one fails: a write takes 2, a snapshot some 6, a start 10 and more.
const MOST_CALLS_BEFORE: u64 = 12;
/// Size of the bodies, and bytes from which a new segment is started.
const BODY_BYTES: usize = 120;
const SEGMENT_BYTES: u64 = 1_000;
/// Most bytes in a folder: two segments, each with a write beyond its size, two snapshots, and the room that is tried.
const MOST_BYTES: u64 = 2 * (SEGMENT_BYTES + 3_000) + 2 * 1_000 + START_ROOM;
const START_ROOM: u64 = 2_000;

/// Which calls fail.
#[derive(Clone, Copy, Debug, Default)]
struct Plan {
    /// Calls that go well before the first that fails; none for a disk that is well.
    after: Option<u64>,
    /// How many fail then.
    count: u64,
    /// What they fail with.
    kind: Option<io::ErrorKind>,
    /// Of a write that fails, how many thousandths are taken; whether another call happens although it fails.
    taken: usize,
    happens: bool,
}

#[derive(Debug, Default)]
struct FaultyDisk {
    plan: Mutex<Plan>,
}

impl FaultyDisk {
    fn set(&self, plan: Plan) {
        *self.plan.lock().expect("plan") = plan;
    }

    /// The plan, if this call is to fail.
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

    /// A call that happens or does not, whatever it says.
    fn call<T>(&self, call: impl FnOnce() -> io::Result<T>) -> io::Result<T> {
        match self.failing() {
            None => call(),
            Some(plan) => {
                if plan.happens {
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

    fn taken_of<'a>(&self, bytes: &'a [u8]) -> &'a [u8] {
        &bytes[..bytes.len() * self.taken / 1_000]
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
                file.write_all(plan.taken_of(part))?;
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
            self.file.write_all(plan.taken_of(bytes))?;
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

/// What a folder holds, in short: contents follow from positions.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct Held {
    term: u64,
    last: u64,
    snapshot: u64,
}

impl Held {
    fn of(restored: &RestoredStorage) -> Held {
        let covered = restored.snapshot_meta().last.index;
        let last = restored
            .entries
            .last()
            .map_or(covered, |it| it.position.index);
        Held {
            term: restored.hard_state.term,
            last,
            snapshot: covered,
        }
    }
}

/// One seed.
struct Run {
    random: ChaCha8Rng,
    disk: Arc<FaultyDisk>,
    folder: PathBuf,
    options: StorageOptions,
    /// What was written well, and what the write that failed would have made of it.
    held: Held,
    tried: Option<Held>,
}

impl Run {
    fn new(seed: u64, root: &Path) -> Run {
        let disk = Arc::new(FaultyDisk::default());
        Run {
            random: ChaCha8Rng::seed_from_u64(seed),
            folder: root.join("data").join("member"),
            options: StorageOptions {
                segment_bytes: SEGMENT_BYTES,
                minimum_free_bytes: START_ROOM,
                files: Arc::new(FaultyFiles(disk.clone())),
                ..StorageOptions::default()
            },
            disk,
            held: Held::default(),
            tried: None,
        }
    }

    /// The disk fails from some call on, now and then.
    fn draw_fault(&mut self) {
        let fails = self.random.random_bool(0.4);
        let kinds = [
            io::ErrorKind::StorageFull,
            io::ErrorKind::FileTooLarge,
            io::ErrorKind::Other,
        ];
        let plan = Plan {
            after: fails.then(|| self.random.random_range(0..MOST_CALLS_BEFORE)),
            count: [1, 2, u64::MAX][self.random.random_range(0..3)],
            kind: Some(kinds[self.random.random_range(0..3)]),
            taken: self.random.random_range(0..1_001),
            happens: self.random.random_bool(0.5),
        };
        self.disk.set(plan);
    }

    fn play(&mut self) {
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

    /// Starts until it succeeds, the last time on a disk that is well; the first time there is no member yet.
    fn start(&mut self) -> Storage {
        for starts in 1.. {
            if starts >= MOST_STARTS {
                self.disk.set(Plan::default());
            }
            match self.open() {
                Ok((storage, restored)) => {
                    self.check(&restored);
                    return storage;
                }
                Err(error) => {
                    assert!(error.is_transient(), "a start is refused: {error}");
                    assert!(starts < MOST_STARTS, "a disk that is well: {error}");
                }
            }
            self.draw_fault();
        }
        unreachable!("the disk is well in the end")
    }

    fn open(&self) -> Result<(Storage, RestoredStorage), StorageError> {
        match Storage::open_with(&self.folder, self.options.clone()) {
            Err(StorageError::NotInitialized { .. }) => {
                assert_eq!(self.held, Held::default(), "what was written is gone");
                Storage::initialize_with(&self.folder, &self.options, identity(), initial())?;
                Storage::open_with(&self.folder, self.options.clone())
            }
            opened => opened,
        }
    }

    fn check(&mut self, restored: &RestoredStorage) {
        let found = Held::of(restored);
        let least = self.held;
        let most = self.tried.take().unwrap_or(least);
        let within = |low, found, high| (low..=high).contains(&found);
        assert!(
            within(least.term, found.term, most.term),
            "{least:?} {found:?} {most:?}"
        );
        assert!(
            within(least.last, found.last, most.last),
            "{least:?} {found:?} {most:?}"
        );
        assert!(
            found.snapshot == least.snapshot || found.snapshot == most.snapshot,
            "{least:?} {found:?} {most:?}"
        );
        let expected: Vec<u64> = (found.snapshot + 1..=found.last).collect();
        let indexes: Vec<u64> = restored
            .entries
            .iter()
            .map(|it| it.position.index)
            .collect();
        assert_eq!(indexes, expected, "entries without a gap");
        for held in &restored.entries {
            assert_eq!(*held, entry(1, held.position.index, BODY_BYTES));
        }
        if let Some(held) = &restored.snapshot {
            assert_eq!(*held, snapshot(1, found.snapshot));
        }
        self.held = found;
    }

    fn write(&mut self, storage: &mut Storage) -> Result<(), StorageError> {
        let mut next = self.held;
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
            Ok(()) => self.held = next,
            Err(_) => self.tried = Some(next),
        }
        written
    }

    fn check_bytes(&self) {
        let files = contents(&self.folder);
        let bytes: u64 = files.iter().map(|(_, bytes)| bytes.len() as u64).sum();
        assert!(bytes <= MOST_BYTES, "{bytes} bytes in the folder");
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
fn any_call_may_fail_and_nothing_that_was_written_is_lost() {
    for seed in seeds() {
        let root = tempfile::tempdir().expect("folder");
        let run = std::panic::AssertUnwindSafe(|| Run::new(seed, root.path()).play());
        let played = std::panic::catch_unwind(run);
        assert!(played.is_ok(), "seed {seed} failed");
    }
}
