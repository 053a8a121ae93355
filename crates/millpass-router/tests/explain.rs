//! `/v1/explain/{request id}`: explanations of served, waiting and refused requests.

mod common;

use common::control::Control;
use common::engine::{Engine, refuse, respond_buffered};
use common::{call, completion, observe, post, prompt, send_raw, start_router, wait_until};
use millpass_router::RouterHandle;
use rstest::rstest;
use serde_json::{Value, json};

fn explain(router: &RouterHandle, request_id: &str) -> Value {
    let response = observe(router, &format!("/v1/explain/{request_id}"));
    assert_eq!(response.status, 200, "{response:?}");
    response.json()
}

/// Returns fields of a JSON object in this order.
fn fields(object: &Value, names: &[&str]) -> Vec<Value> {
    names.iter().map(|name| object[*name].clone()).collect()
}

#[test]
fn explanation_of_a_served_request_has_policy_backend_and_times() {
    let engine = Engine::start(|_, responder| respond_buffered(responder, "x"));
    let control = Control::start();
    control.add_replica(1, engine.address());
    let router = start_router(&control);
    let request = completion(&router).header("X-Request-Id", "served-1");
    assert_eq!(call(request.body(prompt(false)).unwrap()).status, 200);
    let explanation = explain(&router, "served-1");
    assert_eq!(
        fields(
            &explanation,
            &[
                "request_id",
                "tenant",
                "target",
                "urgency",
                "policy",
                "outcome"
            ]
        ),
        ["served-1", "acme", "writer", "Normal", "all", "completed"]
    );
    let attempts = explanation["attempts"].as_array().unwrap();
    assert_eq!(attempts.len(), 1);
    assert_eq!(
        fields(&attempts[0], &["backend", "result", "resume_from"]),
        [json!("engine-1"), json!("completed"), json!(0)]
    );
    let started = attempts[0]["started_ms"].as_u64().unwrap();
    let ended = attempts[0]["ended_ms"].as_u64().unwrap();
    assert!(started <= ended && ended <= explanation["total_ms"].as_u64().unwrap());
    assert_eq!(explanation["waited_ms"], started);
    assert!(explanation["refusal"].is_null() && explanation["waiting_for"].is_null());
}

#[test]
fn explanation_lists_each_attempt_with_its_result() {
    let refusing = Engine::start(|_, responder| refuse(responder));
    let control = Control::start();
    control.add_replica(1, refusing.address());
    let router = start_router(&control);
    let request = completion(&router).header("X-Request-Id", "tried-1");
    let request = request.header("Millpass-Deadline-Ms", "3000");
    let response = call(request.body(prompt(false)).unwrap());
    assert_eq!(response.error("executed"), "no");
    let explanation = explain(&router, "tried-1");
    assert_eq!(explanation["outcome"], "refused");
    assert_eq!(explanation["refusal"], response.json()["error"]);
    let attempts = explanation["attempts"].as_array().unwrap();
    assert_eq!(attempts.len(), refusing.requests.len());
    assert!(!attempts.is_empty());
    for attempt in attempts {
        assert_eq!(
            fields(attempt, &["backend", "result"]),
            ["engine-1", "refused_by_backend"]
        );
    }
}

#[test]
fn explanation_of_a_waiting_request_has_the_wait_reason() {
    let control = Control::start();
    let router = start_router(&control);
    let stream = send_raw(
        &router,
        "/v1/completions",
        "X-Request-Id: waits-1\r\n",
        &prompt(false),
    );
    wait_until("request waiting", || {
        observe(&router, "/v1/explain/waits-1").status == 200
    });
    let explanation = explain(&router, "waits-1");
    assert_eq!(explanation["outcome"], "waiting");
    let reason = explanation["waiting_for"].as_str().unwrap();
    assert!(reason.contains("no replica is loaded"), "{reason}");
    drop(stream);
    wait_until("disconnect observed", || {
        explain(&router, "waits-1")["outcome"] == "caller_gone"
    });
}

#[rstest]
#[case::policy(r#"{"model":"secret","prompt":"a"}"#, "policy_denied", json!("acme"))]
#[case::model(r#"{"model":"none","prompt":"a"}"#, "not_found", json!("acme"))]
fn explanation_of_a_refused_request_matches_the_response(
    #[case] body: &str,
    #[case] code: &str,
    #[case] tenant: Value,
) {
    let control = Control::start();
    let router = start_router(&control);
    let request = completion(&router).header("X-Request-Id", "refused-1");
    let response = call(request.body(body.to_owned()).unwrap());
    assert_eq!(response.error("code"), code);
    let explanation = explain(&router, "refused-1");
    assert_eq!(
        fields(&explanation, &["outcome", "tenant", "refusal"]),
        [json!("refused"), tenant, response.json()["error"].clone()]
    );
    assert_eq!(explanation["attempts"], json!([]));
}

#[test]
fn explanation_of_an_unknown_key_has_no_tenant() {
    let control = Control::start();
    let router = start_router(&control);
    let request = post(&router, "/v1/completions")
        .header("Authorization", "Bearer wrong")
        .header("X-Request-Id", "wrong-1");
    assert_eq!(call(request.body(prompt(false)).unwrap()).status, 401);
    let explanation = explain(&router, "wrong-1");
    assert!(explanation["tenant"].is_null());
    assert_eq!(explanation["refusal"]["code"], "unknown_key");
}

#[test]
fn explanation_of_an_unknown_request_id_names_a_remedy() {
    let control = Control::start();
    let router = start_router(&control);
    let response = observe(&router, "/v1/explain/never");
    assert_eq!(response.status, 404);
    let message = response.error("message");
    assert!(message.as_str().unwrap().contains("query the router"));
}
