//! Errors of a control member process.

use crate::administration::AdministrationError;
use millpass_storage::StorageError;
use std::io;

/// Why a control member process cannot start or continue. Each message names the remedy.
#[derive(Debug, thiserror::Error)]
pub enum ControlError {
    /// The administration API failed.
    #[error(transparent)]
    Administration(#[from] AdministrationError),
    /// The data folder could not be used.
    #[error(transparent)]
    Storage(#[from] StorageError),
    /// An address cannot be bound.
    #[error("cannot listen at {address}: {source}; choose a free address of this machine")]
    Listen {
        /// Address from the settings.
        address: String,
        /// Cause.
        source: io::Error,
    },
    /// The data folder belongs to another group.
    #[error(
        "the data folder belongs to group {found}, the settings say {wanted}; correct \
         `member.group` or use another folder"
    )]
    WrongGroup {
        /// Group in the data folder.
        found: u32,
        /// Group in the settings.
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
    /// The data folder is empty and there are no members to join.
    #[error(
        "the data folder is empty and no other member is listed; add `[[members]]` to the \
         settings, or run `millpass control init` once to start a group"
    )]
    NoMembersToJoin,
    /// The lease is too long for the election timeout.
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
    /// The snapshot cannot be decoded.
    #[error("the snapshot cannot be decoded: {0}; run the release that wrote it")]
    StateUnreadable(String),
    /// A thread or socket could not be created.
    #[error("cannot create a thread or socket: {0}; raise the limits of the process")]
    System(#[from] io::Error),
    /// A metric could not be registered.
    #[error("metrics: {0}; report this as a bug")]
    Metrics(#[from] prometheus::Error),
    /// A critical thread has ended.
    #[error(
        "the thread {0} ended unexpectedly; restart the member, and report this with its log as a bug"
    )]
    ThreadEnded(&'static str),
    /// The core stopped with an error.
    #[error("the member stopped: {0}; see the log")]
    Stopped(String),
}
