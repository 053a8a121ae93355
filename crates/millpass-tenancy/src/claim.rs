//! Claims of requests on their tenant's credit, and the origin of their units.

use crate::limit::TenantLimit;
use millpass_proto::{Duration, TenantName, Timestamp};

/// Handle of a request's claim on its tenant's credit; increases in order of arrival.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct CreditClaim(pub(crate) u64);

/// Request that a claim is opened for.
#[derive(Clone, Copy, Debug)]
pub struct ClaimedRequest {
    /// Its rank among the tenant's requests; 0 is the most urgent.
    pub rank: u32,
    /// Units that it costs.
    pub units: u64,
    /// How long it waits for units.
    pub wait_limit: Duration,
}

/// State of a claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CreditOutcome {
    /// The units are granted; the request may run.
    Covered,
    /// Check again when a response arrives, or at this time.
    Pending {
        /// Time of the next check.
        until: Timestamp,
    },
    /// The quota is exhausted for requests of this rank.
    Denied {
        /// Time until a request of this rank can expect units.
        retry_after: Duration,
    },
}

/// Origin of the units of a covered claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CreditSource {
    /// Granted by the leader for this claim.
    Grant,
    /// Granted by the leader in advance, or for a request that did not run.
    Reserve,
    /// Used without a grant from the tolerance.
    Tolerance,
}

impl CreditSource {
    /// Returns the name used in logs.
    pub fn as_str(self) -> &'static str {
        match self {
            CreditSource::Grant => "grant",
            CreditSource::Reserve => "reserve",
            CreditSource::Tolerance => "tolerance",
        }
    }
}

/// Units that a request uses.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CreditUse {
    /// Units.
    pub units: u64,
    /// Origin of the units.
    pub source: CreditSource,
    /// Term of the leader that granted them; 0 if none did.
    pub term: u64,
    /// When the claim was covered.
    pub covered_at: Timestamp,
}

/// What a claim is for, in the order in which claims are granted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum ClaimKind {
    /// A request that was sent before and may have run, or was granted units a window ago.
    Repeated,
    /// A request that has no units yet.
    New,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Stage {
    /// To be sent with the next request.
    Queued,
    /// Sent to the leader.
    Sent,
    /// The leader has no units for this rank until this time.
    Denied(Timestamp),
    /// Granted from this time on.
    Reserved(Timestamp),
    Covered,
    /// Sent with its units.
    Used,
}

#[derive(Debug)]
pub(crate) struct Claim {
    pub(crate) tenant: TenantName,
    pub(crate) limit: TenantLimit,
    pub(crate) rank: u32,
    pub(crate) units: u64,
    pub(crate) kind: ClaimKind,
    pub(crate) stage: Stage,
    /// Origin of its units and when they were obtained, once covered or reserved.
    pub(crate) covered: Option<CreditUse>,
    /// When it was last opened, renewed or repeated.
    pub(crate) opened_at: Timestamp,
    /// Until when it waits for an exhausted quota.
    pub(crate) wait_until: Timestamp,
    pub(crate) wait_limit: Duration,
}

impl Claim {
    /// Returns true if it has units that were not used.
    pub(crate) fn holds_units(&self) -> bool {
        matches!(self.stage, Stage::Covered | Stage::Reserved(_))
    }

    pub(crate) fn cover(&mut self, now: Timestamp, source: CreditSource, term: u64) {
        self.covered = Some(CreditUse {
            units: self.units,
            source,
            term,
            covered_at: now,
        });
    }
}
