//! Looks at the fleet while it runs: replicas and memory by the engines' reports, the processes'
//! own memory, and processes that end by themselves.

use super::bounds;
use super::deployed::Fleet;
use super::product_files::MAXIMUM_REPLICAS;
use millpass_proto::{EngineReport, EngineSlotPhase, ModelName, SlotId};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

/// Time between two looks. All reports of one look are read well within the engines' report lag,
/// so that a replica which moves is not counted twice.
const INTERVAL: Duration = Duration::from_millis(200);
/// Longest wait for one engine.
const TIMEOUT: Duration = Duration::from_millis(250);

/// Processes and memory of one kind.
pub type MemoryByKind = BTreeMap<String, (usize, u64)>;

/// What was seen.
#[derive(Clone, Debug, Default)]
pub struct Observation {
    /// Breaches, each once.
    pub breaches: BTreeSet<String>,
    /// Replicas seen, by their slots.
    pub replicas: BTreeMap<SlotId, ModelName>,
    /// Memory by kind of process at the look with the largest sum.
    pub memory: MemoryByKind,
    /// Largest sum of resident memory.
    pub peak_bytes: u64,
    /// Looks.
    pub looks: u64,
}

/// Looks until told to stop; tells the run to stop when the fleet outgrows its bound.
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
        observation.judge(&reports.collect::<Vec<EngineReport>>());
        observation.look_at_processes(fleet, abort);
        thread::sleep(next.saturating_duration_since(Instant::now()));
    }
    observation
}

impl Observation {
    /// Judges reports taken at about the same time.
    pub fn judge(&mut self, reports: &[EngineReport]) {
        self.looks += 1;
        let mut held: BTreeMap<&ModelName, usize> = BTreeMap::new();
        for report in reports {
            self.judge_memory(report);
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

    fn judge_memory(&mut self, report: &EngineReport) {
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

    fn look_at_processes(&mut self, fleet: &Fleet, abort: &AtomicBool) {
        let mut children = fleet.lock();
        children.reap();
        for end in children.unexpected_exits() {
            self.breaches.insert(format!("process: {end}"));
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
