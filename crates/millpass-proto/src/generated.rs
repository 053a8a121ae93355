//! Message types. Generated from `schema/*.yaml` by `cargo xtask generate`; do not edit.

#![allow(unused_imports)]
use std::collections::BTreeMap as Map;
use serde::{Serialize, Deserialize};
use serde_bytes::ByteBuf as Bytes;
use crate::shared::{SharedBytes, SharedDocument};


/// Random number drawn at process start; distinguishes restarts of the same process.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[derive(Hash)]
pub struct Incarnation(pub u64);


/// Router name, unique in the deployment.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[derive(Hash)]
pub struct RouterName(pub String);


/// Concludes all open claims of a router incarnation that was replaced or lost its lease as `Unknown`. A later conclusion from that incarnation still applies.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[derive(Hash)]
pub struct AbandonClaims {

    /// Router that holds the claims.
    pub router: RouterName,

    /// Incarnation of the router.
    pub router_incarnation: Incarnation,
}


/// Adapter name, unique in the deployment.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[derive(Hash)]
pub struct AdapterName(pub String);


/// Identity of a placed replica: the log index of the command that placed it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[derive(Hash)]
pub struct SlotId(pub u64);


/// Attaches an adapter to a replica or detaches it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[derive(Hash)]
pub struct AdapterDecision {

    /// Target replica.
    pub slot: SlotId,

    /// Adapter to attach or detach.
    pub adapter: AdapterName,
}


/// Name of a backend (model engine or web server), unique in the deployment.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[derive(Hash)]
pub struct BackendName(pub String);


/// Whether a backend accepts new work.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[derive(Hash)]
pub enum BackendState {

    /// Accepts new work.
    Live,

    /// Draining: accepts no new work and finishes requests in flight.
    Leaving,

    /// Confirmed terminated; its memory is released.
    Gone,
}


/// A backend state change, from the platform's machine list or an operator.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[derive(Hash)]
pub struct BackendMark {

    /// Backend name.
    pub backend: BackendName,

    /// Incarnation to change; other incarnations are unaffected.
    pub incarnation: Incarnation,

    /// New state.
    pub state: BackendState,
}


/// Kind of a backend.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[derive(Hash)]
pub enum BackendKind {

    /// Model engine.
    Engine,

    /// Web server.
    Web,
}


/// Name of a group of interchangeable web backends.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[derive(Hash)]
pub struct GroupName(pub String);


/// Name of a zone, the failure and partition domain of a deployment.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[derive(Hash)]
pub struct ZoneName(pub String);


/// Registration of a backend incarnation. A new incarnation releases all resources of the previous one.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[derive(Hash)]
pub struct BackendRegistration {

    /// Backend name.
    pub backend: BackendName,

    /// Backend kind.
    pub kind: BackendKind,

    /// Group of a web backend; none for an engine.
    pub group: Option<GroupName>,

    /// Zone the backend runs in.
    pub zone: ZoneName,

    /// IP address and port of its HTTP interface.
    pub address: String,

    /// Process incarnation.
    pub incarnation: Incarnation,

    /// Memory per accelerator; empty for a web backend.
    pub accelerator_bytes: Vec<u64>,
}


/// Role of a model engine.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[derive(Hash)]
pub enum EngineRole {

    /// Prefill and decode.
    Mixed,

    /// Prefill only; exports the KV cache.
    Prefill,

    /// Decode only; imports the KV cache.
    Decode,
}


/// Changes an engine's role.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[derive(Hash)]
pub struct ChangeRole {

    /// Engine to change.
    pub backend: BackendName,

    /// Incarnation of the engine.
    pub incarnation: Incarnation,

    /// New role.
    pub role: EngineRole,
}


/// Idempotency key of a non-repeatable request, scoped to the tenant.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[derive(Hash)]
pub struct ClaimKey(pub String);


/// Tenant name.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[derive(Hash)]
pub struct TenantName(pub String);


/// Claims the single execution of a non-repeatable request.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[derive(Hash)]
pub struct ClaimBegin {

    /// Tenant that scopes the key.
    pub tenant: TenantName,

    /// Idempotency key.
    pub key: ClaimKey,

    /// BLAKE3 hash (hex) of method, path and body. A claim of the same key with another digest is refused.
    pub digest: String,

    /// Creation time of the key, as stated by the caller.
    pub created_unix_millis: u64,

    /// Router that dispatches the request.
    pub router: RouterName,

    /// Incarnation of the router.
    pub router_incarnation: Incarnation,

    /// Request number within the router's incarnation; retries of the claim reuse it.
    pub attempt: u64,

    /// Wall-clock time on the proposing leader. The state machine keeps the maximum.
    pub at_unix_millis: u64,
}


/// Recorded response of an executed request.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[derive(Hash)]
pub struct RecordedAnswer {

    /// HTTP status code.
    pub status: u32,

    /// Value of the Content-Type header.
    pub content_type: String,

    /// Response body, limited by the `claims.maximum_answer_bytes` setting.
    pub body: Bytes,
}


/// Final state of a claimed execution.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[derive(Hash)]
pub enum ClaimConclusion {

    /// The request was executed; contains its response.
    Answered(RecordedAnswer),

    /// No byte reached a backend; the claim is released and the key can be reused.
    NotRun,

    /// The request may have been executed and is never executed again.
    Unknown,
}


/// Concludes a claim.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[derive(Hash)]
pub struct ClaimFinish {

    /// Tenant that scopes the key.
    pub tenant: TenantName,

    /// Idempotency key.
    pub key: ClaimKey,

    /// Router that holds the claim.
    pub router: RouterName,

    /// Incarnation of the router.
    pub router_incarnation: Incarnation,

    /// Request number within the router's incarnation.
    pub attempt: u64,

    /// Final state of the execution.
    pub conclusion: ClaimConclusion,
}


/// Deletes claims created before a time. Keys created earlier are refused from then on.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[derive(Hash)]
pub struct ExpireClaims {

    /// Expiry threshold; never decreases.
    pub created_before_unix_millis: u64,
}


/// Identity of an instance incarnation: instance name and incarnation. A restart creates a new one.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[derive(Hash)]
pub struct InstanceId(pub String);


/// Model name.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[derive(Hash)]
pub struct ModelName(pub String);


/// A model loaded on an instance.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[derive(Hash)]
pub struct HeldModel {

    /// Model name.
    pub model: ModelName,

    /// Adapters of the model.
    pub adapters: Vec<AdapterName>,
}


/// Name of a service, a set of interchangeable instances that serve the same routes.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[derive(Hash)]
pub struct ServiceName(pub String);


/// Version of the software that an instance runs; events of two versions do not fit into one stream.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[derive(Hash)]
pub struct SoftwareVersion(pub String);


/// What an instance incarnation has stated of the version of its software.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[derive(Hash)]
pub enum SoftwareStatement {

    /// Nothing readable so far.
    Unstated,

    /// Always this version.
    Stated(SoftwareVersion),

    /// Different versions: it is not known.
    Contradicted,
}


/// State that an instance announces.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[derive(Hash)]
pub struct InstanceRecord {

    /// Identity of the instance incarnation.
    pub instance: InstanceId,

    /// Service it belongs to.
    pub service: ServiceName,

    /// IP address and port of the instance.
    pub address: String,

    /// Zone the instance runs in.
    pub zone: ZoneName,

    /// Maximum concurrent requests.
    pub slots: u32,

    /// Whether it accepts no new work.
    pub draining: bool,

    /// Remaining warm-up time, during which it responds slowly.
    pub warmup_millis: u64,

    /// Announcement number; increases within an incarnation.
    pub sequence: u64,

    /// Loaded models.
    pub models: Vec<HeldModel>,

    /// Models whose weights are cached in host memory.
    pub in_memory: Vec<ModelName>,

    /// Models whose weights are cached on local disk.
    pub on_disk: Vec<ModelName>,

    /// Version of the software that the incarnation runs.
    pub software: SoftwareStatement,
}


/// Changes of the leader's instance table. A persisted hint for new leaders, and for gateways that start without a leader; it may be outdated.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[derive(Hash)]
pub struct InstanceChanges {

    /// New or changed instances.
    pub instances: Vec<InstanceRecord>,

    /// Removed instances.
    pub removed: Vec<InstanceId>,
}


/// Departure of an instance, which is final: the instance receives no new work.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[derive(Hash)]
pub struct InstanceDeparture {

    /// Departing instance.
    pub instance: InstanceId,

    /// Whether the instance has stopped; otherwise it still finishes requests in flight.
    pub ended: bool,
}


/// Engines that the leader is about to instruct. Logged before the instructions are sent, so that a new leader knows which engines may still receive them.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[derive(Hash)]
pub struct InstructionIntent {

    /// Engines to be instructed.
    pub instances: Vec<InstanceId>,

    /// Number of loads from the weight store among the instructions.
    pub store_loads: u32,
}


/// Client-chosen ID of a configuration change; retries reuse it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[derive(Hash)]
pub struct ChangeId(pub String);


/// Kind of a catalog object.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[derive(Hash)]
pub enum ObjectKind {

    /// Tenant.
    Tenant,

    /// Model.
    Model,

    /// Model version, named `model@label`.
    Version,

    /// Model adapter.
    Adapter,

    /// Group of web backends.
    BackendGroup,

    /// Access policy.
    Policy,

    /// Operator account.
    Operator,
}


/// Key of a catalog object.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[derive(Hash)]
pub struct ObjectKey {

    /// Object kind.
    pub kind: ObjectKind,

    /// Object name, unique within the kind.
    pub name: String,
}


/// An adapter loaded in addition to a model's weights.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[derive(Hash)]
pub struct AdapterSpec {

    /// Base model.
    pub model: ModelName,

    /// Accelerator memory used by the adapter.
    pub bytes: u64,

    /// Checkpoint name in the weight store.
    pub checkpoint: String,
}


/// A group of web backends that serves one path prefix.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[derive(Hash)]
pub struct BackendGroupSpec {

    /// Requests with this path prefix are routed to the group.
    pub path_prefix: String,

    /// Path prefixes of requests that run at most once and require an idempotency key.
    pub non_repeatable_paths: Vec<String>,
}


/// Label of a model version, unique within the model.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[derive(Hash)]
pub struct VersionLabel(pub String);


/// Specification of a model.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[derive(Hash)]
pub struct ModelSpec {

    /// Version loaded by new replicas.
    pub current_version: VersionLabel,

    /// Accelerators per replica, at least 1.
    pub accelerators_per_replica: u32,

    /// Maximum number of placed replicas.
    pub maximum_replicas: u32,

    /// Replicas kept loaded when there is no demand.
    pub minimum_replicas: u32,

    /// Maximum concurrent requests per replica.
    pub concurrency_per_replica: u32,
}


/// Permissions of an operator account.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[derive(Hash)]
pub enum OperatorRole {

    /// Read-only access.
    Viewer,

    /// Read access and catalog changes.
    Editor,

    /// Full access, including operator accounts and membership.
    Administrator,
}


/// Specification of an operator account.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[derive(Hash)]
pub struct OperatorSpec {

    /// BLAKE3 hash (hex) of the operator's key.
    pub key_hash: String,

    /// Permissions of the account.
    pub role: OperatorRole,
}


/// A test case of a policy.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[derive(Hash)]
pub struct PolicyExample {

    /// Requesting tenant.
    pub tenant: TenantName,

    /// Requested model.
    pub model: ModelName,

    /// Requested adapter; none for the base model.
    pub adapter: Option<AdapterName>,

    /// Request kind: `completion`, `chat` or `web`.
    pub kind: String,

    /// Expected decision.
    pub allowed: bool,
}


/// A policy of Common Expression Language programs.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[derive(Hash)]
pub struct PolicySpec {

    /// Boolean expression that allows a request. A request that no policy allows is refused.
    pub allow: String,

    /// Boolean expression that denies a request, overriding every `allow`; none denies nothing.
    pub deny: Option<String>,

    /// Expression that yields `interactive`, `normal` or `batch`. The first allowing policy by name that has one applies.
    pub urgency: Option<String>,

    /// Expression that yields the accelerator memory the tenant may use, in bytes. The minimum over allowing policies applies.
    pub capacity_bytes: Option<String>,

    /// Test cases evaluated on submission; a failing case rejects the policy.
    pub examples: Vec<PolicyExample>,
}


/// Specification of a tenant.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[derive(Hash)]
pub struct TenantSpec {

    /// BLAKE3 hashes (hex) of the tenant's API keys. The keys themselves are not stored.
    pub api_key_hashes: Vec<String>,

    /// Fair-share weight in a contended queue, at least 1.
    pub share_weight: u32,

    /// Accelerator memory that models loaded only for this tenant may use.
    pub capacity_bytes: u64,

    /// Maximum queued requests of this tenant per router.
    pub maximum_waiting: u32,
}


/// A version of a model's weights.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[derive(Hash)]
pub struct VersionSpec {

    /// Model that the version belongs to.
    pub model: ModelName,

    /// Version label, unique within the model.
    pub label: VersionLabel,

    /// Size of the weights, summed over all accelerators of a replica.
    pub weights_bytes: u64,

    /// Memory reserved for prefix and KV caches in addition to the weights.
    pub cache_bytes: u64,

    /// Checkpoint name in the weight store.
    pub checkpoint: String,
}


/// Specification of a catalog object.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[derive(Hash)]
pub enum ObjectSpec {

    /// Specification of a tenant.
    Tenant(TenantSpec),

    /// Specification of a model.
    Model(ModelSpec),

    /// Specification of a model version.
    Version(VersionSpec),

    /// Specification of an adapter.
    Adapter(AdapterSpec),

    /// Specification of a group of web backends.
    BackendGroup(BackendGroupSpec),

    /// Specification of a policy.
    Policy(PolicySpec),

    /// Specification of an operator account.
    Operator(OperatorSpec),
}


/// Operator account name.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[derive(Hash)]
pub struct OperatorName(pub String);


/// A submitted change of a catalog object.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[derive(Hash)]
pub struct ObjectChange {

    /// Object to change.
    pub key: ObjectKey,

    /// Version the change is based on; 0 for an object that must not exist. On a mismatch nothing is changed.
    pub expected_version: u64,

    /// Change ID; a retry with the same ID receives the original result.
    pub change_id: ChangeId,

    /// Operator that submitted the change.
    pub operator: OperatorName,

    /// Wall-clock time on the receiving member; used only for the audit log.
    pub at_unix_millis: u64,

    /// New specification; none deletes the object.
    pub spec: Option<ObjectSpec>,
}


/// Position of an entry in a replicated log, ordered by term, then index. Serves as the fencing token of an order.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[derive(Hash)]
pub struct LogPosition {

    /// Term of the leader that wrote the entry.
    pub term: u64,

    /// Log index, starting at 1.
    pub index: u64,
}


/// Result of an order as reported by the engine.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[derive(Hash)]
pub enum OrderResult {

    /// The weights or the adapter are loaded.
    Loaded,

    /// The weights or the adapter are unloaded and their memory is released.
    Unloaded,

    /// The load failed and uses no memory; contains the reason.
    Failed(String),
}


/// Result of an order, confirmed by the engine. Ignored unless the incarnation and the fence match the pending order.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[derive(Hash)]
pub struct OrderSettlement {

    /// Replica the order applies to.
    pub slot: SlotId,

    /// Adapter of an adapter order; none for a model order.
    pub adapter: Option<AdapterName>,

    /// Engine that executed the order.
    pub backend: BackendName,

    /// Incarnation of the engine.
    pub incarnation: Incarnation,

    /// Fence of the settled order.
    pub fence: LogPosition,

    /// Reported result.
    pub result: OrderResult,
}


/// Parts that crash instances if a prompt has all of them; mostly one.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[derive(Hash)]
pub struct PartSet {

    /// Service name.
    pub service: ServiceName,

    /// Tenant whose prompts are meant; none where callers need no key.
    pub tenant: Option<TenantName>,

    /// Whether the prompts of all tenants are meant.
    pub all_tenants: bool,

    /// Parts, in ascending order.
    pub parts: Vec<u64>,
}


/// Persisted quarantine state of parts of prompts.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[derive(Hash)]
pub struct PartRecord {

    /// The parts.
    pub set: PartSet,

    /// Crashes attributed to them; determines the quarantine time.
    pub crashes: u32,

    /// Whether the quarantine time is over. One more crash quarantines them again.
    pub expired: bool,
}


/// Places a replica and reserves its memory. Ignored on apply if the slot count differs from `expected_slots`, the maximum is reached, memory is insufficient, or this engine incarnation is not live.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[derive(Hash)]
pub struct PlaceReplica {

    /// Model to place.
    pub model: ModelName,

    /// Version of the weights.
    pub version: VersionLabel,

    /// Target engine.
    pub backend: BackendName,

    /// Incarnation of the engine.
    pub incarnation: Incarnation,

    /// Indices of the accelerators to use.
    pub accelerators: Vec<u32>,

    /// Number of slots of the model, in any phase, when the command was proposed.
    pub expected_slots: u32,
}


/// Activates a document unless the active version is the same or higher.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[derive(Hash)]
pub struct PutDocument {

    /// Document parsed from `source`.
    pub document: SharedDocument,

    /// Document as submitted by the operator.
    pub source: SharedBytes,
}


/// 128-bit hash of caller, method, host, path and body, shared by all attempts of a request; zero if unknown.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[derive(Hash)]
pub struct RequestFingerprint {

    /// High 64 bits.
    pub high: u64,

    /// Low 64 bits.
    pub low: u64,
}


/// Persisted quarantine state of a request that crashes instances. Stored in the log so that it survives leader changes and power loss.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[derive(Hash)]
pub struct QuarantineRecord {

    /// Fingerprint of the request.
    pub request: RequestFingerprint,

    /// Crashes attributed to the request; determines the quarantine time.
    pub crashes: u32,

    /// Whether the quarantine time is over. One more crash quarantines the request again.
    pub expired: bool,
}


/// Starts unloading a replica. Its memory remains reserved until the engine confirms.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[derive(Hash)]
pub struct RetireReplica {

    /// Replica to unload.
    pub slot: SlotId,
}


/// A role change, confirmed by the engine. Ignored unless the incarnation and the fence match the pending order.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[derive(Hash)]
pub struct RoleSettlement {

    /// Engine that changed its role.
    pub backend: BackendName,

    /// Incarnation of the engine.
    pub incarnation: Incarnation,

    /// Fence of the settled order.
    pub fence: LogPosition,
}


/// Command of the replicated log.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[derive(Hash)]
pub enum Command {

    /// Changes a catalog object.
    ChangeObject(ObjectChange),

    /// Registers a backend incarnation.
    RegisterBackend(BackendRegistration),

    /// Changes a backend's state.
    MarkBackend(BackendMark),

    /// Places a replica.
    PlaceReplica(PlaceReplica),

    /// Starts unloading a replica.
    RetireReplica(RetireReplica),

    /// Starts loading an adapter.
    AttachAdapter(AdapterDecision),

    /// Starts unloading an adapter.
    DetachAdapter(AdapterDecision),

    /// Records the result of an order.
    SettleOrder(OrderSettlement),

    /// Claims the execution of a request.
    BeginClaim(ClaimBegin),

    /// Concludes a claim.
    FinishClaim(ClaimFinish),

    /// Deletes expired claims.
    ExpireClaims(ExpireClaims),

    /// Changes an engine's role.
    ChangeRole(ChangeRole),

    /// Concludes the open claims of a lost router.
    AbandonClaims(AbandonClaims),

    /// Records that an engine changed its role.
    SettleRole(RoleSettlement),

    /// Activates a deployment document.
    PutDocument(PutDocument),

    /// Records the departure of an instance.
    DepartInstance(InstanceDeparture),

    /// Persists changes of the leader's instance table.
    RecordInstances(InstanceChanges),

    /// Records which engines the leader is about to instruct.
    RecordInstructionIntent(InstructionIntent),

    /// Persists the leader's estimate of how many concurrent loads the weight store serves at full speed, in hundredths of a load.
    RecordStoreCapacity(u32),

    /// Persists the quarantine state of a request that crashes instances.
    QuarantineRequest(QuarantineRecord),

    /// Removes a request from quarantine.
    LiftQuarantine(RequestFingerprint),

    /// Persists the quarantine state of parts of prompts that crash instances.
    QuarantineParts(PartRecord),

    /// Removes parts of prompts from quarantine.
    ReleaseParts(PartSet),
}


/// Decision on a claim.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[derive(Hash)]
pub enum ClaimDecision {

    /// This attempt alone may dispatch the request, once.
    Granted,

    /// The request was executed before; contains its response.
    Answered(RecordedAnswer),

    /// Another attempt holds the claim.
    InProgress,

    /// An earlier attempt may have been executed; the request is not executed again.
    MayHaveRun,

    /// The key was used for a different request.
    DigestMismatch,

    /// The key is older than the claim retention; nothing was executed.
    Expired,

    /// The claim table is full; nothing was executed. Retry after older claims have expired.
    Overloaded,

    /// The creation time of the key is further ahead than clock skew allows; nothing was executed.
    BornInFuture,
}


/// Response to a claim request.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[derive(Hash)]
pub struct ClaimResponse {

    /// Request number of the claim.
    pub attempt: u64,

    /// Decision on the claim.
    pub decision: ClaimDecision,
}


/// A part that prompts of one tenant at one service share.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[derive(Hash)]
pub struct PromptPartKey {

    /// Service name.
    pub service: ServiceName,

    /// Identity of the part, as callers state it.
    pub part: u64,

    /// Tenant; none where callers need no key.
    pub tenant: Option<TenantName>,
}


/// A quarantined or suspected request.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[derive(Hash)]
pub struct QuarantinedRequest {

    /// Fingerprint of the request.
    pub request: RequestFingerprint,

    /// Remaining quarantine time, during which the request is refused; 0 for a suspect, which is sent to an instance apart from other requests.
    pub remaining_millis: u64,
}


/// Parts of prompts that are refused, or were until their quarantine expired.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[derive(Hash)]
pub struct RefusedParts {

    /// The parts.
    pub set: PartSet,

    /// Crashes attributed to them; determines the quarantine time.
    pub crashes: u32,

    /// Remaining time for which prompts with them are refused; 0 once it has expired.
    pub remaining_millis: u64,
}


/// All quarantined and suspected requests, sent to gateways.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[derive(Hash)]
pub struct CrashUpdate {

    /// Leader's term; updates of a lower term than already seen are ignored.
    pub term: u64,

    /// Complete list; requests not listed are neither quarantined nor suspected.
    pub requests: Vec<QuarantinedRequest>,

    /// Complete list of the refused parts of prompts.
    pub refused_parts: Vec<RefusedParts>,

    /// Parts whose prompts are sent to one instance after the other.
    pub suspect_parts: Vec<PromptPartKey>,

    /// Parts at crashes: gateways state when an instance responds to them.
    pub watched_parts: Vec<PromptPartKey>,
}


/// Requests of a tenant that are denied without asking the leader: of this rank and all less urgent ones up to the next listed.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[derive(Hash)]
pub struct RankDenial {

    /// Most urgent rank that is denied.
    pub rank: u32,

    /// Time for which the denial holds; 0 if requests of this rank are not denied.
    pub hold_millis: u32,

    /// Time until a request of this rank can expect units.
    pub retry_millis: u32,
}


/// Credit granted to a gateway for one tenant.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[derive(Hash)]
pub struct CreditGrant {

    /// Tenant name.
    pub tenant: TenantName,

    /// Number of queued requests granted, in order from the first.
    pub granted_requests: u32,

    /// Units granted for future requests.
    pub prefetched_units: u64,

    /// Time until the first queued request that was not granted can be granted; 0 if all were granted.
    pub wait_millis: u64,

    /// Time after which each granted request may run; 0 if missing.
    pub delays_millis: Vec<u32>,

    /// Denied ranks, most urgent first; empty if none is denied.
    pub denials: Vec<RankDenial>,
}


/// Leader's response to a `CreditRequest`.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[derive(Hash)]
pub struct CreditResponse {

    /// Leader's term.
    pub term: u64,

    /// Number of the answered request.
    pub sequence: u64,

    /// Grants by tenant.
    pub grants: Vec<CreditGrant>,
}


/// Size and time limits for callers.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[derive(Hash)]
pub struct CallerLimits {

    /// Maximum size of request headers; 0 for the built-in limit.
    pub header_bytes: u64,

    /// Maximum size of a request body; 0 for the built-in limit.
    pub body_bytes: u64,

    /// Timeout for receiving request headers; 0 for the built-in limit.
    pub header_millis: u64,

    /// Idle timeout of a connection; 0 for the built-in limit.
    pub idle_millis: u64,
}


/// Key of a route, unique within a document.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[derive(Hash)]
pub struct RouteKey {

    /// Request host.
    pub host: String,

    /// Path prefix.
    pub path_prefix: String,
}


/// Retry semantics of a route.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[derive(Hash)]
pub enum RouteKind {

    /// May be executed more than once.
    Repeatable,

    /// Executed at most once per attempt of the caller.
    Once,

    /// Responds with an event stream; executed at most once unless the route is resumable.
    Stream,
}


/// A target service of a route.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[derive(Hash)]
pub struct RouteTarget {

    /// Service name.
    pub service: ServiceName,

    /// Relative share of the route's requests; 0 receives none.
    pub weight: u32,
}


/// A route: host, path prefix and request handling.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[derive(Hash)]
pub struct RouteSpec {

    /// Route name.
    pub name: String,

    /// Request host, lower case and without port.
    pub host: String,

    /// Path prefix; the longest match is selected.
    pub path_prefix: String,

    /// Retry semantics.
    pub kind: RouteKind,

    /// Whether a stream may resume on another instance after the last event received.
    pub resumable: bool,

    /// Maximum duration of an attempt.
    pub timeout_millis: u64,

    /// Response latency objective (for a stream, first event); 0 for none.
    pub objective_millis: u64,

    /// Objective for the time between two stream events; 0 for none.
    pub gap_objective_millis: u64,

    /// Priority; 0 is the most urgent.
    pub priority: u32,

    /// Maximum number of instances that one caller attempt may be sent to.
    pub maximum_attempts: u32,

    /// Whether requests share prompt prefixes.
    pub prompt_affinity: bool,

    /// Target services; at least one has a non-zero weight.
    pub targets: Vec<RouteTarget>,

    /// Time after which stream callers disconnect if no event has arrived; 0 for none.
    pub first_event_millis: u64,

    /// Whether callers without a key are served when the document has tenants.
    pub anonymous: bool,
}


/// A model that the engines of a service can load.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[derive(Hash)]
pub struct EngineModelSpec {

    /// Model name.
    pub name: ModelName,

    /// Accelerator memory used by the weights.
    pub weights_kilobytes: u64,

    /// Load time from the weight store.
    pub load_millis: u64,

    /// Load time from the engine's local disk.
    pub disk_load_millis: u64,

    /// Load time from the engine's host memory.
    pub memory_load_millis: u64,

    /// Number of adapters of the model.
    pub adapters: u32,

    /// Accelerator memory used by one adapter.
    pub adapter_kilobytes: u64,
}


/// Capacity of the engines of a service.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[derive(Hash)]
pub struct EngineSpec {

    /// Maximum batch size in requests.
    pub slots: u32,

    /// Token capacity for running requests and cached prompt prefixes.
    pub cache_tokens: u64,

    /// Accelerator memory for weights and adapters.
    pub weights_kilobytes: u64,

    /// Maximum number of adapters loaded concurrently.
    pub adapter_slots: u32,

    /// Rate limit of loads from the weight store over all engines, in thousandths of a load per second.
    pub milliloads_per_second: u64,

    /// Models that can be loaded.
    pub models: Vec<EngineModelSpec>,
}


/// A service and its instances' capabilities.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[derive(Hash)]
pub struct ServiceSpec {

    /// Service name.
    pub name: ServiceName,

    /// Path of the health check.
    pub health_path: String,

    /// Connection limit per instance over all callers; 0 for no limit.
    pub maximum_connections: u32,

    /// Engine capacity; none if the instances are not model engines.
    pub engine: Option<EngineSpec>,
}


/// Unit of a tenant's quota.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[derive(Hash)]
pub enum QuotaUnit {

    /// One unit per request.
    Requests,

    /// Prompt tokens plus maximum output tokens; a request that states none costs the tenant's `plain_cost`.
    Tokens,
}


/// Access rules of a tenant in a deployment document: keys, priority and quota.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[derive(Hash)]
pub struct TenantAccess {

    /// Tenant name, forwarded to instances.
    pub name: TenantName,

    /// BLAKE3 hashes (hex) of the tenant's API keys.
    pub key_hashes: Vec<String>,

    /// Priority, 0 is the most urgent; takes precedence over the route's priority.
    pub priority: u32,

    /// Unit of the quota.
    pub unit: QuotaUnit,

    /// Units charged for a request without token counts, if `unit` is `Tokens`.
    pub plain_cost: u64,

    /// Rate limit over all gateways, in units per second; 0 for no limit.
    pub units_per_second: u64,

    /// Burst allowance in addition to the rate.
    pub burst_units: u64,
}


/// Difference between two versions of a document.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[derive(Hash)]
pub struct DocumentChange {

    /// Version the change applies to; it cannot be applied to any other.
    pub base: u64,

    /// Resulting version.
    pub version: u64,

    /// New or changed routes.
    pub routes: Vec<RouteSpec>,

    /// Removed routes.
    pub removed_routes: Vec<RouteKey>,

    /// New or changed services.
    pub services: Vec<ServiceSpec>,

    /// Removed services.
    pub removed_services: Vec<ServiceName>,

    /// Caller limits of the resulting version.
    pub limits: CallerLimits,

    /// New or changed tenants.
    pub tenants: Vec<TenantAccess>,

    /// Removed tenants.
    pub removed_tenants: Vec<TenantName>,
}


/// Relative time to the first byte of an engine's responses, over all gateways.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[derive(Hash)]
pub struct EnginePace {

    /// Instance incarnation.
    pub instance: InstanceId,

    /// Time relative to the service's median, in hundredths.
    pub relative_time: u32,

    /// Time that work takes at the moment relative to the usual time, in hundredths; holds for a fraction of a second.
    pub machine_time: u32,
}


/// Model, or model with an adapter, of a ready estimate that no longer applies.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[derive(Hash)]
pub struct EstimateKey {

    /// Service name.
    pub service: ServiceName,

    /// Model name.
    pub model: ModelName,

    /// Adapter; none for the base model.
    pub adapter: Option<AdapterName>,
}


/// Change of the contents of an instance whose record the gateway has, sent in place of the record. Applying it twice has no further effect.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[derive(Hash)]
pub struct InstanceContents {

    /// Instance incarnation.
    pub instance: InstanceId,

    /// All loaded models.
    pub models: Vec<HeldModel>,

    /// Models added to `in_memory`.
    pub added_in_memory: Vec<ModelName>,

    /// Models removed from `in_memory`.
    pub removed_in_memory: Vec<ModelName>,

    /// Models added to `on_disk`.
    pub added_on_disk: Vec<ModelName>,

    /// Models removed from `on_disk`.
    pub removed_on_disk: Vec<ModelName>,
}


/// Requests in flight at an instance.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[derive(Hash)]
pub struct InstanceLoad {

    /// Instance incarnation.
    pub instance: InstanceId,

    /// Number of requests.
    pub in_flight: u32,
}


/// Estimated readiness of a model, or a model with an adapter, that is being loaded.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[derive(Hash)]
pub struct ModelReadyEstimate {

    /// Service name.
    pub service: ServiceName,

    /// Model name.
    pub model: ModelName,

    /// Adapter; none for the base model.
    pub adapter: Option<AdapterName>,

    /// Estimated time until it can serve.
    pub ready_in_millis: u64,
}


/// Leader's update to a gateway: changes since the previous update on the connection. The first update is complete.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[derive(Hash)]
pub struct GatewayUpdate {

    /// Leader's term; updates of a lower term than already seen are ignored.
    pub term: u64,

    /// Whether the leader knows all instances. Instances not listed on this connection are then gone.
    pub complete: bool,

    /// Whether this is the first update on the connection, in which `instances` lists all instances known to the leader.
    pub first: bool,

    /// Document, if newer than the gateway's.
    pub document: Option<SharedDocument>,

    /// New or changed instances.
    pub instances: Vec<InstanceRecord>,

    /// Removed instances.
    pub removed: Vec<InstanceId>,

    /// Models being loaded.
    pub ready_estimates: Vec<ModelReadyEstimate>,

    /// Gateways that report to this leader; 0 until it has led long enough to know.
    pub gateways: u32,

    /// Addresses of the control members.
    pub members: Vec<String>,

    /// Whether the update comes from a member that is not the leader, for a gateway without any state.
    pub provisional: bool,

    /// Requests in flight over all gateways at the busiest instances.
    pub loads: Vec<InstanceLoad>,

    /// Number of the last report on this connection that was processed before the update; 0 for none.
    pub acknowledged_report: u64,

    /// Log index up to which this update brings the gateway with respect to required entries (documents and departures); 0 if not stated.
    pub as_of: u64,

    /// Difference to the gateway's document, sent instead of `document`.
    pub document_change: Option<DocumentChange>,

    /// In the first update on a connection, the reported digests whose records are current; these instances count as listed.
    pub unchanged_instance_digests: Vec<u64>,

    /// `ready_estimates` is omitted; the previous value on this connection still applies.
    pub ready_estimates_unchanged: bool,

    /// `loads` is omitted; the previous value on this connection still applies.
    pub loads_unchanged: bool,

    /// Active document version at `as_of`; 0 for none. A gateway with an older document lacks required entries.
    pub document_version: u64,

    /// Speeds that changed since the previous update on the connection. Those not listed are unchanged.
    pub paces: Vec<EnginePace>,

    /// Changed contents of known instances.
    pub contents: Vec<InstanceContents>,

    /// With `ready_estimates_unchanged`: new estimates, and estimates that replace the previous one of the same model and adapter.
    pub moved_estimates: Vec<ModelReadyEstimate>,

    /// With `ready_estimates_unchanged`: estimates that no longer apply.
    pub ended_estimates: Vec<EstimateKey>,

    /// Whether the update carries only what concerns waiting requests. Omitted loads may have changed.
    pub partial: bool,
}


/// Rate limit last stated by an instance. Times are ages because clocks differ between processes.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[derive(Hash)]
pub struct LimitObservation {

    /// Instance that stated the limit.
    pub instance: InstanceId,

    /// Limit over all gateways, in thousandths of a request per second; none if the instance no longer states one.
    pub milli_per_second: Option<u64>,

    /// Time since the request was sent whose response stated the limit.
    pub request_age_millis: u64,

    /// Time since that response was received.
    pub response_age_millis: u64,
}


/// Rate limits known to the leader, sent to gateways. For instances not listed, the leader knows no limit.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[derive(Hash)]
pub struct LimitUpdate {

    /// Leader's term.
    pub term: u64,

    /// Current and recently withdrawn limits.
    pub limits: Vec<LimitObservation>,
}


/// Redirect to the leader.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[derive(Hash)]
pub struct NotLeader {

    /// Peer address of the leader; none if unknown.
    pub leader_address: Option<String>,
}


/// The process run that wrote the first event of a stream.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[derive(Hash)]
pub struct StreamOrigin {

    /// Service name.
    pub service: ServiceName,

    /// Instance incarnation.
    pub instance: InstanceId,

    /// Version of its software.
    pub software: SoftwareVersion,
}


/// What is known of the origin of a stream.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[derive(Hash)]
pub enum OriginFinding {

    /// It began there.
    Known(StreamOrigin),

    /// Several process runs may have begun it.
    Contradicted,

    /// No gateway has stated it.
    Unknown,

    /// Gateways may not have stated it yet; milliseconds until they should have.
    Unsettled(u64),

    /// It is not known yet whether the process run that was asked for began it.
    Unproven,
}


/// 128-bit hash of tenant, route and the attempt that began a stream.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[derive(Hash)]
pub struct StreamKey {

    /// High 64 bits.
    pub high: u64,

    /// Low 64 bits.
    pub low: u64,
}


/// Answer to a gateway's question.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[derive(Hash)]
pub struct OriginAnswer {

    /// Key of the stream.
    pub stream: StreamKey,

    /// What is known.
    pub finding: OriginFinding,
}


/// Answers to a gateway's questions.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[derive(Hash)]
pub struct OriginUpdate {

    /// Answers.
    pub answers: Vec<OriginAnswer>,
}


/// A gateway that takes requests of another one.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[derive(Hash)]
pub struct GatewayPeer {

    /// Gateway name.
    pub gateway: String,

    /// Zone the gateway runs in.
    pub zone: ZoneName,

    /// IP address and port at which it takes requests.
    pub address: String,

    /// Secret that requests must state.
    pub key: String,

    /// Services of which it reaches no instance.
    pub lost_services: Vec<ServiceName>,
}


/// The gateways to which a gateway that lacks contact may forward requests; replaces the previous list.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[derive(Hash)]
pub struct PeerUpdate {

    /// Leader's term; updates of a lower term than already seen are ignored.
    pub term: u64,

    /// Complete list; empty if no gateway can help.
    pub peers: Vec<GatewayPeer>,
}


/// Permits granted for one instance, each valid for one request.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[derive(Hash)]
pub struct PermitGrant {

    /// Rate-limited instance.
    pub instance: InstanceId,

    /// Number of permits.
    pub permits: u32,

    /// Time until the next waiting request can get a permit; 0 if all have one.
    pub wait_millis: u64,
}


/// Leader's response to a `PermitRequest`.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[derive(Hash)]
pub struct PermitResponse {

    /// Leader's term.
    pub term: u64,

    /// Number of the answered request.
    pub sequence: u64,

    /// Grants by instance.
    pub grants: Vec<PermitGrant>,
}


/// Catalog revision; incremented by every accepted change.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[derive(Hash)]
pub struct ConfigurationRevision(pub u64);


/// A stored catalog object.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[derive(Hash)]
pub struct StoredObject {

    /// Object key.
    pub key: ObjectKey,

    /// Object version: 1 on creation, incremented by every change. Not reset when the object is deleted and recreated.
    pub version: u64,

    /// Catalog revision of the last change.
    pub revision: ConfigurationRevision,

    /// Object specification.
    pub spec: ObjectSpec,
}


/// Catalog changes between two revisions.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[derive(Hash)]
pub struct ConfigurationDelta {

    /// Base revision; 0 if `full` is set.
    pub from: ConfigurationRevision,

    /// Revision after applying the delta.
    pub to: ConfigurationRevision,

    /// Whether `objects` is a full snapshot that replaces the local catalog.
    pub full: bool,

    /// Created or changed objects, ordered by revision.
    pub objects: Vec<StoredObject>,

    /// Deleted objects.
    pub removed: Vec<ObjectKey>,
}


/// Estimated availability of a model that has waiting requests.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[derive(Hash)]
pub struct LoadEstimate {

    /// Model name.
    pub model: ModelName,

    /// Estimated time until a replica can serve. The router refuses requests with an earlier deadline immediately.
    pub ready_in_millis: u64,

    /// Whether a replica can currently be placed.
    pub placeable: bool,
}


/// Route revision; incremented by every command that changes a route.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[derive(Hash)]
pub struct PlacementRevision(pub u64);


/// Lifecycle of a placed replica. It counts against limits and reserves its memory from placement to release.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[derive(Hash)]
pub enum ReplicaPhase {

    /// Placed; the load order is pending.
    Loading,

    /// The engine confirmed the load.
    Loaded,

    /// Retired and not routed to; the unload order is pending.
    Unloading,
}


/// A replica that a router may dispatch to.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[derive(Hash)]
pub struct ReplicaRoute {

    /// Slot of the replica.
    pub slot: SlotId,

    /// Model name.
    pub model: ModelName,

    /// Version of the weights.
    pub version: VersionLabel,

    /// Engine that holds the replica.
    pub backend: BackendName,

    /// Incarnation of the engine.
    pub incarnation: Incarnation,

    /// IP address and port of the engine.
    pub address: String,

    /// Zone of the engine.
    pub zone: ZoneName,

    /// Role of the engine.
    pub role: EngineRole,

    /// Lifecycle phase. Only `Loaded` replicas accept requests; `Loading` ones are listed for wait estimates.
    pub phase: ReplicaPhase,

    /// Whether the engine is draining and accepts no new work.
    pub leaving: bool,

    /// Adapters loaded with the replica.
    pub adapters: Vec<AdapterName>,

    /// Maximum concurrent requests.
    pub concurrency: u32,
}


/// A web backend that a router may dispatch to.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[derive(Hash)]
pub struct WebRoute {

    /// Backend name.
    pub backend: BackendName,

    /// Backend group.
    pub group: GroupName,

    /// Process incarnation.
    pub incarnation: Incarnation,

    /// IP address and port of the backend.
    pub address: String,

    /// Zone of the backend.
    pub zone: ZoneName,

    /// Whether the backend is draining and accepts no new work.
    pub leaving: bool,
}


/// Route changes between two revisions.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[derive(Hash)]
pub struct PlacementDelta {

    /// Base revision; 0 if `full` is set.
    pub from: PlacementRevision,

    /// Revision after applying the delta.
    pub to: PlacementRevision,

    /// Whether the delta is a full snapshot that replaces the local routes.
    pub full: bool,

    /// New or changed replicas.
    pub replicas: Vec<ReplicaRoute>,

    /// New or changed web backends.
    pub web: Vec<WebRoute>,

    /// Removed replicas.
    pub removed_slots: Vec<SlotId>,

    /// Removed web backends.
    pub removed_backends: Vec<BackendName>,
}


/// A backend that this router polls for the control group.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[derive(Hash)]
pub struct WatchedBackend {

    /// Backend name.
    pub backend: BackendName,

    /// Backend kind.
    pub kind: BackendKind,

    /// IP address and port of the backend.
    pub address: String,
}


/// Backends that a router polls.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[derive(Hash)]
pub struct WatchList {

    /// Assigned backends.
    pub backends: Vec<WatchedBackend>,
}


/// Leader's response to a router report: lease, changes and assigned backends.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[derive(Hash)]
pub struct RouterUpdate {

    /// Leader's term; updates of a lower term than already seen are ignored.
    pub term: u64,

    /// Number of the acknowledged report. The lease starts when the router sent that report, by the router's clock.
    pub sequence: u64,

    /// Validity of the catalog and routes.
    pub lease_millis: u64,

    /// Catalog changes; none if up to date.
    pub configuration: Option<ConfigurationDelta>,

    /// Route changes; none if up to date.
    pub placement: Option<PlacementDelta>,

    /// Full list of backends to poll; none if unchanged.
    pub watch: Option<WatchList>,

    /// Estimates for the models that the report lists with waiting requests.
    pub load_estimates: Vec<LoadEstimate>,

    /// Idempotency keys created before this time have expired.
    pub claims_created_after_unix_millis: u64,
}


/// What is known of a process run. Times are ages because clocks differ between processes.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[derive(Hash)]
pub struct RunProof {

    /// Instance incarnation.
    pub instance: InstanceId,

    /// Time since it was alive; none if that is not known.
    pub alive_millis: Option<u64>,

    /// Time since announcements showed that another process announces itself as this incarnation; none if they never did.
    pub restarted_millis: Option<u64>,
}


/// Answer to a gateway's question about process runs.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[derive(Hash)]
pub struct RunUpdate {

    /// Number of the question.
    pub number: u64,

    /// What is known of each known run.
    pub proofs: Vec<RunProof>,
}


/// Message from a control member to a router or gateway.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[derive(Hash)]
pub enum ControlToRouter {

    /// Response to a report.
    Update(RouterUpdate),

    /// Response to a claim, sent after it is committed.
    Claim(ClaimResponse),

    /// The conclusion of the claim with this attempt number is committed.
    ClaimFinished(u64),

    /// This member is not the leader; the message had no effect.
    NotLeader(NotLeader),

    /// Newer state than in the router's last report is available; the router should report immediately.
    ChangesAvailable,

    /// Gateway state update.
    Gateway(GatewayUpdate),

    /// Tenant quota granted to a gateway.
    Credit(CreditResponse),

    /// Quarantined requests, for a gateway.
    Crashes(CrashUpdate),

    /// Permits for rate-limited instances, for a gateway.
    Permits(PermitResponse),

    /// Rate limits stated by instances, for a gateway.
    Limits(LimitUpdate),

    /// Gateways that can serve requests of a gateway that lacks contact.
    Peers(PeerUpdate),

    /// Origins of streams that a gateway asked for.
    Origins(OriginUpdate),

    /// What is known of process runs that a gateway asked for.
    Runs(RunUpdate),
}


/// Requests a claim. The control group sets its own time.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[derive(Hash)]
pub struct ClaimRequest {

    /// Requested claim.
    pub claim: ClaimBegin,
}


/// An instance incarnation that crashed, and the requests of one gateway that were in flight on it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[derive(Hash)]
pub struct InstanceCrash {

    /// Crashed incarnation.
    pub instance: InstanceId,

    /// Requests whose connection was lost.
    pub requests: Vec<RequestFingerprint>,
}


/// Prompt of a request that was in flight at a crash.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[derive(Hash)]
pub struct CrashedPrompt {

    /// Hash of the whole prompt and its tenant; equal for all attempts of a request.
    pub identity: u64,

    /// Tenant; none where callers need no key.
    pub tenant: Option<TenantName>,

    /// Parts that other requests may share: all but the last one.
    pub parts: Vec<u64>,
}


/// An instance incarnation that crashed, and the prompts of one gateway that it had not begun to respond to, or only shortly before.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[derive(Hash)]
pub struct PromptCrash {

    /// Crashed incarnation.
    pub instance: InstanceId,

    /// Its service.
    pub service: ServiceName,

    /// Time since the crash.
    pub age_millis: u64,

    /// Prompts.
    pub prompts: Vec<CrashedPrompt>,
}


/// A part of prompts that an instance has responded to without a crash.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[derive(Hash)]
pub struct ServedPart {

    /// The part.
    pub key: PromptPartKey,

    /// Time since the newest moment at which it is known not to have crashed an instance.
    pub age_millis: u64,
}


/// Crashes observed by a gateway. Sent immediately; the first report on a connection repeats everything the gateway remembers.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[derive(Hash)]
pub struct CrashReport {

    /// Crashed incarnations.
    pub crashes: Vec<InstanceCrash>,

    /// Requests involved in a crash that have since been answered completely.
    pub served: Vec<RequestFingerprint>,

    /// Crashes with the prompts whose responses had only begun.
    pub prompts: Vec<PromptCrash>,

    /// Parts of prompts that instances have responded to without a crash.
    pub served_parts: Vec<ServedPart>,

    /// Refused parts known from an earlier leader; only in the first report on a connection.
    pub refused_parts: Vec<RefusedParts>,
}


/// Requests of one rank within a tenant.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[derive(Hash)]
pub struct RankDemand {

    /// Rank; 0 is the most urgent.
    pub rank: u32,

    /// Number of requests.
    pub requests: u32,

    /// Units that they need together.
    pub units: u64,
}


/// Credit request for one tenant, with reported use.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[derive(Hash)]
pub struct TenantCreditRequest {

    /// Tenant name.
    pub tenant: TenantName,

    /// Units needed by each queued request: first the repeated, then the new ones.
    pub queued_units: Vec<u64>,

    /// Units requested in advance for future requests; granted only if quota is ample.
    pub prefetch_units: u64,

    /// Unused units of earlier grants, returned to the quota.
    pub returned: u64,

    /// Units used without a grant while no leader was reachable.
    pub overdrawn: u64,

    /// Rank of each queued request within its tenant; 0 is the most urgent. A request without one counts as the least urgent.
    pub ranks: Vec<u32>,

    /// Longest time that each queued request waits for units; 0 if missing.
    pub wait_limits_millis: Vec<u32>,

    /// Requests since the previous message that were covered by the reserve or denied by the gateway itself.
    pub unclaimed: Vec<RankDemand>,

    /// Units granted ahead of requests in the leader's term that the gateway may still use; without those of answers after `answered`.
    pub held_units: u64,

    /// Number of queued requests that were sent before and may have run, or were granted units a window ago; they come first.
    pub repeated: u32,
}


/// Gateway request for tenant credit; answered immediately with `Credit`.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[derive(Hash)]
pub struct CreditRequest {

    /// Request number; increases within a process run.
    pub sequence: u64,

    /// Requests by tenant.
    pub tenants: Vec<TenantCreditRequest>,

    /// Term of the leader whose grants the gateway used; 0 for none.
    pub granted_in_term: u64,

    /// Number of the last answered request; 0 for none.
    pub answered: u64,
}


/// What a gateway reaches. Sent after the first report on a connection, and on each change.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[derive(Hash)]
pub struct GatewayReach {

    /// IP address and port at which it takes requests of other gateways.
    pub address: String,

    /// Secret that such requests must state; new with each process run.
    pub key: String,

    /// Whether it takes requests of other gateways.
    pub accepts: bool,

    /// Services of which it reaches no instance.
    pub lost_services: Vec<ServiceName>,

    /// Single instances that it does not reach; the list may be cut off.
    pub lost_instances: Vec<InstanceId>,
}


/// Relative time to the first byte of an engine's responses, as observed by one gateway since its last report.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[derive(Hash)]
pub struct EnginePaceSample {

    /// Instance incarnation.
    pub instance: InstanceId,

    /// Number of responses.
    pub samples: u32,

    /// Observed time relative to the time estimated for the same work at a typical engine, in hundredths; geometric mean over the responses.
    pub relative_time: u32,

    /// Time that work took on its machine as stated in the responses, 100 for the usual time; 0 if not stated.
    pub machine_time: u32,
}


/// Demand for a model, or a model with an adapter, at one gateway.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[derive(Hash)]
pub struct GatewayModelDemand {

    /// Service name.
    pub service: ServiceName,

    /// Model name.
    pub model: ModelName,

    /// Adapter; none for the base model.
    pub adapter: Option<AdapterName>,

    /// Requests waiting for the model, plus those refused for lack of it since the last report.
    pub unserved: u32,

    /// Requests received since the last report.
    pub arrivals: u32,

    /// Requests dispatched and not completed.
    pub in_flight: u32,

    /// Highest priority (lowest value) among the unserved requests.
    pub priority: u32,

    /// Estimated prompt tokens sent since the last report that were not in the engine's prefix cache.
    pub unread_tokens: u64,

    /// Callers refused since the last report because all slots of the model's replicas are in use, once each; also counted in `unserved`.
    pub refused_full: u32,
}


/// Gateway report, sent first on a connection, periodically, and immediately when demand arises.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[derive(Hash)]
pub struct GatewayReport {

    /// Gateway name.
    pub gateway: String,

    /// Zone the gateway runs in.
    pub zone: ZoneName,

    /// Report number; increases within a process run.
    pub sequence: u64,

    /// Active document version; 0 for none.
    pub version: u64,

    /// Demand since the last report.
    pub demand: Vec<GatewayModelDemand>,

    /// Instances whose observed state differs from their announcement: unreachable, or lacking an announced model.
    pub inconsistent: Vec<InstanceId>,

    /// Requests of this gateway in flight, by instance.
    pub in_flight: Vec<InstanceLoad>,

    /// Log index up to which the gateway has received all required entries; 0 for none.
    pub as_of: u64,

    /// Digests of the instance records known to the gateway; sent only in the first report on a connection.
    pub known_instance_digests: Vec<u64>,

    /// Speed of the engines that responded since the last report.
    pub paces: Vec<EnginePaceSample>,
}


/// Permit request for one instance.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[derive(Hash)]
pub struct InstancePermitRequest {

    /// Rate-limited instance.
    pub instance: InstanceId,

    /// Requests waiting for a permit.
    pub waiting: u32,

    /// Permits requested in advance for future requests; granted only if ample.
    pub prefetch: u32,

    /// Requests refused with a retry time since the previous permit request.
    pub refused: u32,
}


/// Gateway request for permits to send to rate-limited instances; answered immediately with `Permits`.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[derive(Hash)]
pub struct PermitRequest {

    /// Gateway name.
    pub gateway: String,

    /// Request number; increases within a process run.
    pub sequence: u64,

    /// Limits observed by this gateway and not yet reported on this connection.
    pub observations: Vec<LimitObservation>,

    /// Requests by instance.
    pub instances: Vec<InstancePermitRequest>,
}


/// Consensus group ID, carried by every internal message.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[derive(Hash)]
pub struct GroupId(pub u32);


/// First message on a router's connection.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[derive(Hash)]
pub struct RouterHello {

    /// Consensus group.
    pub group: GroupId,

    /// Router name.
    pub router: RouterName,

    /// Process incarnation.
    pub incarnation: Incarnation,

    /// Zone the router runs in.
    pub zone: ZoneName,

    /// IP address and port of the caller API.
    pub address: String,
}


/// Fastest storage tier that holds a checkpoint on an engine's machine.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[derive(Hash)]
pub enum CheckpointTier {

    /// Only in the weight store.
    Remote,

    /// On the local disk.
    Disk,

    /// In host memory.
    Memory,
}


/// A checkpoint cached on the engine's machine.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[derive(Hash)]
pub struct CheckpointReport {

    /// Checkpoint name.
    pub checkpoint: String,

    /// Storage tier that holds it.
    pub tier: CheckpointTier,
}


/// Phase of a slot as reported by the engine.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[derive(Hash)]
pub enum EngineSlotPhase {

    /// The load is in progress.
    Loading,

    /// Ready for requests.
    Loaded,

    /// The unload is in progress.
    Unloading,

    /// Unloaded; reported until a later order supersedes it.
    Unloaded,

    /// The load failed and uses no memory; contains the reason.
    Failed(String),
}


/// State of an adapter as reported by the engine.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[derive(Hash)]
pub struct EngineAdapterReport {

    /// Adapter name.
    pub adapter: AdapterName,

    /// Fence of the last order for the adapter.
    pub fence: LogPosition,

    /// Lifecycle phase.
    pub phase: EngineSlotPhase,
}


/// State of a slot as reported by the engine.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[derive(Hash)]
pub struct EngineSlotReport {

    /// Slot ID.
    pub slot: SlotId,

    /// Model name.
    pub model: ModelName,

    /// Version of the weights.
    pub version: VersionLabel,

    /// Fence of the last order for the slot.
    pub fence: LogPosition,

    /// Lifecycle phase.
    pub phase: EngineSlotPhase,

    /// Adapters of the slot.
    pub adapters: Vec<EngineAdapterReport>,

    /// Requests in the running batch.
    pub running: u32,

    /// Requests queued in the engine.
    pub waiting: u32,
}


/// Engine load report, served by GET /engine/report. It may be older than the request.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[derive(Hash)]
pub struct EngineReport {

    /// Engine name.
    pub backend: BackendName,

    /// Process incarnation.
    pub incarnation: Incarnation,

    /// Zone the engine runs in.
    pub zone: ZoneName,

    /// Current role.
    pub role: EngineRole,

    /// Report number; increases within an incarnation.
    pub sequence: u64,

    /// Highest fence accepted when the report was taken.
    pub highest_fence: LogPosition,

    /// Memory per accelerator.
    pub accelerator_bytes: Vec<u64>,

    /// Memory in use per accelerator.
    pub used_bytes: Vec<u64>,

    /// Slots of the engine.
    pub slots: Vec<EngineSlotReport>,

    /// Checkpoints in host memory or on disk.
    pub checkpoints: Vec<CheckpointReport>,
}


/// Web backend load report, served by GET /web/report.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[derive(Hash)]
pub struct WebReport {

    /// Backend name.
    pub backend: BackendName,

    /// Process incarnation.
    pub incarnation: Incarnation,

    /// Zone the backend runs in.
    pub zone: ZoneName,

    /// Report number; increases within an incarnation.
    pub sequence: u64,

    /// Requests in progress.
    pub running: u32,
}


/// Last observation of a watched backend.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[derive(Hash)]
pub enum BackendObservation {

    /// Report of an engine.
    Engine(EngineReport),

    /// Report of a web backend.
    Web(WebReport),

    /// The backend has stopped responding.
    Unreachable(BackendName),
}


/// Urgency class of a request, most urgent first.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[derive(Hash)]
pub enum Urgency {

    /// A user is waiting for the response.
    Interactive,

    /// Default class.
    Normal,

    /// Can be delayed.
    Batch,
}


/// Demand for a model, or a model with an adapter, at one router.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[derive(Hash)]
pub struct ModelDemand {

    /// Model name.
    pub model: ModelName,

    /// Adapter; none for the base model.
    pub adapter: Option<AdapterName>,

    /// Requests waiting for a replica.
    pub waiting: u32,

    /// Requests dispatched and not completed.
    pub in_flight: u32,

    /// Requests received since the router started.
    pub arrivals: u64,

    /// Queue time of the oldest waiting request.
    pub oldest_wait_millis: u64,

    /// Most urgent class among the waiting requests; `Batch` if there are none.
    pub most_urgent: Urgency,
}


/// Periodic router report; also serves as heartbeat and lease renewal.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[derive(Hash)]
pub struct RouterReport {

    /// Report number within the incarnation, increasing; echoed in the update.
    pub sequence: u64,

    /// Applied catalog revision.
    pub configuration: ConfigurationRevision,

    /// Applied route revision.
    pub placement: PlacementRevision,

    /// Models with waiting, in-flight or newly arrived requests.
    pub demand: Vec<ModelDemand>,

    /// Backend reports that differ from those last acknowledged.
    pub observations: Vec<BackendObservation>,

    /// Whether the router is shutting down and accepts no new requests.
    pub draining: bool,
}


/// A gateway's question until when process runs of instances are known to have been alive.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[derive(Hash)]
pub struct RunQuery {

    /// Number of the question on the connection.
    pub number: u64,

    /// Instance incarnations.
    pub runs: Vec<InstanceId>,
}


/// A stream whose first event a gateway has relayed.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[derive(Hash)]
pub struct BegunStream {

    /// Key of the stream.
    pub stream: StreamKey,

    /// Time for which its origin is to be kept.
    pub kept_millis: u32,

    /// Time since the connection was opened that brought its first event; none if its process run is certain.
    pub opened_millis: Option<u32>,
}


/// Streams of the same origin.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[derive(Hash)]
pub struct OriginGroup {

    /// Where they began; none if that is not known.
    pub origin: Option<StreamOrigin>,

    /// Streams.
    pub streams: Vec<BegunStream>,
}


/// Demand of streams for a model, or a model with an adapter, at the software version that began them.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[derive(Hash)]
pub struct StreamDemand {

    /// Service name.
    pub service: ServiceName,

    /// Model name.
    pub model: ModelName,

    /// Adapter; none for the base model.
    pub adapter: Option<AdapterName>,

    /// Version that must serve them.
    pub software: SoftwareVersion,

    /// Requests since the last report.
    pub requests: u32,
}


/// Origins of streams that a gateway relays, and its questions about others.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[derive(Hash)]
pub struct StreamReport {

    /// Streams that began, or, on a new connection, all whose origins are kept.
    pub begun: Vec<OriginGroup>,

    /// Streams that callers take up again.
    pub lookups: Vec<StreamKey>,

    /// Streams that wait for a model at their software version.
    pub waiting: Vec<StreamDemand>,
}


/// Message from a router or gateway to a control member.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[derive(Hash)]
pub enum RouterToControl {

    /// First message on the connection.
    Hello(RouterHello),

    /// Periodic report.
    Report(RouterReport),

    /// Requests a claim; answered with `Claim`.
    Claim(ClaimRequest),

    /// Concludes a claim; answered with `ClaimFinished`.
    FinishClaim(ClaimFinish),

    /// Gateway report; answered with `Gateway`.
    Gateway(GatewayReport),

    /// Gateway request for tenant credit; answered with `Credit`.
    Credit(CreditRequest),

    /// Instance crashes observed by a gateway.
    Crashes(CrashReport),

    /// Gateway request for instance permits; answered with `Permits`.
    Permits(PermitRequest),

    /// What a gateway reaches, and where it takes requests of others; answered with `Peers` if it lacks anything.
    Reach(GatewayReach),

    /// Origins of a gateway's streams, and its questions about others; answered with `Origins` if it asks.
    Streams(StreamReport),

    /// Gateway question about process runs of instances; answered with `Runs`.
    Runs(RunQuery),
}


/// Lifecycle of an adapter of a replica.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[derive(Hash)]
pub enum AdapterPhase {

    /// Attached; the load order is pending.
    Loading,

    /// The engine confirmed the load.
    Loaded,

    /// The unload order is pending.
    Unloading,
}


/// An adapter assigned to a replica. Its memory is reserved until the engine confirms the unload.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[derive(Hash)]
pub struct AdapterAttachment {

    /// Adapter name.
    pub adapter: AdapterName,

    /// Reserved accelerator memory.
    pub bytes: u64,

    /// Lifecycle phase.
    pub phase: AdapterPhase,

    /// Fence of the pending or last order.
    pub fence: LogPosition,

    /// Checkpoint name in the weight store.
    pub checkpoint: String,
}


/// A placed replica of a model.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[derive(Hash)]
pub struct Replica {

    /// Identity of the replica.
    pub slot: SlotId,

    /// Model name.
    pub model: ModelName,

    /// Version of the weights.
    pub version: VersionLabel,

    /// Engine that holds the replica.
    pub backend: BackendName,

    /// Incarnation of the engine.
    pub incarnation: Incarnation,

    /// Indices of the accelerators used by the replica.
    pub accelerators: Vec<u32>,

    /// Memory reserved for weights, summed over its accelerators.
    pub weights_bytes: u64,

    /// Memory reserved for caches, summed over its accelerators.
    pub cache_bytes: u64,

    /// Checkpoint name in the weight store.
    pub checkpoint: String,

    /// Lifecycle phase.
    pub phase: ReplicaPhase,

    /// Fence of the pending or last order.
    pub fence: LogPosition,

    /// Adapters attached to the replica.
    pub adapters: Vec<AdapterAttachment>,
}


/// Identity of a member of a control group. A member that lost its disk rejoins under a new identity.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[derive(Hash)]
pub struct MemberId(pub u64);


/// A member and its addresses.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[derive(Hash)]
pub struct MemberAddress {

    /// Member ID.
    pub member: MemberId,

    /// Zone the member runs in.
    pub zone: ZoneName,

    /// IP address and port for connections from members and routers.
    pub peer_address: String,

    /// IP address and port of the administration API.
    pub administration_address: String,
}


/// Part of an encoded `LinkMessage` that is too large to be sent whole; other messages may come between its parts.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[derive(Hash)]
pub struct MessagePart {

    /// Next bytes of the message.
    pub data: Bytes,

    /// Whether the message is complete.
    pub is_last: bool,
}


/// Members of a group. A non-empty `outgoing_voters` indicates joint consensus, in which both sets need a majority.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[derive(Hash)]
pub struct Membership {

    /// Voters of the new configuration.
    pub voters: Vec<MemberAddress>,

    /// Voters of the old configuration during a membership change; otherwise empty.
    pub outgoing_voters: Vec<MemberAddress>,

    /// Members that replicate the log without voting.
    pub learners: Vec<MemberAddress>,
}


/// Payload of a log entry.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[derive(Hash)]
pub enum EntryPayload {

    /// Empty entry that a new leader appends to commit earlier entries.
    Noop,

    /// Membership change; effective as soon as it is appended.
    Membership(Membership),

    /// State machine command.
    Command(Command),
}


/// Entry of the replicated log.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[derive(Hash)]
pub struct LogEntry {

    /// Term and index.
    pub position: LogPosition,

    /// Entry payload.
    pub payload: EntryPayload,
}


/// Replicates log entries; a request without entries is a heartbeat.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[derive(Hash)]
pub struct AppendRequest {

    /// Position of the entry preceding `entries`.
    pub previous: LogPosition,

    /// Consecutive log entries.
    pub entries: Vec<LogEntry>,

    /// Commit index of the leader.
    pub commit: u64,

    /// Heartbeat round, echoed in the response so that the leader's lease is counted from the send time.
    pub sequence: u64,
}


/// Response to an `AppendRequest`.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[derive(Hash)]
pub struct AppendResponse {

    /// Whether `previous` matched the local log.
    pub accepted: bool,

    /// Last index known to match and be synced; if refused, the index from which the leader should retry.
    pub match_index: u64,

    /// Heartbeat round of the request.
    pub sequence: u64,
}


/// Snapshot metadata.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[derive(Hash)]
pub struct SnapshotMeta {

    /// Last log entry included.
    pub last: LogPosition,

    /// Membership as of that entry.
    pub membership: Membership,
}


/// Chunk of a snapshot.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[derive(Hash)]
pub struct SnapshotChunk {

    /// Snapshot metadata.
    pub meta: SnapshotMeta,

    /// Byte offset of the chunk.
    pub offset: u64,

    /// Chunk bytes.
    pub data: Bytes,

    /// Whether this is the last chunk.
    pub last_chunk: bool,
}


/// Response to a `SnapshotChunk`.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[derive(Hash)]
pub struct SnapshotProgress {

    /// Last log entry of the snapshot being transferred.
    pub last: LogPosition,

    /// Byte offset of the next expected chunk.
    pub next_offset: u64,

    /// Whether the snapshot is complete, synced and applied.
    pub installed: bool,
}


/// Requests a vote.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[derive(Hash)]
pub struct VoteRequest {

    /// Last entry of the candidate's log.
    pub last: LogPosition,

    /// Whether the election was requested by the leader; its lease then does not block the vote.
    pub leadership_transfer: bool,
}


/// Response to a `VoteRequest`.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[derive(Hash)]
pub struct VoteResponse {

    /// Whether the vote was granted.
    pub granted: bool,
}


/// Message between members.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[derive(Hash)]
pub enum PeerMessage {

    /// Asks whether the receiver would vote for the sender in the next term.
    PreVoteRequest(VoteRequest),

    /// Response to a pre-vote request.
    PreVoteResponse(VoteResponse),

    /// Requests a vote.
    VoteRequest(VoteRequest),

    /// Response to a vote request.
    VoteResponse(VoteResponse),

    /// Log entries or a heartbeat.
    AppendRequest(AppendRequest),

    /// Response to an append request.
    AppendResponse(AppendResponse),

    /// Chunk of a snapshot.
    SnapshotChunk(SnapshotChunk),

    /// Response to a snapshot chunk.
    SnapshotProgress(SnapshotProgress),

    /// Starts an election immediately, for leadership transfer.
    TimeoutNow,
}


/// Message between members with its routing metadata.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[derive(Hash)]
pub struct PeerEnvelope {

    /// Consensus group; messages of other groups are dropped.
    pub group: GroupId,

    /// Sender.
    pub from: MemberId,

    /// Receiver; messages for another identity are dropped.
    pub to: MemberId,

    /// Sender's term; in a pre-vote request, the term of the prospective election.
    pub term: u64,

    /// Payload.
    pub message: PeerMessage,
}


/// An instance and the newest of its announcements that a member received.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[derive(Hash)]
pub struct InstanceHeartbeat {

    /// Instance incarnation.
    pub instance: InstanceId,

    /// Sequence of its last announcement received by the member.
    pub sequence: u64,
}


/// Report of a follower on the instances that announce themselves to it: changes since the leader's last acknowledgement. Also serves as the member's heartbeat.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[derive(Hash)]
pub struct ShareReport {

    /// Reporting member and its addresses.
    pub from: MemberAddress,

    /// Process run of the member; revisions restart with each.
    pub run: u64,

    /// Report number within the run, echoed in the response.
    pub number: u64,

    /// Revision that the leader is assumed to know; 0 if the report contains the complete share.
    pub base: u64,

    /// Revision after applying the report.
    pub revision: u64,

    /// Records new or changed since `base`.
    pub instances: Vec<InstanceRecord>,

    /// Instances that stopped announcing themselves to this member. They may have switched to another member.
    pub expired: Vec<InstanceHeartbeat>,

    /// Active instances that announced themselves without changes since the last report.
    pub heartbeats: Vec<InstanceHeartbeat>,

    /// Known revision of the list of active instances; 0 for none.
    pub active_revision: u64,
}


/// Response to a share report.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[derive(Hash)]
pub struct ShareResponse {

    /// Process run of the report.
    pub run: u64,

    /// Number of the report.
    pub number: u64,

    /// Current leader, if known to the responding member.
    pub leader: Option<MemberAddress>,

    /// Revision of the share known to the leader; none from a member that is not the leader.
    pub acknowledged_revision: Option<u64>,

    /// Revision of the list of active instances.
    pub active_revision: u64,

    /// Active instances of the share, if the reporting member has another revision of the list. Their unchanged announcements are reported as heartbeats.
    pub active: Option<Vec<InstanceId>>,
}


/// Message on a control member's peer port.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[derive(Hash)]
pub enum LinkMessage {

    /// From another member.
    Peer(PeerEnvelope),

    /// From a router or gateway.
    Router(RouterToControl),

    /// From a process that requests membership under this new identity.
    Join(MemberAddress),

    /// First message on a member's connection, with the sender's address for responses.
    MemberHello(MemberAddress),

    /// Report of the instances that announce themselves to the sending member.
    Share(ShareReport),

    /// Response to a share report.
    ShareResponse(ShareResponse),

    /// Part of a large message from a member.
    Part(MessagePart),
}


/// Number of an engine call, unique within the calling process; echoed with the result.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[derive(Hash)]
pub struct CallId(pub u64);


/// Operation of an engine instruction.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[derive(Hash)]
pub enum InstructionOperation {

    /// Loads a model, or an adapter of a loaded model.
    Load,

    /// Unloads a model or an adapter.
    Unload,
}


/// Instruction to an engine, conditional on the engine's revision.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[derive(Hash)]
pub struct EngineInstruction {

    /// Target incarnation; any other ignores the instruction.
    pub instance: InstanceId,

    /// IP address and port of the engine.
    pub address: String,

    /// Operation to execute.
    pub operation: InstructionOperation,

    /// Model name.
    pub model: ModelName,

    /// Adapter; none for the model itself.
    pub adapter: Option<AdapterName>,

    /// Revision the engine must be at; otherwise it does nothing.
    pub expected_revision: u64,

    /// Process that issues the instruction.
    pub issuer: String,

    /// Term of the issuing leader.
    pub fence: u64,

    /// Whether the weights are loaded from the weight store and count against its rate limit.
    pub from_store: bool,

    /// Call that carries the instruction.
    pub call: CallId,
}


/// Order to load an adapter.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[derive(Hash)]
pub struct LoadAdapterOrder {

    /// Slot of the base replica.
    pub slot: SlotId,

    /// Adapter name.
    pub adapter: AdapterName,

    /// Accelerator memory used by the adapter.
    pub bytes: u64,

    /// Checkpoint name in the weight store.
    pub checkpoint: String,
}


/// Order to load model weights.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[derive(Hash)]
pub struct LoadModelOrder {

    /// Slot of the new replica.
    pub slot: SlotId,

    /// Model name.
    pub model: ModelName,

    /// Version of the weights.
    pub version: VersionLabel,

    /// Indices of the accelerators to use.
    pub accelerators: Vec<u32>,

    /// Memory for weights, summed over all accelerators.
    pub weights_bytes: u64,

    /// Memory for caches, summed over all accelerators.
    pub cache_bytes: u64,

    /// Checkpoint name in the weight store.
    pub checkpoint: String,
}


/// Order to unload an adapter.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[derive(Hash)]
pub struct UnloadAdapterOrder {

    /// Slot of the base replica.
    pub slot: SlotId,

    /// Adapter name.
    pub adapter: AdapterName,
}


/// Action of an engine order.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[derive(Hash)]
pub enum OrderAction {

    /// Loads model weights.
    LoadModel(LoadModelOrder),

    /// Unloads a replica and its adapters.
    UnloadModel(SlotId),

    /// Loads an adapter of a replica.
    LoadAdapter(LoadAdapterOrder),

    /// Unloads an adapter.
    UnloadAdapter(UnloadAdapterOrder),

    /// Changes the engine's role.
    ChangeRole(EngineRole),
}


/// Entry of the platform's machine list.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[derive(Hash)]
pub struct PlatformMachine {

    /// Backend on the machine.
    pub backend: BackendName,

    /// Backend kind.
    pub kind: BackendKind,

    /// Group of a web backend; none for an engine.
    pub group: Option<GroupName>,

    /// Zone the machine is in.
    pub zone: ZoneName,

    /// IP address and port of the backend's HTTP interface.
    pub address: String,

    /// Backend state; may be out of date.
    pub state: BackendState,
}


/// Audit log record of an accepted change.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[derive(Hash)]
pub struct AuditRecord {

    /// Catalog revision that contains the change.
    pub revision: ConfigurationRevision,

    /// Changed object.
    pub key: ObjectKey,

    /// Object version after the change.
    pub version: u64,

    /// Change ID chosen by the client.
    pub change_id: ChangeId,

    /// Operator that submitted the change.
    pub operator: OperatorName,

    /// Wall-clock time on the receiving member.
    pub at_unix_millis: u64,

    /// Whether the change deleted the object.
    pub deleted: bool,
}


/// Full configuration of a deployment, versioned by the operator. The highest version applies.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[derive(Hash)]
pub struct DeploymentDocument {

    /// Document version.
    pub version: u64,

    /// All routes.
    pub routes: Vec<RouteSpec>,

    /// All services.
    pub services: Vec<ServiceSpec>,

    /// Caller limits.
    pub limits: CallerLimits,

    /// All tenants; if empty, callers need no key.
    pub tenants: Vec<TenantAccess>,
}


/// A fenced order, sent with POST /engine/orders. An engine refuses a fence lower than the highest it accepted and an incarnation other than its own; a repeated fence receives the original response.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[derive(Hash)]
pub struct EngineOrder {

    /// Fencing token.
    pub fence: LogPosition,

    /// Target engine.
    pub backend: BackendName,

    /// Incarnation of the target engine.
    pub incarnation: Incarnation,

    /// Action to execute.
    pub action: OrderAction,
}


/// Change of a prompt prefix block in an engine's cache.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[derive(Hash)]
pub enum CacheChange {

    /// The block was cached.
    Inserted,

    /// The block was evicted.
    Evicted,
}


/// An engine cache event.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[derive(Hash)]
pub struct CacheEvent {

    /// Event number within the incarnation, from 1; gaps indicate lost events.
    pub number: u64,

    /// Slot that owns the cache.
    pub slot: SlotId,

    /// Chained hash of the prompt up to the end of the block.
    pub prefix_hash: u64,

    /// Change of the block.
    pub change: CacheChange,
}


/// Cache events, served with delay and possible gaps by GET /engine/events?after=N.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[derive(Hash)]
pub struct CacheEvents {

    /// Engine name.
    pub backend: BackendName,

    /// Process incarnation; event numbers restart with each.
    pub incarnation: Incarnation,

    /// Oldest retained event number; a reader behind it must discard its state.
    pub oldest: u64,

    /// Events in ascending order, limited in number per response.
    pub events: Vec<CacheEvent>,
}


/// An accepted catalog change.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[derive(Hash)]
pub struct ChangeAccepted {

    /// New object version.
    pub version: u64,

    /// Catalog revision that contains the change.
    pub revision: ConfigurationRevision,
}


/// A change rejected because `expected_version` did not match.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[derive(Hash)]
pub struct VersionConflict {

    /// Current object version; 0 if the object does not exist.
    pub current_version: u64,
}


/// Result of a catalog change.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[derive(Hash)]
pub enum ObjectChangeOutcome {

    /// The change is committed.
    Accepted(ChangeAccepted),

    /// The object was changed concurrently; nothing was changed.
    VersionConflict(VersionConflict),

    /// The change is invalid or refers to a missing object; contains the reason and the remedy.
    Rejected(String),
}


/// Result of applying a command.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[derive(Hash)]
pub enum CommandOutcome {

    /// Applied.
    Done,

    /// Not applied because it no longer matches the state; contains the reason.
    Ignored(String),

    /// A replica was placed in this slot.
    Placed(SlotId),

    /// Result of a catalog change.
    Object(ObjectChangeOutcome),

    /// Decision on a claim.
    Claim(ClaimDecision),
}


/// A request that was executed more than once.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[derive(Hash)]
pub struct RepeatedRun {

    /// Tenant of the request.
    pub tenant: TenantName,

    /// Idempotency key or request ID.
    pub key: String,

    /// Number of executions.
    pub runs: u64,
}


/// Counters of one incarnation of an engine stand-in, served by GET /engine/audit.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[derive(Hash)]
pub struct EngineAudit {

    /// Engine name.
    pub backend: BackendName,

    /// Process incarnation.
    pub incarnation: Incarnation,

    /// Violation: rejected orders that would have exceeded an accelerator's memory.
    pub memory_overcommits: u64,

    /// Peak memory use per accelerator.
    pub peak_used_bytes: Vec<u64>,

    /// Requests for a slot that is not loaded, refused without execution.
    pub wrong_slot_requests: u64,

    /// Orders refused because of a stale fence.
    pub stale_fences: u64,

    /// Orders and requests refused because they name another incarnation.
    pub wrong_incarnations: u64,

    /// Violation: fences received again with a different order.
    pub conflicting_fences: u64,

    /// Accepted orders, excluding redeliveries.
    pub orders_accepted: u64,

    /// Orders rejected for other reasons.
    pub orders_rejected: u64,

    /// Successful model loads.
    pub model_loads: u64,

    /// Successful adapter loads.
    pub adapter_loads: u64,

    /// Failed loads.
    pub failed_loads: u64,

    /// Requests that entered the running batch for the first time.
    pub requests_started: u64,

    /// Requests in `requests_started` that resume an earlier stream.
    pub requests_resumed: u64,

    /// Requests answered completely.
    pub requests_finished: u64,

    /// Requests cancelled by the caller.
    pub requests_cancelled: u64,

    /// Requests refused without execution.
    pub requests_refused: u64,

    /// Running requests aborted by an unload or their deadline.
    pub requests_cut: u64,

    /// Requests moved from the batch back to the queue.
    pub preemptions: u64,

    /// Tokens generated.
    pub tokens: u64,

    /// Violation: idempotency keys executed more than once; bounded list.
    pub repeated_keys: Vec<RepeatedRun>,

    /// Request IDs executed more than once, excluding resumed streams; bounded list.
    pub repeated_requests: Vec<RepeatedRun>,

    /// Accelerator-milliseconds with weights loaded.
    pub loaded_accelerator_millis: u64,

    /// Part of `loaded_accelerator_millis` without running requests.
    pub idle_accelerator_millis: u64,

    /// Keys and request IDs evicted from the bounded tracking tables; if non-zero, the lists may be incomplete.
    pub forgotten_runs: u64,
}


/// Counters of one incarnation of a web backend stand-in, served by GET /web/audit.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[derive(Hash)]
pub struct WebAudit {

    /// Backend name.
    pub backend: BackendName,

    /// Process incarnation.
    pub incarnation: Incarnation,

    /// Requests served.
    pub requests: u64,

    /// Executions of non-repeatable endpoints.
    pub once_runs: u64,

    /// Distinct idempotency keys among `once_runs`.
    pub once_keys: u64,

    /// Executions without an idempotency key.
    pub once_without_key: u64,

    /// Keys evicted from the bounded tracking table; if non-zero, `repeated_keys` may be incomplete.
    pub forgotten_keys: u64,

    /// Violation: keys executed more than once; bounded list.
    pub repeated_keys: Vec<RepeatedRun>,
}


/// State of an engine.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[derive(Hash)]
pub struct EngineState {

    /// Number of instructions accepted.
    pub revision: u64,

    /// Whether an instruction is in progress.
    pub busy: bool,

    /// Loaded models.
    pub models: Vec<HeldModel>,

    /// Models whose weights are cached in host memory.
    pub in_memory: Vec<ModelName>,

    /// Models whose weights are cached on local disk.
    pub on_disk: Vec<ModelName>,

    /// Adapters being loaded, by model; they occupy adapter slots but do not serve yet.
    pub loading_adapters: Vec<HeldModel>,
}


/// Engine response to an order. Completion is reported separately in the engine report.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[derive(Hash)]
pub enum OrderResponse {

    /// Accepted now or by an earlier delivery.
    Accepted,

    /// Refused; contains the highest accepted fence.
    StaleFence(LogPosition),

    /// Refused; contains the engine's incarnation.
    WrongIncarnation(Incarnation),

    /// Refused without effect; contains the reason.
    Rejected(String),
}


/// Datagram with which a member describes its log, including uncommitted entries.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[derive(Hash)]
pub struct FreshnessResponse {

    /// Query round of the request.
    pub round: u64,

    /// Responding member.
    pub member: MemberId,

    /// Index of the last log entry required by gateways; 0 for none.
    pub required_index: u64,

    /// Index of the last applied entry.
    pub applied: u64,

    /// Index of the log entry that contains the member's current membership.
    pub membership_index: u64,

    /// Voters of that membership.
    pub voters: Vec<MemberId>,

    /// Voters of the old configuration during a membership change; both sets need a majority.
    pub outgoing_voters: Vec<MemberId>,

    /// Peer addresses of all these voters.
    pub addresses: Vec<String>,

    /// Current term of the member.
    pub term: u64,

    /// Peer address of that term's leader; none if unknown. The member's own address if it leads under its lease.
    pub leader: Option<String>,
}


/// State that a member syncs to disk before responding.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[derive(Hash)]
pub struct HardState {

    /// Latest known term.
    pub term: u64,

    /// Member voted for in that term; none if no vote was cast.
    pub voted_for: Option<MemberId>,
}


/// Result of an instruction or of an engine state query.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[derive(Hash)]
pub enum InstructionResult {

    /// The engine is executing the instruction.
    Accepted,

    /// The engine is already in the requested state.
    AlreadySo,

    /// Another instruction is in progress, or the engine's revision differs.
    Conflict,

    /// Another incarnation uses that address.
    OtherRun,

    /// The instruction cannot be executed; contains the reason.
    Refused(String),

    /// No response; the instruction may still be executed, possibly much later.
    Unanswered,

    /// Engine state, from a state query.
    State(EngineState),

    /// Not sent, and will not be: it expired or too many calls were queued.
    NotSent,
}


/// The platform's machine list, served by GET /machines.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[derive(Hash)]
pub struct PlatformList {

    /// List version; increases with every change.
    pub sequence: u64,

    /// All machines; a previously listed machine that is missing is gone.
    pub machines: Vec<PlatformMachine>,
}


/// State machine snapshot.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[derive(Hash)]
pub struct Snapshot {

    /// Snapshot metadata.
    pub meta: SnapshotMeta,

    /// Encoded state.
    pub data: SharedBytes,
}


/// Datagram in which a gateway asks every member whether its state may be outdated.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[derive(Hash)]
pub struct FreshnessRequest {

    /// Query round of the gateway, echoed in the response.
    pub round: u64,
}


/// Policy name.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[derive(Hash)]
pub struct PolicyName(pub String);


/// Counters of the weight store stand-in, served by GET /audit.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[derive(Hash)]
pub struct StoreAudit {

    /// Transfers started.
    pub started: u64,

    /// Transfers completed.
    pub finished: u64,

    /// Transfers refused with status 429.
    pub refused: u64,

    /// Transfers aborted by the client.
    pub abandoned: u64,

    /// Maximum number of concurrent transfers.
    pub most_at_once: u64,

    /// Bytes of completed transfers.
    pub bytes: u64,
}

