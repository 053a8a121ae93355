//! Serves one connection: reads requests, passes them to the pool and writes the responses.

use crate::body::ResponseBody;
use crate::body_budget::{BodyBudget, BodyReservation, SMALL_BODY_BYTES};
use crate::caller_stream::{CallerStream, RespondingGuard};
use crate::gone::{GoneFlag, GoneGuard};
use crate::in_flight::InFlight;
use crate::interface::{Request, Response, ServerSettings};
use crate::pool::Pool;
use crate::responder::{Handler, OutgoingResponse, Responder};
use crate::responses;
use async_io::{Async, Timer};
use bytes::{Bytes, BytesMut};
use futures_lite::future;
use http_body_util::BodyExt;
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

/// Size limit of a request head; exceeding it returns 431.
const MAXIMUM_HEAD_BYTES: usize = 64 * 1024;
/// Limit of header lines per request, and of its trailers; exceeding it returns 431. The library
/// allocates for as many with each request.
const MAXIMUM_HEADERS: usize = 1_024;

/// State shared by all connections of a server.
pub(crate) struct Shared {
    pub(crate) settings: ServerSettings,
    pub(crate) handler: Arc<dyn Handler>,
    pub(crate) pool: Pool,
    pub(crate) connections: AtomicUsize,
    pub(crate) in_flight: Arc<InFlight>,
    pub(crate) large_bodies: Arc<BodyBudget>,
    /// Closed when connections must end after their current request.
    pub(crate) draining: async_channel::Receiver<Infallible>,
}

/// Counts an open connection until dropped.
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

/// Serves a connection until it ends.
pub(crate) async fn serve(stream: Async<TcpStream>, shared: Arc<Shared>, guard: ConnectionGuard) {
    let draining = shared.draining.clone();
    let header_timeout = shared.settings.header_timeout;
    let stream = CallerStream::new(stream);
    let service_stream = stream.clone();
    let service = service_fn(move |request| {
        let shared = shared.clone();
        let stream = service_stream.clone();
        async move {
            let responding = stream.start_response();
            let response = respond(request, shared, &stream).await;
            Ok::<_, Infallible>(into_hyper(response, responding))
        }
    });
    let mut connection =
        pin!(builder(header_timeout).serve_connection(FuturesIo::new(stream.clone()), service));
    let ended = async { Some(connection.as_mut().await) };
    let drain_started = async {
        let _ = draining.recv().await;
        None
    };
    let ended = match future::or(ended, drain_started).await {
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

/// Responds with 503 on a connection above the limit and closes it.
pub(crate) async fn refuse(stream: Async<TcpStream>, limit: usize, header_timeout: Duration) {
    let stream = CallerStream::new(stream);
    let service_stream = stream.clone();
    let service = service_fn(move |_request: hyper::Request<Incoming>| {
        let responding = service_stream.start_response();
        service_stream.mark_unread();
        let refusal = full_response(responses::too_many_connections(limit));
        async move { Ok::<_, Infallible>(into_hyper(refusal, responding)) }
    });
    let connection = builder(header_timeout)
        .keep_alive(false)
        .serve_connection(FuturesIo::new(stream.clone()), service);
    let ended = connection.await;
    end(&stream, ended, header_timeout).await;
}

/// Closes a connection that hyper has released, after a refusal if a request head was rejected.
async fn end(stream: &CallerStream, ended: hyper::Result<()>, header_timeout: Duration) {
    if let Err(error) = ended {
        log::debug!("event=connection_ended error=\"{error}\"");
        if let Some(refusal) = head_refusal(stream, &error, header_timeout) {
            stream.refuse(&refusal).await;
        }
    }
    stream.close().await;
}

/// Returns the response to a head that hyper rejected, or `None` if the connection was idle or is
/// closed.
fn head_refusal(
    stream: &CallerStream,
    error: &hyper::Error,
    header_timeout: Duration,
) -> Option<Response> {
    if error.is_timeout() && stream.head_started() {
        return Some(responses::head_timeout(header_timeout.as_millis()));
    }
    if !stream.is_suppressed() {
        return None;
    }
    if error.is_parse_too_large() {
        return Some(responses::head_too_large(
            MAXIMUM_HEAD_BYTES,
            MAXIMUM_HEADERS,
        ));
    }
    Some(responses::head_malformed(error))
}

/// Reads a request, passes it to the handler and waits for the response. hyper drops this future
/// when the caller disconnects, which sets the caller-gone flag.
async fn respond(
    request: hyper::Request<Incoming>,
    shared: Arc<Shared>,
    stream: &CallerStream,
) -> OutgoingResponse {
    let (request, reservation) = match read_request(request, &shared).await {
        Ok(read) => read,
        Err(refusal) => {
            stream.mark_unread();
            return full_response(refusal);
        }
    };
    let Some(in_flight) = shared.in_flight.begin() else {
        return full_response(responses::draining());
    };
    let gone = GoneFlag::default();
    let mut guard = GoneGuard::new(gone.clone());
    let (responses, received) = async_channel::bounded(1);
    let responder = Responder::new(responses, gone, shared.settings.stream_buffer_chunks);
    let handler = shared.handler.clone();
    let job = Box::new(move || {
        handler.handle(request, responder);
        drop(reservation);
    });
    shared.pool.run(job);
    let response = received.recv().await;
    guard.disarm();
    match response {
        Ok(mut response) => {
            response.body.set_in_flight(in_flight);
            response
        }
        Err(_) => full_response(responses::missing_response()),
    }
}

/// Checks the head against its limits and reads the body, whose bytes are reserved if it is large.
async fn read_request(
    request: hyper::Request<Incoming>,
    shared: &Shared,
) -> Result<(Request, Option<BodyReservation>), Response> {
    let settings = &shared.settings;
    let (head, body) = request.into_parts();
    if head_bytes(&head) > MAXIMUM_HEAD_BYTES {
        return Err(responses::head_too_large(
            MAXIMUM_HEAD_BYTES,
            MAXIMUM_HEADERS,
        ));
    }
    let limit = settings.maximum_body_bytes;
    if body.size_hint().lower() > limit as u64 {
        return Err(responses::body_too_large(limit));
    }
    let timeout = settings.body_timeout;
    let read = async { Some(read_body(body, limit, &shared.large_bodies).await) };
    let timer = async {
        Timer::after(timeout).await;
        None
    };
    let Some(read) = future::or(read, timer).await else {
        return Err(responses::body_timeout(timeout.as_millis()));
    };
    let (body, reservation) = read?;
    let request = Request {
        method: head.method,
        uri: head.uri,
        headers: head.headers,
        body,
    };
    Ok((request, reservation))
}

/// Returns the size of a head without separators. hyper's own limit is not exact: its last read may
/// exceed it.
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

/// Reads a body. Waits for the bytes of a large one to fit: for its stated size before it is read, or
/// for the limit once it turns out to be large.
async fn read_body(
    mut body: Incoming,
    limit: usize,
    budget: &Arc<BodyBudget>,
) -> Result<(Bytes, Option<BodyReservation>), Response> {
    let stated = usize::try_from(body.size_hint().lower()).unwrap_or(limit);
    let mut reservation = match stated > SMALL_BODY_BYTES {
        true => Some(budget.reserve(stated).await),
        false => None,
    };
    let mut bytes = BytesMut::with_capacity(stated);
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| responses::body_unreadable())?;
        let Ok(data) = frame.into_data() else {
            continue;
        };
        let length = bytes.len().saturating_add(data.len());
        if length > limit {
            return Err(responses::body_too_large(limit));
        }
        if length > SMALL_BODY_BYTES && reservation.is_none() {
            reservation = Some(budget.reserve(limit).await);
        }
        bytes.extend_from_slice(&data);
    }
    Ok((bytes.freeze(), reservation))
}

fn full_response(response: Response) -> OutgoingResponse {
    OutgoingResponse {
        status: response.status,
        headers: response.headers,
        body: ResponseBody::full(response.body),
    }
}

fn into_hyper(
    mut outgoing: OutgoingResponse,
    responding: RespondingGuard,
) -> hyper::Response<ResponseBody> {
    outgoing.body.set_responding(responding);
    let mut response = hyper::Response::new(outgoing.body);
    *response.status_mut() = outgoing.status;
    *response.headers_mut() = outgoing.headers;
    response
}
