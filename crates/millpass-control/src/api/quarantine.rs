//! Quarantined requests and parts of prompts: what crashes the instances that run it.

use millpass_proto::{Duration, RefusedParts, RequestFingerprint};
use serde::{Deserialize, Serialize};

/// A quarantined request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuarantinedRequestBody {
    /// Fingerprint, in hexadecimal digits; gateways log it with each request.
    pub fingerprint: String,
    /// Number of instance crashes attributed to it.
    pub ends: u32,
    /// Remaining quarantine, in milliseconds; 0 once it has expired.
    pub held_ms: u64,
}

/// Refused parts of prompts. A prompt that has all of them is refused.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RefusedPartsBody {
    /// Service whose instances they crash.
    pub service: String,
    /// Identities of the parts, in hexadecimal digits, joined by `+`; gateways log them as `prompt=`.
    pub parts: String,
    /// Tenant whose prompts are refused; none where callers need no key, or for all tenants.
    pub tenant: Option<String>,
    /// Whether the prompts of all tenants are refused.
    pub all_tenants: bool,
    /// Number of instance crashes attributed to them.
    pub ends: u32,
    /// Remaining time for which they are refused, in milliseconds; 0 once it has expired.
    pub held_ms: u64,
}

/// All quarantined requests and refused parts of prompts.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuarantinedRequestsBody {
    /// Requests.
    pub requests: Vec<QuarantinedRequestBody>,
    /// Parts of prompts.
    #[serde(default)]
    pub parts: Vec<RefusedPartsBody>,
}

impl QuarantinedRequestsBody {
    /// Creates the body from quarantined requests, with their crashes and remaining time, and refused
    /// parts.
    pub fn new(held: Vec<(RequestFingerprint, u32, Duration)>, parts: Vec<RefusedParts>) -> Self {
        let requests = held
            .into_iter()
            .map(|(request, ends, left)| QuarantinedRequestBody {
                fingerprint: request.to_string(),
                ends,
                held_ms: left.as_millis() as u64,
            });
        QuarantinedRequestsBody {
            requests: requests.collect(),
            parts: parts.into_iter().map(RefusedPartsBody::from).collect(),
        }
    }
}

impl From<RefusedParts> for RefusedPartsBody {
    fn from(refused: RefusedParts) -> Self {
        let set = refused.set;
        let parts: Vec<String> = set.parts.iter().map(|part| format!("{part:x}")).collect();
        RefusedPartsBody {
            service: set.service.0,
            parts: parts.join("+"),
            tenant: set.tenant.map(|tenant| tenant.0),
            all_tenants: set.all_tenants,
            ends: refused.crashes,
            held_ms: refused.remaining_millis,
        }
    }
}
