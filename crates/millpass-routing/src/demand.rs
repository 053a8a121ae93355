//! Demand per model and adapter, as reported to the leader.

use crate::queues::QueueKey;
use millpass_proto::{AdapterName, ModelName};
use std::collections::BTreeMap;

/// A model, optionally with an adapter.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct DemandKey {
    pub model: ModelName,
    pub adapter: Option<AdapterName>,
}

/// Counts that are compared with the last acknowledged report.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct DemandCounts {
    pub waiting: u32,
    pub in_flight: u32,
    /// Requests admitted since the start.
    pub arrivals: u64,
}

/// Demand of one model.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct DemandEntry {
    pub in_flight: u32,
    /// Requests admitted since the start.
    pub arrivals: u64,
    /// Sequence number of the last report with this entry, and the reported counts.
    sent: Option<(u64, DemandCounts)>,
    /// Counts that the leader has acknowledged.
    acknowledged: DemandCounts,
}

/// Demand of all models. Entries of models that left the catalog are dropped, which bounds the
/// table.
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

    /// Records an admitted request.
    pub fn record_arrival(&mut self, queue: &QueueKey) {
        if let Some(entry) = self.entry(queue) {
            entry.arrivals += 1;
        }
    }

    /// Records a dispatched attempt.
    pub fn record_dispatch(&mut self, queue: &QueueKey) {
        if let Some(entry) = self.entry(queue) {
            entry.in_flight += 1;
        }
    }

    /// Records the end of an attempt.
    pub fn record_end(&mut self, queue: &QueueKey) {
        if let Some(entry) = self.entry(queue) {
            entry.in_flight = entry.in_flight.saturating_sub(1);
        }
    }

    /// Returns the entries in key order.
    pub fn entries(&self) -> impl Iterator<Item = (&DemandKey, &DemandEntry)> {
        self.entries.iter()
    }

    /// Returns true if requests wait or run, or if the counts differ from the acknowledged ones.
    pub fn must_report(entry: &DemandEntry, counts: DemandCounts) -> bool {
        counts.waiting > 0 || counts.in_flight > 0 || counts != entry.acknowledged
    }

    /// Records that a report with this sequence number contains the entry.
    pub fn record_sent(&mut self, key: &DemandKey, sequence: u64, counts: DemandCounts) {
        if let Some(entry) = self.entries.get_mut(key) {
            entry.sent = Some((sequence, counts));
        }
    }

    /// Records that the leader acknowledged a report.
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

    /// Resets the acknowledged state; a new leader has received nothing yet.
    pub fn reset_acknowledged(&mut self) {
        for entry in self.entries.values_mut() {
            entry.sent = None;
            entry.acknowledged = DemandCounts::default();
        }
    }

    /// Drops models that left the catalog and have nothing in flight.
    pub fn retain(&mut self, exists: impl Fn(&DemandKey) -> bool) {
        self.entries
            .retain(|key, entry| entry.in_flight > 0 || exists(key));
    }
}
