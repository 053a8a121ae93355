//! Listens, accepts, and serves connections of callers, readiness checks and metrics.

use crate::caller_limits::{FORWARD_HEADER_BYTES, maximum_head_bytes, maximum_headers};
use crate::caller_stream::{CallerConnection, CallerStream, GuardedBody};
use crate::forward;
use crate::peer_service;
use crate::relay::{RelayBody, full_body};
use crate::shared::Shared;
use async_io::{Async, Timer};
use bytes::Bytes;
use futures_lite::future;
use http::{Request, Response, StatusCode, Version};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::{HttpService, service_fn};
use millpass_dispatch::Freshness;
use smol_hyper::rt::FuturesIo;
use socket2::{Domain, SockRef, Socket, Type};
use std::convert::Infallible;
use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

const LISTEN_BACKLOG: i32 = 1_024;
/// Delay after a failed accept, for example when file descriptors run out.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Least size of the buffer for reading from a connection.
const READ_BUFFER_BYTES: usize = 64 * 1024;
/// Time after which unacknowledged bytes end a connection.
const USER_TIMEOUT: Duration = Duration::from_secs(10);

/// What a listener serves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Service {
    /// Caller requests.
    Callers,
    /// Readiness checks.
    Readiness,
    /// Metrics.
    Metrics,
    /// Requests of other gateways.
    Peers,
}

pub(crate) fn listen(address: SocketAddr) -> io::Result<Async<TcpListener>> {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, None)?;
    socket.set_reuse_address(true)?;
    socket.bind(&address.into())?;
    socket.listen(LISTEN_BACKLOG)?;
    Async::new(socket.into())
}

/// Accepts connections until shutdown.
pub(crate) async fn accept(listener: Async<TcpListener>, shared: Arc<Shared>, service: Service) {
    loop {
        let accepted = async { Some(listener.accept().await) };
        let closed = async {
            closing(&shared, service).await;
            None
        };
        let Some(accepted) = future::or(accepted, closed).await else {
            return;
        };
        match accepted {
            Ok((stream, _)) => {
                let serving = serve(stream, shared.clone(), service);
                shared.executor.spawn(serving).detach();
            }
            Err(error) => {
                log::warn!("event=accept_failed error=\"{error}\"");
                Timer::after(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

/// Completes when connections of a service must close. Those of other gateways stay open until the
/// process ends, so that requests that cross the close are declined instead of broken.
async fn closing(shared: &Shared, service: Service) {
    match service {
        Service::Peers => std::future::pending().await,
        _ => shared.closed().await,
    }
}

/// Decrements the count of caller connections on drop.
struct ConnectionGuard(Arc<Shared>);

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.0.connections.fetch_sub(1, Ordering::AcqRel);
    }
}

async fn serve(stream: Async<TcpStream>, shared: Arc<Shared>, service: Service) {
    let _ = stream.get_ref().set_nodelay(true);
    let _ = SockRef::from(stream.get_ref()).set_tcp_user_timeout(Some(USER_TIMEOUT));
    let guard = (service == Service::Callers).then(|| {
        shared.connections.fetch_add(1, Ordering::AcqRel);
        ConnectionGuard(shared.clone())
    });
    let header_bytes = shared.caller_limits.header_bytes();
    let caller = CallerConnection::new(stream, shared.clone());
    let (service_shared, service_caller) = (shared.clone(), caller.clone());
    let handler = service_fn(move |request| {
        let (shared, caller) = (service_shared.clone(), service_caller.clone());
        async move {
            let guard = caller.begin_response();
            let response = respond(shared, request, service, caller).await;
            Ok::<_, Infallible>(response.map(|body| guard.hold_with(body)))
        }
    });
    let closing = || async {
        let outgrown = shared.caller_limits.raised_above(header_bytes);
        future::or(closing(&shared, service), outgrown).await;
    };
    let mut usual =
        builder(header_bytes).serve_connection(FuturesIo::new(caller.stream()), handler);
    let mut result = serve_until(&mut usual, closing()).await;
    let parts = usual.into_parts();
    let stream = parts.io.into_inner();
    if let Some(stream) = stream.with_many_lines(&parts.read_buf) {
        let mut builder = builder(header_bytes);
        builder.max_headers(maximum_headers(allowed_bytes(header_bytes)));
        let mut connection = builder.serve_connection(FuturesIo::new(stream), parts.service);
        result = serve_until(&mut connection, closing()).await;
    }
    if let Err(error) = result {
        log::debug!("event=caller_connection_ended error=\"{error}\"");
    }
    caller.refuse_excess().await;
    drop(guard);
}

/// Serves a connection; once `closing` completes, until the response in progress is complete.
async fn serve_until<S>(
    connection: &mut http1::Connection<FuturesIo<CallerStream>, S>,
    closing: impl Future<Output = ()>,
) -> hyper::Result<()>
where
    S: HttpService<Incoming, ResBody = GuardedBody, Error = Infallible>,
{
    let finished = async { Some((&mut *connection).await) };
    let closing = async {
        closing.await;
        None
    };
    match future::or(finished, closing).await {
        Some(result) => result,
        None => {
            Pin::new(&mut *connection).graceful_shutdown();
            connection.await
        }
    }
}

fn allowed_bytes(header_bytes: usize) -> usize {
    header_bytes.saturating_add(FORWARD_HEADER_BYTES)
}

/// Returns what serves a connection whose requests may have some bytes of headers, in no more lines
/// than usual. Times are kept by the connection.
fn builder(header_bytes: usize) -> http1::Builder {
    let head_bytes = maximum_head_bytes(allowed_bytes(header_bytes));
    let mut builder = http1::Builder::new();
    builder
        .header_read_timeout(None)
        .max_buf_size(head_bytes.max(READ_BUFFER_BYTES))
        .max_header_size(head_bytes)
        .preserve_header_case(true);
    builder
}

async fn respond(
    shared: Arc<Shared>,
    request: Request<Incoming>,
    service: Service,
    caller: CallerConnection,
) -> Response<RelayBody> {
    match service {
        Service::Callers if request.version() == Version::HTTP_10 => {
            let response = forward::handle(shared, request, &caller).await;
            response.map(|body| caller.reset_when_failed(body))
        }
        Service::Callers => forward::handle(shared, request, &caller).await,
        Service::Readiness => readiness(&shared, &request),
        Service::Peers => peer_service::handle(shared, request).await,
        Service::Metrics => {
            let used = i64::try_from(shared.body_memory.used()).unwrap_or(i64::MAX);
            shared.metrics.body_bytes.set(used);
            text(StatusCode::OK, shared.metrics.exposition())
        }
    }
}

/// The gateway is ready if it has a confirmed configuration and is not draining.
fn readiness(shared: &Shared, request: &Request<Incoming>) -> Response<RelayBody> {
    if !shared
        .interface
        .is_readiness(request.method(), request.uri())
    {
        return text(StatusCode::NOT_FOUND, "ask for readiness\n".to_owned());
    }
    match not_ready_reason(shared) {
        None => text(StatusCode::OK, "ready\n".to_owned()),
        Some(reason) => text(StatusCode::SERVICE_UNAVAILABLE, reason.to_owned()),
    }
}

/// Returns why the gateway is not ready; `None` if it is.
fn not_ready_reason(shared: &Shared) -> Option<&'static str> {
    if shared.is_draining() {
        return Some("draining\n");
    }
    let now = shared.now();
    let core = shared.core();
    if core.table().is_none() {
        return Some("no configuration yet\n");
    }
    let unconfirmed = core.freshness(now) == Freshness::Unconfirmed;
    unconfirmed.then_some("the configuration cannot be confirmed\n")
}

fn text(status: StatusCode, text: String) -> Response<RelayBody> {
    let mut response = Response::new(full_body(Bytes::from(text)));
    *response.status_mut() = status;
    response
}
