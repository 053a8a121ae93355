//! One connection: reads whole requests, hands them to the pool, and writes the answers.

use crate::answer;
use crate::body::AnswerBody;
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
    let service_shared = shared.clone();
    let service = service_fn(move |request| {
        let shared = service_shared.clone();
        async move { Ok::<_, Infallible>(into_hyper(answer_request(request, shared).await)) }
    });
    let mut connection = pin!(
        http1::Builder::new()
            .timer(SmolTimer::new())
            .header_read_timeout(shared.settings.header_timeout)
            .serve_connection(FuturesIo::new(stream), service)
    );
    let ended = async {
        report_end(connection.as_mut().await);
        true
    };
    let asked_to_end = async {
        let _ = draining.recv().await;
        false
    };
    if !future::or(ended, asked_to_end).await {
        connection.as_mut().graceful_shutdown();
        report_end(connection.await);
    }
    drop(guard);
}

/// Answers 503 on a connection above the limit and closes it.
pub(crate) async fn refuse(stream: Async<TcpStream>, limit: usize, header_timeout: Duration) {
    let service = service_fn(move |_request: hyper::Request<Incoming>| async move {
        Ok::<_, Infallible>(into_hyper(whole(answer::too_many_connections(limit))))
    });
    let connection = http1::Builder::new()
        .timer(SmolTimer::new())
        .header_read_timeout(header_timeout)
        .keep_alive(false)
        .serve_connection(FuturesIo::new(stream), service);
    report_end(connection.await);
}

fn report_end(ended: hyper::Result<()>) {
    if let Err(error) = ended {
        log::debug!("event=connection_ended error=\"{error}\"");
    }
}

/// Reads a request whole, has it handled and waits for the answer. hyper drops this future when
/// the caller hangs up, which sets the caller-gone flag.
async fn answer_request(request: hyper::Request<Incoming>, shared: Arc<Shared>) -> Answer {
    let request = match read_whole(request, &shared.settings).await {
        Ok(request) => request,
        Err(refusal) => return whole(refusal),
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

/// Reads the body within its limits.
async fn read_whole(
    request: hyper::Request<Incoming>,
    settings: &ServerSettings,
) -> Result<Request, Response> {
    let (head, body) = request.into_parts();
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

fn into_hyper(answer: Answer) -> hyper::Response<AnswerBody> {
    let mut response = hyper::Response::new(answer.body);
    *response.status_mut() = answer.status;
    *response.headers_mut() = answer.headers;
    response
}
