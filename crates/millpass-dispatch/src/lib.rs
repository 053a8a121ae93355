//! Decision core of a gateway, without input/output, clock or threads: which route a request takes,
//! which instance it is sent to, whether it waits or is refused, whether it may be sent again.
//!
//! | module | job |
//! |---|---|
//! | `request` | a request as the front door describes it, and its progress |
//! | `fingerprint` | what the tries of one request share |
//! | `table` | routes by host and longest prefix, tenants by key |
//! | `instances` | the gateway's view of instances: announced state, own sends, failures |
//! | `prompts` | which prompt parts an instance has lately read |
//! | `statements` | rests and departures that instances state in their answers |
//! | `limits` | limits that instances state, and permits to send to those |
//! | `retry_budget` | how many repeats a service may get from this gateway |
//! | `freshness` | how old what the gateway knows may be, and so what it may answer |
//! | `needs` | demand to report |
//! | `credit` | units of tenants' quotas that requests need |
//! | `crashes` | runs that end under requests, and requests held back for it |
//! | `choosing` | which instance, wait or refuse |
//! | `closed` | requests whose instances take none now |
//! | `updates` | what the leader tells, and what other members pass on |
//! | `dispatcher` | the core itself: begins and ends, reports |

mod choosing;
mod closed;
mod crashes;
mod credit;
mod dispatcher;
mod fingerprint;
mod freshness;
mod instances;
mod limits;
mod needs;
mod prompts;
mod request;
mod retry_budget;
mod statements;
mod table;
mod updates;

pub use credit::MalformedTokens;
pub use dispatcher::{Choice, DispatchSettings, Dispatcher, RefusalReason};
pub use fingerprint::RequestIdentity;
pub use freshness::{Freshness, FreshnessSettings, Leadership};
pub use instances::{ReportedLoad, SendOutcome};
pub use millpass_limits::RequestRate;
pub use request::{PromptPart, RequestDescription, SendRecord, StatedTokens, Ticket};
pub use retry_budget::{BudgetTerms, RetryBudget};
pub use statements::{Stated, Statement, StatementChange};
pub use table::{IdentityError, RouteError, RoutingTable};
pub use updates::UpdateOutcome;
