//! What a handler gets to answer with.

use crate::body::{AnswerBody, BodyWriter, Part, StreamedBody};
use crate::gone::{GoneFlag, GoneGuard};
use crate::interface::{Request, Response};
use async_channel::Sender;
use http::{HeaderMap, StatusCode};

/// Answers requests. Runs on a pool of threads and may block.
pub trait Handler: Send + Sync + 'static {
    /// Answers one request through `responder`, now or later from another thread.
    fn handle(&self, request: Request, responder: Responder);
}

impl<F> Handler for F
where
    F: Fn(Request, Responder) + Send + Sync + 'static,
{
    fn handle(&self, request: Request, responder: Responder) {
        self(request, responder);
    }
}

/// Answer on its way from the handler to the connection.
pub(crate) struct Answer {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    pub(crate) body: AnswerBody,
}

/// Answers one request, once. Dropped unanswered, the caller gets 500.
#[derive(Debug)]
pub struct Responder {
    answers: Sender<Answer>,
    gone: GoneFlag,
    buffer_chunks: usize,
}

impl Responder {
    pub(crate) fn new(answers: Sender<Answer>, gone: GoneFlag, buffer_chunks: usize) -> Self {
        Responder {
            answers,
            gone,
            buffer_chunks,
        }
    }

    /// Sends a whole answer. Nothing happens if the caller hung up.
    pub fn send(self, response: Response) {
        self.answer(Answer {
            status: response.status,
            headers: response.headers,
            body: AnswerBody::whole(response.body),
        });
    }

    /// Starts a streamed answer; status and headers go out at once.
    pub fn stream(self, status: StatusCode, headers: HeaderMap) -> BodyWriter {
        let (parts, received) = async_channel::bounded::<Part>(self.buffer_chunks.max(1));
        let writer = BodyWriter::new(parts, self.gone.clone());
        let guard = GoneGuard::new(self.gone.clone());
        self.answer(Answer {
            status,
            headers,
            body: AnswerBody::streamed(StreamedBody::new(received, guard)),
        });
        writer
    }

    /// Flag that is set, with callbacks, when the caller hangs up, also while the request still
    /// waits for its answer.
    pub fn caller_gone(&self) -> GoneFlag {
        self.gone.clone()
    }

    /// Whether the caller hung up.
    pub fn is_caller_gone(&self) -> bool {
        self.gone.is_gone()
    }

    /// Hands the answer to the connection. If that is gone, dropping the answer marks the caller
    /// as gone.
    fn answer(self, answer: Answer) {
        // The channel holds one answer and only this responder sends, so it is never full.
        drop(self.answers.try_send(answer));
    }
}
