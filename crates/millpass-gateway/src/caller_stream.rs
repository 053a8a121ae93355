//! Connection of a caller, which can be made to end with a reset.
//!
//! A response to a caller of HTTP/1.0 ends with its connection. Only a reset shows such a caller
//! that it broke off.

use crate::relay::RelayBody;
use async_io::Async;
use futures_lite::io::{AsyncRead, AsyncWrite};
use http_body_util::BodyExt;
use socket2::SockRef;
use std::io;
use std::net::TcpStream;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::task::{Context, Poll};
use std::time::Duration;

/// Makes a connection end with a reset.
#[derive(Clone, Debug, Default)]
pub(crate) struct ConnectionReset(Arc<AtomicBool>);

impl ConnectionReset {
    /// Returns a body that resets the connection if it fails.
    pub(crate) fn when_failed(self, body: RelayBody) -> RelayBody {
        let fail = move |error| {
            self.0.store(true, Ordering::Release);
            error
        };
        body.map_err(fail).boxed_unsync()
    }

    fn is_requested(&self) -> bool {
        self.0.load(Ordering::Acquire)
    }
}

/// Connection of a caller.
pub(crate) struct CallerStream {
    stream: Async<TcpStream>,
    reset: ConnectionReset,
}

impl CallerStream {
    pub(crate) fn new(stream: Async<TcpStream>, reset: ConnectionReset) -> Self {
        CallerStream { stream, reset }
    }
}

impl Drop for CallerStream {
    fn drop(&mut self) {
        if !self.reset.is_requested() {
            return;
        }
        // Closing with a linger time of zero resets the connection.
        let linger = SockRef::from(self.stream.get_ref()).set_linger(Some(Duration::ZERO));
        if let Err(error) = linger {
            log::warn!("event=caller_reset_failed error=\"{error}\"");
        }
    }
}

impl AsyncRead for CallerStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_read(context, buffer)
    }
}

impl AsyncWrite for CallerStream {
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
