//! Served requests and refusals.

mod common;

use common::control::Control;
use common::engine::{Engine, header, open_stream, respond_buffered, stream_tokens, token, tokens};
use common::{
    KEY, TEST_TIMEOUT, agent, call, completion, observe, post, prompt, read_response, read_until,
    send_raw, settings, start_router, start_with, wait_until,
};
use crossbeam::channel::bounded;
use http::StatusCode;
use millpass_http::Response;
use rstest::rstest;
use std::time::Duration;

#[test]
fn streamed_completion_arrives_token_by_token() {
    let (proceed, may_proceed) = bounded::<()>(0);
    let engine = Engine::start(move |_, responder| {
        let mut body = open_stream(responder);
        for position in 0..3 {
            body.write(token(position)).unwrap();
            may_proceed.recv_timeout(TEST_TIMEOUT).unwrap();
        }
        body.write(common::engine::done()).unwrap();
        body.finish();
    });
    let control = Control::start();
    control.add_replica(1, engine.address());
    let router = start_router(&control);
    let stream = send_raw(&router, "/v1/completions", "", &prompt(true));
    for position in 0..3 {
        // The engine sends the next token only after this one was received.
        read_until(&stream, &format!("t{position} "));
        proceed.send_timeout((), TEST_TIMEOUT).unwrap();
    }
    read_until(&stream, "[DONE]");
}

#[test]
fn request_reaches_the_engine_with_all_headers() {
    let engine = Engine::start(|request, responder| stream_tokens(request, responder, 2));
    let control = Control::start();
    control.add_replica(4, engine.address());
    let router = start_router(&control);
    let request = completion(&router)
        .header("X-Request-Id", "mine-1")
        .header("Millpass-Deadline-Ms", "5000")
        .header("Millpass-Tenant", "somebody-else")
        .body(r#"{"model":"writer:legal","prompt":"hi","stream":true}"#.to_owned());
    let response = call(request.unwrap());
    assert_eq!(response.status, 200);
    assert_eq!(response.header("x-request-id"), Some("mine-1"));
    assert_eq!(response.tokens(), tokens(2));
    assert!(response.complete && response.body.ends_with("data: [DONE]\n\n"));
    let request = engine.request();
    assert_eq!(request.uri.path(), "/v1/completions");
    assert_eq!(header(&request, "millpass-tenant"), "acme");
    assert_eq!(header(&request, "millpass-slot"), "4");
    assert_eq!(header(&request, "millpass-incarnation"), "7");
    assert_eq!(header(&request, "millpass-priority"), "normal");
    assert_eq!(header(&request, "millpass-resume-from"), "0");
    assert!(header(&request, "x-request-id").starts_with("mine-1."));
    assert!(header(&request, "authorization").is_empty());
    let left: u64 = header(&request, "millpass-deadline-ms").parse().unwrap();
    assert!((1..=5000).contains(&left));
}

#[test]
fn requests_with_the_same_id_differ_at_the_engine() {
    let engine = Engine::start(|_, responder| respond_buffered(responder, "x"));
    let control = Control::start();
    control.add_replica(1, engine.address());
    let router = start_router(&control);
    for _ in 0..2 {
        let request = completion(&router).header("X-Request-Id", "same");
        assert_eq!(call(request.body(prompt(false)).unwrap()).status, 200);
    }
    let ids = [engine.request(), engine.request()];
    assert_ne!(
        header(&ids[0], "x-request-id"),
        header(&ids[1], "x-request-id")
    );
}

#[rstest]
#[case("/v1/completions", r#"{"model":"writer","prompt":"hi"}"#)]
#[case(
    "/v1/chat/completions",
    r#"{"model":"writer","messages":[{"role":"user","content":"x"}]}"#
)]
fn buffered_response_is_forwarded_unchanged(#[case] path: &'static str, #[case] body: &str) {
    let engine = Engine::start(move |request, responder| {
        assert_eq!(request.uri.path(), path);
        respond_buffered(responder, "the answer");
    });
    let control = Control::start();
    control.add_replica(1, engine.address());
    let router = start_router(&control);
    let request = post(&router, path).header("Authorization", format!("Bearer {KEY}"));
    let response = call(request.body(body.to_owned()).unwrap());
    assert_eq!(response.status, 200);
    assert_eq!(response.json()["choices"][0]["text"], "the answer");
}

#[test]
fn client_error_from_the_engine_is_forwarded() {
    let engine = Engine::start(|_, responder| {
        responder.send(Response::text(StatusCode::BAD_REQUEST, "bad temperature"));
    });
    let control = Control::start();
    control.add_replica(1, engine.address());
    let router = start_router(&control);
    let response = call(completion(&router).body(prompt(true)).unwrap());
    assert_eq!(
        (response.status, response.body.as_str()),
        (400, "bad temperature")
    );
}

#[rstest]
#[case::unknown_key("nobody", "writer", 401, "unknown_key")]
#[case::unknown_model(KEY, "nothing", 404, "not_found")]
#[case::unknown_adapter(KEY, "writer:poetry", 404, "not_found")]
#[case::denied(KEY, "secret", 403, "policy_denied")]
fn refusal_has_all_fields(
    #[case] key: &str,
    #[case] model: &str,
    #[case] status: u16,
    #[case] code: &str,
) {
    let control = Control::start();
    let router = start_router(&control);
    let request = post(&router, "/v1/completions")
        .header("Authorization", format!("Bearer {key}"))
        .header("X-Request-Id", "r-1");
    let body = serde_json::json!({"model": model, "prompt": "x"}).to_string();
    let response = call(request.body(body).unwrap());
    assert_eq!(
        (response.status, response.error("code").as_str()),
        (status, Some(code))
    );
    assert_eq!(response.error("executed"), "no");
    assert_eq!(response.error("request_id"), "r-1");
    assert!(!response.error("message").as_str().unwrap().is_empty());
    assert_eq!(response.header("millpass-executed"), Some("no"));
    assert_eq!(response.header("x-request-id"), Some("r-1"));
}

#[test]
fn requests_without_a_lease_are_refused_with_retry_after() {
    let router = millpass_router::start(settings(Vec::new())).unwrap();
    let response = call(completion(&router).body(prompt(false)).unwrap());
    assert_eq!(response.status, 503);
    assert_eq!(response.error("executed"), "no");
    let retry_millis = response.error("retry_after_ms").as_u64().unwrap();
    let retry_seconds: u64 = response.header("retry-after").unwrap().parse().unwrap();
    assert_eq!(retry_seconds, retry_millis.div_ceil(1000));
    assert_eq!(observe(&router, "/healthz").status, 503);
}

#[test]
fn unservable_request_is_refused_at_its_deadline() {
    let control = Control::start();
    let router = start_router(&control);
    let request = completion(&router).header("Millpass-Deadline-Ms", "50");
    let response = call(request.body(prompt(false)).unwrap());
    assert!(
        response.status == 503 || response.status == 504,
        "{response:?}"
    );
    assert_eq!(response.error("executed"), "no");
}

#[test]
fn request_in_flight_at_its_deadline_is_cancelled_with_unknown_execution() {
    let (keep, _kept) = crossbeam::channel::unbounded();
    let engine = Engine::start(move |_, responder| keep.send(responder).unwrap());
    let control = Control::start();
    control.add_replica(1, engine.address());
    let router = start_router(&control);
    let request = completion(&router).header("Millpass-Deadline-Ms", "100");
    let response = call(request.body(prompt(false)).unwrap());
    assert_eq!(response.status, 504);
    assert_eq!(response.error("executed"), "unknown");
    assert_eq!(response.header("millpass-executed"), Some("unknown"));
    let id = header(&engine.request(), "x-request-id").to_owned();
    assert_eq!(engine.cancelled.recv_timeout(TEST_TIMEOUT).unwrap(), id);
}

#[test]
fn models_allowed_for_the_tenant_are_listed() {
    let control = Control::start();
    let router = start_router(&control);
    let url = format!("http://{}/v1/models", router.address());
    let request = agent()
        .get(&url)
        .header("Authorization", &format!("Bearer {KEY}"));
    let response = read_response(request.call().unwrap());
    assert_eq!(response.status, 200);
    let data = response.json()["data"].clone();
    let mut names: Vec<&str> = data
        .as_array()
        .unwrap()
        .iter()
        .map(|model| model["id"].as_str().unwrap())
        .collect();
    names.sort_unstable();
    assert_eq!(names, ["idle", "writer", "writer:legal"]);
    let response = read_response(agent().get(&url).call().unwrap());
    assert_eq!(
        (response.status, response.error("code").as_str()),
        (401, Some("unknown_key"))
    );
}

/// Guards against listing models, or rejecting keys, from a catalog that may be stale without a
/// lease.
#[test]
fn listing_models_without_a_lease_returns_503_for_any_key() {
    let control = Control::start();
    let router = start_router(&control);
    let url = format!("http://{}/v1/models", router.address());
    let list = |key: &str| {
        let request = agent()
            .get(&url)
            .header("Authorization", &format!("Bearer {key}"));
        read_response(request.call().unwrap())
    };
    // The member no longer responds to reports.
    control.lock().leader_hint = Some(control.address());
    for key in [KEY, "unknown"] {
        wait_until("model list refused", || list(key).status == 503);
        let response = list(key);
        assert_eq!(
            (response.status, response.error("code").as_str()),
            (503, Some("no_lease"))
        );
        assert!(response.header("retry-after").is_some());
    }
}

#[test]
fn web_path_is_routed_to_its_group() {
    let web = Engine::start(|request, responder| {
        let query = request.uri.query().unwrap_or_default();
        let response = Response::text(StatusCode::CREATED, format!("page {query}"));
        let name = http::HeaderName::from_static("x-page");
        responder.send(response.with_header(name, "7"));
    });
    let control = Control::start();
    control.add_web("web-1", web.address());
    let router = start_router(&control);
    let url = format!("http://{}/pages/race?id=4", router.address());
    let request = agent()
        .get(&url)
        .header("Authorization", &format!("Bearer {KEY}"));
    let response = read_response(request.call().unwrap());
    assert_eq!(
        (response.status, response.body.as_str()),
        (201, "page id=4")
    );
    assert_eq!(response.header("x-page"), Some("7"));
    assert_eq!(header(&web.request(), "millpass-tenant"), "acme");
}

#[test]
fn waiting_request_is_served_when_a_replica_is_added() {
    let engine = Engine::start(|request, responder| stream_tokens(request, responder, 3));
    let control = Control::start();
    let router = start_router(&control);
    let stream = send_raw(&router, "/v1/completions", "", &prompt(true));
    wait_until("demand reported", || {
        let state = control.lock();
        let report = state.last_report.as_ref().unwrap();
        report.demand.iter().any(|demand| demand.waiting == 1)
    });
    control.add_replica(1, engine.address());
    read_until(&stream, "[DONE]");
}

#[test]
fn stop_aborts_streams() {
    let (keep, _kept) = crossbeam::channel::unbounded();
    let engine = Engine::start(move |_, responder| {
        let mut body = open_stream(responder);
        body.write(token(0)).unwrap();
        keep.send(body).unwrap();
    });
    let control = Control::start();
    control.add_replica(1, engine.address());
    let router = start_router(&control);
    let response = agent()
        .run(completion(&router).body(prompt(true)).unwrap())
        .unwrap();
    wait_until("engine reached", || !engine.requests.is_empty());
    router.stop();
    assert!(!read_response(response).complete);
}

#[test]
fn metrics_and_health_are_served() {
    let engine = Engine::start(|_, responder| respond_buffered(responder, "x"));
    let control = Control::start();
    control.add_replica(1, engine.address());
    let router = start_router(&control);
    let request = completion(&router).header("X-Request-Id", "known-1");
    assert_eq!(call(request.body(prompt(false)).unwrap()).status, 200);
    let health = observe(&router, "/healthz");
    assert_eq!(
        (health.status, health.json()["status"].as_str()),
        (200, Some("serving"))
    );
    wait_until("metrics", || {
        let metrics = observe(&router, "/metrics").body;
        metrics.contains("millpass_router_requests_total{outcome=\"answered\"} 1")
            && metrics.contains("millpass_router_attempts_total{result=\"completed\"} 1")
            && metrics.contains("millpass_router_first_byte_seconds_count 1")
            && metrics.contains("millpass_router_in_flight 0")
    });
    assert_eq!(observe(&router, "/v1/explain/other").status, 404);
    assert_eq!(observe(&router, "/else").status, 404);
}

#[test]
fn deadline_above_the_maximum_is_reduced() {
    let engine = Engine::start(|_, responder| respond_buffered(responder, "x"));
    let control = Control::start();
    control.add_replica(1, engine.address());
    let mut settings = settings(vec![control.address()]);
    settings.limits.maximum_deadline = Duration::from_secs(3);
    let router = start_with(&control, settings);
    let request = completion(&router).header("Millpass-Deadline-Ms", "3600000");
    assert_eq!(call(request.body(prompt(false)).unwrap()).status, 200);
    let left: u64 = header(&engine.request(), "millpass-deadline-ms")
        .parse()
        .unwrap();
    assert!(left <= 3_000, "{left}");
}
