//! Bounds that the checkers enforce.

/// Bounds of a run. All times are in microseconds.
#[derive(Clone, Debug)]
pub struct Limits {
    /// Time after the deadline of a request by which its final answer must reach the caller. Covers
    /// the one-way latency to the caller and a tick of the router.
    pub answer_grace_micros: u64,
    /// Time after a back end is listed as leaving from which it may start no new run.
    pub leaving_micros: u64,
    /// Time within which each reachable router applies a committed revision.
    pub in_force_micros: u64,
    /// Time after an accepted change from which no router, reachable or not, admits requests by an
    /// older catalog. Covers the router's lease and the delivery of a request.
    pub enforced_micros: u64,
    /// Time after the end of the last fault by which requests are served again.
    pub recovery_micros: u64,
    /// Maximum loads from the weight store that start within any second.
    pub store_loads_per_second: usize,
    /// Maximum concurrent loads from the weight store.
    pub store_concurrent_loads: usize,
    /// Maximum operations on one object or claim key that are checked for linearizability. More
    /// operations are reported as a violation instead of being skipped.
    pub maximum_operations: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Limits {
            answer_grace_micros: 100_000,
            leaving_micros: 5_000_000,
            in_force_micros: 3_000_000,
            enforced_micros: 5_000_000,
            recovery_micros: 15_000_000,
            store_loads_per_second: 3,
            store_concurrent_loads: 6,
            maximum_operations: 60,
        }
    }
}
