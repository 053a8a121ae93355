//! Quarantined requests: requests that crash the instances that run them.

use millpass_proto::{Duration, RequestFingerprint};
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

/// All quarantined requests.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuarantinedRequestsBody {
    /// Requests.
    pub requests: Vec<QuarantinedRequestBody>,
}

impl From<Vec<(RequestFingerprint, u32, Duration)>> for QuarantinedRequestsBody {
    fn from(held: Vec<(RequestFingerprint, u32, Duration)>) -> Self {
        let requests = held
            .into_iter()
            .map(|(request, ends, left)| QuarantinedRequestBody {
                fingerprint: request.to_string(),
                ends,
                held_ms: left.as_millis() as u64,
            });
        QuarantinedRequestsBody {
            requests: requests.collect(),
        }
    }
}
