//! Last observed limit of each instance, and which of two observations wins.

use crate::rate::RequestRate;
use millpass_proto::{Duration, InstanceId, LimitObservation, Timestamp};
use std::collections::BTreeMap;

/// Time for which a withdrawn limit is remembered, as older observations may still arrive.
const WITHDRAWN_RETENTION: Duration = Duration::from_secs(60);
/// Most instances remembered; the one observed longest ago is evicted first.
const MAX_OBSERVED_LIMITS: usize = 4_096;

/// A limit stated in a response. The instance wrote it between `sent_at` and `received_at`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ObservedLimit {
    /// Limit; none if the response stated none.
    pub rate: Option<RequestRate>,
    /// When the request was sent.
    pub sent_at: Timestamp,
    /// When its response arrived.
    pub received_at: Timestamp,
}

/// A change to the limit in force of an instance.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LimitChange {
    /// Instance.
    pub instance: InstanceId,
    /// Limit in force; none if it was withdrawn.
    pub rate: Option<RequestRate>,
}

impl ObservedLimit {
    /// Converts a report, whose times are ages, to local time.
    pub(crate) fn from_report(now: Timestamp, report: &LimitObservation) -> ObservedLimit {
        let earlier = |millis| now.earlier(Duration::from_millis(millis));
        ObservedLimit {
            rate: report
                .milli_per_second
                .map(|milli_per_second| RequestRate { milli_per_second }),
            sent_at: earlier(report.request_age_millis),
            received_at: earlier(report.response_age_millis),
        }
    }

    /// Converts to a report, with ages instead of times.
    pub(crate) fn report(&self, now: Timestamp, instance: &InstanceId) -> LimitObservation {
        LimitObservation {
            instance: instance.clone(),
            milli_per_second: self.rate.map(|rate| rate.milli_per_second),
            request_age_millis: now.since(self.sent_at).as_millis() as u64,
            response_age_millis: now.since(self.received_at).as_millis() as u64,
        }
    }

    /// Returns true if it replaces `held`. Responses may overtake each other: of two observations
    /// whose order is unknown, the stricter wins.
    fn supersedes(&self, held: &ObservedLimit) -> bool {
        if self.received_at <= held.sent_at {
            return false;
        }
        let is_newer = self.sent_at >= held.received_at;
        match (self.rate, held.rate) {
            (Some(new), Some(old)) if new == old => self.received_at > held.received_at,
            (Some(new), Some(old)) => new < old || is_newer,
            (Some(_), None) => true,
            (None, _) => is_newer,
        }
    }
}

/// Last observed limit of each instance.
#[derive(Debug, Default)]
pub(crate) struct ObservedLimits {
    limits: BTreeMap<InstanceId, ObservedLimit>,
}

impl ObservedLimits {
    /// Records an observation, and returns the change to the limit in force, if any.
    pub(crate) fn record(
        &mut self,
        now: Timestamp,
        instance: &InstanceId,
        observed: ObservedLimit,
    ) -> Option<LimitChange> {
        let held = self.limits.get(instance);
        let before = held.and_then(|held| held.rate);
        match held {
            Some(held) if !observed.supersedes(held) => return None,
            None if observed.rate.is_none() => return None,
            _ => {}
        }
        self.evict_old(now);
        self.limits.insert(instance.clone(), observed);
        let change = LimitChange {
            instance: instance.clone(),
            rate: observed.rate,
        };
        (before != observed.rate).then_some(change)
    }

    fn evict_old(&mut self, now: Timestamp) {
        self.limits.retain(|_, observed| {
            observed.rate.is_some() || now.since(observed.received_at) < WITHDRAWN_RETENTION
        });
        if self.limits.len() < MAX_OBSERVED_LIMITS {
            return;
        }
        let oldest = self
            .limits
            .iter()
            .min_by_key(|(_, observed)| observed.received_at);
        if let Some(instance) = oldest.map(|(instance, _)| instance.clone()) {
            self.limits.remove(&instance);
        }
    }

    pub(crate) fn rate(&self, instance: &InstanceId) -> Option<RequestRate> {
        self.limits.get(instance)?.rate
    }

    pub(crate) fn get(&self, instance: &InstanceId) -> Option<&ObservedLimit> {
        self.limits.get(instance)
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = (&InstanceId, &ObservedLimit)> {
        self.limits.iter()
    }

    /// Number of limits in force.
    pub(crate) fn limited_count(&self) -> usize {
        let limits = self.limits.values();
        limits.filter(|observed| observed.rate.is_some()).count()
    }
}
