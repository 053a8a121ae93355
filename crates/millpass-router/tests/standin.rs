//! The router with the engine stand-in, whose audit counts the requests that ran.

mod common;

use common::control::Control;
use common::{
    CallerResponse, ENGINE_INCARNATION, call, completion, completion_to, post, read_until,
    send_raw, start_router, wait_until,
};
use millpass_proto::*;
use millpass_router::RouterHandle;
use millpass_standin::content;
use millpass_standin::engine::{EngineFront, EngineHandle, EngineSettings, start};
use rstest::rstest;

/// Simulated seconds per real second.
const TIME_SCALE: f64 = 50.0;
/// Tokens of a request that outlasts any test.
const UNBOUNDED_TOKENS: u32 = 1_000_000;
const PROMPT: &str = "describe the flat nonce=n-1";

/// Starts an engine with `writer` loaded in slot 1, and a router that serves it.
fn start_with_engine() -> (EngineHandle, Control, RouterHandle) {
    let mut settings = EngineSettings {
        incarnation: ENGINE_INCARNATION,
        ..EngineSettings::default()
    };
    settings.limits.maximum_tokens = UNBOUNDED_TOKENS;
    settings.limits.cache_bytes_per_token = 1;
    let mut front = EngineFront::default();
    front.front.time_scale = TIME_SCALE;
    let engine = start(settings, &front).expect("the engine starts");
    load_writer(&engine);
    let control = Control::start();
    control.add_replica(1, engine.address());
    let router = start_router(&control);
    (engine, control, router)
}

fn load_writer(engine: &EngineHandle) {
    let order = EngineOrder {
        fence: LogPosition { term: 1, index: 1 },
        backend: "engine-1".into(),
        incarnation: ENGINE_INCARNATION,
        action: OrderAction::LoadModel(LoadModelOrder {
            slot: SlotId(1),
            model: "writer".into(),
            version: "v1".into(),
            accelerators: vec![0],
            weights_bytes: 1 << 20,
            cache_bytes: 1 << 30,
            checkpoint: "writer-v1".to_owned(),
        }),
    };
    let url = format!("http://{}/engine/orders", engine.address());
    let mut response = common::agent().post(&url).send_json(order).unwrap();
    let response: OrderResponse = response.body_mut().read_json().unwrap();
    assert_eq!(response, OrderResponse::Accepted);
    wait_until("loaded", || {
        engine.current_report().slots[0].phase == EngineSlotPhase::Loaded
    });
}

fn body(tokens: u32, stream: bool) -> String {
    let body = serde_json::json!({
        "model": "writer", "prompt": PROMPT, "max_tokens": tokens, "stream": stream
    });
    body.to_string()
}

/// Returns the requests started, finished, and ended early by a cancellation or the forwarded
/// deadline.
fn request_counts(engine: &EngineHandle) -> (u64, u64, u64) {
    let audit = engine.audit();
    (
        audit.requests_started,
        audit.requests_finished,
        audit.requests_cancelled + audit.requests_cut,
    )
}

#[rstest]
#[case::whole(false)]
#[case::streamed(true)]
fn response_is_complete_and_runs_once(#[case] stream: bool) {
    let (engine, _control, router) = start_with_engine();
    let response = call(completion(&router).body(body(12, stream)).unwrap());
    assert_eq!(response.status, 200);
    let text = if stream {
        response.tokens().concat()
    } else {
        text_of(&response)
    };
    let expected = content::Answer::new(&"writer".into(), &"v1".into(), None, PROMPT);
    assert!(expected.is_whole(0, 12, &text), "{text}");
    assert_eq!(request_counts(&engine), (1, 1, 0));
}

fn text_of(response: &CallerResponse) -> String {
    let text = response.json()["choices"][0]["text"].clone();
    text.as_str().expect("a text").to_owned()
}

#[rstest]
#[case::whole(false)]
#[case::streamed(true)]
fn disconnect_cancels_the_request_at_the_engine(#[case] stream: bool) {
    let (engine, _control, router) = start_with_engine();
    let caller = send_raw(
        &router,
        "/v1/completions",
        "",
        &body(UNBOUNDED_TOKENS, stream),
    );
    if stream {
        read_until(&caller, "data: ");
    }
    wait_until("request running", || request_counts(&engine) == (1, 0, 0));
    drop(caller);
    wait_until("request cancelled", || {
        request_counts(&engine) == (1, 0, 1) && engine.audit().requests_cancelled == 1
    });
    let response = call(completion(&router).body(body(3, false)).unwrap());
    assert_eq!(response.status, 200);
    assert_eq!(request_counts(&engine), (2, 1, 1));
}

#[test]
fn deadline_in_flight_ends_the_request_at_the_engine() {
    let (engine, _control, router) = start_with_engine();
    let request = completion(&router).header("Millpass-Deadline-Ms", "200");
    let response = call(request.body(body(UNBOUNDED_TOKENS, false)).unwrap());
    assert_eq!(
        (response.status, response.error("executed").as_str()),
        (504, Some("unknown"))
    );
    wait_until("request ended", || request_counts(&engine) == (1, 0, 1));
}

#[rstest]
#[case::malformed(completion_with, "{\"model\":", 400)]
#[case::unknown_model(completion_with, "{\"model\":\"none\",\"prompt\":\"a\"}", 404)]
#[case::denied(completion_with, "{\"model\":\"secret\",\"prompt\":\"a\"}", 403)]
#[case::wrong_key(wrong_key, "{\"model\":\"writer\",\"prompt\":\"a\"}", 401)]
fn refused_request_is_not_started_at_the_engine(
    #[case] request: fn(&RouterHandle) -> http::request::Builder,
    #[case] body: &str,
    #[case] status: u16,
) {
    let (engine, _control, router) = start_with_engine();
    let response = call(request(&router).body(body.to_owned()).unwrap());
    assert_eq!(
        (response.status, response.error("executed").as_str()),
        (status, Some("no"))
    );
    let served = call(
        completion_to(router.address())
            .body(self::body(3, false))
            .unwrap(),
    );
    assert_eq!(served.status, 200);
    assert_eq!(request_counts(&engine), (1, 1, 0));
}

fn completion_with(router: &RouterHandle) -> http::request::Builder {
    completion(router)
}

fn wrong_key(router: &RouterHandle) -> http::request::Builder {
    post(router, "/v1/completions").header("Authorization", "Bearer wrong")
}
