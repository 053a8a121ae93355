//! Listens, accepts, and serves connections of callers, readiness checks and metrics.

use crate::caller_stream::{CallerStream, ConnectionReset};
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
use hyper::service::service_fn;
use millpass_dispatch::Freshness;
use smol_hyper::rt::{FuturesIo, SmolTimer};
use socket2::{Domain, SockRef, Socket, Type};
use std::convert::Infallible;
use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::pin::pin;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

const LISTEN_BACKLOG: i32 = 1_024;
/// Delay after a failed accept, for example when file descriptors run out.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Size limit of a request head.
const MAXIMUM_HEAD_BYTES: usize = 64 * 1024;
/// Idle timeout if the configuration states none.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(20);
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
    let idle = idle_timeout(&shared);
    let reset = ConnectionReset::default();
    let stream = CallerStream::new(stream, reset.clone());
    let service_shared = shared.clone();
    let handler = service_fn(move |request| {
        let (shared, reset) = (service_shared.clone(), reset.clone());
        async move { Ok::<_, Infallible>(respond(shared, request, service, reset).await) }
    });
    let connection = http1::Builder::new()
        .timer(SmolTimer::new())
        .header_read_timeout(idle)
        .max_buf_size(MAXIMUM_HEAD_BYTES)
        .preserve_header_case(true)
        .serve_connection(FuturesIo::new(stream), handler);
    let mut connection = pin!(connection);
    let finished = async { Some(connection.as_mut().await) };
    let closing = async {
        closing(&shared, service).await;
        None
    };
    let result = match future::or(finished, closing).await {
        Some(result) => result,
        None => {
            // Finishes the response in progress; an idle connection closes now.
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(error) = result {
        log::debug!("event=caller_connection_ended error=\"{error}\"");
    }
    drop(guard);
}

fn idle_timeout(shared: &Shared) -> Duration {
    let stated = shared
        .core()
        .table()
        .map_or(0, |table| table.document().limits.idle_millis);
    match stated {
        0 => DEFAULT_IDLE_TIMEOUT,
        millis => Duration::from_millis(millis),
    }
}

async fn respond(
    shared: Arc<Shared>,
    request: Request<Incoming>,
    service: Service,
    reset: ConnectionReset,
) -> Response<RelayBody> {
    match service {
        Service::Callers if request.version() == Version::HTTP_10 => {
            let response = forward::handle(shared, request).await;
            response.map(|body| reset.when_failed(body))
        }
        Service::Callers => forward::handle(shared, request).await,
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
