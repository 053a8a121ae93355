//! Tests of the engine's HTTP interface over loopback.

mod common;

use common::loopback::*;
use common::*;
use millpass_proto::*;
use millpass_standin::content::Completion;
use millpass_standin::engine::*;
use std::io::{BufRead, BufReader};

const PROMPT: &str = "write a listing nonce=abc-1 please";

fn start_loaded() -> EngineHandle {
    let mut front = EngineFront::default();
    front.front.time_scale = SCALE;
    let engine = start(small_settings(), &front).unwrap();
    let response = send_order(&engine, &order(1, load(1, 500, 400)));
    assert_eq!(response, OrderResponse::Accepted);
    wait_until(|| engine.current_report().slots[0].phase == EngineSlotPhase::Loaded);
    engine
}

fn send_order(engine: &EngineHandle, order: &EngineOrder) -> OrderResponse {
    let url = format!("http://{}/engine/orders", engine.address());
    let mut response = agent().post(&url).send_json(order).unwrap();
    response.body_mut().read_json().unwrap()
}

fn complete(
    engine: &EngineHandle,
    max_tokens: u32,
    stream: bool,
    headers: &[(&str, &str)],
) -> http::Response<ureq::Body> {
    let url = format!("http://{}/v1/completions", engine.address());
    let body = serde_json::json!({
        "model": MODEL, "prompt": PROMPT, "max_tokens": max_tokens, "stream": stream
    });
    let mut request = agent().post(&url);
    for (name, value) in headers {
        request = request.header(*name, *value);
    }
    request.send_json(body).unwrap()
}

/// Reads the text of a stream and whether it ended with `[DONE]`.
fn stream_text(response: http::Response<ureq::Body>) -> (String, bool) {
    let mut text = String::new();
    for line in BufReader::new(response.into_body().into_reader()).lines() {
        let Ok(line) = line else {
            return (text, false);
        };
        match line.strip_prefix("data: ") {
            Some("[DONE]") => return (text, true),
            Some(json) => {
                let event: serde_json::Value = serde_json::from_str(json).unwrap();
                text.push_str(event["choices"][0]["text"].as_str().unwrap_or_default());
            }
            None => {}
        }
    }
    (text, false)
}

fn expected() -> Completion {
    Completion::new(
        &ModelName::from(MODEL),
        &VersionLabel::from("1"),
        None,
        PROMPT,
    )
}

#[test]
fn streamed_and_full_completions_agree_and_contain_the_nonce() {
    let engine = start_loaded();
    let (streamed, is_done) = stream_text(complete(&engine, 7, true, &[]));
    assert!(is_done);
    assert!(expected().matches(0, 7, &streamed));
    assert!(streamed.starts_with("abc-1.0."));
    let mut whole = complete(&engine, 7, false, &[]);
    let json: serde_json::Value = whole.body_mut().read_json().unwrap();
    assert_eq!(json["choices"][0]["text"], streamed);
    assert_eq!(json["usage"]["completion_tokens"], 7);
    engine.stop();
}

#[test]
fn resumed_stream_contains_only_the_remaining_tokens() {
    let engine = start_loaded();
    let headers = [("millpass-resume-from", "4"), ("millpass-slot", "1")];
    let (tail, is_done) = stream_text(complete(&engine, 9, true, &headers));
    assert!(is_done);
    assert_eq!(tail, expected().text(4, 9));
    engine.stop();
}

#[test]
fn chat_completes_the_joined_prompt() {
    let engine = start_loaded();
    let url = format!("http://{}/v1/chat/completions", engine.address());
    let body = serde_json::json!({
        "model": MODEL, "max_tokens": 3, "messages": [{"role": "user", "content": PROMPT}]
    });
    let mut response = agent().post(&url).send_json(body).unwrap();
    let json: serde_json::Value = response.body_mut().read_json().unwrap();
    let prompt = millpass_standin::content::chat_prompt([("user", PROMPT)]);
    let model = ModelName::from(MODEL);
    let completion = Completion::new(&model, &VersionLabel::from("1"), None, &prompt);
    assert_eq!(
        json["choices"][0]["message"]["content"],
        completion.text(0, 3)
    );
    engine.stop();
}

#[rstest::rstest]
#[case::slot("millpass-slot", "9")]
#[case::incarnation("millpass-incarnation", "9")]
fn conflicts_are_refused_as_not_executed(#[case] name: &str, #[case] value: &str) {
    let engine = start_loaded();
    let response = complete(&engine, 3, true, &[(name, value)]);
    assert_eq!(response.status(), 409);
    assert_eq!(response.headers()["millpass-executed"], "no");
    assert_eq!(engine.audit().requests_started, 0);
    engine.stop();
}

#[test]
fn full_queue_is_refused_with_retry_after() {
    let mut settings = small_settings();
    settings.limits.waiting_requests = 0;
    let engine = start(settings, &EngineFront::default()).unwrap();
    send_order(&engine, &order(1, load(1, 500, 400)));
    wait_until(|| engine.current_report().slots[0].phase == EngineSlotPhase::Loaded);
    let response = complete(&engine, 3, false, &[]);
    assert_eq!(response.status(), 503);
    assert_eq!(response.headers()["millpass-executed"], "no");
    assert_eq!(response.headers()["retry-after"], "1");
    engine.stop();
}

#[test]
fn disconnect_and_delete_cancel_a_request() {
    let mut settings = small_settings();
    settings.timing.step_base = Duration::from_secs(1);
    let mut front = EngineFront::default();
    front.front.time_scale = SCALE;
    let engine = start(settings, &front).unwrap();
    send_order(&engine, &order(1, load(1, 500, 400)));
    wait_until(|| engine.current_report().slots[0].phase == EngineSlotPhase::Loaded);

    let response = complete(&engine, 300, true, &[]);
    drop(response);
    wait_until(|| engine.audit().requests_cancelled == 1);

    let response = complete(&engine, 300, true, &[("x-request-id", "second")]);
    let url = format!("http://{}/engine/requests/second", engine.address());
    assert_eq!(agent().delete(&url).call().unwrap().status(), 200);
    let (_, is_done) = stream_text(response);
    assert!(!is_done);
    assert_eq!(engine.audit().requests_cancelled, 2);
    engine.stop();
}

#[test]
fn adapter_in_the_model_name_changes_the_completion() {
    let engine = start_loaded();
    let adapter = OrderAction::LoadAdapter(LoadAdapterOrder {
        slot: SlotId(1),
        adapter: AdapterName::from("dealer"),
        bytes: 10,
        checkpoint: "dealer-1".to_owned(),
    });
    let complete_with_adapter = || {
        let url = format!("http://{}/v1/completions", engine.address());
        let model = format!("{MODEL}:dealer");
        let body = serde_json::json!({"model": model, "prompt": PROMPT, "max_tokens": 2});
        agent().post(&url).send_json(body).unwrap()
    };
    assert_eq!(complete_with_adapter().status(), 409);
    assert_eq!(
        send_order(&engine, &order(2, adapter)),
        OrderResponse::Accepted
    );
    wait_until(|| engine.audit().adapter_loads == 1);
    let json: serde_json::Value = complete_with_adapter().body_mut().read_json().unwrap();
    let (model, version) = (ModelName::from(MODEL), VersionLabel::from("1"));
    let dealer = AdapterName::from("dealer");
    let completion = Completion::new(&model, &version, Some(&dealer), PROMPT);
    assert_eq!(json["choices"][0]["text"], completion.text(0, 2));
    assert_ne!(completion, expected());
    engine.stop();
}

#[test]
fn cache_is_exported_and_imported_only_into_the_same_model() {
    let (first, second) = (start_loaded(), start_loaded());
    let prompt: String = (0..16).map(|word| format!("w{word} ")).collect();
    let url = format!("http://{}/v1/completions", first.address());
    let body = serde_json::json!({"model": MODEL, "prompt": prompt, "max_tokens": 1});
    agent().post(&url).send_json(body).unwrap();
    let hash = millpass_standin::content::prefix_blocks(None, &prompt)[0];
    let kv = |engine: &EngineHandle| format!("http://{}/engine/kv/{hash}", engine.address());
    assert_eq!(agent().get(&kv(&second)).call().unwrap().status(), 404);
    let mut exported = agent().get(&kv(&first)).call().unwrap();
    let bytes = exported.body_mut().read_to_vec().unwrap();
    let put = |bytes: &[u8]| {
        let request = agent().put(&kv(&second)).header("millpass-slot", "1");
        request.send(bytes).unwrap().status()
    };
    assert_eq!(put(b"kv of something else"), 409);
    assert_eq!(put(&bytes), 200);
    assert_eq!(agent().get(&kv(&second)).call().unwrap().status(), 200);
    first.stop();
    second.stop();
}

#[test]
fn report_over_http_matches_the_schema() {
    let engine = start_loaded();
    let url = format!("http://{}/engine/report", engine.address());
    let read = || -> EngineReport {
        let mut response = agent().get(&url).call().unwrap();
        response.body_mut().read_json().unwrap()
    };
    wait_until(|| {
        let report = read();
        report.slots.first().map(|slot| &slot.phase) == Some(&EngineSlotPhase::Loaded)
    });
    assert_eq!(read().highest_fence, fence(1));
    engine.stop();
}

#[test]
fn malformed_bodies_and_headers_are_refused_as_not_executed() {
    let engine = start_loaded();
    let url = format!("http://{}/v1/completions", engine.address());
    let response = agent().post(&url).send("{").unwrap();
    assert_eq!(response.status(), 400);
    let response = complete(&engine, 3, false, &[("millpass-priority", "urgent")]);
    assert_eq!(response.status(), 400);
    assert_eq!(response.headers()["millpass-executed"], "no");
    engine.stop();
}

#[test]
fn engines_in_one_process_are_independent() {
    let named = |number: u64| EngineSettings {
        backend: BackendName(format!("engine-{number}")),
        incarnation: Incarnation(number),
        ..small_settings()
    };
    let mut front = EngineFront::default();
    front.front.time_scale = SCALE;
    let engines = start_many((1..=20).map(named), &front).unwrap();
    send_order(&engines[0], &order(1, load(1, 500, 400)));
    wait_until(|| engines[0].audit().model_loads == 1);
    let response = send_order(&engines[1], &order(1, load(1, 500, 400)));
    assert!(matches!(response, OrderResponse::Rejected(_)));
    let (text, is_done) = stream_text(complete(&engines[0], 3, true, &[]));
    assert!(is_done && expected().matches(0, 3, &text));
    let loads: u64 = engines
        .iter()
        .map(|engine| engine.audit().model_loads)
        .sum();
    assert_eq!(loads, 1);
}
