//! Engine or web backend with scripted responses.

use bytes::Bytes;
use crossbeam::channel::{Receiver, Sender, unbounded};
use http::{HeaderMap, HeaderValue, Method, StatusCode};
use millpass_http::{
    BodyWriter, Request, Responder, Response, Server, ServerHandle, ServerSettings,
};
use std::net::SocketAddr;
use std::sync::Arc;

/// A scripted engine.
pub struct Engine {
    server: ServerHandle,
    /// Requests as they arrive, except cancellations.
    pub requests: Receiver<Request>,
    /// Request ids of cancellations.
    pub cancelled: Receiver<String>,
}

impl Engine {
    /// Starts an engine that responds with `script`.
    pub fn start(script: impl Fn(&Request, Responder) + Send + Sync + 'static) -> Engine {
        let (arrived, requests) = unbounded();
        let (cancel, cancelled) = unbounded();
        let handler = move |request: Request, responder: Responder| {
            if request.method == Method::DELETE {
                record_cancellation(&request, &cancel);
                responder.send(Response::text(StatusCode::OK, ""));
                return;
            }
            // Fails if the test does not keep the receiver.
            let _ = arrived.send(request.clone());
            script(&request, responder);
        };
        let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
        let server = Server::bind(any_port, ServerSettings::default()).expect("a free port");
        Engine {
            server: server.serve(Arc::new(handler)),
            requests,
            cancelled,
        }
    }

    /// Starts an engine that does not record its requests.
    pub fn start_unrecorded(
        script: impl Fn(&Request, Responder) + Send + Sync + 'static,
    ) -> Engine {
        let engine = Engine::start(script);
        Engine {
            requests: crossbeam::channel::never(),
            ..engine
        }
    }

    pub fn address(&self) -> SocketAddr {
        self.server.local_address()
    }

    /// Returns the next request.
    pub fn request(&self) -> Request {
        let request = self.requests.recv_timeout(super::TEST_TIMEOUT);
        request.expect("a request reaches the engine")
    }
}

fn record_cancellation(request: &Request, cancel: &Sender<String>) {
    let id = request.uri.path().strip_prefix("/engine/requests/");
    cancel.send(id.expect("a request id").to_owned()).unwrap();
}

/// Returns a header's value, or an empty string.
pub fn header<'a>(request: &'a Request, name: &str) -> &'a str {
    let value = request.headers.get(name);
    value.map_or("", |value| value.to_str().expect("text"))
}

/// Returns the token position from which the router resumes the stream.
pub fn resume_from(request: &Request) -> u64 {
    header(request, "millpass-resume-from")
        .parse()
        .expect("a position")
}

pub fn open_stream(responder: Responder) -> BodyWriter {
    let mut headers = HeaderMap::new();
    let event_stream = HeaderValue::from_static("text/event-stream");
    headers.insert(http::header::CONTENT_TYPE, event_stream);
    responder.stream(StatusCode::OK, headers)
}

/// Returns the event of the token at a position.
pub fn token(position: u64) -> Bytes {
    let chunk = serde_json::json!({"choices": [{"index": 0, "text": format!("t{position} ")}]});
    Bytes::from(format!("data: {chunk}\n\n"))
}

/// Returns the final event of a stream.
pub fn done() -> Bytes {
    Bytes::from_static(b"data: [DONE]\n\n")
}

/// Streams the tokens from the requested position up to `end`, and completes the stream.
pub fn stream_tokens(request: &Request, responder: Responder, end: u64) {
    let mut body = open_stream(responder);
    for position in resume_from(request)..end {
        body.write(token(position)).expect("the router reads");
    }
    body.write(done()).expect("the router reads");
    body.finish();
}

/// Refuses a request without running it.
pub fn refuse(responder: Responder) {
    let refusal = Response::text(StatusCode::SERVICE_UNAVAILABLE, "not loaded");
    let name = http::HeaderName::from_static("millpass-executed");
    responder.send(refusal.with_header(name, "no"));
}

/// Sends a complete response.
pub fn respond_buffered(responder: Responder, text: &str) {
    let body = serde_json::json!({"choices": [{"index": 0, "text": text}]});
    responder.send(Response::json(StatusCode::OK, &body));
}

/// Returns the texts of the tokens `0..end`.
pub fn tokens(end: u64) -> Vec<String> {
    (0..end).map(|position| format!("t{position} ")).collect()
}
