//! Server lifecycle: listen, accept, drain, stop.

use crate::body_budget::BodyBudget;
use crate::connection::{self, ConnectionGuard, Shared};
use crate::in_flight::InFlight;
use crate::interface::ServerSettings;
use crate::pool::Pool;
use crate::responder::Handler;
use async_executor::Executor;
use async_io::{Async, Timer};
use futures_lite::future;
use socket2::{Domain, Socket, Type};
use std::convert::Infallible;
use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError, Weak};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

/// Limit of concurrent 503 responses to connections above the limit; further ones are closed.
const MAXIMUM_CONCURRENT_REFUSALS: usize = 256;
/// Listen backlog, in connections; the kernel may apply a lower limit.
const LISTEN_BACKLOG: i32 = 4_096;
/// Delay after a failed accept, for example when file descriptors are exhausted.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);
/// How long a drain waits for closing connections to flush.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(200);
const FLUSH_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Error starting a server.
#[derive(Debug, thiserror::Error)]
pub enum ServerError {
    /// Listening on the address failed.
    #[error(
        "cannot listen on {address}: {source}; stop the process that holds the port, or choose \
         another address in the settings"
    )]
    Listen {
        /// Requested address.
        address: SocketAddr,
        /// Underlying error.
        source: io::Error,
    },
    /// Starting a thread failed.
    #[error("cannot start a server thread: {0}; raise the thread limit")]
    Thread(io::Error),
}

/// Outcome of the requests that were in flight when a drain began.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DrainReport {
    /// Requests that completed within the grace period.
    pub finished: usize,
    /// Requests aborted when the grace period expired.
    pub cut: usize,
}

/// A server that listens but does not accept yet; connections wait in the listen backlog.
pub struct Server {
    listener: Async<TcpListener>,
    address: SocketAddr,
    settings: ServerSettings,
    executor: Arc<Executor<'static>>,
    stop: async_channel::Sender<Infallible>,
    threads: Vec<JoinHandle<()>>,
}

impl Server {
    /// Listens on an address; port 0 selects a free port.
    pub fn bind(address: SocketAddr, settings: ServerSettings) -> Result<Server, ServerError> {
        let listen_error = |source| ServerError::Listen { address, source };
        let listener = listen(address).map_err(listen_error)?;
        let address = listener.get_ref().local_addr().map_err(listen_error)?;
        let executor = Arc::new(Executor::new());
        let (stop, stopping) = async_channel::bounded(1);
        let threads = start_threads(&settings, &executor, &stopping)?;
        Ok(Server {
            listener,
            address,
            settings,
            executor,
            stop,
            threads,
        })
    }

    /// Returns the listen address with the actual port.
    pub fn local_address(&self) -> SocketAddr {
        self.address
    }

    /// Serves requests until drained or stopped. Dropping the handle stops the server.
    pub fn serve(self, handler: Arc<dyn Handler>) -> ServerHandle {
        let (drain, draining) = async_channel::bounded(1);
        let shared = Arc::new(Shared {
            pool: Pool::new(&self.settings.name, self.settings.handler_threads),
            handler,
            connections: AtomicUsize::new(0),
            in_flight: Arc::new(InFlight::default()),
            large_bodies: BodyBudget::new(self.settings.maximum_large_bytes),
            draining,
            settings: self.settings,
        });
        // The accept loop runs on the executor, so it must not keep it alive.
        let executor = Arc::downgrade(&self.executor);
        let accepting = accept_until_drain(self.listener, shared.clone(), executor);
        self.executor.spawn(accepting).detach();
        ServerHandle {
            address: self.address,
            shared,
            drain,
            stop: self.stop,
            threads: Mutex::new(self.threads),
        }
    }
}

/// Listens with a longer backlog than the standard library's 128. When the backlog overflows, the
/// affected callers retransmit only after a second.
fn listen(address: SocketAddr) -> io::Result<Async<TcpListener>> {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, None)?;
    socket.set_reuse_address(true)?;
    socket.bind(&address.into())?;
    socket.listen(LISTEN_BACKLOG)?;
    Async::new(socket.into())
}

/// Starts the executor threads. They are the executor's only owners: when they end, its tasks are
/// dropped, which closes their connections.
fn start_threads(
    settings: &ServerSettings,
    executor: &Arc<Executor<'static>>,
    stopping: &async_channel::Receiver<Infallible>,
) -> Result<Vec<JoinHandle<()>>, ServerError> {
    let start_thread = |index| {
        let executor = executor.clone();
        let stopping = stopping.clone();
        let builder = thread::Builder::new().name(format!("{}-{index}", settings.name));
        builder.spawn(move || run_executor(&executor, &stopping))
    };
    let handles = (0..settings.executor_threads.max(1)).map(start_thread);
    handles
        .collect::<io::Result<_>>()
        .map_err(ServerError::Thread)
}

/// A running server.
pub struct ServerHandle {
    address: SocketAddr,
    shared: Arc<Shared>,
    drain: async_channel::Sender<Infallible>,
    stop: async_channel::Sender<Infallible>,
    threads: Mutex<Vec<JoinHandle<()>>>,
}

impl ServerHandle {
    /// Returns the listen address.
    pub fn local_address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the number of requests in flight.
    pub fn in_flight(&self) -> usize {
        self.shared.in_flight.count()
    }

    /// Returns whether a drain has begun.
    pub fn is_draining(&self) -> bool {
        self.shared.in_flight.is_closed()
    }

    /// Drains and stops the server. Waits at most `grace` for requests in flight, while new ones
    /// receive 503 with `Retry-After`; then closes idle connections and aborts the remaining
    /// requests.
    pub fn drain(&self, grace: Duration) -> DrainReport {
        let deadline = Instant::now() + grace;
        let at_start = self.shared.in_flight.close();
        let cut = self.shared.in_flight.wait_until_idle(deadline);
        self.drain.close();
        if cut == 0 {
            self.wait_for_flush();
        }
        self.stop();
        DrainReport {
            finished: at_start.saturating_sub(cut),
            cut,
        }
    }

    /// Stops at once and aborts requests in flight.
    pub fn stop(&self) {
        self.drain.close();
        self.stop.close();
        let threads = {
            let mut threads = self.threads.lock().unwrap_or_else(PoisonError::into_inner);
            std::mem::take(&mut *threads)
        };
        for thread in threads {
            if thread.join().is_err() {
                log::error!("event=server_thread_panicked address={}", self.address);
            }
        }
    }

    /// Waits for connections to send responses that are still in hyper's buffer.
    fn wait_for_flush(&self) {
        let deadline = Instant::now() + FLUSH_TIMEOUT;
        while self.shared.connections.load(Ordering::Acquire) > 0 && Instant::now() < deadline {
            thread::sleep(FLUSH_POLL_INTERVAL);
        }
    }
}

impl Drop for ServerHandle {
    fn drop(&mut self) {
        self.stop();
    }
}

/// Runs executor tasks. A panic closes only the affected connection: without executor threads the
/// server would accept connections and serve none.
fn run_executor(executor: &Executor<'static>, stopping: &async_channel::Receiver<Infallible>) {
    let run = || {
        let stopped = async {
            let _ = stopping.recv().await;
        };
        async_io::block_on(executor.run(stopped));
    };
    while catch_unwind(AssertUnwindSafe(run)).is_err() {
        log::error!("event=connection_panicked");
    }
}

/// Accepts connections until `draining` is closed; then closes the listener.
async fn accept_until_drain(
    listener: Async<TcpListener>,
    shared: Arc<Shared>,
    executor: Weak<Executor<'static>>,
) {
    let draining = shared.draining.clone();
    let refusals = Arc::new(AtomicUsize::new(0));
    loop {
        let accepted = async { Some(listener.accept().await) };
        let drained = async {
            let _ = draining.recv().await;
            None
        };
        match future::or(drained, accepted).await {
            None => return,
            Some(Ok((stream, _))) => match executor.upgrade() {
                Some(executor) => start_connection(stream, &shared, &executor, &refusals),
                None => return,
            },
            Some(Err(error)) => {
                log::warn!("event=accept_failed error=\"{error}\"");
                Timer::after(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

fn start_connection(
    stream: Async<TcpStream>,
    shared: &Arc<Shared>,
    executor: &Executor<'static>,
    refusals: &Arc<AtomicUsize>,
) {
    if let Err(error) = stream.get_ref().set_nodelay(true) {
        log::debug!("event=nodelay_failed error=\"{error}\"");
    }
    let limit = shared.settings.maximum_connections;
    if shared.connections.load(Ordering::Acquire) < limit {
        let guard = ConnectionGuard::new(shared.clone());
        let served = connection::serve(stream, shared.clone(), guard);
        executor.spawn(served).detach();
        return;
    }
    if refusals.fetch_add(1, Ordering::AcqRel) >= MAXIMUM_CONCURRENT_REFUSALS {
        refusals.fetch_sub(1, Ordering::AcqRel);
        return;
    }
    let refusals = refusals.clone();
    let header_timeout = shared.settings.header_timeout;
    let refused = async move {
        connection::refuse(stream, limit, header_timeout).await;
        refusals.fetch_sub(1, Ordering::AcqRel);
    };
    executor.spawn(refused).detach();
}
