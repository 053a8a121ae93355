//! Splits a stream into complete events.
//!
//! A resumable stream is forwarded in complete events only: after a failure it resumes behind the
//! last one, so a partial event must not reach the caller.

use bytes::{Bytes, BytesMut};
use millpass_event_stream::EventScanner;

/// Maximum bytes of an event that is held until it is complete.
const MAXIMUM_EVENT_BYTES: usize = 1024 * 1024;

/// Buffers the bytes of a stream and returns complete events.
#[derive(Debug, Default)]
pub struct EventBuffer {
    pending: BytesMut,
    scanner: EventScanner,
}

impl EventBuffer {
    /// Appends bytes and returns the events that are now complete; empty if none.
    pub fn push(&mut self, bytes: &[u8]) -> Bytes {
        let before = self.pending.len();
        self.pending.extend_from_slice(bytes);
        match self.scanner.scan(bytes) {
            Some(end) => self.pending.split_to(before + end).freeze(),
            None => Bytes::new(),
        }
    }

    /// Returns whether the partial event is larger than any that is held.
    pub fn is_excessive(&self) -> bool {
        self.pending.len() > MAXIMUM_EVENT_BYTES
    }

    /// Returns the id of the last complete event.
    pub fn last_identity(&self) -> Option<&str> {
        self.scanner.last_id()
    }

    /// Returns whether no partial event is buffered.
    pub fn is_at_boundary(&self) -> bool {
        self.pending.is_empty()
    }

    /// Drops the buffered partial event: what follows is of another stream that continues this one.
    pub fn discard_partial(&mut self) {
        self.pending.clear();
        self.scanner.restart();
    }

    /// Takes the bytes behind the last complete event.
    pub fn take_remainder(&mut self) -> Bytes {
        self.pending.split().freeze()
    }
}

/// What is known of the events in a relayed body.
#[derive(Debug)]
pub(crate) enum BodyEvents {
    /// Not an event stream.
    None,
    /// Forwarded as it arrives.
    Followed(EventScanner),
    /// Forwarded in complete events.
    Buffered(EventBuffer),
}

impl BodyEvents {
    /// Returns the bytes to forward now that these have arrived; possibly none.
    pub(crate) fn push(&mut self, bytes: Bytes) -> Bytes {
        match self {
            BodyEvents::None => bytes,
            BodyEvents::Followed(scanner) => {
                scanner.scan(&bytes);
                bytes
            }
            BodyEvents::Buffered(buffer) => buffer.push(&bytes),
        }
    }

    /// Returns whether the body so far ends inside an event; none if it has no events.
    pub(crate) fn is_inside_event(&self) -> Option<bool> {
        match self {
            BodyEvents::None => None,
            BodyEvents::Followed(scanner) => Some(scanner.is_inside_event()),
            BodyEvents::Buffered(buffer) => Some(!buffer.is_at_boundary()),
        }
    }

    /// Returns whether a partial event has become too large to be held.
    pub(crate) fn is_excessive(&self) -> bool {
        matches!(self, BodyEvents::Buffered(buffer) if buffer.is_excessive())
    }

    /// Returns whether only complete events are forwarded.
    pub(crate) fn is_buffered(&self) -> bool {
        matches!(self, BodyEvents::Buffered(_))
    }

    /// Returns the id of the last event that was forwarded, if it is known.
    pub(crate) fn last_identity(&self) -> Option<String> {
        match self {
            BodyEvents::Buffered(buffer) => buffer.last_identity().map(str::to_owned),
            BodyEvents::None | BodyEvents::Followed(_) => None,
        }
    }

    /// Drops a partial event that was not forwarded.
    pub(crate) fn discard_partial(&mut self) {
        if let BodyEvents::Buffered(buffer) = self {
            buffer.discard_partial();
        }
    }

    /// Takes the bytes behind the last complete event.
    pub(crate) fn take_remainder(&mut self) -> Bytes {
        match self {
            BodyEvents::Buffered(buffer) => buffer.take_remainder(),
            BodyEvents::None | BodyEvents::Followed(_) => Bytes::new(),
        }
    }
}
