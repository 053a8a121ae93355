//! Why a control member process cannot start or go on.

use crate::administration::AdministrationError;
use millpass_storage::StorageError;
use std::io;

/// Each message names the remedy.
#[derive(Debug, thiserror::Error)]
pub enum ControlError {
    /// The administration API.
    #[error(transparent)]
    Administration(#[from] AdministrationError),
    /// The data folder.
    #[error(transparent)]
    Storage(#[from] StorageError),
    /// An address cannot be listened at.
    #[error("cannot listen at {address}: {source}; choose a free address of this machine")]
    Listen {
        /// Address from the settings.
        address: String,
        /// Cause.
        source: io::Error,
    },
    /// The folder holds a member of another group.
    #[error(
        "the data folder belongs to group {found}, the settings say {wanted}; correct \
         `member.group` or use another folder"
    )]
    WrongGroup {
        /// Group of the folder.
        found: u32,
        /// Group of the settings.
        wanted: u32,
    },
    /// This member is not in the list of initial members.
    #[error(
        "{address} is not among the initial members; add it to `[[members]]` in each member's \
         settings, or start without `init` to join a running group"
    )]
    NotAnInitialMember {
        /// Peer address of this member.
        address: String,
    },
    /// An empty folder, and nobody to join.
    #[error(
        "the data folder is empty and no other member is listed; add `[[members]]` to the \
         settings, or run `millpass control init` once to start a group"
    )]
    NoMembersToJoin,
    /// A timing of the settings does not fit the others.
    #[error(
        "consensus.lease_ms ({lease_millis}) must be at most three quarters of \
         consensus.election_timeout_ms ({election_millis}): clocks drift; lower the lease"
    )]
    LeaseTooLong {
        /// Lease in milliseconds.
        lease_millis: u128,
        /// Election timeout in milliseconds.
        election_millis: u128,
    },
    /// The snapshot does not decode.
    #[error("the snapshot does not decode: {0}; run the release that wrote it")]
    StateUnreadable(String),
    /// A thread or socket could not be had.
    #[error("the system refused a thread or socket: {0}; raise the limits of the process")]
    System(#[from] io::Error),
    /// A metric could not be registered.
    #[error("metrics: {0}; report this as a defect")]
    Metrics(#[from] prometheus::Error),
    /// A thread that the member cannot do without has ended.
    #[error(
        "the thread {0} ended; start the member again, and report what the log says of it as a defect"
    )]
    ThreadEnded(&'static str),
    /// The core stopped for good.
    #[error("the member stopped: {0}; see the log")]
    Stopped(String),
}
