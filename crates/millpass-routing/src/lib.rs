//! Decision core of a router, without input/output, clock or threads: authentication, policy,
//! admission, queues, leases, dispatch choice, retries and claims.
//!
//! The router process and the simulator both drive [`Routing::step`].

pub mod interface;

pub use interface::*;

use millpass_proto::Timestamp;

/// One router's decision core.
pub struct Routing {}

impl Routing {
    /// Starts with no catalog and no routes: nothing is admitted before the first update.
    pub fn new(_settings: RoutingSettings, _now: Timestamp) -> Self {
        Routing {}
    }

    /// Takes one input; `unix_millis` is the wall clock. Returns what the host must do, in order.
    pub fn step(
        &mut self,
        _now: Timestamp,
        _unix_millis: u64,
        _input: RoutingInput,
    ) -> Vec<RoutingOutput> {
        Vec::new()
    }
}
