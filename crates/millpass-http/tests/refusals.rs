//! Tests of requests that the server rejects itself: the response names the reason and the remedy, and
//! the handler does not run.

mod common;

use common::{Caller, ReceivedResponse, header, start};
use http::StatusCode;
use millpass_http::{Request, Responder, Response, ServerHandle, ServerSettings};
use rstest::rstest;
use std::net::Shutdown;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

/// Timeout that does not expire during a test.
const NO_TIMEOUT: Duration = Duration::from_secs(600);

fn echo(request: Request, responder: Responder) {
    responder.send(Response::with_type(
        StatusCode::OK,
        "text/plain",
        request.body,
    ));
}

/// Settings with a 16-byte body limit. The idle timeout is long enough for the first bytes to be read on a
/// busy machine, and shorter than the callers' timeout.
fn small_limits() -> ServerSettings {
    ServerSettings {
        maximum_body_bytes: 16,
        header_timeout: Duration::from_secs(2),
        body_timeout: NO_TIMEOUT,
        ..ServerSettings::default()
    }
}

/// The same settings with a short body timeout.
fn short_body_timeout() -> ServerSettings {
    ServerSettings {
        body_timeout: Duration::from_millis(20),
        ..small_limits()
    }
}

/// Starts a server; returns it with the number of handler calls.
fn start_counted(settings: ServerSettings) -> (ServerHandle, Arc<AtomicUsize>) {
    let runs = Arc::new(AtomicUsize::new(0));
    let counted = runs.clone();
    let server = start(settings, move |request: Request, responder: Responder| {
        counted.fetch_add(1, Ordering::SeqCst);
        echo(request, responder);
    });
    (server, runs)
}

fn start_with_small_limits() -> (ServerHandle, Arc<AtomicUsize>) {
    start_counted(small_limits())
}

/// Checks that a response is an error with this code and remedy.
fn assert_refusal(response: &ReceivedResponse, status: u16, code: &str, remedy: &str) {
    assert_eq!(response.status, status, "{}", response.body);
    let body: serde_json::Value = serde_json::from_str(&response.body).expect("a JSON body");
    assert_eq!(body["error"]["code"], code);
    assert_eq!(body["error"]["executed"], "no");
    let message = body["error"]["message"].as_str().expect("a message");
    assert!(message.contains(remedy), "{message}");
    let executed = header(&response.head, "millpass-executed");
    assert_eq!(executed.as_deref(), Some("no"));
}

const HEAD: &str = "POST / HTTP/1.1\r\nHost: test\r\n";

#[rstest]
#[case::nonsense("nonsense\r\n\r\n", 400, "header_malformed", "correct the client")]
#[case::bad_line(
    "GET / HTTP/1.1\r\nbad header\r\n\r\n",
    400,
    "header_malformed",
    "correct the client"
)]
#[case::bad_length(
    "POST / HTTP/1.1\r\nContent-Length: many\r\n\r\n",
    400,
    "header_malformed",
    "correct the client"
)]
#[case::announced(&format!("{HEAD}Content-Length: 17\r\n\r\n0123456789abcdefg"),
    413, "body_too_large", "limit of 16 bytes; send a smaller one")]
#[case::chunked(&format!("{HEAD}Transfer-Encoding: chunked\r\n\r\n11\r\n0123456789abcdefg\r\n0\r\n\r\n"),
    413, "body_too_large", "limit of 16 bytes; send a smaller one")]
#[case::bad_chunk(&format!("{HEAD}Transfer-Encoding: chunked\r\n\r\nzz\r\n"),
    400, "body_unreadable", "send it whole")]
#[case::long_header(&format!("{HEAD}X-Long: {}\r\n\r\n", "x".repeat(100_000)),
    431, "header_too_large", "send fewer or shorter")]
#[case::long_path(&format!("GET /{} HTTP/1.1\r\n\r\n", "x".repeat(100_000)),
    431, "header_too_large", "send fewer or shorter")]
#[case::many_headers(&format!("{HEAD}{}\r\n", "X-Many: x\r\n".repeat(1_025)),
    431, "header_too_large", "send fewer or shorter")]
fn an_invalid_or_oversized_request_is_refused(
    #[case] sent: &str,
    #[case] status: u16,
    #[case] code: &str,
    #[case] remedy: &str,
) {
    let (server, runs) = start_with_small_limits();
    let mut caller = Caller::connect(server.local_address());
    caller.send(sent);
    assert_refusal(&caller.read_response(), status, code, remedy);
    assert!(caller.is_closed());
    assert_eq!(runs.load(Ordering::SeqCst), 0);
}

#[rstest]
#[case::header("GET / HTTP/1.1\r\nHost:", "header_timeout", "send it at once")]
#[case::body(&format!("{HEAD}Content-Length: 10\r\n\r\nabc"), "body_timeout", "send it faster")]
fn a_slow_request_is_refused(#[case] sent: &str, #[case] code: &str, #[case] remedy: &str) {
    let (server, runs) = start_counted(short_body_timeout());
    let mut caller = Caller::connect(server.local_address());
    caller.send(sent);
    assert_refusal(&caller.read_response(), 408, code, remedy);
    assert!(caller.is_closed());
    assert_eq!(runs.load(Ordering::SeqCst), 0);
}

#[test]
fn a_malformed_head_after_a_valid_request_is_refused() {
    let (server, runs) = start_with_small_limits();
    let mut caller = Caller::connect(server.local_address());
    caller.send("GET / HTTP/1.1\r\nHost: test\r\n\r\nnonsense\r\n\r\n");
    assert_eq!(caller.read_response().status, 200);
    let refusal = caller.read_response();
    assert_refusal(&refusal, 400, "header_malformed", "correct the client");
    assert_eq!(runs.load(Ordering::SeqCst), 1);
}

#[rstest]
#[case::content_length("Content-Length: 10\r\n\r\nabc")]
#[case::chunked("Transfer-Encoding: chunked\r\n\r\n5\r\nabc")]
fn a_truncated_body_is_refused(#[case] rest: &str) {
    let (server, runs) = start_with_small_limits();
    let mut caller = Caller::connect(server.local_address());
    caller.send(&format!("{HEAD}{rest}"));
    // Closes only the sending side, so that the response can be read.
    let sending = caller.reader.get_ref().shutdown(Shutdown::Write);
    sending.expect("the connection is open");
    assert_refusal(
        &caller.read_response(),
        400,
        "body_unreadable",
        "send it whole",
    );
    assert_eq!(runs.load(Ordering::SeqCst), 0);
}

#[test]
fn a_caller_that_exceeds_the_body_limit_by_far_receives_the_refusal() {
    let (server, _) = start_with_small_limits();
    let mut caller = Caller::connect(server.local_address());
    let body = "x".repeat(8 * 1024 * 1024);
    caller.post("/", &body);
    let refusal = caller.read_response();
    assert_refusal(&refusal, 413, "body_too_large", "send a smaller one");
}

#[test]
fn a_body_at_the_limit_is_accepted() {
    let (server, _) = start_with_small_limits();
    let mut caller = Caller::connect(server.local_address());
    caller.post("/", "0123456789abcdef");
    assert_eq!(caller.read_response().status, 200);
}

#[rstest]
#[case::before_any_request(0)]
#[case::after_requests(2)]
fn an_idle_connection_is_closed_without_a_response(#[case] requests: usize) {
    let (server, _) = start_counted(short_body_timeout());
    let mut caller = Caller::connect(server.local_address());
    for _ in 0..requests {
        caller.post("/", "abc");
        assert_eq!(caller.read_response().status, 200);
    }
    assert!(caller.is_closed());
}
