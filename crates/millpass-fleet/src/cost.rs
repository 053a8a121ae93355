//! What a placement costs and saves, in one unit: milliseconds by which requests are delayed.
//!
//! Everything that takes part in an exchange is weighed in it: the load itself, the models that make
//! way, and the requests that wait. As in GreedyDual-Size-Frequency, what may go first is what is asked
//! for least, weighed by what it takes to bring it back.

/// Time ahead for which the effects of a placement are counted, in seconds.
const HORIZON_SECONDS: f64 = 10.0;
/// Delay that a request which is not served at all counts as, in milliseconds.
const UNSERVED_MILLIS: f64 = 5_000.0;
/// Demand that a replica is kept for, as a multiple of what is seen: demand rises faster than replicas come,
/// and one that makes way only to come back costs its load twice.
const HEADROOM: f64 = 1.4;
/// Share of its time that an engine is taken to be busy at most; beyond it, delays grow without bounds.
const FULLEST: f64 = 0.95;

/// What requests count for that come beyond what all replicas serve, as a multiple of the queue before a
/// replica that is as busy as can be. Above one, or a further replica would seem to add to the queues.
const OVERLOAD: f64 = 2.0;

/// Delay caused within the horizon by taking away the only replica of a model that is asked for `rate`
/// times a second and comes back in `restore_millis`.
pub(crate) fn absence(rate: f64, restore_millis: f64) -> f64 {
    let asked_for = 1.0 - (-rate * HORIZON_SECONDS).exp();
    let delayed = 1.0 + rate * restore_millis / 1_000.0;
    asked_for * delayed * restore_millis
}

/// Delay within the horizon that a further replica of a model saves, where the model's requests take
/// `business` of one engine's time and `replicas` share them.
pub(crate) fn replica_gain(business: f64, replicas: usize) -> f64 {
    queueing(business, replicas) - queueing(business, replicas + 1)
}

/// Delay within the horizon caused by taking away one of several replicas, so that `others` are left.
pub(crate) fn replica_loss(business: f64, others: usize) -> f64 {
    replica_gain(HEADROOM * business, others)
}

/// Delay within the horizon of requests that queue at the replicas of a model, each of which serves at a
/// steady rate, and of those that come beyond what all of them serve.
fn queueing(business: f64, replicas: usize) -> f64 {
    let replicas = replicas.max(1) as f64;
    let queued = replicas * queue((business / replicas).min(FULLEST));
    let beyond = (business - FULLEST * replicas).max(0.0);
    let overload = beyond * OVERLOAD * queue(FULLEST) / FULLEST;
    (queued + overload) * HORIZON_SECONDS * 1_000.0
}

/// Mean queue before an engine that is busy for a share of its time with requests of equal length.
fn queue(share: f64) -> f64 {
    share * share / (1.0 - share) / 2.0
}

/// Requests that come within the horizon at `rate` a second.
pub(crate) fn expected(rate: f64) -> f64 {
    rate * HORIZON_SECONDS
}

/// What it is worth to serve requests that wait, at most.
pub(crate) fn serving(waiting: f64) -> f64 {
    waiting * UNSERVED_MILLIS
}
