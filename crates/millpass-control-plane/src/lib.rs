//! Decision core of a control member: consensus, replicated state, scheduler, router sessions and
//! order delivery put together, without input/output, clock or threads.
//!
//! The control process and the simulator both drive [`ControlPlane::step`].

pub mod interface;

pub use interface::*;

use millpass_consensus::RestoredLog;
use millpass_proto::Timestamp;
use millpass_state::State;

/// One control member's decision core.
pub struct ControlPlane {}

impl ControlPlane {
    /// Starts from what the disk holds; `state` is the newest snapshot's.
    pub fn new(
        _settings: ControlPlaneSettings,
        _restored: RestoredLog,
        _state: State,
        _now: Timestamp,
    ) -> Self {
        ControlPlane {}
    }

    /// Takes one input; `unix_millis` is the wall clock. Returns what the host must do, in order.
    pub fn step(
        &mut self,
        _now: Timestamp,
        _unix_millis: u64,
        _input: ControlInput,
    ) -> Vec<ControlOutput> {
        Vec::new()
    }
}
