//! Malformed requests get an error that names a remedy, and are not sent to a backend.

mod common;

use common::control::Control;
use common::engine::{Engine, respond_buffered};
use common::{KEY, agent, call, post, read_response, send_raw, settings, start_router, start_with};
use rstest::rstest;
use std::io::Write;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};

const VALID: &str = r#"{"model":"writer","prompt":"hi"}"#;
const FUTURE_MILLIS: &str = "99999999999999";

#[rstest]
#[case::not_json("/v1/completions", &[], "hello", 400, "body_malformed")]
#[case::half("/v1/completions", &[], r#"{"model":"#, 400, "body_malformed")]
#[case::array("/v1/completions", &[], "[]", 400, "body_malformed")]
#[case::empty("/v1/completions", &[], "", 400, "body_malformed")]
#[case::model_number("/v1/completions", &[], r#"{"model":1,"prompt":"a"}"#, 400, "body_malformed")]
#[case::stream_word("/v1/completions", &[], r#"{"model":"writer","prompt":"a","stream":"yes"}"#,
    400, "body_malformed")]
#[case::no_model("/v1/completions", &[], r#"{"prompt":"a"}"#, 400, "model_missing")]
#[case::empty_model("/v1/completions", &[], r#"{"model":"","prompt":"a"}"#, 400, "model_missing")]
#[case::empty_adapter("/v1/completions", &[], r#"{"model":"writer:","prompt":"a"}"#,
    400, "model_missing")]
#[case::no_prompt("/v1/completions", &[], r#"{"model":"writer"}"#, 400, "input_missing")]
#[case::null_prompt("/v1/completions", &[], r#"{"model":"writer","prompt":null}"#,
    400, "input_missing")]
#[case::no_messages("/v1/chat/completions", &[], VALID, 400, "input_missing")]
#[case::zero_deadline("/v1/completions", &[("Millpass-Deadline-Ms", "0")], VALID,
    400, "deadline_malformed")]
#[case::negative_deadline("/v1/completions", &[("Millpass-Deadline-Ms", "-5")], VALID,
    400, "deadline_malformed")]
#[case::word_deadline("/v1/completions", &[("Millpass-Deadline-Ms", "soon")], VALID,
    400, "deadline_malformed")]
#[case::two_deadlines("/v1/completions",
    &[("Millpass-Deadline-Ms", "5"), ("Millpass-Deadline-Ms", "9")], VALID, 400, "header_malformed")]
#[case::key_without_birth("/v1/completions", &[("Idempotency-Key", "abc")], VALID,
    400, "idempotency_key_birth_missing")]
#[case::key_of_version_4("/v1/completions",
    &[("Idempotency-Key", "6a4c3f9e-7b1d-4a8e-9b52-1f0c8d7e6a55")], VALID,
    400, "idempotency_key_birth_missing")]
#[case::birth_word("/v1/completions",
    &[("Idempotency-Key", "abc"), ("Idempotency-Key-Born", "today")], VALID,
    400, "idempotency_key_birth_missing")]
#[case::birth_ahead("/v1/completions",
    &[("Idempotency-Key", "abc"), ("Idempotency-Key-Born", FUTURE_MILLIS)], VALID,
    400, "idempotency_key_born_ahead")]
#[case::empty_key("/v1/completions", &[("Idempotency-Key", "")], VALID,
    400, "idempotency_key_malformed")]
#[case::spaced_key("/v1/completions", &[("Idempotency-Key", "a b")], VALID,
    400, "idempotency_key_malformed")]
#[case::two_keys("/v1/completions", &[("Idempotency-Key", "a"), ("Idempotency-Key", "b")], VALID,
    400, "header_malformed")]
#[case::basic_authorization("/v1/completions", &[("Authorization", "Basic abc")], VALID,
    401, "authorization_malformed")]
fn malformed_request_is_refused(
    #[case] path: &str,
    #[case] headers: &[(&str, &str)],
    #[case] body: &str,
    #[case] status: u16,
    #[case] code: &str,
) {
    let router = millpass_router::start(settings(Vec::new())).unwrap();
    let mut request = post(&router, path).header("X-Request-Id", "request-1");
    if !headers.iter().any(|(name, _)| *name == "Authorization") {
        request = request.header("Authorization", format!("Bearer {KEY}"));
    }
    for (name, value) in headers {
        request = request.header(*name, *value);
    }
    let response = call(request.body(body.to_owned()).unwrap());
    assert_eq!(
        (response.status, response.error("code").as_str()),
        (status, Some(code))
    );
    assert_eq!(response.error("executed"), "no");
    assert_eq!(response.error("request_id"), "request-1");
    assert!(!response.error("message").as_str().unwrap().is_empty());
    assert_eq!(response.header("millpass-executed"), Some("no"));
    assert_eq!(response.header("x-request-id"), Some("request-1"));
}

#[test]
fn body_is_refused_on_methods_without_a_body() {
    let router = millpass_router::start(settings(Vec::new())).unwrap();
    let stream = common::send_method(&router, "DELETE", "/pages/1", "body");
    common::read_until(&stream, "body_not_allowed");
}

#[rstest]
#[case("/v1/completions")]
#[case("/v1/chat/completions")]
fn completions_support_only_post(#[case] path: &str) {
    let router = millpass_router::start(settings(Vec::new())).unwrap();
    let url = format!("http://{}{path}", router.address());
    let response = read_response(agent().get(&url).call().unwrap());
    assert_eq!(response.status, 405);
    assert_eq!(response.error("code"), "method_not_allowed");
}

#[test]
fn oversized_body_returns_413() {
    let mut settings = settings(Vec::new());
    settings.limits.maximum_body_bytes = 1_000;
    let router = millpass_router::start(settings).unwrap();
    let body = format!(r#"{{"model":"writer","prompt":"{}"}}"#, "x".repeat(2_000));
    let response = call(post(&router, "/v1/completions").body(body).unwrap());
    assert_eq!(response.status, 413);
    assert_eq!(response.error("executed"), "no");
}

#[rstest]
#[case::space("has space")]
#[case::quote("a\"b")]
#[case::long(&"x".repeat(200))]
fn malformed_request_id_is_replaced(#[case] id: &str) {
    let router = millpass_router::start(settings(Vec::new())).unwrap();
    let request = post(&router, "/v1/completions").header("X-Request-Id", id);
    let response = call(request.body("{}".to_owned()).unwrap());
    let made = response.header("x-request-id").unwrap();
    assert!(uuid::Uuid::try_parse(made).is_ok(), "{made}");
}

#[test]
fn error_for_a_port_in_use_names_a_remedy() {
    let router = millpass_router::start(settings(Vec::new())).unwrap();
    let mut second = settings(Vec::new());
    second.listen = router.address();
    let error = millpass_router::start(second)
        .err()
        .expect("the port is taken");
    assert!(
        error.to_string().contains("choose another address"),
        "{error}"
    );
}

#[rstest]
#[case::missing_key("/v1/completions", None, 401, "unknown_key", "Authorization")]
#[case::wrong_key(
    "/v1/completions",
    Some("wrong"),
    401,
    "unknown_key",
    "key of a tenant"
)]
#[case::unknown_path("/nowhere/at/all", Some(KEY), 404, "not_found", "check its name")]
fn unauthorized_request_error_names_a_remedy(
    #[case] path: &str,
    #[case] key: Option<&str>,
    #[case] status: u16,
    #[case] code: &str,
    #[case] remedy: &str,
) {
    let control = Control::start();
    let router = start_router(&control);
    let mut request = post(&router, path);
    if let Some(key) = key {
        request = request.header("Authorization", format!("Bearer {key}"));
    }
    let response = call(request.body(VALID.to_owned()).unwrap());
    assert_eq!(
        (response.status, response.error("code").as_str()),
        (status, Some(code))
    );
    assert_eq!(response.error("executed"), "no");
    let message = response.error("message").as_str().unwrap().to_owned();
    assert!(message.contains(remedy), "{message}");
}

/// Addresses without a listener.
fn unreachable_members() -> Vec<SocketAddr> {
    let listeners: Vec<TcpListener> = (0..3)
        .map(|_| TcpListener::bind("127.0.0.1:0").unwrap())
        .collect();
    let addresses = listeners.iter().map(|listener| listener.local_addr());
    addresses.collect::<Result<_, _>>().unwrap()
}

/// A member that accepts connections but never responds.
fn unresponsive_member() -> (TcpListener, Vec<SocketAddr>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    (listener, vec![address])
}

#[rstest]
#[case::none_listens(false)]
#[case::silent(true)]
fn request_without_a_control_group_is_refused_immediately(#[case] silent: bool) {
    let (_listener, member) = unresponsive_member();
    let members = if silent {
        member
    } else {
        unreachable_members()
    };
    let router = millpass_router::start(settings(members)).unwrap();
    // A request held until this deadline would exceed the timeout of `call`.
    let request = post(&router, "/v1/completions")
        .header("Authorization", format!("Bearer {KEY}"))
        .header("Millpass-Deadline-Ms", "600000");
    let response = call(request.body(VALID.to_owned()).unwrap());
    assert_eq!(
        (response.status, response.error("code").as_str()),
        (503, Some("no_lease"))
    );
    assert_eq!(response.error("executed"), "no");
    assert!(response.header("retry-after").is_some());
    let message = response.error("message").as_str().unwrap().to_owned();
    assert!(message.contains("use another router"), "{message}");
}

#[test]
fn truncated_body_is_not_sent_to_an_engine() {
    let engine = Engine::start(|_, responder| respond_buffered(responder, "x"));
    let control = Control::start();
    control.add_replica(1, engine.address());
    let router = start_router(&control);
    let mut stream = TcpStream::connect(router.address()).unwrap();
    let head = format!(
        "POST /v1/completions HTTP/1.1\r\nHost: test\r\nAuthorization: Bearer {KEY}\r\n\
         Transfer-Encoding: chunked\r\n\r\n"
    );
    stream.write_all(head.as_bytes()).unwrap();
    let chunk = format!("{:x}\r\n{VALID}\r\n", VALID.len());
    stream.write_all(chunk.as_bytes()).unwrap();
    stream.shutdown(Shutdown::Write).unwrap();
    common::read_until(&stream, "body_unreadable");
    let response = call(common::completion(&router).body(VALID.to_owned()).unwrap());
    assert_eq!(response.status, 200);
    assert_eq!(engine.requests.len(), 1);
}

#[test]
fn connection_above_the_limit_is_refused_with_retry_after() {
    let control = Control::start();
    let mut settings = settings(vec![control.address()]);
    settings.limits.maximum_connections = 1;
    let router = start_with(&control, settings);
    let held = send_raw(&router, "/v1/completions", "", VALID);
    common::wait_until("request waiting", || {
        let metrics = common::observe(&router, "/metrics").body;
        metrics.contains("millpass_router_in_flight 1")
    });
    let response = call(common::completion(&router).body(VALID.to_owned()).unwrap());
    assert_eq!(
        (response.status, response.error("code").as_str()),
        (503, Some("too_many_connections"))
    );
    assert_eq!(response.header("retry-after"), Some("1"));
    assert_eq!(response.header("millpass-executed"), Some("no"));
    drop(held);
}
