//! Splits a stream into complete events.
//!
//! A resumable stream is forwarded in complete events only: after a failure it resumes behind the last
//! one, so a partial event must not reach the caller.

use bytes::{Bytes, BytesMut};

const EVENT_DELIMITER: &[u8] = b"\n\n";
const ID_FIELD: &[u8] = b"id:";

/// Buffers the bytes of a stream and returns complete events.
#[derive(Debug, Default)]
pub struct EventBuffer {
    pending: BytesMut,
    last: Option<String>,
}

impl EventBuffer {
    /// Appends bytes and returns the events that are now complete; empty if none.
    pub fn push(&mut self, bytes: &[u8]) -> Bytes {
        self.pending.extend_from_slice(bytes);
        let Some(end) = last_end(&self.pending) else {
            return Bytes::new();
        };
        let complete = self.pending.split_to(end).freeze();
        if let Some(identity) = last_identity(&complete) {
            self.last = Some(identity);
        }
        complete
    }

    /// Returns the id of the last complete event.
    pub fn last_identity(&self) -> Option<&str> {
        self.last.as_deref()
    }

    /// Returns whether no partial event is buffered.
    pub fn is_at_boundary(&self) -> bool {
        self.pending.is_empty()
    }

    /// Drops the buffered partial event.
    pub fn discard_partial(&mut self) {
        self.pending.clear();
    }

    /// Takes the bytes behind the last complete event.
    pub fn take_remainder(&mut self) -> Bytes {
        self.pending.split().freeze()
    }
}

fn last_end(bytes: &[u8]) -> Option<usize> {
    let position = bytes
        .windows(EVENT_DELIMITER.len())
        .rposition(|window| window == EVENT_DELIMITER)?;
    Some(position + EVENT_DELIMITER.len())
}

fn last_identity(events: &[u8]) -> Option<String> {
    let line = events
        .split(|byte| *byte == b'\n')
        .rfind(|line| line.starts_with(ID_FIELD))?;
    let text = std::str::from_utf8(&line[ID_FIELD.len()..]).ok()?;
    Some(text.trim().to_owned())
}
