//! The TCP connection to a caller, as hyper reads and writes it.
//!
//! hyper responds to a malformed head with a bare status line. That response is the only thing
//! hyper writes outside a request, so it is suppressed here, and [`CallerStream::refuse`] sends an
//! explanatory one instead.

use crate::interface::Response;
use async_io::{Async, Timer};
use futures_lite::future;
use futures_lite::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use std::io::{self, IoSlice};
use std::net::{Shutdown, TcpStream};
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::task::{Context, Poll, ready};
use std::time::Duration;

/// How long input is read and discarded after a refusal. Closing earlier could reset the
/// connection before the caller has read the response.
const LINGER_TIMEOUT: Duration = Duration::from_secs(1);
const LINGER_BUFFER_BYTES: usize = 16 * 1024;

/// Handle to a caller's connection; clones share it.
#[derive(Clone)]
pub(crate) struct CallerStream {
    inner: Arc<Inner>,
}

struct Inner {
    stream: Async<TcpStream>,
    /// A request has been read and its response is not yet complete.
    responding: AtomicBool,
    /// A response may not be flushed completely.
    unflushed: AtomicBool,
    /// Part of a request head has been received.
    head_started: AtomicBool,
    /// hyper's response to a malformed head was suppressed.
    suppressed: AtomicBool,
    /// The request was refused before it was read completely.
    unread: AtomicBool,
}

/// Marks the connection as responding until hyper has read the complete response.
pub(crate) struct RespondingGuard {
    stream: CallerStream,
}

impl Drop for RespondingGuard {
    fn drop(&mut self) {
        let inner = &self.stream.inner;
        inner.head_started.store(false, Ordering::Release);
        inner.responding.store(false, Ordering::Release);
    }
}

impl CallerStream {
    pub(crate) fn new(stream: Async<TcpStream>) -> Self {
        let inner = Arc::new(Inner {
            stream,
            responding: AtomicBool::new(false),
            unflushed: AtomicBool::new(false),
            head_started: AtomicBool::new(false),
            suppressed: AtomicBool::new(false),
            unread: AtomicBool::new(false),
        });
        CallerStream { inner }
    }

    /// Marks the connection as responding, once a request head has been read.
    pub(crate) fn start_response(&self) -> RespondingGuard {
        self.inner.responding.store(true, Ordering::Release);
        self.inner.unflushed.store(true, Ordering::Release);
        let stream = self.clone();
        RespondingGuard { stream }
    }

    /// Records that a request was refused before it was read completely.
    pub(crate) fn mark_unread(&self) {
        self.inner.unread.store(true, Ordering::Release);
    }

    /// Returns whether part of a request head has been received without a response.
    pub(crate) fn head_started(&self) -> bool {
        self.inner.head_started.load(Ordering::Acquire)
    }

    /// Returns whether hyper's response was suppressed and the caller has received none.
    pub(crate) fn is_suppressed(&self) -> bool {
        self.inner.suppressed.load(Ordering::Acquire)
    }

    /// Sends a refusal after hyper has released the connection, within [`LINGER_TIMEOUT`].
    pub(crate) async fn refuse(&self, refusal: &Response) {
        let bytes = refusal.to_http1_closing();
        let mut stream = &self.inner.stream;
        let sent = async {
            if let Err(error) = stream.write_all(&bytes).await {
                log::debug!("event=refusal_not_sent error=\"{error}\"");
            }
        };
        future::or(sent, sleep(LINGER_TIMEOUT)).await;
    }

    /// After a refusal, closes the sending side and drains the caller's remaining input.
    pub(crate) async fn close(&self) {
        let is_refused = self.is_suppressed() || self.inner.unread.load(Ordering::Acquire);
        if !is_refused {
            return;
        }
        // The caller may have closed already.
        let _ = self.inner.stream.get_ref().shutdown(Shutdown::Write);
        future::or(self.drain_input(), sleep(LINGER_TIMEOUT)).await;
    }

    async fn drain_input(&self) {
        let mut buffer = vec![0; LINGER_BUFFER_BYTES];
        let mut stream = &self.inner.stream;
        while let Ok(length) = stream.read(&mut buffer).await {
            if length == 0 {
                return;
            }
        }
    }

    /// Returns whether the current write is hyper's response to a malformed head, and records its
    /// suppression.
    fn suppress_write(&self) -> bool {
        let inner = &self.inner;
        let is_hyper_response =
            !inner.responding.load(Ordering::Acquire) && !inner.unflushed.load(Ordering::Acquire);
        if is_hyper_response {
            inner.suppressed.store(true, Ordering::Release);
        }
        is_hyper_response
    }
}

async fn sleep(time: Duration) {
    Timer::after(time).await;
}

impl AsyncRead for CallerStream {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let length = ready!(Pin::new(&mut &self.inner.stream).poll_read(context, buffer))?;
        if length > 0 {
            self.inner.head_started.store(true, Ordering::Release);
        }
        Poll::Ready(Ok(length))
    }
}

impl AsyncWrite for CallerStream {
    fn poll_write(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        if self.suppress_write() {
            return Poll::Ready(Ok(bytes.len()));
        }
        Pin::new(&mut &self.inner.stream).poll_write(context, bytes)
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        if self.suppress_write() {
            let length = slices.iter().map(|slice| slice.len()).sum();
            return Poll::Ready(Ok(length));
        }
        Pin::new(&mut &self.inner.stream).poll_write_vectored(context, slices)
    }

    fn poll_flush(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        ready!(Pin::new(&mut &self.inner.stream).poll_flush(context))?;
        if !self.inner.responding.load(Ordering::Acquire) {
            self.inner.unflushed.store(false, Ordering::Release);
        }
        Poll::Ready(Ok(()))
    }

    fn poll_close(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.is_suppressed() {
            // `refuse` still writes to this connection.
            return Poll::Ready(Ok(()));
        }
        Pin::new(&mut &self.inner.stream).poll_close(context)
    }
}
