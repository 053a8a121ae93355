//! Sizes and times of a simulated deployment, and the switches of its protecting mechanisms.

use crate::engine::EngineProtections;
use millpass_checkers::Limits;

/// Microseconds of a millisecond.
pub const MILLIS: u64 = 1_000;
/// Microseconds of a second.
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
    /// Accelerators of an engine.
    pub accelerators: usize,
    /// Bytes of an accelerator.
    pub accelerator_bytes: u64,
    /// Models.
    pub models: usize,
    /// Adapters of the one model that has any.
    pub adapters: usize,
    /// Bytes of an adapter.
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
    /// First fault.
    pub faults_from: u64,
    /// Everything is mended.
    pub healed: u64,
    /// The audit log is read.
    pub audit: u64,
    /// The run ends.
    pub over: u64,
    /// Time between two ticks of a decision core.
    pub tick: u64,
    /// Time between two reads of a watched back end.
    pub poll: u64,
    /// Time after which a silent link to the control group is given up.
    pub link_timeout: u64,
    /// Time without progress after which an attempt is given up.
    pub attempt_timeout: u64,
    /// Time after which an unanswered order, operator's call or read counts as unanswered.
    pub call_timeout: u64,
    /// Lag of the platform's list, at most.
    pub platform_lag: u64,
    /// Lag of load reports.
    pub report_lag: u64,
    /// Lag of load reports in a stale phase.
    pub stale_report_lag: u64,
    /// Time that an engine takes to free a part's memory.
    pub unload: u64,
    /// Time between a back end's leaving and its stop.
    pub leave_notice: u64,
}

impl Default for Times {
    fn default() -> Self {
        Times {
            faults_from: 2 * SECONDS,
            healed: 10 * SECONDS,
            audit: 18 * SECONDS,
            over: 20 * SECONDS,
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

/// How much is asked.
#[derive(Clone, Debug)]
pub struct Load {
    /// Time between two requests, on average.
    pub request_interval: u64,
    /// Bursts for one model at all routers at once.
    pub bursts: usize,
    /// Requests of a burst.
    pub burst_requests: usize,
    /// Operators that change the catalog at the same time.
    pub operators: usize,
    /// Longest pause of an operator.
    pub operator_pause: u64,
    /// Objects that operators change.
    pub contested_objects: usize,
    /// Changes whose answer an operator pretends to have lost, of a thousand.
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

/// Protecting mechanisms that the harness can switch off, one at a time, to see that the
/// checkers report what the mechanism prevents.
#[derive(Clone, Copy, Debug)]
pub struct Mechanisms {
    /// The engines' own.
    pub engine: EngineProtections,
    /// Synced writes survive a kill.
    pub synced_writes: bool,
    /// The router's host checks the time right before it sends an attempt.
    pub send_before: bool,
    /// Leases that the leader gives are taken as they are; off, they never end.
    pub leases_end: bool,
    /// The router's host asks the control group for claims; off, it grants each itself.
    pub claims: bool,
    /// The router's host tells truly whether a byte may have left.
    pub honest_failures: bool,
    /// The router's host drops what comes of an attempt that is over.
    pub drops_old_attempts: bool,
    /// Routers are told what changed in the catalog.
    pub catalog_changes: bool,
    /// The router's host carries out refusals.
    pub refusals: bool,
    /// Routers and back ends finish what is in flight before a planned stop.
    pub drains: bool,
    /// The scheduler asks for a permit before each load from the weight store.
    pub store_permits: bool,
    /// Old orders are delivered again from time to time by a sender outside the system.
    pub rogue_orders: bool,
    /// What is broken is mended when the run says so.
    pub healing: bool,
}

impl Default for Mechanisms {
    fn default() -> Self {
        Mechanisms {
            engine: EngineProtections::default(),
            synced_writes: true,
            send_before: true,
            leases_end: true,
            claims: true,
            honest_failures: true,
            drops_old_attempts: true,
            catalog_changes: true,
            refusals: true,
            drains: true,
            store_permits: true,
            rogue_orders: false,
            healing: true,
        }
    }
}

/// Limits of the weight store, which the scheduler's permits keep.
#[derive(Clone, Copy, Debug)]
pub struct StoreLimits {
    /// Loads that start in a second.
    pub loads_per_second: u32,
    /// Loads that run at once.
    pub concurrent_loads: u32,
}

/// Everything that shapes a run beside its seed and fault plan.
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
    /// Bounds that the checkers hold the run to.
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
            // A permit may be used a moment late, the next one in time: one load more in a second.
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
