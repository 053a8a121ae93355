//! Settings of the engine model.

use millpass_proto::{BackendName, CheckpointTier, Duration, EngineRole, Incarnation, ZoneName};

/// Settings of one engine. Times are simulated time.
#[derive(Clone, Debug)]
pub struct EngineSettings {
    /// Name in the deployment.
    pub backend: BackendName,
    /// Incarnation of this run, chosen by the caller.
    pub incarnation: Incarnation,
    /// Zone of the machine.
    pub zone: ZoneName,
    /// Initial role.
    pub role: EngineRole,
    /// Memory of each accelerator, in bytes.
    pub accelerator_bytes: Vec<u64>,
    /// Speeds and delays.
    pub timing: EngineTiming,
    /// Capacity limits.
    pub limits: EngineLimits,
    /// Checkpoint caches of the machine.
    pub checkpoints: CheckpointSettings,
    /// Lag and loss of reports and events.
    pub publishing: PublishingSettings,
}

impl Default for EngineSettings {
    fn default() -> Self {
        EngineSettings {
            backend: BackendName::from("engine-1"),
            incarnation: Incarnation(1),
            zone: ZoneName::from("zone-1"),
            role: EngineRole::Mixed,
            accelerator_bytes: vec![80 * GIB],
            timing: EngineTiming::default(),
            limits: EngineLimits::default(),
            checkpoints: CheckpointSettings::default(),
            publishing: PublishingSettings::default(),
        }
    }
}

/// Bytes in one GiB.
pub const GIB: u64 = 1 << 30;

/// Speeds and delays of an engine.
#[derive(Clone, Debug)]
pub struct EngineTiming {
    /// Fixed time of one decode step.
    pub step_base: Duration,
    /// Additional time of a decode step per running request.
    pub step_per_request: Duration,
    /// Prefill time per prompt token that is not cached.
    pub prefill_per_token: Duration,
    /// Tokens per request and model step; higher values make steps fewer and coarser.
    pub tokens_per_step: u32,
    /// Bytes per second from host memory to the accelerators.
    pub memory_bytes_per_second: u64,
    /// Bytes per second from disk to the accelerators.
    pub disk_bytes_per_second: u64,
    /// Fixed time of every load, in addition to the transfer.
    pub load_setup: Duration,
    /// Time to free the memory of an unloaded model or adapter.
    pub unload_time: Duration,
}

impl Default for EngineTiming {
    fn default() -> Self {
        EngineTiming {
            step_base: Duration::from_millis(12),
            step_per_request: Duration::from_micros(250),
            prefill_per_token: Duration::from_micros(150),
            tokens_per_step: 1,
            memory_bytes_per_second: 20 * GIB,
            disk_bytes_per_second: 3 * GIB,
            load_setup: Duration::from_millis(400),
            unload_time: Duration::from_millis(200),
        }
    }
}

/// Capacity limits of an engine.
#[derive(Clone, Debug)]
pub struct EngineLimits {
    /// Maximum number of requests in the running batch of one slot.
    pub batch_slots: usize,
    /// Maximum number of waiting requests over all slots.
    pub waiting_requests: usize,
    /// Retry-After of requests refused because the queue is full.
    pub retry_after: Duration,
    /// Maximum number of tokens of one completion; longer ones are truncated.
    pub maximum_tokens: u32,
    /// Cache memory per token.
    pub cache_bytes_per_token: u64,
    /// Maximum number of uncached prompt tokens that a decode engine prefills itself.
    pub decode_prefill_tokens: u32,
    /// Time after which an unload aborts running requests; `None` waits until they end.
    pub unload_timeout: Option<Duration>,
    /// Maximum number of retries that the weight store may ask for before a load fails.
    pub fetch_retries: u32,
    /// Maximum number of slots, not counting unloaded and failed ones.
    pub slots: usize,
    /// Maximum number of adapters per slot, not counting unloaded and failed ones.
    pub adapters_per_slot: usize,
    /// Maximum number of unloaded and failed slots that are still reported.
    pub reported_unloaded_slots: usize,
    /// Maximum number of orders whose responses are retained for resends.
    pub retained_orders: usize,
    /// Maximum number of request ids, and of idempotency keys, whose runs are counted.
    pub tracked_runs: usize,
    /// Maximum number of retained cache events.
    pub retained_events: usize,
    /// Maximum number of cache events in one response.
    pub events_per_response: usize,
}

impl Default for EngineLimits {
    fn default() -> Self {
        EngineLimits {
            batch_slots: 32,
            waiting_requests: 128,
            retry_after: Duration::from_secs(1),
            maximum_tokens: 4_096,
            cache_bytes_per_token: 128 * 1024,
            decode_prefill_tokens: 64,
            unload_timeout: None,
            fetch_retries: 20,
            slots: 64,
            adapters_per_slot: 256,
            reported_unloaded_slots: 64,
            retained_orders: 256,
            tracked_runs: 65_536,
            retained_events: 1_024,
            events_per_response: 256,
        }
    }
}

/// Checkpoint caches of an engine's machine. They outlive the engine's process: `initial` passes on what a
/// predecessor left.
#[derive(Clone, Debug)]
pub struct CheckpointSettings {
    /// Capacity in host memory, in bytes.
    pub memory_bytes: u64,
    /// Capacity on disk, in bytes.
    pub disk_bytes: u64,
    /// Checkpoints present at the start.
    pub initial: Vec<InitialCheckpoint>,
}

impl Default for CheckpointSettings {
    fn default() -> Self {
        CheckpointSettings {
            memory_bytes: 64 * GIB,
            disk_bytes: 512 * GIB,
            initial: Vec::new(),
        }
    }
}

/// A checkpoint present at the start.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InitialCheckpoint {
    /// Name in the weight store.
    pub checkpoint: String,
    /// Size of the checkpoint.
    pub bytes: u64,
    /// Tier that holds it; `Remote` is ignored.
    pub tier: CheckpointTier,
}

/// Lag and loss of published reports and events.
#[derive(Clone, Debug)]
pub struct PublishingSettings {
    /// Delay with which reports show the state.
    pub report_lag: Duration,
    /// Minimum time between two states recorded for reports; a report may be older by this much.
    pub report_interval: Duration,
    /// Delay with which cache events are published.
    pub event_lag: Duration,
    /// Lost cache events per thousand.
    pub lost_events_per_thousand: u64,
    /// Seed that decides which events are lost.
    pub seed: u64,
}

impl Default for PublishingSettings {
    fn default() -> Self {
        PublishingSettings {
            report_lag: Duration::from_millis(300),
            report_interval: Duration::from_millis(50),
            event_lag: Duration::from_millis(500),
            lost_events_per_thousand: 20,
            seed: 1,
        }
    }
}
