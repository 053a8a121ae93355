//! Platform's list of machines, which lags.

mod client;
mod model;
mod service;

pub use client::PlatformClient;
pub use model::*;
pub use service::{PlatformHandle, start};
