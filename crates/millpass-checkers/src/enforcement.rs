//! Checks that every router enforces an accepted removal of a tenant after the bound. A router that
//! is unreachable or was frozen stops admitting requests when its lease expires.

use crate::{AnswerOutcome, Breach, Event, History, Limits, RequestId};
use millpass_proto::TenantName;
use std::collections::BTreeMap;

/// Name of the checker.
pub const NAME: &str = "enforcement";

/// Reports each request of a removed tenant that was sent after the bound and served.
pub fn check(history: &History, limits: &Limits) -> Vec<Breach> {
    let mut removed: BTreeMap<&TenantName, u64> = BTreeMap::new();
    let mut too_late: BTreeMap<RequestId, &TenantName> = BTreeMap::new();
    let mut breaches = Vec::new();
    for record in history.records() {
        let at = record.at_micros;
        match &record.event {
            Event::TenantRemoved { tenant } => {
                removed.entry(tenant).or_insert(at);
            }
            Event::RequestSent {
                request, tenant, ..
            } => {
                let since = removed.get(tenant);
                if since.is_some_and(|since| at > since + limits.enforced_micros) {
                    too_late.insert(*request, tenant);
                }
            }
            Event::RequestEnded {
                request,
                outcome: AnswerOutcome::Whole(_),
            } => breaches.extend(too_late.get(request).map(|tenant| Breach {
                checker: NAME,
                at_micros: at,
                detail: format!(
                    "request {} of removed tenant {tenant} was served",
                    request.0
                ),
            })),
            _ => {}
        }
    }
    breaches
}
