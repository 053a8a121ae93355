//! Gateway process: proxies requests unchanged to instances announced to the control group and
//! streams their responses back.
//!
//! `millpass-dispatch` makes the decisions; this crate does the I/O. One executor thread serves all
//! connections: dropping a caller's connection also cancels its request at the instance.
//!
//! | module | job |
//! |---|---|
//! | `interface` | wire format between callers, gateway and instances |
//! | `server` | listens, accepts, and serves connections |
//! | `caller_stream`, `head_progress` | connections of callers, and how far each is with its next request |
//! | `caller_limits` | limits of request heads and idle connections |
//! | `forward` | handles one request |
//! | `responses` | responses that the gateway generates |
//! | `credit` | claims on tenant quotas |
//! | `exchange` | sends a request to an instance |
//! | `send_outcomes` | records sends without a response |
//! | `error_body` | reads the bodies of error responses |
//! | `request_log` | log lines about requests and their sends |
//! | `peer` | forwards requests to other gateways |
//! | `peer_service` | serves requests that other gateways forward |
//! | `hop` | headers between two gateways |
//! | `relay` | relays response bodies and resumes broken streams |
//! | `resumption` | finds out whether a stream that a caller takes up may go on |
//! | `answer` | which successful responses are answers of an instance |
//! | `request_body` | reads the bodies of requests within their limits |
//! | `body_memory` | bounds the memory of request bodies |
//! | `body_end` | whether a body is whole that ends with its connection |
//! | `run_proof` | which process run is behind a connection |
//! | `pauses` | detects that this process stood still |
//! | `framing` | how the end of a response body is recognized |
//! | `events` | splits a stream into complete events |
//! | `pool` | connections to instances |
//! | `instance_stream` | bounds what is read of a response that does not end |
//! | `probe` | connects to instances whose path is in doubt |
//! | `reach` | observes and logs the paths to instances |
//! | `freshness` | queries members whether the cached state is stale |
//! | `link` | connection to the leader of the control group |
//! | `report_schedule` | schedules reports to the leader |
//! | `shared` | decision core behind its lock, and change notifications |
//! | `statements` | limits and backoff that instances state in responses |
//! | `metrics` | counters and histograms |
//! | `process` | startup and shutdown |
//!
//! Lock order: `shared` (the core), then `pool`; no lock is held across an await.

mod answer;
mod body_end;
mod body_memory;
mod caller_limits;
mod caller_stream;
mod credit;
mod error_body;
mod events;
mod exchange;
mod forward;
mod framing;
mod freshness;
mod head_progress;
mod hop;
mod instance_stream;
pub mod interface;
mod link;
mod metrics;
mod pauses;
mod peer;
mod peer_service;
mod pool;
mod probe;
mod process;
mod reach;
mod relay;
mod report_schedule;
mod request_body;
mod request_log;
mod responses;
mod resumption;
mod run_proof;
mod send_outcomes;
mod server;
mod settings;
mod shared;
mod statements;

pub use answer::AnswerHeaders;
pub use events::EventBuffer;
pub use interface::{Interface, ResponseFacts, SendFacts};
pub use process::{Gateway, GatewayError};
pub use report_schedule::ReportSchedule;
pub use settings::{Connecting, Connector, GatewaySettings, MemberSource};
