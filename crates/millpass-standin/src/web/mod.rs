//! Web back end: pages by path, and endpoints that may not be repeated.

mod model;
mod service;

pub use model::*;
pub use service::{WebHandle, start};
