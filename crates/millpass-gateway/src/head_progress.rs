//! How far a connection is with the head of its next request.

use crate::caller_limits::{CallerLimits, FORWARD_HEADER_BYTES, USUAL_HEADERS, maximum_head_bytes};
use std::time::Instant;

/// Why a connection is not read any more.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum HeadExcess {
    /// The head does not end within the limit of bytes.
    TooLarge,
    /// The head does not end in time.
    Overdue,
    /// No request has come in time.
    Idle,
}

#[derive(Clone, Copy, Debug)]
enum Phase {
    Idle {
        since: Instant,
    },
    Head {
        began: Instant,
        bytes: usize,
        lines: usize,
    },
    /// A request is in progress.
    Responding {
        is_received: bool,
    },
}

/// Progress of a connection from one request to the next.
#[derive(Clone, Copy, Debug)]
pub(crate) struct HeadProgress {
    phase: Phase,
}

impl HeadProgress {
    pub(crate) fn new(now: Instant) -> Self {
        HeadProgress {
            phase: Phase::Idle { since: now },
        }
    }

    /// Records bytes that were read.
    pub(crate) fn record_read(&mut self, now: Instant, read: &[u8]) {
        let read_lines = || read.iter().filter(|byte| **byte == b'\n').count();
        match &mut self.phase {
            Phase::Idle { .. } => {
                self.phase = Phase::Head {
                    began: now,
                    bytes: read.len(),
                    lines: read_lines(),
                };
            }
            Phase::Head { bytes, lines, .. } => {
                *bytes = bytes.saturating_add(read.len());
                *lines = lines.saturating_add(read_lines());
            }
            Phase::Responding { .. } => {}
        }
    }

    /// Returns true if the head may have more header lines than usual. What follows the head in the
    /// same read counts, too.
    pub(crate) fn has_many_lines(&self) -> bool {
        matches!(self.phase, Phase::Head { lines, .. } if lines > USUAL_HEADERS)
    }

    /// Records that a head is complete.
    pub(crate) fn begin_response(&mut self) {
        self.phase = Phase::Responding { is_received: false };
    }

    /// Records that the request in progress is complete: what follows belongs to the next one.
    pub(crate) fn request_received(&mut self) {
        if let Phase::Responding { is_received } = &mut self.phase {
            *is_received = true;
        }
    }

    /// Returns whether bytes that arrive now belong to the next request, which must wait.
    pub(crate) fn must_next_wait(&self) -> bool {
        matches!(self.phase, Phase::Responding { is_received: true })
    }

    /// Records that a response is complete.
    pub(crate) fn end_response(&mut self, now: Instant) {
        self.phase = Phase::Idle { since: now };
    }

    /// Returns the number of bytes that may be read now; 0 if the head is too large.
    pub(crate) fn readable_bytes(&self, limits: &CallerLimits) -> usize {
        let read = match self.phase {
            Phase::Idle { .. } => 0,
            Phase::Head { bytes, .. } => bytes,
            Phase::Responding { .. } => return usize::MAX,
        };
        let most = maximum_head_bytes(limits.header_bytes()).saturating_add(FORWARD_HEADER_BYTES);
        most.saturating_sub(read)
    }

    /// Returns what is overdue; none if nothing is.
    pub(crate) fn overdue(&self, now: Instant, limits: &CallerLimits) -> Option<HeadExcess> {
        let deadline = self.deadline(limits)?;
        match self.phase {
            _ if now < deadline => None,
            Phase::Head { .. } => Some(HeadExcess::Overdue),
            Phase::Idle { .. } => Some(HeadExcess::Idle),
            Phase::Responding { .. } => None,
        }
    }

    /// Returns when the connection is to be given up; none while a response is in progress.
    pub(crate) fn deadline(&self, limits: &CallerLimits) -> Option<Instant> {
        match self.phase {
            Phase::Idle { since } => since.checked_add(limits.idle_timeout()),
            Phase::Head { began, .. } => began.checked_add(limits.header_timeout()),
            Phase::Responding { .. } => None,
        }
    }
}
