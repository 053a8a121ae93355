//! The storage of one member: opening, writing, snapshots.

use crate::append_file::{self, AppendFileFactory};
use crate::error::{AtPath, StorageError};
use crate::files::{self, FolderContent};
use crate::record::{self, Record};
use crate::restored::{MemberIdentity, RecoveryNote, RestoredStorage};
use crate::segment::{self, ActiveSegment, LoadedSegments, SegmentInfo};
use crate::snapshot_file::{self, IdentityRecord};
use millpass_proto::{HardState, LogEntry, LogPosition, Snapshot, SnapshotMeta};
use std::fs::{self, File};
use std::path::{Path, PathBuf};

/// Number of the first segment.
const FIRST_SEGMENT: u64 = 1;

/// Settings of the storage.
#[derive(Clone, Copy, Debug)]
pub struct StorageOptions {
    /// Size in bytes from which a new segment is started.
    pub segment_bytes: u64,
    /// How segment files are written; tests put a full disk in between.
    pub append_file: AppendFileFactory,
}

impl Default for StorageOptions {
    fn default() -> Self {
        StorageOptions {
            segment_bytes: 8 * 1024 * 1024,
            append_file: append_file::plain,
        }
    }
}

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
    folder: PathBuf,
    options: StorageOptions,
    _lock: File,
    hard_state: HardState,
    last: LogPosition,
    snapshot_index: u64,
    segments: Vec<SegmentInfo>,
    active: ActiveSegment,
}

impl Storage {
    /// Makes a folder that of a member: one that starts a group, or one about to join it (then
    /// `initial` has no members). `initial` is at position zero.
    pub fn initialize(
        folder: &Path,
        identity: MemberIdentity,
        initial: SnapshotMeta,
    ) -> Result<(), StorageError> {
        files::create_folder(folder)?;
        let _lock = files::lock(folder)?;
        if snapshot_file::read_identity(folder)?.is_some() {
            return Err(StorageError::AlreadyInitialized {
                folder: folder.to_owned(),
            });
        }
        let hard_state = HardState {
            term: 0,
            voted_for: None,
        };
        refuse_leftover_data(folder, &files::list(folder)?)?;
        segment::create(folder, FIRST_SEGMENT, &hard_state, initial.last)?;
        snapshot_file::write_identity(folder, &IdentityRecord { identity, initial })
    }

    /// Opens a folder that [`Storage::initialize`] made, with the default options.
    pub fn open(folder: &Path) -> Result<(Storage, RestoredStorage), StorageError> {
        Storage::open_with(folder, StorageOptions::default())
    }

    /// Opens a folder that [`Storage::initialize`] made.
    pub fn open_with(
        folder: &Path,
        options: StorageOptions,
    ) -> Result<(Storage, RestoredStorage), StorageError> {
        if !folder.try_exists().at(folder)? {
            return Err(StorageError::NotInitialized {
                folder: folder.to_owned(),
            });
        }
        let lock = files::lock(folder)?;
        let Some(record) = snapshot_file::read_identity(folder)? else {
            return Err(StorageError::NotInitialized {
                folder: folder.to_owned(),
            });
        };
        let content = files::list(folder)?;
        let loaded = segment::load(folder, &content.segments)?;
        let snapshot = match content.snapshots.last() {
            Some(index) => Some(snapshot_file::read_snapshot(folder, *index)?),
            None => None,
        };
        // Everything was read and found good: only now may anything be changed.
        open_checked(folder, options, lock, record, content, loaded, snapshot)
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
            self.remove_covered_files()?;
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
        self.remove_covered_files()
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

    fn append(&mut self, pending: &mut PendingRecords) -> Result<(), StorageError> {
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
        let path = files::segment_path(&self.folder, number);
        self.active = ActiveSegment::open(path, length, self.options.append_file)?;
        self.segments.push(SegmentInfo {
            number,
            start: self.last,
        });
        Ok(())
    }

    /// Removes older snapshots, and each segment whose successor started within the snapshot:
    /// all that it still says is covered by the snapshot and the successor's first record.
    fn remove_covered_files(&mut self) -> Result<(), StorageError> {
        for index in files::list(&self.folder)?.snapshots {
            if index < self.snapshot_index {
                remove(&files::snapshot_path(&self.folder, index))?;
            }
        }
        while let [oldest, next, ..] = self.segments.as_slice() {
            if next.start.index > self.snapshot_index {
                break;
            }
            remove(&files::segment_path(&self.folder, oldest.number))?;
            self.segments.remove(0);
        }
        Ok(())
    }
}

/// Records on their way to the disk, and the state after them.
struct PendingRecords {
    bytes: Vec<u8>,
    hard_state: HardState,
    last: LogPosition,
}

impl PendingRecords {
    fn new(hard_state: HardState, last: LogPosition) -> Self {
        PendingRecords {
            bytes: Vec::new(),
            hard_state,
            last,
        }
    }

    fn add(&mut self, record: Record) -> Result<(), StorageError> {
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

fn open_checked(
    folder: &Path,
    options: StorageOptions,
    lock: File,
    record: IdentityRecord,
    content: FolderContent,
    loaded: LoadedSegments,
    snapshot: Option<Snapshot>,
) -> Result<(Storage, RestoredStorage), StorageError> {
    let covered = snapshot
        .as_ref()
        .map_or(record.initial.last, |snapshot| snapshot.meta.last);
    refuse_uncovered_gap(folder, &loaded, covered)?;
    let newest = loaded.segments.last().map_or(0, |segment| segment.number);
    let path = files::segment_path(folder, newest);
    if loaded.replay.base.index > covered.index {
        let reason = "the snapshot before the log is missing";
        return Err(StorageError::corrupt(&path, 0, reason));
    }
    // A process that was killed after a rename may not have synced it; what follows relies on the names.
    files::sync_folder(folder)?;
    let reaches_snapshot = loaded.replay.contains(covered);
    let mut notes: Vec<RecoveryNote> = loaded.note.into_iter().collect();
    for file in content.temporary {
        remove(&file)?;
        notes.push(RecoveryNote::TemporaryFileRemoved { file });
    }
    for number in loaded.before_gap {
        let file = files::segment_path(folder, number);
        remove(&file)?;
        notes.push(RecoveryNote::CoveredSegmentRemoved { file });
    }
    let mut storage = Storage {
        folder: folder.to_owned(),
        options,
        _lock: lock,
        hard_state: loaded.replay.hard_state.clone(),
        last: loaded.replay.last(),
        snapshot_index: covered.index,
        segments: loaded.segments,
        active: ActiveSegment::open(path, loaded.newest_length, options.append_file)?,
    };
    let mut entries = loaded.replay.entries;
    if reaches_snapshot {
        entries.retain(|entry| entry.position.index > covered.index);
    } else {
        notes.push(RecoveryNote::LogReplaced {
            dropped: entries.len() as u64,
        });
        entries.clear();
        let mut pending = PendingRecords::new(storage.hard_state.clone(), storage.last);
        pending.add(Record::Replaced(covered))?;
        storage.append(&mut pending)?;
    }
    let restored = RestoredStorage {
        identity: record.identity,
        hard_state: storage.hard_state.clone(),
        initial: record.initial,
        snapshot,
        entries,
        notes,
    };
    Ok((storage, restored))
}

/// Segments before a gap may go only if the snapshot covers all up to the first one behind it.
fn refuse_uncovered_gap(
    folder: &Path,
    loaded: &LoadedSegments,
    covered: LogPosition,
) -> Result<(), StorageError> {
    let Some(first) = loaded.segments.first() else {
        return Ok(());
    };
    if loaded.before_gap.is_empty() || first.start.index <= covered.index {
        return Ok(());
    }
    let path = files::segment_path(folder, first.number);
    let reason = "the segment before it is missing";
    Err(StorageError::corrupt(&path, 0, reason))
}

/// Without an identity file nothing was ever acknowledged, unless that file was lost: then there
/// is more than what a broken-off initialization leaves.
fn refuse_leftover_data(folder: &Path, content: &FolderContent) -> Result<(), StorageError> {
    let fresh_only = content
        .segments
        .iter()
        .all(|number| *number == FIRST_SEGMENT);
    let mut leftover = !content.snapshots.is_empty() || !fresh_only;
    if let (true, Some(number)) = (fresh_only, content.segments.first()) {
        let loaded = segment::load(folder, &[*number])?;
        leftover |= !loaded.replay.entries.is_empty() || loaded.replay.hard_state.term > 0;
    }
    if leftover {
        let reason = "the identity file is missing, but the folder holds a member's log";
        return Err(StorageError::corrupt(
            &files::identity_path(folder),
            0,
            reason,
        ));
    }
    Ok(())
}

fn remove(path: &Path) -> Result<(), StorageError> {
    fs::remove_file(path).at(path)
}
