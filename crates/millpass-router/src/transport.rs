//! TCP connections for `ureq` that are aware of the attempt that uses them.
//!
//! `ureq` handles pooling and HTTP. This connector sends all writes through
//! [`write_for_current_attempt`], so that an attempt is checked immediately before its first byte
//! and "not sent" is reliable.

use crate::attempt::{SharedStream, write_for_current_attempt};
use std::io::{self, Read};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::time::Duration;
use ureq::Error;
use ureq::unversioned::transport::{
    Buffers, ConnectionDetails, Connector, LazyBuffers, NextTimeout, Transport,
};

/// Connects to the first resolved address; backends are addressed by IP.
#[derive(Debug)]
pub(crate) struct AttemptConnector;

impl Connector for AttemptConnector {
    type Out = AttemptTransport;

    fn connect(
        &self,
        details: &ConnectionDetails,
        _chained: Option<()>,
    ) -> Result<Option<AttemptTransport>, Error> {
        let address = details.addrs.iter().next().ok_or(Error::HostNotFound)?;
        let stream = connect(*address, details.timeout)?;
        stream.set_nodelay(true)?;
        let config = details.config;
        let buffers = LazyBuffers::new(config.input_buffer_size(), config.output_buffer_size());
        Ok(Some(AttemptTransport {
            stream: Arc::new(SharedStream::new(stream)),
            buffers,
            read_timeout: None,
            write_timeout: None,
        }))
    }
}

fn connect(address: SocketAddr, timeout: NextTimeout) -> Result<TcpStream, Error> {
    let connected = match timeout.not_zero() {
        Some(limit) => TcpStream::connect_timeout(&address, *limit),
        None => TcpStream::connect(address),
    };
    connected.map_err(|error| timed_out_or(error, timeout))
}

pub(crate) struct AttemptTransport {
    stream: Arc<SharedStream>,
    buffers: LazyBuffers,
    /// Timeout set on the socket, cached to save system calls.
    read_timeout: Option<Duration>,
    /// Timeout set on the socket, cached to save system calls.
    write_timeout: Option<Duration>,
}

impl std::fmt::Debug for AttemptTransport {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(formatter, "AttemptTransport({:?})", self.stream.stream)
    }
}

impl Transport for AttemptTransport {
    fn buffers(&mut self) -> &mut dyn Buffers {
        &mut self.buffers
    }

    fn transmit_output(&mut self, amount: usize, timeout: NextTimeout) -> Result<(), Error> {
        let timeout = timeout.for_write();
        let limit = timeout.not_zero().map(|limit| *limit);
        if limit != self.write_timeout {
            self.stream.stream.set_write_timeout(limit)?;
            self.write_timeout = limit;
        }
        let output = &self.buffers.output()[..amount];
        let written = write_for_current_attempt(&self.stream, output);
        written.map_err(|error| timed_out_or(error, timeout))
    }

    fn await_input(&mut self, timeout: NextTimeout) -> Result<bool, Error> {
        let timeout = timeout.for_read();
        let limit = timeout.not_zero().map(|limit| *limit);
        if limit != self.read_timeout {
            self.stream.stream.set_read_timeout(limit)?;
            self.read_timeout = limit;
        }
        let amount = self
            .read_some()
            .map_err(|error| timed_out_or(error, timeout))?;
        self.buffers.input_appended(amount);
        Ok(amount > 0)
    }

    fn is_open(&mut self) -> bool {
        is_idle(&self.stream.stream).unwrap_or(false)
    }
}

impl AttemptTransport {
    fn read_some(&mut self) -> io::Result<usize> {
        let input = self.buffers.input_append_buf();
        loop {
            match (&self.stream.stream).read(input) {
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                result => return result,
            }
        }
    }
}

fn timed_out_or(error: io::Error, timeout: NextTimeout) -> Error {
    match error.kind() {
        io::ErrorKind::TimedOut | io::ErrorKind::WouldBlock => Error::Timeout(timeout.reason),
        _ => Error::Io(error),
    }
}

/// Returns true if the connection is open without pending input, as expected between requests.
fn is_idle(stream: &TcpStream) -> io::Result<bool> {
    stream.set_nonblocking(true)?;
    let peeked = stream.peek(&mut [0]);
    stream.set_nonblocking(false)?;
    Ok(matches!(peeked, Err(error) if error.kind() == io::ErrorKind::WouldBlock))
}
