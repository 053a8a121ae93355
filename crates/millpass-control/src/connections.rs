//! Inbound connections of members, routers and joiners.
//!
//! One thread serves all of them as tasks, as there may be thousands. A router that does not read
//! is disconnected when its queue is full, and reconnects. At most one gateway update waits behind
//! the one being written: the core is notified, and sends the next one after both are written.

use crate::frames::{read_frame, write_frame};
use crate::inputs::Inputs;
use crate::message_assembly::MessageAssembly;
use crate::metrics::Metrics;
use crate::receipts::ReceiptReader;
use crate::router_backlog::RouterBacklog;
use crate::settings::ProcessLimits;
use async_channel::{Receiver, Sender, bounded};
use async_executor::Executor;
use async_io::{Async, Timer};
use futures_lite::{future, io::BufReader};
use millpass_control_plane::{ConnectionId, ControlInput};
use millpass_proto::codec::CodecError;
use millpass_proto::{ControlToRouter, LinkMessage};
use socket2::{SockRef, TcpKeepalive};
use std::collections::BTreeMap;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::Duration;

const READ_BUFFER_BYTES: usize = 2 * 1024;
/// Send buffer of a router's socket; the kernel doubles it. Kept small, as buffered updates cannot
/// be replaced by newer ones. At a round trip of 50 ms more than a megabyte a second passes.
const SEND_BUFFER_BYTES: usize = 64 * 1024;
/// Delay after a failed accept, so that a lack of file descriptors does not spin.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Connect timeout of the connection that wakes the accepting thread.
const WAKE_TIMEOUT: Duration = Duration::from_secs(1);
/// Time without a byte after which a member's connection is closed. Members may be idle, but one end
/// of a connection that has gone silent would stay open for good.
const MEMBER_IDLE_TIMEOUT: Duration = Duration::from_secs(60);
/// Delay before an input is retried after its class was full. Meanwhile, later messages wait in the
/// socket.
const FULL_QUEUE_DELAY: Duration = Duration::from_millis(5);

struct Connection {
    stream: Arc<Async<TcpStream>>,
    /// Set after the first message of a router.
    messages: Option<Sender<ControlToRouter>>,
    backlog: Arc<RouterBacklog>,
}

/// All open connections. Its lock is never held together with another.
pub(crate) struct Connections {
    open: Mutex<BTreeMap<ConnectionId, Connection>>,
    next: AtomicU64,
    closing: AtomicBool,
    /// Closed to end the tasks; nothing is sent on it.
    stop: Sender<()>,
    stopped: Receiver<()>,
    tasks: Executor<'static>,
    address: SocketAddr,
    limits: ProcessLimits,
    inputs: Inputs,
    metrics: Arc<Metrics>,
}

impl Connections {
    /// Creates the connections of a listener; [`Connections::accept`] accepts them,
    /// [`Connections::run`] serves them.
    pub(crate) fn new(
        listener: &TcpListener,
        limits: ProcessLimits,
        inputs: Inputs,
        metrics: Arc<Metrics>,
    ) -> std::io::Result<Arc<Connections>> {
        let (stop, stopped) = bounded(1);
        Ok(Arc::new(Connections {
            open: Mutex::default(),
            next: AtomicU64::new(1),
            closing: AtomicBool::new(false),
            stop,
            stopped,
            tasks: Executor::new(),
            address: listener.local_addr()?,
            limits,
            inputs,
            metrics,
        }))
    }

    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Body of the thread that serves all connections; ends after [`Connections::close`].
    pub(crate) fn run(&self) {
        // Always an error, as the channel is closed without a message.
        let _ = async_io::block_on(self.tasks.run(self.stopped.recv()));
    }

    /// Body of the accepting thread; ends after [`Connections::close`].
    pub(crate) fn accept(self: &Arc<Self>, listener: &TcpListener) {
        for accepted in listener.incoming() {
            if self.closing.load(Ordering::Acquire) {
                return;
            }
            match accepted {
                Ok(stream) => self.admit(stream),
                Err(error) => {
                    log::warn!("event=accept_failed error=\"{error}\"");
                    thread::sleep(ACCEPT_RETRY_DELAY);
                }
            }
        }
    }

    /// Ends the threads and all connections.
    pub(crate) fn close(&self) {
        self.closing.store(true, Ordering::Release);
        drop(TcpStream::connect_timeout(&self.address, WAKE_TIMEOUT));
        let open = std::mem::take(&mut *self.lock());
        for connection in open.into_values() {
            shutdown(&connection.stream);
        }
        self.stop.close();
    }

    /// Sends to a router without blocking; the router is disconnected if its queue is full. Returns
    /// true when a gateway update becomes the first to wait behind another.
    pub(crate) fn send(&self, connection: ConnectionId, message: ControlToRouter) -> bool {
        let mut open = self.lock();
        let Some(entry) = open.get(&connection) else {
            return false;
        };
        let Some(messages) = &entry.messages else {
            return false;
        };
        let backlogged = is_update(&message) && entry.backlog.queued();
        if messages.try_send(message).is_err() {
            self.metrics.dropped_messages.inc();
            log::warn!("event=router_not_reading connection={}", connection.0);
            if let Some(removed) = open.remove(&connection) {
                shutdown(&removed.stream);
            }
            return false;
        }
        backlogged
    }

    fn admit(self: &Arc<Self>, stream: TcpStream) {
        if self.lock().len() >= self.limits.maximum_connections {
            log::warn!(
                "event=connection_refused reason=too_many limit={}",
                self.limits.maximum_connections
            );
            return;
        }
        if let Err(error) = self.serve(stream) {
            log::warn!("event=connection_failed error=\"{error}\"");
        }
    }

    fn serve(self: &Arc<Self>, stream: TcpStream) -> std::io::Result<()> {
        stream.set_nodelay(true)?;
        // Keep-alive probes close connections of dead machines.
        let keep_alive = TcpKeepalive::new().with_time(self.limits.connection_timeout);
        SockRef::from(&stream).set_tcp_keepalive(&keep_alive)?;
        let stream = Arc::new(Async::new(stream)?);
        let connection = ConnectionId(self.next.fetch_add(1, Ordering::Relaxed));
        let entry = Connection {
            stream: stream.clone(),
            messages: None,
            backlog: Arc::default(),
        };
        self.lock().insert(connection, entry);
        let connections = self.clone();
        let reading = async move {
            connections.metrics.connections.inc();
            connections.read(connection, &stream).await;
            connections.metrics.connections.dec();
        };
        self.tasks.spawn(reading).detach();
        Ok(())
    }

    async fn read(self: &Arc<Self>, connection: ConnectionId, stream: &Arc<Async<TcpStream>>) {
        let receipts = ReceiptReader::new(stream.clone());
        let mut reader = BufReader::with_capacity(READ_BUFFER_BYTES, receipts);
        let mut is_router = false;
        let mut assembly = MessageAssembly::default();
        let end = loop {
            let timeout = self.read_timeout(is_router, reader.get_ref().is_member());
            let reading = with_timeout(timeout, read_frame::<LinkMessage>(&mut reader)).await;
            let message = match reading {
                Ok(LinkMessage::Part(part)) => match assembly.add(part) {
                    Ok(Some(message)) => message,
                    Ok(None) => continue,
                    Err(error) => break error,
                },
                Ok(message) => message,
                Err(error) => break error,
            };
            if matches!(message, LinkMessage::Router(_)) && !is_router {
                is_router = true;
                if let Err(error) = self.start_writer(connection, stream) {
                    break error.into();
                }
            }
            if matches!(message, LinkMessage::MemberHello(_)) {
                reader.get_mut().start();
            }
            let Some(input) = input_of(connection, message) else {
                break CodecError::Io(std::io::ErrorKind::InvalidData.into());
            };
            if !self.submit(input).await {
                break CodecError::Io(std::io::ErrorKind::ConnectionAborted.into());
            }
        };
        log::debug!(
            "event=connection_ended connection={} reason=\"{end}\"",
            connection.0
        );
        self.lock().remove(&connection);
        shutdown(stream);
        if is_router {
            self.submit(ControlInput::RouterDisconnected(connection))
                .await;
        }
    }

    /// Returns the time within which the next message must arrive. Routers report several times
    /// within theirs; joiners have none.
    fn read_timeout(&self, is_router: bool, is_member: bool) -> Option<Duration> {
        match (is_router, is_member) {
            (true, _) => Some(self.limits.connection_timeout),
            (false, true) => Some(MEMBER_IDLE_TIMEOUT),
            (false, false) => None,
        }
    }

    /// Submits an input to the core, waiting for capacity. Returns false once the core has ended.
    async fn submit(&self, mut input: ControlInput) -> bool {
        loop {
            match self.inputs.try_send(input) {
                Ok(accepted) => return accepted,
                Err(refused) => input = *refused,
            }
            Timer::after(FULL_QUEUE_DELAY).await;
        }
    }

    fn start_writer(
        self: &Arc<Self>,
        connection: ConnectionId,
        stream: &Arc<Async<TcpStream>>,
    ) -> std::io::Result<()> {
        // Buffered bytes cannot be replaced and delay newer updates, so the buffer is kept small.
        SockRef::from(stream.get_ref()).set_send_buffer_size(SEND_BUFFER_BYTES)?;
        let (sender, messages) = bounded(self.limits.router_queue);
        let backlog = {
            let mut open = self.lock();
            let Some(entry) = open.get_mut(&connection) else {
                return Ok(());
            };
            entry.messages = Some(sender);
            entry.backlog.clone()
        };
        let connections = self.clone();
        let stream = stream.clone();
        let writing = async move {
            connections
                .write_all(connection, &stream, &messages, &backlog)
                .await;
            shutdown(&stream);
        };
        self.tasks.spawn(writing).detach();
        Ok(())
    }

    /// Writes until the connection is removed from the table. Notifies the core when the backlog is
    /// written.
    async fn write_all(
        &self,
        connection: ConnectionId,
        stream: &Async<TcpStream>,
        messages: &Receiver<ControlToRouter>,
        backlog: &RouterBacklog,
    ) {
        while let Ok(message) = messages.recv().await {
            let timeout = Some(self.limits.connection_timeout);
            let writing = write_frame(stream, &message);
            if let Err(error) = with_timeout(timeout, writing).await {
                log::debug!("event=router_write_failed error=\"{error}\"");
                return;
            }
            if is_update(&message) && backlog.written() {
                let backlogged = false;
                self.submit(ControlInput::RouterBacklog {
                    connection,
                    backlogged,
                })
                .await;
            }
        }
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<ConnectionId, Connection>> {
        self.open.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

async fn with_timeout<T>(
    timeout: Option<Duration>,
    work: impl Future<Output = Result<T, CodecError>>,
) -> Result<T, CodecError> {
    let Some(timeout) = timeout else {
        return work.await;
    };
    let timer = async {
        Timer::after(timeout).await;
        Err(CodecError::Io(std::io::ErrorKind::TimedOut.into()))
    };
    future::or(work, timer).await
}

/// Returns the input of a message; none for a part inside an assembled message.
fn input_of(connection: ConnectionId, message: LinkMessage) -> Option<ControlInput> {
    let input = match message {
        LinkMessage::Peer(envelope) => ControlInput::Peer(envelope),
        LinkMessage::Router(message) => ControlInput::Router {
            connection,
            message,
        },
        LinkMessage::MemberHello(address) => ControlInput::MemberHello(address),
        LinkMessage::Join(address) => ControlInput::Join(address),
        LinkMessage::Share(report) => ControlInput::Share(report),
        LinkMessage::ShareResponse(response) => ControlInput::ShareResponse(response),
        LinkMessage::Part(_) => return None,
    };
    Some(input)
}

fn is_update(message: &ControlToRouter) -> bool {
    matches!(message, ControlToRouter::Gateway(_))
}

fn shutdown(stream: &Async<TcpStream>) {
    // Fails only on a connection that has already closed.
    let _ = stream.get_ref().shutdown(Shutdown::Both);
}
