//! Refusals: each must say why, whether the request ran, and when to come back.

use serde::{Deserialize, Serialize};

/// Whether a refused request ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Executed {
    /// It ran.
    Yes,
    /// It truly did not run.
    No,
    /// It may have run.
    Unknown,
}

impl Executed {
    /// Reads the word used in headers and bodies.
    pub fn parse(text: &str) -> Option<Self> {
        match text.trim() {
            "yes" => Some(Executed::Yes),
            "no" => Some(Executed::No),
            "unknown" => Some(Executed::Unknown),
            _ => None,
        }
    }
}

/// What a refusal said.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refusal {
    /// HTTP status.
    pub status: u16,
    /// Code in the JSON body.
    pub code: String,
    /// Whether the request ran.
    pub executed: Executed,
    /// When to come back, in seconds.
    pub retry_after_seconds: Option<u64>,
}

/// What is wrong with a refusal.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error, Serialize, Deserialize)]
pub enum RefusalFault {
    /// The body is not the JSON error object of the caller API.
    #[error("the body is not {{\"error\":{{\"code\":...}}}}; look at what answered")]
    NoCode,
    /// Neither header nor body says whether the request ran.
    #[error("neither header nor body says whether the request ran; the refusal must state it")]
    NoExecuted,
    /// Header and body contradict each other.
    #[error("header and body differ on whether the request ran; they must agree")]
    ExecutedDiffers,
    /// A refusal for lack of capacity does not say when to come back.
    #[error("status {0} without Retry-After; the refusal must say when to come back")]
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

/// Statuses that tell the caller to come back, and so must say when.
const COME_BACK_STATUSES: [u16; 2] = [429, 503];

/// Reads a refusal and checks that it says all that it must.
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
    if COME_BACK_STATUSES.contains(&status) && retry_after_seconds.is_none() {
        return Err(RefusalFault::NoRetryAfter(status));
    }
    Ok(Refusal {
        status,
        code,
        executed,
        retry_after_seconds,
    })
}
