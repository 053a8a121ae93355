//! Sizes and times of a simulated deployment, and switches of its protection mechanisms.

use crate::engine::EngineProtections;
use millpass_checkers::Limits;

/// Microseconds per millisecond.
pub const MILLIS: u64 = 1_000;
/// Microseconds per second.
pub const SECONDS: u64 = 1_000_000;

/// Sizes of the deployment.
#[derive(Clone, Debug)]
pub struct Sizes {
    /// Zones.
    pub zones: usize,
    /// Control members.
    pub members: usize,
    /// Routers, spread over the zones.
    pub routers: usize,
    /// Engines, spread over the zones.
    pub engines: usize,
    /// Web back ends, spread over the zones.
    pub web: usize,
    /// Accelerators per engine.
    pub accelerators: usize,
    /// Memory of an accelerator, in bytes.
    pub accelerator_bytes: u64,
    /// Models.
    pub models: usize,
    /// Adapters of the model that has any.
    pub adapters: usize,
    /// Size of an adapter, in bytes.
    pub adapter_bytes: u64,
}

impl Default for Sizes {
    fn default() -> Self {
        Sizes {
            zones: 3,
            members: 5,
            routers: 4,
            engines: 6,
            web: 3,
            accelerators: 2,
            accelerator_bytes: 100_000,
            models: 5,
            adapters: 1,
            adapter_bytes: 6_000,
        }
    }
}

/// Times of the run, in microseconds.
#[derive(Clone, Debug)]
pub struct Times {
    /// Earliest time of a fault.
    pub faults_from: u64,
    /// All faults end.
    pub healed: u64,
    /// The audit log is requested.
    pub audit: u64,
    /// The run ends.
    pub run_end: u64,
    /// Interval between ticks of a core.
    pub tick: u64,
    /// Interval between reads of a watched back end.
    pub poll: u64,
    /// Time without a message after which a router closes its link to the control group.
    pub link_timeout: u64,
    /// Time without progress after which an attempt fails.
    pub attempt_timeout: u64,
    /// Time after which an order or an operator's call without a response times out.
    pub call_timeout: u64,
    /// Maximum lag of the platform's list.
    pub platform_lag: u64,
    /// Lag of load reports.
    pub report_lag: u64,
    /// Maximum lag of load reports while they are stale.
    pub stale_report_lag: u64,
    /// Time an engine takes to free the memory of a part.
    pub unload: u64,
    /// Time between the listing of a back end as leaving and its stop.
    pub leave_notice: u64,
}

impl Default for Times {
    fn default() -> Self {
        Times {
            faults_from: 2 * SECONDS,
            healed: 10 * SECONDS,
            audit: 18 * SECONDS,
            run_end: 20 * SECONDS,
            tick: 10 * MILLIS,
            poll: 200 * MILLIS,
            link_timeout: SECONDS,
            attempt_timeout: 2 * SECONDS,
            call_timeout: 1_500 * MILLIS,
            platform_lag: SECONDS,
            report_lag: 150 * MILLIS,
            stale_report_lag: 2 * SECONDS,
            unload: 80 * MILLIS,
            leave_notice: 8 * SECONDS,
        }
    }
}

/// Load of callers and operators.
#[derive(Clone, Debug)]
pub struct Load {
    /// Average time between two requests, in microseconds.
    pub request_interval: u64,
    /// Number of bursts, each for one model at all routers.
    pub bursts: usize,
    /// Requests per burst.
    pub burst_requests: usize,
    /// Operators that change the catalog concurrently.
    pub operators: usize,
    /// Maximum pause of an operator, in microseconds.
    pub operator_pause: u64,
    /// Objects that all operators change.
    pub contested_objects: usize,
    /// Permille of changes whose response is dropped, so that the operator resends them.
    pub resent_changes_permille: u64,
}

impl Default for Load {
    fn default() -> Self {
        Load {
            request_interval: 50 * MILLIS,
            bursts: 2,
            burst_requests: 16,
            operators: 2,
            operator_pause: 1_500 * MILLIS,
            contested_objects: 4,
            resent_changes_permille: 100,
        }
    }
}

/// Protection mechanisms that tests disable one at a time, to verify that the checkers report the
/// violations they prevent.
#[derive(Clone, Copy, Debug)]
pub struct Mechanisms {
    /// Mechanisms of the engines.
    pub engine: EngineProtections,
    /// Synced writes survive a kill of the process.
    pub synced_writes: bool,
    /// Routers check the send deadline immediately before they send an attempt.
    pub send_before: bool,
    /// Leases granted to routers expire.
    pub leases_expire: bool,
    /// Routers request claims from the control group; if off, every claim is granted locally.
    pub claims: bool,
    /// Routers report a failed attempt as not sent only if no byte was sent.
    pub accurate_failures: bool,
    /// Routers drop answers of attempts that have ended.
    pub drops_stale_attempts: bool,
    /// Routers receive catalog changes.
    pub catalog_changes: bool,
    /// Routers send refusals to callers.
    pub refusals: bool,
    /// Routers finish requests in flight before a planned stop.
    pub drains: bool,
    /// The scheduler observes the limits of the weight store.
    pub store_permits: bool,
    /// Earlier orders are periodically delivered again by a sender outside the system.
    pub replayed_orders: bool,
    /// All faults end at the time for it.
    pub healing: bool,
}

impl Default for Mechanisms {
    fn default() -> Self {
        Mechanisms {
            engine: EngineProtections::default(),
            synced_writes: true,
            send_before: true,
            leases_expire: true,
            claims: true,
            accurate_failures: true,
            drops_stale_attempts: true,
            catalog_changes: true,
            refusals: true,
            drains: true,
            store_permits: true,
            replayed_orders: false,
            healing: true,
        }
    }
}

/// Limits of the weight store, enforced by the scheduler's permits.
#[derive(Clone, Copy, Debug)]
pub struct StoreLimits {
    /// Maximum loads started per second.
    pub loads_per_second: u32,
    /// Maximum concurrent loads.
    pub concurrent_loads: u32,
}

/// Settings of a run besides its seed and fault plan.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Sizes.
    pub sizes: Sizes,
    /// Times.
    pub times: Times,
    /// Load.
    pub load: Load,
    /// Mechanisms.
    pub mechanisms: Mechanisms,
    /// Limits of the weight store.
    pub store: StoreLimits,
    /// Bounds enforced by the checkers.
    pub limits: Limits,
}

impl Default for Settings {
    fn default() -> Self {
        let store = StoreLimits {
            loads_per_second: 4,
            concurrent_loads: 6,
        };
        let limits = Limits {
            recovery_micros: 8 * SECONDS,
            // A permit used slightly late may fall within one second of the next ones.
            store_loads_per_second: store.loads_per_second as usize + 1,
            store_concurrent_loads: store.concurrent_loads as usize,
            maximum_operations: 200,
            ..Limits::default()
        };
        Settings {
            sizes: Sizes::default(),
            times: Times::default(),
            load: Load::default(),
            mechanisms: Mechanisms::default(),
            store,
            limits,
        }
    }
}
