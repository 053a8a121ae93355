//! Audit counters of an engine.

use millpass_proto::{BackendName, EngineAudit, Incarnation};

/// Returns an audit with all counters at zero. The model counts in it; derived values stay at zero until
/// the audit is read.
pub fn empty_audit(backend: BackendName, incarnation: Incarnation) -> EngineAudit {
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
