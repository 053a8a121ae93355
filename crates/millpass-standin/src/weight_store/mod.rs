//! Weight store: a rate limit, and bandwidth shared by the transfers that go on.

mod client;
mod model;
mod service;

pub use client::{StoreAccess, fetch};
pub use model::*;
pub use service::{WeightStoreHandle, start};
