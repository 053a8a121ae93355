//! Cost model for placements, in milliseconds of request delay.
//!
//! Weighs loading a model against evicting others and against waiting requests. As in
//! GreedyDual-Size-Frequency, models with the least demand relative to their reload cost go first.

/// Period over which the effects of a placement are counted, in seconds.
const HORIZON_SECONDS: f64 = 10.0;
/// Delay charged for a request that is not served at all, in milliseconds.
const UNSERVED_MILLIS: f64 = 5_000.0;
/// Factor applied to demand before a replica is removed, because demand rises faster than replicas
/// load, and one that is removed only to be loaded again costs its load twice.
const DEMAND_HEADROOM: f64 = 1.4;
/// Upper bound of utilization in the queueing model; delays diverge at 1.
const MAX_UTILIZATION: f64 = 0.95;

/// Weight of requests beyond the capacity of all replicas, relative to the queue of a fully
/// utilized replica. Must exceed 1, otherwise a further replica appears to lengthen the queues.
const OVERLOAD_WEIGHT: f64 = 2.0;

/// Returns the probability of a request within the horizon at `rate` requests a second.
pub(crate) fn request_probability(rate: f64) -> f64 {
    1.0 - (-rate * HORIZON_SECONDS).exp()
}

/// Returns the delay of the first request for a model, and of those after it, if it takes
/// `restore_millis` to reload.
pub(crate) fn reload_delay(rate: f64, restore_millis: f64) -> f64 {
    let delayed_requests = 1.0 + rate * restore_millis / 1_000.0;
    delayed_requests * restore_millis
}

/// Returns the delay saved by one more replica, where requests offer a load of `offered_load`
/// engines.
pub(crate) fn replica_gain(offered_load: f64, replicas: usize) -> f64 {
    queueing_delay(offered_load, replicas) - queueing_delay(offered_load, replicas + 1)
}

/// Returns the delay caused by removing one replica so that `others` remain.
pub(crate) fn replica_loss(offered_load: f64, others: usize) -> f64 {
    replica_gain(with_headroom(offered_load), others)
}

/// Returns the demand assumed for what is to be removed.
pub(crate) fn with_headroom(demand: f64) -> f64 {
    DEMAND_HEADROOM * demand
}

/// Returns the delay of requests queued at the replicas of a model, including requests beyond their
/// capacity.
fn queueing_delay(offered_load: f64, replicas: usize) -> f64 {
    let replicas = replicas.max(1) as f64;
    let queued = replicas * mean_queue((offered_load / replicas).min(MAX_UTILIZATION));
    let excess = (offered_load - MAX_UTILIZATION * replicas).max(0.0);
    let overload = excess * OVERLOAD_WEIGHT * mean_queue(MAX_UTILIZATION) / MAX_UTILIZATION;
    (queued + overload) * HORIZON_SECONDS * 1_000.0
}

/// Returns the mean queue length of an engine with deterministic service times (M/D/1).
fn mean_queue(utilization: f64) -> f64 {
    utilization * utilization / (1.0 - utilization) / 2.0
}

/// Returns the number of requests within the horizon at `rate` requests a second.
pub(crate) fn expected_requests(rate: f64) -> f64 {
    rate * HORIZON_SECONDS
}

/// Returns the delay charged for leaving `waiting` requests unserved.
pub(crate) fn unserved_delay(waiting: f64) -> f64 {
    waiting * UNSERVED_MILLIS
}
