//! A crashed server must reset its connections and refuse new ones until it restarts at the same address.

use millpass_standin::crashing::{CrashingServer, RawRequest, RequestAction};
use std::io::{ErrorKind, Read, Write};
use std::net::TcpStream;
use std::thread;
use std::time::{Duration, Instant};

/// Upper bound for a server to crash.
const TIMEOUT: Duration = Duration::from_secs(10);

fn react(request: &RawRequest) -> RequestAction {
    match request.body.as_slice() {
        b"end" => RequestAction::Crash(b"HTTP/1.1 200 OK\r\n".to_vec()),
        _ => RequestAction::Respond(b"answer".to_vec()),
    }
}

/// Returns the first response bytes; an error if the connection is reset first.
fn send(server: &CrashingServer, body: &str) -> std::io::Result<Vec<u8>> {
    let mut stream = TcpStream::connect(server.address())?;
    let length = body.len();
    write!(
        stream,
        "POST /a HTTP/1.1\r\nContent-Length: {length}\r\n\r\n{body}"
    )?;
    let mut response = [0; 64];
    let count = stream.read(&mut response)?;
    Ok(response[..count].to_vec())
}

/// The last response bytes may arrive before the server has crashed, so the state must be polled.
fn wait_until(mut holds: impl FnMut() -> bool) {
    let started = Instant::now();
    while !holds() {
        assert!(
            started.elapsed() < TIMEOUT,
            "condition did not hold in time"
        );
        thread::sleep(Duration::from_millis(1));
    }
}

#[test]
fn server_crashes_on_a_request_and_restarts_at_its_address() {
    let server = CrashingServer::start(Box::new(react)).expect("server");
    for _ in 0..3 {
        assert_eq!(send(&server, "other").expect("answer"), b"answer");
        assert_ne!(send(&server, "end").unwrap_or_default(), b"answer");
        wait_until(|| server.has_crashed());
        wait_until(|| {
            let refused = TcpStream::connect(server.address()).map_err(|error| error.kind());
            refused.err() == Some(ErrorKind::ConnectionRefused)
        });
        server.restart().expect("listens");
    }
    assert_eq!(send(&server, "other").expect("answer"), b"answer");
}
