//! The platform's list of machines, which lags behind.

mod client;
mod model;
mod service;

pub use client::PlatformClient;
pub use model::*;
pub use service::{PlatformHandle, start};
