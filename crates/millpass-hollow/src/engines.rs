//! Hollow engines and the platform list, behind one HTTP server.
//!
//! All engines share one address; an order names its engine. Hollow routers read the reports in
//! memory instead of over HTTP.

use anyhow::{Context, Result};
use http::{Method, StatusCode};
use millpass_http::{Handler, Request, Responder, Response, Server, ServerHandle, ServerSettings};
use millpass_proto::*;
use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration as StdDuration, Instant};

/// Accelerators per engine, and bytes of memory of each.
const ACCELERATORS: usize = 4;
const ACCELERATOR_BYTES: u64 = 80 << 30;
/// Number of zones of engines and routers.
pub const ZONES: usize = 8;

/// State of one engine.
struct Engine {
    highest_fence: LogPosition,
    slots: BTreeMap<SlotId, Slot>,
}

struct Slot {
    report: EngineSlotReport,
    ready_at: Instant,
}

/// All hollow engines.
pub struct Engines {
    started: Instant,
    load_time: StdDuration,
    checkpoints: usize,
    engines: BTreeMap<BackendName, Mutex<Engine>>,
    /// Distinct accepted orders.
    pub orders: AtomicU64,
    machines: Mutex<Vec<u8>>,
}

/// A running set of hollow engines.
pub struct EnginesHandle {
    /// The engines.
    pub engines: Arc<Engines>,
    server: ServerHandle,
}

impl EnginesHandle {
    /// Returns the address of the platform list.
    pub fn address(&self) -> String {
        self.server.local_address().to_string()
    }
}

impl Drop for EnginesHandle {
    fn drop(&mut self) {
        self.server.stop();
    }
}

/// Starts `count` engines and their server.
pub fn start(count: usize, load_time: StdDuration, checkpoints: usize) -> Result<EnginesHandle> {
    let names = (0..count).map(engine_name);
    let engines = names.map(|name| {
        let engine = Engine {
            highest_fence: LogPosition::ZERO,
            slots: BTreeMap::new(),
        };
        (name, Mutex::new(engine))
    });
    let engines = Arc::new(Engines {
        started: Instant::now(),
        load_time,
        checkpoints,
        engines: engines.collect(),
        orders: AtomicU64::new(0),
        machines: Mutex::default(),
    });
    let listen = "127.0.0.1:0".parse().context("address")?;
    let settings = ServerSettings {
        name: "hollow-engines".to_owned(),
        executor_threads: 1,
        handler_threads: 16,
        ..ServerSettings::default()
    };
    let server = Server::bind(listen, settings)?.serve(engines.clone());
    *engines.machines() = machine_list(count, &server.local_address().to_string())?;
    Ok(EnginesHandle { engines, server })
}

fn engine_name(number: usize) -> BackendName {
    format!("engine-{number:05}").into()
}

/// Returns the zone of the engine or router with this number.
pub fn zone_name(number: usize) -> ZoneName {
    format!("zone-{}", number % ZONES).into()
}

fn machine_list(count: usize, address: &str) -> Result<Vec<u8>> {
    let machines = (0..count).map(|number| PlatformMachine {
        backend: engine_name(number),
        kind: BackendKind::Engine,
        group: None,
        zone: zone_name(number),
        address: address.to_owned(),
        state: BackendState::Live,
    });
    let list = PlatformList {
        sequence: 1,
        machines: machines.collect(),
    };
    Ok(serde_json::to_vec(&list)?)
}

impl Handler for Engines {
    fn handle(&self, request: Request, responder: Responder) {
        let body = match (request.method, request.uri.path()) {
            (Method::GET, "/machines") => Some(self.machines().clone()),
            (Method::POST, "/engine/orders") => serde_json::from_slice(&request.body)
                .ok()
                .and_then(|order| serde_json::to_vec(&self.handle_order(&order)).ok()),
            _ => None,
        };
        responder.send(match body {
            Some(body) => Response::with_type(StatusCode::OK, "application/json", body.into()),
            None => Response::text(StatusCode::NOT_FOUND, "unknown"),
        });
    }
}

impl Engines {
    /// Handles an order as a real engine does.
    pub fn handle_order(&self, order: &EngineOrder) -> OrderResponse {
        let Some(mut engine) = self.engine(&order.backend) else {
            return OrderResponse::Rejected("no such engine".to_owned());
        };
        if order.fence < engine.highest_fence {
            return OrderResponse::StaleFence(engine.highest_fence);
        }
        if order.fence > engine.highest_fence {
            engine.highest_fence = order.fence;
            engine.execute(order, Instant::now() + self.load_time);
            self.orders.fetch_add(1, Ordering::Relaxed);
        }
        OrderResponse::Accepted
    }

    /// Returns the current report of an engine; `None` if there is no such engine.
    pub fn report(&self, backend: &BackendName, zone: ZoneName) -> Option<EngineReport> {
        let engine = self.engine(backend)?;
        let now = Instant::now();
        let checkpoint = |number: usize| CheckpointReport {
            checkpoint: format!("model-{number:03}/v1"),
            tier: CheckpointTier::Disk,
        };
        Some(EngineReport {
            backend: backend.clone(),
            incarnation: Incarnation(1),
            zone,
            role: EngineRole::Mixed,
            sequence: now.duration_since(self.started).as_micros() as u64,
            highest_fence: engine.highest_fence,
            accelerator_bytes: vec![ACCELERATOR_BYTES; ACCELERATORS],
            used_bytes: vec![ACCELERATOR_BYTES / 2; ACCELERATORS],
            slots: engine
                .slots
                .values()
                .map(|slot| slot.current_report(now))
                .collect(),
            checkpoints: (0..self.checkpoints).map(checkpoint).collect(),
        })
    }

    fn engine(&self, backend: &BackendName) -> Option<MutexGuard<'_, Engine>> {
        let engine = self.engines.get(backend)?;
        Some(engine.lock().unwrap_or_else(PoisonError::into_inner))
    }

    fn machines(&self) -> MutexGuard<'_, Vec<u8>> {
        self.machines.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Slot {
    fn current_report(&self, now: Instant) -> EngineSlotReport {
        let mut report = self.report.clone();
        if now >= self.ready_at {
            report.phase = finished(report.phase);
            for adapter in &mut report.adapters {
                adapter.phase = finished(adapter.phase.clone());
            }
        }
        report
    }
}

fn finished(phase: EngineSlotPhase) -> EngineSlotPhase {
    match phase {
        EngineSlotPhase::Loading => EngineSlotPhase::Loaded,
        EngineSlotPhase::Unloading => EngineSlotPhase::Unloaded,
        other => other,
    }
}

impl Engine {
    fn execute(&mut self, order: &EngineOrder, ready_at: Instant) {
        match &order.action {
            OrderAction::LoadModel(load) => {
                let report = EngineSlotReport {
                    slot: load.slot,
                    model: load.model.clone(),
                    version: load.version.clone(),
                    fence: order.fence,
                    phase: EngineSlotPhase::Loading,
                    adapters: Vec::new(),
                    running: 0,
                    waiting: 0,
                };
                self.slots.insert(load.slot, Slot { report, ready_at });
            }
            OrderAction::UnloadModel(slot) => {
                if let Some(slot) = self.slots.get_mut(slot) {
                    slot.report.fence = order.fence;
                    slot.report.phase = EngineSlotPhase::Unloaded;
                }
            }
            OrderAction::LoadAdapter(load) => {
                self.set_adapter(
                    load.slot,
                    &load.adapter,
                    order.fence,
                    EngineSlotPhase::Loading,
                );
                if let Some(slot) = self.slots.get_mut(&load.slot) {
                    slot.report.phase = finished(slot.report.phase.clone());
                    slot.ready_at = ready_at;
                }
            }
            OrderAction::UnloadAdapter(unload) => {
                let phase = EngineSlotPhase::Unloaded;
                self.set_adapter(unload.slot, &unload.adapter, order.fence, phase);
            }
            OrderAction::ChangeRole(_) => {}
        }
    }

    fn set_adapter(
        &mut self,
        slot: SlotId,
        adapter: &AdapterName,
        fence: LogPosition,
        phase: EngineSlotPhase,
    ) {
        let Some(slot) = self.slots.get_mut(&slot) else {
            return;
        };
        let adapters = &mut slot.report.adapters;
        adapters.retain(|known| known.adapter != *adapter);
        adapters.push(EngineAdapterReport {
            adapter: adapter.clone(),
            fence,
            phase,
        });
    }
}
