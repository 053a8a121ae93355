//! Merging of gateway reports that wait to be processed.

use crate::{
    AdapterName, EnginePaceSample, GatewayModelDemand, GatewayReport, ModelName, ServiceName,
};
use std::collections::BTreeMap;

impl GatewayReport {
    /// Merges the next report of the same connection into this one, so that processing the result
    /// has the effect of processing both: counts since the last report are added, and states are
    /// those of the later report.
    pub fn merge(&mut self, later: GatewayReport) {
        self.gateway = later.gateway;
        self.zone = later.zone;
        self.sequence = later.sequence;
        self.version = later.version;
        self.as_of = later.as_of;
        self.in_flight = later.in_flight;
        self.inconsistent.extend(later.inconsistent);
        self.inconsistent.sort();
        self.inconsistent.dedup();
        // Only the first report of a connection has any.
        if self.known_instance_digests.is_empty() {
            self.known_instance_digests = later.known_instance_digests;
        }
        merge_demand(&mut self.demand, later.demand);
        merge_paces(&mut self.paces, later.paces);
    }
}

type DemandKey = (ServiceName, ModelName, Option<AdapterName>);

fn key(demand: &GatewayModelDemand) -> DemandKey {
    let model = demand.model.clone();
    (demand.service.clone(), model, demand.adapter.clone())
}

fn merge_demand(demand: &mut Vec<GatewayModelDemand>, later: Vec<GatewayModelDemand>) {
    let mut merged: BTreeMap<DemandKey, GatewayModelDemand> = BTreeMap::new();
    for mut earlier in std::mem::take(demand) {
        // Models that the later report does not list have no requests in flight.
        earlier.in_flight = 0;
        merged.insert(key(&earlier), earlier);
    }
    for later in later {
        let Some(entry) = merged.get_mut(&key(&later)) else {
            merged.insert(key(&later), later);
            continue;
        };
        entry.priority = match (entry.unserved, later.unserved) {
            (_, 0) => entry.priority,
            (0, _) => later.priority,
            _ => entry.priority.min(later.priority),
        };
        entry.unserved = entry.unserved.saturating_add(later.unserved);
        entry.arrivals = entry.arrivals.saturating_add(later.arrivals);
        entry.unread_tokens = entry.unread_tokens.saturating_add(later.unread_tokens);
        entry.refused_full = entry.refused_full.saturating_add(later.refused_full);
        entry.in_flight = later.in_flight;
    }
    demand.extend(merged.into_values());
}

fn merge_paces(paces: &mut Vec<EnginePaceSample>, later: Vec<EnginePaceSample>) {
    for later in later {
        let mut earlier = paces.iter_mut();
        match earlier.find(|sample| sample.instance == later.instance) {
            Some(sample) => merge_pace(sample, &later),
            None => paces.push(later),
        }
    }
}

fn merge_pace(sample: &mut EnginePaceSample, later: &EnginePaceSample) {
    let samples = sample.samples.saturating_add(later.samples);
    if samples > 0 {
        let weight = f64::from(later.samples) / f64::from(samples);
        let mean = f64::from(sample.relative_time).max(1.0).ln() * (1.0 - weight)
            + f64::from(later.relative_time).max(1.0).ln() * weight;
        sample.relative_time = mean.exp().round() as u32;
    }
    sample.samples = samples;
    if later.machine_time > 0 {
        sample.machine_time = later.machine_time;
    }
}
