//! Consensus core of a control group: election with pre-vote, replication, leader lease,
//! snapshots and membership change, as a state machine without input/output, clock or threads.
//!
//! The host calls [`Consensus::step`] with one input at a time and carries out the outputs in
//! order. Nothing that depends on a write leaves the core before the host reports the write as
//! synced with [`ConsensusInput::Persisted`].

pub mod interface;

pub use interface::*;

use millpass_proto::Timestamp;

/// One member's consensus state.
pub struct Consensus {}

impl Consensus {
    /// Starts a member from what its disk holds.
    pub fn new(_settings: ConsensusSettings, _restored: RestoredLog, _now: Timestamp) -> Self {
        Consensus {}
    }

    /// Takes one input and returns what the host must do, in order.
    pub fn step(&mut self, _now: Timestamp, _input: ConsensusInput) -> Vec<ConsensusOutput> {
        Vec::new()
    }

    /// Whether this member leads and a quorum has acknowledged it recently enough that no other
    /// leader can exist now, by this member's own clock.
    pub fn holds_lease(&self, _now: Timestamp) -> bool {
        false
    }

    /// What this member believes.
    pub fn status(&self) -> ConsensusStatus {
        unimplemented!("status")
    }
}
