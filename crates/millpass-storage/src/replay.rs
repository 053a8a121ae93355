//! Rebuilds hard state and log from records.

use crate::error::StorageError;
use crate::record::Record;
use millpass_proto::{HardState, LogEntry, LogPosition};
use std::path::Path;

/// State after some records. Invariant: `entries` are contiguous and follow `base`.
#[derive(Debug)]
pub(crate) struct Replay {
    /// Hard state.
    pub(crate) hard_state: HardState,
    /// Position before the first entry.
    pub(crate) base: LogPosition,
    /// Entries.
    pub(crate) entries: Vec<LogEntry>,
}

impl Replay {
    /// State at the start of the oldest segment kept.
    pub(crate) fn new(hard_state: HardState, base: LogPosition) -> Self {
        Replay {
            hard_state,
            base,
            entries: Vec::new(),
        }
    }

    /// End of the log.
    pub(crate) fn last(&self) -> LogPosition {
        self.entries
            .last()
            .map_or(self.base, |entry| entry.position)
    }

    /// Whether the log holds a position.
    pub(crate) fn contains(&self, position: LogPosition) -> bool {
        if position.index <= self.base.index {
            return position == self.base;
        }
        let offset = (position.index - self.base.index - 1) as usize;
        self.entries
            .get(offset)
            .is_some_and(|entry| entry.position == position)
    }

    /// Takes one record. `Start` must agree with what came before.
    pub(crate) fn apply(&mut self, file: &Path, record: Record) -> Result<(), StorageError> {
        match record {
            Record::Start { hard_state, last } => {
                if hard_state != self.hard_state || last != self.last() {
                    let reason = "the segment does not continue the one before";
                    return Err(StorageError::corrupt(file, 0, reason));
                }
            }
            Record::HardState(hard_state) => self.hard_state = hard_state,
            Record::Replaced(position) => {
                self.base = position;
                self.entries.clear();
            }
            Record::Entry(entry) => self.take_entry(file, entry)?,
        }
        Ok(())
    }

    fn take_entry(&mut self, file: &Path, entry: LogEntry) -> Result<(), StorageError> {
        let index = entry.position.index;
        if index > self.last().index + 1 {
            let reason = format!("entry {index} does not follow the log");
            return Err(StorageError::corrupt(file, 0, reason));
        }
        if index <= self.base.index {
            // Cut below the start of the oldest segment kept: a snapshot covers that start, so
            // what is missing between is in the snapshot.
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
