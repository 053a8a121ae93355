//! One connection: reads whole requests, hands them to the pool, and writes the answers.

use crate::answer;
use crate::body::AnswerBody;
use crate::caller_stream::{Answering, CallerStream};
use crate::gone::{GoneFlag, GoneGuard};
use crate::in_flight::InFlight;
use crate::interface::{Request, Response, ServerSettings};
use crate::pool::Pool;
use crate::responder::{Answer, Handler, Responder};
use async_io::{Async, Timer};
use bytes::Bytes;
use futures_lite::future;
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::{Body, Incoming};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use smol_hyper::rt::{FuturesIo, SmolTimer};
use std::convert::Infallible;
use std::net::TcpStream;
use std::pin::pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

/// Most bytes of a request's head; more is answered 431.
const MAXIMUM_HEAD_BYTES: usize = 64 * 1024;
/// Most header lines of a request; more is answered 431.
const MAXIMUM_HEADERS: usize = 100;

/// What all connections of a server share.
pub(crate) struct Shared {
    pub(crate) settings: ServerSettings,
    pub(crate) handler: Arc<dyn Handler>,
    pub(crate) pool: Pool,
    pub(crate) connections: AtomicUsize,
    pub(crate) in_flight: Arc<InFlight>,
    /// Closed when connections are to end after the request they carry.
    pub(crate) draining: async_channel::Receiver<Infallible>,
}

/// Counts one connection for as long as it lives.
pub(crate) struct ConnectionGuard {
    shared: Arc<Shared>,
}

impl ConnectionGuard {
    pub(crate) fn new(shared: Arc<Shared>) -> Self {
        shared.connections.fetch_add(1, Ordering::AcqRel);
        ConnectionGuard { shared }
    }
}

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.shared.connections.fetch_sub(1, Ordering::AcqRel);
    }
}

/// Carries a connection until it ends.
pub(crate) async fn serve(stream: Async<TcpStream>, shared: Arc<Shared>, guard: ConnectionGuard) {
    let draining = shared.draining.clone();
    let header_timeout = shared.settings.header_timeout;
    let stream = CallerStream::new(stream);
    let service_stream = stream.clone();
    let service = service_fn(move |request| {
        let shared = shared.clone();
        let stream = service_stream.clone();
        async move {
            let answering = stream.answering();
            let answer = answer_request(request, shared, &stream).await;
            Ok::<_, Infallible>(into_hyper(answer, answering))
        }
    });
    let mut connection =
        pin!(builder(header_timeout).serve_connection(FuturesIo::new(stream.clone()), service));
    let ended = async { Some(connection.as_mut().await) };
    let asked_to_end = async {
        let _ = draining.recv().await;
        None
    };
    let ended = match future::or(ended, asked_to_end).await {
        Some(ended) => ended,
        None => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    end(&stream, ended, header_timeout).await;
    drop(guard);
}

fn builder(header_timeout: Duration) -> http1::Builder {
    let mut builder = http1::Builder::new();
    builder
        .timer(SmolTimer::new())
        .header_read_timeout(header_timeout)
        .max_buf_size(MAXIMUM_HEAD_BYTES)
        .max_headers(MAXIMUM_HEADERS);
    builder
}

/// Answers 503 on a connection above the limit and closes it.
pub(crate) async fn refuse(stream: Async<TcpStream>, limit: usize, header_timeout: Duration) {
    let stream = CallerStream::new(stream);
    let service_stream = stream.clone();
    let service = service_fn(move |_request: hyper::Request<Incoming>| {
        let answering = service_stream.answering();
        service_stream.note_unread();
        let refusal = whole(answer::too_many_connections(limit));
        async move { Ok::<_, Infallible>(into_hyper(refusal, answering)) }
    });
    let connection = builder(header_timeout)
        .keep_alive(false)
        .serve_connection(FuturesIo::new(stream.clone()), service);
    let ended = connection.await;
    end(&stream, ended, header_timeout).await;
}

/// Ends a connection that hyper has let go, with a refusal if a head was not taken.
async fn end(stream: &CallerStream, ended: hyper::Result<()>, header_timeout: Duration) {
    if let Err(error) = ended {
        log::debug!("event=connection_ended error=\"{error}\"");
        if let Some(refusal) = head_refusal(stream, &error, header_timeout) {
            stream.refuse(&refusal).await;
        }
    }
    stream.close().await;
}

/// The refusal of a head that hyper did not take, unless the connection was idle or is gone.
fn head_refusal(
    stream: &CallerStream,
    error: &hyper::Error,
    header_timeout: Duration,
) -> Option<Response> {
    if error.is_timeout() && stream.head_begun() {
        return Some(answer::head_too_slow(header_timeout.as_millis()));
    }
    if !stream.is_withheld() {
        return None;
    }
    if error.is_parse_too_large() {
        return Some(answer::head_too_large(MAXIMUM_HEAD_BYTES, MAXIMUM_HEADERS));
    }
    Some(answer::head_malformed(error))
}

/// Reads a request whole, has it handled and waits for the answer. hyper drops this future when
/// the caller hangs up, which sets the caller-gone flag.
async fn answer_request(
    request: hyper::Request<Incoming>,
    shared: Arc<Shared>,
    stream: &CallerStream,
) -> Answer {
    let request = match read_whole(request, &shared.settings).await {
        Ok(request) => request,
        Err(refusal) => {
            stream.note_unread();
            return whole(refusal);
        }
    };
    let Some(in_flight) = shared.in_flight.begin() else {
        return whole(answer::draining());
    };
    let gone = GoneFlag::default();
    let mut guard = GoneGuard::new(gone.clone());
    let (answers, answered) = async_channel::bounded(1);
    let responder = Responder::new(answers, gone, shared.settings.stream_buffer_chunks);
    let handler = shared.handler.clone();
    let job = Box::new(move || handler.handle(request, responder));
    shared.pool.run(job);
    let answer = answered.recv().await;
    guard.disarm();
    match answer {
        Ok(mut answer) => {
            answer.body.count(in_flight);
            answer
        }
        Err(_) => whole(answer::unanswered()),
    }
}

/// Checks the head and reads the body within its limits.
async fn read_whole(
    request: hyper::Request<Incoming>,
    settings: &ServerSettings,
) -> Result<Request, Response> {
    let (head, body) = request.into_parts();
    if head_bytes(&head) > MAXIMUM_HEAD_BYTES {
        return Err(answer::head_too_large(MAXIMUM_HEAD_BYTES, MAXIMUM_HEADERS));
    }
    let limit = settings.maximum_body_bytes;
    if body.size_hint().lower() > limit as u64 {
        return Err(answer::body_too_large(limit));
    }
    let body = if body.is_end_stream() {
        Bytes::new()
    } else {
        read_body(body, limit, settings.body_timeout).await?
    };
    Ok(Request {
        method: head.method,
        uri: head.uri,
        headers: head.headers,
        body,
    })
}

/// Size of a head, less its separators. hyper's own limit is not exact: the last read may go
/// beyond it.
fn head_bytes(head: &http::request::Parts) -> usize {
    let path = head
        .uri
        .path_and_query()
        .map_or(0, |path| path.as_str().len());
    let lines = head.headers.iter();
    let headers: usize = lines
        .map(|(name, value)| name.as_str().len() + value.len())
        .sum();
    path + headers
}

async fn read_body(body: Incoming, limit: usize, timeout: Duration) -> Result<Bytes, Response> {
    let read = async { Some(Limited::new(body, limit).collect().await) };
    let timer = async {
        Timer::after(timeout).await;
        None
    };
    match future::or(read, timer).await {
        None => Err(answer::body_too_slow(timeout.as_millis())),
        Some(Ok(collected)) => Ok(collected.to_bytes()),
        Some(Err(error)) if error.is::<LengthLimitError>() => Err(answer::body_too_large(limit)),
        Some(Err(_)) => Err(answer::body_unreadable()),
    }
}

fn whole(response: Response) -> Answer {
    Answer {
        status: response.status,
        headers: response.headers,
        body: AnswerBody::whole(response.body),
    }
}

fn into_hyper(mut answer: Answer, answering: Answering) -> hyper::Response<AnswerBody> {
    answer.body.mark(answering);
    let mut response = hyper::Response::new(answer.body);
    *response.status_mut() = answer.status;
    *response.headers_mut() = answer.headers;
    response
}
