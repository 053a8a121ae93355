//! Decision core of a gateway: which route a request takes, which instance it is sent to, and
//! whether it waits, is refused or is retried. No I/O, clock or threads.
//!
//! | module | contents |
//! |---|---|
//! | `request` | description and progress of a request |
//! | `fingerprint` | fingerprint shared by all attempts of a request |
//! | `table` | routes by host and longest prefix, tenants by key |
//! | `instances` | the gateway's view of instances: announced state, sends, failures |
//! | `pace` | relative speed of engines, and the expected time to the first byte |
//! | `prompts` | prompt prefixes that an instance has recently read |
//! | `statements` | backoffs and departures stated in responses |
//! | `limits` | limits stated in responses, and permits |
//! | `reach` | which instances this gateway reaches |
//! | `origins` | streams that go on only at the software version that began them |
//! | `retry_budget` | retries that a service may get from this gateway |
//! | `freshness` | how stale the state of the gateway may be |
//! | `demand` | demand for models, to be reported |
//! | `credit` | quota units of tenants |
//! | `crashes` | crashes attributed to requests, and quarantine |
//! | `parts` | parts of prompts that crash instances |
//! | `selection` | selection of an instance, waiting and refusal |
//! | `admission` | ordered, bounded queues of waiting requests |
//! | `waiting` | whether a request waits or is refused, and who is called next |
//! | `service_times` | observed times from which waits are estimated |
//! | `unavailable` | requests whose instances are in backoff or at their limit |
//! | `updates` | updates of the leader and of other members |
//! | `dispatcher` | the dispatcher itself |

pub mod admission;
mod crashes;
mod credit;
mod demand;
mod dispatcher;
mod fingerprint;
mod freshness;
mod instances;
mod limits;
mod origins;
mod pace;
mod parts;
mod prompts;
mod reach;
mod request;
mod retry_budget;
mod runs;
mod selection;
mod service_times;
mod statements;
mod table;
mod unavailable;
mod updates;
mod waiting;

pub use credit::MalformedTokens;
pub use dispatcher::{Choice, DispatchSettings, Dispatcher, RefusalReason};
pub use fingerprint::RequestIdentity;
pub use freshness::{Freshness, FreshnessSettings, Leadership};
pub use instances::{ReportedLoad, SendOutcome};
pub use millpass_limits::RequestRate;
pub use millpass_origins::BegunSettings;
pub use millpass_reach::{ForwardOutcome, PathChange, ReachSettings, Refusal};
pub use origins::Resumption;
pub use parts::PartSettings;
pub use reach::PeerEndpoint;
pub use request::{
    Continuation, ForwardTerms, Forwarded, PromptPart, RequestDescription, SendRecord,
    StatedTokens, StreamProgress, Ticket,
};
pub use retry_budget::{BudgetTerms, RetryBudget};
pub use statements::{Stated, Statement, StatementChange};
pub use table::{IdentityError, RouteError, RoutingTable};
pub use updates::UpdateOutcome;
pub use waiting::QueueFacts;
