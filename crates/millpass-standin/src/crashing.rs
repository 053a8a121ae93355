//! A server that simulates process crashes: its connections are reset and its port refuses new ones.
//! The port stays reserved so that the server can restart at the same address.

use socket2::{Domain, SockRef, Socket, Type};
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

const BACKLOG: i32 = 128;
const RESTART_POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Interval at which a request in progress is checked for a closed connection.
const CLOSED_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// A received request.
#[derive(Clone, Debug, Default)]
pub struct RawRequest {
    /// Path, including the query.
    pub path: String,
    /// Headers, with lower-case names.
    pub headers: Vec<(String, String)>,
    /// Body, as long as `Content-Length` states.
    pub body: Vec<u8>,
}

impl RawRequest {
    /// Returns the value of a header, given its lower-case name.
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(found, _)| found == name);
        found.map(|(_, value)| value.as_str())
    }
}

/// How the server handles a request.
#[derive(Clone, Debug)]
pub enum RequestAction {
    /// Sends these bytes as the complete response.
    Respond(Vec<u8>),
    /// Sends these bytes, the start of a response, and crashes.
    Crash(Vec<u8>),
    /// Sends these bytes, the start of a response, and crashes after a time.
    CrashAfter(Vec<u8>, Duration),
    /// Works for a time, sends these bytes and crashes, unless the connection closes meanwhile.
    WorkAndCrash(Vec<u8>, Duration),
}

/// Decides how to handle a request. Runs on the connection's thread and may block.
pub type RequestHandler = dyn Fn(&RawRequest) -> RequestAction + Send + Sync;

struct Inner {
    listener: TcpListener,
    /// Reserves the port while the server is down.
    _holder: Socket,
    address: SocketAddr,
    handle: Box<RequestHandler>,
    crashed: AtomicBool,
    /// Number of crashes that requests have caused.
    crashes: AtomicU64,
    stopping: AtomicBool,
    connections: Mutex<Vec<TcpStream>>,
}

impl Inner {
    fn connections(&self) -> MutexGuard<'_, Vec<TcpStream>> {
        self.connections
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    fn crash(&self) {
        self.crashed.store(true, Ordering::Release);
        // Fails harmlessly if the socket is not connected.
        let _ = SockRef::from(&self.listener).shutdown(Shutdown::Both);
        self.reset_connections();
    }

    /// Crashes because of a request.
    fn crash_on_request(&self) {
        self.crashes.fetch_add(1, Ordering::AcqRel);
        self.crash();
    }

    fn reset_connections(&self) {
        for connection in self.connections().drain(..) {
            let _ = SockRef::from(&connection).set_linger(Some(Duration::ZERO));
            let _ = connection.shutdown(Shutdown::Both);
        }
    }

    fn has_crashed(&self) -> bool {
        self.crashed.load(Ordering::Acquire)
    }
}

/// A running server. Clones share the same server.
#[derive(Clone)]
pub struct CrashingServer {
    inner: Arc<Inner>,
}

impl CrashingServer {
    /// Starts a server on a free loopback port.
    pub fn start(handle: Box<RequestHandler>) -> io::Result<CrashingServer> {
        let (holder, listener) = listen()?;
        let inner = Arc::new(Inner {
            address: listener.local_addr()?,
            listener,
            _holder: holder,
            handle,
            crashed: AtomicBool::new(false),
            crashes: AtomicU64::new(0),
            stopping: AtomicBool::new(false),
            connections: Mutex::default(),
        });
        let accepting = inner.clone();
        thread::spawn(move || accept(&accepting));
        Ok(CrashingServer { inner })
    }

    /// Address it listens on.
    pub fn address(&self) -> SocketAddr {
        self.inner.address
    }

    /// Whether it has crashed and not been restarted.
    pub fn has_crashed(&self) -> bool {
        self.inner.has_crashed()
    }

    /// Number of crashes that requests have caused.
    pub fn crashes(&self) -> u64 {
        self.inner.crashes.load(Ordering::Acquire)
    }

    /// Number of connections accepted since the last crash.
    pub fn connections(&self) -> usize {
        self.inner.connections().len()
    }

    /// Crashes the server, as a kill from outside does.
    pub fn crash(&self) {
        self.inner.crash();
    }

    /// Accepts connections again at the same address.
    pub fn restart(&self) -> io::Result<()> {
        SockRef::from(&self.inner.listener).listen(BACKLOG)?;
        self.inner.crashed.store(false, Ordering::Release);
        Ok(())
    }

    /// Stops the server permanently.
    pub fn stop(&self) {
        self.inner.stopping.store(true, Ordering::Release);
        self.inner.crash();
    }
}

/// Returns a socket that reserves a free loopback port, and a listener on that port. A socket keeps
/// its port after it stops listening only if it was bound to that port explicitly.
fn listen() -> io::Result<(Socket, TcpListener)> {
    let bound = |port: u16| -> io::Result<Socket> {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None)?;
        socket.set_reuse_port(true)?;
        socket.bind(&SocketAddr::from(([127, 0, 0, 1], port)).into())?;
        Ok(socket)
    };
    let holder = bound(0)?;
    let port = holder.local_addr()?.as_socket().map_or(0, |at| at.port());
    let listener = bound(port)?;
    listener.listen(BACKLOG)?;
    Ok((holder, listener.into()))
}

fn accept(inner: &Arc<Inner>) {
    while !inner.stopping.load(Ordering::Acquire) {
        let Ok((stream, _)) = inner.listener.accept() else {
            thread::sleep(RESTART_POLL_INTERVAL);
            continue;
        };
        let Ok(retained) = stream.try_clone() else {
            continue;
        };
        inner.connections().push(retained);
        if inner.has_crashed() {
            // Accepted before the crash; the server may already be restarting.
            inner.reset_connections();
            continue;
        }
        let serving = inner.clone();
        thread::spawn(move || serve(&serving, stream));
    }
}

/// Serves one connection until it closes or the server crashes.
fn serve(inner: &Inner, stream: TcpStream) {
    let mut reader = BufReader::new(stream);
    while let Some(request) = read_request(&mut reader) {
        match (inner.handle)(&request) {
            RequestAction::Respond(bytes) => {
                if reader.get_mut().write_all(&bytes).is_err() {
                    return;
                }
            }
            RequestAction::Crash(bytes) => {
                let _ = reader.get_mut().write_all(&bytes);
                return inner.crash_on_request();
            }
            RequestAction::CrashAfter(bytes, time) => {
                let _ = reader.get_mut().write_all(&bytes);
                thread::sleep(time);
                return inner.crash_on_request();
            }
            RequestAction::WorkAndCrash(bytes, time) => {
                if closes_within(reader.get_ref(), time) {
                    return;
                }
                let _ = reader.get_mut().write_all(&bytes);
                return inner.crash_on_request();
            }
        }
    }
}

/// Waits for a time; returns true as soon as the connection is closed.
fn closes_within(stream: &TcpStream, time: Duration) -> bool {
    let end = Instant::now() + time;
    if stream.set_nonblocking(true).is_err() {
        return true;
    }
    while Instant::now() < end {
        match stream.peek(&mut [0]) {
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
            Ok(1..) => {}
            _ => return true,
        }
        thread::sleep(CLOSED_POLL_INTERVAL);
    }
    stream.set_nonblocking(false).is_err()
}

/// Reads the next request; `None` if the connection closed or the request is malformed.
fn read_request(reader: &mut BufReader<TcpStream>) -> Option<RawRequest> {
    let first = read_line(reader)?;
    let mut request = RawRequest {
        path: first.split(' ').nth(1)?.to_owned(),
        ..RawRequest::default()
    };
    loop {
        let line = read_line(reader)?;
        let Some((name, value)) = line.split_once(':') else {
            break;
        };
        let header = (name.to_ascii_lowercase(), value.trim().to_owned());
        request.headers.push(header);
    }
    let length = request.header("content-length").unwrap_or("0");
    request.body = vec![0; length.parse().ok()?];
    reader.read_exact(&mut request.body).ok()?;
    Some(request)
}

fn read_line(reader: &mut BufReader<TcpStream>) -> Option<String> {
    let mut line = String::new();
    let count = reader.read_line(&mut line).ok()?;
    (count > 0).then(|| line.trim_end().to_owned())
}
