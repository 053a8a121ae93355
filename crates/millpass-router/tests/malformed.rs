//! Malformed requests: each gets a clear error that says what to do, and runs nowhere.

mod common;

use common::{KEY, agent, call, post, read_answer, settings};
use rstest::rstest;

const GOOD: &str = r#"{"model":"writer","prompt":"hi"}"#;
const AHEAD: &str = "99999999999999";

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
#[case::no_messages("/v1/chat/completions", &[], GOOD, 400, "input_missing")]
#[case::zero_deadline("/v1/completions", &[("Millpass-Deadline-Ms", "0")], GOOD,
    400, "deadline_malformed")]
#[case::negative_deadline("/v1/completions", &[("Millpass-Deadline-Ms", "-5")], GOOD,
    400, "deadline_malformed")]
#[case::word_deadline("/v1/completions", &[("Millpass-Deadline-Ms", "soon")], GOOD,
    400, "deadline_malformed")]
#[case::two_deadlines("/v1/completions",
    &[("Millpass-Deadline-Ms", "5"), ("Millpass-Deadline-Ms", "9")], GOOD, 400, "header_malformed")]
#[case::key_without_birth("/v1/completions", &[("Idempotency-Key", "abc")], GOOD,
    400, "idempotency_key_birth_missing")]
#[case::key_of_version_4("/v1/completions",
    &[("Idempotency-Key", "6a4c3f9e-7b1d-4a8e-9b52-1f0c8d7e6a55")], GOOD,
    400, "idempotency_key_birth_missing")]
#[case::birth_word("/v1/completions",
    &[("Idempotency-Key", "abc"), ("Idempotency-Key-Born", "today")], GOOD,
    400, "idempotency_key_birth_missing")]
#[case::birth_ahead("/v1/completions",
    &[("Idempotency-Key", "abc"), ("Idempotency-Key-Born", AHEAD)], GOOD,
    400, "idempotency_key_born_ahead")]
#[case::empty_key("/v1/completions", &[("Idempotency-Key", "")], GOOD,
    400, "idempotency_key_malformed")]
#[case::spaced_key("/v1/completions", &[("Idempotency-Key", "a b")], GOOD,
    400, "idempotency_key_malformed")]
#[case::two_keys("/v1/completions", &[("Idempotency-Key", "a"), ("Idempotency-Key", "b")], GOOD,
    400, "header_malformed")]
#[case::basic_authorization("/v1/completions", &[("Authorization", "Basic abc")], GOOD,
    401, "authorization_malformed")]
fn a_malformed_request_is_refused(
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
    let answer = call(request.body(body.to_owned()).unwrap());
    assert_eq!(
        (answer.status, answer.error("code").as_str()),
        (status, Some(code))
    );
    assert_eq!(answer.error("executed"), "no");
    assert_eq!(answer.error("request_id"), "request-1");
    assert!(!answer.error("message").as_str().unwrap().is_empty());
    assert_eq!(answer.header("millpass-executed"), Some("no"));
    assert_eq!(answer.header("x-request-id"), Some("request-1"));
}

#[test]
fn a_body_on_a_method_without_one_is_refused() {
    let router = millpass_router::start(settings(Vec::new())).unwrap();
    let stream = common::send_method(&router, "DELETE", "/pages/1", "body");
    common::read_until(&stream, "body_not_allowed");
}

#[rstest]
#[case("/v1/completions")]
#[case("/v1/chat/completions")]
fn completions_take_only_post(#[case] path: &str) {
    let router = millpass_router::start(settings(Vec::new())).unwrap();
    let url = format!("http://{}{path}", router.address());
    let answer = read_answer(agent().get(&url).call().unwrap());
    assert_eq!(answer.status, 405);
    assert_eq!(answer.error("code"), "method_not_allowed");
}

#[test]
fn a_body_too_large_gets_413() {
    let mut settings = settings(Vec::new());
    settings.limits.maximum_body_bytes = 1_000;
    let router = millpass_router::start(settings).unwrap();
    let body = format!(r#"{{"model":"writer","prompt":"{}"}}"#, "x".repeat(2_000));
    let answer = call(post(&router, "/v1/completions").body(body).unwrap());
    assert_eq!(answer.status, 413);
    assert_eq!(answer.error("executed"), "no");
}

#[rstest]
#[case::space("has space")]
#[case::quote("a\"b")]
#[case::long(&"x".repeat(200))]
fn a_bad_request_id_is_replaced(#[case] id: &str) {
    let router = millpass_router::start(settings(Vec::new())).unwrap();
    let request = post(&router, "/v1/completions").header("X-Request-Id", id);
    let answer = call(request.body("{}".to_owned()).unwrap());
    let made = answer.header("x-request-id").unwrap();
    assert!(uuid::Uuid::try_parse(made).is_ok(), "{made}");
}

#[test]
fn a_port_in_use_says_what_to_do() {
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
