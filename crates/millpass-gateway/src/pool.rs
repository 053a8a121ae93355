//! Connection pool. A connection serves one request at a time and is returned to the pool only
//! after a complete response.

use crate::instance_stream::{InstanceStream, ReadMeter};
use crate::settings::Connector;
use async_executor::Executor;
use async_io::Timer;
use bytes::Bytes;
use futures_lite::future;
use http_body_util::Full;
use hyper::client::conn::http1::{self, SendRequest};
use millpass_proto::Timestamp;
use millpass_telemetry::ProcessClock;
use smol_hyper::rt::FuturesIo;
use socket2::{SockRef, TcpKeepalive};
use std::collections::HashMap;
use std::hash::Hash;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// Maximum number of idle connections per destination.
const MAXIMUM_IDLE: usize = 8;
/// Idle timeout if the instance states none.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Time before the stated idle timeout at which a connection is no longer reused.
const IDLE_MARGIN: Duration = Duration::from_millis(700);
/// Delay before a connection is reused: excess bytes that a faulty instance sends after a response
/// arrive meanwhile and close it.
const REUSE_DELAY: Duration = Duration::from_millis(3);
/// Time after which unacknowledged bytes or keep-alive probes end a connection.
const USER_TIMEOUT: Duration = Duration::from_millis(4_000);

/// Receive buffer of a connection. Unread bytes count as memory, and the kernel would take up to some
/// 32 MiB of a response that is not read yet.
const RECEIVE_BUFFER_BYTES: usize = 256 * 1024;

/// Most headers or trailers of a response. The library allocates for as many with each response.
const MAXIMUM_RESPONSE_HEADERS: usize = 1_024;
/// Buffer for reading from a connection, which bounds the head of a response.
const READ_BUFFER_BYTES: usize = 64 * 1024;

/// Idle time before a keep-alive probe, and between probes. They detect a dead peer while a
/// response is pending, when no unacknowledged bytes are left.
const KEEPALIVE_INTERVAL: Duration = Duration::from_millis(1_000);

/// Why a connection could not be made.
#[derive(Debug, thiserror::Error)]
pub(crate) enum ConnectError {
    /// The address is invalid.
    #[error(
        "invalid instance address {0}; expected IP:port, correct the address that the instance announces"
    )]
    Address(String),
    /// The connection was refused or broke.
    #[error("connect failed: {0}")]
    Failed(#[from] std::io::Error),
    /// The connection timed out.
    #[error("connect timed out")]
    TimedOut,
    /// The HTTP handshake failed.
    #[error("HTTP handshake failed: {0}")]
    Http(#[from] hyper::Error),
}

impl ConnectError {
    /// Returns whether nothing listens at the address. Timeouts and resets do not prove that: the
    /// machine may be partitioned or overloaded.
    pub(crate) fn is_refused(&self) -> bool {
        let refused = io::ErrorKind::ConnectionRefused;
        matches!(self, ConnectError::Failed(error) if error.kind() == refused)
    }

    /// Returns whether the path to the address failed. Errors of this machine, such as a lack of
    /// descriptors, show nothing of the path.
    pub(crate) fn is_of_path(&self) -> bool {
        use io::ErrorKind;
        match self {
            ConnectError::TimedOut => true,
            ConnectError::Failed(error) => matches!(
                error.kind(),
                ErrorKind::ConnectionRefused
                    | ErrorKind::ConnectionReset
                    | ErrorKind::ConnectionAborted
                    | ErrorKind::TimedOut
                    | ErrorKind::HostUnreachable
                    | ErrorKind::NetworkUnreachable
            ),
            ConnectError::Address(_) | ConnectError::Http(_) => false,
        }
    }
}

/// Sending end of a connection.
pub(crate) struct InstanceSender {
    pub(crate) requests: SendRequest<Full<Bytes>>,
    pub(crate) meter: Arc<ReadMeter>,
    /// When it was established.
    pub(crate) opened_at: Timestamp,
}

impl InstanceSender {
    fn is_closed(&self) -> bool {
        self.requests.is_closed()
    }

    fn is_ready(&self) -> bool {
        self.requests.is_ready()
    }
}

/// A connection ready for one request.
pub(crate) struct Connection {
    pub(crate) sender: InstanceSender,
    pub(crate) reused: bool,
}

struct Idle {
    sender: InstanceSender,
    usable_from: Timestamp,
    expires_at: Timestamp,
}

/// Idle connections by what they lead to: an instance or another gateway.
pub(crate) struct Pool<K> {
    clock: ProcessClock,
    idle: Mutex<HashMap<K, Vec<Idle>>>,
}

impl<K: Clone + Eq + Hash> Pool<K> {
    pub(crate) fn new(clock: ProcessClock) -> Self {
        Pool {
            clock,
            idle: Mutex::default(),
        }
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<K, Vec<Idle>>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Takes the most recently used idle connection that is still open.
    pub(crate) fn take(&self, key: &K) -> Option<Connection> {
        self.take_if(key, |_| true)
    }

    /// Like [`Pool::take`], for a connection that was opened at a time for which `is_usable` holds.
    pub(crate) fn take_if(
        &self,
        key: &K,
        is_usable: impl Fn(Timestamp) -> bool,
    ) -> Option<Connection> {
        let mut idle = self.lock();
        let connections = idle.get_mut(key)?;
        let now = self.clock.now();
        connections.retain(|idle| idle.expires_at > now && !idle.sender.is_closed());
        let position = connections.iter().rposition(|idle| {
            idle.usable_from <= now && idle.sender.is_ready() && is_usable(idle.sender.opened_at)
        })?;
        Some(Connection {
            sender: connections.remove(position).sender,
            reused: true,
        })
    }

    /// Returns a connection after a complete response.
    pub(crate) fn put(&self, key: &K, sender: InstanceSender, keep_alive: Option<Duration>) {
        let time = keep_alive
            .map_or(DEFAULT_IDLE_TIMEOUT, |stated| {
                stated.saturating_sub(IDLE_MARGIN)
            })
            .min(Duration::from_secs(30));
        if time.is_zero() || sender.is_closed() {
            return;
        }
        let now = self.clock.now();
        let mut idle = self.lock();
        let connections = idle.entry(key.clone()).or_default();
        connections.retain(|connection| !connection.sender.is_closed());
        if connections.len() < MAXIMUM_IDLE {
            connections.push(Idle {
                sender,
                usable_from: now + REUSE_DELAY,
                expires_at: now + time,
            });
        }
    }

    /// Closes the idle connections that lead there.
    pub(crate) fn close(&self, key: &K) {
        self.lock().remove(key);
    }

    /// Closes connections past their idle timeout.
    pub(crate) fn sweep(&self) {
        let now = self.clock.now();
        self.lock().retain(|_, connections| {
            connections.retain(|idle| idle.expires_at > now && !idle.sender.is_closed());
            !connections.is_empty()
        });
    }
}

pub(crate) async fn connect(
    executor: &'static Executor<'static>,
    connector: &Connector,
    address: &str,
    timeout: Duration,
    clock: ProcessClock,
) -> Result<Connection, ConnectError> {
    let target: SocketAddr = address
        .parse()
        .map_err(|_| ConnectError::Address(address.to_owned()))?;
    let connecting = async { Some((connector.0)(target).await) };
    let timer = async {
        Timer::after(timeout).await;
        None
    };
    let stream = future::or(connecting, timer)
        .await
        .ok_or(ConnectError::TimedOut)??;
    let opened_at = clock.now();
    stream.get_ref().set_nodelay(true)?;
    let socket = SockRef::from(stream.get_ref());
    let _ = socket.set_tcp_user_timeout(Some(USER_TIMEOUT));
    let _ = socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES);
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_INTERVAL)
        .with_interval(KEEPALIVE_INTERVAL);
    let _ = socket.set_tcp_keepalive(&keepalive);
    let meter = Arc::<ReadMeter>::default();
    let stream = InstanceStream::new(stream, meter.clone());
    let (requests, connection) = http1::Builder::new()
        .preserve_header_case(true)
        .max_buf_size(READ_BUFFER_BYTES)
        .max_headers(MAXIMUM_RESPONSE_HEADERS)
        .handshake(FuturesIo::new(stream))
        .await?;
    let serving = async move {
        if let Err(error) = connection.await {
            log::debug!("event=instance_connection_ended error=\"{error}\"");
        }
    };
    executor.spawn(serving).detach();
    Ok(Connection {
        sender: InstanceSender {
            requests,
            meter,
            opened_at,
        },
        reused: false,
    })
}
