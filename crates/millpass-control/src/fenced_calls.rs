//! Connections for calls to engines and the platform, which abort when a call's time expires or the
//! leader's term ends.
//!
//! After `close`, a kernel goes on retransmitting the bytes that it has accepted until the peer
//! answers, for minutes if a partition lasts that long. An order written before a partition would
//! so be delivered after its sender stepped down and its successor acted. Three means prevent it:
//!
//! - The sockets have `SO_LINGER` 0: a close, also by the end of the process, discards the bytes
//!   that are not acknowledged and resets the connection.
//! - Each write is preceded by a check of the call's absolute deadline, and sets `TCP_USER_TIMEOUT`
//!   to the time left: the kernel aborts the connection by itself if the peer's kernel has not
//!   acknowledged the bytes by then, also while this process is frozen.
//! - [`Agent::shutdown`] at the end of the term shuts down all connections, so that calls in flight
//!   fail at once.
//!
//! So an order is acknowledged by the peer's kernel before its deadline, or never delivered. Bytes
//! acknowledged by a process in between, such as a proxy, can be revoked only by the reset, at the
//! latest when the call times out.

use millpass_proto::{Duration, Timestamp};
use millpass_telemetry::ProcessClock;
use socket2::SockRef;
use std::cell::Cell;
use std::io::{self, Read, Write};
use std::net::TcpStream;
use std::sync::{Arc, Weak};
use ureq::unversioned::resolver::DefaultResolver;
use ureq::unversioned::transport::{
    Buffers, ConnectionDetails, Connector, LazyBuffers, NextTimeout, Transport,
};
use ureq::{Agent, Error, Timeout};

/// Size of a connection's buffers. Messages are small, and the default of 128 KiB adds up over the
/// pool.
const BUFFER_BYTES: usize = 8 * 1024;

thread_local! {
    /// Deadline for writes of the call that this thread makes. The HTTP client performs a call's
    /// I/O on the calling thread, and passes only relative times to its connections: a time that is
    /// computed before a freeze would still count in full after it.
    static SEND_DEADLINE: Cell<Option<Timestamp>> = const { Cell::new(None) };
}

/// Makes a call on this thread that writes nothing after `deadline`.
pub fn send_before<R>(deadline: Timestamp, call: impl FnOnce() -> R) -> R {
    /// Clears the deadline, also after a panic.
    struct Reset;
    impl Drop for Reset {
        fn drop(&mut self) {
            SEND_DEADLINE.set(None);
        }
    }
    SEND_DEADLINE.set(Some(deadline));
    let _reset = Reset;
    call()
}

/// Creates the HTTP agent for the calls of one term; [`Agent::shutdown`] ends it. A call takes at
/// most `timeout`. `read_error_statuses` returns responses with an error status instead of errors.
pub fn agent(clock: ProcessClock, timeout: Duration, read_error_statuses: bool) -> Agent {
    let config = Agent::config_builder()
        .timeout_global(Some(timeout))
        .http_status_as_error(!read_error_statuses)
        .input_buffer_size(BUFFER_BYTES)
        .output_buffer_size(BUFFER_BYTES)
        // The connector opens direct connections only.
        .proxy(None)
        .build();
    Agent::with_parts(
        config,
        FencedConnector { clock },
        DefaultResolver::default(),
    )
}

#[derive(Debug)]
struct FencedConnector {
    clock: ProcessClock,
}

impl Connector for FencedConnector {
    type Out = FencedTransport;

    fn connect(
        &self,
        details: &ConnectionDetails,
        _: Option<()>,
    ) -> Result<Option<FencedTransport>, Error> {
        let Some(address) = details.addrs.first() else {
            return Err(Error::HostNotFound);
        };
        let stream = match details.timeout.not_zero() {
            Some(timeout) => TcpStream::connect_timeout(address, *timeout),
            None => TcpStream::connect(address),
        };
        let stream = stream.map_err(|error| match error.kind() {
            io::ErrorKind::TimedOut => Error::Timeout(Timeout::Connect),
            _ => Error::Io(error),
        })?;
        stream.set_nodelay(true)?;
        SockRef::from(&stream).set_linger(Some(Duration::ZERO))?;
        let stream = Arc::new(stream);
        let handle: Weak<TcpStream> = Arc::downgrade(&stream);
        // Fails if the term has ended while the connection was opened.
        (details.register_shutdown)(handle)?;
        let config = details.config;
        Ok(Some(FencedTransport {
            stream,
            buffers: LazyBuffers::new(config.input_buffer_size(), config.output_buffer_size()),
            clock: self.clock,
        }))
    }
}

/// A connection that writes nothing after the deadline of its call, and leaves nothing to
/// retransmit when it is dropped.
#[derive(Debug)]
struct FencedTransport {
    /// Shared with the agent, which shuts it down at the end of the term.
    stream: Arc<TcpStream>,
    buffers: LazyBuffers,
    clock: ProcessClock,
}

impl FencedTransport {
    /// Returns whether the peer has neither closed the idle connection nor sent anything on it.
    fn is_idle(&self) -> io::Result<bool> {
        self.stream.set_nonblocking(true)?;
        let peeked = self.stream.peek(&mut [0]);
        self.stream.set_nonblocking(false)?;
        Ok(peeked.is_err_and(|error| error.kind() == io::ErrorKind::WouldBlock))
    }

    /// Returns the time left to the call's deadline, and lets the kernel abort the connection at the
    /// deadline if the bytes written next are not acknowledged by then. Fails after the deadline.
    fn limit_transmission(&self) -> Result<Option<Duration>, Error> {
        let Some(deadline) = SEND_DEADLINE.get() else {
            return Ok(None);
        };
        let left = self.clock.left_until(deadline);
        // Zero milliseconds would select the system's default timeout.
        if left < Duration::from_millis(1) {
            return Err(Error::Timeout(Timeout::SendRequest));
        }
        SockRef::from(&*self.stream).set_tcp_user_timeout(Some(left))?;
        Ok(Some(left))
    }
}

impl Transport for FencedTransport {
    fn buffers(&mut self) -> &mut dyn Buffers {
        &mut self.buffers
    }

    fn transmit_output(&mut self, amount: usize, timeout: NextTimeout) -> Result<(), Error> {
        let timeout = timeout.for_write();
        let time_left = time_left(timeout)?;
        let mut written = 0;
        while written < amount {
            let limit = self.limit_transmission()?;
            let limit = time_left.into_iter().chain(limit).min();
            self.stream.set_write_timeout(limit)?;
            let output = &self.buffers.output()[written..amount];
            match (&*self.stream).write(output) {
                Ok(0) => return Err(Error::Io(io::ErrorKind::WriteZero.into())),
                Ok(length) => written += length,
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(error) => return Err(timed_out(error, timeout.reason)),
            }
        }
        Ok(())
    }

    fn await_input(&mut self, timeout: NextTimeout) -> Result<bool, Error> {
        let timeout = timeout.for_read();
        self.stream.set_read_timeout(time_left(timeout)?)?;
        let input = self.buffers.input_append_buf();
        let amount = loop {
            match (&*self.stream).read(input) {
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                read => break read.map_err(|error| timed_out(error, timeout.reason))?,
            }
        };
        self.buffers.input_appended(amount);
        Ok(amount > 0)
    }

    fn is_open(&mut self) -> bool {
        self.is_idle().unwrap_or(false)
    }
}

/// Returns the time left; `None` if it is unlimited.
fn time_left(timeout: NextTimeout) -> Result<Option<Duration>, Error> {
    if timeout.after.is_zero() {
        return Err(Error::Timeout(timeout.reason));
    }
    Ok(timeout.not_zero().map(|time| *time))
}

fn timed_out(error: io::Error, reason: Timeout) -> Error {
    match error.kind() {
        io::ErrorKind::TimedOut | io::ErrorKind::WouldBlock => Error::Timeout(reason),
        _ => Error::Io(error),
    }
}
