//! The control member process: disk, links, order delivery and administration API around the
//! decision core of `millpass-control-plane`.
//!
//! | module | job |
//! |---|---|
//! | `process` | the threads, from start to stop |
//! | `disk_wait` | a start that waits for the disk |
//! | `threads` | which threads the member cannot do without, and how long its end waits for them |
//! | `throttle` | lets something be done once in an interval |
//! | `startup` | who this member is and what its data folder holds |
//! | `member` | the core's thread: carries out what the core wants |
//! | `inputs` | the way into the core |
//! | `backlog` | what waits for the core, by priority |
//! | `priority` | how urgent an input is |
//! | `lateness` | tells when the core's thread is late |
//! | `disk` | writes and syncs |
//! | `disk_watch` | how long a write lasts and how full the disk is, for log and metrics |
//! | `connections` | connections that members, routers and joiners make |
//! | `router_backlog` | whether a gateway's updates wait at its connection |
//! | `freshness` | answers gateways' questions by datagram |
//! | `peers` | connections to other members |
//! | `peer_queue` | what waits to be sent to one member |
//! | `deliveries` | calls to engines and the platform |
//! | `call_schedule` | which waiting call is made next |
//! | `interface` | what a deployment with its own wire formats brings |
//! | `calls` | calls of the administration API that wait |
//! | `administration`, `api`, `client` | the administration API, its bodies and its client |
//! | `metrics` | Prometheus metrics |
//!
//! Lock order: `inputs`, `calls`, `connections`, `deliveries`, `freshness`, `disk_watch` and each queue of `peers` have one lock; no thread holds
//! two.

pub mod administration;
pub mod api;
pub mod backlog;
pub mod call_schedule;
mod calls;
pub mod client;
mod connections;
mod deliveries;
mod disk;
mod disk_wait;
mod disk_watch;
mod error;
mod frames;
mod freshness;
mod inputs;
pub mod interface;
pub mod lateness;
mod member;
mod metrics;
pub mod peer_queue;
mod peers;
pub mod priority;
mod process;
mod router_backlog;
pub mod settings;
mod startup;
mod threads;
mod throttle;

pub use administration::RefusedAnnouncement;
pub use disk_wait::start_when_disk_available;
pub use error::ControlError;
pub use interface::{ApiExtension, EngineCalls, Extensions};
pub use process::{ControlHandle, start, start_extended, start_on};
pub use settings::ControlProcessSettings;
pub use startup::initialize;
