//! Errors of the administration API client.

use crate::api::ErrorDetail;

/// Why a call failed.
#[derive(Debug, thiserror::Error)]
pub enum ClientError {
    /// No address was given.
    #[error("no address of a control member was given; name at least one, IP:port")]
    NoAddress,
    /// The key was rejected.
    #[error("{message}; {remedy}")]
    Unauthenticated {
        /// Reason.
        message: String,
        /// Remedy.
        remedy: String,
    },
    /// The role does not permit the call.
    #[error("{message}; {remedy}")]
    Forbidden {
        /// Reason.
        message: String,
        /// Remedy.
        remedy: String,
    },
    /// The object is at another version than expected; nothing was changed.
    #[error(
        "the object is now at version {current_version} (0: it does not exist) and nothing was \
         changed; read it and submit the change against that version"
    )]
    Conflict {
        /// Current version of the object; 0 if it does not exist.
        current_version: u64,
    },
    /// The request was rejected; nothing was changed.
    #[error("{} ({status}); {}", .detail.message, .detail.remedy)]
    Rejected {
        /// HTTP status.
        status: u16,
        /// Reason and remedy, with the position for an invalid policy.
        detail: Box<ErrorDetail>,
    },
    /// The deadline has passed and no member accepted the call; nothing was changed.
    #[error("no control member accepted the call in time ({last}); check the addresses and retry")]
    Unavailable {
        /// Error of the last attempt.
        last: String,
    },
    /// The deadline has passed and the response was lost: the call may have been or may still be executed.
    #[error(
        "the response was lost ({last}) and the outcome is unknown; read the state before you \
         submit anything else, or resend with the same change id"
    )]
    OutcomeUnknown {
        /// Error of the last attempt.
        last: String,
    },
    /// The response body is invalid.
    #[error("invalid response body ({0}); use a client of the same release as the members")]
    UnexpectedResponse(String),
}
