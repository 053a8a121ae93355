//! Emulated links between zones: TCP relays with delay, jitter and cuts.
//!
//! A link listens on one address and forwards to one target. Delay and cuts apply to an ordered
//! pair of zones, so that one direction can be cut while the other works. The zone of the
//! connecting side is configured or looked up from the connecting process.
//!
//! A cut buffers bytes, as TCP retransmission does: they arrive after it heals, unless an end closed
//! the connection. A new connection takes one round trip before its first byte.

mod client;
mod connection;
mod control;
mod paths;
pub mod server;
mod sources;

pub use client::RelayClient;
pub use control::{CutRequest, LinkStatus, ProcessZone, RelayStatus};
pub use paths::{PathKey, PathSettings, PathTable};
pub use server::{LinkSettings, Relay, RelayError, RelaySettings};
pub use sources::{SourceRule, SourceZones};

/// Wildcard for any zone in a cut.
pub const ANY_ZONE: &str = "*";
/// Zone of a process that is not registered with the relay.
pub const UNKNOWN_ZONE: &str = "unknown";
