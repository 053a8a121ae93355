//! A server whose process ends: nobody is answered, its port refuses, and it begins again at its address.

use millpass_standin::crashing::{CrashingServer, RawRequest, Reaction};
use std::io::{ErrorKind, Read, Write};
use std::net::TcpStream;

fn react(request: &RawRequest) -> Reaction {
    match request.body.as_slice() {
        b"end" => Reaction::End(b"HTTP/1.1 200 OK\r\n".to_vec()),
        _ => Reaction::Answer(b"answer".to_vec()),
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

#[test]
fn a_server_ends_under_a_request_and_begins_again_at_its_address() {
    let server = CrashingServer::start(Box::new(react)).expect("server");
    for _ in 0..3 {
        assert_eq!(ask(&server, "other").expect("answer"), b"answer");
        assert_ne!(ask(&server, "end").unwrap_or_default(), b"answer");
        assert!(server.has_ended());
        let refused = TcpStream::connect(server.address()).map_err(|error| error.kind());
        assert_eq!(refused.err(), Some(ErrorKind::ConnectionRefused));
        server.begin_again().expect("listens");
    }
    assert_eq!(ask(&server, "other").expect("answer"), b"answer");
}
