//! The replicated state machine: catalog, placement, memory ledger and claims.
//!
//! [`State::apply`] is deterministic: the same commands at the same positions give the same
//! state and the same outcomes on every member.

use millpass_proto::{
    BackendName, BackendRegistration, BackendState, Command, CommandOutcome, ConfigurationDelta,
    ConfigurationRevision, EngineOrder, EngineRole, LogPosition, ModelName, ObjectKey, ObjectKind,
    PlacementDelta, PlacementRevision, Replica, SlotId, StoredObject,
};

/// A back end as the state knows it.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Backend {
    /// Registration of its current run.
    pub registration: BackendRegistration,
    /// Whether it may take new work.
    pub state: BackendState,
    /// Role, as last decided.
    pub role: EngineRole,
}

/// Why an encoded state could not be read.
#[derive(Debug, thiserror::Error)]
#[error("snapshot does not decode: {0}; restore the member from another one")]
pub struct StateError(pub String);

/// The whole replicated state.
#[derive(Clone, Debug, Default)]
pub struct State {}

impl State {
    /// Applies one committed command.
    pub fn apply(&mut self, _at: LogPosition, _command: &Command) -> CommandOutcome {
        CommandOutcome::Done
    }

    /// Encodes the state for a snapshot.
    pub fn encode(&self) -> Vec<u8> {
        Vec::new()
    }

    /// Reads what [`State::encode`] gave.
    pub fn decode(_bytes: &[u8]) -> Result<State, StateError> {
        Ok(State {})
    }

    /// Revision of the catalog.
    pub fn configuration_revision(&self) -> ConfigurationRevision {
        ConfigurationRevision(0)
    }

    /// Revision of the routes.
    pub fn placement_revision(&self) -> PlacementRevision {
        PlacementRevision(0)
    }

    /// Catalog changes after `from`; none when `from` is current; a full copy when the
    /// removals since are no longer kept.
    pub fn configuration_since(&self, _from: ConfigurationRevision) -> Option<ConfigurationDelta> {
        None
    }

    /// Route changes after `from`; none when `from` is current; a full copy when the removals
    /// since are no longer kept.
    pub fn placement_since(&self, _from: PlacementRevision) -> Option<PlacementDelta> {
        None
    }

    /// One catalog object.
    pub fn object(&self, _key: &ObjectKey) -> Option<&StoredObject> {
        None
    }

    /// All catalog objects of a kind, by name.
    pub fn objects(&self, _kind: ObjectKind) -> Vec<&StoredObject> {
        Vec::new()
    }

    /// One back end.
    pub fn backend(&self, _name: &BackendName) -> Option<&Backend> {
        None
    }

    /// All back ends, by name, gone ones left out.
    pub fn backends(&self) -> Vec<&Backend> {
        Vec::new()
    }

    /// All decided replicas, by slot.
    pub fn replicas(&self) -> Vec<&Replica> {
        Vec::new()
    }

    /// One replica.
    pub fn replica(&self, _slot: SlotId) -> Option<&Replica> {
        None
    }

    /// The decided replicas of one model, in every phase.
    pub fn replicas_of(&self, _model: &ModelName) -> Vec<&Replica> {
        Vec::new()
    }

    /// Memory of an engine that nothing has reserved, per accelerator, in bytes.
    pub fn free_bytes(&self, _backend: &BackendName) -> Vec<u64> {
        Vec::new()
    }

    /// Orders decided and not settled, per engine, each engine's in fence order. They are to be
    /// delivered one at a time per engine, the first until it is settled.
    pub fn outstanding_orders(&self) -> Vec<EngineOrder> {
        Vec::new()
    }

    /// Birth time below which claims are forgotten, in Unix milliseconds.
    pub fn claims_born_after(&self) -> u64 {
        0
    }
}
