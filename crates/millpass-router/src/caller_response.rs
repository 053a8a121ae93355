//! Response to the caller of one request, buffered or streamed.

use crate::refusal::{ErrorResponse, REQUEST_ID_HEADER};
use bytes::Bytes;
use http::header::CONTENT_LENGTH;
use http::{HeaderMap, HeaderValue, StatusCode};
use millpass_http::{BodyWriter, CallerGone, GoneFlag, Responder, Response};
use std::mem;

/// Outcome of a request whose stream was ended by an error.
const OUTCOME_BROKEN_OFF: &str = "broken_off";
/// Outcome of a request whose caller disconnected.
pub(crate) const OUTCOME_CALLER_GONE: &str = "caller_gone";

/// Response side of a caller's connection.
pub(crate) struct CallerResponse {
    request_id: String,
    state: State,
}

enum State {
    /// Nothing has been sent.
    Waiting(Responder),
    Streaming(BodyWriter),
    /// The response is complete, or the caller disconnected.
    Done,
}

impl CallerResponse {
    pub(crate) fn new(request_id: String, responder: Responder) -> Self {
        let state = State::Waiting(responder);
        CallerResponse { request_id, state }
    }

    /// Request id known to the caller.
    pub(crate) fn request_id(&self) -> &str {
        &self.request_id
    }

    /// Returns the disconnect flag of the caller; `None` once the response is complete.
    pub(crate) fn caller_gone(&self) -> Option<GoneFlag> {
        match &self.state {
            State::Waiting(responder) => Some(responder.caller_gone()),
            State::Streaming(writer) => Some(writer.caller_gone()),
            State::Done => None,
        }
    }

    /// Returns true if nothing has been sent.
    pub(crate) fn is_waiting(&self) -> bool {
        matches!(self.state, State::Waiting(_))
    }

    pub(crate) fn is_streaming(&self) -> bool {
        matches!(self.state, State::Streaming(_))
    }

    /// Sends a buffered response.
    pub(crate) fn respond(&mut self, mut response: Response) {
        self.add_request_id(&mut response.headers);
        if let State::Waiting(responder) = self.take() {
            responder.send(response);
        }
    }

    pub(crate) fn open_stream(&mut self, mut headers: HeaderMap) {
        headers.remove(CONTENT_LENGTH);
        self.add_request_id(&mut headers);
        if let State::Waiting(responder) = self.take() {
            self.state = State::Streaming(responder.stream(StatusCode::OK, headers));
        }
    }

    /// Writes to the open stream; does nothing without one.
    pub(crate) fn write(&mut self, bytes: Bytes) -> Result<(), CallerGone> {
        match &mut self.state {
            State::Streaming(writer) => writer.write(bytes),
            State::Waiting(_) | State::Done => Ok(()),
        }
    }

    /// Ends the open stream normally.
    pub(crate) fn finish_stream(&mut self) {
        if let State::Streaming(writer) = self.take() {
            writer.finish();
        }
    }

    /// Responds with an error, or aborts the open stream with an error event. Returns the outcome.
    pub(crate) fn refuse(&mut self, error: &ErrorResponse) -> &'static str {
        match self.take() {
            State::Waiting(responder) => {
                responder.send(error.response(&self.request_id));
                error.code
            }
            State::Streaming(mut writer) => {
                // A disconnected caller does not need the error.
                let _ = writer.write(error.event(&self.request_id));
                writer.abort();
                OUTCOME_BROKEN_OFF
            }
            State::Done => OUTCOME_CALLER_GONE,
        }
    }

    /// Releases the connection of a caller that disconnected.
    pub(crate) fn close(&mut self) {
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
