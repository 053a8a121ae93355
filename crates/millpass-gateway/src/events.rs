//! Whole events of a stream, and the identity of the last one.
//!
//! A resumable stream is passed on in whole events, so that it can go on elsewhere after the last
//! one: a part of an event whose rest never comes must not reach the caller.

use bytes::{Bytes, BytesMut};

/// End of an event.
const EVENT_END: &[u8] = b"\n\n";
/// Field that holds an event's identity.
const IDENTITY_FIELD: &[u8] = b"id:";

/// Collects the bytes of a stream and gives whole events.
#[derive(Debug, Default)]
pub struct EventBuffer {
    pending: BytesMut,
    last: Option<String>,
}

impl EventBuffer {
    /// Takes bytes and gives the whole events that they complete, possibly none.
    pub fn push(&mut self, bytes: &[u8]) -> Bytes {
        self.pending.extend_from_slice(bytes);
        let Some(end) = last_end(&self.pending) else {
            return Bytes::new();
        };
        let whole = self.pending.split_to(end).freeze();
        if let Some(identity) = last_identity(&whole) {
            self.last = Some(identity);
        }
        whole
    }

    /// Identity of the last whole event.
    pub fn last_identity(&self) -> Option<&str> {
        self.last.as_deref()
    }

    /// Whether the stream stands between two events.
    pub fn is_at_boundary(&self) -> bool {
        self.pending.is_empty()
    }

    /// Drops the part of an event that never became whole.
    pub fn discard_partial(&mut self) {
        self.pending.clear();
    }

    /// Bytes behind the last whole event.
    pub fn take_remainder(&mut self) -> Bytes {
        self.pending.split().freeze()
    }
}

fn last_end(bytes: &[u8]) -> Option<usize> {
    let place = bytes
        .windows(EVENT_END.len())
        .rposition(|window| window == EVENT_END)?;
    Some(place + EVENT_END.len())
}

fn last_identity(events: &[u8]) -> Option<String> {
    let line = events
        .split(|byte| *byte == b'\n')
        .rfind(|line| line.starts_with(IDENTITY_FIELD))?;
    let text = std::str::from_utf8(&line[IDENTITY_FIELD.len()..]).ok()?;
    Some(text.trim().to_owned())
}
