//! The engine stand-in returns the responses that callers expect.

use millpass_load::answer::AnswerVerdict;
use millpass_load::caller::{CallContext, call, client};
use millpass_load::{Outcome, PlannedRequest, Target};
use millpass_proto::*;
use millpass_standin::engine::{EngineFront, EngineHandle, EngineSettings, start};
use rstest::rstest;
use std::time::Duration;

const START_TIMEOUT: Duration = Duration::from_secs(10);

fn loaded_engine() -> EngineHandle {
    let mut settings = EngineSettings::default();
    settings.timing.load_setup = Duration::ZERO;
    settings.timing.step_base = Duration::from_micros(100);
    let engine = start(settings, &EngineFront::default()).expect("started");
    let order = EngineOrder {
        fence: LogPosition { term: 1, index: 1 },
        backend: "engine-1".into(),
        incarnation: Incarnation(1),
        action: OrderAction::LoadModel(LoadModelOrder {
            slot: SlotId(1),
            model: "writer".into(),
            version: "v1".into(),
            accelerators: vec![0],
            weights_bytes: 1,
            cache_bytes: 1 << 30,
            checkpoint: "writer@v1".to_owned(),
        }),
    };
    let url = format!("http://{}/engine/orders", engine.address());
    ureq::post(&url).send_json(&order).expect("ordered");
    let started = std::time::Instant::now();
    while engine.audit().model_loads == 0 {
        assert!(started.elapsed() < START_TIMEOUT, "not loaded");
        std::thread::sleep(Duration::from_millis(1));
    }
    engine
}

#[rstest]
#[case::completion(false, false)]
#[case::streamed_completion(false, true)]
#[case::chat(true, false)]
#[case::streamed_chat(true, true)]
fn response_is_complete(#[case] chat: bool, #[case] streamed: bool) {
    let engine = loaded_engine();
    let planned = PlannedRequest {
        request: 1,
        due_micros: 0,
        tenant: 0,
        router: 0,
        urgency: Urgency::Normal,
        deadline_millis: 10_000,
        burst: false,
        nonce: "n1".to_owned(),
        target: Target::Tokens {
            model: "writer".into(),
            version: "v1".into(),
            adapter: None,
            chat,
            streamed,
            prompt: "some words nonce=n1".to_owned(),
            tokens: 12,
        },
    };
    let address = engine.address().to_string();
    let context = CallContext {
        router: &address,
        api_key: "key",
        request_id: "n1.1",
        key: None,
        time_left: Duration::from_secs(10),
        grace: Duration::from_secs(1),
    };
    let result = call(&client(), &planned, &context);
    let verdict = match &result.outcome {
        Outcome::Answered { verdict, .. } => Some(*verdict),
        _ => None,
    };
    assert_eq!(verdict, Some(AnswerVerdict::Whole), "{result:?}");
    assert_eq!(result.tokens, 12);
}
