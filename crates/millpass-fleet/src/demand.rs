//! How much each model, and each adapter of it, is asked for over all gateways.

use millpass_proto::{
    AdapterName, Duration, GatewayModelDemand, ModelName, ServiceName, Timestamp,
};
use std::collections::BTreeMap;

/// Time over which the rate of arrivals is averaged, in seconds.
const RATE_SECONDS: f64 = 6.0;
/// Time over which the rate that decides what makes way is averaged, in seconds: rarely used models
/// differ only over minutes.
const SLOW_SECONDS: f64 = 60.0;
/// Time over which the rate of prompt tokens is averaged, in seconds.
const TOKEN_SECONDS: f64 = 3.0;
/// How long a need that was reported counts as unserved.
const NEED_LIFETIME: Duration = Duration::from_millis(3_000);
/// Time between two looks for entries that nobody asks for any more.
const SWEEP_INTERVAL: Duration = Duration::from_millis(1_000);
/// Rate below which an entry without work in flight is forgotten, in requests a second.
const FORGOTTEN_RATE: f64 = 0.001;

/// A model of a service, or a model with an adapter.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ModelKey {
    /// Service.
    pub service: ServiceName,
    /// Model.
    pub model: ModelName,
    /// Adapter.
    pub adapter: Option<AdapterName>,
}

#[derive(Default)]
struct Entry {
    /// Requests a second, averaged.
    rate: f64,
    rate_at: Timestamp,
    /// Requests a second, averaged over long; of the same time.
    slow: f64,
    /// Prompt tokens to read a second, averaged; of the same time.
    tokens: f64,
    /// Requests in flight, over all gateways.
    in_flight: u32,
    unserved: f64,
    unserved_at: Option<Timestamp>,
    /// Since when it is unserved without a break.
    unserved_since: Timestamp,
    priority: u32,
}

impl Entry {
    fn rate_at(&self, now: Timestamp) -> f64 {
        self.rate * decay(now, self.rate_at, RATE_SECONDS)
    }

    fn slow_at(&self, now: Timestamp) -> f64 {
        self.slow * decay(now, self.rate_at, SLOW_SECONDS)
    }

    fn tokens_at(&self, now: Timestamp) -> f64 {
        self.tokens * decay(now, self.rate_at, TOKEN_SECONDS)
    }
}

fn decay(now: Timestamp, since: Timestamp, seconds: f64) -> f64 {
    (-now.since(since).as_secs_f64() / seconds).exp()
}

/// What a model is asked for.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Load {
    /// Prompt tokens to read a second.
    pub(crate) tokens: f64,
    /// Requests a second over the last minute or so, or lately if that is more.
    pub(crate) lasting_rate: f64,
    /// Requests in flight.
    pub(crate) in_flight: u32,
}

/// A need that is not met.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Unmet {
    pub(crate) key: ModelKey,
    pub(crate) requests: f64,
    pub(crate) priority: u32,
    since: Timestamp,
}

/// Demand of all gateways.
#[derive(Default)]
pub(crate) struct Demand {
    entries: BTreeMap<ModelKey, Entry>,
    /// What each gateway said it has in flight.
    in_flight: BTreeMap<String, Vec<(ModelKey, u32)>>,
    swept_at: Timestamp,
}

impl Demand {
    /// Takes what a gateway reports; a model that it leaves out has nothing in flight there.
    pub(crate) fn report(&mut self, now: Timestamp, gateway: &str, needs: &[GatewayModelDemand]) {
        self.forget_in_flight(gateway);
        let mut in_flight = Vec::new();
        for need in needs {
            let key = ModelKey {
                service: need.service.clone(),
                model: need.model.clone(),
                adapter: need.adapter.clone(),
            };
            let entry = self.entries.entry(key.clone()).or_default();
            entry.tokens = entry.tokens_at(now) + need.unread_tokens as f64 / TOKEN_SECONDS;
            entry.slow = entry.slow_at(now) + f64::from(need.arrivals) / SLOW_SECONDS;
            entry.rate = entry.rate_at(now) + f64::from(need.arrivals) / RATE_SECONDS;
            entry.rate_at = now;
            entry.in_flight = entry.in_flight.saturating_add(need.in_flight);
            if need.in_flight > 0 {
                in_flight.push((key, need.in_flight));
            }
            if need.unserved > 0 {
                let waited = entry
                    .unserved_at
                    .is_some_and(|at| now.since(at) < NEED_LIFETIME);
                let before = if waited { entry.unserved } else { 0.0 };
                entry.priority = if waited {
                    entry.priority.min(need.priority)
                } else {
                    need.priority
                };
                if !waited {
                    entry.unserved_since = now;
                }
                entry.unserved = before + f64::from(need.unserved);
                entry.unserved_at = Some(now);
            }
        }
        if !in_flight.is_empty() {
            self.in_flight.insert(gateway.to_owned(), in_flight);
        }
        if now.since(self.swept_at) >= SWEEP_INTERVAL {
            self.swept_at = now;
            self.entries
                .retain(|_, entry| entry.in_flight > 0 || entry.slow_at(now) > FORGOTTEN_RATE);
        }
    }

    /// A gateway is gone: what it had in flight is too.
    pub(crate) fn forget_in_flight(&mut self, gateway: &str) {
        for (key, count) in self.in_flight.remove(gateway).unwrap_or_default() {
            if let Some(entry) = self.entries.get_mut(&key) {
                entry.in_flight = entry.in_flight.saturating_sub(count);
            }
        }
    }

    /// What each model of a service is asked for, with all of its adapters.
    pub(crate) fn loads(&self, now: Timestamp, service: &ServiceName) -> BTreeMap<ModelName, Load> {
        let mut loads: BTreeMap<ModelName, Load> = BTreeMap::new();
        let entries = self.entries.iter();
        for (key, entry) in entries.filter(|(key, _)| key.service == *service) {
            let load = loads.entry(key.model.clone()).or_default();
            load.tokens += entry.tokens_at(now);
            load.lasting_rate += entry.slow_at(now).max(entry.rate_at(now));
            load.in_flight = load.in_flight.saturating_add(entry.in_flight);
        }
        loads
    }

    /// Requests a second for exactly this key.
    pub(crate) fn rate(&self, now: Timestamp, key: &ModelKey) -> f64 {
        self.entries
            .get(key)
            .map_or(0.0, |entry| entry.rate_at(now))
    }

    /// Needs of a service that were reported lately, the most urgent first, then the oldest.
    pub(crate) fn unmet(&self, now: Timestamp, service: &ServiceName) -> Vec<Unmet> {
        let mut unmet: Vec<Unmet> = self
            .entries
            .iter()
            .filter(|(key, entry)| {
                let lately = |at| now.since(at) < NEED_LIFETIME;
                key.service == *service && entry.unserved_at.is_some_and(lately)
            })
            .map(|(key, entry)| Unmet {
                key: key.clone(),
                requests: entry.unserved,
                priority: entry.priority,
                since: entry.unserved_since,
            })
            .collect();
        unmet.sort_by(|left, right| {
            let urgency = left.priority.cmp(&right.priority);
            urgency
                .then(left.since.cmp(&right.since))
                .then(right.requests.total_cmp(&left.requests))
        });
        unmet
    }

    /// A need is met: it no longer counts as unserved.
    pub(crate) fn met(&mut self, key: &ModelKey) {
        if let Some(entry) = self.entries.get_mut(key) {
            entry.unserved_at = None;
            entry.unserved = 0.0;
        }
    }
}
