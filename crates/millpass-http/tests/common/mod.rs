//! Test helpers that start a server and send requests over a plain socket.
#![allow(dead_code, reason = "each test file uses some of the helpers")]

use millpass_http::{Handler, Server, ServerHandle, ServerSettings};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

/// Limit of waits in tests.
pub const TEST_TIMEOUT: Duration = Duration::from_secs(10);

/// Starts a server on a free port.
pub fn start(settings: ServerSettings, handler: impl Handler) -> ServerHandle {
    let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
    let server = Server::bind(any_port, settings).expect("a free port");
    server.serve(Arc::new(handler))
}

/// A connection to the server.
pub struct Caller {
    pub reader: BufReader<TcpStream>,
}

/// A response as received.
pub struct ReceivedResponse {
    pub status: u16,
    pub head: String,
    pub body: String,
}

impl Caller {
    pub fn connect(address: SocketAddr) -> Caller {
        let stream = TcpStream::connect(address).expect("the server accepts");
        stream
            .set_read_timeout(Some(TEST_TIMEOUT))
            .expect("timeout");
        Caller {
            reader: BufReader::new(stream),
        }
    }

    pub fn send(&mut self, text: &str) {
        let sent = self.reader.get_mut().write_all(text.as_bytes());
        sent.expect("the server takes bytes");
    }

    pub fn get(&mut self, path: &str) {
        self.send(&format!("GET {path} HTTP/1.1\r\nHost: test\r\n\r\n"));
    }

    pub fn post(&mut self, path: &str, body: &str) {
        let length = body.len();
        self.send(&format!(
            "POST {path} HTTP/1.1\r\nHost: test\r\nContent-Length: {length}\r\n\r\n{body}"
        ));
    }

    /// Reads status line and headers.
    pub fn read_head(&mut self) -> String {
        let mut head = String::new();
        while !head.ends_with("\r\n\r\n") {
            let read = self.reader.read_line(&mut head).expect("a head");
            assert!(read > 0, "connection closed in the head: {head:?}");
        }
        head
    }

    /// Reads a complete response with `content-length`.
    pub fn read_response(&mut self) -> ReceivedResponse {
        let head = self.read_head();
        let length = header(&head, "content-length").map_or(0, |value| value.parse().unwrap());
        let mut body = vec![0; length];
        self.reader.read_exact(&mut body).expect("the body");
        ReceivedResponse {
            status: status(&head),
            body: String::from_utf8(body).expect("text"),
            head,
        }
    }

    /// Reads one chunk of a chunked body; `None` after the last one.
    pub fn read_chunk(&mut self) -> std::io::Result<Option<String>> {
        let mut line = String::new();
        if self.reader.read_line(&mut line)? == 0 {
            return Err(std::io::ErrorKind::UnexpectedEof.into());
        }
        let length = usize::from_str_radix(line.trim(), 16).expect("a chunk length");
        let mut data = vec![0; length + 2];
        self.reader.read_exact(&mut data)?;
        data.truncate(length);
        let text = String::from_utf8(data).expect("text");
        Ok(Some(text).filter(|text| !text.is_empty()))
    }

    /// Returns whether the server closes the connection without sending another byte.
    pub fn is_closed(&mut self) -> bool {
        let mut byte = [0];
        match self.reader.read(&mut byte) {
            Ok(0) => true,
            Ok(_) => false,
            Err(error) => error.kind() == std::io::ErrorKind::ConnectionReset,
        }
    }
}

/// Returns the status code of a response head.
pub fn status(head: &str) -> u16 {
    head.split(' ').nth(1).expect("a status").parse().unwrap()
}

/// Returns the value of a header.
pub fn header(head: &str, name: &str) -> Option<String> {
    let mut lines = head.lines().skip(1);
    lines.find_map(|line| {
        let (key, value) = line.split_once(':')?;
        key.eq_ignore_ascii_case(name)
            .then(|| value.trim().to_owned())
    })
}

/// Waits until a condition holds.
pub fn wait_until(what: &str, condition: impl Fn() -> bool) {
    let until = Instant::now() + TEST_TIMEOUT;
    while !condition() {
        assert!(Instant::now() < until, "timed out waiting: {what}");
        thread::sleep(Duration::from_millis(1));
    }
}
