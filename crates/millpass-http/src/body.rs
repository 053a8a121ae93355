//! Response bodies: complete, or streamed through a bounded channel.

use crate::caller_stream::RespondingGuard;
use crate::gone::{GoneFlag, GoneGuard};
use crate::in_flight::InFlightGuard;
use crate::interface::CallerGone;
use async_channel::{Receiver, Sender};
use bytes::Bytes;
use futures_lite::Stream;
use hyper::body::{Body, Frame, SizeHint};
use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};

/// A part of a streamed body.
pub(crate) enum Part {
    /// Body bytes.
    Chunk(Bytes),
    /// End of the body. A channel that closes without it means a truncated body.
    End,
}

/// Writes a streamed response body. If it is dropped without [`BodyWriter::finish`], the caller
/// receives a truncated body.
#[derive(Debug)]
pub struct BodyWriter {
    parts: Sender<Part>,
    gone: GoneFlag,
}

impl BodyWriter {
    pub(crate) fn new(parts: Sender<Part>, gone: GoneFlag) -> Self {
        BodyWriter { parts, gone }
    }

    /// Queues a chunk, blocking while the buffer is full. Fails at once if the caller has
    /// disconnected. Empty chunks are skipped.
    pub fn write(&mut self, chunk: Bytes) -> Result<(), CallerGone> {
        if self.gone.is_gone() {
            return Err(CallerGone);
        }
        if chunk.is_empty() {
            return Ok(());
        }
        let sent = self.parts.send_blocking(Part::Chunk(chunk));
        sent.map_err(|_| CallerGone)
    }

    /// Completes the body after everything written so far.
    pub fn finish(self) {
        // Fails only if the caller has disconnected.
        let _ = self.parts.send_blocking(Part::End);
    }

    /// Closes the connection after what was written so far without completing the body, so that
    /// the caller detects the truncation.
    pub fn abort(self) {
        drop(self);
    }

    /// Returns whether the caller has disconnected.
    pub fn is_caller_gone(&self) -> bool {
        self.gone.is_gone()
    }

    /// Returns the flag that is set when the caller disconnects.
    pub fn caller_gone(&self) -> GoneFlag {
        self.gone.clone()
    }
}

/// Response body as read by hyper. The request counts as in flight until hyper drops it.
pub(crate) struct ResponseBody {
    content: Content,
    /// Declared before `in_flight`: a request that no longer counts must not mark the connection.
    responding: Option<RespondingGuard>,
    in_flight: Option<InFlightGuard>,
}

impl ResponseBody {
    pub(crate) fn full(bytes: Bytes) -> Self {
        ResponseBody {
            content: Content::Full(Some(bytes)),
            responding: None,
            in_flight: None,
        }
    }

    pub(crate) fn streamed(body: StreamedBody) -> Self {
        ResponseBody {
            content: Content::Streamed(body),
            responding: None,
            in_flight: None,
        }
    }

    /// Keeps the connection marked as responding until the body is dropped.
    pub(crate) fn set_responding(&mut self, responding: RespondingGuard) {
        self.responding = Some(responding);
    }

    /// Keeps the request counted as in flight until the body is dropped.
    pub(crate) fn set_in_flight(&mut self, in_flight: InFlightGuard) {
        self.in_flight = Some(in_flight);
    }
}

enum Content {
    /// Complete body; `None` once read.
    Full(Option<Bytes>),
    Streamed(StreamedBody),
}

/// Receiving end of a streamed body.
pub(crate) struct StreamedBody {
    /// Declared first, so that the flag is set before writes begin to fail.
    guard: GoneGuard,
    parts: Pin<Box<Receiver<Part>>>,
    ended: bool,
    /// Whether a chunk was returned to hyper since it last could flush.
    unflushed: bool,
}

impl StreamedBody {
    pub(crate) fn new(parts: Receiver<Part>, guard: GoneGuard) -> Self {
        StreamedBody {
            guard,
            parts: Box::pin(parts),
            ended: false,
            unflushed: false,
        }
    }

    fn poll_part(&mut self, context: &mut Context<'_>) -> Poll<Option<io::Result<Frame<Bytes>>>> {
        if self.ended {
            return Poll::Ready(None);
        }
        match self.parts.as_mut().poll_next(context) {
            Poll::Pending => {
                self.unflushed = false;
                Poll::Pending
            }
            Poll::Ready(Some(Part::Chunk(chunk))) => {
                self.unflushed = true;
                Poll::Ready(Some(Ok(Frame::data(chunk))))
            }
            Poll::Ready(Some(Part::End)) => {
                self.ended = true;
                self.guard.disarm();
                Poll::Ready(None)
            }
            Poll::Ready(None) => self.poll_truncated(context),
        }
    }

    /// Reports a truncated body. hyper drops unflushed bytes when a body fails, so this returns
    /// `Pending` once to let it flush.
    fn poll_truncated(
        &mut self,
        context: &mut Context<'_>,
    ) -> Poll<Option<io::Result<Frame<Bytes>>>> {
        if self.unflushed {
            self.unflushed = false;
            context.waker().wake_by_ref();
            return Poll::Pending;
        }
        self.ended = true;
        self.guard.disarm();
        Poll::Ready(Some(Err(io::Error::other(
            "the handler ended the response body early",
        ))))
    }
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<io::Result<Frame<Bytes>>>> {
        match &mut self.content {
            Content::Full(bytes) => Poll::Ready(bytes.take().map(|data| Ok(Frame::data(data)))),
            Content::Streamed(streamed) => streamed.poll_part(context),
        }
    }

    fn is_end_stream(&self) -> bool {
        match &self.content {
            Content::Full(bytes) => bytes.as_ref().is_none_or(Bytes::is_empty),
            Content::Streamed(streamed) => streamed.ended,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match &self.content {
            Content::Full(bytes) => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, |data| data.len() as u64))
            }
            Content::Streamed(_) => SizeHint::default(),
        }
    }
}
