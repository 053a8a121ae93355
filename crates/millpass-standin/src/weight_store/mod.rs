//! Weight store with a start rate limit and bandwidth shared by active transfers.

mod client;
mod model;
mod service;

pub use client::{StoreAccess, fetch};
pub use model::*;
pub use service::{WeightStoreHandle, start};
