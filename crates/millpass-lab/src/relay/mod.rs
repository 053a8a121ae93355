//! Emulated links between zones: TCP relays with delay, jitter and cuts.
//!
//! One process carries many links. A link listens on one address and connects on to one target.
//! The zone of the target is stated; the zone of the other side is stated too, or is that of the
//! process that connected, as told to the relay over its control port. Delay and cuts belong to
//! the ordered pair of zones, so one direction can be cut while the other still works.
//!
//! A cut holds bytes back and forgets none, as TCP does: what was sent during a cut arrives after
//! it heals, unless an end gave up. A new connection costs one round trip before its first byte.

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

/// Name that stands for every zone in a cut.
pub const ANY_ZONE: &str = "*";
/// Zone of a process that the relay was not told of.
pub const UNKNOWN_ZONE: &str = "unknown";
