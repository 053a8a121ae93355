//! Monitors a running fleet: replicas and accelerator memory in engine reports, resident memory, and
//! unexpected process exits.

use super::bounds;
use super::deployed::Fleet;
use super::product_files::MAXIMUM_REPLICAS;
use millpass_proto::{EngineReport, EngineSlotPhase, ModelName, SlotId};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

/// Interval between scans. The reports of one scan are read within the report lag of the engines,
/// so that a moving replica is not counted twice.
const INTERVAL: Duration = Duration::from_millis(200);
/// Request timeout per engine.
const TIMEOUT: Duration = Duration::from_millis(250);

/// Number of processes and resident bytes, by kind.
pub type MemoryByKind = BTreeMap<String, (usize, u64)>;

/// Results of the monitoring.
#[derive(Clone, Debug, Default)]
pub struct Observation {
    /// Distinct breaches.
    pub breaches: BTreeSet<String>,
    /// Observed replicas, by slot.
    pub replicas: BTreeMap<SlotId, ModelName>,
    /// Memory by kind of process, at the peak of the total.
    pub memory: MemoryByKind,
    /// Peak of the total resident memory, in bytes.
    pub peak_bytes: u64,
    /// Number of scans.
    pub scans: u64,
}

/// Scans the fleet until `stop` is set; sets `abort` when the fleet exceeds its memory bound.
pub fn observe(fleet: &Fleet, stop: &AtomicBool, abort: &AtomicBool) -> Observation {
    let config = ureq::Agent::config_builder()
        .proxy(None)
        .timeout_global(Some(TIMEOUT))
        .build();
    let agent = config.new_agent();
    let mut observation = Observation::default();
    while !stop.load(Ordering::Relaxed) {
        let next = Instant::now() + INTERVAL;
        let reports = fleet.layout.engines.iter().filter_map(|place| {
            let url = format!("http://{}/engine/report", place.listen);
            agent.get(&url).call().ok()?.body_mut().read_json().ok()
        });
        observation.check_reports(&reports.collect::<Vec<EngineReport>>());
        observation.check_processes(fleet, abort);
        thread::sleep(next.saturating_duration_since(Instant::now()));
    }
    observation
}

impl Observation {
    /// Checks reports that were read at about the same time.
    pub fn check_reports(&mut self, reports: &[EngineReport]) {
        self.scans += 1;
        let mut held: BTreeMap<&ModelName, usize> = BTreeMap::new();
        for report in reports {
            self.check_accelerator_memory(report);
            for slot in &report.slots {
                let holds_memory = matches!(
                    slot.phase,
                    EngineSlotPhase::Loading | EngineSlotPhase::Loaded | EngineSlotPhase::Unloading
                );
                if holds_memory {
                    *held.entry(&slot.model).or_default() += 1;
                    self.replicas.insert(slot.slot, slot.model.clone());
                }
            }
        }
        for (model, count) in held {
            if count > MAXIMUM_REPLICAS as usize {
                self.breaches.insert(format!(
                    "replicas: {count} of {model} at once, {MAXIMUM_REPLICAS} allowed"
                ));
            }
        }
    }

    fn check_accelerator_memory(&mut self, report: &EngineReport) {
        let accelerators = report.used_bytes.iter().zip(&report.accelerator_bytes);
        for (index, (used, capacity)) in accelerators.enumerate() {
            if used > capacity {
                let backend = &report.backend;
                self.breaches.insert(format!(
                    "memory: {used} of {capacity} bytes on {backend}, accelerator {index}"
                ));
            }
        }
    }

    fn check_processes(&mut self, fleet: &Fleet, abort: &AtomicBool) {
        let mut children = fleet.lock();
        children.reap();
        for exit in children.unexpected_exits() {
            self.breaches.insert(format!("process: {exit}"));
        }
        let memory = children.resident_by_kind();
        drop(children);
        let sum = memory.values().map(|(_, bytes)| bytes).sum();
        if sum > self.peak_bytes {
            self.peak_bytes = sum;
            self.memory = memory;
        }
        if let Err(error) = bounds::check_running(&fleet.deployment, sum) {
            self.breaches.insert(error.to_string());
            abort.store(true, Ordering::Relaxed);
        }
    }
}
