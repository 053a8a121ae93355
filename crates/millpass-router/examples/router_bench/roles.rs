//! What the child processes run.

use crate::common::ENGINE_RUN;
use anyhow::{Result, ensure};
use millpass_proto::{
    BackendName, EngineOrder, LoadModelOrder, LogPosition, OrderAction, OrderResponse, SlotId,
};
use millpass_router::RouterProcessSettings;
use millpass_standin::engine::{EngineFront, EngineHandle, EngineSettings, start};
use std::io::Read;
use std::net::SocketAddr;
use std::time::Duration;

/// Requests at once that the engine takes, so that neither it nor the router queues any.
pub const CONCURRENCY: u32 = 4_096;
/// Time for a token of the engine that streams.
pub const STREAM_TOKEN_TIME: Duration = Duration::from_millis(20);
/// Time for a token of the engine that answers short requests.
pub const SHORT_TOKEN_TIME: Duration = Duration::from_micros(1);

/// Tells the parent the address, then runs until the parent closes standard input.
fn announce_and_wait(address: SocketAddr) -> Result<()> {
    println!("{address}");
    std::io::stdin().read_to_end(&mut Vec::new())?;
    Ok(())
}

/// An engine with the model in this slot, and this time for a token.
pub fn run_engine(slot: SlotId, token_time: Duration) -> Result<()> {
    let mut settings = EngineSettings {
        backend: engine_name(slot),
        incarnation: ENGINE_RUN,
        ..EngineSettings::default()
    };
    settings.limits.batch_slots = CONCURRENCY as usize;
    settings.limits.waiting_requests = CONCURRENCY as usize;
    settings.limits.cache_bytes_per_token = 1;
    settings.timing.step_base = token_time;
    settings.timing.step_per_request = Duration::ZERO;
    settings.timing.prefill_per_token = Duration::ZERO;
    settings.timing.load_setup = Duration::ZERO;
    let mut front = EngineFront::default();
    front.front.executor_threads = 2;
    let engine = start(settings, &front)?;
    load_model(&engine, slot)?;
    announce_and_wait(engine.address())
}

fn engine_name(slot: SlotId) -> BackendName {
    BackendName(format!("engine-{slot}"))
}

fn load_model(engine: &EngineHandle, slot: SlotId) -> Result<()> {
    let order = EngineOrder {
        fence: LogPosition { term: 1, index: 1 },
        backend: engine_name(slot),
        incarnation: ENGINE_RUN,
        action: OrderAction::LoadModel(LoadModelOrder {
            slot,
            model: "writer".into(),
            version: "v1".into(),
            accelerators: vec![0],
            weights_bytes: 1,
            cache_bytes: 1 << 30,
            checkpoint: "writer-v1".to_owned(),
        }),
    };
    let url = format!("http://{}/engine/orders", engine.address());
    let answer: OrderResponse = ureq::post(&url).send_json(&order)?.body_mut().read_json()?;
    ensure!(
        answer == OrderResponse::Accepted,
        "the order got {answer:?}"
    );
    while engine.audit().model_loads == 0 {
        std::thread::sleep(Duration::from_millis(1));
    }
    Ok(())
}

/// A router with its settings as they come.
pub fn run_router(control: SocketAddr) -> Result<()> {
    let router = millpass_router::start(RouterProcessSettings {
        control_members: vec![control],
        ..RouterProcessSettings::default()
    })?;
    announce_and_wait(router.address())
}
