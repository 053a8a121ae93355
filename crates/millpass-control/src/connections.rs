//! Connections that members, routers and joiners make to this member.
//!
//! One thread reads each connection; one more writes to it once a router speaks on it. A router
//! that does not read is disconnected when its queue is full, and comes back. Of a gateway's updates one at most waits
//! behind the one that is being written: the core hears of it, and sends the next when both are written.

use crate::inputs::Inputs;
use crate::metrics::Metrics;
use crate::router_backlog::RouterBacklog;
use crate::settings::ProcessLimits;
use crossbeam::channel::{Receiver, Sender, bounded};
use millpass_control_plane::{ConnectionId, ControlInput};
use millpass_proto::codec::{CodecError, read_frame, write_frame};
use millpass_proto::{ControlToRouter, LinkMessage};
use socket2::{SockRef, TcpKeepalive};
use std::collections::BTreeMap;
use std::io::{BufReader, BufWriter, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::Duration;

/// Stack of a connection's thread, in bytes.
const STACK_BYTES: usize = 256 * 1024;
/// Bytes that a router's socket holds for it; the kernel takes twice as much. A larger copy passes in parts: at 50 ms
/// there and back, more than a megabyte a second.
const SEND_BUFFER_BYTES: usize = 64 * 1024;
/// Pause after an accept failed, so that a lack of descriptors does not spin.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
/// Longest wait for the acceptor's wake-up connection.
const WAKE_TIMEOUT: Duration = Duration::from_secs(1);

struct Connection {
    stream: TcpStream,
    /// Set once a router spoke on it.
    messages: Option<Sender<ControlToRouter>>,
    backlog: Arc<RouterBacklog>,
}

/// All open connections. Its lock is held alone, never together with another.
pub(crate) struct Connections {
    open: Mutex<BTreeMap<ConnectionId, Connection>>,
    next: AtomicU64,
    closing: AtomicBool,
    address: SocketAddr,
    limits: ProcessLimits,
    inputs: Inputs,
    metrics: Arc<Metrics>,
}

impl Connections {
    /// The connections of a listening socket; [`Connections::accept`] serves it.
    pub(crate) fn new(
        listener: &TcpListener,
        limits: ProcessLimits,
        inputs: Inputs,
        metrics: Arc<Metrics>,
    ) -> std::io::Result<Arc<Connections>> {
        Ok(Arc::new(Connections {
            open: Mutex::default(),
            next: AtomicU64::new(1),
            closing: AtomicBool::new(false),
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

    /// Ends the accepting thread and all connections.
    pub(crate) fn close(&self) {
        self.closing.store(true, Ordering::Release);
        drop(TcpStream::connect_timeout(&self.address, WAKE_TIMEOUT));
        let open = std::mem::take(&mut *self.lock());
        for connection in open.into_values() {
            shut_down(&connection.stream);
        }
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
        let connection = ConnectionId(self.next.fetch_add(1, Ordering::Relaxed));
        if let Err(error) = self.serve(connection, stream) {
            log::warn!("event=connection_failed error=\"{error}\"");
            self.lock().remove(&connection);
        }
    }

    fn serve(self: &Arc<Self>, connection: ConnectionId, stream: TcpStream) -> std::io::Result<()> {
        stream.set_nodelay(true)?;
        let silence = self.limits.connection_silence;
        stream.set_write_timeout(Some(silence))?;
        // Members may be silent for long; a dead machine's connection ends by keep-alive probes.
        SockRef::from(&stream).set_tcp_keepalive(&TcpKeepalive::new().with_time(silence))?;
        let entry = Connection {
            stream: stream.try_clone()?,
            messages: None,
            backlog: Arc::default(),
        };
        self.lock().insert(connection, entry);
        let connections = self.clone();
        spawn("control-reader", move || {
            connections.metrics.connections.inc();
            connections.read(connection, &stream);
            connections.metrics.connections.dec();
        })
    }

    fn read(self: &Arc<Self>, connection: ConnectionId, stream: &TcpStream) {
        let mut reader = BufReader::new(stream);
        let mut router_speaks = false;
        let end = loop {
            let message = match read_frame::<LinkMessage>(&mut reader) {
                Ok(message) => message,
                Err(error) => break error,
            };
            if matches!(message, LinkMessage::Router(_)) && !router_speaks {
                router_speaks = true;
                if let Err(error) = self.expect_router(connection, stream) {
                    break error.into();
                }
            }
            if !self.inputs.send(input_of(connection, message)) {
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
            self.inputs
                .send(ControlInput::RouterDisconnected(connection));
        }
    }

    /// A router reports several times in the allowed silence.
    fn expect_router(
        self: &Arc<Self>,
        connection: ConnectionId,
        stream: &TcpStream,
    ) -> std::io::Result<()> {
        stream.set_read_timeout(Some(self.limits.connection_silence))?;
        // What waits in the socket is out of reach: it would be taken before anything newer.
        SockRef::from(stream).set_send_buffer_size(SEND_BUFFER_BYTES)?;
        let (sender, messages) = bounded(self.limits.router_queue);
        let backlog = {
            let mut open = self.lock();
            let Some(found) = open.get_mut(&connection) else {
                return Ok(());
            };
            found.messages = Some(sender);
            found.backlog.clone()
        };
        let writer = stream.try_clone()?;
        let inputs = self.inputs.clone();
        spawn("control-writer", move || {
            write_all(&writer, &messages, || {
                let caught_up = ControlInput::RouterBacklog {
                    connection,
                    waits: false,
                };
                if backlog.written() {
                    inputs.send(caught_up);
                }
            });
        })
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<ConnectionId, Connection>> {
        self.open.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn spawn(name: &str, body: impl FnOnce() + Send + 'static) -> std::io::Result<()> {
    let builder = thread::Builder::new()
        .name(name.to_owned())
        .stack_size(STACK_BYTES);
    builder.spawn(body).map(drop)
}

fn input_of(connection: ConnectionId, message: LinkMessage) -> ControlInput {
    match message {
        LinkMessage::Peer(envelope) => ControlInput::Peer(envelope),
        LinkMessage::Router(message) => ControlInput::Router {
            connection,
            message,
        },
        LinkMessage::Greeting(address) => ControlInput::PeerGreeting(address),
        LinkMessage::Join(address) => ControlInput::Join(address),
        LinkMessage::Share(report) => ControlInput::Share(report),
        LinkMessage::ShareAnswer(answer) => ControlInput::ShareAnswer(answer),
    }
}

fn is_update(message: &ControlToRouter) -> bool {
    matches!(message, ControlToRouter::Gateway(_))
}

/// Body of a writing thread; ends when the connection is taken from the table. Tells of each update that the socket
/// has taken.
fn write_all(stream: &TcpStream, messages: &Receiver<ControlToRouter>, updated: impl Fn()) {
    let mut writer = BufWriter::new(stream);
    for message in messages {
        let mut written = write_frame(&mut writer, &message);
        if written.is_ok() && messages.is_empty() {
            written = writer.flush().map_err(Into::into);
        }
        if let Err(error) = written {
            log::debug!("event=router_write_failed error=\"{error}\"");
            break;
        }
        if is_update(&message) {
            updated();
        }
    }
    shut_down(stream);
}

fn shut_down(stream: &TcpStream) {
    // Fails only on a connection that has ended already.
    let _ = stream.shutdown(Shutdown::Both);
}
