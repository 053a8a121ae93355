//! Expiry of claims, and abandonment of the claims of dead routers.
//!
//! An open claim stays open until its outcome is known. It is abandoned (concluded as may-have-run,
//! so that it never runs again) when the router returns under a new incarnation, or when the
//! incarnation has not reported to the current leader for [`CLAIM_ABANDON_TIMEOUT`]. Open claims
//! are part of the replicated state; a new leader restarts the timeout.

use millpass_proto::{Duration, Incarnation, RouterName, Timestamp};
use std::collections::BTreeMap;

/// Time without a report after which a router's open claims are abandoned. Far longer than a
/// process pause or network partition after which a router can still finish its requests.
pub const CLAIM_ABANDON_TIMEOUT: Duration = Duration::from_secs(600);
/// Interval between proposals to expire old claims.
pub(crate) const EXPIRY_INTERVAL: Duration = Duration::from_secs(60);
/// Interval between checks for unreachable claim holders.
pub(crate) const HOLDER_CHECK_INTERVAL: Duration = Duration::from_secs(5);

/// One process run of a router.
pub(crate) type RouterIncarnation = (RouterName, Incarnation);

/// Router incarnations that hold open claims and do not report; bounded by the open claims.
#[derive(Default)]
pub(crate) struct UnreachableHolders {
    since: BTreeMap<RouterIncarnation, Timestamp>,
}

impl UnreachableHolders {
    /// Updates the unreachable holders; returns those unreachable for [`CLAIM_ABANDON_TIMEOUT`].
    pub(crate) fn refresh(
        &mut self,
        now: Timestamp,
        unreachable: Vec<RouterIncarnation>,
    ) -> Vec<RouterIncarnation> {
        let mut since = BTreeMap::new();
        let mut expired = Vec::new();
        for holder in unreachable {
            let first_missed = self.since.get(&holder).copied().unwrap_or(now);
            if now.since(first_missed) >= CLAIM_ABANDON_TIMEOUT {
                expired.push(holder.clone());
            }
            since.insert(holder, first_missed);
        }
        self.since = since;
        expired
    }

    pub(crate) fn clear(&mut self) {
        self.since.clear();
    }
}
