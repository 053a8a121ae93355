//! Segments of the write-ahead log on disk.

use crate::append_file::AppendFile;
use crate::data_folder::DataFolder;
use crate::error::{AtPath, StorageError};
use crate::files::{self, FileKind, HEADER_BYTES};
use crate::record::{self, Record};
use crate::replay::Replay;
use crate::restored::RecoveryNote;
use millpass_proto::{HardState, LogPosition};
use std::path::{Path, PathBuf};

/// A segment of an open storage.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SegmentInfo {
    /// Number; consecutive segments have consecutive numbers.
    pub(crate) number: u64,
    /// Last log position when the segment was started.
    pub(crate) start: LogPosition,
}

/// The segment being appended to.
pub(crate) struct ActiveSegment {
    path: PathBuf,
    file: Box<dyn AppendFile>,
    length: u64,
    poisoned: bool,
}

impl ActiveSegment {
    /// Opens the newest segment for appending after its last complete record. Syncs it, because a
    /// killed process may have left an unsynced write that the member is about to acknowledge.
    pub(crate) fn open(
        folder: &DataFolder,
        path: PathBuf,
        length: u64,
    ) -> Result<Self, StorageError> {
        let mut file = folder.files.open_append(&path, length).at(&path)?;
        file.sync().at(&path)?;
        Ok(ActiveSegment {
            path,
            file,
            length,
            poisoned: false,
        })
    }

    /// Returns the length in bytes.
    pub(crate) fn length(&self) -> u64 {
        self.length
    }

    /// Appends and syncs bytes. On failure they are truncated, so that the next start does not
    /// acknowledge data that the file system still shows but failed to write. If the sync or
    /// truncation fails, the segment accepts no more writes, since the state of the disk is
    /// unknown.
    pub(crate) fn append_synced(&mut self, bytes: &[u8]) -> Result<(), StorageError> {
        if self.poisoned {
            return Err(StorageError::Poisoned {
                path: self.path.clone(),
            });
        }
        if let Err(error) = self.file.append(bytes) {
            self.poisoned = self.file.truncate(self.length).is_err();
            return Err(StorageError::io(&self.path, error));
        }
        if let Err(error) = self.file.sync() {
            self.poisoned = true;
            // Best effort: the next start reads the disk again.
            let _ = self.file.truncate(self.length);
            return Err(StorageError::io(&self.path, error));
        }
        self.length += bytes.len() as u64;
        Ok(())
    }
}

/// Returns the content of a new segment.
fn initial_content(hard_state: &HardState, last: LogPosition) -> Result<Vec<u8>, StorageError> {
    let mut bytes = files::header(FileKind::Segment);
    let start = Record::Start {
        hard_state: hard_state.clone(),
        last,
    };
    record::encode_into(&mut bytes, &start)?;
    Ok(bytes)
}

/// Creates a segment atomically with its first record. Returns its length in bytes.
pub(crate) fn create(
    folder: &DataFolder,
    number: u64,
    hard_state: &HardState,
    last: LogPosition,
) -> Result<u64, StorageError> {
    let bytes = initial_content(hard_state, last)?;
    folder.write_atomic(&files::segment_path(&folder.path, number), &[&bytes])?;
    Ok(bytes.len() as u64)
}

/// Replayed segments of a folder.
pub(crate) struct LoadedSegments {
    /// Log and hard state.
    pub(crate) replay: Replay,
    /// Segments, oldest first.
    pub(crate) segments: Vec<SegmentInfo>,
    /// Numbers of the skipped segments before a gap.
    pub(crate) before_gap: Vec<u64>,
    /// Length of the newest segment without a torn tail.
    pub(crate) newest_length: u64,
    /// Set if a torn tail is to be cut off.
    pub(crate) note: Option<RecoveryNote>,
}

/// Reads all segments after the last gap in their numbers, without changing them.
///
/// Segments before a gap were covered by a snapshot: after a power loss, removals may persist in any
/// order. The caller must check that a snapshot reaches the first segment read.
pub(crate) fn load(folder: &DataFolder, numbers: &[u64]) -> Result<LoadedSegments, StorageError> {
    let (before_gap, numbers) = numbers.split_at(after_last_gap(numbers));
    let mut loaded: Option<LoadedSegments> = None;
    for (position, number) in numbers.iter().enumerate() {
        let is_newest = position + 1 == numbers.len();
        let path = files::segment_path(&folder.path, *number);
        load_segment(folder, &path, *number, is_newest, &mut loaded)?;
    }
    let mut loaded = loaded.ok_or_else(|| {
        let reason = "the log has no segment";
        StorageError::corrupt(&files::segment_path(&folder.path, 1), 0, reason)
    })?;
    loaded.before_gap = before_gap.to_vec();
    Ok(loaded)
}

/// Returns the position of the first number after the last gap.
fn after_last_gap(numbers: &[u64]) -> usize {
    let follows_gap = |pair: &[u64]| pair[0] + 1 != pair[1];
    numbers
        .windows(2)
        .rposition(follows_gap)
        .map_or(0, |position| position + 1)
}

fn load_segment(
    folder: &DataFolder,
    path: &Path,
    number: u64,
    is_newest: bool,
    loaded: &mut Option<LoadedSegments>,
) -> Result<(), StorageError> {
    let bytes = folder.read(path)?;
    files::check_header(path, &bytes, FileKind::Segment)?;
    let scanned = record::scan(path, &bytes, HEADER_BYTES)?;
    let cut = (bytes.len() - scanned.valid_length) as u64;
    if cut > 0 && !is_newest {
        let offset = scanned.valid_length as u64;
        let reason = "a record is truncated, but a later segment exists";
        return Err(StorageError::corrupt(path, offset, reason));
    }
    let mut records = scanned.records.into_iter();
    let Some(Record::Start { hard_state, last }) = records.next() else {
        let reason = "the first record is missing";
        return Err(StorageError::corrupt(path, HEADER_BYTES as u64, reason));
    };
    let loaded = loaded.get_or_insert_with(|| LoadedSegments {
        replay: Replay::new(hard_state.clone(), last),
        segments: Vec::new(),
        before_gap: Vec::new(),
        newest_length: 0,
        note: None,
    });
    loaded
        .replay
        .apply(path, Record::Start { hard_state, last })?;
    for record in records {
        loaded.replay.apply(path, record)?;
    }
    loaded.segments.push(SegmentInfo {
        number,
        start: last,
    });
    loaded.newest_length = scanned.valid_length as u64;
    loaded.note = (cut > 0).then(|| RecoveryNote::TornTailCut {
        file: path.to_owned(),
        length: scanned.valid_length as u64,
        bytes: cut,
    });
    Ok(())
}
