//! Messages of millpass, generated from `schema/*.yaml`, with their framing and time types.
//!
//! Everything that crosses between two processes of the system, or goes to disk, is one of the
//! types in [`generated`], encoded with postcard. The types of the engine, weight-store and
//! platform interfaces are the same kind of types, encoded as JSON.

pub mod codec;
mod differences;
mod required_entries;
#[rustfmt::skip]
#[allow(missing_docs, clippy::all)]
pub mod generated;
mod identity;
mod incarnation;
pub mod time;
mod weights;

pub use generated::*;
pub use time::{Duration, Timestamp};
pub use weights::WeightsSource;
