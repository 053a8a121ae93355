//! Decision core of the leader for instances that announce themselves: which instances there are,
//! which engine loads which model, and what gateways are told. Without input/output, clock or
//! threads; everything in it is soft state that a new leader learns anew.
//!
//! | module | job |
//! |---|---|
//! | `share` | instances that announce themselves at this member, and what of them the leader was told |
//! | `shares` | which member each instance announces itself at, as the leader knows it |
//! | `share_words` | what members and the leader say to each other of them |
//! | `instances` | what instances say of themselves, as the leader takes it |
//! | `registry` | active instances, with a revision for each change |
//! | `standby` | instances that stand by, found by zone and model |
//! | `activation` | which instances are active |
//! | `gateways` | connected gateways and what each was sent |
//! | `demand` | how much each model and adapter is asked for |
//! | `traffic` | requests in flight at each instance, over all gateways |
//! | `belief` | what is believed of an engine, in words for the log |
//! | `engines` | one call at a time for each engine, and what it holds as far as that is proven |
//! | `engine_answers` | answers to calls to engines, as the leader takes and logs them |
//! | `pending` | an instruction to an engine that is under way |
//! | `hearing` | the time for which this member could hear instances |
//! | `handover` | what is known of the instructions of earlier leaders |
//! | `permits` | loads that the weight store allows |
//! | `store` | how many loads at once the weight store serves well |
//! | `cost` | what a placement costs and saves, in one unit |
//! | `round` | what a round of planning looks up often |
//! | `adapters` | which engine loads an adapter |
//! | `planner` | which model or adapter to load or unload next, and where |
//! | `updates` | what gateways are told |
//! | `documents` | the last documents in force, to tell what changed |
//! | `rollout` | how a version reaches each gateway, and who lacks it |
//! | `crashes` | requests and loads that end the instances that run them |
//! | `limits` | limits that instances state, and what gateways may send them |
//! | `interface` | settings of the core, and what it wants of its host |
//! | `fleet` | the core itself |

mod activation;
mod adapters;
mod belief;
mod cost;
mod crashes;
mod demand;
mod documents;
mod engine_answers;
mod engines;
mod fleet;
mod gateways;
mod handover;
mod hearing;
mod instances;
mod interface;
mod limits;
mod pending;
mod permits;
mod planner;
mod registry;
mod rollout;
mod round;
mod share;
mod share_words;
mod shares;
mod standby;
mod store;
mod traffic;
mod updates;

pub use demand::ModelKey;
pub use documents::DocumentHistory;
pub use fleet::Fleet;
pub use handover::InstructionHistory;
pub use interface::{CallResult, FleetEvent, FleetOutput, FleetSettings, FleetSizes};
pub use permits::StorePermits;
pub use store::{PendingLoad, StoreCapacity};
pub use updates::GatewayContext;
