//! Web back end: pages by path, and non-idempotent endpoints.

mod model;
mod service;

pub use model::*;
pub use service::{WebHandle, start};
