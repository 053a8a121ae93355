//! Requests in flight at each instance over all gateways. With many gateways, a single one sees too
//! little of an instance's load to balance well.

use millpass_proto::{InstanceId, InstanceLoad, InstanceRecord};
use std::collections::{BTreeMap, HashMap};

/// Number of busiest instances whose load is sent to gateways. Bounds the size of updates.
const MAX_REPORTED_LOADS: usize = 64;

/// Requests in flight as reported by gateways.
#[derive(Default)]
pub(crate) struct Traffic {
    by_gateway: BTreeMap<String, Vec<InstanceLoad>>,
    totals: HashMap<InstanceId, u32>,
}

impl Traffic {
    /// Replaces the requests in flight at a gateway.
    pub(crate) fn record_report(&mut self, gateway: &str, loads: &[InstanceLoad]) {
        self.remove_gateway(gateway);
        for load in loads {
            let total = self.totals.entry(load.instance.clone()).or_default();
            *total = total.saturating_add(load.in_flight);
        }
        if !loads.is_empty() {
            self.by_gateway.insert(gateway.to_owned(), loads.to_vec());
        }
    }

    /// Removes the requests in flight at a disconnected gateway.
    pub(crate) fn remove_gateway(&mut self, gateway: &str) {
        for load in self.by_gateway.remove(gateway).unwrap_or_default() {
            let Some(total) = self.totals.get_mut(&load.instance) else {
                continue;
            };
            *total = total.saturating_sub(load.in_flight);
            if *total == 0 {
                self.totals.remove(&load.instance);
            }
        }
    }

    /// Returns the total requests in flight at these instances.
    pub(crate) fn in_flight<'a>(&self, records: impl Iterator<Item = &'a InstanceRecord>) -> u32 {
        let totals = records.filter_map(|record| self.totals.get(&record.instance));
        totals.copied().fold(0, u32::saturating_add)
    }

    /// Returns whether an instance has requests in flight.
    pub(crate) fn has_requests(&self, instance: &InstanceId) -> bool {
        self.totals.contains_key(instance)
    }

    /// Returns the busiest instances by descending load.
    pub(crate) fn busiest(&self) -> Vec<InstanceLoad> {
        let mut loads: Vec<InstanceLoad> = self
            .totals
            .iter()
            .map(|(instance, in_flight)| InstanceLoad {
                instance: instance.clone(),
                in_flight: *in_flight,
            })
            .collect();
        loads.sort_by(|left, right| {
            let busier = right.in_flight.cmp(&left.in_flight);
            busier.then_with(|| left.instance.cmp(&right.instance))
        });
        loads.truncate(MAX_REPORTED_LOADS);
        loads
    }
}
