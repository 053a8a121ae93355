//! Figures of a comparison, as written to JSON.

use crate::experiment::{Comparison, StrategyResult};
use crate::metrics::Times;
use serde::Serialize;

/// Figures of all strategies.
#[derive(Clone, Debug, Serialize)]
pub struct Figures {
    /// Deployment.
    pub deployment: String,
    /// Seeds.
    pub seeds: String,
    /// Days measured per seed.
    pub days: usize,
    /// Concurrent loads that the weight store serves at full speed.
    pub store_concurrent_loads: u32,
    /// Loads that the weight store starts per second.
    pub store_loads_per_second: u32,
    /// Strategies.
    pub strategies: Vec<StrategyFigures>,
}

/// Figures of one strategy.
#[derive(Clone, Debug, Serialize)]
pub struct StrategyFigures {
    /// Family.
    pub family: String,
    /// Parameter.
    pub parameter: String,
    /// Whether the weights are those of the deployment description.
    pub stated: bool,
    /// Requests served or refused.
    pub requests: u64,
    /// Share of cold requests, without batches.
    pub cold_share: f64,
    /// Cold-start time over all requests, without batches.
    pub cold_start: Quantiles,
    /// Cold-start time over cold requests only, without batches.
    pub cold_only: Quantiles,
    /// Cold-start time of batch requests.
    pub batch_cold_start: Quantiles,
    /// Waiting times for any reason, without batches.
    pub wait: Quantiles,
    /// Idle accelerator hours per day.
    pub idle_hours_a_day: f64,
    /// Loaded accelerator hours per day.
    pub loaded_hours_a_day: f64,
    /// Requests refused.
    pub refused: u64,
    /// Requests not finished at the end of the run.
    pub unfinished: u64,
    /// Model loads per day, from any tier.
    pub model_loads_a_day: f64,
    /// Loads from the weight store per day.
    pub store_loads_a_day: f64,
    /// Most concurrent loads at the weight store.
    pub store_most_at_once: u64,
    /// Jain's fairness index of the served share of tenants.
    pub fairness: f64,
    /// Largest p99 cold-start time of any tenant, in seconds.
    pub worst_tenant_p99_seconds: f64,
    /// Violations counted by the engines.
    pub breaches: u64,
    /// Lowest baseline p99 cold-start time with at most these idle hours; adaptive only.
    pub baseline_p99_seconds: Option<f64>,
    /// Ratio of the p99 cold-start time to that baseline.
    pub cold_ratio: Option<f64>,
    /// Lowest baseline idle hours per day with at most this p99 cold-start time; adaptive only.
    pub baseline_idle_hours_a_day: Option<f64>,
    /// Ratio of the idle hours to that baseline.
    pub idle_ratio: Option<f64>,
}

/// Quantiles, in seconds.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Quantiles {
    /// Median.
    pub p50: f64,
    /// 99th percentile.
    pub p99: f64,
    /// 99.9th percentile.
    pub p999: f64,
    /// Mean.
    pub mean: f64,
}

impl Quantiles {
    fn new(times: &Times) -> Self {
        Quantiles {
            p50: times.quantile_seconds(0.5),
            p99: times.quantile_seconds(0.99),
            p999: times.quantile_seconds(0.999),
            mean: times.mean_seconds(),
        }
    }
}

impl Figures {
    /// Computes the figures of a comparison.
    pub fn new(comparison: &Comparison) -> Self {
        let results = comparison.results.iter();
        Figures {
            deployment: comparison.deployment.name.clone(),
            seeds: comparison.seeds.to_string(),
            days: comparison.days,
            store_concurrent_loads: comparison.deployment.store.concurrent_loads,
            store_loads_per_second: comparison.deployment.store.loads_per_second,
            strategies: results
                .map(|one| strategy_figures(comparison, one))
                .collect(),
        }
    }

    /// Returns the strategies of a family without the deployment's own weights.
    pub fn family(&self, family: &str) -> Vec<&StrategyFigures> {
        let strategies = self.strategies.iter();
        strategies
            .filter(|one| one.family == family && !one.stated)
            .collect()
    }
}

fn strategy_figures(comparison: &Comparison, result: &StrategyResult) -> StrategyFigures {
    let measured = &result.measurements;
    let point = result.point();
    let adaptive = result.strategy.family == crate::strategies::Family::Adaptive;
    let baselines = comparison.baselines();
    let baseline_p99 = baselines.cold_at(point.idle).filter(|_| adaptive);
    let baseline_idle = baselines.idle_at(point.cold).filter(|_| adaptive);
    let loaded_hours = measured.loaded_millis as f64 / 3_600_000.0;
    StrategyFigures {
        family: result.strategy.family.label().to_owned(),
        parameter: result.strategy.parameter.clone(),
        stated: result.strategy.stated,
        requests: measured.requests,
        cold_share: measured.cold_only.count() as f64 / measured.cold_start.count().max(1) as f64,
        cold_start: Quantiles::new(&measured.cold_start),
        cold_only: Quantiles::new(&measured.cold_only),
        batch_cold_start: Quantiles::new(&measured.batch_cold_start),
        wait: Quantiles::new(&measured.wait),
        idle_hours_a_day: point.idle,
        loaded_hours_a_day: loaded_hours / measured.days,
        refused: measured.refused,
        unfinished: measured.unfinished,
        model_loads_a_day: measured.model_loads as f64 / measured.days,
        store_loads_a_day: measured.store_loads as f64 / measured.days,
        store_most_at_once: measured.store_most_at_once,
        fairness: measured.fairness(),
        worst_tenant_p99_seconds: measured.worst_tenant_p99(),
        breaches: measured.breaches,
        baseline_p99_seconds: baseline_p99,
        cold_ratio: baseline_p99.and_then(|baseline| ratio(point.cold, baseline)),
        baseline_idle_hours_a_day: baseline_idle,
        idle_ratio: baseline_idle.and_then(|baseline| ratio(point.idle, baseline)),
    }
}

/// Returns `own / baseline`; `None` if the baseline is zero.
fn ratio(own: f64, baseline: f64) -> Option<f64> {
    (baseline > 0.0).then(|| own / baseline)
}
