//! Main functions of the child processes.

use crate::common::ENGINE_INCARNATION;
use anyhow::{Result, ensure};
use millpass_proto::{
    BackendName, EngineOrder, LoadModelOrder, LogPosition, OrderAction, OrderResponse, SlotId,
};
use millpass_router::RouterProcessSettings;
use millpass_standin::engine::{EngineFront, EngineHandle, EngineSettings, start};
use std::io::Read;
use std::net::SocketAddr;
use std::time::Duration;

/// Concurrency limit of the engine, high enough that requests are never queued.
pub const CONCURRENCY: u32 = 4_096;
/// Time per token of the engine for streams.
pub const STREAM_TOKEN_TIME: Duration = Duration::from_millis(20);
/// Time per token of the engine for short requests.
pub const SHORT_TOKEN_TIME: Duration = Duration::from_micros(1);

/// Prints the address, then waits until the parent closes standard input.
fn announce_and_wait(address: SocketAddr) -> Result<()> {
    println!("{address}");
    std::io::stdin().read_to_end(&mut Vec::new())?;
    Ok(())
}

/// Runs an engine with the model loaded in `slot`.
pub fn run_engine(slot: SlotId, token_time: Duration) -> Result<()> {
    let mut settings = EngineSettings {
        backend: engine_name(slot),
        incarnation: ENGINE_INCARNATION,
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
        incarnation: ENGINE_INCARNATION,
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
    let response: OrderResponse = ureq::post(&url).send_json(&order)?.body_mut().read_json()?;
    ensure!(
        response == OrderResponse::Accepted,
        "order rejected: {response:?}"
    );
    while engine.audit().model_loads == 0 {
        std::thread::sleep(Duration::from_millis(1));
    }
    Ok(())
}

/// Runs a router with default settings.
pub fn run_router(control: SocketAddr) -> Result<()> {
    let router = millpass_router::start(RouterProcessSettings {
        control_members: vec![control],
        ..RouterProcessSettings::default()
    })?;
    announce_and_wait(router.address())
}
