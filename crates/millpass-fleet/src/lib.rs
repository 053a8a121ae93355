//! Decision core of the leader for self-announcing instances: tracks instances, assigns models to
//! engines and computes gateway updates. It performs no I/O, reads no clock and starts no threads.
//! All of its state is soft: a new leader rebuilds it.
//!
//! | module | purpose |
//! |---|---|
//! | `local_share` | instances that announce themselves at this member, reported to the leader |
//! | `shares` | which member holds each instance, at the leader |
//! | `share_reports` | reports between members and the leader |
//! | `instances` | announcements and departures of instances |
//! | `registry` | active instances, with a revision per change |
//! | `standby` | standby instances, indexed by zone and model |
//! | `activation` | selection of active instances |
//! | `gateways` | sessions of connected gateways |
//! | `demand` | demand for models and adapters |
//! | `pace` | relative speed of engines |
//! | `traffic` | requests in flight at each instance |
//! | `turns` | turns of what is requested again and again in vain |
//! | `observed_state` | recorded engine state as log fields |
//! | `engines` | calls to engines and their recorded state |
//! | `engine_responses` | handling and logging of engine responses |
//! | `pending` | the pending instruction of an engine |
//! | `contact_clock` | time for which this member could receive announcements |
//! | `instruction_history` | instructions of earlier leaders |
//! | `permits` | rate limit of loads from the weight store |
//! | `stream_needs` | loads for streams that go on only at one software version |
//! | `store_capacity` | estimate of concurrent loads that the weight store serves |
//! | `cost` | cost model for placements |
//! | `round` | data of one planning round |
//! | `adapters` | placement of adapters |
//! | `planner` | loads and unloads of models |
//! | `updates` | updates sent to gateways |
//! | `update_schedule` | what a gateway is sent early, and what at the regular interval |
//! | `ready_estimates`, `copy_history` | differences of ready estimates and of weight copies |
//! | `documents` | recent documents, to compute changes |
//! | `rollout` | propagation of documents and departures to gateways |
//! | `crashes` | quarantine of requests and loads that crash instances |
//! | `part_crashes` | refusal of parts of prompts that crash instances |
//! | `limits` | limits stated by instances, and request permits |
//! | `origins` | software versions that began streams |
//! | `reach` | what gateways reach, and which serve requests of those that lack contact |
//! | `interface` | settings, inputs and outputs |
//! | `fleet` | the core itself |

mod activation;
mod adapters;
mod busy_copies;
mod contact_clock;
mod copy_history;
mod cost;
mod crashes;
mod demand;
mod documents;
mod engine_responses;
mod engines;
mod fleet;
mod gateways;
mod instances;
mod instruction_history;
mod interface;
mod limits;
mod local_share;
mod observed_state;
mod origins;
mod pace;
mod part_crashes;
mod pending;
mod permits;
mod planner;
mod reach;
mod ready_estimates;
mod registry;
mod rollout;
mod round;
mod runs;
mod share_reports;
mod shares;
mod standby;
mod store_capacity;
mod stream_needs;
mod traffic;
mod turns;
mod update_schedule;
mod updates;

pub use demand::ModelKey;
pub use documents::DocumentHistory;
pub use fleet::Fleet;
pub use instruction_history::InstructionHistory;
pub use interface::{CallResult, FleetEvent, FleetOutput, FleetSettings, FleetSizes};
pub use millpass_origins::TableSettings;
pub use millpass_quarantine::{PartQuarantineSettings, PartThreshold};
pub use permits::StorePermits;
pub use store_capacity::{PendingLoad, StoreCapacity};
pub use updates::GatewayContext;
