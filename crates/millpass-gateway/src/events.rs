//! Whole events of a stream, and the identity of the last one.
//!
//! A resumable stream is passed on in complete events, so that it can go on elsewhere after the last
//! one: a part of an event whose rest never comes must not reach the caller.

use bytes::{Bytes, BytesMut};

/// End of an event.
const EVENT_DELIMITER: &[u8] = b"\n\n";
/// Field that holds an event's identity.
const ID_FIELD: &[u8] = b"id:";

/// Collects the bytes of a stream and gives complete events.
#[derive(Debug, Default)]
pub struct EventBuffer {
    pending: BytesMut,
    last: Option<String>,
}

impl EventBuffer {
    /// Takes bytes and gives the complete events that they complete, possibly none.
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

    /// Identity of the last complete event.
    pub fn last_identity(&self) -> Option<&str> {
        self.last.as_deref()
    }

    /// Whether the stream stands between two events.
    pub fn is_at_boundary(&self) -> bool {
        self.pending.is_empty()
    }

    /// Drops the part of an event that never became complete.
    pub fn discard_partial(&mut self) {
        self.pending.clear();
    }

    /// Bytes behind the last complete event.
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
