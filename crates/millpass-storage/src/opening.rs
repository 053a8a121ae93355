//! Opening of a data folder: checks, repairs and cleanup.

use crate::data_folder::DataFolder;
use crate::error::{AtPath, StorageError};
use crate::files::{self, FolderContent};
use crate::options::StorageOptions;
use crate::record::Record;
use crate::restored::{RecoveryNote, RestoredStorage};
use crate::segment::{self, ActiveSegment, LoadedSegments};
use crate::snapshot_file::IdentityRecord;
use crate::storage::{FIRST_SEGMENT, PendingRecords, Storage};
use millpass_proto::{LogPosition, Snapshot};
use std::fs::File;
use std::path::PathBuf;

/// Name of the file that probes for free space.
const SPACE_PROBE_NAME: &str = "room";

/// Opens a folder whose files were validated, and repairs the remains of failed or interrupted writes.
pub(crate) fn open_checked(
    folder: DataFolder,
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
    refuse_uncovered_gap(&folder, &loaded, covered)?;
    let newest = loaded.segments.last().map_or(0, |segment| segment.number);
    let path = files::segment_path(&folder.path, newest);
    if loaded.replay.base.index > covered.index {
        let reason = "the snapshot before the log is missing";
        return Err(StorageError::corrupt(&path, 0, reason));
    }
    let reaches_snapshot = loaded.replay.contains(covered);
    let mut notes: Vec<RecoveryNote> = loaded.note.into_iter().collect();
    // Incomplete files are removed first, since a full disk may need their space.
    for file in content.temporary {
        notes.push(match folder.remove(&file) {
            Ok(()) => RecoveryNote::TemporaryFileRemoved { file },
            Err(error) => file_kept(file, &error),
        });
    }
    // A process killed after a rename may not have synced the folder.
    folder.sync()?;
    for number in loaded.before_gap {
        let file = files::segment_path(&folder.path, number);
        notes.push(remove_covered(&folder, file));
    }
    let mut storage = Storage {
        active: ActiveSegment::open(&folder, path, loaded.newest_length)?,
        folder,
        options,
        _lock: lock,
        hard_state: loaded.replay.hard_state.clone(),
        last: loaded.replay.last(),
        snapshot_index: covered.index,
        segments: loaded.segments,
        notes: Vec::new(),
    };
    notes.extend(storage.remove_covered_files());
    notes.extend(probe_free_space(
        &storage.folder,
        storage.options.minimum_free_bytes,
    )?);
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

/// Checks for free space by writing, syncing and removing a file of `bytes` bytes. If it cannot be
/// removed, a note is returned and the next start removes it.
fn probe_free_space(folder: &DataFolder, bytes: u64) -> Result<Option<RecoveryNote>, StorageError> {
    let path = files::temporary_path(&folder.path.join(SPACE_PROBE_NAME));
    let zeros = vec![0; bytes as usize];
    let written = folder.files.write_synced(&path, &[&zeros]).at(&path);
    let removed = folder.files.remove(&path).at(&path);
    written?;
    Ok(removed.err().map(|error| file_kept(path, &error)))
}

/// Fails if segments are missing that the snapshot does not cover.
fn refuse_uncovered_gap(
    folder: &DataFolder,
    loaded: &LoadedSegments,
    covered: LogPosition,
) -> Result<(), StorageError> {
    let Some(first) = loaded.segments.first() else {
        return Ok(());
    };
    if loaded.before_gap.is_empty() || first.start.index <= covered.index {
        return Ok(());
    }
    let path = files::segment_path(&folder.path, first.number);
    let reason = "the segment before it is missing";
    Err(StorageError::corrupt(&path, 0, reason))
}

/// Fails if a folder without an identity file holds more data than an interrupted initialization
/// leaves, because the identity file was then lost.
pub(crate) fn refuse_leftover_data(
    folder: &DataFolder,
    content: &FolderContent,
) -> Result<(), StorageError> {
    let initial_only = content
        .segments
        .iter()
        .all(|number| *number == FIRST_SEGMENT);
    let mut leftover = !content.snapshots.is_empty() || !initial_only;
    if let (true, Some(number)) = (initial_only, content.segments.first()) {
        let loaded = segment::load(folder, &[*number])?;
        leftover |= !loaded.replay.entries.is_empty() || loaded.replay.hard_state.term > 0;
    }
    if leftover {
        let reason = "the identity file is missing, but the folder holds a member's log";
        return Err(StorageError::corrupt(
            &files::identity_path(&folder.path),
            0,
            reason,
        ));
    }
    Ok(())
}

/// Removes a file covered by a snapshot.
pub(crate) fn remove_covered(folder: &DataFolder, file: PathBuf) -> RecoveryNote {
    match folder.remove(&file) {
        Ok(()) => RecoveryNote::CoveredFileRemoved { file },
        Err(error) => file_kept(file, &error),
    }
}

fn file_kept(file: PathBuf, error: &StorageError) -> RecoveryNote {
    RecoveryNote::FileKept {
        file,
        reason: error.to_string(),
    }
}
