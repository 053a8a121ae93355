//! Connection to an instance, with bounds on the bytes that bring no answer.
//!
//! A faulty instance may send bytes without end: in a head, in interim heads, or in the framing of a
//! body. None of them reaches the reader of the response, whose own bounds do not see them.

use async_io::{Async, Timer};
use event_listener::Event;
use futures_lite::io::{AsyncRead, AsyncWrite};
use std::io;
use std::net::TcpStream;
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

/// Maximum bytes until the head of a response is complete, including interim heads and what follows
/// the head in the same read.
const MAXIMUM_HEAD_BYTES: usize = 192 * 1024;
/// Maximum time from the first byte of a head to its end.
const HEAD_TIMEOUT: Duration = Duration::from_secs(1);
/// Maximum interim heads before a response.
const MAXIMUM_INTERIM_HEADS: u32 = 8;
/// Maximum bytes without data while a body is waited for. Above the size of an error's body, which is
/// read as a whole.
const MAXIMUM_FRAMING_BYTES: usize = 384 * 1024;
/// Maximum time for which bytes without data may arrive while a body is waited for.
const FRAMING_TIMEOUT: Duration = Duration::from_secs(2);
/// Reads without data after which [`FRAMING_TIMEOUT`] applies: the framing of a chunk takes a few.
const FRAMING_READS: u32 = 16;

/// What the connection is waited for.
#[derive(Debug, Default)]
enum Phase {
    /// No response is being read.
    #[default]
    Idle,
    Head {
        bytes: usize,
        /// First byte of the head in progress.
        began: Option<Instant>,
        interim_heads: u32,
    },
    Body {
        /// Bytes, reads and the time of the first since data arrived or was waited for.
        bytes: usize,
        reads: u32,
        began: Option<Instant>,
    },
}

/// Counts what a connection reads of a response, and fails it beyond the bounds.
#[derive(Debug, Default)]
pub(crate) struct ReadMeter {
    phase: Mutex<Phase>,
    /// Notified with the first byte of a head.
    head_began: Event,
}

impl ReadMeter {
    /// Records that a request is being sent.
    pub(crate) fn begin_head(&self) {
        *self.lock() = Phase::Head {
            bytes: 0,
            began: None,
            interim_heads: 0,
        };
    }

    /// Records that an interim head is complete.
    pub(crate) fn interim_head_received(&self) {
        if let Phase::Head {
            began,
            interim_heads,
            ..
        } = &mut *self.lock()
        {
            *began = None;
            *interim_heads += 1;
        }
    }

    /// Records that the body is waited for, and that all data before was taken.
    pub(crate) fn begin_body(&self) {
        *self.lock() = Phase::Body {
            bytes: 0,
            reads: 0,
            began: None,
        };
    }

    /// Completes if a head has not been received in time after its first byte.
    pub(crate) async fn head_overdue(&self) {
        loop {
            let head_began = self.head_began.listen();
            let began = match &*self.lock() {
                Phase::Head { began, .. } => *began,
                _ => None,
            };
            let Some(began) = began else {
                head_began.await;
                continue;
            };
            Timer::at(began + HEAD_TIMEOUT).await;
            let is_same =
                matches!(&*self.lock(), Phase::Head { began: Some(at), .. } if *at == began);
            if is_same {
                return;
            }
        }
    }

    /// Records a read; fails beyond the bounds.
    fn record(&self, read: usize) -> io::Result<()> {
        let now = Instant::now();
        let mut phase = self.lock();
        let excess = match &mut *phase {
            Phase::Idle => None,
            Phase::Head {
                bytes,
                began,
                interim_heads,
            } => {
                *bytes = bytes.saturating_add(read);
                if began.is_none() {
                    *began = Some(now);
                    self.head_began.notify(1);
                }
                let is_excessive =
                    *bytes > MAXIMUM_HEAD_BYTES || *interim_heads > MAXIMUM_INTERIM_HEADS;
                is_excessive.then_some("the head of the response does not end")
            }
            Phase::Body {
                bytes,
                reads,
                began,
            } => {
                *bytes = bytes.saturating_add(read);
                *reads += 1;
                let lasted = now.saturating_duration_since(*began.get_or_insert(now));
                let drips = *reads > FRAMING_READS && lasted > FRAMING_TIMEOUT;
                let is_excessive = *bytes > MAXIMUM_FRAMING_BYTES || drips;
                is_excessive.then_some("the framing of the body does not end")
            }
        };
        match excess {
            Some(reason) => Err(io::Error::new(io::ErrorKind::InvalidData, reason)),
            None => Ok(()),
        }
    }

    fn lock(&self) -> MutexGuard<'_, Phase> {
        self.phase.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Connection to an instance or another gateway.
pub(crate) struct InstanceStream {
    stream: Async<TcpStream>,
    meter: Arc<ReadMeter>,
}

impl InstanceStream {
    pub(crate) fn new(stream: Async<TcpStream>, meter: Arc<ReadMeter>) -> Self {
        InstanceStream { stream, meter }
    }
}

impl AsyncRead for InstanceStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let read = Pin::new(&mut self.stream).poll_read(context, buffer);
        if let Poll::Ready(Ok(bytes)) = &read
            && *bytes > 0
            && let Err(error) = self.meter.record(*bytes)
        {
            return Poll::Ready(Err(error));
        }
        read
    }
}

impl AsyncWrite for InstanceStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffers: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(context, buffers)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_close(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_close(context)
    }
}
