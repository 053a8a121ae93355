//! Counters of an engine's run.

use millpass_proto::{BackendName, EngineAudit, Incarnation, RepeatedRun, TenantName};
use std::collections::{BTreeMap, VecDeque};

/// Most repeated runs listed.
pub const MAXIMUM_LISTED: usize = 256;

/// The audit of an engine that did nothing yet. The model counts in it; figures that it can
/// derive stay at zero until the audit is read.
pub fn blank_audit(backend: BackendName, incarnation: Incarnation) -> EngineAudit {
    EngineAudit {
        backend,
        incarnation,
        memory_overcommits: 0,
        peak_used_bytes: Vec::new(),
        wrong_slot_requests: 0,
        stale_fences: 0,
        wrong_incarnations: 0,
        conflicting_fences: 0,
        orders_accepted: 0,
        orders_rejected: 0,
        model_loads: 0,
        adapter_loads: 0,
        failed_loads: 0,
        requests_started: 0,
        requests_resumed: 0,
        requests_finished: 0,
        requests_cancelled: 0,
        requests_refused: 0,
        requests_cut: 0,
        preemptions: 0,
        tokens: 0,
        repeated_keys: Vec::new(),
        repeated_requests: Vec::new(),
        loaded_accelerator_millis: 0,
        idle_accelerator_millis: 0,
        forgotten_runs: 0,
    }
}

/// Runs by tenant and key, bounded: the keys seen first are forgotten first.
#[derive(Clone, Debug)]
pub struct RunCounts {
    bound: usize,
    runs: BTreeMap<(TenantName, String), u64>,
    order: VecDeque<(TenantName, String)>,
    repeated: BTreeMap<(TenantName, String), u64>,
    forgotten: u64,
}

impl RunCounts {
    /// Remembers at most `bound` keys.
    pub fn new(bound: usize) -> Self {
        RunCounts {
            bound: bound.max(1),
            runs: BTreeMap::new(),
            order: VecDeque::new(),
            repeated: BTreeMap::new(),
            forgotten: 0,
        }
    }

    /// Counts one run; gives the number of runs of this key so far.
    pub fn count(&mut self, tenant: &TenantName, key: &str) -> u64 {
        let place = (tenant.clone(), key.to_owned());
        let runs = self.runs.entry(place.clone()).or_insert(0);
        *runs += 1;
        let total = *runs;
        if total == 1 {
            self.remember(place);
        } else if self.repeated.len() < MAXIMUM_LISTED || self.repeated.contains_key(&place) {
            self.repeated.insert(place, total);
        }
        total
    }

    /// Keys forgotten for want of room.
    pub fn forgotten(&self) -> u64 {
        self.forgotten
    }

    /// Keys that ran more than once, bounded.
    pub fn repeated(&self) -> Vec<RepeatedRun> {
        self.repeated
            .iter()
            .map(|((tenant, key), runs)| RepeatedRun {
                tenant: tenant.clone(),
                key: key.clone(),
                runs: *runs,
            })
            .collect()
    }

    fn remember(&mut self, place: (TenantName, String)) {
        self.order.push_back(place);
        if self.order.len() <= self.bound {
            return;
        }
        if let Some(oldest) = self.order.pop_front() {
            self.runs.remove(&oldest);
            self.forgotten += 1;
        }
    }
}
