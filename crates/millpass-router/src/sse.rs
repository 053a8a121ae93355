//! Parser for server-sent events of a streamed completion.

use bytes::{Bytes, BytesMut};
use serde::Deserialize;
use serde::de::IgnoredAny;
use std::borrow::Cow;

/// Maximum size of one event; a larger one fails the stream.
const MAXIMUM_EVENT_BYTES: usize = 1024 * 1024;
/// Data of the event that ends a complete stream.
const DONE: &[u8] = b"[DONE]";

/// One event of a stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StreamEvent {
    /// An event to forward unchanged.
    Data {
        /// Raw bytes, including the terminating blank line.
        raw: Bytes,
        /// Tokens in the event: 1, or 0 for an event without text.
        tokens: u64,
    },
    /// End of a complete stream.
    Done,
    /// The engine reported an error.
    Error,
}

/// Reason why a stream cannot be parsed further.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum StreamError {
    /// An event exceeds the maximum size.
    #[error("event exceeds {MAXIMUM_EVENT_BYTES} bytes; the engine must send smaller events")]
    EventTooLong,
}

/// Splits a byte stream into events, independent of read boundaries.
#[derive(Debug, Default)]
pub struct EventSplitter {
    buffer: BytesMut,
    /// Length of the buffer prefix that contains no end of an event.
    searched: usize,
}

impl EventSplitter {
    /// Appends bytes as read.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Returns the next complete event, if any. Comments and empty events are skipped.
    pub fn next_event(&mut self) -> Result<Option<StreamEvent>, StreamError> {
        while let Some(raw) = self.next_block()? {
            if let Some(event) = classify(raw) {
                return Ok(Some(event));
            }
        }
        Ok(None)
    }

    /// Returns the bytes up to and including the next blank line.
    fn next_block(&mut self) -> Result<Option<Bytes>, StreamError> {
        match find_blank_line(&self.buffer, self.searched) {
            Some(end) => {
                self.searched = 0;
                Ok(Some(self.buffer.split_to(end).freeze()))
            }
            None if self.buffer.len() > MAXIMUM_EVENT_BYTES => Err(StreamError::EventTooLong),
            None => {
                // The end of an event may span two reads, with at most three of its bytes in the
                // buffer.
                self.searched = self.buffer.len().saturating_sub(3);
                Ok(None)
            }
        }
    }
}

/// Returns the end of the first blank line at or after `from`.
fn find_blank_line(bytes: &[u8], from: usize) -> Option<usize> {
    let mut position = from;
    while let Some(offset) = bytes[position..].iter().position(|byte| *byte == b'\n') {
        let after = position + offset + 1;
        if bytes[after..].starts_with(b"\n") {
            return Some(after + 1);
        }
        if bytes[after..].starts_with(b"\r\n") {
            return Some(after + 2);
        }
        position = after;
    }
    None
}

fn classify(raw: Bytes) -> Option<StreamEvent> {
    let mut data: Option<&[u8]> = None;
    for line in raw.split(|byte| *byte == b'\n') {
        let line = line.strip_suffix(b"\r").unwrap_or(line);
        if line.starts_with(b"event:") && line.ends_with(b"error") {
            return Some(StreamEvent::Error);
        }
        if let Some(value) = line.strip_prefix(b"data:") {
            data = Some(value.strip_prefix(b" ").unwrap_or(value));
        }
    }
    let data = data?;
    if data == DONE {
        return Some(StreamEvent::Done);
    }
    match count_tokens(data) {
        Some(tokens) => Some(StreamEvent::Data { raw, tokens }),
        None => Some(StreamEvent::Error),
    }
}

/// Fields of an event that determine whether it carries a token.
#[derive(Deserialize)]
struct Chunk<'a> {
    #[serde(default, borrow)]
    choices: Vec<Choice<'a>>,
    #[serde(default)]
    error: Option<IgnoredAny>,
}

#[derive(Deserialize)]
struct Choice<'a> {
    #[serde(default, borrow)]
    text: Option<Cow<'a, str>>,
    #[serde(default, borrow)]
    delta: Option<Delta<'a>>,
}

#[derive(Deserialize)]
struct Delta<'a> {
    #[serde(default, borrow)]
    content: Option<Cow<'a, str>>,
}

/// Counts the tokens of an event: engines send one token per event, and events with a role, finish
/// reason or usage carry none. `None` for an error event.
fn count_tokens(data: &[u8]) -> Option<u64> {
    let Ok(chunk) = serde_json::from_slice::<Chunk<'_>>(data) else {
        return Some(0);
    };
    if chunk.error.is_some() {
        return None;
    }
    let has_text = chunk.choices.iter().any(|choice| {
        let text = choice.text.as_deref();
        let content = choice
            .delta
            .as_ref()
            .and_then(|delta| delta.content.as_deref());
        text.or(content).is_some_and(|text| !text.is_empty())
    });
    Some(u64::from(has_text))
}
