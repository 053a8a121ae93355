//! Settings of the scheduler.

use millpass_proto::Duration;

/// Keep-alive strategy for idle replicas. All but `Adaptive` are baselines for experiments.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeepAlive {
    /// Keeps a replica while the expected cold start cost it avoids exceeds its idle cost.
    Adaptive,
    /// Keeps a replica for a fixed time after its last activity.
    Fixed(Duration),
    /// Keeps replicas until memory is needed, then evicts the least recently used.
    LeastRecentlyUsed,
    /// Never unloads replicas, even when memory is needed.
    AlwaysLoaded,
}

/// Settings of the scheduler.
///
/// The two weights set the trade-off between cold starts and idle accelerators. Only their ratio
/// matters: with 10 and 1, one second of cold start costs as much as ten idle accelerator seconds.
#[derive(Clone, Debug)]
pub struct SchedulerSettings {
    /// Cost of one second of cold start.
    pub cold_start_weight: u32,
    /// Cost of one idle accelerator second.
    pub idle_weight: u32,
    /// Maximum loads started from the weight store per second.
    pub store_loads_per_second: u32,
    /// Maximum concurrent loads from the weight store.
    pub store_concurrent_loads: u32,
    /// Rate of one load from the weight store, in bytes per second; used for estimates.
    pub store_bytes_per_second: u64,
    /// Rate of a load from the machine's disk, in bytes per second; used for estimates.
    pub disk_bytes_per_second: u64,
    /// Rate of a load from the machine's memory, in bytes per second; used for estimates.
    pub memory_bytes_per_second: u64,
    /// Keep-alive strategy for idle replicas.
    pub keep_alive: KeepAlive,
    /// Loads models ahead of likely arrivals; only with `KeepAlive::Adaptive`.
    pub prewarm: bool,
    /// Time for which a new leader collects router reports before it retires replicas.
    pub learning_period: Duration,
    /// Time for which a replica must be surplus before it is retired.
    pub scale_down_delay: Duration,
    /// Time after which a proposed command that is not visible in the state may be proposed again.
    pub proposal_expiry: Duration,
}

impl Default for SchedulerSettings {
    fn default() -> Self {
        SchedulerSettings {
            cold_start_weight: 3_600,
            idle_weight: 1,
            store_loads_per_second: 3,
            store_concurrent_loads: 6,
            store_bytes_per_second: 2_000_000_000,
            disk_bytes_per_second: 5_000_000_000,
            memory_bytes_per_second: 25_000_000_000,
            keep_alive: KeepAlive::Adaptive,
            prewarm: true,
            learning_period: Duration::from_secs(10),
            scale_down_delay: Duration::from_secs(30),
            proposal_expiry: Duration::from_secs(2),
        }
    }
}
