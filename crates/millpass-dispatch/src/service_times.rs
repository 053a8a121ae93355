//! What a gateway observes of the time that requests take, from which it estimates waits: the time
//! for which a request occupies a slot, the mix of ranks, and the rate at which this gateway's
//! requests for a resource are sent.

use crate::admission::ResourceKey;
use millpass_proto::{Duration, ServiceName, Timestamp};
use std::collections::{BTreeMap, HashMap};

/// Weight of the latest request in the average time for which a slot is occupied.
const HOLDING_WEIGHT: f64 = 0.1;
/// Averaging window of the rate at which a resource's requests are sent, in seconds.
const RATE_WINDOW_SECONDS: f64 = 3.0;
/// Number of sends after which the counts by rank are halved.
const RANK_COUNT_LIMIT: f64 = 512.0;
/// Time after which a resource without sends or refusals is forgotten.
const RESOURCE_LIFETIME: Duration = Duration::from_secs(10);
/// Maximum number of resources; callers can name any model.
const MAX_RESOURCES: usize = 4_096;
/// Time after which the leader forgets demand that is not repeated.
const UNPLANNED_LIFETIME: Duration = Duration::from_secs(3);
/// Time for which the refusal of a request keeps less urgent ones for the same resource from
/// entering an instance's queue.
const URGENT_REFUSAL_LIFETIME: Duration = Duration::from_millis(500);

#[derive(Debug, Default)]
struct ServiceState {
    /// Average seconds for which a request occupies a slot; none until one has ended.
    holding: Option<f64>,
    /// Recent sends by rank.
    ranks: BTreeMap<u32, f64>,
}

#[derive(Debug, Default)]
struct ResourceState {
    /// Sends a second at `sent_at`.
    rate: f64,
    sent_at: Timestamp,
    /// Last time at which a refused caller was told to return.
    promised: Timestamp,
    /// Most urgent rank that was refused recently for lack of slots, and when.
    refused: Option<(u32, Timestamp)>,
    /// First and last time at which the model was requested while no load of it was planned.
    unplanned: Option<(Timestamp, Timestamp)>,
    touched: Timestamp,
}

/// Observed times of all services and resources.
#[derive(Debug, Default)]
pub(crate) struct ServiceTimes {
    services: HashMap<ServiceName, ServiceState>,
    resources: BTreeMap<ResourceKey, ResourceState>,
}

impl ServiceTimes {
    /// Records the time for which a request occupied a slot.
    pub(crate) fn record_holding(&mut self, service: &ServiceName, time: Duration) {
        let state = self.services.entry(service.clone()).or_default();
        let seconds = time.as_secs_f64();
        state.holding = Some(state.holding.map_or(seconds, |average| {
            average + (seconds - average) * HOLDING_WEIGHT
        }));
    }

    /// Average seconds for which a request occupies a slot.
    pub(crate) fn holding(&self, service: &ServiceName) -> Option<f64> {
        self.services.get(service)?.holding
    }

    pub(crate) fn record_send(&mut self, now: Timestamp, key: &ResourceKey, rank: u32) {
        let state = self.services.entry(key.service.clone()).or_default();
        *state.ranks.entry(rank).or_default() += 1.0;
        if state.ranks.values().sum::<f64>() > RANK_COUNT_LIMIT {
            state.ranks.values_mut().for_each(|count| *count /= 2.0);
        }
        if let Some(resource) = self.resource(now, key) {
            resource.rate = resource.rate_at(now) + 1.0 / RATE_WINDOW_SECONDS;
            resource.sent_at = now;
            resource.unplanned = None;
        }
    }

    /// Fraction of a service's requests that are at least as urgent as this rank.
    pub(crate) fn urgent_fraction(&self, service: &ServiceName, rank: u32) -> f64 {
        let Some(state) = self.services.get(service) else {
            return 1.0;
        };
        let urgent: f64 = state.ranks.range(..=rank).map(|(_, count)| count).sum();
        let all: f64 = state.ranks.values().sum();
        // One request less than is known is assumed to be less urgent.
        ((urgent + 1.0) / (all + 1.0)).min(1.0)
    }

    /// Rate at which requests for a resource are sent from this gateway, a second.
    pub(crate) fn rate(&self, now: Timestamp, key: &ResourceKey) -> f64 {
        let resource = self.resources.get(key);
        resource.map_or(0.0, |resource| resource.rate_at(now))
    }

    /// Records that a caller is told to return, at `ready` at the earliest, and `interval` after
    /// the one told before. Returns when.
    pub(crate) fn promise(
        &mut self,
        now: Timestamp,
        key: &ResourceKey,
        ready: Timestamp,
        interval: Duration,
    ) -> Timestamp {
        let Some(resource) = self.resource(now, key) else {
            return ready;
        };
        resource.promised = ready.max(resource.promised + interval);
        resource.promised
    }

    /// Last time at which a caller refused for this resource was told to return.
    pub(crate) fn promised(&self, key: &ResourceKey) -> Timestamp {
        let resource = self.resources.get(key);
        resource.map_or(Timestamp::ZERO, |resource| resource.promised)
    }

    /// Records that a request was refused for lack of slots.
    pub(crate) fn record_refusal(&mut self, now: Timestamp, key: &ResourceKey, rank: u32) {
        if let Some(resource) = self.resource(now, key) {
            let recent = resource.recent_refusal(now);
            resource.refused = Some((recent.map_or(rank, |known| known.min(rank)), now));
        }
    }

    /// Returns true if a more urgent request was refused recently for lack of slots.
    pub(crate) fn was_more_urgent_refused(
        &self,
        now: Timestamp,
        key: &ResourceKey,
        rank: u32,
    ) -> bool {
        let resource = self.resources.get(key);
        let refused = resource.and_then(|resource| resource.recent_refusal(now));
        refused.is_some_and(|refused| refused < rank)
    }

    /// Records that a model is requested of which no load is planned. Returns for how long this has
    /// been so.
    pub(crate) fn record_unplanned(&mut self, now: Timestamp, key: &ResourceKey) -> Duration {
        let Some(resource) = self.resource(now, key) else {
            return Duration::ZERO;
        };
        let known = resource.unplanned;
        let recent = known.filter(|(_, last)| now.since(*last) < UNPLANNED_LIFETIME);
        let since = recent.map_or(now, |(since, _)| since);
        resource.unplanned = Some((since, now));
        now.since(since)
    }

    /// Records that a load of a model is planned.
    pub(crate) fn record_planned(&mut self, key: &ResourceKey) {
        if let Some(resource) = self.resources.get_mut(key) {
            resource.unplanned = None;
        }
    }

    /// Forgets unused resources.
    pub(crate) fn sweep(&mut self, now: Timestamp) {
        self.resources
            .retain(|_, resource| now.since(resource.touched) < RESOURCE_LIFETIME);
    }

    fn resource(&mut self, now: Timestamp, key: &ResourceKey) -> Option<&mut ResourceState> {
        if self.resources.len() >= MAX_RESOURCES && !self.resources.contains_key(key) {
            return None;
        }
        let resource = self.resources.entry(key.clone()).or_default();
        resource.touched = now;
        Some(resource)
    }
}

impl ResourceState {
    fn rate_at(&self, now: Timestamp) -> f64 {
        let age = now.since(self.sent_at).as_secs_f64();
        self.rate * (-age / RATE_WINDOW_SECONDS).exp()
    }

    fn recent_refusal(&self, now: Timestamp) -> Option<u32> {
        let (rank, at) = self.refused?;
        (now.since(at) < URGENT_REFUSAL_LIFETIME).then_some(rank)
    }
}
