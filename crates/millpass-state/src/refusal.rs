//! Reasons for which commands are refused.

/// Why a command was refused. The text is the reason in the outcome.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Refusal {
    /// The backend is not registered.
    #[error("backend is not registered; register it first")]
    UnknownBackend,
    /// The command is for another incarnation of the backend.
    #[error("backend has another incarnation; read the current one")]
    OtherIncarnation,
    /// The incarnation was replaced or is gone.
    #[error("incarnation was replaced or is gone; restart the process with a new one")]
    IncarnationEnded,
    /// The backend is leaving, gone or not an engine.
    #[error("backend is not a live engine; choose another")]
    NotLiveEngine,
    /// A table is full.
    #[error("table of {0} is full; remove entries first")]
    TableFull(&'static str),
    /// The model is not in the catalog.
    #[error("model does not exist; create it first")]
    UnknownModel,
    /// The version is not in the catalog.
    #[error("version does not exist; create it first")]
    UnknownVersion,
    /// The number of slots differs from the expected one.
    #[error("model has {found} slots, not {expected}; read the state again")]
    SlotCount {
        /// Current number of slots.
        found: u32,
        /// Number of slots expected by the proposer.
        expected: u32,
    },
    /// The model has its maximum number of replicas.
    #[error("model has its maximum number of replicas; raise the maximum or wait for an unload")]
    MaximumReplicas,
    /// The accelerators do not match the model's requirements.
    #[error("accelerators must be distinct, in range and match accelerators_per_replica")]
    InvalidAccelerators,
    /// An accelerator does not have enough free memory.
    #[error("an accelerator does not have enough free memory; unload a replica or adapter first")]
    InsufficientMemory,
    /// The slot does not exist.
    #[error("slot does not exist; it may have been released")]
    UnknownSlot,
    /// The slot is not in the required phase.
    #[error("slot is not in the required phase; read the state again")]
    WrongPhase,
    /// The adapter is not in the catalog or belongs to another model.
    #[error("adapter does not exist for this model; create it first")]
    UnknownAdapter,
    /// The adapter is already attached.
    #[error("adapter is already attached to this replica")]
    AdapterPresent,
    /// The adapter is not attached.
    #[error("adapter is not attached to this replica")]
    AdapterAbsent,
    /// The settlement is not for the latest order.
    #[error("settlement is not for the latest order; a later one superseded it")]
    StaleFence,
    /// The command would not change the state.
    #[error("nothing to change")]
    NoChange,
    /// The attempt does not hold the claim.
    #[error("this attempt does not hold the claim")]
    ClaimNotHeld,
}
