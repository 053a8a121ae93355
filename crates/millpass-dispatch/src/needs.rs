//! Demand to report: arrivals, requests without an engine, requests in flight.

use millpass_proto::{AdapterName, ModelName, ModelNeed, ModelRate, ServiceName, Timestamp};
use std::collections::{BTreeMap, HashMap};

/// Time over which what is asked for is averaged, in seconds.
const AVERAGE_SECONDS: f64 = 60.0;
/// Rate below which what was asked for is forgotten, in requests a second.
const FORGOTTEN_RATE: f64 = 0.001;

type Key = (ServiceName, ModelName, Option<AdapterName>);

#[derive(Default)]
struct Entry {
    arrivals: u32,
    unserved: u32,
    in_flight: u32,
    priority: u32,
    unread_tokens: u64,
}

/// Requests a second, averaged.
struct AveragedRate {
    rate: f64,
    at: Timestamp,
}

impl AveragedRate {
    fn at(&self, now: Timestamp) -> f64 {
        self.rate * (-now.since(self.at).as_secs_f64() / AVERAGE_SECONDS).exp()
    }
}

/// Demand since the last report, and over the last minute or so.
#[derive(Default)]
pub(crate) struct Needs {
    entries: BTreeMap<Key, Entry>,
    history: HashMap<Key, AveragedRate>,
    urgent: bool,
}

impl Needs {
    fn entry(&mut self, key: Key) -> &mut Entry {
        self.entries.entry(key).or_default()
    }

    pub(crate) fn arrived(&mut self, now: Timestamp, key: Key) {
        let known = self.history.get(&key).map_or(0.0, |rate| rate.at(now));
        let rate = known + 1.0 / AVERAGE_SECONDS;
        self.history
            .insert(key.clone(), AveragedRate { rate, at: now });
        self.entry(key).arrivals += 1;
    }

    /// What was asked for over the last minute or so.
    pub(crate) fn history(&mut self, now: Timestamp) -> Vec<ModelRate> {
        self.history.retain(|_, rate| rate.at(now) > FORGOTTEN_RATE);
        self.history
            .iter()
            .map(|((service, model, adapter), rate)| ModelRate {
                service: service.clone(),
                model: model.clone(),
                adapter: adapter.clone(),
                millirequests_per_second: (rate.at(now) * 1_000.0) as u64,
            })
            .collect()
    }

    /// A request finds no engine.
    pub(crate) fn unserved(&mut self, key: Key, priority: u32) {
        let entry = self.entry(key);
        entry.priority = if entry.unserved == 0 {
            priority
        } else {
            entry.priority.min(priority)
        };
        entry.unserved += 1;
        self.urgent = true;
    }

    pub(crate) fn sent(&mut self, key: Key, unread_tokens: u32) {
        let entry = self.entry(key);
        entry.in_flight += 1;
        entry.unread_tokens += u64::from(unread_tokens);
    }

    pub(crate) fn ended(&mut self, key: Key) {
        let entry = self.entry(key);
        entry.in_flight = entry.in_flight.saturating_sub(1);
    }

    /// Whether a need arose that the control group should hear of at once.
    pub(crate) fn is_urgent(&self) -> bool {
        self.urgent
    }

    /// What to report; counts begin anew.
    pub(crate) fn take(&mut self) -> Vec<ModelNeed> {
        self.urgent = false;
        let needs = self
            .entries
            .iter()
            .map(|((service, model, adapter), entry)| ModelNeed {
                service: service.clone(),
                model: model.clone(),
                adapter: adapter.clone(),
                unserved: entry.unserved,
                arrivals: entry.arrivals,
                in_flight: entry.in_flight,
                priority: entry.priority,
                unread_tokens: entry.unread_tokens,
            })
            .collect();
        self.entries.retain(|_, entry| {
            entry.arrivals = 0;
            entry.unserved = 0;
            entry.unread_tokens = 0;
            entry.in_flight > 0
        });
        needs
    }
}
