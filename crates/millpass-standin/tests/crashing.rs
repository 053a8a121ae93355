//! A server whose process ends: nobody is answered, its port refuses, and it begins again at its address.

use millpass_standin::crashing::{CrashingServer, RawRequest, RequestAction};
use std::io::{ErrorKind, Read, Write};
use std::net::TcpStream;
use std::thread;
use std::time::{Duration, Instant};

/// Longest wait for a server to have ended; never reached by a good run.
const PATIENCE: Duration = Duration::from_secs(10);

fn react(request: &RawRequest) -> RequestAction {
    match request.body.as_slice() {
        b"end" => RequestAction::Crash(b"HTTP/1.1 200 OK\r\n".to_vec()),
        _ => RequestAction::Respond(b"answer".to_vec()),
    }
}

/// The first bytes that come back; an error if the connection is reset first.
fn ask(server: &CrashingServer, body: &str) -> std::io::Result<Vec<u8>> {
    let mut stream = TcpStream::connect(server.address())?;
    let length = body.len();
    write!(
        stream,
        "POST /a HTTP/1.1\r\nContent-Length: {length}\r\n\r\n{body}"
    )?;
    let mut answer = [0; 64];
    let count = stream.read(&mut answer)?;
    Ok(answer[..count].to_vec())
}

/// A server sends the last bytes before it ends, so a caller may come first.
fn wait_until(mut holds: impl FnMut() -> bool) {
    let started = Instant::now();
    while !holds() {
        assert!(started.elapsed() < PATIENCE, "waited in vain");
        thread::sleep(Duration::from_millis(1));
    }
}

#[test]
fn a_server_ends_under_a_request_and_begins_again_at_its_address() {
    let server = CrashingServer::start(Box::new(react)).expect("server");
    for _ in 0..3 {
        assert_eq!(ask(&server, "other").expect("answer"), b"answer");
        assert_ne!(ask(&server, "end").unwrap_or_default(), b"answer");
        wait_until(|| server.has_crashed());
        wait_until(|| {
            let refused = TcpStream::connect(server.address()).map_err(|error| error.kind());
            refused.err() == Some(ErrorKind::ConnectionRefused)
        });
        server.restart().expect("listens");
    }
    assert_eq!(ask(&server, "other").expect("answer"), b"answer");
}
