//! Answers gateways that ask, in one datagram each, whether what they know may be outdated.
//!
//! Its thread reads what the core's thread last published and waits for nothing else: a member whose core, disk or
//! connections are busy answers all the same, and answering takes nothing from elections. It listens at the
//! port of members and routers, on UDP.

use crate::metrics::Metrics;
use millpass_proto::codec::{decode, encode};
use millpass_proto::{FreshnessRequest, FreshnessResponse};
use std::io::ErrorKind;
use std::net::{SocketAddr, UdpSocket};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::Duration;

/// Most bytes of a question; it is one number.
const MAXIMUM_REQUEST_BYTES: usize = 64;
/// Pause after a failure that may last, for example when the system has no memory for datagrams.
const FAILURE_PAUSE: Duration = Duration::from_millis(50);

/// What the core last published, and the socket. Its lock is held alone, never together with another.
pub(crate) struct FreshnessPort {
    socket: UdpSocket,
    address: SocketAddr,
    published: Mutex<Option<FreshnessResponse>>,
    closing: AtomicBool,
    metrics: Arc<Metrics>,
}

impl FreshnessPort {
    /// Takes the socket, which is bound to the port at which the member listens for connections.
    pub(crate) fn new(
        socket: UdpSocket,
        metrics: Arc<Metrics>,
    ) -> std::io::Result<Arc<FreshnessPort>> {
        Ok(Arc::new(FreshnessPort {
            address: socket.local_addr()?,
            socket,
            published: Mutex::default(),
            closing: AtomicBool::new(false),
            metrics,
        }))
    }

    /// Sets the answer. The core's thread does so after each step and before it carries the step's outputs out: no
    /// acknowledgement that rests on an entry leaves before the entry is told of here.
    pub(crate) fn publish(&self, response: FreshnessResponse) {
        *self.lock() = Some(response);
    }

    /// Body of the thread; ends after [`FreshnessPort::close`] and at nothing else: without it, gateways would go by the
    /// leader's answers alone.
    pub(crate) fn serve(&self) {
        let mut bytes = [0; MAXIMUM_REQUEST_BYTES];
        while !self.closing.load(Ordering::Acquire) {
            match self.socket.recv_from(&mut bytes) {
                Ok((length, from)) => self.respond(&bytes[..length], from),
                // What an earlier answer met on its way, or a signal: the next question may be well.
                Err(error) if is_transient(error.kind()) => {}
                Err(error) => {
                    log::error!("event=freshness_port_failed error=\"{error}\"");
                    thread::sleep(FAILURE_PAUSE);
                }
            }
        }
    }

    fn respond(&self, bytes: &[u8], from: SocketAddr) {
        let Ok(request) = decode::<FreshnessRequest>(bytes) else {
            return log::debug!("event=freshness_question_malformed from={from}");
        };
        let Some(published) = self.lock().clone() else {
            return;
        };
        let response = FreshnessResponse {
            round: request.round,
            ..published
        };
        self.metrics.freshness_responses.inc();
        let sent = encode(&response).map(|bytes| self.socket.send_to(&bytes, from));
        if let Ok(Err(error)) = sent {
            log::debug!("event=freshness_answer_failed to={from} error=\"{error}\"");
        }
    }

    /// Ends the thread.
    pub(crate) fn close(&self) {
        self.closing.store(true, Ordering::Release);
        if let Err(error) = self.socket.send_to(&[], self.address) {
            log::warn!("event=freshness_port_not_woken error=\"{error}\"");
        }
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Option<FreshnessResponse>> {
        self.published
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

fn is_transient(kind: ErrorKind) -> bool {
    matches!(
        kind,
        ErrorKind::ConnectionRefused
            | ErrorKind::ConnectionReset
            | ErrorKind::Interrupted
            | ErrorKind::WouldBlock
    )
}
