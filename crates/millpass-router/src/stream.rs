//! Reads an engine's stream in batches of complete events.

use crate::sse::{EventSplitter, StreamEvent};
use bytes::{Bytes, BytesMut};
use std::io::Read;

const READ_BYTES: usize = 4 * 1024;

/// End of a stream.
pub(crate) enum StreamEnd {
    /// Complete; contains the bytes of the last event.
    Done(Bytes),
    /// Incomplete, with the reason.
    Broken(String),
}

/// Complete events that were received together.
pub(crate) struct Batch {
    pub(crate) bytes: Bytes,
    pub(crate) tokens: u64,
    /// Set if the stream ended after these events.
    pub(crate) end: Option<StreamEnd>,
}

/// Reads events from a response body.
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

    /// Reads once and returns the events that are complete; possibly none.
    pub(crate) fn next_batch(&mut self) -> Batch {
        let mut end = match self.reader.read(&mut self.buffer) {
            Ok(0) => Some(StreamEnd::Broken("stream ended without [DONE]".to_owned())),
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
                    end = Some(StreamEnd::Broken("engine sent an error event".to_owned()));
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
