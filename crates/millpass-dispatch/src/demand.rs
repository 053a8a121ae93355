//! Demand for models: arrivals, requests without an engine, and requests in flight.

use millpass_proto::{AdapterName, GatewayModelDemand, ModelName, ServiceName};
use std::collections::BTreeMap;

type DemandKey = (ServiceName, ModelName, Option<AdapterName>);

#[derive(Default)]
struct Entry {
    arrivals: u32,
    unserved: u32,
    in_flight: u32,
    priority: u32,
    unread_tokens: u64,
    refused_full: u32,
}

/// Demand since the last report.
#[derive(Default)]
pub(crate) struct DemandCounters {
    entries: BTreeMap<DemandKey, Entry>,
    urgent: bool,
}

impl DemandCounters {
    fn entry(&mut self, key: DemandKey) -> &mut Entry {
        self.entries.entry(key).or_default()
    }

    pub(crate) fn record_arrival(&mut self, key: DemandKey) {
        self.entry(key).arrivals += 1;
    }

    /// Records a request that found no engine.
    pub(crate) fn record_unserved(&mut self, key: DemandKey, priority: u32) {
        self.add_unserved(key, priority);
        self.urgent = true;
    }

    /// Records a request that is refused because all slots of its model's replicas are in use. A
    /// further replica takes long enough that the next regular report suffices.
    pub(crate) fn record_refused_full(&mut self, key: DemandKey, priority: u32) {
        self.add_unserved(key.clone(), priority);
        self.entry(key).refused_full += 1;
    }

    fn add_unserved(&mut self, key: DemandKey, priority: u32) {
        let entry = self.entry(key);
        entry.priority = if entry.unserved == 0 {
            priority
        } else {
            entry.priority.min(priority)
        };
        entry.unserved += 1;
    }

    pub(crate) fn record_send(&mut self, key: DemandKey, unread_tokens: u32) {
        let entry = self.entry(key);
        entry.in_flight += 1;
        entry.unread_tokens += u64::from(unread_tokens);
    }

    pub(crate) fn record_end(&mut self, key: DemandKey) {
        let entry = self.entry(key);
        entry.in_flight = entry.in_flight.saturating_sub(1);
    }

    /// Returns true if unmet demand should be reported at once.
    pub(crate) fn is_urgent(&self) -> bool {
        self.urgent
    }

    /// Returns the demand to report, and resets the counters.
    pub(crate) fn take(&mut self) -> Vec<GatewayModelDemand> {
        self.urgent = false;
        let demand = self
            .entries
            .iter()
            .map(|((service, model, adapter), entry)| GatewayModelDemand {
                service: service.clone(),
                model: model.clone(),
                adapter: adapter.clone(),
                unserved: entry.unserved,
                arrivals: entry.arrivals,
                in_flight: entry.in_flight,
                priority: entry.priority,
                unread_tokens: entry.unread_tokens,
                refused_full: entry.refused_full,
            })
            .collect();
        self.entries.retain(|_, entry| {
            entry.arrivals = 0;
            entry.unserved = 0;
            entry.unread_tokens = 0;
            entry.refused_full = 0;
            entry.in_flight > 0
        });
        demand
    }
}
