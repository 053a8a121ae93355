//! A scripted engine (or web back end) for tests: the test says how each request is answered.

use bytes::Bytes;
use crossbeam::channel::{Receiver, Sender, unbounded};
use http::{HeaderMap, HeaderValue, Method, StatusCode};
use millpass_http::{
    BodyWriter, Request, Responder, Response, Server, ServerHandle, ServerSettings,
};
use std::net::SocketAddr;
use std::sync::Arc;

/// The engine.
pub struct Engine {
    server: ServerHandle,
    /// Requests as they arrive, cancellations left out.
    pub requests: Receiver<Request>,
    /// Request ids of cancellations.
    pub cancelled: Receiver<String>,
}

impl Engine {
    /// Starts an engine that answers with `script`.
    pub fn start(script: impl Fn(&Request, Responder) + Send + Sync + 'static) -> Engine {
        let (arrived, requests) = unbounded();
        let (cancel, cancelled) = unbounded();
        let handler = move |request: Request, responder: Responder| {
            if request.method == Method::DELETE {
                note_cancellation(&request, &cancel);
                responder.send(Response::text(StatusCode::OK, ""));
                return;
            }
            arrived.send(request.clone()).unwrap();
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

    pub fn address(&self) -> SocketAddr {
        self.server.local_address()
    }

    /// The next request.
    pub fn request(&self) -> Request {
        let request = self.requests.recv_timeout(super::PATIENCE);
        request.expect("a request reaches the engine")
    }
}

fn note_cancellation(request: &Request, cancel: &Sender<String>) {
    let id = request.uri.path().strip_prefix("/engine/requests/");
    cancel.send(id.expect("a request id").to_owned()).unwrap();
}

/// A header's value as text.
pub fn header<'a>(request: &'a Request, name: &str) -> &'a str {
    let value = request.headers.get(name);
    value.map_or("", |value| value.to_str().expect("text"))
}

/// Where the router wants the stream to go on.
pub fn resume_from(request: &Request) -> u64 {
    header(request, "millpass-resume-from")
        .parse()
        .expect("a position")
}

/// Opens an event stream.
pub fn open_stream(responder: Responder) -> BodyWriter {
    let mut headers = HeaderMap::new();
    let event_stream = HeaderValue::from_static("text/event-stream");
    headers.insert(http::header::CONTENT_TYPE, event_stream);
    responder.stream(StatusCode::OK, headers)
}

/// The event of the token at a position.
pub fn token(position: u64) -> Bytes {
    let chunk = serde_json::json!({"choices": [{"index": 0, "text": format!("t{position} ")}]});
    Bytes::from(format!("data: {chunk}\n\n"))
}

/// The end of a stream.
pub fn done() -> Bytes {
    Bytes::from_static(b"data: [DONE]\n\n")
}

/// Streams the tokens from the position asked for up to `end`, whole.
pub fn stream_tokens(request: &Request, responder: Responder, end: u64) {
    let mut body = open_stream(responder);
    for position in resume_from(request)..end {
        body.write(token(position)).expect("the router reads");
    }
    body.write(done()).expect("the router reads");
    body.finish();
}

/// Refuses without running the request.
pub fn refuse(responder: Responder) {
    let refusal = Response::text(StatusCode::SERVICE_UNAVAILABLE, "not loaded");
    let name = http::HeaderName::from_static("millpass-executed");
    responder.send(refusal.with_header(name, "no"));
}

/// A whole answer.
pub fn answer_whole(responder: Responder, text: &str) {
    let body = serde_json::json!({"choices": [{"index": 0, "text": text}]});
    responder.send(Response::json(StatusCode::OK, &body));
}

/// Texts of the tokens `0..end`.
pub fn tokens(end: u64) -> Vec<String> {
    (0..end).map(|position| format!("t{position} ")).collect()
}
