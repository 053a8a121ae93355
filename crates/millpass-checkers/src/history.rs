//! Timed events in order, stored in files as JSON lines.

use crate::event::Event;
use serde::{Deserialize, Serialize};
use std::io::{BufRead, Write};

/// One event with its time.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Record {
    /// Time in microseconds on the clock of the simulator or of the lab machine.
    pub at_micros: u64,
    /// Event.
    pub event: Event,
}

/// An error while reading or writing a history.
#[derive(Debug, thiserror::Error)]
pub enum HistoryError {
    /// A line could not be decoded.
    #[error(
        "invalid record in line {line}: {reason}; read the history with the release that wrote it"
    )]
    Malformed {
        /// Number of the line, from 1.
        line: usize,
        /// Error of the decoder.
        reason: String,
    },
    /// The file could not be read or written.
    #[error("cannot access the history file: {0}; check its path and the free disk space")]
    Io(#[from] std::io::Error),
}

/// Events in order of time.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct History {
    records: Vec<Record>,
}

impl History {
    /// Creates a history from records in any order; the sort by time is stable.
    pub fn new(mut records: Vec<Record>) -> Self {
        records.sort_by_key(|record| record.at_micros);
        History { records }
    }

    /// Appends an event, which must not be earlier than the last one.
    pub fn push(&mut self, at_micros: u64, event: Event) {
        debug_assert!(
            self.records
                .last()
                .is_none_or(|last| last.at_micros <= at_micros)
        );
        self.records.push(Record { at_micros, event });
    }

    /// Returns the records in order of time.
    pub fn records(&self) -> &[Record] {
        &self.records
    }

    /// Reads JSON lines and skips empty ones.
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
