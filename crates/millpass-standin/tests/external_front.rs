//! Tests of the HTTP interfaces of the weight store, web back end and platform list.

mod common;

use common::loopback::*;
use millpass_proto::*;
use millpass_standin::run::ScaledClock;
use millpass_standin::{content, engine, platform, web, weight_store};

#[test]
fn store_refuses_transfers_when_its_queue_is_full() {
    let settings = weight_store::WeightStoreSettings {
        loads_per_second: 1,
        waiting_loads: 0,
        ..Default::default()
    };
    let store = weight_store::start(settings, &fast()).unwrap();
    let address = store.address();
    let response = agent()
        .get(&format!("http://{address}/checkpoints/a?bytes=1"))
        .call()
        .unwrap();
    assert_eq!(response.status(), 429);
    assert!(response.headers().contains_key("retry-after"));
    let audit: StoreAudit = get(&format!("http://{address}/audit"));
    assert_eq!(audit.refused, 1);
    store.stop();
}

#[test]
fn store_responds_after_the_transfer_and_can_be_slowed() {
    let settings = weight_store::WeightStoreSettings {
        bytes_per_second: 1_000,
        ..Default::default()
    };
    let store = weight_store::start(settings, &fast()).unwrap();
    let address = store.address().to_string();
    let slow = format!("http://{address}/faults/slow");
    let response = agent().post(&slow).send(r#"{"factor": 2}"#).unwrap();
    assert_eq!(response.status(), 200);
    let access = weight_store::StoreAccess::At(address.clone());
    let clock = ScaledClock::start(SCALE);
    let result = weight_store::fetch(&access, clock, "models/a b", 5_000);
    assert_eq!(result, engine::FetchResult::Done);
    assert!(clock.now() >= Timestamp::from_millis(10_000));
    let audit: StoreAudit = get(&format!("http://{address}/audit"));
    assert_eq!((audit.finished, audit.bytes), (1, 5_000));
    store.stop();
}

#[test]
fn web_pages_are_a_function_of_the_path_and_runs_are_counted() {
    let web = web::start(web::WebSettings::default(), &fast(), None).unwrap();
    let base = format!("http://{}", web.address());
    let mut page = agent().get(&format!("{base}/results/7")).call().unwrap();
    let text = page.body_mut().read_to_string().unwrap();
    assert_eq!(text, content::page("/results/7"));
    for _ in 0..2 {
        let charge = agent().post(&format!("{base}/charge/5"));
        let charge = charge
            .header("idempotency-key", "k")
            .header("millpass-tenant", "t");
        assert_eq!(charge.send_empty().unwrap().status(), 200);
    }
    let other_run = agent().post(&format!("{base}/charge/5"));
    let other_run = other_run.header("millpass-incarnation", "9").send_empty();
    let other_run = other_run.unwrap();
    assert_eq!(other_run.status(), 409);
    assert_eq!(other_run.headers()["millpass-executed"], "no");
    let unknown = agent().post(&format!("{base}/results/7"));
    assert_eq!(unknown.send_empty().unwrap().status(), 404);
    let audit: WebAudit = get(&format!("{base}/web/audit"));
    assert_eq!((audit.once_runs, audit.once_keys), (2, 1));
    assert_eq!(audit.repeated_keys[0].runs, 2);
    let report: WebReport = get(&format!("{base}/web/report"));
    assert_eq!(report.backend, BackendName::from("web-1"));
    web.stop();
}

#[test]
fn machines_register_depart_and_are_removed() {
    let list = platform::start(platform::PlatformSettings::default(), &fast()).unwrap();
    let address = list.address().to_string();
    let front = engine::EngineFront {
        front: fast(),
        platform: Some(address.clone()),
        ..Default::default()
    };
    let engine = engine::start(engine::EngineSettings::default(), &front).unwrap();
    let web = web::start(web::WebSettings::default(), &fast(), Some(&address)).unwrap();
    let url = format!("http://{address}/machines");
    wait_until(|| get::<PlatformList>(&url).machines.len() == 2);
    let machines = get::<PlatformList>(&url).machines;
    assert_eq!(machines[0].address, engine.address().to_string());
    let leaving = agent().post(&format!("{url}/web-1/leaving"));
    assert_eq!(leaving.send_empty().unwrap().status(), 200);
    assert_eq!(list.current().machines[1].state, BackendState::Leaving);
    engine.leave(Duration::ZERO, Duration::from_secs(1));
    assert_eq!(list.current().machines.len(), 1);
    web.stop();
    list.stop();
}

#[test]
fn engine_loads_through_the_store() {
    let store = weight_store::start(Default::default(), &fast()).unwrap();
    let front = engine::EngineFront {
        front: fast(),
        store: weight_store::StoreAccess::At(store.address().to_string()),
        platform: None,
    };
    let engine = engine::start(engine::EngineSettings::default(), &front).unwrap();
    let load = EngineOrder {
        fence: LogPosition { term: 1, index: 1 },
        backend: BackendName::from("engine-1"),
        incarnation: Incarnation(1),
        action: OrderAction::LoadModel(LoadModelOrder {
            slot: SlotId(1),
            model: ModelName::from("narrator"),
            version: VersionLabel::from("1"),
            accelerators: vec![0],
            weights_bytes: 1 << 30,
            cache_bytes: 1 << 30,
            checkpoint: "narrator-1".to_owned(),
        }),
    };
    let url = format!("http://{}/engine/orders", engine.address());
    agent().post(&url).send_json(&load).unwrap();
    wait_until(|| engine.current_report().slots[0].phase == EngineSlotPhase::Loaded);
    let audit: StoreAudit = get(&format!("http://{}/audit", store.address()));
    assert_eq!(audit.finished, 1);
    let report = engine.current_report();
    assert_eq!(report.checkpoints[0].tier, CheckpointTier::Memory);
    engine.stop();
    store.stop();
}
