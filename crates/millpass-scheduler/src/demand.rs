//! Demand reported by routers, summed per model and per model with adapter.
//!
//! A report covers the whole demand of its router: targets that it omits have none. Sums are
//! updated with each report, so reading them does not scale with the number of routers.

use crate::arrivals::ArrivalHistogram;
use millpass_proto::{
    AdapterName, Duration, Incarnation, ModelDemand, ModelName, RouterName, RouterReport,
    Timestamp, Urgency, ZoneName,
};
use std::collections::{BTreeMap, BTreeSet};

/// Models with recorded demand; demand for further models is dropped.
const MAXIMUM_MODELS: usize = 65_536;
/// Adapters with recorded demand, per model.
const MAXIMUM_ADAPTERS_PER_MODEL: usize = 4_096;
/// Routers with recorded demand.
const MAXIMUM_ROUTERS: usize = 16_384;

/// Compact identifier of a router within the table.
type RouterId = u32;

/// A model, optionally with an adapter.
type Target = (ModelName, Option<AdapterName>);

/// Demand for one target at one router.
#[derive(Clone, Copy, Debug)]
struct RouterDemand {
    waiting: u32,
    in_flight: u32,
    arrivals: u64,
    waiting_since: Timestamp,
    most_urgent: Urgency,
}

/// Demand for one target over all routers.
#[derive(Clone, Debug, Default)]
struct TargetDemand {
    by_router: BTreeMap<RouterId, RouterDemand>,
    waiting_routers: BTreeSet<RouterId>,
    waiting: u64,
    in_flight: u64,
}

/// Demand and arrival history of one model.
#[derive(Clone, Debug, Default)]
struct ModelRecord {
    without_adapter: TargetDemand,
    adapters: BTreeMap<AdapterName, TargetDemand>,
    arrivals: ArrivalHistogram,
}

#[derive(Clone, Debug)]
struct RouterRecord {
    id: RouterId,
    incarnation: Incarnation,
    sequence: u64,
    last_report: Timestamp,
    /// Targets with waiting or running requests in the last report.
    active: BTreeSet<Target>,
}

/// Demand summed over routers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Demand {
    /// Requests waiting for a replica.
    pub waiting: u64,
    /// Requests dispatched and not completed.
    pub in_flight: u64,
    /// Arrival time of the oldest waiting request; undefined when none waits.
    pub waiting_since: Timestamp,
    /// Most urgent class among the waiting requests.
    pub most_urgent: Urgency,
}

impl Demand {
    pub const NONE: Demand = Demand {
        waiting: 0,
        in_flight: 0,
        waiting_since: Timestamp::ZERO,
        most_urgent: Urgency::Batch,
    };

    /// Requests waiting or running.
    pub fn total(&self) -> u64 {
        self.waiting + self.in_flight
    }

    fn add(&mut self, other: Demand) {
        if other.waiting > 0 {
            let first = self.waiting == 0;
            let since = other.waiting_since;
            self.waiting_since = if first {
                since
            } else {
                self.waiting_since.min(since)
            };
            self.most_urgent = self.most_urgent.min(other.most_urgent);
        }
        self.waiting += other.waiting;
        self.in_flight += other.in_flight;
    }
}

/// All demand recorded by a leader.
#[derive(Clone, Debug, Default)]
pub struct DemandTable {
    models: BTreeMap<ModelName, ModelRecord>,
    routers: BTreeMap<RouterName, RouterRecord>,
    zones: BTreeMap<RouterName, ZoneName>,
    router_zones: BTreeMap<RouterId, ZoneName>,
    next_id: RouterId,
    last_report: Option<Timestamp>,
}

impl DemandTable {
    /// Records a report. Stale reports of the same incarnation are ignored.
    pub fn observe(
        &mut self,
        now: Timestamp,
        router: &RouterName,
        incarnation: Incarnation,
        report: &RouterReport,
    ) {
        self.last_report = Some(now);
        let existing = self.routers.get(router);
        if existing.is_some_and(|existing| existing.incarnation != incarnation) {
            self.remove_router(router);
        }
        if !self.routers.contains_key(router) {
            if self.routers.len() >= MAXIMUM_ROUTERS {
                return;
            }
            self.insert_router(now, router, incarnation);
            self.apply_report(now, router, report, true);
            return;
        }
        if self.routers[router].sequence < report.sequence {
            self.apply_report(now, router, report, false);
        }
    }

    fn insert_router(&mut self, now: Timestamp, router: &RouterName, incarnation: Incarnation) {
        let id = self.next_id;
        self.next_id = self.next_id.wrapping_add(1);
        if let Some(zone) = self.zones.get(router) {
            self.router_zones.insert(id, zone.clone());
        }
        let record = RouterRecord {
            id,
            incarnation,
            sequence: 0,
            last_report: now,
            active: BTreeSet::new(),
        };
        self.routers.insert(router.clone(), record);
    }

    fn apply_report(
        &mut self,
        now: Timestamp,
        router: &RouterName,
        report: &RouterReport,
        first: bool,
    ) {
        let Some(record) = self.routers.get_mut(router) else {
            return;
        };
        record.sequence = report.sequence;
        record.last_report = now;
        let id = record.id;
        let mut previous = std::mem::take(&mut record.active);
        let mut active = BTreeSet::new();
        for demand in &report.demand {
            let target = (demand.model.clone(), demand.adapter.clone());
            previous.remove(&target);
            let applied = self.apply_demand(now, id, demand, first);
            if applied && demand.waiting + demand.in_flight > 0 {
                active.insert(target);
            }
        }
        for target in previous {
            self.clear(now, id, &target);
        }
        if let Some(record) = self.routers.get_mut(router) {
            record.active = active;
        }
    }

    /// Records one entry of a report; returns false when the table is full.
    fn apply_demand(
        &mut self,
        now: Timestamp,
        id: RouterId,
        demand: &ModelDemand,
        first: bool,
    ) -> bool {
        let Some(record) = self.model_record(demand) else {
            return false;
        };
        let target = match &demand.adapter {
            None => &mut record.without_adapter,
            Some(adapter) => record.adapters.entry(adapter.clone()).or_default(),
        };
        // The arrival counter starts at zero with the incarnation, but on the first report received
        // the earlier arrivals cannot be dated.
        let existing = target.by_router.get(&id).map(|existing| existing.arrivals);
        let previous = existing.unwrap_or(if first { demand.arrivals } else { 0 });
        let arrived = demand.arrivals > previous || (first && demand.waiting > 0);
        let age = Duration::from_millis(demand.oldest_wait_millis);
        let since = now.as_micros().saturating_sub(age.as_micros() as u64);
        let entry = RouterDemand {
            waiting: demand.waiting,
            in_flight: demand.in_flight,
            arrivals: demand.arrivals.max(previous),
            waiting_since: Timestamp::from_micros(since),
            most_urgent: demand.most_urgent,
        };
        target.set(id, entry);
        if arrived {
            record.arrivals.record_arrival(now);
        } else if demand.waiting + demand.in_flight > 0 {
            record.arrivals.record_activity(now);
        }
        true
    }

    fn model_record(&mut self, demand: &ModelDemand) -> Option<&mut ModelRecord> {
        let existing = self.models.get(&demand.model);
        if existing.is_none() && self.models.len() >= MAXIMUM_MODELS {
            return None;
        }
        if let (Some(record), Some(adapter)) = (existing, &demand.adapter) {
            let full = record.adapters.len() >= MAXIMUM_ADAPTERS_PER_MODEL;
            if full && !record.adapters.contains_key(adapter) {
                return None;
            }
        }
        Some(self.models.entry(demand.model.clone()).or_default())
    }

    fn clear(&mut self, now: Timestamp, id: RouterId, target: &Target) {
        let Some(record) = self.models.get_mut(&target.0) else {
            return;
        };
        record.arrivals.record_activity(now);
        let demand = match &target.1 {
            None => Some(&mut record.without_adapter),
            Some(adapter) => record.adapters.get_mut(adapter),
        };
        if let Some(demand) = demand {
            demand.clear(id);
        }
    }

    /// Removes a router and its demand.
    pub fn remove_router(&mut self, router: &RouterName) {
        let Some(record) = self.routers.remove(router) else {
            return;
        };
        self.router_zones.remove(&record.id);
        for model in self.models.values_mut() {
            model.without_adapter.remove(record.id);
            for demand in model.adapters.values_mut() {
                demand.remove(record.id);
            }
        }
    }

    /// Removes routers without a report for longer than `timeout`.
    pub fn remove_expired_routers(&mut self, now: Timestamp, timeout: Duration) {
        let routers = self.routers.iter();
        let expired: Vec<RouterName> = routers
            .filter(|(_, record)| now.since(record.last_report) > timeout)
            .map(|(router, _)| router.clone())
            .collect();
        for router in expired {
            self.remove_router(&router);
        }
    }

    /// Removes models that are no longer in the catalog.
    pub fn retain_models(&mut self, exists: impl Fn(&ModelName) -> bool) {
        self.models.retain(|model, _| exists(model));
    }

    /// Sets the zone of a router.
    pub fn set_zone(&mut self, router: &RouterName, zone: &ZoneName) {
        if self.zones.len() >= MAXIMUM_ROUTERS && !self.zones.contains_key(router) {
            return;
        }
        self.zones.insert(router.clone(), zone.clone());
        if let Some(record) = self.routers.get(router) {
            self.router_zones.insert(record.id, zone.clone());
        }
    }

    /// Time of the last report from any router.
    pub fn last_report(&self) -> Option<Timestamp> {
        self.last_report
    }

    /// Demand of a model, including all its adapters.
    pub fn for_model(&self, model: &ModelName) -> Demand {
        let Some(record) = self.models.get(model) else {
            return Demand::NONE;
        };
        let mut sum = record.without_adapter.sum();
        for demand in record.adapters.values() {
            sum.add(demand.sum());
        }
        sum
    }

    /// Adapters of a model with waiting or running requests.
    pub fn active_adapters(&self, model: &ModelName) -> Vec<(&AdapterName, Demand)> {
        let record = self.models.get(model);
        let adapters = record.into_iter().flat_map(|record| &record.adapters);
        adapters
            .map(|(adapter, demand)| (adapter, demand.sum()))
            .filter(|(_, demand)| demand.total() > 0)
            .collect()
    }

    pub fn arrivals(&self, model: &ModelName) -> Option<&ArrivalHistogram> {
        self.models.get(model).map(|record| &record.arrivals)
    }

    /// Zone with the most waiting requests for a model.
    pub fn busiest_zone(&self, model: &ModelName) -> Option<ZoneName> {
        let record = self.models.get(model)?;
        let mut by_zone: BTreeMap<&ZoneName, u64> = BTreeMap::new();
        for demand in std::iter::once(&record.without_adapter).chain(record.adapters.values()) {
            for id in &demand.waiting_routers {
                if let Some(zone) = self.router_zones.get(id) {
                    *by_zone.entry(zone).or_default() += u64::from(demand.waiting_at(*id));
                }
            }
        }
        let most = by_zone.into_iter().max_by_key(|(_, waiting)| *waiting)?;
        Some(most.0.clone())
    }
}

impl TargetDemand {
    fn set(&mut self, id: RouterId, entry: RouterDemand) {
        self.clear(id);
        self.waiting += u64::from(entry.waiting);
        self.in_flight += u64::from(entry.in_flight);
        if entry.waiting > 0 {
            self.waiting_routers.insert(id);
        }
        self.by_router.insert(id, entry);
    }

    /// Removes a router's requests but keeps its arrival counter.
    fn clear(&mut self, id: RouterId) {
        let Some(entry) = self.by_router.get_mut(&id) else {
            return;
        };
        self.waiting -= u64::from(entry.waiting);
        self.in_flight -= u64::from(entry.in_flight);
        entry.waiting = 0;
        entry.in_flight = 0;
        self.waiting_routers.remove(&id);
    }

    fn remove(&mut self, id: RouterId) {
        self.clear(id);
        self.by_router.remove(&id);
    }

    fn waiting_at(&self, id: RouterId) -> u32 {
        self.by_router.get(&id).map_or(0, |entry| entry.waiting)
    }

    fn sum(&self) -> Demand {
        let mut sum = Demand {
            in_flight: self.in_flight,
            ..Demand::NONE
        };
        for id in &self.waiting_routers {
            if let Some(entry) = self.by_router.get(id) {
                sum.add(Demand {
                    waiting: u64::from(entry.waiting),
                    in_flight: 0,
                    waiting_since: entry.waiting_since,
                    most_urgent: entry.most_urgent,
                });
            }
        }
        sum
    }
}
