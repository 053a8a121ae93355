//! Settings of the engine model.

use millpass_proto::{BackendName, CheckpointTier, Duration, EngineRole, Incarnation, ZoneName};

/// Everything that shapes one engine. Times are simulated time.
#[derive(Clone, Debug)]
pub struct EngineSettings {
    /// Name in the deployment.
    pub backend: BackendName,
    /// This run of the engine; the caller draws it.
    pub incarnation: Incarnation,
    /// Zone.
    pub zone: ZoneName,
    /// Role at the start.
    pub role: EngineRole,
    /// Memory of each accelerator, in bytes.
    pub accelerator_bytes: Vec<u64>,
    /// Speeds.
    pub timing: EngineTiming,
    /// Bounds.
    pub limits: EngineLimits,
    /// Checkpoint caches of the machine.
    pub checkpoints: CheckpointSettings,
    /// How late and how gappy reports and events are.
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

/// Bytes of one GiB.
pub const GIB: u64 = 1 << 30;

/// Speeds of an engine.
#[derive(Clone, Debug)]
pub struct EngineTiming {
    /// Time of one decode step of an empty batch.
    pub step_base: Duration,
    /// Time that each running request adds to a decode step.
    pub step_per_request: Duration,
    /// Time to prefill one prompt token that is not cached.
    pub prefill_per_token: Duration,
    /// Tokens of each request in one step of the model; more makes fewer, coarser steps.
    pub tokens_per_step: u32,
    /// Bytes a second from host memory to the accelerators.
    pub memory_bytes_per_second: u64,
    /// Bytes a second from disk to the accelerators.
    pub disk_bytes_per_second: u64,
    /// Fixed time of every load, beside the bytes.
    pub load_setup: Duration,
    /// Time to give back the memory of an unloaded model or adapter.
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

/// Bounds of an engine.
#[derive(Clone, Debug)]
pub struct EngineLimits {
    /// Most requests in the running batch of one slot.
    pub batch_slots: usize,
    /// Most requests waiting inside the engine, over all slots.
    pub waiting_requests: usize,
    /// Retry-After of a refusal for a full queue.
    pub retry_after: Duration,
    /// Most tokens of one response; more is cut to this.
    pub maximum_tokens: u32,
    /// Cache memory of one token.
    pub cache_bytes_per_token: u64,
    /// Most prompt tokens outside the cache that a decode engine prefills itself.
    pub decode_prefill_tokens: u32,
    /// Longest wait for running requests in an unload; `None` waits until they end.
    pub unload_timeout: Option<Duration>,
    /// Times a load asks the weight store again after "later"; then it fails.
    pub fetch_retries: u32,
    /// Most slots, gone ones not counted.
    pub slots: usize,
    /// Most adapters beside one slot, gone ones not counted.
    pub adapters_per_slot: usize,
    /// Slots that are gone or failed and still reported.
    pub reported_unloaded_slots: usize,
    /// Orders whose responses are remembered for resends.
    pub retained_orders: usize,
    /// Request identities and idempotency keys whose runs are counted.
    pub tracked_runs: usize,
    /// Cache events kept.
    pub retained_events: usize,
    /// Most cache events in one response.
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

/// Checkpoint caches of an engine's machine. They outlive the engine's process: what a
/// predecessor left is passed in `initial`.
#[derive(Clone, Debug)]
pub struct CheckpointSettings {
    /// Room in host memory, in bytes.
    pub memory_bytes: u64,
    /// Room on disk, in bytes.
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
    /// Size.
    pub bytes: u64,
    /// Where it is; `Remote` is ignored.
    pub tier: CheckpointTier,
}

/// How late and how gappy an engine publishes.
#[derive(Clone, Debug)]
pub struct PublishingSettings {
    /// Age of the state that a report shows.
    pub report_lag: Duration,
    /// Least time between two states kept for reports; a report may be older by this much.
    pub report_interval: Duration,
    /// Time until a cache event is published.
    pub event_lag: Duration,
    /// Cache events lost, of a thousand.
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
