//! Message types of millpass, generated from `schema/*.yaml`, with their framing and time types.
//!
//! All messages between millpass processes, and all data they persist, are types of [`generated`]
//! encoded with postcard. The messages of the engine, weight store and platform interfaces are
//! also generated, but encoded as JSON.

pub mod codec;
mod differences;
mod report_merge;
mod required_entries;
mod shared;
#[rustfmt::skip]
#[allow(missing_docs, clippy::all)]
pub mod generated;
mod identity;
mod incarnation;
mod software;
pub mod time;
mod weights;

pub use generated::*;
pub use shared::{SharedBytes, SharedDocument};
pub use time::{Duration, Timestamp};
pub use weights::WeightsSource;
