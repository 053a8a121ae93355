//! Compared strategies: the adaptive one at several weights, and the baselines.

use crate::deployment::{Deployment, Weights};
use crate::fleet::{DISK_BYTES_PER_SECOND, MEMORY_BYTES_PER_SECOND, STORE_BYTES_PER_SECOND};
use millpass_proto::Duration;
use millpass_scheduler::{KeepAlive, SchedulerSettings};

/// Keep-alive times of the fixed baseline.
const FIXED_KEEP_ALIVE_SECONDS: [u64; 6] = [300, 900, 1_800, 3_600, 7_200, 14_400];
/// Cold-start weights of the adaptive strategy, at an idle weight of 1.
const ADAPTIVE_COLD_START_WEIGHTS: [u32; 5] = [100, 300, 1_000, 3_000, 10_000];

/// Strategies that form one curve.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Family {
    /// Adaptive keep-alive, as used in production.
    Adaptive,
    /// Fixed keep-alive time.
    Fixed,
    /// Eviction of the least recently used model.
    LeastRecentlyUsed,
    /// Models stay loaded.
    AlwaysLoaded,
}

impl Family {
    /// Returns the name in reports.
    pub fn label(self) -> &'static str {
        match self {
            Family::Adaptive => "adaptive",
            Family::Fixed => "fixed keep-alive",
            Family::LeastRecentlyUsed => "least recently used",
            Family::AlwaysLoaded => "always loaded",
        }
    }
}

/// One strategy with its parameter.
#[derive(Clone, Debug)]
pub struct Strategy {
    /// Curve that the strategy belongs to.
    pub family: Family,
    /// Parameter, for reports.
    pub parameter: String,
    /// Whether the weights are those of the deployment description.
    pub stated: bool,
    /// Scheduler settings.
    pub settings: SchedulerSettings,
}

/// Returns all strategies to compare for a deployment.
pub fn strategies(deployment: &Deployment) -> Vec<Strategy> {
    let mut strategies = vec![
        baseline(
            deployment,
            Family::AlwaysLoaded,
            KeepAlive::AlwaysLoaded,
            String::new(),
        ),
        baseline(
            deployment,
            Family::LeastRecentlyUsed,
            KeepAlive::LeastRecentlyUsed,
            String::new(),
        ),
    ];
    for seconds in FIXED_KEEP_ALIVE_SECONDS {
        let keep_alive = KeepAlive::Fixed(Duration::from_secs(seconds));
        let parameter = format!("{seconds} s");
        strategies.push(baseline(deployment, Family::Fixed, keep_alive, parameter));
    }
    let stated = deployment.weights;
    for cold_start in ADAPTIVE_COLD_START_WEIGHTS {
        strategies.push(adaptive(
            deployment,
            Weights {
                cold_start,
                idle: 1,
            },
            false,
        ));
    }
    strategies.push(adaptive(deployment, stated, true));
    strategies
}

fn baseline(
    deployment: &Deployment,
    family: Family,
    keep_alive: KeepAlive,
    parameter: String,
) -> Strategy {
    Strategy {
        family,
        parameter,
        stated: false,
        settings: SchedulerSettings {
            keep_alive,
            ..common_settings(deployment)
        },
    }
}

fn adaptive(deployment: &Deployment, weights: Weights, stated: bool) -> Strategy {
    Strategy {
        family: Family::Adaptive,
        parameter: format!("{} : {}", weights.cold_start, weights.idle),
        stated,
        settings: SchedulerSettings {
            cold_start_weight: weights.cold_start,
            idle_weight: weights.idle,
            keep_alive: KeepAlive::Adaptive,
            ..common_settings(deployment)
        },
    }
}

/// Returns the settings common_settings to all strategies: store limits and load speeds.
fn common_settings(deployment: &Deployment) -> SchedulerSettings {
    SchedulerSettings {
        store_loads_per_second: deployment.store.loads_per_second,
        store_concurrent_loads: deployment.store.concurrent_loads,
        store_bytes_per_second: STORE_BYTES_PER_SECOND,
        disk_bytes_per_second: DISK_BYTES_PER_SECOND,
        memory_bytes_per_second: MEMORY_BYTES_PER_SECOND,
        ..SchedulerSettings::default()
    }
}
