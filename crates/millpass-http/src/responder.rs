//! The handler interface and the responder passed to handlers.

use crate::body::{BodyWriter, Part, ResponseBody, StreamedBody};
use crate::gone::{GoneFlag, GoneGuard};
use crate::interface::{Request, Response};
use async_channel::Sender;
use http::{HeaderMap, StatusCode};

/// Handles requests. Runs on the handler pool and may block.
pub trait Handler: Send + Sync + 'static {
    /// Handles a request. The response may be sent through `responder` later, from any thread.
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

/// Response passed from the handler to the connection.
pub(crate) struct OutgoingResponse {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    pub(crate) body: ResponseBody,
}

/// Sends the response to one request. If dropped unused, the caller receives 500.
#[derive(Debug)]
pub struct Responder {
    responses: Sender<OutgoingResponse>,
    gone: GoneFlag,
    buffer_chunks: usize,
}

impl Responder {
    pub(crate) fn new(
        responses: Sender<OutgoingResponse>,
        gone: GoneFlag,
        buffer_chunks: usize,
    ) -> Self {
        Responder {
            responses,
            gone,
            buffer_chunks,
        }
    }

    /// Sends a complete response. Does nothing if the caller has disconnected.
    pub fn send(self, response: Response) {
        self.deliver(OutgoingResponse {
            status: response.status,
            headers: response.headers,
            body: ResponseBody::full(response.body),
        });
    }

    /// Starts a streamed response; status and headers are sent at once.
    pub fn stream(self, status: StatusCode, headers: HeaderMap) -> BodyWriter {
        let (parts, received) = async_channel::bounded::<Part>(self.buffer_chunks.max(1));
        let writer = BodyWriter::new(parts, self.gone.clone());
        let guard = GoneGuard::new(self.gone.clone());
        self.deliver(OutgoingResponse {
            status,
            headers,
            body: ResponseBody::streamed(StreamedBody::new(received, guard)),
        });
        writer
    }

    /// Returns the flag that is set when the caller disconnects, also before a response is sent.
    pub fn caller_gone(&self) -> GoneFlag {
        self.gone.clone()
    }

    /// Returns whether the caller has disconnected.
    pub fn is_caller_gone(&self) -> bool {
        self.gone.is_gone()
    }

    /// Passes the response to the connection. If the connection is closed, dropping the response sets
    /// the caller-gone flag.
    fn deliver(self, response: OutgoingResponse) {
        // The channel holds one response and this is its only sender, so it is never full.
        drop(self.responses.try_send(response));
    }
}
