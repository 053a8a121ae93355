//! Connections that members, routers and joiners make to this member.
//!
//! One thread serves all of them, as tasks: a thread for each, or two, would be thousands where a gateway runs on each of
//! a thousand machines. A router that does not read is disconnected when its queue is full, and comes back. Of a gateway's
//! updates one at most waits behind the one that is being written: the core hears of it, and sends the next when both are
//! written.

use crate::frames::{read_frame, write_frame};
use crate::inputs::Inputs;
use crate::metrics::Metrics;
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

/// Bytes read from a connection at once.
const READ_BUFFER_BYTES: usize = 2 * 1024;
/// Bytes that a router's socket holds for it; the kernel takes twice as much. A larger copy passes in parts: at 50 ms
/// there and back, more than a megabyte a second.
const SEND_BUFFER_BYTES: usize = 64 * 1024;
/// Pause after an accept failed, so that a lack of descriptors does not spin.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
/// Longest wait for the acceptor's wake-up connection.
const WAKE_TIMEOUT: Duration = Duration::from_secs(1);
/// Pause before an input is offered again for whose class the core has no room: what follows it on its connection
/// waits in the socket.
const ROOM_PAUSE: Duration = Duration::from_millis(5);

struct Connection {
    stream: Arc<Async<TcpStream>>,
    /// Set once a router spoke on it.
    messages: Option<Sender<ControlToRouter>>,
    backlog: Arc<RouterBacklog>,
}

/// All open connections. Its lock is held alone, never together with another.
pub(crate) struct Connections {
    open: Mutex<BTreeMap<ConnectionId, Connection>>,
    next: AtomicU64,
    closing: AtomicBool,
    /// Closed when the tasks are to end; nothing is sent on it.
    stop: Sender<()>,
    stopped: Receiver<()>,
    tasks: Executor<'static>,
    address: SocketAddr,
    limits: ProcessLimits,
    inputs: Inputs,
    metrics: Arc<Metrics>,
}

impl Connections {
    /// The connections of a listening socket; [`Connections::accept`] takes them in, [`Connections::run`] serves them.
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

    /// Where it listens.
    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Body of the thread that serves all connections; ends after [`Connections::close`].
    pub(crate) fn run(&self) {
        // It ends with an error, as it is closed without a message.
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
                    thread::sleep(ACCEPT_PAUSE);
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
            shut_down(&connection.stream);
        }
        self.stop.close();
    }

    /// Sends to a router, which is disconnected if it does not read. Never waits. True when a gateway's update begins
    /// to wait behind another.
    pub(crate) fn send(&self, connection: ConnectionId, message: ControlToRouter) -> bool {
        let mut open = self.lock();
        let Some(found) = open.get(&connection) else {
            return false;
        };
        let Some(messages) = &found.messages else {
            return false;
        };
        let waits = is_update(&message) && found.backlog.queued();
        if messages.try_send(message).is_err() {
            self.metrics.dropped_messages.inc();
            log::warn!("event=router_not_reading connection={}", connection.0);
            if let Some(lost) = open.remove(&connection) {
                shut_down(&lost.stream);
            }
            return false;
        }
        waits
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
        // Members may be silent for long; a dead machine's connection ends by keep-alive probes.
        let keep_alive = TcpKeepalive::new().with_time(self.limits.connection_silence);
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
        let mut reader = BufReader::with_capacity(READ_BUFFER_BYTES, &**stream);
        let mut router_speaks = false;
        let end = loop {
            let reading = read_frame::<LinkMessage>(&mut reader);
            let reading = self.within_silence(router_speaks, reading).await;
            let message = match reading {
                Ok(message) => message,
                Err(error) => break error,
            };
            if matches!(message, LinkMessage::Router(_)) && !router_speaks {
                router_speaks = true;
                if let Err(error) = self.expect_router(connection, stream) {
                    break error.into();
                }
            }
            if !self.take(input_of(connection, message)).await {
                break CodecError::Io(std::io::ErrorKind::ConnectionAborted.into());
            }
        };
        log::debug!(
            "event=connection_ended connection={} reason=\"{end}\"",
            connection.0
        );
        self.lock().remove(&connection);
        shut_down(stream);
        if router_speaks {
            self.take(ControlInput::RouterDisconnected(connection))
                .await;
        }
    }

    /// Gives a router the allowed silence; it reports several times in it. A member may be silent.
    async fn within_silence<T>(
        &self,
        is_router: bool,
        work: impl Future<Output = Result<T, CodecError>>,
    ) -> Result<T, CodecError> {
        if !is_router {
            return work.await;
        }
        let silence = async {
            Timer::after(self.limits.connection_silence).await;
            Err(CodecError::Io(std::io::ErrorKind::TimedOut.into()))
        };
        future::or(work, silence).await
    }

    /// Hands an input to the core, and waits for room. False once the core has ended.
    async fn take(&self, mut input: ControlInput) -> bool {
        loop {
            match self.inputs.try_send(input) {
                Ok(taken) => return taken,
                Err(refused) => input = *refused,
            }
            Timer::after(ROOM_PAUSE).await;
        }
    }

    fn expect_router(
        self: &Arc<Self>,
        connection: ConnectionId,
        stream: &Arc<Async<TcpStream>>,
    ) -> std::io::Result<()> {
        // What waits in the socket is out of reach: it would be taken before anything newer.
        SockRef::from(stream.get_ref()).set_send_buffer_size(SEND_BUFFER_BYTES)?;
        let (sender, messages) = bounded(self.limits.router_queue);
        let backlog = {
            let mut open = self.lock();
            let Some(found) = open.get_mut(&connection) else {
                return Ok(());
            };
            found.messages = Some(sender);
            found.backlog.clone()
        };
        let connections = self.clone();
        let stream = stream.clone();
        let writing = async move {
            connections
                .write_all(connection, &stream, &messages, &backlog)
                .await;
            shut_down(&stream);
        };
        self.tasks.spawn(writing).detach();
        Ok(())
    }

    /// Writes until the connection is taken from the table. Tells of each update that the socket has taken.
    async fn write_all(
        &self,
        connection: ConnectionId,
        stream: &Async<TcpStream>,
        messages: &Receiver<ControlToRouter>,
        backlog: &RouterBacklog,
    ) {
        while let Ok(message) = messages.recv().await {
            let writing = write_frame(stream, &message);
            if let Err(error) = self.within_silence(true, writing).await {
                log::debug!("event=router_write_failed error=\"{error}\"");
                return;
            }
            if is_update(&message) && backlog.written() {
                let waits = false;
                self.take(ControlInput::RouterBacklog { connection, waits })
                    .await;
            }
        }
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<ConnectionId, Connection>> {
        self.open.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn input_of(connection: ConnectionId, message: LinkMessage) -> ControlInput {
    match message {
        LinkMessage::Peer(envelope) => ControlInput::Peer(envelope),
        LinkMessage::Router(message) => ControlInput::Router {
            connection,
            message,
        },
        LinkMessage::MemberHello(address) => ControlInput::PeerGreeting(address),
        LinkMessage::Join(address) => ControlInput::Join(address),
        LinkMessage::Share(report) => ControlInput::Share(report),
        LinkMessage::ShareResponse(answer) => ControlInput::ShareResponse(answer),
    }
}

fn is_update(message: &ControlToRouter) -> bool {
    matches!(message, ControlToRouter::Gateway(_))
}

fn shut_down(stream: &Async<TcpStream>) {
    // Fails only on a connection that has ended already.
    let _ = stream.get_ref().shutdown(Shutdown::Both);
}
