//! Message types. Generated from `schema/*.yaml` by `cargo xtask generate`; do not edit.

#![allow(unused_imports)]
use std::collections::BTreeMap as Map;
use serde::{Serialize, Deserialize};
use serde_bytes::ByteBuf as Bytes;


/// Random number drawn when a process starts; tells two runs of one process apart.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[derive(Hash)]
pub struct Incarnation(pub u64);


/// Name of a router process, unique in the deployment.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[derive(Hash)]
pub struct RouterName(pub String);


/// Concludes all open claims of one run of a router as `Unknown`: the run was replaced or lost its lease. A later word of that run on one of them still counts.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[derive(Hash)]
pub struct AbandonClaims {

    /// Router.
    pub router: RouterName,

    /// Run of that router.
    pub router_incarnation: Incarnation,
}


/// Name of an adapter, unique in the deployment.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[derive(Hash)]
pub struct AdapterName(pub String);


/// Identity of one decided replica: the log index of the command that decided it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[derive(Hash)]
pub struct SlotId(pub u64);


/// Decides to load or unload an adapter beside a replica.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[derive(Hash)]
pub struct AdapterDecision {

    /// Slot.
    pub slot: SlotId,

    /// Adapter.
    pub adapter: AdapterName,
}


/// Name of a back end (model engine or web server), unique in the deployment.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[derive(Hash)]
pub struct BackendName(pub String);


/// Whether a back end may take new work.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[derive(Hash)]
pub enum BackendState {

    /// May take new work.
    Live,

    /// Takes no new work; work in flight finishes.
    Leaving,

    /// Confirmed gone: its process and its memory no longer exist.
    Gone,
}


/// A change of a back end's state, from the platform's machine list or an operator.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[derive(Hash)]
pub struct BackendMark {

    /// Name.
    pub backend: BackendName,

    /// Run it applies to; another run is left alone.
    pub incarnation: Incarnation,

    /// New state.
    pub state: BackendState,
}


/// Kind of a back end.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[derive(Hash)]
pub enum BackendKind {

    /// A model engine.
    Engine,

    /// A web server.
    Web,
}


/// Name of a group of interchangeable web back ends.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[derive(Hash)]
pub struct GroupName(pub String);


/// Name of a zone, the unit that fails or is cut off together.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[derive(Hash)]
pub struct ZoneName(pub String);


/// A back end as first seen under one incarnation. A registration with a new incarnation frees all that the old one held.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[derive(Hash)]
pub struct BackendRegistration {

    /// Name.
    pub backend: BackendName,

    /// Kind.
    pub kind: BackendKind,

    /// Group of a web back end.
    pub group: Option<GroupName>,

    /// Zone.
    pub zone: ZoneName,

    /// IP address and port of its HTTP interface.
    pub address: String,

    /// Run of the process.
    pub incarnation: Incarnation,

    /// Memory of each accelerator, in bytes; empty for a web back end.
    pub accelerator_bytes: Vec<u64>,
}


/// Role of a model engine.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[derive(Hash)]
pub enum EngineRole {

    /// Prefill and decode.
    Mixed,

    /// Prefill only; exports KV cache.
    Prefill,

    /// Decode only; imports KV cache.
    Decode,
}


/// Decides an engine's role.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[derive(Hash)]
pub struct ChangeRole {

    /// Engine.
    pub backend: BackendName,

    /// Run of the engine.
    pub incarnation: Incarnation,

    /// New role.
    pub role: EngineRole,
}


/// Idempotency key of a request that may not be repeated, scoped by tenant.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[derive(Hash)]
pub struct ClaimKey(pub String);


/// Name of a tenant.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[derive(Hash)]
pub struct TenantName(pub String);


/// Claims the one run of a request that may not be repeated.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[derive(Hash)]
pub struct ClaimBegin {

    /// Tenant; keys of two tenants never meet.
    pub tenant: TenantName,

    /// Idempotency key.
    pub key: ClaimKey,

    /// BLAKE3 hash (hex) of method, path and body; the same key with another digest is refused.
    pub digest: String,

    /// When the key was born, as the key itself says.
    pub created_unix_millis: u64,

    /// Router that will dispatch.
    pub router: RouterName,

    /// Run of that router.
    pub router_incarnation: Incarnation,

    /// Number of the request within that run; a resend of the claim carries the same one.
    pub attempt: u64,

    /// Wall-clock time at the leader that proposed it; state keeps the greatest seen.
    pub at_unix_millis: u64,
}


/// The recorded answer of a request that ran.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[derive(Hash)]
pub struct RecordedAnswer {

    /// HTTP status.
    pub status: u32,

    /// Content type.
    pub content_type: String,

    /// Body, bounded by the setting `claims.maximum_answer_bytes`.
    pub body: Bytes,
}


/// How a claimed run ended.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[derive(Hash)]
pub enum ClaimConclusion {

    /// It ran and this is its answer.
    Answered(RecordedAnswer),

    /// No byte reached a back end; the claim is released and the key may be used again.
    NotRun,

    /// It may have run; it is never run again.
    Unknown,
}


/// Ends a claim.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[derive(Hash)]
pub struct ClaimFinish {

    /// Tenant.
    pub tenant: TenantName,

    /// Key.
    pub key: ClaimKey,

    /// Router that held it.
    pub router: RouterName,

    /// Run of that router.
    pub router_incarnation: Incarnation,

    /// Number of the request within that run.
    pub attempt: u64,

    /// How it ended.
    pub conclusion: ClaimConclusion,
}


/// Forgets claims born before a time; younger keys only are accepted from then on.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[derive(Hash)]
pub struct ExpireClaims {

    /// Threshold; never goes back.
    pub created_before_unix_millis: u64,
}


/// Identity of one run of an instance: its name and its incarnation; a restart begins a new one.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[derive(Hash)]
pub struct InstanceId(pub String);


/// Name of a model.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[derive(Hash)]
pub struct ModelName(pub String);


/// A model that an instance holds.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[derive(Hash)]
pub struct HeldModel {

    /// Model.
    pub model: ModelName,

    /// Adapters loaded beside it.
    pub adapters: Vec<AdapterName>,
}


/// Name of a service: interchangeable instances that serve the same routes.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[derive(Hash)]
pub struct ServiceName(pub String);


/// What an instance says of itself.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[derive(Hash)]
pub struct InstanceRecord {

    /// Identity of the run.
    pub instance: InstanceId,

    /// Service.
    pub service: ServiceName,

    /// IP address and port.
    pub address: String,

    /// Zone.
    pub zone: ZoneName,

    /// Requests it works on at once.
    pub slots: u32,

    /// It takes no new work.
    pub draining: bool,

    /// How much longer it is slow from its start.
    pub warmup_millis: u64,

    /// Grows with each announcement of the run.
    pub sequence: u64,

    /// Models it holds.
    pub models: Vec<HeldModel>,

    /// Models whose weights it has a copy of in host memory.
    pub in_memory: Vec<ModelName>,

    /// Models whose weights it has a copy of on its disk.
    pub on_disk: Vec<ModelName>,
}


/// What changed in the leader's view of instances. Kept so that a new leader, or a gateway that starts while there is none, begins with something; never a promise.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[derive(Hash)]
pub struct InstanceChanges {

    /// New or changed.
    pub instances: Vec<InstanceRecord>,

    /// Gone.
    pub removed: Vec<InstanceId>,
}


/// Records that an instance leaves or has left. It never takes new work again.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[derive(Hash)]
pub struct InstanceDeparture {

    /// Instance.
    pub instance: InstanceId,

    /// It has ended; otherwise it still works on what it has.
    pub ended: bool,
}


/// Engines that the leader is about to instruct. Kept in the log before the instructions leave, so that a new leader knows which engines may still hear from the one before.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[derive(Hash)]
pub struct InstructionIntent {

    /// Engines.
    pub instances: Vec<InstanceId>,

    /// Loads from the weight store among the instructions.
    pub store_loads: u32,
}


/// Caller-chosen identity of one configuration change; a resend carries the same one.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[derive(Hash)]
pub struct ChangeId(pub String);


/// Kind of a catalog object.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[derive(Hash)]
pub enum ObjectKind {

    /// A tenant.
    Tenant,

    /// A model.
    Model,

    /// A version of a model; its object name is `model@label`.
    Version,

    /// An adapter of a model.
    Adapter,

    /// A group of web back ends.
    BackendGroup,

    /// A policy.
    Policy,

    /// An operator account.
    Operator,
}


/// Kind and name of a catalog object.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[derive(Hash)]
pub struct ObjectKey {

    /// Kind.
    pub kind: ObjectKind,

    /// Name, unique within the kind.
    pub name: String,
}


/// An adapter loaded beside a model's weights.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[derive(Hash)]
pub struct AdapterSpec {

    /// Model it adapts.
    pub model: ModelName,

    /// Accelerator memory it takes.
    pub bytes: u64,

    /// Name of the checkpoint in the weight store.
    pub checkpoint: String,
}


/// A group of web back ends reached under one path prefix.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[derive(Hash)]
pub struct BackendGroupSpec {

    /// Requests whose path starts with it go to this group.
    pub path_prefix: String,

    /// Path prefixes whose requests run at most once and need an idempotency key.
    pub non_repeatable_paths: Vec<String>,
}


/// Label of one version of a model, unique within the model.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[derive(Hash)]
pub struct VersionLabel(pub String);


/// What an operator states of a model.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[derive(Hash)]
pub struct ModelSpec {

    /// Version that new replicas load.
    pub current_version: VersionLabel,

    /// Accelerators one replica spans, from 1.
    pub accelerators_per_replica: u32,

    /// Upper bound of decided replicas.
    pub maximum_replicas: u32,

    /// Replicas kept loaded without demand.
    pub minimum_replicas: u32,

    /// Requests one replica serves at once.
    pub concurrency_per_replica: u32,
}


/// What an operator account may do.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[derive(Hash)]
pub enum OperatorRole {

    /// Read.
    Viewer,

    /// Read and change the catalog.
    Editor,

    /// Everything, with operator accounts and membership.
    Administrator,
}


/// An operator account.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[derive(Hash)]
pub struct OperatorSpec {

    /// BLAKE3 hash (hex) of the operator's key.
    pub key_hash: String,

    /// What the account may do.
    pub role: OperatorRole,
}


/// One example case of a policy.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[derive(Hash)]
pub struct PolicyExample {

    /// Tenant of the request.
    pub tenant: TenantName,

    /// Model asked for.
    pub model: ModelName,

    /// Adapter asked for.
    pub adapter: Option<AdapterName>,

    /// Kind of request: `completion`, `chat` or `web`.
    pub kind: String,

    /// Expected verdict.
    pub allowed: bool,
}


/// A policy: three short programs in Common Expression Language.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[derive(Hash)]
pub struct PolicySpec {

    /// Boolean expression: whether the request is allowed. Some policy must allow; otherwise it is refused.
    pub allow: String,

    /// Boolean expression: a request it holds for is refused whatever other policies allow.
    pub deny: Option<String>,

    /// Expression giving `interactive`, `normal` or `batch`; the first policy by name that allows and states one decides.
    pub urgency: Option<String>,

    /// Expression giving the accelerator bytes the tenant may hold; the smallest over allowing policies counts.
    pub capacity_bytes: Option<String>,

    /// Cases tried when the policy is submitted; a failing case rejects it.
    pub examples: Vec<PolicyExample>,
}


/// What an operator states of a tenant.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[derive(Hash)]
pub struct TenantSpec {

    /// BLAKE3 hashes (hex) of the tenant's API keys; keys are never stored.
    pub api_key_hashes: Vec<String>,

    /// Weight of the tenant's fair share of a contended queue, from 1.
    pub share_weight: u32,

    /// Accelerator bytes that models loaded for this tenant alone may hold.
    pub capacity_bytes: u64,

    /// Requests of this tenant that may wait at one router.
    pub maximum_waiting: u32,
}


/// One version of a model's weights.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[derive(Hash)]
pub struct VersionSpec {

    /// Model it belongs to.
    pub model: ModelName,

    /// Label.
    pub label: VersionLabel,

    /// Size of the weights, over all accelerators of a replica.
    pub weights_bytes: u64,

    /// Memory reserved beside the weights for prefix and KV cache.
    pub cache_bytes: u64,

    /// Name of the checkpoint in the weight store.
    pub checkpoint: String,
}


/// What an operator states of one catalog object.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[derive(Hash)]
pub enum ObjectSpec {

    /// A tenant.
    Tenant(TenantSpec),

    /// A model.
    Model(ModelSpec),

    /// A version of a model.
    Version(VersionSpec),

    /// An adapter.
    Adapter(AdapterSpec),

    /// A group of web back ends.
    BackendGroup(BackendGroupSpec),

    /// A policy.
    Policy(PolicySpec),

    /// An operator account.
    Operator(OperatorSpec),
}


/// Name of an operator account.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[derive(Hash)]
pub struct OperatorName(pub String);


/// One change of one catalog object, as submitted.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[derive(Hash)]
pub struct ObjectChange {

    /// Object to change.
    pub key: ObjectKey,

    /// Version the operator saw; 0 for an object that must not exist. A mismatch changes nothing.
    pub expected_version: u64,

    /// Identity of the change; a resend gets the first answer.
    pub change_id: ChangeId,

    /// Who submits it.
    pub operator: OperatorName,

    /// Wall-clock time at the member that took it, for the audit log only.
    pub at_unix_millis: u64,

    /// New content; none deletes the object.
    pub spec: Option<ObjectSpec>,
}


/// Position of an entry in a replicated log. Ordered by term, then index; serves as the fence of an order.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[derive(Hash)]
pub struct LogPosition {

    /// Election term of the leader that wrote the entry.
    pub term: u64,

    /// Index of the entry, from 1.
    pub index: u64,
}


/// What an engine reported of an order.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[derive(Hash)]
pub enum OrderResult {

    /// Weights or adapter are loaded.
    Loaded,

    /// Weights or adapter are gone and their memory is free.
    Unloaded,

    /// The load failed and holds no memory; reason.
    Failed(String),
}


/// An order's result as confirmed by the engine. Ignored unless incarnation and fence match the outstanding order.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[derive(Hash)]
pub struct OrderSettlement {

    /// Slot.
    pub slot: SlotId,

    /// Adapter, for an adapter order.
    pub adapter: Option<AdapterName>,

    /// Engine.
    pub backend: BackendName,

    /// Run of the engine.
    pub incarnation: Incarnation,

    /// Fence of the order that is settled.
    pub fence: LogPosition,

    /// Result.
    pub result: OrderResult,
}


/// Decides one more replica and reserves its memory. Refused at apply when the slot count differs from the expected one, when the maximum is reached, when memory lacks, or when the engine is not live under this incarnation.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[derive(Hash)]
pub struct PlaceReplica {

    /// Model.
    pub model: ModelName,

    /// Version.
    pub version: VersionLabel,

    /// Engine.
    pub backend: BackendName,

    /// Run of the engine.
    pub incarnation: Incarnation,

    /// Accelerators to span.
    pub accelerators: Vec<u32>,

    /// Slots of the model the proposer saw, in every phase.
    pub expected_slots: u32,
}


/// What a caller may send, and how long it may take.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[derive(Hash)]
pub struct CallerLimits {

    /// Most bytes of a header; 0 for the built-in limit.
    pub header_bytes: u64,

    /// Most bytes of a body; 0 for the built-in limit.
    pub body_bytes: u64,

    /// Time to send a header; 0 for the built-in limit.
    pub header_millis: u64,

    /// Time a connection may rest; 0 for the built-in limit.
    pub idle_millis: u64,
}


/// What may be repeated on a route.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[derive(Hash)]
pub enum RouteKind {

    /// May run more than once.
    Repeatable,

    /// May run at most once for each attempt of a caller.
    Once,

    /// Answers with a series of events; runs at most once unless the route is resumable.
    Stream,
}


/// A service that a route sends to.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[derive(Hash)]
pub struct RouteTarget {

    /// Service.
    pub service: ServiceName,

    /// Share of the route's requests, relative to the other targets; 0 gets none.
    pub weight: u32,
}


/// A route: host and path prefix, and how its requests are served.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[derive(Hash)]
pub struct RouteSpec {

    /// Name.
    pub name: String,

    /// Host that callers name, without port, in lower case.
    pub host: String,

    /// Beginning of the path; the longest matching one wins.
    pub path_prefix: String,

    /// What may be repeated.
    pub kind: RouteKind,

    /// A stream may go on at another instance after its last event.
    pub resumable: bool,

    /// Longest time an attempt is held.
    pub timeout_millis: u64,

    /// Time within which an answer (of a stream, its first event) is on time; 0 for none.
    pub objective_millis: u64,

    /// Longest pause between events that is on time; 0 for none.
    pub gap_objective_millis: u64,

    /// Rank, 0 is the most urgent.
    pub priority: u32,

    /// Most instances that one attempt may be sent to.
    pub maximum_attempts: u32,

    /// Requests share parts of their prompts.
    pub prompt_affinity: bool,

    /// Services, at least one with a weight.
    pub targets: Vec<RouteTarget>,

    /// Time after which callers of a stream leave if nothing has come; 0 for no such time.
    pub first_event_millis: u64,

    /// Callers without a key are served where the document has tenants.
    pub anonymous: bool,
}


/// A model that a service's engines may hold.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[derive(Hash)]
pub struct EngineModelSpec {

    /// Model.
    pub name: ModelName,

    /// Accelerator memory of its weights.
    pub weights_kilobytes: u64,

    /// Load time from the weight store.
    pub load_millis: u64,

    /// Load time from the engine's own disk.
    pub disk_load_millis: u64,

    /// Load time from the engine's host memory.
    pub memory_load_millis: u64,

    /// Number of its adapters.
    pub adapters: u32,

    /// Accelerator memory of one adapter.
    pub adapter_kilobytes: u64,
}


/// What the engines of a service can hold.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[derive(Hash)]
pub struct EngineSpec {

    /// Requests in one batch.
    pub slots: u32,

    /// Tokens that running requests and kept prompt parts may take.
    pub cache_tokens: u64,

    /// Accelerator memory for weights and adapters.
    pub weights_kilobytes: u64,

    /// Adapters at one time.
    pub adapter_slots: u32,

    /// Loads from the weight store that may begin in a second, over all engines, in thousandths.
    pub milliloads_per_second: u64,

    /// Models.
    pub models: Vec<EngineModelSpec>,
}


/// A service.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[derive(Hash)]
pub struct ServiceSpec {

    /// Name.
    pub name: ServiceName,

    /// Path of the health check.
    pub health_path: String,

    /// Connections that one instance takes from all callers together; 0 for no limit.
    pub maximum_connections: u32,

    /// Present when its instances are model engines.
    pub engine: Option<EngineSpec>,
}


/// What a tenant's quota counts.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[derive(Hash)]
pub enum QuotaUnit {

    /// Each request counts one unit.
    Requests,

    /// A request counts the tokens of its prompt and the most it may get; one that states none counts the tenant's plain cost.
    Tokens,
}


/// A tenant of a deployment document: who its callers are, how urgent they are, how much they may ask for.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[derive(Hash)]
pub struct TenantAccess {

    /// Name; instances are told it.
    pub name: TenantName,

    /// BLAKE3 hashes (hex) of the tenant's API keys.
    pub key_hashes: Vec<String>,

    /// Rank, 0 is the most urgent; counts before the rank of the route.
    pub priority: u32,

    /// What the quota counts.
    pub unit: QuotaUnit,

    /// Units of a request that states no tokens, where tokens count.
    pub plain_cost: u64,

    /// Units that the tenant may use in a second, over all gateways; 0 for no limit.
    pub units_per_second: u64,

    /// Units that it may use beyond that at once.
    pub burst_units: u64,
}


/// A whole configuration under the operator's own version. The highest version wins.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[derive(Hash)]
pub struct DeploymentDocument {

    /// Version.
    pub version: u64,

    /// Routes.
    pub routes: Vec<RouteSpec>,

    /// Services.
    pub services: Vec<ServiceSpec>,

    /// Limits of callers.
    pub limits: CallerLimits,

    /// Tenants; without any, callers need no key.
    pub tenants: Vec<TenantAccess>,
}


/// Puts a document in force unless a version as high is held.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[derive(Hash)]
pub struct PutDocument {

    /// What is derived from the source.
    pub document: DeploymentDocument,

    /// The document as the operator sent it.
    pub source: Bytes,
}


/// What the tries of one request share: a hash of caller, method, host, path and body, as two halves of 128 bits. All zero where it is not known.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[derive(Hash)]
pub struct RequestFingerprint {

    /// First half.
    pub high: u64,

    /// Second half.
    pub low: u64,
}


/// A request that ends the instances that run it. Kept in the log, so that it stays held back over a change of leader and a loss of power.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[derive(Hash)]
pub struct QuarantineRecord {

    /// Request.
    pub request: RequestFingerprint,

    /// Ends that count against it; the time for which it is held back follows.
    pub crashes: u32,

    /// That time is over; one more end holds it back anew.
    pub expired: bool,
}


/// Decides to unload a replica. Its memory stays reserved until the engine confirms.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[derive(Hash)]
pub struct RetireReplica {

    /// Slot.
    pub slot: SlotId,
}


/// A role as confirmed by the engine. Ignored unless incarnation and fence match the outstanding order.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[derive(Hash)]
pub struct RoleSettlement {

    /// Engine.
    pub backend: BackendName,

    /// Run of the engine.
    pub incarnation: Incarnation,

    /// Fence of the order that is settled.
    pub fence: LogPosition,
}


/// A command of the replicated log.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[derive(Hash)]
pub enum Command {

    /// Change the catalog.
    ChangeObject(ObjectChange),

    /// Register a run of a back end.
    RegisterBackend(BackendRegistration),

    /// Change a back end's state.
    MarkBackend(BackendMark),

    /// Decide a replica.
    PlaceReplica(PlaceReplica),

    /// Decide an unload.
    RetireReplica(RetireReplica),

    /// Decide an adapter load.
    AttachAdapter(AdapterDecision),

    /// Decide an adapter unload.
    DetachAdapter(AdapterDecision),

    /// Record an order's result.
    SettleOrder(OrderSettlement),

    /// Claim a run.
    BeginClaim(ClaimBegin),

    /// End a claim.
    FinishClaim(ClaimFinish),

    /// Forget old claims.
    ExpireClaims(ExpireClaims),

    /// Decide a role.
    ChangeRole(ChangeRole),

    /// Conclude the open claims of a lost router.
    AbandonClaims(AbandonClaims),

    /// Record that an engine took its role.
    SettleRole(RoleSettlement),

    /// Put a deployment document in force.
    PutDocument(PutDocument),

    /// Record that an instance leaves.
    DepartInstance(InstanceDeparture),

    /// Keep the leader's view of instances.
    RecordInstances(InstanceChanges),

    /// Say which engines are about to be instructed.
    RecordInstructionIntent(InstructionIntent),

    /// Keep how many loads from the weight store at once go at full speed as far as the leader knows, in hundredths.
    RecordStoreCapacity(u32),

    /// Keep a request that ends the instances that run it.
    QuarantineRequest(QuarantineRecord),

    /// Let such a request go.
    LiftQuarantine(RequestFingerprint),
}


/// Life of a decided replica. It counts, with its memory, from decision to release.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[derive(Hash)]
pub enum ReplicaPhase {

    /// Decided; the load order is outstanding.
    Loading,

    /// The engine confirmed the load.
    Loaded,

    /// Retired; the unload order is outstanding. Not routed to.
    Unloading,
}


/// A replica a router may dispatch to.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[derive(Hash)]
pub struct ReplicaRoute {

    /// Slot.
    pub slot: SlotId,

    /// Model.
    pub model: ModelName,

    /// Version.
    pub version: VersionLabel,

    /// Engine.
    pub backend: BackendName,

    /// Run of the engine.
    pub incarnation: Incarnation,

    /// IP address and port.
    pub address: String,

    /// Zone.
    pub zone: ZoneName,

    /// Role of the engine.
    pub role: EngineRole,

    /// Phase; only `Loaded` takes requests, `Loading` is told so waits can be estimated.
    pub phase: ReplicaPhase,

    /// The engine is leaving: no new work.
    pub leaving: bool,

    /// Adapters loaded beside it.
    pub adapters: Vec<AdapterName>,

    /// Requests it serves at once.
    pub concurrency: u32,
}


/// Answer to a claim.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[derive(Hash)]
pub enum ClaimDecision {

    /// This attempt, and no other, may dispatch once.
    Granted,

    /// It ran before; this is the answer.
    Answered(RecordedAnswer),

    /// Another attempt holds the claim.
    InProgress,

    /// An earlier attempt may have run; it is not run again.
    MayHaveRun,

    /// The key was used for another request.
    DigestMismatch,

    /// The key is older than claims are kept; nothing was run.
    Expired,

    /// The table of claims is full; nothing was run. Come back when older claims have expired.
    Overloaded,

    /// The key says that it is born later than the clock allows; nothing was run.
    BornInFuture,
}


/// Answer to a claim.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[derive(Hash)]
pub struct ClaimResponse {

    /// Attempt it answers.
    pub attempt: u64,

    /// Decision.
    pub decision: ClaimDecision,
}


/// A request that is held back, or suspected.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[derive(Hash)]
pub struct QuarantinedRequest {

    /// Request.
    pub request: RequestFingerprint,

    /// How much longer it is refused; 0 if it is sent apart from others instead.
    pub remaining_millis: u64,
}


/// To a gateway: all requests that are held back or suspected.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[derive(Hash)]
pub struct CrashUpdate {

    /// Leader's term; an update of a lower term than seen is ignored.
    pub term: u64,

    /// Requests; those left out are neither any more.
    pub requests: Vec<QuarantinedRequest>,
}


/// What a gateway gets of one tenant's quota.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[derive(Hash)]
pub struct CreditGrant {

    /// Tenant.
    pub tenant: TenantName,

    /// How many of the requests that wait, from the first, may go.
    pub granted_requests: u32,

    /// Units for requests to come.
    pub prefetched_units: u64,

    /// Time until the first request that is not covered may be; 0 when all are.
    pub wait_millis: u64,

    /// More than half of what the tenant may use at once is there.
    pub over_half_available: bool,
}


/// Answer of the leader to a `CreditRequest`.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[derive(Hash)]
pub struct CreditResponse {

    /// Leader's term.
    pub term: u64,

    /// Request that it answers.
    pub sequence: u64,

    /// By tenant.
    pub grants: Vec<CreditGrant>,
}


/// What tells a route from the others of its document.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[derive(Hash)]
pub struct RouteKey {

    /// Host.
    pub host: String,

    /// Beginning of the path.
    pub path_prefix: String,
}


/// What turns one version of a document into a later one.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[derive(Hash)]
pub struct DocumentChange {

    /// Version that it changes; without that very version it is of no use.
    pub base: u64,

    /// Version that it gives.
    pub version: u64,

    /// Routes that are new or changed.
    pub routes: Vec<RouteSpec>,

    /// Routes that are gone.
    pub removed_routes: Vec<RouteKey>,

    /// Services that are new or changed.
    pub services: Vec<ServiceSpec>,

    /// Services that are gone.
    pub removed_services: Vec<ServiceName>,

    /// Limits of callers.
    pub limits: CallerLimits,

    /// Tenants that are new or changed.
    pub tenants: Vec<TenantAccess>,

    /// Tenants that are gone.
    pub removed_tenants: Vec<TenantName>,
}


/// Requests in flight at an instance.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[derive(Hash)]
pub struct InstanceLoad {

    /// Run.
    pub instance: InstanceId,

    /// Requests.
    pub in_flight: u32,
}


/// When a model, or model with adapter, that is being loaded will be ready.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[derive(Hash)]
pub struct ModelReadyEstimate {

    /// Service.
    pub service: ServiceName,

    /// Model.
    pub model: ModelName,

    /// Adapter.
    pub adapter: Option<AdapterName>,

    /// Estimated time until it serves.
    pub ready_in_millis: u64,
}


/// What the leader pushes to a gateway: changes since the last update on the same connection; the first carries everything.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[derive(Hash)]
pub struct GatewayUpdate {

    /// Leader's term; an update of a lower term than seen is ignored.
    pub term: u64,

    /// The leader has heard long enough to know every instance: those it has not named on this connection are gone.
    pub complete: bool,

    /// First update on this connection: `instances` are all that the leader knows.
    pub first: bool,

    /// Document, when newer than the gateway's.
    pub document: Option<DeploymentDocument>,

    /// Instances new or changed.
    pub instances: Vec<InstanceRecord>,

    /// Instances that are gone.
    pub removed: Vec<InstanceId>,

    /// Models being loaded now.
    pub ready_estimates: Vec<ModelReadyEstimate>,

    /// Gateways that report to this leader; 0 while it has not led for long enough to know.
    pub gateways: u32,

    /// Addresses of the control members.
    pub members: Vec<String>,

    /// From a member that does not lead, out of its own copy: for a gateway that has nothing yet.
    pub provisional: bool,

    /// What all gateways have in flight at the busiest instances.
    pub loads: Vec<InstanceLoad>,

    /// Number of the newest report that was taken on this connection before the update was made; 0 for none.
    pub acknowledged_report: u64,

    /// Log index up to which the gateway has, with this update, been told what binds it: the document and departures; 0 where the member does not say.
    pub as_of: u64,

    /// What changed since the document that the gateway has, in place of `document`.
    pub document_change: Option<DocumentChange>,

    /// In the first update on a connection: those of the digests that the gateway reported whose records stand as they are; they count as named.
    pub unchanged_instance_digests: Vec<u64>,

    /// `outlook` is left out: what was told last on this connection still holds.
    pub ready_estimates_unchanged: bool,

    /// `loads` is left out: they are as told last on this connection.
    pub loads_unchanged: bool,

    /// Version of the document in force at `as_of`; 0 for none. A gateway that holds an older one lacks what binds it.
    pub document_version: u64,
}


/// What an instance was last heard to state of its limit. Ages, as clocks differ.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[derive(Hash)]
pub struct LimitObservation {

    /// Instance.
    pub instance: InstanceId,

    /// Thousandths of a request a second that it takes from all gateways together; none if it states no limit any more.
    pub milli_per_second: Option<u64>,

    /// Age of the request whose answer stated it.
    pub request_age_millis: u64,

    /// Age of that answer.
    pub response_age_millis: u64,
}


/// To a gateway: the limits that instances state, as the leader knows them. Those left out are not known to the leader.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[derive(Hash)]
pub struct LimitUpdate {

    /// Leader's term.
    pub term: u64,

    /// Limits, and those withdrawn lately.
    pub limits: Vec<LimitObservation>,
}


/// Where the leader is.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[derive(Hash)]
pub struct NotLeader {

    /// Peer address of the leader, if known.
    pub leader_address: Option<String>,
}


/// Permits for one instance; each is for one request.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[derive(Hash)]
pub struct PermitGrant {

    /// Instance.
    pub instance: InstanceId,

    /// Permits.
    pub permits: u32,

    /// Time until the first request without a permit may have one; 0 when all have.
    pub wait_millis: u64,
}


/// Answer of the leader to a `PermitRequest`.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[derive(Hash)]
pub struct PermitResponse {

    /// Leader's term.
    pub term: u64,

    /// Request that it answers.
    pub sequence: u64,

    /// By instance.
    pub grants: Vec<PermitGrant>,
}


/// Counter of accepted catalog changes; grows by one with each.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[derive(Hash)]
pub struct ConfigurationRevision(pub u64);


/// A catalog object as stored.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[derive(Hash)]
pub struct StoredObject {

    /// Kind and name.
    pub key: ObjectKey,

    /// Version of this object: 1 when created, one more with each change. Continues over delete and re-creation.
    pub version: u64,

    /// Revision of the catalog at which it last changed.
    pub revision: ConfigurationRevision,

    /// What it states.
    pub spec: ObjectSpec,
}


/// Catalog changes between two revisions.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[derive(Hash)]
pub struct ConfigurationDelta {

    /// Applies to a catalog at this revision; 0 with `full`.
    pub from: ConfigurationRevision,

    /// Revision after applying it.
    pub to: ConfigurationRevision,

    /// The objects are the whole catalog and replace what is held.
    pub full: bool,

    /// Objects created or changed, in order of revision.
    pub objects: Vec<StoredObject>,

    /// Objects deleted.
    pub removed: Vec<ObjectKey>,
}


/// What the leader expects of a model that has waiting requests.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[derive(Hash)]
pub struct LoadEstimate {

    /// Model.
    pub model: ModelName,

    /// Estimated time until a replica serves; the router refuses at once those whose deadline is earlier.
    pub ready_in_millis: u64,

    /// Whether a replica can be placed at all as things stand.
    pub placeable: bool,
}


/// Counter of changes to routes; grows by one with each command that changes one.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[derive(Hash)]
pub struct PlacementRevision(pub u64);


/// A web back end a router may dispatch to.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[derive(Hash)]
pub struct WebRoute {

    /// Back end.
    pub backend: BackendName,

    /// Group.
    pub group: GroupName,

    /// Run.
    pub incarnation: Incarnation,

    /// IP address and port.
    pub address: String,

    /// Zone.
    pub zone: ZoneName,

    /// It is leaving: no new work.
    pub leaving: bool,
}


/// Route changes between two revisions.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[derive(Hash)]
pub struct PlacementDelta {

    /// Applies to routes at this revision; 0 with `full`.
    pub from: PlacementRevision,

    /// Revision after applying it.
    pub to: PlacementRevision,

    /// The routes are all there are and replace what is held.
    pub full: bool,

    /// Replicas new or changed.
    pub replicas: Vec<ReplicaRoute>,

    /// Web back ends new or changed.
    pub web: Vec<WebRoute>,

    /// Replicas no longer there.
    pub removed_slots: Vec<SlotId>,

    /// Web back ends no longer there.
    pub removed_backends: Vec<BackendName>,
}


/// A back end that this router watches for the control group.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[derive(Hash)]
pub struct WatchedBackend {

    /// Back end.
    pub backend: BackendName,

    /// Kind.
    pub kind: BackendKind,

    /// IP address and port.
    pub address: String,
}


/// The back ends a router watches.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[derive(Hash)]
pub struct WatchList {

    /// Back ends.
    pub backends: Vec<WatchedBackend>,
}


/// Answer of the leader to a report: leases, changes, and the share to watch.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[derive(Hash)]
pub struct RouterUpdate {

    /// Leader's term; an update of a lower term than seen is ignored.
    pub term: u64,

    /// Report it answers; the lease counts from when that report was sent, by the router's own clock.
    pub sequence: u64,

    /// How long catalog and routes may be used.
    pub lease_millis: u64,

    /// Catalog changes, if any.
    pub configuration: Option<ConfigurationDelta>,

    /// Route changes, if any.
    pub placement: Option<PlacementDelta>,

    /// The whole share to watch, when it changed.
    pub watch: Option<WatchList>,

    /// Outlook of the models the report has waiting requests for.
    pub load_estimates: Vec<LoadEstimate>,

    /// Keys born before are expired.
    pub claims_created_after_unix_millis: u64,
}


/// A message from a control member to a router.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[derive(Hash)]
pub enum ControlToRouter {

    /// Answer to a report.
    Update(RouterUpdate),

    /// Answer to a claim; committed before it is sent.
    Claim(ClaimResponse),

    /// The end of this attempt's claim is committed.
    ClaimFinished(u64),

    /// This member does not lead; nothing was done.
    NotLeader(NotLeader),

    /// There is something newer than the router's last report knew: report at once.
    ChangesAvailable,

    /// To a gateway: what changed.
    Gateway(GatewayUpdate),

    /// To a gateway: what it gets of tenants' quotas.
    Credit(CreditResponse),

    /// To a gateway: requests that end instances.
    Crashes(CrashUpdate),

    /// To a gateway: permits to send to instances that state a limit.
    Permits(PermitResponse),

    /// To a gateway: limits that instances state.
    Limits(LimitUpdate),
}


/// Life of an adapter beside a replica.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[derive(Hash)]
pub enum AdapterPhase {

    /// Decided; the load order is outstanding.
    Loading,

    /// The engine confirmed it.
    Loaded,

    /// The unload order is outstanding.
    Unloading,
}


/// An adapter decided for a replica; its memory counts until the unload is confirmed.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[derive(Hash)]
pub struct AdapterAttachment {

    /// Adapter.
    pub adapter: AdapterName,

    /// Memory reserved.
    pub bytes: u64,

    /// Phase.
    pub phase: AdapterPhase,

    /// Fence of the outstanding or last order.
    pub fence: LogPosition,

    /// Checkpoint to load.
    pub checkpoint: String,
}


/// One decided replica of a model: a slot.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[derive(Hash)]
pub struct Replica {

    /// Identity.
    pub slot: SlotId,

    /// Model.
    pub model: ModelName,

    /// Version of the weights.
    pub version: VersionLabel,

    /// Engine it is on.
    pub backend: BackendName,

    /// Run of that engine.
    pub incarnation: Incarnation,

    /// Indices of the accelerators it spans.
    pub accelerators: Vec<u32>,

    /// Memory reserved for weights, over all its accelerators.
    pub weights_bytes: u64,

    /// Memory reserved for caches, over all its accelerators.
    pub cache_bytes: u64,

    /// Checkpoint to load.
    pub checkpoint: String,

    /// Phase.
    pub phase: ReplicaPhase,

    /// Fence of the outstanding or last order.
    pub fence: LogPosition,

    /// Adapters beside the weights.
    pub adapters: Vec<AdapterAttachment>,
}


/// Asks for a claim. The control group fills in its own time.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[derive(Hash)]
pub struct ClaimRequest {

    /// Claim.
    pub claim: ClaimBegin,
}


/// A run of an instance that has ended, and the requests of one gateway that were in flight there.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[derive(Hash)]
pub struct InstanceCrash {

    /// Run.
    pub instance: InstanceId,

    /// Requests whose connection broke.
    pub requests: Vec<RequestFingerprint>,
}


/// What a gateway saw of runs that ended, sent at once; on a new connection, all that it remembers.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[derive(Hash)]
pub struct CrashReport {

    /// Runs that ended.
    pub crashes: Vec<InstanceCrash>,

    /// Requests with such an end that were answered whole since.
    pub served: Vec<RequestFingerprint>,
}


/// What a gateway asks of one tenant's quota, and what it says of its use.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[derive(Hash)]
pub struct TenantCreditRequest {

    /// Tenant.
    pub tenant: TenantName,

    /// Units of each request that waits, the oldest first.
    pub queued_units: Vec<u64>,

    /// Units wished for requests to come, if there is plenty.
    pub prefetch_units: u64,

    /// Units granted before and not used: they may be granted anew.
    pub returned: u64,

    /// Units used without a grant while no leader answered.
    pub overdrawn: u64,
}


/// A gateway asks for units of tenants' quotas; answered at once with `Credit`.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[derive(Hash)]
pub struct CreditRequest {

    /// Name of the gateway.
    pub gateway: String,

    /// Number within the gateway's run; grows.
    pub sequence: u64,

    /// By tenant.
    pub tenants: Vec<TenantCreditRequest>,

    /// Term of the leader that this gateway's use was lent by; 0 for none yet.
    pub granted_in_term: u64,
}


/// Demand for one model, or model with adapter, at one gateway.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[derive(Hash)]
pub struct GatewayModelDemand {

    /// Service.
    pub service: ServiceName,

    /// Model.
    pub model: ModelName,

    /// Adapter.
    pub adapter: Option<AdapterName>,

    /// Requests that wait for it or were refused for its lack since the last report.
    pub unserved: u32,

    /// Requests since the last report.
    pub arrivals: u32,

    /// Requests dispatched and not ended.
    pub in_flight: u32,

    /// Most urgent rank among the unserved.
    pub priority: u32,

    /// Prompt tokens sent since the last report that the engine had not read before, as far as the gateway knows.
    pub unread_tokens: u64,
}


/// A gateway's report: its first and periodic message, sent at once when a need arises.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[derive(Hash)]
pub struct GatewayReport {

    /// Name of the gateway.
    pub gateway: String,

    /// Its zone.
    pub zone: ZoneName,

    /// Number within its run; grows.
    pub sequence: u64,

    /// Document version in force there; 0 for none.
    pub version: u64,

    /// Demand since the last report.
    pub demand: Vec<GatewayModelDemand>,

    /// Instances whose state differs from what they announced: unreachable, or without a model they should hold.
    pub inconsistent: Vec<InstanceId>,

    /// What this gateway has in flight, by instance.
    pub in_flight: Vec<InstanceLoad>,

    /// Log index up to which the gateway has been told what binds it; 0 before the first.
    pub as_of: u64,

    /// Digests of the instance records that the gateway holds; in the first report on a connection only.
    pub known_instance_digests: Vec<u64>,
}


/// What a gateway asks of one instance's limit.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[derive(Hash)]
pub struct InstancePermitRequest {

    /// Instance.
    pub instance: InstanceId,

    /// Requests that wait for a permit.
    pub waiting: u32,

    /// Permits wished for requests to come, if there is plenty.
    pub prefetch: u32,

    /// Requests refused since the last ask, and told when to come back.
    pub refused: u32,
}


/// A gateway asks for permits to send to instances that state a limit; answered at once with `Permits`.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[derive(Hash)]
pub struct PermitRequest {

    /// Name of the gateway.
    pub gateway: String,

    /// Number within the gateway's run; grows.
    pub sequence: u64,

    /// What this gateway heard and has not told on this connection.
    pub observations: Vec<LimitObservation>,

    /// By instance.
    pub instances: Vec<InstancePermitRequest>,
}


/// Identity of one consensus group. Every internal message carries it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[derive(Hash)]
pub struct GroupId(pub u32);


/// First message on a router's connection.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[derive(Hash)]
pub struct RouterHello {

    /// Group.
    pub group: GroupId,

    /// Router.
    pub router: RouterName,

    /// Run of the router.
    pub incarnation: Incarnation,

    /// Zone.
    pub zone: ZoneName,

    /// IP address and port of its caller API.
    pub address: String,
}


/// Where an engine's machine has a checkpoint.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[derive(Hash)]
pub enum CheckpointTier {

    /// Only in the weight store.
    Remote,

    /// On the machine's disk.
    Disk,

    /// In the machine's memory.
    Memory,
}


/// A checkpoint cached on the engine's machine.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[derive(Hash)]
pub struct CheckpointReport {

    /// Checkpoint.
    pub checkpoint: String,

    /// Where it is.
    pub tier: CheckpointTier,
}


/// Phase of a slot as the engine sees it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[derive(Hash)]
pub enum EngineSlotPhase {

    /// Loading.
    Loading,

    /// Loaded.
    Loaded,

    /// Unloading.
    Unloading,

    /// Gone; reported until a later order supersedes it.
    Unloaded,

    /// The load failed; holds no memory.
    Failed(String),
}


/// An adapter as the engine sees it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[derive(Hash)]
pub struct EngineAdapterReport {

    /// Adapter.
    pub adapter: AdapterName,

    /// Fence of the last order on it.
    pub fence: LogPosition,

    /// Phase.
    pub phase: EngineSlotPhase,
}


/// A slot as the engine sees it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[derive(Hash)]
pub struct EngineSlotReport {

    /// Slot.
    pub slot: SlotId,

    /// Model.
    pub model: ModelName,

    /// Version.
    pub version: VersionLabel,

    /// Fence of the last order on it.
    pub fence: LogPosition,

    /// Phase.
    pub phase: EngineSlotPhase,

    /// Adapters.
    pub adapters: Vec<EngineAdapterReport>,

    /// Requests in the running batch.
    pub running: u32,

    /// Requests waiting inside the engine.
    pub waiting: u32,
}


/// An engine's load report, taken some time before it is read. GET /engine/report.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[derive(Hash)]
pub struct EngineReport {

    /// Engine.
    pub backend: BackendName,

    /// Run.
    pub incarnation: Incarnation,

    /// Zone.
    pub zone: ZoneName,

    /// Role.
    pub role: EngineRole,

    /// Number of the report within the run; grows.
    pub sequence: u64,

    /// Highest fence accepted when the report was taken.
    pub highest_fence: LogPosition,

    /// Memory of each accelerator.
    pub accelerator_bytes: Vec<u64>,

    /// Memory in use on each.
    pub used_bytes: Vec<u64>,

    /// Slots.
    pub slots: Vec<EngineSlotReport>,

    /// Checkpoints in memory or on disk.
    pub checkpoints: Vec<CheckpointReport>,
}


/// A web back end's load report. GET /web/report.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[derive(Hash)]
pub struct WebReport {

    /// Web back end.
    pub backend: BackendName,

    /// Run.
    pub incarnation: Incarnation,

    /// Zone.
    pub zone: ZoneName,

    /// Number of the report within the run; grows.
    pub sequence: u64,

    /// Requests running.
    pub running: u32,
}


/// What a router saw of a back end it watches.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[derive(Hash)]
pub enum BackendObservation {

    /// An engine's report.
    Engine(EngineReport),

    /// A web back end's report.
    Web(WebReport),

    /// No answer since some time.
    Unreachable(BackendName),
}


/// How urgent a request is; the first is the most urgent.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[derive(Hash)]
pub enum Urgency {

    /// Somebody waits at the counter.
    Interactive,

    /// Ordinary.
    Normal,

    /// Can wait.
    Batch,
}


/// Demand for one model, or model with adapter, at one router.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[derive(Hash)]
pub struct ModelDemand {

    /// Model.
    pub model: ModelName,

    /// Adapter.
    pub adapter: Option<AdapterName>,

    /// Requests waiting for a replica.
    pub waiting: u32,

    /// Requests dispatched and not ended.
    pub in_flight: u32,

    /// Requests arrived since the router started.
    pub arrivals: u64,

    /// Age of the oldest waiting request.
    pub oldest_wait_millis: u64,

    /// Most urgent of those waiting; `Batch` when none waits.
    pub most_urgent: Urgency,
}


/// A router's periodic report; doubles as its heartbeat and lease request.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[derive(Hash)]
pub struct RouterReport {

    /// Number within the run; grows. Echoed in the update.
    pub sequence: u64,

    /// Catalog revision applied.
    pub configuration: ConfigurationRevision,

    /// Route revision applied.
    pub placement: PlacementRevision,

    /// Demand, only models with waiting, in-flight or new arrivals.
    pub demand: Vec<ModelDemand>,

    /// Reports that differ from those last acknowledged.
    pub observations: Vec<BackendObservation>,

    /// The router is stopping and takes no new requests.
    pub draining: bool,
}


/// A message from a router to a control member.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[derive(Hash)]
pub enum RouterToControl {

    /// First message.
    Hello(RouterHello),

    /// Periodic report.
    Report(RouterReport),

    /// Ask for a claim.
    Claim(ClaimRequest),

    /// End a claim; answered with `ClaimFinished`.
    FinishClaim(ClaimFinish),

    /// Report of a gateway; answered with `Gateway`.
    Gateway(GatewayReport),

    /// Ask of a gateway for tenants' credit; answered with `Credit`.
    Credit(CreditRequest),

    /// What a gateway saw of instances that ended.
    Crashes(CrashReport),

    /// Ask of a gateway for permits; answered with `Permits`.
    Permits(PermitRequest),
}


/// Identity of one member of a control group. A member whose disk was lost comes back under a new identity.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[derive(Hash)]
pub struct MemberId(pub u64);


/// A member and where it listens.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[derive(Hash)]
pub struct MemberAddress {

    /// Identity.
    pub member: MemberId,

    /// Zone.
    pub zone: ZoneName,

    /// IP address and port for members and routers.
    pub peer_address: String,

    /// IP address and port of the administration API.
    pub administration_address: String,
}


/// Members of a group. While `outgoing_voters` is not empty the group is in joint consensus: both sets need a majority.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[derive(Hash)]
pub struct Membership {

    /// Voters of the newer set.
    pub voters: Vec<MemberAddress>,

    /// Voters of the older set during a change; else empty.
    pub outgoing_voters: Vec<MemberAddress>,

    /// Members that receive the log and do not vote.
    pub learners: Vec<MemberAddress>,
}


/// What a log entry holds.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[derive(Hash)]
pub enum EntryPayload {

    /// Written by a new leader to commit what came before.
    Noop,

    /// A change of members; in force as soon as it is appended.
    Membership(Membership),

    /// A command.
    Command(Command),
}


/// One entry of the replicated log.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[derive(Hash)]
pub struct LogEntry {

    /// Term and index.
    pub position: LogPosition,

    /// Content.
    pub payload: EntryPayload,
}


/// Replicates entries; empty ones are heartbeats.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[derive(Hash)]
pub struct AppendRequest {

    /// Position of the entry before the first.
    pub previous: LogPosition,

    /// Entries, in order.
    pub entries: Vec<LogEntry>,

    /// Leader's commit index.
    pub commit: u64,

    /// Number of the heartbeat round, echoed; lets the leader count its lease from the sending time.
    pub sequence: u64,
}


/// Answers an append request.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[derive(Hash)]
pub struct AppendResponse {

    /// Whether `previous` matched.
    pub accepted: bool,

    /// Last index known to match and synced; when refused, where the leader should try from.
    pub match_index: u64,

    /// Echo.
    pub sequence: u64,
}


/// What a snapshot covers.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[derive(Hash)]
pub struct SnapshotMeta {

    /// Last entry it includes.
    pub last: LogPosition,

    /// Membership at that entry.
    pub membership: Membership,
}


/// One piece of a snapshot.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[derive(Hash)]
pub struct SnapshotChunk {

    /// What the snapshot covers.
    pub meta: SnapshotMeta,

    /// Byte offset of this piece.
    pub offset: u64,

    /// Piece.
    pub data: Bytes,

    /// Whether it is the last piece.
    pub last_chunk: bool,
}


/// Answers a snapshot piece.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[derive(Hash)]
pub struct SnapshotProgress {

    /// Snapshot it answers.
    pub last: LogPosition,

    /// Offset wanted next.
    pub next_offset: u64,

    /// The snapshot is whole, synced and applied.
    pub installed: bool,
}


/// Asks for a vote.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[derive(Hash)]
pub struct VoteRequest {

    /// Last entry of the candidate's log.
    pub last: LogPosition,

    /// Sent at a leader's wish: leases of that leader do not stand against it.
    pub leadership_transfer: bool,
}


/// Answers a vote request.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[derive(Hash)]
pub struct VoteResponse {

    /// Whether the vote was given.
    pub granted: bool,
}


/// A message between members.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[derive(Hash)]
pub enum PeerMessage {

    /// Would you vote for me in the next term?
    PreVoteRequest(VoteRequest),

    /// Answer.
    PreVoteResponse(VoteResponse),

    /// Vote for me.
    VoteRequest(VoteRequest),

    /// Answer.
    VoteResponse(VoteResponse),

    /// Entries or heartbeat.
    AppendRequest(AppendRequest),

    /// Answer.
    AppendResponse(AppendResponse),

    /// Piece of a snapshot.
    SnapshotChunk(SnapshotChunk),

    /// Answer.
    SnapshotProgress(SnapshotProgress),

    /// Start an election at once (leadership transfer).
    TimeoutNow,
}


/// Number of a call to an engine, unique in the process that makes it; its answer names it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[derive(Hash)]
pub struct CallId(pub u64);


/// What an engine is told to do.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[derive(Hash)]
pub enum InstructionOperation {

    /// Load a model, or an adapter of a model that is there.
    Load,

    /// Unload it.
    Unload,
}


/// An order to an engine that checks the number of orders it took.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[derive(Hash)]
pub struct EngineInstruction {

    /// Run it is for; any other does nothing.
    pub instance: InstanceId,

    /// IP address and port.
    pub address: String,

    /// What to do.
    pub operation: InstructionOperation,

    /// Model.
    pub model: ModelName,

    /// Adapter.
    pub adapter: Option<AdapterName>,

    /// Orders the engine must have taken before; otherwise it does nothing.
    pub expected_revision: u64,

    /// Process that gives the order.
    pub issuer: String,

    /// Term of the leader that gives the order.
    pub fence: u64,

    /// The weights come from the weight store, whose rate counts it.
    pub from_store: bool,

    /// The call that gives it.
    pub call: CallId,
}


/// A message with its addresses.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[derive(Hash)]
pub struct PeerEnvelope {

    /// Group; a message for another group is dropped.
    pub group: GroupId,

    /// Sender.
    pub from: MemberId,

    /// Receiver; a message for another identity is dropped.
    pub to: MemberId,

    /// Sender's term (for a pre-vote request: the term it would campaign in).
    pub term: u64,

    /// Message.
    pub message: PeerMessage,
}


/// An instance, and how new the newest word of it is that a member has heard.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[derive(Hash)]
pub struct InstanceHeartbeat {

    /// Identity of the run.
    pub instance: InstanceId,

    /// Sequence of its last announcement there.
    pub sequence: u64,
}


/// What a member that does not lead says of the instances that announce themselves there: what changed since the leader last confirmed, and that the member lives.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[derive(Hash)]
pub struct ShareReport {

    /// The member, and where it is answered.
    pub from: MemberAddress,

    /// Names the run of the member's process: revisions begin anew with each.
    pub run: u64,

    /// Number within the run; the answer names it.
    pub number: u64,

    /// Revision that the leader is taken to know; 0: what follows begins the share anew.
    pub base: u64,

    /// Revision that it knows with this report.
    pub revision: u64,

    /// New or changed since `base`.
    pub instances: Vec<InstanceRecord>,

    /// Not heard of any more. Another member may have heard them since.
    pub expired: Vec<InstanceHeartbeat>,

    /// Active instances that announced themselves unchanged since the last report.
    pub heartbeats: Vec<InstanceHeartbeat>,

    /// Revision of the list of active instances held here; 0 for none.
    pub active_revision: u64,
}


/// Answers a share report.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[derive(Hash)]
pub struct ShareResponse {

    /// Echo.
    pub run: u64,

    /// Echo.
    pub number: u64,

    /// Who leads, as far as the answering member knows.
    pub leader: Option<MemberAddress>,

    /// Revision of the share that the leader knows now; none from a member that does not lead.
    pub acknowledged_revision: Option<u64>,

    /// Revision of the list of active instances.
    pub active_revision: u64,

    /// Active instances of the share, where the member holds another revision of the list: their unchanged announcements are passed on.
    pub active: Option<Vec<InstanceId>>,
}


/// Any first message on a control member's port: from a peer or from a router.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[derive(Hash)]
pub enum LinkMessage {

    /// From a member.
    Peer(PeerEnvelope),

    /// From a router.
    Router(RouterToControl),

    /// From a process that wants to become a member under this new identity.
    Join(MemberAddress),

    /// First message on a member's connection: who sends, and where it can be answered.
    MemberHello(MemberAddress),

    /// From a member: instances that announce themselves there.
    Share(ShareReport),

    /// Answer to a share report.
    ShareResponse(ShareResponse),
}


/// Load an adapter.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[derive(Hash)]
pub struct LoadAdapterOrder {

    /// Slot.
    pub slot: SlotId,

    /// Adapter.
    pub adapter: AdapterName,

    /// Memory it takes.
    pub bytes: u64,

    /// Checkpoint in the weight store.
    pub checkpoint: String,
}


/// Load weights.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[derive(Hash)]
pub struct LoadModelOrder {

    /// Slot.
    pub slot: SlotId,

    /// Model.
    pub model: ModelName,

    /// Version.
    pub version: VersionLabel,

    /// Accelerators to span.
    pub accelerators: Vec<u32>,

    /// Memory for weights, over all accelerators.
    pub weights_bytes: u64,

    /// Memory for caches, over all accelerators.
    pub cache_bytes: u64,

    /// Checkpoint in the weight store.
    pub checkpoint: String,
}


/// Unload an adapter.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[derive(Hash)]
pub struct UnloadAdapterOrder {

    /// Slot.
    pub slot: SlotId,

    /// Adapter.
    pub adapter: AdapterName,
}


/// What an engine is told to do.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[derive(Hash)]
pub enum OrderAction {

    /// Load weights.
    LoadModel(LoadModelOrder),

    /// Unload weights and everything beside them.
    UnloadModel(SlotId),

    /// Load an adapter beside a replica.
    LoadAdapter(LoadAdapterOrder),

    /// Unload an adapter.
    UnloadAdapter(UnloadAdapterOrder),

    /// Change role.
    ChangeRole(EngineRole),
}


/// One machine of the platform's list.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[derive(Hash)]
pub struct PlatformMachine {

    /// Back end on it.
    pub backend: BackendName,

    /// Kind.
    pub kind: BackendKind,

    /// Group of a web back end.
    pub group: Option<GroupName>,

    /// Zone.
    pub zone: ZoneName,

    /// IP address and port of its HTTP interface.
    pub address: String,

    /// State; the list lags.
    pub state: BackendState,
}


/// One accepted change in the audit log.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[derive(Hash)]
pub struct AuditRecord {

    /// Revision.
    pub revision: ConfigurationRevision,

    /// Object.
    pub key: ObjectKey,

    /// Version of the object after the change.
    pub version: u64,

    /// Identity of the change.
    pub change_id: ChangeId,

    /// Who submitted it.
    pub operator: OperatorName,

    /// Wall-clock time at the member that took it.
    pub at_unix_millis: u64,

    /// Whether the change deleted the object.
    pub deleted: bool,
}


/// A fenced order. POST /engine/orders. An engine refuses a fence below the highest it accepted, and another incarnation than its own; the same fence again is answered as the first time.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[derive(Hash)]
pub struct EngineOrder {

    /// Fence.
    pub fence: LogPosition,

    /// Engine it is for.
    pub backend: BackendName,

    /// Run of the engine it is for.
    pub incarnation: Incarnation,

    /// What to do.
    pub action: OrderAction,
}


/// What happened to one block of a prompt prefix in an engine's cache.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[derive(Hash)]
pub enum CacheChange {

    /// The block is cached.
    Inserted,

    /// The block is gone.
    Evicted,
}


/// One cache event.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[derive(Hash)]
pub struct CacheEvent {

    /// Number within the run of the engine, from 1; numbers that are missing were lost.
    pub number: u64,

    /// Slot whose cache it is.
    pub slot: SlotId,

    /// Chained hash of the prompt up to the end of the block.
    pub prefix_hash: u64,

    /// What happened.
    pub change: CacheChange,
}


/// Cache events, published late and with gaps. GET /engine/events?after=N.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[derive(Hash)]
pub struct CacheEvents {

    /// Engine.
    pub backend: BackendName,

    /// Run; the numbering starts anew with each.
    pub incarnation: Incarnation,

    /// Oldest number still kept; a reader further behind starts from an empty picture.
    pub oldest: u64,

    /// Events in the order of their numbers, at most the limit of one answer.
    pub events: Vec<CacheEvent>,
}


/// An accepted change.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[derive(Hash)]
pub struct ChangeAccepted {

    /// New version of the object.
    pub version: u64,

    /// Revision of the catalog that holds it.
    pub revision: ConfigurationRevision,
}


/// A change that lost a race.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[derive(Hash)]
pub struct VersionConflict {

    /// Version of the object now; 0 if it does not exist.
    pub current_version: u64,
}


/// What became of a change.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[derive(Hash)]
pub enum ObjectChangeOutcome {

    /// Committed; it never reverts.
    Accepted(ChangeAccepted),

    /// Somebody else changed the object first; nothing was changed.
    VersionConflict(VersionConflict),

    /// Invalid or refers to something that does not exist; reason and remedy.
    Rejected(String),
}


/// What applying a command did.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[derive(Hash)]
pub enum CommandOutcome {

    /// Applied.
    Done,

    /// No effect: it no longer fits the state; reason.
    Ignored(String),

    /// A replica was decided.
    Placed(SlotId),

    /// Outcome of a catalog change.
    Object(ObjectChangeOutcome),

    /// Decision on a claim.
    Claim(ClaimDecision),
}


/// A request that ran more than once.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[derive(Hash)]
pub struct RepeatedRun {

    /// Tenant.
    pub tenant: TenantName,

    /// Idempotency key, or request identity.
    pub key: String,

    /// Times it ran.
    pub runs: u64,
}


/// What an engine stand-in counted in its run. GET /engine/audit.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[derive(Hash)]
pub struct EngineAudit {

    /// Engine.
    pub backend: BackendName,

    /// Run.
    pub incarnation: Incarnation,

    /// Breach: orders that would have exceeded an accelerator's memory; they were rejected.
    pub memory_overcommits: u64,

    /// Most memory ever in use on each accelerator.
    pub peak_used_bytes: Vec<u64>,

    /// Requests for a slot that is not loaded here; refused as not executed.
    pub wrong_slot_requests: u64,

    /// Orders refused for a stale fence.
    pub stale_fences: u64,

    /// Orders and requests refused for another incarnation.
    pub wrong_incarnations: u64,

    /// Breach: a fence seen again with another order.
    pub conflicting_fences: u64,

    /// Orders accepted, resends not counted.
    pub orders_accepted: u64,

    /// Orders rejected for another reason.
    pub orders_rejected: u64,

    /// Model loads that ended well.
    pub model_loads: u64,

    /// Adapter loads that ended well.
    pub adapter_loads: u64,

    /// Loads that failed.
    pub failed_loads: u64,

    /// Requests that entered the running batch for the first time.
    pub requests_started: u64,

    /// Of these, those that resume an earlier stream.
    pub requests_resumed: u64,

    /// Requests that gave their whole answer.
    pub requests_finished: u64,

    /// Requests cancelled by their caller.
    pub requests_cancelled: u64,

    /// Requests refused as not executed.
    pub requests_refused: u64,

    /// Requests cut while running, by an unload bound or their deadline.
    pub requests_cut: u64,

    /// Requests moved back from the batch to the queue.
    pub preemptions: u64,

    /// Tokens given out.
    pub tokens: u64,

    /// Breach: idempotency keys that ran more than once (bounded list).
    pub repeated_keys: Vec<RepeatedRun>,

    /// Request identities that ran more than once, resumes not counted (bounded list).
    pub repeated_requests: Vec<RepeatedRun>,

    /// Accelerator-milliseconds with weights loaded.
    pub loaded_accelerator_millis: u64,

    /// Of these, with nothing running.
    pub idle_accelerator_millis: u64,

    /// Keys and identities no longer remembered, for want of room; with any, the lists may lack some.
    pub forgotten_runs: u64,
}


/// What a web back end stand-in counted in its run. GET /web/audit.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[derive(Hash)]
pub struct WebAudit {

    /// Web back end.
    pub backend: BackendName,

    /// Run.
    pub incarnation: Incarnation,

    /// Requests served.
    pub requests: u64,

    /// Runs of endpoints that may not be repeated.
    pub once_runs: u64,

    /// Different keys among these.
    pub once_keys: u64,

    /// Runs without a key.
    pub once_without_key: u64,

    /// Keys no longer remembered, for want of room; with any, the list below may lack some.
    pub forgotten_keys: u64,

    /// Breach: keys that ran more than once (bounded list).
    pub repeated_keys: Vec<RepeatedRun>,
}


/// State of an engine.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[derive(Hash)]
pub struct EngineState {

    /// Orders taken.
    pub revision: u64,

    /// An order is under way.
    pub busy: bool,

    /// Models it holds.
    pub models: Vec<HeldModel>,

    /// Copies of weights in host memory.
    pub in_memory: Vec<ModelName>,

    /// Copies of weights on disk.
    pub on_disk: Vec<ModelName>,

    /// Adapters on their way, by model; they take places, and serve nothing yet.
    pub loading_adapters: Vec<HeldModel>,
}


/// An engine's answer to an order. Acceptance is not completion: the report tells.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[derive(Hash)]
pub enum OrderResponse {

    /// Taken, now or earlier.
    Accepted,

    /// Refused; the highest fence accepted.
    StaleFence(LogPosition),

    /// Refused; the engine's run.
    WrongIncarnation(Incarnation),

    /// Refused for another reason; nothing was done.
    Rejected(String),
}


/// A member's answer, in one datagram: what its log holds, committed or not.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[derive(Hash)]
pub struct FreshnessResponse {

    /// Round that it answers.
    pub round: u64,

    /// Identity of the member.
    pub member: MemberId,

    /// Index of the last entry of its log that binds gateways; 0 for none.
    pub required_index: u64,

    /// Index of the last entry that it has applied.
    pub applied: u64,

    /// Index of the entry that brought the membership of its log.
    pub membership_index: u64,

    /// Voters of that membership.
    pub voters: Vec<MemberId>,

    /// During a change, the voters before it: both sets need a majority.
    pub outgoing_voters: Vec<MemberId>,

    /// Peer addresses of all of them.
    pub addresses: Vec<String>,

    /// Term of the member.
    pub term: u64,

    /// Peer address of the leader of that term, if known; the member's own if it leads under its lease.
    pub leader: Option<String>,
}


/// What a member must have synced before it answers.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[derive(Hash)]
pub struct HardState {

    /// Latest term seen.
    pub term: u64,

    /// Member voted for in that term.
    pub voted_for: Option<MemberId>,
}


/// What became of an instruction or of reading an engine's state.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[derive(Hash)]
pub enum InstructionResult {

    /// It is being carried out.
    Accepted,

    /// It holds already.
    AlreadySo,

    /// Another is under way, or the engine took another number of orders.
    Conflict,

    /// Another run is at that address.
    OtherRun,

    /// It cannot be carried out; reason.
    Refused(String),

    /// No answer: it may be carried out, also much later.
    Unanswered,

    /// The engine's state, as read.
    State(EngineState),

    /// It did not leave, and never will: its time was over, or too many calls waited.
    NotSent,
}


/// The platform's list of machines. GET /machines.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[derive(Hash)]
pub struct PlatformList {

    /// Grows with every change.
    pub sequence: u64,

    /// Machines; one missing that was listed before is gone.
    pub machines: Vec<PlatformMachine>,
}


/// The state machine up to one entry.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[derive(Hash)]
pub struct Snapshot {

    /// What it covers.
    pub meta: SnapshotMeta,

    /// Encoded state.
    pub data: Bytes,
}


/// A gateway asks members, in one datagram to each, whether what it knows may be outdated.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[derive(Hash)]
pub struct FreshnessRequest {

    /// Number of the gateway's round of questions, echoed.
    pub round: u64,
}


/// Name of a policy.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[derive(Hash)]
pub struct PolicyName(pub String);


/// What the weight store stand-in counted. GET /audit.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[derive(Hash)]
pub struct StoreAudit {

    /// Transfers started.
    pub started: u64,

    /// Transfers finished.
    pub finished: u64,

    /// Transfers refused with 429.
    pub refused: u64,

    /// Transfers whose caller went away.
    pub abandoned: u64,

    /// Most transfers at once.
    pub most_at_once: u64,

    /// Bytes of the finished transfers.
    pub bytes: u64,
}

