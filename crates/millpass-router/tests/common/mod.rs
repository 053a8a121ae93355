//! Helpers of the router tests: a control member, engines and callers, all on loopback.
#![allow(dead_code, reason = "each test file uses some of the helpers")]

pub mod control;
pub mod engine;

use control::Control;
use millpass_proto::{ClaimKey, Incarnation};
use millpass_router::{RouterHandle, RouterProcessSettings};
use std::io::{BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

/// Timeout for expected events.
pub const TEST_TIMEOUT: Duration = Duration::from_secs(10);
/// API key of the tenant `acme`.
pub const KEY: &str = "acme-key";

/// Returns settings of a router with these control members.
pub fn settings(members: Vec<SocketAddr>) -> RouterProcessSettings {
    let mut settings = RouterProcessSettings {
        control_members: members,
        ..RouterProcessSettings::default()
    };
    settings.routing.report_interval = Duration::from_millis(20);
    settings.routing.minimum_report_interval = Duration::from_millis(2);
    settings.watch.interval = Duration::from_millis(20);
    settings
}

/// Starts a router connected to `control`, and waits for its lease.
pub fn start_router(control: &Control) -> RouterHandle {
    start_with(control, settings(vec![control.address()]))
}

/// Starts a router with these settings, and waits for its lease.
pub fn start_with(control: &Control, settings: RouterProcessSettings) -> RouterHandle {
    let router = millpass_router::start(settings).expect("the router starts");
    control.wait_until_applied();
    router
}

/// Response as received by a caller.
#[derive(Debug)]
pub struct CallerResponse {
    pub status: u16,
    pub headers: http::HeaderMap,
    pub body: String,
    /// False if the body was aborted.
    pub complete: bool,
}

impl CallerResponse {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name).and_then(|value| value.to_str().ok())
    }

    pub fn json(&self) -> serde_json::Value {
        serde_json::from_str(&self.body).expect("a JSON body")
    }

    pub fn error(&self, field: &str) -> serde_json::Value {
        self.json()["error"][field].clone()
    }

    /// Returns the token texts of a streamed response.
    pub fn tokens(&self) -> Vec<String> {
        let events = self.body.split("\n\n");
        let data = events.filter_map(|event| event.strip_prefix("data: "));
        let json = data.filter_map(|data| serde_json::from_str::<serde_json::Value>(data).ok());
        json.map(|chunk| chunk["choices"][0]["text"].as_str().unwrap().to_owned())
            .collect()
    }
}

/// Returns an HTTP agent for a caller.
pub fn agent() -> ureq::Agent {
    ureq::Agent::config_builder()
        .http_status_as_error(false)
        .timeout_global(Some(TEST_TIMEOUT))
        .build()
        .into()
}

/// Sends a request and reads its response as far as possible.
pub fn call(request: http::Request<String>) -> CallerResponse {
    read_response(agent().run(request).expect("a response"))
}

/// Reads a response as far as possible.
pub fn read_response(response: http::Response<ureq::Body>) -> CallerResponse {
    let (head, body) = response.into_parts();
    let mut bytes = Vec::new();
    let complete = body.into_reader().read_to_end(&mut bytes).is_ok();
    CallerResponse {
        status: head.status.as_u16(),
        headers: head.headers,
        body: String::from_utf8(bytes).expect("text"),
        complete,
    }
}

/// Builds a completion request of the tenant `acme`, without a body.
pub fn completion(router: &RouterHandle) -> http::request::Builder {
    completion_to(router.address())
}

/// Builds a completion request to any address.
pub fn completion_to(address: SocketAddr) -> http::request::Builder {
    http::Request::post(format!("http://{address}/v1/completions"))
        .header("Authorization", format!("Bearer {KEY}"))
}

pub fn post(router: &RouterHandle, path: &str) -> http::request::Builder {
    http::Request::post(format!("http://{}{path}", router.address()))
}

/// Returns the body of a completion request.
pub fn prompt(stream: bool) -> String {
    serde_json::json!({"model": "writer", "prompt": "hello", "stream": stream}).to_string()
}

/// Sends a request over a plain socket, which the test may close at any time.
pub fn send_raw(router: &RouterHandle, path: &str, headers: &str, body: &str) -> TcpStream {
    let mut stream = TcpStream::connect(router.address()).expect("the router accepts");
    stream
        .set_read_timeout(Some(TEST_TIMEOUT))
        .expect("timeout");
    let length = body.len();
    let text = format!(
        "POST {path} HTTP/1.1\r\nHost: test\r\nAuthorization: Bearer {KEY}\r\n{headers}\
         Content-Length: {length}\r\n\r\n{body}"
    );
    stream.write_all(text.as_bytes()).expect("the router reads");
    stream
}

/// Sends a request of any method with a body.
pub fn send_method(router: &RouterHandle, method: &str, path: &str, body: &str) -> TcpStream {
    let mut stream = TcpStream::connect(router.address()).expect("the router accepts");
    stream
        .set_read_timeout(Some(TEST_TIMEOUT))
        .expect("timeout");
    let length = body.len();
    let text = format!(
        "{method} {path} HTTP/1.1\r\nHost: test\r\nConnection: close\r\n\
         Content-Length: {length}\r\n\r\n{body}"
    );
    stream.write_all(text.as_bytes()).expect("the router reads");
    stream
}

/// Reads up to and including the first occurrence of `text`, and nothing beyond it.
pub fn read_until(stream: &TcpStream, text: &str) {
    let mut read = Vec::new();
    for byte in BufReader::with_capacity(1, stream).bytes() {
        read.push(byte.expect("a byte"));
        if read.ends_with(text.as_bytes()) {
            return;
        }
    }
    panic!(
        "the stream ended without {text}: {}",
        String::from_utf8_lossy(&read)
    );
}

/// Reads a page of the observation API.
pub fn observe(router: &RouterHandle, path: &str) -> CallerResponse {
    let url = format!("http://{}{path}", router.metrics_address());
    read_response(agent().get(&url).call().expect("a response"))
}

/// Returns a new idempotency key that contains its creation time.
pub fn fresh_key() -> ClaimKey {
    uuid::Uuid::now_v7().to_string().into()
}

/// Incarnation of every test engine.
pub const ENGINE_INCARNATION: Incarnation = Incarnation(7);

/// Waits until a condition holds.
pub fn wait_until(what: &str, condition: impl Fn() -> bool) {
    let until = Instant::now() + TEST_TIMEOUT;
    while !condition() {
        assert!(Instant::now() < until, "timed out waiting for: {what}");
        thread::sleep(Duration::from_millis(1));
    }
}
