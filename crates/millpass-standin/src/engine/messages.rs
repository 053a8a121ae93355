//! Inputs and outputs of the engine model.

use millpass_proto::{
    AdapterName, Duration, EngineOrder, Incarnation, OrderResponse, SlotId, TenantName, Timestamp,
    Urgency,
};

/// Number that the driver gives a request; unique within the run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestHandle(pub u64);

/// Number that the model gives a fetch from the weight store; unique within the run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct FetchId(pub u64);

/// A request as the engine's batch sees it. The text is not part of it: [`crate::content`] gives
/// the tokens.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EngineRequest {
    /// The driver's number of it.
    pub handle: RequestHandle,
    /// The caller's identity of it (`X-Request-Id`).
    pub request_id: String,
    /// Tenant.
    pub tenant: TenantName,
    /// Slot it is for.
    pub slot: SlotId,
    /// Run of the engine it is for, if the caller names one.
    pub incarnation: Option<Incarnation>,
    /// Adapter to use.
    pub adapter: Option<AdapterName>,
    /// Priority.
    pub urgency: Urgency,
    /// Length of the prompt.
    pub prompt_tokens: u32,
    /// Chained hashes of the prompt's blocks, see [`crate::content::prefix_blocks`].
    pub prefix_blocks: Vec<u64>,
    /// Length of the response.
    pub maximum_tokens: u32,
    /// Tokens that the caller has already; the response goes on after them.
    pub resume_from: u32,
    /// When the request is given up.
    pub deadline: Option<Timestamp>,
    /// Key of a request that may not be repeated.
    pub idempotency_key: Option<String>,
}

/// How a fetch from the weight store ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FetchResult {
    /// The checkpoint is here.
    Done,
    /// The store is at its limit; ask again after this time.
    RetryAfter(Duration),
    /// It failed, for this reason.
    Failed(String),
}

/// What happens to an engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EngineInput {
    /// Only time went on.
    Tick,
    /// An order arrived.
    Order(EngineOrder),
    /// A request arrived.
    Submit(EngineRequest),
    /// A request's caller went away.
    Cancel(RequestHandle),
    /// A fetch ended.
    FetchEnded(FetchId, FetchResult),
    /// KV cache of one block arrives from another engine.
    ImportCache {
        /// Slot whose cache takes it.
        slot: SlotId,
        /// Hash of the block's prefix.
        prefix_hash: u64,
    },
    /// Fault: this many of the next loads fail after their fetch.
    FailLoads(u32),
    /// Fault: every decode step takes this many times as long, in percent (100 is normal).
    SlowSteps(u32),
}

/// Why a request was refused; none of these ran.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Refusal {
    /// The slot is not loaded here.
    #[error("slot is not loaded here; route by the current placement")]
    SlotNotLoaded,
    /// The adapter is not loaded beside the slot.
    #[error("adapter is not loaded beside this slot; order its load first")]
    AdapterNotLoaded,
    /// The request is for another run of the engine.
    #[error("this is incarnation {}; read the report again", .0.0)]
    WrongIncarnation(Incarnation),
    /// The inner queue is full.
    #[error("queue is full; retry after {} ms", .retry_after.as_millis())]
    QueueFull {
        /// When to come back.
        retry_after: Duration,
    },
    /// Prompt and response together exceed the slot's cache memory.
    #[error("prompt and response need more than the slot's cache memory; shorten them")]
    TooLarge,
    /// The engine's role does not serve this request.
    #[error("engine's role does not serve this request; send it to another role")]
    WrongRole,
    /// The deadline passed before it began.
    #[error("deadline passed while the request waited; allow more time")]
    DeadlinePassed,
}

/// How a request that ran ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FinishReason {
    /// The whole response was given.
    Complete,
    /// Its deadline passed while it ran.
    DeadlinePassed,
    /// An unload did not wait longer.
    Unloaded,
    /// Its caller cancelled it.
    Cancelled,
}

/// What an engine does.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EngineOutput {
    /// Response to the order of this step.
    OrderResponse(OrderResponse),
    /// The request did not run.
    Refused(RequestHandle, Refusal),
    /// The request entered the running batch for the first time; it now counts as executed.
    Started(RequestHandle),
    /// Tokens `from..from + count` of a response.
    Tokens {
        /// Request.
        request: RequestHandle,
        /// Position of the first token.
        from: u32,
        /// Number of tokens.
        count: u32,
    },
    /// The request ended; nothing follows.
    Finished(RequestHandle, FinishReason),
    /// Ask the weight store; response with [`EngineInput::FetchEnded`].
    Fetch {
        /// Number of the fetch.
        fetch: FetchId,
        /// Checkpoint.
        checkpoint: String,
        /// Size.
        bytes: u64,
    },
    /// Stop this fetch if it still goes on; its end is ignored.
    AbandonFetch(FetchId),
    /// Whether the cache of the step's import was taken.
    CacheImported(bool),
}

/// Cache memory of a slot. Invariant: `running_bytes + prefix_bytes <= total_bytes`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CacheUse {
    /// All of it.
    pub total_bytes: u64,
    /// What running requests may fill.
    pub running_bytes: u64,
    /// What cached prefixes take.
    pub prefix_bytes: u64,
}
