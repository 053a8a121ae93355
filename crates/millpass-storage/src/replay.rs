//! Replay of records into hard state and log.

use crate::error::StorageError;
use crate::record::Record;
use millpass_proto::{HardState, LogEntry, LogPosition};
use std::path::Path;

/// State after the replayed records. Invariant: `entries` are contiguous and follow `base`.
#[derive(Debug)]
pub(crate) struct Replay {
    pub(crate) hard_state: HardState,
    /// Position before the first entry.
    pub(crate) base: LogPosition,
    pub(crate) entries: Vec<LogEntry>,
}

impl Replay {
    /// Creates the state at the start of the oldest segment.
    pub(crate) fn new(hard_state: HardState, base: LogPosition) -> Self {
        Replay {
            hard_state,
            base,
            entries: Vec::new(),
        }
    }

    /// Returns the position of the last entry, or the base of an empty log.
    pub(crate) fn last(&self) -> LogPosition {
        self.entries
            .last()
            .map_or(self.base, |entry| entry.position)
    }

    /// Returns whether the log contains a position.
    pub(crate) fn contains(&self, position: LogPosition) -> bool {
        if position.index <= self.base.index {
            return position == self.base;
        }
        let offset = (position.index - self.base.index - 1) as usize;
        self.entries
            .get(offset)
            .is_some_and(|entry| entry.position == position)
    }

    /// Applies a record. `Start` must match the state so far.
    pub(crate) fn apply(&mut self, file: &Path, record: Record) -> Result<(), StorageError> {
        match record {
            Record::Start { hard_state, last } => {
                if hard_state != self.hard_state || last != self.last() {
                    let reason = "the segment does not continue the previous one";
                    return Err(StorageError::corrupt(file, 0, reason));
                }
            }
            Record::HardState(hard_state) => self.hard_state = hard_state,
            Record::Replaced(position) => {
                self.base = position;
                self.entries.clear();
            }
            Record::Entry(entry) => self.apply_entry(file, entry)?,
        }
        Ok(())
    }

    fn apply_entry(&mut self, file: &Path, entry: LogEntry) -> Result<(), StorageError> {
        let index = entry.position.index;
        if index > self.last().index + 1 {
            let reason = format!("entry {index} does not follow the log");
            return Err(StorageError::corrupt(file, 0, reason));
        }
        if index <= self.base.index {
            // Truncated before the oldest segment, whose start is covered by a snapshot: the
            // missing entries are in the snapshot.
            self.base = entry.position;
            self.entries.clear();
            return Ok(());
        }
        self.entries
            .truncate((index - self.base.index - 1) as usize);
        self.entries.push(entry);
        Ok(())
    }
}
