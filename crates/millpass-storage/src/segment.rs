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

/// A segment, as known while the storage is open.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SegmentInfo {
    /// Number; segments are numbered without gaps.
    pub(crate) number: u64,
    /// End of the log when the segment was started.
    pub(crate) start: LogPosition,
}

/// The segment that is appended to.
pub(crate) struct ActiveSegment {
    path: PathBuf,
    file: Box<dyn AppendFile>,
    length: u64,
    poisoned: bool,
}

impl ActiveSegment {
    /// Opens the newest segment for appending, after its last whole record. What was read of it is synced: a process
    /// that was killed may have left a write that never was, and the member is about to vouch for it.
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

    /// Length in bytes.
    pub(crate) fn length(&self) -> u64 {
        self.length
    }

    /// Appends bytes and syncs them. If they cannot be written or synced they are taken back, so that the next start does
    /// not vouch for what a file system shows that has given up writing it. If that or the sync fails, the segment takes
    /// no more writes, since it is not known any more what the disk holds.
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
            // Whether or not it can be taken back, the next start reads the disk again.
            let _ = self.file.truncate(self.length);
            return Err(StorageError::io(&self.path, error));
        }
        self.length += bytes.len() as u64;
        Ok(())
    }
}

/// Content of a fresh segment.
fn fresh(hard_state: &HardState, last: LogPosition) -> Result<Vec<u8>, StorageError> {
    let mut bytes = files::header(FileKind::Segment);
    let start = Record::Start {
        hard_state: hard_state.clone(),
        last,
    };
    record::encode_into(&mut bytes, &start)?;
    Ok(bytes)
}

/// Creates a segment; it appears with its first record or not at all. Returns its length.
pub(crate) fn create(
    folder: &DataFolder,
    number: u64,
    hard_state: &HardState,
    last: LogPosition,
) -> Result<u64, StorageError> {
    let bytes = fresh(hard_state, last)?;
    folder.write_whole(&files::segment_path(&folder.path, number), &[&bytes])?;
    Ok(bytes.len() as u64)
}

/// All segments of a folder, read.
pub(crate) struct LoadedSegments {
    /// Log and hard state.
    pub(crate) replay: Replay,
    /// Segments, oldest first.
    pub(crate) segments: Vec<SegmentInfo>,
    /// Numbers of segments that were not read, as one is missing behind them.
    pub(crate) before_gap: Vec<u64>,
    /// Length of the newest, without a torn end.
    pub(crate) newest_length: u64,
    /// Whether a torn end is to be cut off.
    pub(crate) note: Option<RecoveryNote>,
}

/// Reads all segments from the last gap in their numbers on. Changes nothing.
///
/// What stands before a gap was covered by a snapshot: removals of several segments may last over a
/// loss of power in any order. The caller checks that a snapshot reaches the first segment read.
pub(crate) fn load(folder: &DataFolder, numbers: &[u64]) -> Result<LoadedSegments, StorageError> {
    let (before_gap, numbers) = numbers.split_at(after_last_gap(numbers));
    let mut loaded: Option<LoadedSegments> = None;
    for (position, number) in numbers.iter().enumerate() {
        let is_newest = position + 1 == numbers.len();
        let path = files::segment_path(&folder.path, *number);
        load_one(folder, &path, *number, is_newest, &mut loaded)?;
    }
    let mut loaded = loaded.ok_or_else(|| {
        let reason = "the log has no segment";
        StorageError::corrupt(&files::segment_path(&folder.path, 1), 0, reason)
    })?;
    loaded.before_gap = before_gap.to_vec();
    Ok(loaded)
}

/// Position of the first number of the last run without a gap.
fn after_last_gap(numbers: &[u64]) -> usize {
    let follows_gap = |pair: &[u64]| pair[0] + 1 != pair[1];
    numbers
        .windows(2)
        .rposition(follows_gap)
        .map_or(0, |position| position + 1)
}

fn load_one(
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
        let reason = "a record is cut short, and a later segment exists";
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
