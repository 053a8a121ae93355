//! Events of the ledger, to log.

use crate::limit::TenantLimit;
use millpass_proto::TenantName;

/// Event: a tenant exhausted its quota.
#[derive(Clone, Debug, PartialEq)]
pub struct QuotaExhausted {
    /// Tenant.
    pub tenant: TenantName,
    /// Its limit.
    pub limit: TenantLimit,
    /// Units left; negative if the last request cost more than was left.
    pub level: f64,
    /// Requests denied since the last event.
    pub denied: u64,
    /// Most urgent rank that is denied.
    pub denied_rank: Option<u32>,
    /// Level of the bucket from which that rank is granted; above 1 if units are held back for
    /// more urgent ranks.
    pub threshold: f64,
    /// Units per second that each tracked rank wants, most urgent first.
    pub wanted: Vec<(u32, f64)>,
}

/// Units that moved in and out of a tenant's bucket since its last event, and what is left.
#[derive(Clone, Debug, PartialEq)]
pub struct CreditTotals {
    /// Tenant.
    pub tenant: TenantName,
    /// Units left; negative if the last request cost more than was left.
    pub level: f64,
    /// Granted to claims, without promised ones.
    pub granted: u64,
    /// Granted to claims from a later time on.
    pub promised: u64,
    /// Granted ahead of requests.
    pub prefetched: u64,
    /// Returned unused.
    pub returned: u64,
    /// Used without a grant and charged.
    pub overdrawn: u64,
    /// Used without a grant under another leader, and not charged.
    pub uncharged: u64,
}

impl CreditTotals {
    pub(crate) fn new(tenant: TenantName) -> Self {
        CreditTotals {
            tenant,
            level: 0.0,
            granted: 0,
            promised: 0,
            prefetched: 0,
            returned: 0,
            overdrawn: 0,
            uncharged: 0,
        }
    }
}

/// Event to log.
#[derive(Clone, Debug, PartialEq)]
pub enum CreditEvent {
    /// A tenant exhausted its quota.
    Exhausted(QuotaExhausted),
    /// Totals of a tenant with less than half of its burst left.
    Totals(CreditTotals),
}
