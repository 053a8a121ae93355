//! Checks that a refusal states its code, whether the request was executed, and Retry-After.

use serde::{Deserialize, Serialize};

/// Whether a refused request was executed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Executed {
    /// Executed.
    Yes,
    /// Not executed.
    No,
    /// Possibly executed.
    Unknown,
}

impl Executed {
    /// Parses the value used in headers and bodies.
    pub fn parse(text: &str) -> Option<Self> {
        match text.trim() {
            "yes" => Some(Executed::Yes),
            "no" => Some(Executed::No),
            "unknown" => Some(Executed::Unknown),
            _ => None,
        }
    }
}

/// A complete refusal.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refusal {
    /// HTTP status.
    pub status: u16,
    /// Code in the JSON body.
    pub code: String,
    /// Whether the request was executed.
    pub executed: Executed,
    /// Retry-After, in seconds.
    pub retry_after_seconds: Option<u64>,
}

/// Fault of a refusal.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error, Serialize, Deserialize)]
pub enum RefusalFault {
    /// The body is not the JSON error object of the caller API.
    #[error("the body is not {{\"error\":{{\"code\":...}}}}; check which server responded")]
    NoCode,
    /// Neither header nor body states whether the request was executed.
    #[error(
        "neither header nor body states whether the request was executed; set it in one of them"
    )]
    NoExecuted,
    /// Header and body contradict each other.
    #[error(
        "header and body differ on whether the request was executed; send the same value in both"
    )]
    ExecutedDiffers,
    /// A 429 or 503 refusal has no Retry-After header.
    #[error("status {0} without Retry-After; add the header to the refusal")]
    NoRetryAfter(u16),
}

#[derive(Deserialize)]
struct ErrorBody {
    error: ErrorObject,
}

#[derive(Deserialize)]
struct ErrorObject {
    code: Option<String>,
    executed: Option<String>,
}

/// Statuses that require a Retry-After header.
const RETRY_AFTER_STATUSES: [u16; 2] = [429, 503];

/// Parses a refusal and checks that all required fields are present.
pub fn check_refusal(
    status: u16,
    executed_header: Option<&str>,
    retry_after_header: Option<&str>,
    body: &[u8],
) -> Result<Refusal, RefusalFault> {
    let parsed: ErrorBody = serde_json::from_slice(body).map_err(|_| RefusalFault::NoCode)?;
    let code = parsed.error.code.filter(|code| !code.is_empty());
    let code = code.ok_or(RefusalFault::NoCode)?;
    let from_header = executed_header.and_then(Executed::parse);
    let from_body = parsed.error.executed.as_deref().and_then(Executed::parse);
    let executed = match (from_header, from_body) {
        (Some(header), Some(body)) if header != body => return Err(RefusalFault::ExecutedDiffers),
        (Some(executed), _) | (None, Some(executed)) => executed,
        (None, None) => return Err(RefusalFault::NoExecuted),
    };
    let retry_after_seconds = retry_after_header.and_then(|text| text.trim().parse().ok());
    if RETRY_AFTER_STATUSES.contains(&status) && retry_after_seconds.is_none() {
        return Err(RefusalFault::NoRetryAfter(status));
    }
    Ok(Refusal {
        status,
        code,
        executed,
        retry_after_seconds,
    })
}
