//! Demand for models and adapters, aggregated over all gateways.

use millpass_proto::{
    AdapterName, Duration, GatewayModelDemand, ModelName, ServiceName, SoftwareVersion,
    StreamDemand, Timestamp,
};
use std::collections::BTreeMap;

const RATE_WINDOW_SECONDS: f64 = 6.0;
/// Averaging window for eviction decisions, in seconds: rarely used models differ only over
/// minutes.
const SLOW_RATE_WINDOW_SECONDS: f64 = 60.0;
const TOKEN_RATE_WINDOW_SECONDS: f64 = 3.0;
const REFUSED_RATE_WINDOW_SECONDS: f64 = 3.0;
/// Time for which reported demand counts as unmet.
const UNMET_LIFETIME: Duration = Duration::from_millis(3_000);
/// Time without a request after which the start of unmet demand is forgotten. Longer than the time
/// between two requests for a rarely used model that waits for its turn.
const WAIT_MEMORY: Duration = Duration::from_secs(30);
const SWEEP_INTERVAL: Duration = Duration::from_millis(1_000);
/// Requests a second below which an entry without requests in flight is removed.
const MIN_TRACKED_RATE: f64 = 0.001;

/// Identifies a model of a service, or an adapter of that model.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ModelKey {
    /// Service of the model.
    pub service: ServiceName,
    /// Model name.
    pub model: ModelName,
    /// Adapter of the model; none for the model itself.
    pub adapter: Option<AdapterName>,
}

#[derive(Default)]
struct Entry {
    /// Requests a second, averaged over [`RATE_WINDOW_SECONDS`].
    rate: f64,
    updated_at: Timestamp,
    /// Requests a second, averaged over [`SLOW_RATE_WINDOW_SECONDS`].
    slow_rate: f64,
    /// Unread prompt tokens a second, averaged over [`TOKEN_RATE_WINDOW_SECONDS`].
    token_rate: f64,
    /// Requests a second refused because all request slots of the model's engines were in use,
    /// averaged over [`REFUSED_RATE_WINDOW_SECONDS`].
    refused_rate: f64,
    in_flight: u32,
    unserved: f64,
    unserved_at: Option<Timestamp>,
    /// Since when it is requested in vain, also with pauses between the requests.
    waiting_since: Option<Timestamp>,
    /// When a report last stated requests with an engine.
    served_at: Timestamp,
    priority: u32,
}

impl Entry {
    fn rate_at(&self, now: Timestamp) -> f64 {
        self.rate * decay(now, self.updated_at, RATE_WINDOW_SECONDS)
    }

    fn slow_rate_at(&self, now: Timestamp) -> f64 {
        self.slow_rate * decay(now, self.updated_at, SLOW_RATE_WINDOW_SECONDS)
    }

    fn refused_rate_at(&self, now: Timestamp) -> f64 {
        self.refused_rate * decay(now, self.updated_at, REFUSED_RATE_WINDOW_SECONDS)
    }

    fn unmet_demand(&self, key: &ModelKey, since: Timestamp) -> UnmetDemand {
        UnmetDemand {
            key: key.clone(),
            requests: self.unserved,
            priority: self.priority,
            since,
        }
    }

    fn token_rate_at(&self, now: Timestamp) -> f64 {
        self.token_rate * decay(now, self.updated_at, TOKEN_RATE_WINDOW_SECONDS)
    }
}

fn decay(now: Timestamp, since: Timestamp, seconds: f64) -> f64 {
    (-now.since(since).as_secs_f64() / seconds).exp()
}

/// Load that a model's requests cause.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Load {
    /// Prompt tokens to read a second.
    pub(crate) token_rate: f64,
    /// Requests a second: the larger of the short and the long average.
    pub(crate) request_rate: f64,
    /// Requests a second refused for lack of request slots.
    pub(crate) refused_rate: f64,
    pub(crate) in_flight: u32,
    /// When a report last stated requests with an engine.
    pub(crate) served_at: Timestamp,
}

/// Demand for a model or adapter that is not loaded.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct UnmetDemand {
    pub(crate) key: ModelKey,
    pub(crate) requests: f64,
    pub(crate) priority: u32,
    /// Since when it is requested in vain, also with pauses between the requests.
    pub(crate) since: Timestamp,
}

/// Demand of streams for a model or adapter at the software version that began them.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct StreamNeed {
    pub(crate) key: ModelKey,
    pub(crate) software: SoftwareVersion,
    pub(crate) requests: f64,
    stated_at: Timestamp,
}

#[derive(Default)]
pub(crate) struct Demand {
    /// Needs of streams, in the order in which they were first stated.
    streams: Vec<StreamNeed>,
    entries: BTreeMap<ModelKey, Entry>,
    /// Requests in flight at each gateway, as last reported.
    in_flight: BTreeMap<String, Vec<(ModelKey, u32)>>,
    swept_at: Timestamp,
}

impl Demand {
    /// Applies a gateway's report; models it does not list have no requests in flight there.
    pub(crate) fn record_report(
        &mut self,
        now: Timestamp,
        gateway: &str,
        reported: &[GatewayModelDemand],
    ) {
        self.remove_gateway(gateway);
        let mut in_flight = Vec::new();
        for model_demand in reported {
            let key = ModelKey {
                service: model_demand.service.clone(),
                model: model_demand.model.clone(),
                adapter: model_demand.adapter.clone(),
            };
            let entry = self.entries.entry(key.clone()).or_default();
            entry.token_rate = entry.token_rate_at(now)
                + model_demand.unread_tokens as f64 / TOKEN_RATE_WINDOW_SECONDS;
            entry.refused_rate = entry.refused_rate_at(now)
                + f64::from(model_demand.refused_full) / REFUSED_RATE_WINDOW_SECONDS;
            entry.slow_rate = entry.slow_rate_at(now)
                + f64::from(model_demand.arrivals) / SLOW_RATE_WINDOW_SECONDS;
            entry.rate =
                entry.rate_at(now) + f64::from(model_demand.arrivals) / RATE_WINDOW_SECONDS;
            entry.updated_at = now;
            if model_demand.in_flight > 0 || model_demand.arrivals > model_demand.unserved {
                entry.served_at = now;
            }
            entry.in_flight = entry.in_flight.saturating_add(model_demand.in_flight);
            if model_demand.in_flight > 0 {
                in_flight.push((key, model_demand.in_flight));
            }
            if model_demand.unserved > 0 {
                let is_recent = entry
                    .unserved_at
                    .is_some_and(|at| now.since(at) < UNMET_LIFETIME);
                let previous = if is_recent { entry.unserved } else { 0.0 };
                entry.priority = if is_recent {
                    entry.priority.min(model_demand.priority)
                } else {
                    model_demand.priority
                };
                let is_remembered = entry
                    .unserved_at
                    .is_some_and(|at| now.since(at) < WAIT_MEMORY);
                if !is_remembered {
                    entry.waiting_since = None;
                }
                entry.waiting_since.get_or_insert(now);
                entry.unserved = previous + f64::from(model_demand.unserved);
                entry.unserved_at = Some(now);
            }
        }
        if !in_flight.is_empty() {
            self.in_flight.insert(gateway.to_owned(), in_flight);
        }
        if now.since(self.swept_at) >= SWEEP_INTERVAL {
            self.swept_at = now;
            self.entries.retain(|_, entry| {
                entry.in_flight > 0 || entry.slow_rate_at(now) > MIN_TRACKED_RATE
            });
        }
    }

    /// Applies the needs of streams that a gateway states.
    pub(crate) fn record_streams(&mut self, now: Timestamp, stated: Vec<StreamDemand>) {
        self.expire_streams(now);
        for demand in stated {
            let key = ModelKey {
                service: demand.service,
                model: demand.model,
                adapter: demand.adapter,
            };
            let requests = f64::from(demand.requests);
            let mut known = self.streams.iter_mut();
            match known.find(|it| it.key == key && it.software == demand.software) {
                Some(need) => {
                    need.requests += requests;
                    need.stated_at = now;
                }
                None => self.streams.push(StreamNeed {
                    key,
                    software: demand.software,
                    requests,
                    stated_at: now,
                }),
            }
        }
    }

    /// Returns the needs of streams of a service that were stated lately.
    pub(crate) fn stream_needs(
        &mut self,
        now: Timestamp,
        service: &ServiceName,
    ) -> Vec<StreamNeed> {
        self.expire_streams(now);
        let needs = self.streams.iter();
        needs
            .filter(|need| need.key.service == *service)
            .cloned()
            .collect()
    }

    /// Forgets a need that an engine meets.
    pub(crate) fn end_stream_need(&mut self, met: &StreamNeed) {
        self.streams
            .retain(|need| need.key != met.key || need.software != met.software);
    }

    fn expire_streams(&mut self, now: Timestamp) {
        self.streams
            .retain(|need| now.since(need.stated_at) < UNMET_LIFETIME);
    }

    /// Removes the requests in flight of a disconnected gateway.
    pub(crate) fn remove_gateway(&mut self, gateway: &str) {
        for (key, count) in self.in_flight.remove(gateway).unwrap_or_default() {
            if let Some(entry) = self.entries.get_mut(&key) {
                entry.in_flight = entry.in_flight.saturating_sub(count);
            }
        }
    }

    /// Returns the load of each model of a service, including its adapters.
    pub(crate) fn loads(&self, now: Timestamp, service: &ServiceName) -> BTreeMap<ModelName, Load> {
        let mut loads: BTreeMap<ModelName, Load> = BTreeMap::new();
        let entries = self.entries.iter();
        for (key, entry) in entries.filter(|(key, _)| key.service == *service) {
            let load = loads.entry(key.model.clone()).or_default();
            load.token_rate += entry.token_rate_at(now);
            load.request_rate += entry.slow_rate_at(now).max(entry.rate_at(now));
            load.refused_rate += entry.refused_rate_at(now);
            load.in_flight = load.in_flight.saturating_add(entry.in_flight);
            load.served_at = load.served_at.max(entry.served_at);
        }
        loads
    }

    /// Returns requests a second for exactly this key.
    pub(crate) fn rate(&self, now: Timestamp, key: &ModelKey) -> f64 {
        self.entries
            .get(key)
            .map_or(0.0, |entry| entry.rate_at(now))
    }

    /// Returns recently reported unmet demand of a service: most urgent first, then oldest, then
    /// largest.
    pub(crate) fn unmet(&self, now: Timestamp, service: &ServiceName) -> Vec<UnmetDemand> {
        let mut unmet: Vec<UnmetDemand> = self
            .entries
            .iter()
            .filter(|(key, entry)| {
                let is_recent = |at| now.since(at) < UNMET_LIFETIME;
                key.service == *service && entry.unserved_at.is_some_and(is_recent)
            })
            .map(|(key, entry)| entry.unmet_demand(key, entry.waiting_since.unwrap_or(now)))
            .collect();
        unmet.sort_by(|left, right| {
            let urgency = left.priority.cmp(&right.priority);
            urgency
                .then(left.since.cmp(&right.since))
                .then(right.requests.total_cmp(&left.requests))
        });
        unmet
    }

    /// Returns what has been requested in vain again and again over a time of `waited`, and was requested
    /// last within `asked_within`: the longest waiting first.
    pub(crate) fn waiting(
        &self,
        now: Timestamp,
        service: &ServiceName,
        waited: Duration,
        asked_within: Duration,
    ) -> Vec<UnmetDemand> {
        let entries = self.entries.iter();
        let waiting = entries.filter_map(|(key, entry)| {
            let since = entry.waiting_since?;
            let asked_at = entry.unserved_at?;
            let is_asked = now.since(asked_at) < asked_within;
            let is_due = asked_at.since(since) >= waited;
            let is_waiting = key.service == *service && is_asked && is_due;
            is_waiting.then(|| entry.unmet_demand(key, since))
        });
        let mut waiting: Vec<UnmetDemand> = waiting.collect();
        waiting.sort_by_key(|demand| demand.since);
        waiting
    }

    pub(crate) fn mark_met(&mut self, key: &ModelKey) {
        if let Some(entry) = self.entries.get_mut(key) {
            entry.unserved_at = None;
            entry.unserved = 0.0;
            entry.waiting_since = None;
        }
    }

    /// Records which models and adapters of a service are loaded: nobody has waited for them once
    /// they are evicted again.
    pub(crate) fn end_waits(
        &mut self,
        service: &ServiceName,
        is_loaded: impl Fn(&ModelKey) -> bool,
    ) {
        for (key, entry) in &mut self.entries {
            if entry.waiting_since.is_some() && key.service == *service && is_loaded(key) {
                entry.waiting_since = None;
            }
        }
    }
}
