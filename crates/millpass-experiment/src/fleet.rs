//! The engines and the weight store, driven in virtual time.
//!
//! Uses the models of the stand-ins, so loads, batching, caches, report lag and idle time are the
//! same as in a fleet of processes.

use crate::catalog::{Catalog, INCARNATION};
use crate::deployment::Deployment;
use millpass_proto::{Duration, EngineAudit, EngineOrder, EngineReport, StoreAudit, Timestamp};
use millpass_standin::engine::{
    CheckpointSettings, EngineInput, EngineModel, EngineOutput, EngineRequest, EngineSettings,
    EngineTiming, FetchId, FetchResult,
};
use millpass_standin::weight_store::{
    StoreInput, StoreOutput, TransferId, WeightStoreModel, WeightStoreSettings,
};
use std::collections::BTreeMap;

/// Full speed of one load from the weight store. Lower than in deployment descriptions, which
/// shorten runs of real processes; keep-alive matters for loads that take minutes.
pub const STORE_BYTES_PER_SECOND: u64 = 2_000_000_000;
/// Speed of a load from local disk.
pub const DISK_BYTES_PER_SECOND: u64 = 3_000_000_000;
/// Speed of a load from host memory.
pub const MEMORY_BYTES_PER_SECOND: u64 = 20_000_000_000;
/// Tokens per step of the engine model; coarse steps keep simulations of several days fast.
const TOKENS_PER_STEP: u32 = 64;
const MAXIMUM_WAITING_TRANSFERS: usize = 256;
/// Time until an engine's change is visible in its reports, including the report interval.
const REPORT_DELAY: Duration = Duration::from_millis(350);

/// All engines and the weight store.
pub struct Fleet {
    engines: Vec<Engine>,
    store: WeightStoreModel,
    transfers: BTreeMap<TransferId, (usize, FetchId)>,
    next_transfer: u64,
    outputs: Vec<EngineOutput>,
}

struct Engine {
    model: EngineModel,
    wake: Option<Timestamp>,
    /// Time until which reports must be read to cover all changes; `None` if all are read.
    reports_due_until: Option<Timestamp>,
}

impl Fleet {
    /// Creates engines without loaded models and with empty caches.
    pub fn new(deployment: &Deployment, catalog: &Catalog) -> Self {
        let engines = catalog.engines.iter();
        let engines = engines.map(|(backend, zone)| {
            let settings = EngineSettings {
                backend: backend.clone(),
                incarnation: INCARNATION,
                zone: zone.clone(),
                accelerator_bytes: vec![
                    deployment.engine.accelerator_bytes;
                    deployment.engine.accelerators
                ],
                timing: timing(),
                checkpoints: CheckpointSettings {
                    memory_bytes: deployment.engine.checkpoint_memory_bytes,
                    disk_bytes: deployment.engine.checkpoint_disk_bytes,
                    initial: Vec::new(),
                },
                ..EngineSettings::default()
            };
            Engine {
                model: EngineModel::new(settings, Timestamp::ZERO),
                wake: None,
                reports_due_until: Some(Timestamp::ZERO),
            }
        });
        let store = WeightStoreSettings {
            loads_per_second: deployment.store.loads_per_second,
            full_speed_loads: deployment.store.concurrent_loads,
            bytes_per_second: STORE_BYTES_PER_SECOND,
            waiting_loads: MAXIMUM_WAITING_TRANSFERS,
        };
        Fleet {
            engines: engines.collect(),
            store: WeightStoreModel::new(store, Timestamp::ZERO),
            transfers: BTreeMap::new(),
            next_transfer: 1,
            outputs: Vec::new(),
        }
    }

    /// Returns the earliest time at which an engine or the store is due.
    pub fn next_wake(&self) -> Option<Timestamp> {
        let engines = self.engines.iter().filter_map(|engine| engine.wake);
        engines.chain(self.store.next_wake()).min()
    }

    /// Advances engines and store to `now`; returns the results of requests.
    pub fn advance(&mut self, now: Timestamp) -> Vec<EngineOutput> {
        if self.store.next_wake().is_some_and(|wake| wake <= now) {
            self.step_store(now, StoreInput::Tick);
        }
        for index in 0..self.engines.len() {
            if self.engines[index].wake.is_some_and(|wake| wake <= now) {
                self.step_engine(now, index, EngineInput::Tick);
            }
        }
        std::mem::take(&mut self.outputs)
    }

    /// Sends an order to an engine.
    pub fn order(&mut self, now: Timestamp, engine: usize, order: EngineOrder) {
        self.step_engine(now, engine, EngineInput::Order(order));
    }

    /// Sends a request to an engine.
    pub fn submit(&mut self, now: Timestamp, engine: usize, request: EngineRequest) {
        self.step_engine(now, engine, EngineInput::Submit(request));
    }

    /// Returns the delayed load reports of engines that changed since the last read.
    pub fn read_reports(&mut self, now: Timestamp) -> Vec<EngineReport> {
        let mut reports = Vec::new();
        for engine in &mut self.engines {
            let Some(until) = engine.reports_due_until else {
                continue;
            };
            reports.push(engine.model.report(now));
            if until <= now {
                engine.reports_due_until = None;
            }
        }
        reports
    }

    /// Returns the audit counters of each engine.
    pub fn audits(&self, now: Timestamp) -> Vec<EngineAudit> {
        let engines = self.engines.iter();
        engines.map(|engine| engine.model.audit(now)).collect()
    }

    /// Returns the audit counters of the store.
    pub fn store_audit(&self) -> StoreAudit {
        self.store.audit()
    }

    fn step_engine(&mut self, now: Timestamp, index: usize, input: EngineInput) {
        let engine = &mut self.engines[index];
        let outputs = engine.model.step(now, input);
        engine.wake = engine.model.next_wake();
        engine.reports_due_until = Some(now + REPORT_DELAY);
        for output in outputs {
            match output {
                EngineOutput::Fetch { fetch, bytes, .. } => self.fetch(now, index, fetch, bytes),
                EngineOutput::AbandonFetch(fetch) => self.abandon(now, index, fetch),
                EngineOutput::Started(_)
                | EngineOutput::Refused(..)
                | EngineOutput::Finished(..) => self.outputs.push(output),
                EngineOutput::Tokens { .. }
                | EngineOutput::OrderResponse(_)
                | EngineOutput::CacheImported(_) => {}
            }
        }
    }

    fn step_store(&mut self, now: Timestamp, input: StoreInput) {
        for output in self.store.step(now, input) {
            let (transfer, result) = match output {
                StoreOutput::Done(transfer) => (transfer, FetchResult::Done),
                StoreOutput::Refused(transfer, pause) => (transfer, FetchResult::RetryAfter(pause)),
            };
            if let Some((engine, fetch)) = self.transfers.remove(&transfer) {
                self.step_engine(now, engine, EngineInput::FetchEnded(fetch, result));
            }
        }
    }

    fn fetch(&mut self, now: Timestamp, engine: usize, fetch: FetchId, bytes: u64) {
        let transfer = TransferId(self.next_transfer);
        self.next_transfer += 1;
        self.transfers.insert(transfer, (engine, fetch));
        self.step_store(now, StoreInput::Request(transfer, bytes));
    }

    fn abandon(&mut self, now: Timestamp, engine: usize, fetch: FetchId) {
        let mut transfers = self.transfers.iter();
        let found = transfers.find(|(_, requester)| **requester == (engine, fetch));
        if let Some(transfer) = found.map(|(transfer, _)| *transfer) {
            self.transfers.remove(&transfer);
            self.step_store(now, StoreInput::Abandon(transfer));
        }
    }
}

fn timing() -> EngineTiming {
    EngineTiming {
        tokens_per_step: TOKENS_PER_STEP,
        memory_bytes_per_second: MEMORY_BYTES_PER_SECOND,
        disk_bytes_per_second: DISK_BYTES_PER_SECOND,
        ..EngineTiming::default()
    }
}
