//! Connection of a caller: it keeps the limits of request heads and can be made to end with a reset.
//!
//! A response to a caller of HTTP/1.0 ends with its connection. Only a reset shows such a caller
//! that it broke off.

use crate::caller_limits::CallerLimits;
use crate::head_progress::{HeadExcess, HeadProgress};
use crate::relay::RelayBody;
use crate::shared::Shared;
use async_io::{Async, Timer};
use bytes::Bytes;
use futures_lite::future;
use futures_lite::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use http_body_util::BodyExt;
use hyper::body::{Body, Frame, SizeHint};
use socket2::SockRef;
use std::io;
use std::net::{Shutdown, TcpStream};
use std::pin::Pin;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll, Waker, ready};
use std::time::{Duration, Instant};

/// How long a refusal may take, and how long input is discarded after it: an earlier close could
/// reset the connection before the caller has read the refusal.
const LINGER_TIMEOUT: Duration = Duration::from_secs(1);
const LINGER_BUFFER_BYTES: usize = 16 * 1024;
const TOO_LARGE: &str = "HTTP/1.1 431 Request Header Fields Too Large";
const OVERDUE: &str = "HTTP/1.1 408 Request Timeout";

struct Inner {
    stream: Async<TcpStream>,
    shared: Arc<Shared>,
    progress: Mutex<HeadProgress>,
    /// Wakes the connection to read the next request after the response in progress.
    next_request: Mutex<Option<Waker>>,
    excess: Mutex<Option<HeadExcess>>,
    resets: AtomicBool,
}

impl Inner {
    fn limits(&self) -> &CallerLimits {
        &self.shared.caller_limits
    }

    fn progress(&self) -> MutexGuard<'_, HeadProgress> {
        self.progress.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn next_request(&self) -> MutexGuard<'_, Option<Waker>> {
        self.next_request
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    fn excess(&self) -> MutexGuard<'_, Option<HeadExcess>> {
        self.excess.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn fail_on(&self, excess: Option<HeadExcess>) -> io::Result<()> {
        let Some(excess) = excess else {
            return Ok(());
        };
        *self.excess() = Some(excess);
        let reason = format!("request head: {excess:?}");
        Err(io::Error::new(io::ErrorKind::TimedOut, reason))
    }
}

impl Drop for Inner {
    fn drop(&mut self) {
        if !self.resets.load(Ordering::Acquire) {
            return;
        }
        // Closing with a linger time of zero resets the connection.
        let linger = SockRef::from(self.stream.get_ref()).set_linger(Some(Duration::ZERO));
        if let Err(error) = linger {
            log::warn!("event=caller_reset_failed error=\"{error}\"");
        }
    }
}

/// Handle to a caller's connection; clones share it.
#[derive(Clone)]
pub(crate) struct CallerConnection(Arc<Inner>);

impl CallerConnection {
    pub(crate) fn new(stream: Async<TcpStream>, shared: Arc<Shared>) -> Self {
        CallerConnection(Arc::new(Inner {
            stream,
            shared,
            progress: Mutex::new(HeadProgress::new(Instant::now())),
            next_request: Mutex::default(),
            excess: Mutex::default(),
            resets: AtomicBool::new(false),
        }))
    }

    /// Returns what hyper reads from and writes to. It fails at a head with more header lines than
    /// usual.
    pub(crate) fn stream(&self) -> CallerStream {
        CallerStream {
            inner: self.0.clone(),
            timer: None,
            unread: Bytes::new(),
            allows_many_lines: false,
        }
    }

    /// Records that a request head is complete.
    pub(crate) fn begin_response(&self) -> ResponseGuard {
        self.0.progress().begin_response();
        ResponseGuard(self.clone())
    }

    /// Records that the request in progress is complete.
    pub(crate) fn request_received(&self) {
        self.0.progress().request_received();
    }

    /// Returns a body that resets the connection if it fails.
    pub(crate) fn reset_when_failed(&self, body: RelayBody) -> RelayBody {
        let connection = self.clone();
        let fail = move |error| {
            connection.0.resets.store(true, Ordering::Release);
            error
        };
        body.map_err(fail).boxed_unsync()
    }

    /// Refuses a request whose head exceeded a limit, after hyper has released the connection.
    pub(crate) async fn refuse_excess(&self) {
        let excess = *self.0.excess();
        let limits = self.0.limits();
        let (status, reason) = match excess {
            Some(HeadExcess::TooLarge) => {
                let limit = limits.header_bytes();
                (TOO_LARGE, format!("send at most {limit} bytes of headers"))
            }
            Some(HeadExcess::Overdue) => {
                let limit = limits.header_timeout().as_millis();
                (OVERDUE, format!("send the request head within {limit} ms"))
            }
            Some(HeadExcess::Idle) | None => return,
        };
        log::debug!("event=request_head_refused reason={excess:?}");
        let length = reason.len() + 1;
        let refusal =
            format!("{status}\r\nconnection: close\r\ncontent-length: {length}\r\n\r\n{reason}\n");
        future::or(self.send_last(refusal.as_bytes()), async {
            Timer::after(LINGER_TIMEOUT).await;
        })
        .await;
    }

    /// Sends the last bytes of the connection and discards what the caller still sends.
    async fn send_last(&self, bytes: &[u8]) {
        let mut stream = &self.0.stream;
        if stream.write_all(bytes).await.is_err() {
            return;
        }
        let _ = self.0.stream.get_ref().shutdown(Shutdown::Write);
        let mut discarded = vec![0; LINGER_BUFFER_BYTES];
        while stream.read(&mut discarded).await.is_ok_and(|read| read > 0) {}
    }
}

/// Marks a connection as responding until it is dropped.
pub(crate) struct ResponseGuard(CallerConnection);

impl ResponseGuard {
    /// Returns a body that holds the guard.
    pub(crate) fn hold_with(self, body: RelayBody) -> GuardedBody {
        GuardedBody { body, _guard: self }
    }
}

impl Drop for ResponseGuard {
    fn drop(&mut self) {
        let connection = &self.0.0;
        connection.progress().end_response(Instant::now());
        let waker = connection.next_request().take();
        if let Some(waker) = waker {
            waker.wake();
        }
    }
}

/// Body of a response that marks its connection as responding.
pub(crate) struct GuardedBody {
    body: RelayBody,
    _guard: ResponseGuard,
}

impl Body for GuardedBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<io::Result<Frame<Bytes>>>> {
        Pin::new(&mut self.body).poll_frame(context)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

/// Connection of a caller, as hyper uses it.
pub(crate) struct CallerStream {
    inner: Arc<Inner>,
    timer: Option<(Instant, Timer)>,
    /// Received bytes that hyper has not been given yet.
    unread: Bytes,
    allows_many_lines: bool,
}

impl CallerStream {
    /// Returns a stream that goes on after `received` if this one has failed at a head with more
    /// header lines than usual; none if it has not. hyper is then set up for them.
    pub(crate) fn with_many_lines(self, received: &[u8]) -> Option<CallerStream> {
        if self.unread.is_empty() || self.allows_many_lines {
            return None;
        }
        Some(CallerStream {
            unread: [received, &self.unread].concat().into(),
            allows_many_lines: true,
            ..self
        })
    }

    /// Gives hyper bytes that were received before.
    fn take_unread(&mut self, buffer: &mut [u8]) -> usize {
        let length = self.unread.len().min(buffer.len());
        buffer[..length].copy_from_slice(&self.unread.split_to(length));
        length
    }

    /// Fails if the next bytes are overdue. Bytes that have arrived are read, however late.
    fn check_time(&self) -> io::Result<()> {
        let overdue = self
            .inner
            .progress()
            .overdue(Instant::now(), self.inner.limits());
        self.inner.fail_on(overdue)
    }

    /// Waits for the end of the connection without reading the next request, whose head is held to the
    /// limits only after the response in progress.
    fn poll_end(&self, context: &mut Context<'_>) -> Poll<io::Result<usize>> {
        let stream = &self.inner.stream;
        loop {
            match stream.get_ref().peek(&mut [0]) {
                Ok(0) => return Poll::Ready(Ok(0)),
                Ok(_) => {
                    *self.inner.next_request() = Some(context.waker().clone());
                    return Poll::Pending;
                }
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {
                    ready!(stream.poll_readable(context))?;
                }
                Err(error) => return Poll::Ready(Err(error)),
            }
        }
    }

    /// Completes when the connection must be checked again.
    fn poll_deadline(&mut self, context: &mut Context<'_>) -> Poll<()> {
        let Some(deadline) = self.inner.progress().deadline(self.inner.limits()) else {
            self.timer = None;
            return Poll::Pending;
        };
        let timer = match &mut self.timer {
            Some((at, timer)) => {
                if *at != deadline {
                    timer.set_at(deadline);
                    *at = deadline;
                }
                timer
            }
            None => &mut self.timer.insert((deadline, Timer::at(deadline))).1,
        };
        Pin::new(timer).poll(context).map(drop)
    }
}

impl AsyncRead for CallerStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        if self.allows_many_lines && !self.unread.is_empty() {
            return Poll::Ready(Ok(self.take_unread(buffer)));
        }
        if self.inner.progress().must_next_wait() {
            return self.poll_end(context);
        }
        let readable = self.inner.progress().readable_bytes(self.inner.limits());
        if readable == 0 {
            self.inner.fail_on(Some(HeadExcess::TooLarge))?;
        }
        let length = buffer.len().min(readable);
        let buffer = &mut buffer[..length];
        loop {
            let read = Pin::new(&mut &self.inner.stream).poll_read(context, buffer);
            match &read {
                Poll::Ready(Ok(bytes)) if *bytes > 0 => {
                    let received = &buffer[..*bytes];
                    self.inner.progress().record_read(Instant::now(), received);
                    if !self.allows_many_lines && self.inner.progress().has_many_lines() {
                        self.unread = Bytes::copy_from_slice(received);
                        let error = io::Error::other("more header lines than usual");
                        return Poll::Ready(Err(error));
                    }
                    return read;
                }
                Poll::Ready(_) => return read,
                Poll::Pending => self.check_time()?,
            }
            if self.poll_deadline(context).is_pending() {
                return Poll::Pending;
            }
            self.timer = None;
        }
    }
}

impl AsyncWrite for CallerStream {
    fn poll_write(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut &self.inner.stream).poll_write(context, bytes)
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffers: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut &self.inner.stream).poll_write_vectored(context, buffers)
    }

    fn poll_flush(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut &self.inner.stream).poll_flush(context)
    }

    fn poll_close(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.inner.excess().is_some() {
            // The refusal is still to be written.
            return Poll::Ready(Ok(()));
        }
        Pin::new(&mut &self.inner.stream).poll_close(context)
    }
}
