//! Control member process: storage, connections, engine calls and administration API around the
//! decision core of `millpass-control-plane`.
//!
//! | module | job |
//! |---|---|
//! | `process` | starts and stops the threads |
//! | `disk_wait` | waits at startup until the disk is available |
//! | `threads` | critical threads, and joining threads with a timeout |
//! | `throttle` | rate limit of one event per interval |
//! | `startup` | opens the data folder and builds the core |
//! | `member` | the core's thread: executes the core's outputs |
//! | `inputs` | bounded queues to the core |
//! | `coalescing` | merges waiting reports of a gateway |
//! | `backlog` | inputs waiting for the core, by priority |
//! | `priority` | priority classes of inputs |
//! | `lateness` | detects that the core's thread is late |
//! | `work` | processor time of the core's thread by kind of work |
//! | `disk` | writes and syncs |
//! | `disk_watch` | stalled writes and disk usage, for logs and metrics |
//! | `connections` | inbound connections of members, routers and joiners |
//! | `router_backlog` | counts updates queued for a gateway |
//! | `freshness` | responds to gateways' queries by datagram |
//! | `peers` | outbound connections to other members |
//! | `peer_queue` | messages waiting for one member |
//! | `receipts` | shows members that another one still reads their connection |
//! | `deliveries` | calls to engines and the platform |
//! | `fenced_calls` | connections of these calls, which abort when the call expires or the term ends |
//! | `call_schedule` | order of calls to engines and the platform |
//! | `interface` | extensions of a deployment with its own wire formats |
//! | `calls` | pending calls of the administration API |
//! | `administration`, `api`, `client` | the administration API, its bodies and its client |
//! | `metrics` | Prometheus metrics |
//!
//! `inputs`, `calls`, `connections`, `deliveries`, `freshness`, `disk_watch` and each queue of
//! `peers` have one lock each; no thread holds two of them.

pub mod administration;
pub mod api;
pub mod backlog;
pub mod call_schedule;
mod calls;
pub mod client;
pub mod coalescing;
mod connections;
mod deliveries;
mod disk;
mod disk_wait;
mod disk_watch;
mod error;
pub mod fenced_calls;
mod frames;
mod freshness;
mod inputs;
pub mod interface;
pub mod lateness;
mod member;
mod message_assembly;
mod metrics;
pub mod peer_queue;
mod peers;
pub mod priority;
mod process;
pub mod receipts;
mod router_backlog;
pub mod settings;
mod startup;
mod threads;
mod throttle;
pub mod work;

pub use administration::RefusedAnnouncement;
pub use disk_wait::start_when_disk_available;
pub use error::ControlError;
pub use interface::{ApiExtension, EngineCalls, Extensions};
pub use process::{ControlHandle, start, start_extended, start_on};
pub use settings::ControlProcessSettings;
pub use startup::initialize;
