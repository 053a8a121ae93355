//! The history: what was asked and what came of it, one JSON line a request, in a bounded file.

use crate::answer::AnswerVerdict;
use crate::refusal::{Executed, RefusalFault};
use millpass_proto::{TenantName, Urgency};
use serde::{Deserialize, Serialize};
use std::fs::File;
use std::io::{self, BufWriter, Write};
use std::path::Path;

/// How a request ended for its caller.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "kebab-case")]
pub enum Outcome {
    /// An answer; the verdict says whether it is whole and own.
    Answered {
        /// HTTP status.
        status: u16,
        /// Verdict.
        verdict: AnswerVerdict,
        /// The answer was recorded earlier for the same key.
        replayed: bool,
    },
    /// A refusal that says all it must.
    Refused {
        /// HTTP status; 200 for an error told inside a stream.
        status: u16,
        /// Code.
        code: String,
        /// Whether the request ran.
        executed: Executed,
        /// When to come back, in seconds.
        retry_after_seconds: Option<u64>,
    },
    /// A refusal that lacks something.
    FaultyRefusal {
        /// HTTP status.
        status: u16,
        /// What is wrong.
        fault: RefusalFault,
    },
    /// The connection could not be made, or broke without an answer.
    TransportError {
        /// Cause.
        reason: String,
    },
    /// No answer by the deadline and the grace after it.
    NoAnswer,
    /// The bounded pool of callers was full for so long that the request was never sent.
    NotSent,
}

/// One request in the history. Times are microseconds from the start of the run.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HistoryRecord {
    /// Number in the schedule.
    pub request: u64,
    /// Tenant.
    pub tenant: TenantName,
    /// Idempotency key.
    pub key: Option<String>,
    /// What was asked for.
    pub target: String,
    /// Index of the router.
    pub router: usize,
    /// Urgency.
    pub urgency: Urgency,
    /// Part of a burst of cold models.
    pub burst: bool,
    /// Text only this request holds (repeats share it).
    pub nonce: String,
    /// When it was due.
    pub due_micros: u64,
    /// When it was sent.
    pub sent_micros: u64,
    /// When the first token or byte came.
    pub first_micros: Option<u64>,
    /// When it ended.
    pub ended_micros: u64,
    /// Deadline.
    pub deadline_micros: u64,
    /// Outcome.
    pub outcome: Outcome,
    /// Tokens received of the own answer.
    pub tokens: u32,
    /// Tokens asked for.
    pub tokens_asked: u32,
    /// Longest pause between two tokens.
    pub longest_pause_micros: u64,
    /// Whether the model was cold for this request, as the answer or the wait tells.
    pub cold: bool,
}

impl HistoryRecord {
    /// Whether the caller got the whole of its own answer.
    pub fn is_whole(&self) -> bool {
        matches!(
            self.outcome,
            Outcome::Answered {
                verdict: AnswerVerdict::Whole,
                ..
            }
        )
    }

    /// Whether the request ended by its deadline, with this grace for the way back.
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
    /// Creates the file; records beyond `maximum_bytes` are counted and not written.
    pub fn create(path: &Path, maximum_bytes: u64) -> io::Result<Self> {
        Ok(HistoryWriter {
            file: BufWriter::new(File::create(path)?),
            written: 0,
            maximum: maximum_bytes,
            skipped: 0,
        })
    }

    /// Writes one record.
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

    /// Ends the file; gives the records that did not fit.
    pub fn finish(mut self) -> io::Result<u64> {
        self.file.flush()?;
        Ok(self.skipped)
    }
}

/// Reads a history back. A line that does not parse is an error: histories are evidence.
pub fn read_history(path: &Path) -> io::Result<Vec<HistoryRecord>> {
    let text = std::fs::read_to_string(path)?;
    let parse = |line: &str| serde_json::from_str(line).map_err(io::Error::other);
    text.lines().map(parse).collect()
}
