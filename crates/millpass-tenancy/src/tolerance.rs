//! Use beyond a tenant's limit that is tolerated, and its parts.
//!
//! In a window, units beyond the limit can be used from each part once, and from that of a new leader
//! [`MAXIMUM_OPENINGS_PER_WINDOW`] times. Together these are nine tenths of the tolerance; the rest
//! covers the last request, which may take the bucket below zero.

use crate::limit::TenantLimit;
use millpass_proto::Duration;

/// Number of leaders that may start with opening credit within a window.
pub const MAXIMUM_OPENINGS_PER_WINDOW: usize = 2;
/// Units that gateways hold in reserve, or return, beyond the burst.
const HELD_FRACTION: f64 = 0.25;
/// Units that all gateways use together without a grant.
const OVERDRAFT_FRACTION: f64 = 0.15;
/// Units that a new leader's buckets start with.
const OPENING_FRACTION: f64 = 0.2;
/// Units promised to ranks below others: more urgent requests may use them first. Not granted in a
/// leader's first window, in which the opening credit is used.
const PROMISED_FRACTION: f64 = 0.3;
/// Units of repeated sends.
const REPEATED_FRACTION: f64 = 0.1;

/// Use beyond a tenant's limit that is tolerated.
#[derive(Clone, Copy, Debug)]
pub struct QuotaTolerance {
    /// Length of the window over which use is summed.
    pub window: Duration,
    /// Tolerated excess as a fraction of the limit.
    pub overage: f64,
    /// Additional tolerated units per window.
    pub slack_units: u64,
}

impl Default for QuotaTolerance {
    /// Tolerates no excess.
    fn default() -> Self {
        QuotaTolerance {
            window: Duration::from_secs(10),
            overage: 0.0,
            slack_units: 0,
        }
    }
}

impl QuotaTolerance {
    /// Units tolerated beyond a limit in a window.
    fn tolerated_above(&self, limit: TenantLimit) -> f64 {
        let refill = limit.units_per_second as f64 * self.window.as_secs_f64();
        self.overage * (refill + limit.burst_units as f64) + self.slack_units as f64
    }

    pub(crate) fn held(&self, limit: TenantLimit) -> f64 {
        self.tolerated_above(limit) * HELD_FRACTION
    }

    pub(crate) fn overdraft(&self, limit: TenantLimit) -> f64 {
        self.tolerated_above(limit) * OVERDRAFT_FRACTION
    }

    pub(crate) fn opening(&self, limit: TenantLimit) -> f64 {
        self.tolerated_above(limit) * OPENING_FRACTION
    }

    pub(crate) fn promised(&self, limit: TenantLimit) -> f64 {
        self.tolerated_above(limit) * PROMISED_FRACTION
    }

    pub(crate) fn repeated(&self, limit: TenantLimit) -> f64 {
        self.tolerated_above(limit) * REPEATED_FRACTION
    }
}
