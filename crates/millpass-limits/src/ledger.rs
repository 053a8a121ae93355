//! The leader's ledger of permits granted under each limit.
//!
//! Permits are drawn from one token bucket per instance and expire one second after the gateway
//! requested them. All gateways together therefore send at most what flows into the bucket during a
//! window and one further second. A new leader starts with empty buckets: permits granted by its
//! predecessor expire while they fill.

use crate::observed::{LimitChange, ObservedLimit, ObservedLimits};
use crate::rate::RequestRate;
use millpass_proto::{
    Duration, InstanceId, InstancePermitRequest, LimitObservation, LimitUpdate, PermitGrant,
    PermitRequest, PermitResponse, Timestamp,
};
use std::collections::BTreeMap;

/// Seconds of flow that a bucket holds; its capacity is at least one request.
const CAPACITY_SECONDS: f64 = 0.25;
/// Longest time until a caller is invited to retry; the limit may have ended by then.
pub(crate) const MAX_RETRY_AFTER: Duration = Duration::from_secs(10);
/// Shortest time between two events of one instance.
const EVENT_INTERVAL: Duration = Duration::from_secs(1);

/// Requests for permits of an instance were denied.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PermitsExhausted {
    /// Instance.
    pub instance: InstanceId,
    /// Limit of the instance.
    pub rate: RequestRate,
    /// Requests denied since the last event.
    pub denied: u64,
}

#[derive(Debug)]
struct Bucket {
    /// Requests that may be sent now.
    level: f64,
    filled_at: Timestamp,
    /// Time up to which future permits are reserved for refused callers that retry.
    reserved_until: Timestamp,
    denied: u64,
    event_at: Option<Timestamp>,
}

impl Bucket {
    fn new(now: Timestamp) -> Self {
        Bucket {
            level: 0.0,
            filled_at: now,
            reserved_until: now,
            denied: 0,
            event_at: None,
        }
    }

    fn fill(&mut self, now: Timestamp, rate: RequestRate) {
        let elapsed = now.since(self.filled_at).as_secs_f64();
        self.filled_at = self.filled_at.max(now);
        let filled = self.level + elapsed * rate.per_second();
        self.level = filled.min(capacity(rate));
    }

    /// Takes up to `requests` whole permits.
    fn take(&mut self, requests: u32) -> u32 {
        let taken = (self.level.max(0.0) as u32).min(requests);
        self.level -= f64::from(taken);
        taken
    }

    /// Reserves future permits for refused callers, which retry one interval apart.
    fn reserve(&mut self, now: Timestamp, rate: RequestRate, callers: u32) {
        let reserved = self.reserved_until.max(now) + rate.interval().saturating_mul(callers);
        self.reserved_until = reserved.min(now + MAX_RETRY_AFTER);
    }

    /// Time until a request that arrives now may be sent.
    fn time_to_permit(&self, now: Timestamp, rate: RequestRate) -> Duration {
        let missing = (1.0 - self.level).max(0.0) / rate.per_second();
        let next = now + Duration::from_secs_f64(missing);
        next.max(self.reserved_until).since(now)
    }
}

fn capacity(rate: RequestRate) -> f64 {
    (rate.per_second() * CAPACITY_SECONDS).max(1.0)
}

/// The leader's ledger of limits and permits.
#[derive(Debug, Default)]
pub struct PermitLedger {
    observed: ObservedLimits,
    buckets: BTreeMap<InstanceId, Bucket>,
    revision: u64,
}

impl PermitLedger {
    /// Returns a number that increases whenever a limit in force changes.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns true if a limit of the instance is in force.
    pub fn is_limited(&self, instance: &InstanceId) -> bool {
        self.observed.rate(instance).is_some()
    }

    /// Number of limits in force.
    pub fn limited_count(&self) -> usize {
        self.observed.limited_count()
    }

    /// Records limits that gateways observed, and returns the changes to limits in force.
    pub fn record_limits(
        &mut self,
        now: Timestamp,
        observations: &[LimitObservation],
    ) -> Vec<LimitChange> {
        let mut changes = Vec::new();
        for observation in observations {
            let observed = ObservedLimit::from_report(now, observation);
            let before = self.observed.rate(&observation.instance);
            let Some(change) = self.observed.record(now, &observation.instance, observed) else {
                continue;
            };
            self.revision += 1;
            self.apply_change(now, &change, before);
            changes.push(change);
        }
        changes
    }

    fn apply_change(&mut self, now: Timestamp, change: &LimitChange, before: Option<RequestRate>) {
        let Some(rate) = change.rate else {
            self.buckets.remove(&change.instance);
            return;
        };
        let bucket = self.buckets.entry(change.instance.clone());
        let bucket = bucket.or_insert_with(|| Bucket::new(now));
        bucket.fill(now, before.unwrap_or(rate));
        bucket.level = bucket.level.min(capacity(rate));
    }

    /// Responds to a gateway whose observations have been recorded.
    pub fn respond(
        &mut self,
        now: Timestamp,
        term: u64,
        request: &PermitRequest,
    ) -> (PermitResponse, Vec<PermitsExhausted>) {
        let mut events = Vec::new();
        let requests = request.instances.iter();
        let grants = requests.map(|wanted| self.grant(now, wanted, &mut events));
        let response = PermitResponse {
            term,
            sequence: request.sequence,
            grants: grants.collect(),
        };
        (response, events)
    }

    fn grant(
        &mut self,
        now: Timestamp,
        wanted: &InstancePermitRequest,
        events: &mut Vec<PermitsExhausted>,
    ) -> PermitGrant {
        let mut grant = PermitGrant {
            instance: wanted.instance.clone(),
            permits: wanted.waiting,
            wait_millis: 0,
        };
        let Some(rate) = self.observed.rate(&wanted.instance) else {
            return grant;
        };
        let bucket = self.buckets.entry(wanted.instance.clone());
        let bucket = bucket.or_insert_with(|| Bucket::new(now));
        bucket.fill(now, rate);
        bucket.reserve(now, rate, wanted.refused);
        grant.permits = bucket.take(wanted.waiting);
        let missing = wanted.waiting - grant.permits;
        if missing == 0 {
            let surplus = (bucket.level - capacity(rate) / 2.0).max(0.0) as u32;
            grant.permits += bucket.take(wanted.prefetch.min(surplus));
            return grant;
        }
        let wait = bucket.time_to_permit(now, rate);
        grant.wait_millis = (wait.as_millis() as u64).max(1);
        bucket.denied += u64::from(missing);
        let is_event_due = |at: Timestamp| now.since(at) >= EVENT_INTERVAL;
        if bucket.event_at.is_none_or(is_event_due) {
            bucket.event_at = Some(now);
            events.push(PermitsExhausted {
                instance: wanted.instance.clone(),
                rate,
                denied: std::mem::take(&mut bucket.denied),
            });
        }
        grant
    }

    /// Builds the update of all limits for the gateways.
    pub fn update(&self, now: Timestamp, term: u64) -> LimitUpdate {
        let limits = self.observed.iter();
        LimitUpdate {
            term,
            limits: limits
                .map(|(instance, limit)| limit.report(now, instance))
                .collect(),
        }
    }
}
