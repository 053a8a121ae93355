//! Why a command had no effect.

/// Why a command no longer fits the state. Its text becomes the reason in the outcome.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Refusal {
    /// The back end is not known.
    #[error("back end is not registered; register it first")]
    UnknownBackend,
    /// The command is for another run of the back end.
    #[error("back end runs under another incarnation; read its current one")]
    OtherIncarnation,
    /// The incarnation was replaced or is confirmed gone.
    #[error("this incarnation was replaced or is gone; the process must start anew")]
    IncarnationEnded,
    /// The back end is leaving, gone, or no engine.
    #[error("back end is not a live engine; choose another")]
    NotLiveEngine,
    /// A table is at its bound.
    #[error("table of {0} is full; remove some first")]
    TableFull(&'static str),
    /// The model is not in the catalog.
    #[error("model does not exist; create it first")]
    UnknownModel,
    /// The version is not in the catalog.
    #[error("version does not exist; create it first")]
    UnknownVersion,
    /// The number of slots is not what the proposer saw.
    #[error("model has {found} slots, not {expected}; read the state again")]
    SlotCount {
        /// Slots there are.
        found: u32,
        /// Slots the proposer saw.
        expected: u32,
    },
    /// The model has as many slots as allowed.
    #[error("model has its maximum of replicas; raise it or wait for an unload")]
    MaximumReplicas,
    /// The accelerators are not what the model needs.
    #[error("accelerators must be distinct, in range and as many as a replica spans")]
    InvalidAccelerators,
    /// Memory lacks on an accelerator.
    #[error("memory lacks on an accelerator; unload something first")]
    InsufficientMemory,
    /// The slot is not there.
    #[error("slot is not there; it was released")]
    UnknownSlot,
    /// The slot is in another phase.
    #[error("slot is in another phase; read the state again")]
    WrongPhase,
    /// The adapter is not in the catalog or adapts another model.
    #[error("adapter does not exist for this model; create it first")]
    UnknownAdapter,
    /// The adapter is there already.
    #[error("adapter is beside this replica already")]
    AdapterPresent,
    /// The adapter is not beside this replica.
    #[error("adapter is not beside this replica")]
    AdapterAbsent,
    /// The settlement is for another order.
    #[error("settlement is not for the latest order; a later one superseded it")]
    StaleFence,
    /// The state is so already.
    #[error("nothing to change")]
    NoChange,
    /// The claim is not held by this attempt.
    #[error("claim is not held by this attempt")]
    ClaimNotHeld,
}
