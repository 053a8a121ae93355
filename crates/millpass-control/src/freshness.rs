//! Responds to gateways' freshness queries, one UDP datagram each, on the port of members and routers.
//!
//! The thread only reads the state that the core last published, so a member responds even while its core, disk or
//! connections are busy.

use crate::metrics::Metrics;
use millpass_proto::codec::{decode, encode};
use millpass_proto::{FreshnessRequest, FreshnessResponse};
use std::io::ErrorKind;
use std::net::{SocketAddr, UdpSocket};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::Duration;

/// Maximum size of a query.
const MAXIMUM_REQUEST_BYTES: usize = 64;
/// Delay after a persistent failure, for example a lack of memory for datagrams.
const FAILURE_PAUSE: Duration = Duration::from_millis(50);

/// The socket and the last published state. Its lock is never held together with another.
pub(crate) struct FreshnessPort {
    socket: UdpSocket,
    address: SocketAddr,
    published: Mutex<Option<FreshnessResponse>>,
    closing: AtomicBool,
    metrics: Arc<Metrics>,
}

impl FreshnessPort {
    /// Wraps a socket that is bound to the port at which the member listens for connections.
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

    /// Publishes the response. The core's thread does so after each step and before it executes the step's outputs, so
    /// that no acknowledgement is sent before the entry that it depends on is published.
    pub(crate) fn publish(&self, response: FreshnessResponse) {
        *self.lock() = Some(response);
    }

    /// Body of the thread; returns only after [`FreshnessPort::close`].
    pub(crate) fn serve(&self) {
        let mut bytes = [0; MAXIMUM_REQUEST_BYTES];
        while !self.closing.load(Ordering::Acquire) {
            match self.socket.recv_from(&mut bytes) {
                Ok((length, from)) => self.respond(&bytes[..length], from),
                // An error caused by an earlier response, or a signal.
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
