//! Inputs and outputs of the engine model.

use millpass_proto::{
    AdapterName, Duration, EngineOrder, Incarnation, OrderResponse, SlotId, TenantName, Timestamp,
    Urgency,
};

/// Request handle assigned by the driver; unique within an incarnation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestHandle(pub u64);

/// Id that the model assigns to a fetch from the weight store; unique within an incarnation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct FetchId(pub u64);

/// A request as the batch scheduler sees it, without text: [`crate::content`] generates the tokens.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EngineRequest {
    /// Handle assigned by the driver.
    pub handle: RequestHandle,
    /// Request id from the caller (`X-Request-Id`).
    pub request_id: String,
    /// Tenant of the request.
    pub tenant: TenantName,
    /// Target slot.
    pub slot: SlotId,
    /// Incarnation that the request is addressed to, if the caller names one.
    pub incarnation: Option<Incarnation>,
    /// Adapter to use, if any.
    pub adapter: Option<AdapterName>,
    /// Scheduling priority.
    pub urgency: Urgency,
    /// Length of the prompt in tokens.
    pub prompt_tokens: u32,
    /// Chained hashes of the prompt's blocks, see [`crate::content::prefix_blocks`].
    pub prefix_blocks: Vec<u64>,
    /// Length of the completion in tokens.
    pub maximum_tokens: u32,
    /// Number of tokens that the caller already has; the completion continues after them.
    pub resume_from: u32,
    /// Time at which the request is aborted, if any.
    pub deadline: Option<Timestamp>,
    /// Idempotency key, if any.
    pub idempotency_key: Option<String>,
}

/// Result of a fetch from the weight store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FetchResult {
    /// The checkpoint was transferred.
    Done,
    /// The store is at its limit; retry after this time.
    RetryAfter(Duration),
    /// The fetch failed for this reason.
    Failed(String),
}

/// Input of an engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EngineInput {
    /// Time advanced.
    Tick,
    /// An order arrived.
    Order(EngineOrder),
    /// A request arrived.
    Submit(EngineRequest),
    /// The caller of a request disconnected or cancelled it.
    Cancel(RequestHandle),
    /// A fetch ended.
    FetchEnded(FetchId, FetchResult),
    /// The KV cache of one block arrived from another engine.
    ImportCache {
        /// Slot to import it into.
        slot: SlotId,
        /// Hash of the block's prefix.
        prefix_hash: u64,
    },
    /// Fault: fails this many of the next loads after their fetch.
    FailLoads(u32),
    /// Fault: scales step times by this factor, in percent (100 is normal).
    SlowSteps(u32),
}

/// Reason for which a request was refused without running.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Refusal {
    /// The slot is not loaded in this engine.
    #[error("slot is not loaded in this engine; route by the current placement")]
    SlotNotLoaded,
    /// The adapter is not loaded in the slot.
    #[error("adapter is not loaded in this slot; order its load first")]
    AdapterNotLoaded,
    /// The request is addressed to another incarnation of the engine.
    #[error("request names another incarnation; this is {}; read the report again", .0.0)]
    WrongIncarnation(Incarnation),
    /// The engine's queue is full.
    #[error("queue is full; retry after {} ms", .retry_after.as_millis())]
    QueueFull {
        /// Time to wait before retrying.
        retry_after: Duration,
    },
    /// Prompt and completion together exceed the slot's cache memory.
    #[error("prompt and completion exceed the slot's cache memory; shorten them")]
    TooLarge,
    /// The engine's role does not serve this request.
    #[error("engine's role does not serve this request; send it to another role")]
    WrongRole,
    /// The deadline passed before the request ran.
    #[error("deadline passed while the request waited; allow more time")]
    DeadlinePassed,
}

/// Reason for which a request that ran has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FinishReason {
    /// All tokens were emitted.
    Complete,
    /// The deadline passed while the request ran.
    DeadlinePassed,
    /// The unload timeout of its slot elapsed.
    Unloaded,
    /// The caller cancelled the request.
    Cancelled,
}

/// Output of an engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EngineOutput {
    /// Response to the order that this step received.
    OrderResponse(OrderResponse),
    /// The request was refused without running.
    Refused(RequestHandle, Refusal),
    /// The request entered the running batch for the first time; it now counts as executed.
    Started(RequestHandle),
    /// Tokens `from..from + count` of a completion.
    Tokens {
        /// Handle of the request.
        request: RequestHandle,
        /// Position of the first token.
        from: u32,
        /// Number of tokens.
        count: u32,
    },
    /// The request ended; its last output.
    Finished(RequestHandle, FinishReason),
    /// Fetch a checkpoint from the weight store; the result is returned in [`EngineInput::FetchEnded`].
    Fetch {
        /// Id of the fetch.
        fetch: FetchId,
        /// Name of the checkpoint.
        checkpoint: String,
        /// Size of the checkpoint.
        bytes: u64,
    },
    /// Stop this fetch if it is still active; its result is ignored.
    AbandonFetch(FetchId),
    /// Whether the KV cache that this step received was imported.
    CacheImported(bool),
}

/// Cache memory of a slot. Invariant: `running_bytes + prefix_bytes <= total_bytes`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CacheUse {
    /// Total size.
    pub total_bytes: u64,
    /// Reserved for running requests.
    pub running_bytes: u64,
    /// Used by cached prefixes.
    pub prefix_bytes: u64,
}
