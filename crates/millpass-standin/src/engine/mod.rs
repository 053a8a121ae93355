//! Inference engine: accelerator memory, fenced orders, loads, continuous batching, caches and reports.

mod audit;
mod batch;
mod checkpoints;
mod events;
mod fences;
mod front;
mod idle;
mod loading;
mod memory;
mod messages;
mod model;
mod orders;
mod prefix;
mod requests;
mod serving;
mod settings;
mod slots;
mod timers;

pub use front::{EngineFront, EngineHandle, start, start_many, start_with};
pub use messages::*;
pub use model::EngineModel;
pub use settings::*;
