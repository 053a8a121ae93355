//! The bounds that the checkers hold a run to.

/// Bounds of a run. All times are in microseconds.
#[derive(Clone, Debug)]
pub struct Limits {
    /// Time after its deadline within which a request's final answer must have reached the
    /// caller: one way to the caller, and the router's tick.
    pub answer_grace_micros: u64,
    /// Time from a back end's listing as leaving until no new run starts there.
    pub leaving_micros: u64,
    /// Time from an accepted change until each reachable router has applied it.
    pub in_force_micros: u64,
    /// Time from an accepted change after which no router at all, reachable or not, admits by an
    /// older catalog: the router's lease and the time to hand a request to it.
    pub enforced_micros: u64,
    /// Time from the end of the last fault until requests are served again.
    pub recovery_micros: u64,
    /// Loads that may start at the weight store in any second.
    pub store_loads_per_second: usize,
    /// Loads that may run at the weight store at once.
    pub store_concurrent_loads: usize,
    /// Most operations on one object or claim key that the linearizability check takes. A longer
    /// history is reported instead of being passed over.
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
