//! Request history: one JSON line per request, in a file of bounded size.

use crate::answer::AnswerVerdict;
use crate::refusal::{Executed, RefusalFault};
use millpass_proto::{TenantName, Urgency};
use serde::{Deserialize, Serialize};
use std::fs::File;
use std::io::{self, BufWriter, Write};
use std::path::Path;

/// Outcome of a request as seen by its caller.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "kebab-case")]
pub enum Outcome {
    /// A response; the verdict states whether it is complete and belongs to the request.
    Answered {
        /// HTTP status.
        status: u16,
        /// Result of checking the response.
        verdict: AnswerVerdict,
        /// The response was replayed from an earlier request with the same key.
        replayed: bool,
    },
    /// A refusal with all required fields.
    Refused {
        /// HTTP status; 200 for an error reported inside a stream.
        status: u16,
        /// Code.
        code: String,
        /// Whether the request was executed.
        executed: Executed,
        /// Retry-After, in seconds.
        retry_after_seconds: Option<u64>,
    },
    /// A refusal with missing or contradictory fields.
    FaultyRefusal {
        /// HTTP status.
        status: u16,
        /// Fault found.
        fault: RefusalFault,
    },
    /// The connection could not be opened, or was closed before a response.
    TransportError {
        /// Cause.
        reason: String,
    },
    /// No response within the deadline and the grace period.
    NoAnswer,
    /// The deadline passed while the request waited for a free caller thread.
    NotSent,
}

/// One request in the history. Times are in microseconds from the start of the run.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HistoryRecord {
    /// Number in the schedule.
    pub request: u64,
    /// Tenant.
    pub tenant: TenantName,
    /// Idempotency key.
    pub key: Option<String>,
    /// Label of the requested target.
    pub target: String,
    /// Index of the router.
    pub router: usize,
    /// Urgency.
    pub urgency: Urgency,
    /// Whether the request belongs to a burst for cold models.
    pub burst: bool,
    /// Text unique to this request; a repeat has the same one.
    pub nonce: String,
    /// Due time.
    pub due_micros: u64,
    /// Send time.
    pub sent_micros: u64,
    /// Arrival of the first token or byte.
    pub first_micros: Option<u64>,
    /// End time.
    pub ended_micros: u64,
    /// Deadline.
    pub deadline_micros: u64,
    /// Outcome.
    pub outcome: Outcome,
    /// Correct tokens received.
    pub tokens: u32,
    /// Tokens requested.
    pub tokens_asked: u32,
    /// Longest interval between two tokens.
    pub longest_pause_micros: u64,
    /// Whether the time to first token exceeded the cold-start threshold.
    pub cold: bool,
}

impl HistoryRecord {
    /// Returns whether the caller received its complete response.
    pub fn is_whole(&self) -> bool {
        matches!(
            self.outcome,
            Outcome::Answered {
                verdict: AnswerVerdict::Whole,
                ..
            }
        )
    }

    /// Returns whether the request ended within its deadline plus `grace_micros`.
    pub fn is_in_time(&self, grace_micros: u64) -> bool {
        self.ended_micros <= self.deadline_micros + grace_micros
    }
}

/// Writes a history to a file of bounded size.
pub struct HistoryWriter {
    file: BufWriter<File>,
    written: u64,
    maximum: u64,
    skipped: u64,
}

impl HistoryWriter {
    /// Creates the file. Records beyond `maximum_bytes` are counted but not written.
    pub fn create(path: &Path, maximum_bytes: u64) -> io::Result<Self> {
        Ok(HistoryWriter {
            file: BufWriter::new(File::create(path)?),
            written: 0,
            maximum: maximum_bytes,
            skipped: 0,
        })
    }

    /// Writes one record, or counts it as skipped if it does not fit.
    pub fn write(&mut self, record: &HistoryRecord) -> io::Result<()> {
        let mut line = serde_json::to_vec(record).map_err(io::Error::other)?;
        line.push(b'\n');
        let length = line.len() as u64;
        if self.written + length > self.maximum {
            self.skipped += 1;
            return Ok(());
        }
        self.file.write_all(&line)?;
        self.written += length;
        Ok(())
    }

    /// Flushes the file; returns the number of records that did not fit.
    pub fn finish(mut self) -> io::Result<u64> {
        self.file.flush()?;
        Ok(self.skipped)
    }
}

/// Reads a history. Any line that does not parse is an error.
pub fn read_history(path: &Path) -> io::Result<Vec<HistoryRecord>> {
    let text = std::fs::read_to_string(path)?;
    let parse = |line: &str| serde_json::from_str(line).map_err(io::Error::other);
    text.lines().map(parse).collect()
}
