//! A history: timed events in order, kept as one JSON object a line in files.

use crate::event::Event;
use serde::{Deserialize, Serialize};
use std::io::{BufRead, Write};

/// One event with its time.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Record {
    /// Microseconds of the run's one clock: the simulator's, or the lab machine's.
    pub at_micros: u64,
    /// Event.
    pub event: Event,
}

/// Why a history could not be read or written.
#[derive(Debug, thiserror::Error)]
pub enum HistoryError {
    /// A line is not a record.
    #[error("line {line} is not a record ({reason}); write the history with the same release")]
    Malformed {
        /// Number of the line, from 1.
        line: usize,
        /// What the decoder says.
        reason: String,
    },
    /// The file failed.
    #[error("history file failed: {0}; check path and space")]
    Io(#[from] std::io::Error),
}

/// Events in order of time.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct History {
    records: Vec<Record>,
}

impl History {
    /// Takes records in any order and sorts them by time; equal times keep their order.
    pub fn new(mut records: Vec<Record>) -> Self {
        records.sort_by_key(|record| record.at_micros);
        History { records }
    }

    /// Appends an event that is no earlier than the last.
    pub fn push(&mut self, at_micros: u64, event: Event) {
        debug_assert!(
            self.records
                .last()
                .is_none_or(|last| last.at_micros <= at_micros)
        );
        self.records.push(Record { at_micros, event });
    }

    /// The records in order.
    pub fn records(&self) -> &[Record] {
        &self.records
    }

    /// Reads a file of JSON lines; empty lines are passed over.
    pub fn read(reader: impl BufRead) -> Result<Self, HistoryError> {
        let mut records = Vec::new();
        for (number, line) in reader.lines().enumerate() {
            let line = line?;
            if line.trim().is_empty() {
                continue;
            }
            let record = serde_json::from_str(&line).map_err(|error| HistoryError::Malformed {
                line: number + 1,
                reason: error.to_string(),
            })?;
            records.push(record);
        }
        Ok(History::new(records))
    }

    /// Writes the records as JSON lines.
    pub fn write(&self, writer: &mut impl Write) -> Result<(), HistoryError> {
        for record in &self.records {
            let line = serde_json::to_string(record).map_err(std::io::Error::other)?;
            writeln!(writer, "{line}")?;
        }
        Ok(())
    }
}
