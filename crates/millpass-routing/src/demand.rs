//! Demand for each model (with adapter), as told to the leader.

use crate::queues::QueueKey;
use millpass_proto::{AdapterName, ModelName};
use std::collections::BTreeMap;

/// A model with or without adapter.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct DemandKey {
    /// Model.
    pub model: ModelName,
    /// Adapter.
    pub adapter: Option<AdapterName>,
}

/// Counts of one model that only change with events.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct DemandCounts {
    /// Requests waiting.
    pub waiting: u32,
    /// Requests in flight.
    pub in_flight: u32,
    /// Requests arrived since the start.
    pub arrivals: u64,
}

/// One model's demand.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct DemandEntry {
    /// Requests in flight.
    pub in_flight: u32,
    /// Requests arrived since the start.
    pub arrivals: u64,
    /// Report that last carried it, and what it said.
    sent: Option<(u64, DemandCounts)>,
    /// What the leader is known to have.
    acknowledged: DemandCounts,
}

/// Demand of all models. Bounded by the catalog: models no longer in it are dropped.
#[derive(Debug, Default)]
pub(crate) struct DemandTable {
    entries: BTreeMap<DemandKey, DemandEntry>,
}

impl DemandTable {
    fn entry(&mut self, queue: &QueueKey) -> Option<&mut DemandEntry> {
        let QueueKey::Model { model, adapter, .. } = queue else {
            return None;
        };
        let key = DemandKey {
            model: model.clone(),
            adapter: adapter.clone(),
        };
        Some(self.entries.entry(key).or_default())
    }

    /// A request was admitted.
    pub fn arrived(&mut self, queue: &QueueKey) {
        if let Some(entry) = self.entry(queue) {
            entry.arrivals += 1;
        }
    }

    /// An attempt was dispatched.
    pub fn dispatched(&mut self, queue: &QueueKey) {
        if let Some(entry) = self.entry(queue) {
            entry.in_flight += 1;
        }
    }

    /// An attempt ended.
    pub fn ended(&mut self, queue: &QueueKey) {
        if let Some(entry) = self.entry(queue) {
            entry.in_flight = entry.in_flight.saturating_sub(1);
        }
    }

    /// Entries, in order.
    pub fn entries(&self) -> impl Iterator<Item = (&DemandKey, &DemandEntry)> {
        self.entries.iter()
    }

    /// Whether the leader must be told: something runs or waits, or it knows other counts.
    pub fn is_worth_telling(entry: &DemandEntry, counts: DemandCounts) -> bool {
        counts.waiting > 0 || counts.in_flight > 0 || counts != entry.acknowledged
    }

    /// A report carried an entry.
    pub fn mark_sent(&mut self, key: &DemandKey, sequence: u64, counts: DemandCounts) {
        if let Some(entry) = self.entries.get_mut(key) {
            entry.sent = Some((sequence, counts));
        }
    }

    /// The leader has the report with this number.
    pub fn acknowledge(&mut self, sequence: u64) {
        for entry in self.entries.values_mut() {
            if let Some((sent, counts)) = entry.sent
                && sent == sequence
            {
                entry.acknowledged = counts;
                entry.sent = None;
            }
        }
    }

    /// A new leader knows nothing yet.
    pub fn forget_acknowledged(&mut self) {
        for entry in self.entries.values_mut() {
            entry.sent = None;
            entry.acknowledged = DemandCounts::default();
        }
    }

    /// Drops models that are gone from the catalog and have nothing in flight.
    pub fn retain(&mut self, exists: impl Fn(&DemandKey) -> bool) {
        self.entries
            .retain(|key, entry| entry.in_flight > 0 || exists(key));
    }
}
