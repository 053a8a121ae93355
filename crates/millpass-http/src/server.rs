//! Listening, accepting, draining and stopping.

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

/// Most connections above the limit that are answered 503 at one time; more are just closed.
const MAXIMUM_REFUSALS: usize = 256;
/// Connections that may wait to be accepted; the kernel's own limit may be lower.
const LISTEN_QUEUE: i32 = 4_096;
/// Pause after a failed accept, for example when file descriptors run out.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
/// Time in which closing connections may flush their last bytes after a drain.
const FLUSH_TIME: Duration = Duration::from_millis(200);
/// Pause between two looks at the open connections while they flush.
const FLUSH_POLL: Duration = Duration::from_millis(5);

/// Why a server could not start.
#[derive(Debug, thiserror::Error)]
pub enum ServerError {
    /// The address cannot be listened on.
    #[error(
        "cannot listen on {address}: {source}; stop the process that holds the port, or choose \
         another address in the settings"
    )]
    Listen {
        /// Address asked for.
        address: SocketAddr,
        /// Cause.
        source: io::Error,
    },
    /// A thread cannot be started.
    #[error("cannot start a server thread: {0}; raise the limit of threads")]
    Thread(io::Error),
}

/// What became of the requests in flight when a drain began.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DrainReport {
    /// Requests in flight at the start that ended by themselves.
    pub finished: usize,
    /// Requests cut off when the grace was over.
    pub cut: usize,
}

/// A server that listens but doesn't serve yet: connections wait in the listener's queue.
pub struct Server {
    listener: Async<TcpListener>,
    address: SocketAddr,
    settings: ServerSettings,
    executor: Arc<Executor<'static>>,
    stop: async_channel::Sender<Infallible>,
    threads: Vec<JoinHandle<()>>,
}

impl Server {
    /// Listens on an address; port 0 takes a free port.
    pub fn bind(address: SocketAddr, settings: ServerSettings) -> Result<Server, ServerError> {
        let failed = |source| ServerError::Listen { address, source };
        let listener = listen(address).map_err(failed)?;
        let address = listener.get_ref().local_addr().map_err(failed)?;
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

    /// Address listened on, with the real port.
    pub fn local_address(&self) -> SocketAddr {
        self.address
    }

    /// Serves until drained or stopped. Dropping the handle stops the server.
    pub fn serve(self, handler: Arc<dyn Handler>) -> ServerHandle {
        let (drain, draining) = async_channel::bounded(1);
        let shared = Arc::new(Shared {
            pool: Pool::new(&self.settings.name, self.settings.handler_threads),
            handler,
            connections: AtomicUsize::new(0),
            in_flight: Arc::new(InFlight::default()),
            draining,
            settings: self.settings,
        });
        // The accept loop runs on the executor, so it may not keep the executor alive.
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

/// Listens with a long queue. With the standard library's 128, a burst of connections overflows
/// it, and the kernel lets those callers try again after a second.
fn listen(address: SocketAddr) -> io::Result<Async<TcpListener>> {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, None)?;
    socket.set_reuse_address(true)?;
    socket.bind(&address.into())?;
    socket.listen(LISTEN_QUEUE)?;
    Async::new(socket.into())
}

/// Starts the executor threads. They hold the executor alone: when they end, every task on it is
/// dropped, which cuts its connections.
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
    let started = (0..settings.executor_threads.max(1)).map(start_thread);
    started
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
    /// Address listened on.
    pub fn local_address(&self) -> SocketAddr {
        self.address
    }

    /// Requests in flight.
    pub fn in_flight(&self) -> usize {
        self.shared.in_flight.count()
    }

    /// Whether a planned stop has begun.
    pub fn is_draining(&self) -> bool {
        self.shared.in_flight.is_closed()
    }

    /// Planned stop. Waits at most `grace` for the requests in flight; meanwhile new ones, also
    /// on new connections, are answered 503 with `Retry-After`. Then closes idle connections,
    /// cuts off what is left, and stops.
    pub fn drain(&self, grace: Duration) -> DrainReport {
        let until = Instant::now() + grace;
        let at_start = self.shared.in_flight.close();
        let cut = self.shared.in_flight.wait_for_none(until);
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

    /// Stops at once; requests in flight are cut off.
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

    /// Gives connections whose last answer is still in hyper's buffer time to send it.
    fn wait_for_flush(&self) {
        let until = Instant::now() + FLUSH_TIME;
        while self.shared.connections.load(Ordering::Acquire) > 0 && Instant::now() < until {
            thread::sleep(FLUSH_POLL);
        }
    }
}

impl Drop for ServerHandle {
    fn drop(&mut self) {
        self.stop();
    }
}

/// A task that panics costs its connection. Were the thread to end with it, the server would take connections and answer
/// none.
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

/// Accepts connections until the drain begins; then closes the listener.
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
                Timer::after(ACCEPT_PAUSE).await;
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
    if refusals.fetch_add(1, Ordering::AcqRel) >= MAXIMUM_REFUSALS {
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
