//! Connections to other members: one thread and one bounded queue for each address.
//!
//! What does not fit the queue, or is on its way when a connection breaks, is dropped: consensus
//! sends again.

use crate::metrics::Metrics;
use crate::peer_queue::PeerQueue;
use millpass_proto::codec::{CodecError, write_frame};
use millpass_proto::{LinkMessage, MemberAddress};
use socket2::SockRef;
use std::collections::BTreeMap;
use std::io::{BufWriter, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

/// Longest wait for a connection. A machine without power answers nothing; a voter that comes up while one hangs is
/// spoken to only afterwards, so it is below the election timeout.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Longest wait for room in a connection, and for bytes to be acknowledged.
const TIMEOUT: Duration = Duration::from_millis(1_000);
/// Pause after a connection could not be made; messages of that time are dropped.
const PAUSE: Duration = Duration::from_millis(100);
/// An address that nothing was sent to for so long is forgotten.
const IDLE: Duration = Duration::from_secs(60);
/// Stack of a sending thread, in bytes.
const STACK_BYTES: usize = 256 * 1024;

/// The queue between the core's thread and the one that sends.
struct SharedQueue {
    state: Mutex<QueueState>,
    filled: Condvar,
}

struct QueueState {
    queue: PeerQueue,
    /// Nobody adds to it any more.
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

    /// Adds a message; false if it is dropped.
    fn push(&self, message: LinkMessage) -> bool {
        let is_added = self.lock().queue.push(message);
        self.filled.notify_one();
        is_added
    }

    /// Waits for the next message; none once the queue is closed and empty.
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

/// Sends to members by address. Owned by the core's thread; dropping it ends the connections.
pub(crate) struct Peers {
    peers: BTreeMap<String, Peer>,
    own: MemberAddress,
    queue_length: usize,
    metrics: Arc<Metrics>,
}

impl Peers {
    /// `own` introduces this member on each connection; `queue_length` bounds what waits for one
    /// member.
    pub(crate) fn new(own: MemberAddress, queue_length: usize, metrics: Arc<Metrics>) -> Self {
        Peers {
            peers: BTreeMap::new(),
            own,
            queue_length,
            metrics,
        }
    }

    /// Sends, or drops the message. Never waits.
    pub(crate) fn send(&mut self, address: &str, message: LinkMessage) {
        // A thread that has ended, which only a panic does, would leave this member silent towards the other for good.
        let is_open = |peer: &Peer| !peer.sending.is_finished();
        if !self.peers.get(address).is_some_and(is_open) {
            self.forget_idle();
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
        let greeting = LinkMessage::MemberHello(self.own.clone());
        let spawned = thread::Builder::new()
            .name("control-peer".to_owned())
            .stack_size(STACK_BYTES)
            .spawn(move || send_all(target, &greeting, &sending));
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

    fn forget_idle(&mut self) {
        self.peers.retain(|_, peer| peer.used_at.elapsed() < IDLE);
    }
}

impl Drop for Peer {
    /// Ends the sending thread.
    fn drop(&mut self) {
        self.queue.close();
    }
}

/// Body of a sending thread; ends when the queue is closed.
fn send_all(target: SocketAddr, greeting: &LinkMessage, queue: &SharedQueue) {
    while let Some(first) = queue.pop() {
        match connect(target) {
            Ok(stream) => {
                log::info!("event=peer_connected address={target}");
                if let Err(error) = send_over(stream, greeting, first, queue) {
                    log::warn!("event=peer_lost address={target} error=\"{error}\"");
                }
            }
            Err(error) => {
                log::debug!("event=peer_connect_failed address={target} error=\"{error}\"");
                drop_for(queue, PAUSE);
            }
        }
    }
}

fn connect(target: SocketAddr) -> std::io::Result<TcpStream> {
    let stream = TcpStream::connect_timeout(&target, CONNECT_TIMEOUT)?;
    stream.set_nodelay(true)?;
    stream.set_write_timeout(Some(TIMEOUT))?;
    // Heartbeats alone never fill the buffer of a connection that has gone silent: without this, a leader would
    // speak into it for a quarter of an hour.
    SockRef::from(&stream).set_tcp_user_timeout(Some(TIMEOUT))?;
    Ok(stream)
}

fn send_over(
    stream: TcpStream,
    greeting: &LinkMessage,
    first: LinkMessage,
    queue: &SharedQueue,
) -> Result<(), CodecError> {
    let mut writer = BufWriter::new(stream);
    write_frame(&mut writer, greeting)?;
    let mut next = Some(first);
    while let Some(message) = next {
        write_frame(&mut writer, &message)?;
        if queue.is_empty() {
            writer.flush()?;
        }
        next = queue.pop();
    }
    Ok(writer.flush()?)
}

/// Drops what comes for some time, so that nothing outdated is sent once the target is back.
fn drop_for(queue: &SharedQueue, time: Duration) {
    thread::sleep(time);
    queue.lock().queue.clear();
}
