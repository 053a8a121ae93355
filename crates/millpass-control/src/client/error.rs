//! Why a call failed.

use crate::api::ErrorDetail;

/// Why a call failed.
#[derive(Debug, thiserror::Error)]
pub enum ClientError {
    /// No address was given.
    #[error("no address of a control member was given; name at least one, IP:port")]
    NoAddress,
    /// The key is not accepted.
    #[error("{message}; {remedy}")]
    Unauthenticated {
        /// What is wrong.
        message: String,
        /// What to do.
        remedy: String,
    },
    /// The role does not allow it.
    #[error("{message}; {remedy}")]
    Forbidden {
        /// What is wrong.
        message: String,
        /// What to do.
        remedy: String,
    },
    /// Somebody else changed the object first; nothing was changed.
    #[error(
        "the object is at version {current_version} by now (0: it does not exist) and nothing was \
         changed; read it and submit the change against that version"
    )]
    Conflict {
        /// Version of the object now; 0 if it does not exist.
        current_version: u64,
    },
    /// The request is not accepted; nothing was changed.
    #[error("{} ({status}); {}", .detail.message, .detail.remedy)]
    Rejected {
        /// Status of the answer.
        status: u16,
        /// Reason and remedy, for a policy with the place in it.
        detail: Box<ErrorDetail>,
    },
    /// The deadline is over and no member took the call; nothing was changed.
    #[error("no control member took the call in time ({last}); check the addresses, and retry")]
    Unavailable {
        /// What the last try met.
        last: String,
    },
    /// The deadline is over and the answer was lost: it may have been done or may yet be.
    #[error(
        "the answer was lost ({last}) and the outcome is unknown; read the state before you \
         submit anything else, or resend with the same change id"
    )]
    OutcomeUnknown {
        /// What the last try met.
        last: String,
    },
    /// The answer is no body of this interface.
    #[error("the answer was not understood ({0}); use the client of the members' release")]
    UnexpectedResponse(String),
}
