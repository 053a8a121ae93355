//! The TCP connection to a caller, as hyper reads and writes it.
//!
//! hyper answers a malformed head with a bare status line that tells a caller nothing. Such an
//! answer is the only thing that hyper writes while no request is being answered, so it is withheld
//! here, and [`CallerStream::refuse`] sends one with a reason and a remedy in its place.

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

/// How long what a refused caller still sends is read and thrown away. Closing at once would
/// reset the connection, and the caller might never see the refusal.
const LINGER_TIME: Duration = Duration::from_secs(1);
/// Bytes read at once while lingering.
const LINGER_BUFFER_BYTES: usize = 16 * 1024;

/// A caller's connection; clones are the same connection.
#[derive(Clone)]
pub(crate) struct CallerStream {
    inner: Arc<Inner>,
}

struct Inner {
    stream: Async<TcpStream>,
    /// A request is being answered.
    answering: AtomicBool,
    /// An answer may not be flushed whole yet.
    unflushed: AtomicBool,
    /// Bytes were read that belong to no answered request: a head has begun.
    head_begun: AtomicBool,
    /// hyper's own answer to a malformed head was withheld.
    withheld: AtomicBool,
    /// The request was refused before all of it was read.
    unread: AtomicBool,
}

/// Marks a request as being answered for as long as it lives, which is until hyper has taken the
/// whole answer.
pub(crate) struct Answering {
    stream: CallerStream,
}

impl Drop for Answering {
    fn drop(&mut self) {
        let inner = &self.stream.inner;
        inner.head_begun.store(false, Ordering::Release);
        inner.answering.store(false, Ordering::Release);
    }
}

impl CallerStream {
    pub(crate) fn new(stream: Async<TcpStream>) -> Self {
        let inner = Arc::new(Inner {
            stream,
            answering: AtomicBool::new(false),
            unflushed: AtomicBool::new(false),
            head_begun: AtomicBool::new(false),
            withheld: AtomicBool::new(false),
            unread: AtomicBool::new(false),
        });
        CallerStream { inner }
    }

    /// A head was read whole, and its request is being answered.
    pub(crate) fn answering(&self) -> Answering {
        self.inner.answering.store(true, Ordering::Release);
        self.inner.unflushed.store(true, Ordering::Release);
        let stream = self.clone();
        Answering { stream }
    }

    /// Notes that a request is refused before all of it was read.
    pub(crate) fn note_unread(&self) {
        self.inner.unread.store(true, Ordering::Release);
    }

    /// Whether a head has begun that was not answered.
    pub(crate) fn head_begun(&self) -> bool {
        self.inner.head_begun.load(Ordering::Acquire)
    }

    /// Whether hyper's own answer was withheld, so that the caller got none yet.
    pub(crate) fn is_withheld(&self) -> bool {
        self.inner.withheld.load(Ordering::Acquire)
    }

    /// Sends a refusal after hyper has ended, within [`LINGER_TIME`].
    pub(crate) async fn refuse(&self, refusal: &Response) {
        let bytes = refusal.to_http1_closing();
        let mut stream = &self.inner.stream;
        let sent = async {
            if let Err(error) = stream.write_all(&bytes).await {
                log::debug!("event=refusal_not_sent error=\"{error}\"");
            }
        };
        future::or(sent, sleep(LINGER_TIME)).await;
    }

    /// Closes the sending side, and reads what a refused caller still sends.
    pub(crate) async fn close(&self) {
        let is_refused = self.is_withheld() || self.inner.unread.load(Ordering::Acquire);
        if !is_refused {
            return;
        }
        // The caller may have closed already.
        let _ = self.inner.stream.get_ref().shutdown(Shutdown::Write);
        future::or(self.read_rest(), sleep(LINGER_TIME)).await;
    }

    async fn read_rest(&self) {
        let mut buffer = vec![0; LINGER_BUFFER_BYTES];
        let mut stream = &self.inner.stream;
        while let Ok(length) = stream.read(&mut buffer).await {
            if length == 0 {
                return;
            }
        }
    }

    /// Whether what hyper writes now is its own answer to a malformed head.
    fn withholds(&self) -> bool {
        let inner = &self.inner;
        let is_own =
            !inner.answering.load(Ordering::Acquire) && !inner.unflushed.load(Ordering::Acquire);
        if is_own {
            inner.withheld.store(true, Ordering::Release);
        }
        is_own
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
            self.inner.head_begun.store(true, Ordering::Release);
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
        if self.withholds() {
            return Poll::Ready(Ok(bytes.len()));
        }
        Pin::new(&mut &self.inner.stream).poll_write(context, bytes)
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        if self.withholds() {
            let length = slices.iter().map(|slice| slice.len()).sum();
            return Poll::Ready(Ok(length));
        }
        Pin::new(&mut &self.inner.stream).poll_write_vectored(context, slices)
    }

    fn poll_flush(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        ready!(Pin::new(&mut &self.inner.stream).poll_flush(context))?;
        if !self.inner.answering.load(Ordering::Acquire) {
            self.inner.unflushed.store(false, Ordering::Release);
        }
        Poll::Ready(Ok(()))
    }

    fn poll_close(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.is_withheld() {
            // A refusal is still to be sent.
            return Poll::Ready(Ok(()));
        }
        Pin::new(&mut &self.inner.stream).poll_close(context)
    }
}
