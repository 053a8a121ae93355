//! Which software version began a stream, so that it goes on at that version only.
//!
//! A gateway records the origin of each resumable stream that it relays, and states it to the leader.
//! The leader answers gateways at which callers take streams up again. Both keep origins in memory;
//! a gateway states all of its own to each new leader. No I/O, clock or threads.
//!
//! | module | job |
//! |---|---|
//! | `key` | identifies a stream |
//! | `begun` | streams of one gateway, and its questions to the leader |
//! | `sole` | services that have run one version only |
//! | `table` | streams of all gateways, at the leader |

mod begun;
mod key;
mod sole;
mod table;

pub use begun::{BegunSettings, BegunStreams};
pub use key::stream_key;
pub use sole::SoleVersions;
pub use table::{OriginTable, TableSettings};
