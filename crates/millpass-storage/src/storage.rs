//! Storage of a member: opening, writing and snapshots.

use crate::data_folder::DataFolder;
use crate::error::StorageError;
use crate::files;
use crate::opening;
use crate::options::StorageOptions;
use crate::record::{self, Record};
use crate::restored::{MemberIdentity, RecoveryNote, RestoredStorage};
use crate::segment::{self, ActiveSegment, SegmentInfo};
use crate::snapshot_file::{self, IdentityRecord};
use millpass_proto::{HardState, LogEntry, LogPosition, Snapshot, SnapshotMeta};
use std::fs::File;
use std::path::Path;

/// Number of the first segment.
pub(crate) const FIRST_SEGMENT: u64 = 1;

/// A write requested by the consensus core.
#[derive(Clone, Copy, Debug, Default)]
pub struct StorageWrite<'a> {
    /// New term and vote.
    pub hard_state: Option<&'a HardState>,
    /// Received snapshot, which replaces the log.
    pub snapshot: Option<&'a Snapshot>,
    /// Entries to append. The log is first truncated before the index of the first one.
    pub entries: &'a [LogEntry],
}

/// An open data folder. Dropping it releases the lock.
pub struct Storage {
    pub(crate) folder: DataFolder,
    pub(crate) options: StorageOptions,
    pub(crate) _lock: File,
    pub(crate) hard_state: HardState,
    pub(crate) last: LogPosition,
    pub(crate) snapshot_index: u64,
    pub(crate) segments: Vec<SegmentInfo>,
    pub(crate) active: ActiveSegment,
    /// Failed cleanups, to be logged.
    pub(crate) notes: Vec<RecoveryNote>,
}

impl Storage {
    /// Initializes the folder of a member that bootstraps a group or is about to join one. `initial`
    /// is at position zero and has no members if the member is to join.
    pub fn initialize(
        folder: &Path,
        identity: MemberIdentity,
        initial: SnapshotMeta,
    ) -> Result<(), StorageError> {
        Storage::initialize_with(folder, &StorageOptions::default(), identity, initial)
    }

    /// Like [`Storage::initialize`], with options.
    pub fn initialize_with(
        folder: &Path,
        options: &StorageOptions,
        identity: MemberIdentity,
        initial: SnapshotMeta,
    ) -> Result<(), StorageError> {
        options.check()?;
        let folder = options.folder(folder);
        folder.create()?;
        let _lock = folder.lock()?;
        if snapshot_file::read_identity(&folder)?.is_some() {
            return Err(StorageError::AlreadyInitialized {
                folder: folder.path,
            });
        }
        let hard_state = HardState {
            term: 0,
            voted_for: None,
        };
        opening::refuse_leftover_data(&folder, &folder.list()?)?;
        segment::create(&folder, FIRST_SEGMENT, &hard_state, initial.last)?;
        snapshot_file::write_identity(&folder, &IdentityRecord { identity, initial })
    }

    /// Opens an initialized folder with the default options.
    pub fn open(folder: &Path) -> Result<(Storage, RestoredStorage), StorageError> {
        Storage::open_with(folder, StorageOptions::default())
    }

    /// Opens an initialized folder. Fails if the disk has too little free space, after removing
    /// incomplete files and files covered by a snapshot.
    pub fn open_with(
        folder: &Path,
        options: StorageOptions,
    ) -> Result<(Storage, RestoredStorage), StorageError> {
        options.check()?;
        let folder = options.folder(folder);
        if !folder.exists()? {
            return Err(StorageError::NotInitialized {
                folder: folder.path,
            });
        }
        let lock = folder.lock()?;
        let Some(record) = snapshot_file::read_identity(&folder)? else {
            return Err(StorageError::NotInitialized {
                folder: folder.path,
            });
        };
        let content = folder.list()?;
        let loaded = segment::load(&folder, &content.segments)?;
        let snapshot = match content.snapshots.last() {
            Some(index) => Some(snapshot_file::read_snapshot(&folder, *index)?),
            None => None,
        };
        // All files are valid: only now may the folder be modified.
        opening::open_checked(folder, options, lock, record, content, loaded, snapshot)
    }

    /// Writes and syncs a single write.
    pub fn write(
        &mut self,
        hard_state: Option<&HardState>,
        snapshot: Option<&Snapshot>,
        entries: &[LogEntry],
    ) -> Result<(), StorageError> {
        self.write_batch(&[StorageWrite {
            hard_state,
            snapshot,
            entries,
        }])
    }

    /// Writes several writes in order with one sync. After an error none of them counts as written.
    pub fn write_batch(&mut self, writes: &[StorageWrite<'_>]) -> Result<(), StorageError> {
        let mut pending = PendingRecords::new(self.hard_state.clone(), self.last);
        for write in writes {
            if let Some(snapshot) = write.snapshot {
                // The log is synced before the snapshot and replaced after it.
                self.append(&mut pending)?;
                self.install_snapshot_file(snapshot)?;
                pending.add(Record::Replaced(snapshot.meta.last))?;
            }
            if let Some(hard_state) = write.hard_state {
                pending.add(Record::HardState(hard_state.clone()))?;
            }
            for entry in write.entries {
                pending.add(Record::Entry(entry.clone()))?;
            }
        }
        self.append(&mut pending)?;
        if writes.iter().any(|write| write.snapshot.is_some()) {
            self.remove_obsolete_files();
        }
        Ok(())
    }

    /// Saves a snapshot of applied entries and removes the files it covers. The log is kept.
    pub fn save_snapshot(&mut self, snapshot: &Snapshot) -> Result<(), StorageError> {
        let last = snapshot.meta.last;
        if last.index <= self.snapshot_index {
            return Ok(());
        }
        self.install_snapshot_file(snapshot)?;
        if last.index > self.last.index {
            let mut pending = PendingRecords::new(self.hard_state.clone(), self.last);
            pending.add(Record::Replaced(last))?;
            self.append(&mut pending)?;
        }
        self.remove_obsolete_files();
        Ok(())
    }

    /// Returns the cleanups that failed since the last call, to be logged.
    pub fn take_notes(&mut self) -> Vec<RecoveryNote> {
        std::mem::take(&mut self.notes)
    }

    /// Returns the total size of the files in the folder, in bytes.
    pub fn bytes(&self) -> Result<u64, StorageError> {
        self.folder.bytes()
    }

    /// Returns the free bytes on the folder's disk, if the file system reports them.
    pub fn free_bytes(&self) -> Option<u64> {
        self.folder.files.free_bytes(&self.folder.path).ok()
    }

    /// Returns whether the log spans several segments, so that a snapshot would allow removing the first.
    pub fn is_snapshot_due(&self) -> bool {
        self.segments.len() > 1
    }

    /// Returns the size of the newest segment in bytes.
    pub fn active_segment_bytes(&self) -> u64 {
        self.active.length()
    }

    fn install_snapshot_file(&mut self, snapshot: &Snapshot) -> Result<(), StorageError> {
        snapshot_file::write_snapshot(&self.folder, snapshot)?;
        self.snapshot_index = snapshot.meta.last.index;
        Ok(())
    }

    pub(crate) fn append(&mut self, pending: &mut PendingRecords) -> Result<(), StorageError> {
        if pending.bytes.is_empty() {
            return Ok(());
        }
        if self.active.length() >= self.options.segment_bytes {
            self.start_segment()?;
        }
        self.active.append_synced(&pending.bytes)?;
        pending.bytes.clear();
        self.hard_state = pending.hard_state.clone();
        self.last = pending.last;
        Ok(())
    }

    fn start_segment(&mut self) -> Result<(), StorageError> {
        let newest = self.segments.last().map_or(0, |segment| segment.number);
        let number = newest + 1;
        let length = segment::create(&self.folder, number, &self.hard_state, self.last)?;
        let path = files::segment_path(&self.folder.path, number);
        self.active = ActiveSegment::open(&self.folder, path, length)?;
        self.segments.push(SegmentInfo {
            number,
            start: self.last,
        });
        // If the snapshot reaches the start of the new segment, the previous one is covered.
        self.remove_obsolete_files();
        Ok(())
    }

    /// Removes files covered by the newest snapshot. Failures are recorded; the next snapshot or
    /// start retries.
    fn remove_obsolete_files(&mut self) {
        let removals = self.remove_covered_files();
        let is_kept = |note: &RecoveryNote| matches!(note, RecoveryNote::FileKept { .. });
        self.notes.extend(removals.into_iter().filter(is_kept));
    }

    /// Removes older snapshots, and each segment whose successor starts within the snapshot: its
    /// content is covered by the snapshot and the first record of the successor.
    pub(crate) fn remove_covered_files(&mut self) -> Vec<RecoveryNote> {
        let mut notes = Vec::new();
        match self.folder.list() {
            Ok(content) => {
                let is_older = |index: &u64| *index < self.snapshot_index;
                for index in content.snapshots.into_iter().filter(is_older) {
                    let path = files::snapshot_path(&self.folder.path, index);
                    notes.push(opening::remove_covered(&self.folder, path));
                }
            }
            Err(error) => notes.push(RecoveryNote::FileKept {
                file: self.folder.path.clone(),
                reason: error.to_string(),
            }),
        }
        while let [oldest, next, ..] = self.segments.as_slice() {
            if next.start.index > self.snapshot_index {
                break;
            }
            let path = files::segment_path(&self.folder.path, oldest.number);
            let note = opening::remove_covered(&self.folder, path);
            let is_kept = matches!(note, RecoveryNote::FileKept { .. });
            notes.push(note);
            if is_kept {
                break;
            }
            self.segments.remove(0);
        }
        notes
    }
}

/// Encoded records to be written, and the state after them.
pub(crate) struct PendingRecords {
    bytes: Vec<u8>,
    hard_state: HardState,
    last: LogPosition,
}

impl PendingRecords {
    pub(crate) fn new(hard_state: HardState, last: LogPosition) -> Self {
        PendingRecords {
            bytes: Vec::new(),
            hard_state,
            last,
        }
    }

    pub(crate) fn add(&mut self, record: Record) -> Result<(), StorageError> {
        if let Record::Entry(entry) = &record
            && entry.position.index > self.last.index + 1
        {
            return Err(StorageError::OutOfOrder {
                last: self.last.index,
                found: entry.position.index,
            });
        }
        record::encode_into(&mut self.bytes, &record)?;
        match record {
            Record::HardState(hard_state) => self.hard_state = hard_state,
            Record::Entry(entry) => self.last = entry.position,
            Record::Replaced(position) => self.last = position,
            Record::Start { .. } => {}
        }
        Ok(())
    }
}
