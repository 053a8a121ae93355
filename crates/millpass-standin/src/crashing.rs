//! A server whose process can end in the middle of its work: its connections are reset, its port refuses new ones,
//! and stays held so that it can begin again there.

use socket2::{Domain, SockRef, Socket, Type};
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::Duration;

/// Connections that wait to be accepted.
const BACKLOG: i32 = 128;
/// Pause between two looks at whether the server has begun again.
const RESTART_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// A request as it came.
#[derive(Clone, Debug, Default)]
pub struct RawRequest {
    /// Path with the query.
    pub path: String,
    /// Headers in lower case.
    pub headers: Vec<(String, String)>,
    /// Body, of stated length.
    pub body: Vec<u8>,
}

impl RawRequest {
    /// Value of a header, named in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(found, _)| found == name);
        found.map(|(_, value)| value.as_str())
    }
}

/// What the server does with a request.
#[derive(Clone, Debug)]
pub enum RequestAction {
    /// Sends these bytes, a whole response.
    Respond(Vec<u8>),
    /// Sends these bytes, the beginning of a response, and ends.
    Crash(Vec<u8>),
}

/// Decides what to do with a request; called on the connection's thread, so it may take its time.
pub type RequestHandler = dyn Fn(&RawRequest) -> RequestAction + Send + Sync;

struct Inner {
    listener: TcpListener,
    /// Keeps the port from others while nobody listens at it.
    _holder: Socket,
    address: SocketAddr,
    handle: Box<RequestHandler>,
    crashed: AtomicBool,
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
        // A socket that is not connected has nothing to shut down; that is no failure here.
        let _ = SockRef::from(&self.listener).shutdown(Shutdown::Both);
        for connection in self.connections().drain(..) {
            let _ = SockRef::from(&connection).set_linger(Some(Duration::ZERO));
            let _ = connection.shutdown(Shutdown::Both);
        }
    }

    fn has_crashed(&self) -> bool {
        self.crashed.load(Ordering::Acquire)
    }
}

/// A running server; dropping it ends it.
#[derive(Clone)]
pub struct CrashingServer {
    inner: Arc<Inner>,
}

impl CrashingServer {
    /// Listens on a free port of loopback.
    pub fn start(handle: Box<RequestHandler>) -> io::Result<CrashingServer> {
        let (holder, listener) = listen()?;
        let inner = Arc::new(Inner {
            address: listener.local_addr()?,
            listener,
            _holder: holder,
            handle,
            crashed: AtomicBool::new(false),
            stopping: AtomicBool::new(false),
            connections: Mutex::default(),
        });
        let accepting = inner.clone();
        thread::spawn(move || accept(&accepting));
        Ok(CrashingServer { inner })
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.inner.address
    }

    /// Whether it has ended and not begun again.
    pub fn has_crashed(&self) -> bool {
        self.inner.has_crashed()
    }

    /// Connections of this run.
    pub fn connections(&self) -> usize {
        self.inner.connections().len()
    }

    /// Ends it from outside, as a kill does.
    pub fn crash(&self) {
        self.inner.crash();
    }

    /// Begins again at the same address.
    pub fn restart(&self) -> io::Result<()> {
        SockRef::from(&self.inner.listener).listen(BACKLOG)?;
        self.inner.crashed.store(false, Ordering::Release);
        Ok(())
    }

    /// Ends it for good.
    pub fn stop(&self) {
        self.inner.stopping.store(true, Ordering::Release);
        self.inner.crash();
    }
}

/// A socket that holds a free port of loopback, and one that listens at it. A socket keeps its port when it stops to
/// listen only if it was bound to that very port.
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
            inner.crash();
            continue;
        }
        let serving = inner.clone();
        thread::spawn(move || serve(&serving, stream));
    }
}

/// Answers the requests of one connection, until it or the server ends.
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
                return inner.crash();
            }
        }
    }
}

/// The next request; none once the connection has ended.
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
