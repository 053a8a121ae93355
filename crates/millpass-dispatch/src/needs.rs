//! Demand to report: arrivals, requests without an engine, requests in flight.

use millpass_proto::{AdapterName, GatewayModelDemand, ModelName, ServiceName};
use std::collections::BTreeMap;

type Key = (ServiceName, ModelName, Option<AdapterName>);

#[derive(Default)]
struct Entry {
    arrivals: u32,
    unserved: u32,
    in_flight: u32,
    priority: u32,
    unread_tokens: u64,
}

/// Demand since the last report.
#[derive(Default)]
pub(crate) struct Needs {
    entries: BTreeMap<Key, Entry>,
    urgent: bool,
}

impl Needs {
    fn entry(&mut self, key: Key) -> &mut Entry {
        self.entries.entry(key).or_default()
    }

    pub(crate) fn arrived(&mut self, key: Key) {
        self.entry(key).arrivals += 1;
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
    pub(crate) fn take(&mut self) -> Vec<GatewayModelDemand> {
        self.urgent = false;
        let needs = self
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
