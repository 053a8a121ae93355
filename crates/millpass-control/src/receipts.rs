//! Receipts of a connection between members: the receiving member writes a byte back for what it has
//! read.
//!
//! The kernel, or a middlebox, acknowledges bytes that no process will ever read, and a connection
//! that delivers nothing more stays open. Only the other process can tell that it still reads.

use async_io::Async;
use futures_lite::AsyncRead;
use std::io::Write;
use std::net::TcpStream;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

/// A receipt on the wire.
const RECEIPT: u8 = 0;
/// Minimum interval between two receipts.
const RECEIPT_INTERVAL: Duration = Duration::from_millis(200);
/// Time after a receipt from which on sent bytes get another one. Longer than the interval, as the
/// clocks of the two members may run at different rates.
const RECEIPT_DUE: Duration = Duration::from_millis(300);
/// Time without a receipt after which a connection counts as silent.
const SILENCE_LIMIT: Duration = Duration::from_secs(1);
/// Maximum of that time for a member whose new connections stay silent too, as those of a stopped
/// process do.
const MAXIMUM_SILENCE_LIMIT: Duration = Duration::from_secs(8);

/// Judges, on the sending side, whether a member still reads its connections.
#[derive(Debug)]
pub struct ReceiptWatch {
    limit: Duration,
    received_at: Option<Instant>,
    /// When the first bytes were sent that must get a receipt.
    unanswered_since: Option<Instant>,
}

impl Default for ReceiptWatch {
    fn default() -> Self {
        ReceiptWatch {
            limit: SILENCE_LIMIT,
            received_at: None,
            unanswered_since: None,
        }
    }
}

impl ReceiptWatch {
    /// Starts over with a new connection.
    pub fn record_connected(&mut self) {
        self.received_at = None;
        self.unanswered_since = None;
    }

    /// Records sent bytes.
    pub fn record_sent(&mut self, now: Instant) {
        let is_due = |at: Instant| now.saturating_duration_since(at) >= RECEIPT_DUE;
        if self.unanswered_since.is_none() && self.received_at.is_none_or(is_due) {
            self.unanswered_since = Some(now);
        }
    }

    /// Records a receipt.
    pub fn record_receipt(&mut self, now: Instant) {
        self.limit = SILENCE_LIMIT;
        self.received_at = Some(now);
        self.unanswered_since = None;
    }

    /// Returns whether a receipt is outstanding.
    pub fn is_waiting(&self) -> bool {
        self.unanswered_since.is_some()
    }

    /// Returns whether the connection is silent; the next one then gets twice the time.
    pub fn is_silent(&mut self, now: Instant) -> bool {
        let is_over = |since: Instant| now.saturating_duration_since(since) >= self.limit;
        let is_silent = self.unanswered_since.is_some_and(is_over);
        if is_silent {
            self.limit = (self.limit * 2).min(MAXIMUM_SILENCE_LIMIT);
        }
        is_silent
    }
}

/// Reads an inbound connection and, if it is a member's, writes receipts.
pub(crate) struct ReceiptReader {
    stream: Arc<Async<TcpStream>>,
    is_member: bool,
    written_at: Option<Instant>,
}

impl ReceiptReader {
    /// Wraps a connection, which gets no receipts yet.
    pub(crate) fn new(stream: Arc<Async<TcpStream>>) -> Self {
        ReceiptReader {
            stream,
            is_member: false,
            written_at: None,
        }
    }

    /// Returns whether the connection gets receipts.
    pub(crate) fn is_member(&self) -> bool {
        self.is_member
    }

    /// Writes a receipt for what was read so far, and further ones from now on.
    pub(crate) fn start(&mut self) {
        self.is_member = true;
        self.write();
    }

    fn write(&mut self) {
        let now = Instant::now();
        let is_recent = |at: Instant| now.duration_since(at) < RECEIPT_INTERVAL;
        if !self.is_member || self.written_at.is_some_and(is_recent) {
            return;
        }
        // Never blocks: a member that takes no receipts fills the buffer, and a broken connection
        // fails the next read.
        let mut stream = self.stream.get_ref();
        if stream.write(&[RECEIPT]).is_ok() {
            self.written_at = Some(now);
        }
    }
}

impl AsyncRead for ReceiptReader {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<std::io::Result<usize>> {
        let read = Pin::new(&mut &*self.stream).poll_read(context, buffer);
        if let Poll::Ready(Ok(1..)) = read {
            self.write();
        }
        read
    }
}
