//! Reads an engine's stream in batches of whole events.

use crate::sse::{EventSplitter, StreamEvent};
use bytes::{Bytes, BytesMut};
use std::io::Read;

/// Bytes read at once.
const READ_BYTES: usize = 4 * 1024;

/// How a stream ended.
pub(crate) enum StreamEnd {
    /// Properly; the bytes of the last event.
    Done(Bytes),
    /// Before its proper end, for this reason.
    Broken(String),
}

/// Whole events that came together.
pub(crate) struct Batch {
    /// Their bytes.
    pub(crate) bytes: Bytes,
    /// Their tokens.
    pub(crate) tokens: u64,
    /// Whether the stream ended after them.
    pub(crate) end: Option<StreamEnd>,
}

/// Reads events from an answer's body.
pub(crate) struct StreamRelay<R> {
    reader: R,
    splitter: EventSplitter,
    buffer: Box<[u8]>,
}

impl<R: Read> StreamRelay<R> {
    pub(crate) fn new(reader: R) -> Self {
        StreamRelay {
            reader,
            splitter: EventSplitter::default(),
            buffer: vec![0; READ_BYTES].into_boxed_slice(),
        }
    }

    /// Waits for bytes and returns the events that are whole now; there may be none yet.
    pub(crate) fn next_batch(&mut self) -> Batch {
        let mut end = match self.reader.read(&mut self.buffer) {
            Ok(0) => Some(StreamEnd::Broken("it ended without [DONE]".to_owned())),
            Ok(length) => {
                self.splitter.push(&self.buffer[..length]);
                None
            }
            Err(error) => Some(StreamEnd::Broken(error.to_string())),
        };
        let mut bytes = BytesMut::new();
        let mut tokens = 0;
        loop {
            match self.splitter.next_event() {
                Ok(Some(StreamEvent::Data { raw, tokens: count })) => {
                    bytes.extend_from_slice(&raw);
                    tokens += count;
                }
                Ok(Some(StreamEvent::Done)) => {
                    let done = Bytes::from_static(b"data: [DONE]\n\n");
                    end = Some(StreamEnd::Done(done));
                    break;
                }
                Ok(Some(StreamEvent::Error)) => {
                    end = Some(StreamEnd::Broken("the engine gave it up".to_owned()));
                    break;
                }
                Ok(None) => break,
                Err(error) => {
                    end = Some(StreamEnd::Broken(error.to_string()));
                    break;
                }
            }
        }
        Batch {
            bytes: bytes.freeze(),
            tokens,
            end,
        }
    }
}
