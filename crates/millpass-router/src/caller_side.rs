//! The caller's end of one request: it takes one answer, whole or streamed.

use crate::refusal::{ErrorAnswer, REQUEST_ID_HEADER};
use bytes::Bytes;
use http::header::CONTENT_LENGTH;
use http::{HeaderMap, HeaderValue, StatusCode};
use millpass_http::{BodyWriter, CallerGone, GoneFlag, Responder, Response};
use std::mem;

/// Outcome of a request whose stream ended with an error.
const BROKEN_OFF: &str = "broken_off";
/// Outcome of a request whose caller hung up.
pub(crate) const CALLER_GONE: &str = "caller_gone";

/// Where the answer goes.
pub(crate) struct CallerSide {
    request_id: String,
    state: State,
}

enum State {
    /// Nothing was sent yet.
    Waiting(Responder),
    /// A stream is open.
    Streaming(BodyWriter),
    /// The whole answer, or the last of it, was handed over, or the caller is gone.
    Done,
}

impl CallerSide {
    pub(crate) fn new(request_id: String, responder: Responder) -> Self {
        let state = State::Waiting(responder);
        CallerSide { request_id, state }
    }

    /// Identity of the request that the caller knows.
    pub(crate) fn request_id(&self) -> &str {
        &self.request_id
    }

    /// Tells when the caller hangs up; none once nothing more can be sent to it.
    pub(crate) fn caller_gone(&self) -> Option<GoneFlag> {
        match &self.state {
            State::Waiting(responder) => Some(responder.caller_gone()),
            State::Streaming(writer) => Some(writer.caller_gone()),
            State::Done => None,
        }
    }

    /// Whether nothing was sent yet.
    pub(crate) fn is_waiting(&self) -> bool {
        matches!(self.state, State::Waiting(_))
    }

    /// Whether a stream is open.
    pub(crate) fn is_streaming(&self) -> bool {
        matches!(self.state, State::Streaming(_))
    }

    /// Sends a whole answer.
    pub(crate) fn respond(&mut self, mut response: Response) {
        self.add_request_id(&mut response.headers);
        if let State::Waiting(responder) = self.take() {
            responder.send(response);
        }
    }

    /// Opens a stream.
    pub(crate) fn open_stream(&mut self, mut headers: HeaderMap) {
        headers.remove(CONTENT_LENGTH);
        self.add_request_id(&mut headers);
        if let State::Waiting(responder) = self.take() {
            self.state = State::Streaming(responder.stream(StatusCode::OK, headers));
        }
    }

    /// Writes to the open stream; nothing happens without one.
    pub(crate) fn write(&mut self, bytes: Bytes) -> Result<(), CallerGone> {
        match &mut self.state {
            State::Streaming(writer) => writer.write(bytes),
            State::Waiting(_) | State::Done => Ok(()),
        }
    }

    /// Ends the open stream properly.
    pub(crate) fn finish_stream(&mut self) {
        if let State::Streaming(writer) = self.take() {
            writer.finish();
        }
    }

    /// Answers with an error, or breaks the open stream off with it. Returns the outcome.
    pub(crate) fn refuse(&mut self, error: &ErrorAnswer) -> &'static str {
        match self.take() {
            State::Waiting(responder) => {
                responder.send(error.response(&self.request_id));
                error.code
            }
            State::Streaming(mut writer) => {
                // A caller that is gone needs no error.
                let _ = writer.write(error.event(&self.request_id));
                writer.abort();
                BROKEN_OFF
            }
            State::Done => CALLER_GONE,
        }
    }

    /// Lets go of a caller that is gone.
    pub(crate) fn let_go(&mut self) {
        self.take();
    }

    fn take(&mut self) -> State {
        mem::replace(&mut self.state, State::Done)
    }

    fn add_request_id(&self, headers: &mut HeaderMap) {
        if let Ok(value) = HeaderValue::from_str(&self.request_id) {
            headers.insert(REQUEST_ID_HEADER, value);
        }
    }
}
