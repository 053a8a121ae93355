//! Outbound connections to other members: one thread and one bounded queue per address.
//!
//! Messages that exceed the queue, or are in flight when a connection breaks, are dropped;
//! consensus resends. A large message is sent in parts. Heartbeats and votes overtake the rest of
//! it, so that the leader keeps its lease while a slow path carries a document. A connection without
//! receipts is closed and opened anew.

use crate::metrics::Metrics;
use crate::peer_queue::PeerQueue;
use crate::receipts::ReceiptWatch;
use millpass_proto::codec::{
    CodecError, MAXIMUM_FRAME_BYTES, PART_BYTES, WHOLE_MESSAGE_BYTES, encode, write_encoded_frame,
    write_frame,
};
use millpass_proto::{LinkMessage, MemberAddress, MessagePart};
use rustix::io::Errno;
use rustix::net::{RecvFlags, recv};
use socket2::SockRef;
use std::collections::BTreeMap;
use std::io::{BufWriter, Error, ErrorKind, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

/// Connect timeout, below the election timeout so that a voter that restarts during a hanging
/// attempt is soon reached.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Timeout for writes, and for bytes to be acknowledged.
const SEND_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Delay after a failed connect; messages of that time are dropped.
const RETRY_DELAY: Duration = Duration::from_millis(100);
/// Time without messages after which a connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);
/// Minimum interval between two looks for receipts.
const RECEIPT_CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// Maximum number of receipts taken at once.
const RECEIPT_CHECK_BYTES: usize = 64;
/// Send buffer of a connection; the kernel doubles it. Kept small, as nothing overtakes buffered
/// bytes.
const SEND_BUFFER_BYTES: usize = 128 * 1024;
/// Stack size of a sending thread.
const STACK_BYTES: usize = 256 * 1024;

/// Queue between the core's thread and a sending thread.
struct SharedQueue {
    state: Mutex<QueueState>,
    filled: Condvar,
}

struct QueueState {
    queue: PeerQueue,
    /// No more messages will be added.
    is_closed: bool,
}

impl SharedQueue {
    fn new(length: usize) -> Arc<Self> {
        Arc::new(SharedQueue {
            state: Mutex::new(QueueState {
                queue: PeerQueue::new(length),
                is_closed: false,
            }),
            filled: Condvar::new(),
        })
    }

    fn lock(&self) -> MutexGuard<'_, QueueState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Adds a message; returns false if it is dropped.
    fn push(&self, message: LinkMessage) -> bool {
        let is_added = self.lock().queue.push(message);
        self.filled.notify_one();
        is_added
    }

    /// Waits for the next message; returns `None` once the queue is closed and empty.
    fn pop(&self) -> Option<LinkMessage> {
        let mut state = self.lock();
        loop {
            let message = state.queue.pop();
            if message.is_some() || state.is_closed {
                return message;
            }
            let woken = self.filled.wait(state);
            state = woken.unwrap_or_else(PoisonError::into_inner);
        }
    }

    /// Returns the next waiting message that may overtake a large one.
    fn pop_overtaking(&self) -> Option<LinkMessage> {
        self.lock().queue.pop_overtaking()
    }

    fn is_empty(&self) -> bool {
        self.lock().queue.is_empty()
    }

    fn close(&self) {
        self.lock().is_closed = true;
        self.filled.notify_one();
    }
}

struct Peer {
    queue: Arc<SharedQueue>,
    used_at: Instant,
    sending: JoinHandle<()>,
}

/// Sends to members by address. Owned by the core's thread; dropping it closes the connections.
pub(crate) struct Peers {
    peers: BTreeMap<String, Peer>,
    own: MemberAddress,
    queue_length: usize,
    metrics: Arc<Metrics>,
}

impl Peers {
    /// Starts without connections; they are opened on demand. `own` is sent as hello on each;
    /// `queue_length` bounds the queue of each address.
    pub(crate) fn new(own: MemberAddress, queue_length: usize, metrics: Arc<Metrics>) -> Self {
        Peers {
            peers: BTreeMap::new(),
            own,
            queue_length,
            metrics,
        }
    }

    /// Queues the message, or drops it if the queue is full. Never blocks.
    pub(crate) fn send(&mut self, address: &str, message: LinkMessage) {
        // Replace a thread that has panicked, or the peer would never receive a message again.
        let is_open = |peer: &Peer| !peer.sending.is_finished();
        if !self.peers.get(address).is_some_and(is_open) {
            self.remove_idle();
            if !self.open(address) {
                return self.metrics.dropped_messages.inc();
            }
        }
        if let Some(peer) = self.peers.get_mut(address) {
            peer.used_at = Instant::now();
            if !peer.queue.push(message) {
                self.metrics.dropped_messages.inc();
            }
        }
    }

    fn open(&mut self, address: &str) -> bool {
        let Ok(target) = address.parse::<SocketAddr>() else {
            log::error!("event=peer_address_invalid address={address}");
            return false;
        };
        let queue = SharedQueue::new(self.queue_length);
        let sending = queue.clone();
        let hello = LinkMessage::MemberHello(self.own.clone());
        let metrics = self.metrics.clone();
        let spawned = thread::Builder::new()
            .name("control-peer".to_owned())
            .stack_size(STACK_BYTES)
            .spawn(move || send_all(target, &hello, &sending, &metrics));
        let Ok(sending) = spawned else {
            return false;
        };
        let peer = Peer {
            queue,
            used_at: Instant::now(),
            sending,
        };
        self.peers.insert(address.to_owned(), peer);
        true
    }

    fn remove_idle(&mut self) {
        self.peers
            .retain(|_, peer| peer.used_at.elapsed() < IDLE_TIMEOUT);
    }
}

impl Drop for Peer {
    /// Ends the sending thread.
    fn drop(&mut self) {
        self.queue.close();
    }
}

/// Body of a sending thread; ends when the queue is closed.
fn send_all(target: SocketAddr, hello: &LinkMessage, queue: &SharedQueue, metrics: &Metrics) {
    let mut watch = ReceiptWatch::default();
    let mut pending = queue.pop();
    while pending.is_some() {
        match connect(target) {
            Ok(stream) => {
                log::info!("event=peer_connected address={target}");
                let mut connection = Connection::new(stream, &mut watch);
                if let Err(error) = connection.send_all(hello, &mut pending, queue, metrics) {
                    log::warn!("event=peer_lost address={target} error=\"{error}\"");
                }
            }
            Err(error) => {
                log::debug!("event=peer_connect_failed address={target} error=\"{error}\"");
                discard_for(queue, RETRY_DELAY);
                pending = None;
            }
        }
        pending = pending.or_else(|| queue.pop());
    }
}

fn connect(target: SocketAddr) -> std::io::Result<TcpStream> {
    let stream = TcpStream::connect_timeout(&target, CONNECT_TIMEOUT)?;
    stream.set_nodelay(true)?;
    stream.set_write_timeout(Some(SEND_TIMEOUT))?;
    SockRef::from(&stream).set_send_buffer_size(SEND_BUFFER_BYTES)?;
    // Heartbeats alone never fill the send buffer of a dead connection, so only this timeout
    // detects it quickly.
    SockRef::from(&stream).set_tcp_user_timeout(Some(SEND_TIMEOUT))?;
    Ok(stream)
}

/// A connection to a member that shows by receipts that it reads.
struct Connection<'a> {
    writer: BufWriter<TcpStream>,
    watch: &'a mut ReceiptWatch,
    checked_at: Option<Instant>,
}

impl<'a> Connection<'a> {
    fn new(stream: TcpStream, watch: &'a mut ReceiptWatch) -> Self {
        watch.record_connected();
        Connection {
            writer: BufWriter::new(stream),
            watch,
            checked_at: None,
        }
    }

    /// Sends the pending message and those of the queue, until it is closed. After a failure,
    /// `pending` is the next message if none of it was sent.
    fn send_all(
        &mut self,
        hello: &LinkMessage,
        pending: &mut Option<LinkMessage>,
        queue: &SharedQueue,
        metrics: &Metrics,
    ) -> Result<(), CodecError> {
        write_frame(&mut self.writer, hello)?;
        while pending.is_some() {
            self.check_receipts()?;
            if let Some(message) = pending.take() {
                self.send(&message, queue, metrics)?;
            }
            if queue.is_empty() {
                self.writer.flush()?;
            }
            *pending = queue.pop();
        }
        Ok(self.writer.flush()?)
    }

    /// Sends a message, in parts if it is large. One that fits no frame is dropped, as it would end
    /// every connection it is sent on.
    fn send(
        &mut self,
        message: &LinkMessage,
        queue: &SharedQueue,
        metrics: &Metrics,
    ) -> Result<(), CodecError> {
        let encoded = encode(message)?;
        if encoded.len() <= WHOLE_MESSAGE_BYTES {
            write_encoded_frame(&mut self.writer, &encoded)?;
            self.watch.record_sent(Instant::now());
            return Ok(());
        }
        if encoded.len() > MAXIMUM_FRAME_BYTES {
            if metrics.unsendable_messages.get() == 0 {
                let bytes = encoded.len();
                log::error!(
                    "event=message_too_large bytes={bytes} limit={MAXIMUM_FRAME_BYTES} \
                     remedy=\"submit smaller changes\""
                );
            }
            metrics.unsendable_messages.inc();
            return Ok(());
        }
        self.send_parts(&encoded, queue)
    }

    fn send_parts(&mut self, encoded: &[u8], queue: &SharedQueue) -> Result<(), CodecError> {
        let count = encoded.len().div_ceil(PART_BYTES);
        for (number, data) in encoded.chunks(PART_BYTES).enumerate() {
            let part = MessagePart {
                data: data.to_vec().into(),
                is_last: number + 1 == count,
            };
            write_frame(&mut self.writer, &LinkMessage::Part(part))?;
            while let Some(overtaking) = queue.pop_overtaking() {
                write_frame(&mut self.writer, &overtaking)?;
            }
            self.writer.flush()?;
            self.watch.record_sent(Instant::now());
            self.check_receipts()?;
        }
        Ok(())
    }

    /// Fails if the member has closed the connection, or has not read it for too long.
    fn check_receipts(&mut self) -> Result<(), CodecError> {
        let now = Instant::now();
        let is_recent = |at: Instant| now.duration_since(at) < RECEIPT_CHECK_INTERVAL;
        if !self.watch.is_waiting() || self.checked_at.is_some_and(is_recent) {
            return Ok(());
        }
        self.checked_at = Some(now);
        let mut receipts = [0_u8; RECEIPT_CHECK_BYTES];
        match recv(self.writer.get_ref(), &mut receipts, RecvFlags::DONTWAIT) {
            Ok((_, 0)) => return Err(Error::from(ErrorKind::ConnectionReset).into()),
            Ok(_) => self.watch.record_receipt(now),
            Err(Errno::AGAIN | Errno::INTR) => {
                if self.watch.is_silent(now) {
                    return Err(Error::new(ErrorKind::TimedOut, "no receipts").into());
                }
            }
            Err(error) => return Err(Error::from(error).into()),
        }
        Ok(())
    }
}

/// Drops messages for some time, so that nothing stale is sent once the target is reachable.
fn discard_for(queue: &SharedQueue, time: Duration) {
    thread::sleep(time);
    queue.lock().queue.clear();
}
