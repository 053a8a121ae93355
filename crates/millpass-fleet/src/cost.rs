//! What a placement costs and saves, in one unit: milliseconds by which requests are delayed.
//!
//! Everything that takes part in an exchange is weighed in it: the load itself, the models that make
//! way, and the requests that wait. As in GreedyDual-Size-Frequency, what may go first is what is asked
//! for least, weighed by what it takes to bring it back.

/// Time ahead for which the effects of a placement are counted, in seconds.
const HORIZON_SECONDS: f64 = 10.0;
/// Delay that a request which is not served at all counts as, in milliseconds.
const UNSERVED_MILLIS: f64 = 5_000.0;
/// Share of its time that an engine is taken to be busy at most; beyond it, delays grow without bounds.
const FULLEST: f64 = 0.95;

/// Delay caused within the horizon by taking away the only replica of a model that is asked for `rate`
/// times a second and comes back in `restore_millis`.
pub(crate) fn absence(rate: f64, restore_millis: f64) -> f64 {
    let asked_for = 1.0 - (-rate * HORIZON_SECONDS).exp();
    let delayed = 1.0 + rate * restore_millis / 1_000.0;
    asked_for * delayed * restore_millis
}

/// Delay within the horizon of requests that queue for their prompts to be read, where the model's
/// prompts take `reading` of one engine's time and `replicas` share them.
pub(crate) fn queueing(reading: f64, replicas: usize) -> f64 {
    let share = (reading / replicas.max(1) as f64).min(FULLEST);
    let queue = share * share / (1.0 - share) / 2.0;
    queue * replicas.max(1) as f64 * HORIZON_SECONDS * 1_000.0
}

/// What it is worth to serve requests that wait, at most.
pub(crate) fn serving(waiting: f64) -> f64 {
    waiting * UNSERVED_MILLIS
}
