//! The storage of one member: opening, writing, snapshots.

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

/// One write, as the consensus core asks for it.
#[derive(Clone, Copy, Debug, Default)]
pub struct StorageWrite<'a> {
    /// New term and vote.
    pub hard_state: Option<&'a HardState>,
    /// A received snapshot, which replaces the log.
    pub snapshot: Option<&'a Snapshot>,
    /// Entries; the log is cut before the first one's index.
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
    /// What could not be done, to be logged.
    pub(crate) notes: Vec<RecoveryNote>,
}

impl Storage {
    /// Makes a folder that of a member: one that starts a group, or one about to join it (then
    /// `initial` has no members). `initial` is at position zero.
    pub fn initialize(
        folder: &Path,
        identity: MemberIdentity,
        initial: SnapshotMeta,
    ) -> Result<(), StorageError> {
        Storage::initialize_with(folder, &StorageOptions::default(), identity, initial)
    }

    /// The same with options.
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

    /// Opens a folder that [`Storage::initialize`] made, with the default options.
    pub fn open(folder: &Path) -> Result<(Storage, RestoredStorage), StorageError> {
        Storage::open_with(folder, StorageOptions::default())
    }

    /// Opens a folder that [`Storage::initialize`] made. Refused while there is no room to go on; what a snapshot covers
    /// and what was left half-written is removed first, which needs none.
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
        // Everything was read and found good: only now may anything be changed.
        opening::open_checked(folder, options, lock, record, content, loaded, snapshot)
    }

    /// Writes and syncs.
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

    /// Writes several, in order, under one sync. After an error none of them counts as written.
    pub fn write_batch(&mut self, writes: &[StorageWrite<'_>]) -> Result<(), StorageError> {
        let mut pending = PendingRecords::new(self.hard_state.clone(), self.last);
        for write in writes {
            if let Some(snapshot) = write.snapshot {
                // The log is synced before the snapshot is, and replaced only after.
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
            self.clean_up();
        }
        Ok(())
    }

    /// Saves a snapshot of applied entries and removes what it makes superfluous. The log stays.
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
        self.clean_up();
        Ok(())
    }

    /// What could not be done since the last call; to be logged.
    pub fn take_notes(&mut self) -> Vec<RecoveryNote> {
        std::mem::take(&mut self.notes)
    }

    /// Bytes of all files of the folder, as the file system says.
    pub fn bytes(&self) -> Result<u64, StorageError> {
        self.folder.bytes()
    }

    /// Bytes that the folder's disk has left, where the file system says.
    pub fn free_bytes(&self) -> Option<u64> {
        self.folder.files.free_bytes(&self.folder.path).ok()
    }

    /// Whether the log is longer than a segment: a snapshot would let the first one go.
    pub fn is_snapshot_due(&self) -> bool {
        self.segments.len() > 1
    }

    /// Bytes of the newest segment.
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
        // Where the snapshot reaches the start of the new segment, the one before is covered.
        self.clean_up();
        Ok(())
    }

    /// Removes what the newest snapshot covers. What cannot be removed takes room and nothing else: it is noted, and the
    /// next snapshot or start tries again.
    fn clean_up(&mut self) {
        let removals = self.remove_covered_files();
        let kept = |note: &RecoveryNote| matches!(note, RecoveryNote::FileKept { .. });
        self.notes.extend(removals.into_iter().filter(kept));
    }

    /// Removes older snapshots, and each segment whose successor started within the snapshot:
    /// all that it still says is covered by the snapshot and the successor's first record.
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

/// Records on their way to the disk, and the state after them.
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
