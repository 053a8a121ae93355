//! Bodies of answers: whole, or streamed through a bounded channel.

use crate::caller_stream::Answering;
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
    /// Bytes for the caller.
    Chunk(Bytes),
    /// The body is whole. A channel that closes without this part was cut.
    End,
}

/// Writes a streamed answer. Dropped without [`BodyWriter::finish`], the answer is cut, which the
/// caller sees as a truncated body.
#[derive(Debug)]
pub struct BodyWriter {
    parts: Sender<Part>,
    gone: GoneFlag,
}

impl BodyWriter {
    pub(crate) fn new(parts: Sender<Part>, gone: GoneFlag) -> Self {
        BodyWriter { parts, gone }
    }

    /// Hands over a chunk; waits while the stream's buffer is full. Fails at once when the caller
    /// hung up. Empty chunks are skipped.
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

    /// Ends the body properly, after everything written so far.
    pub fn finish(self) {
        // A caller that is gone needs no end.
        let _ = self.parts.send_blocking(Part::End);
    }

    /// Cuts the connection without a proper end, after what was written so far, so that the
    /// caller sees that the answer is not whole.
    pub fn abort(self) {
        drop(self);
    }

    /// Whether the caller hung up.
    pub fn is_caller_gone(&self) -> bool {
        self.gone.is_gone()
    }

    /// The flag behind [`BodyWriter::is_caller_gone`].
    pub fn caller_gone(&self) -> GoneFlag {
        self.gone.clone()
    }
}

/// Body of an answer, as hyper reads it. The request counts as in flight until hyper drops it.
pub(crate) struct AnswerBody {
    content: Content,
    /// Dropped first, so that a request that no longer counts is no longer being answered.
    answering: Option<Answering>,
    in_flight: Option<InFlightGuard>,
}

impl AnswerBody {
    pub(crate) fn whole(bytes: Bytes) -> Self {
        AnswerBody {
            content: Content::Whole(Some(bytes)),
            answering: None,
            in_flight: None,
        }
    }

    pub(crate) fn streamed(body: StreamedBody) -> Self {
        AnswerBody {
            content: Content::Streamed(body),
            answering: None,
            in_flight: None,
        }
    }

    /// Marks the connection as answering for as long as the body lives.
    pub(crate) fn mark(&mut self, answering: Answering) {
        self.answering = Some(answering);
    }

    /// Counts the request as in flight for as long as the body lives.
    pub(crate) fn count(&mut self, in_flight: InFlightGuard) {
        self.in_flight = Some(in_flight);
    }
}

/// Source of a body.
enum Content {
    /// Whole; `None` once handed over.
    Whole(Option<Bytes>),
    /// Streamed.
    Streamed(StreamedBody),
}

/// Reading end of a streamed body.
pub(crate) struct StreamedBody {
    /// Dropped first (fields drop in order), so the flag is set before writes begin to fail.
    guard: GoneGuard,
    parts: Pin<Box<Receiver<Part>>>,
    ended: bool,
    /// A chunk was handed to hyper since it last had a chance to flush.
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
            Poll::Ready(None) => self.poll_cut(context),
        }
    }

    /// Reports a cut body. hyper drops what it has not flushed when a body fails, so it first
    /// gets one turn to flush what was written before the cut.
    fn poll_cut(&mut self, context: &mut Context<'_>) -> Poll<Option<io::Result<Frame<Bytes>>>> {
        if self.unflushed {
            self.unflushed = false;
            context.waker().wake_by_ref();
            return Poll::Pending;
        }
        self.ended = true;
        self.guard.disarm();
        Poll::Ready(Some(Err(io::Error::other("the handler cut the answer"))))
    }
}

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<io::Result<Frame<Bytes>>>> {
        match &mut self.content {
            Content::Whole(bytes) => Poll::Ready(bytes.take().map(|data| Ok(Frame::data(data)))),
            Content::Streamed(streamed) => streamed.poll_part(context),
        }
    }

    fn is_end_stream(&self) -> bool {
        match &self.content {
            Content::Whole(bytes) => bytes.as_ref().is_none_or(Bytes::is_empty),
            Content::Streamed(streamed) => streamed.ended,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match &self.content {
            Content::Whole(bytes) => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, |data| data.len() as u64))
            }
            Content::Streamed(_) => SizeHint::default(),
        }
    }
}
