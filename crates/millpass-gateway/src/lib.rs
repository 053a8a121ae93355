//! Gateway process: takes callers' requests, passes them byte for byte to instances that announce
//! themselves to the control group, and passes the answers back as they come.
//!
//! Decisions are `millpass-dispatch`'s; this crate carries them out. One executor thread carries all
//! connections: dropping a connection's future ends its work at the instance too.
//!
//! | module | job |
//! |---|---|
//! | `interface` | what the callers' and instances' wire format says, filled by a translation |
//! | `server` | listens, accepts, and serves connections |
//! | `forward` | one request from its head to its answer |
//! | `answers` | answers of the gateway's own |
//! | `credit` | what a request needs of its tenant's quota |
//! | `exchange` | sends a request to an instance |
//! | `relay` | passes the answer's body on, and resumes broken streams |
//! | `events` | whole events of a stream, and the identity of the last one |
//! | `pool` | connections to instances |
//! | `probe` | looks at instances at which sends broke |
//! | `freshness` | asks members whether what is known here may be outdated |
//! | `link` | the connection to the leader of the control group |
//! | `report_schedule` | when the next report to the leader leaves |
//! | `shared` | the decision core behind its lock, and who waits for news |
//! | `metrics` | counters and histograms |
//! | `process` | start, signals, stop |
//!
//! Lock order: `shared` (the core), then `pool`; no lock is held while something is awaited.

mod credit;
mod events;
mod exchange;
mod forward;
mod freshness;
pub mod interface;
mod link;
mod metrics;
mod pool;
mod probe;
mod process;
mod relay;
mod report_schedule;
mod responses;
mod server;
mod settings;
mod shared;
mod statements;

pub use events::EventBuffer;
pub use interface::{Interface, ResponseFacts, SendFacts};
pub use process::{Gateway, GatewayError};
pub use report_schedule::ReportSchedule;
pub use settings::{GatewaySettings, MemberSource};
