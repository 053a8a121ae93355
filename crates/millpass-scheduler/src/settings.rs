//! Settings of the scheduler.

use millpass_proto::Duration;

/// How idle replicas are kept. All but `Adaptive` are plain baselines for experiments.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeepAlive {
    /// Kept while the expected cold start that it spares outweighs the idle time it costs.
    Adaptive,
    /// Kept for a fixed time after the last activity.
    Fixed(Duration),
    /// Kept until memory is needed; the least recently used goes first.
    LeastRecentlyUsed,
    /// Never unloaded, not even when memory is needed.
    AlwaysLoaded,
}

/// Settings of the scheduler.
///
/// The two weights state the trade between cold starts and idle accelerators: a second that a
/// request waits for a cold model costs `cold_start_weight`, an idle accelerator second costs
/// `idle_weight`. Only their ratio matters: with 10 and 1, a second of cold start is worth ten
/// seconds of an idle accelerator.
#[derive(Clone, Debug)]
pub struct SchedulerSettings {
    /// Weight of a second of cold start against idle accelerator time; see above.
    pub cold_start_weight: u32,
    /// Weight of an idle accelerator second.
    pub idle_weight: u32,
    /// Loads the weight store allows a second.
    pub store_loads_per_second: u32,
    /// Loads the weight store serves at once at full speed.
    pub store_concurrent_loads: u32,
    /// Bytes a second of one load at full speed, to estimate waits.
    pub store_bytes_per_second: u64,
    /// Bytes a second of a load from the machine's disk, to estimate waits.
    pub disk_bytes_per_second: u64,
    /// Bytes a second of a load from the machine's memory, to estimate waits.
    pub memory_bytes_per_second: u64,
    /// How idle replicas are kept.
    pub keep_alive: KeepAlive,
    /// Whether models are loaded ahead of a likely arrival; with `KeepAlive::Adaptive` only.
    pub prewarm: bool,
    /// How long a new leader listens to routers before it retires anything.
    pub learning_period: Duration,
    /// How long a replica must be superfluous before it is retired beside others that serve.
    pub scale_down_delay: Duration,
    /// How long a proposed command counts as under way when the state does not show it.
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
