//! Demand as routers report it, summed per model and per model with adapter.
//!
//! A report holds the whole demand of its router: what it does not name has none. Sums are kept
//! up to date with each report, so that reading them does not depend on the number of routers.

use crate::arrivals::ArrivalHistogram;
use millpass_proto::{
    AdapterName, Duration, Incarnation, ModelDemand, ModelName, RouterName, RouterReport,
    Timestamp, Urgency, ZoneName,
};
use std::collections::{BTreeMap, BTreeSet};

/// Models, and adapters of each, that demand is kept for; more are not taken in.
const MAXIMUM_MODELS: usize = 65_536;
/// Adapters of one model that demand is kept for.
const MAXIMUM_ADAPTERS_PER_MODEL: usize = 4_096;
/// Routers that demand is kept for.
const MAXIMUM_ROUTERS: usize = 16_384;

/// Number of a router within the table; smaller than its name.
type RouterNumber = u32;

/// A model, or a model with an adapter.
type Target = (ModelName, Option<AdapterName>);

/// Demand of one target at one router.
#[derive(Clone, Copy, Debug)]
struct RouterDemand {
    waiting: u32,
    in_flight: u32,
    arrivals: u64,
    waiting_since: Timestamp,
    most_urgent: Urgency,
}

/// Demand of one target over all routers.
#[derive(Clone, Debug, Default)]
struct TargetDemand {
    by_router: BTreeMap<RouterNumber, RouterDemand>,
    waiting_routers: BTreeSet<RouterNumber>,
    waiting: u64,
    in_flight: u64,
}

/// Demand and history of one model.
#[derive(Clone, Debug, Default)]
struct ModelRecord {
    plain: TargetDemand,
    adapters: BTreeMap<AdapterName, TargetDemand>,
    arrivals: ArrivalHistogram,
}

#[derive(Clone, Debug)]
struct RouterRecord {
    number: RouterNumber,
    incarnation: Incarnation,
    sequence: u64,
    last_report: Timestamp,
    /// Targets with requests waiting or running in the last report.
    active: BTreeSet<Target>,
}

/// Demand summed over routers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Demand {
    /// Requests waiting for a replica.
    pub waiting: u64,
    /// Requests dispatched and not ended.
    pub in_flight: u64,
    /// Since when the oldest one waits; meaningless when none does.
    pub waiting_since: Timestamp,
    /// Most urgent of those waiting.
    pub most_urgent: Urgency,
}

impl Demand {
    /// No demand.
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

/// All demand known to a leader.
#[derive(Clone, Debug, Default)]
pub struct DemandTable {
    models: BTreeMap<ModelName, ModelRecord>,
    routers: BTreeMap<RouterName, RouterRecord>,
    zones: BTreeMap<RouterName, ZoneName>,
    router_zones: BTreeMap<RouterNumber, ZoneName>,
    next_number: RouterNumber,
    last_report: Option<Timestamp>,
}

impl DemandTable {
    /// Takes a report. Older ones of the same run are ignored.
    pub fn observe(
        &mut self,
        now: Timestamp,
        router: &RouterName,
        incarnation: Incarnation,
        report: &RouterReport,
    ) {
        self.last_report = Some(now);
        let known = self.routers.get(router);
        if known.is_some_and(|known| known.incarnation != incarnation) {
            self.remove_router(router);
        }
        if !self.routers.contains_key(router) {
            if self.routers.len() >= MAXIMUM_ROUTERS {
                return;
            }
            self.insert_router(now, router, incarnation);
            self.take(now, router, report, true);
            return;
        }
        if self.routers[router].sequence < report.sequence {
            self.take(now, router, report, false);
        }
    }

    fn insert_router(&mut self, now: Timestamp, router: &RouterName, incarnation: Incarnation) {
        let number = self.next_number;
        self.next_number = self.next_number.wrapping_add(1);
        if let Some(zone) = self.zones.get(router) {
            self.router_zones.insert(number, zone.clone());
        }
        let record = RouterRecord {
            number,
            incarnation,
            sequence: 0,
            last_report: now,
            active: BTreeSet::new(),
        };
        self.routers.insert(router.clone(), record);
    }

    fn take(&mut self, now: Timestamp, router: &RouterName, report: &RouterReport, first: bool) {
        let Some(record) = self.routers.get_mut(router) else {
            return;
        };
        record.sequence = report.sequence;
        record.last_report = now;
        let number = record.number;
        let mut before = std::mem::take(&mut record.active);
        let mut active = BTreeSet::new();
        for demand in &report.demand {
            let target = (demand.model.clone(), demand.adapter.clone());
            before.remove(&target);
            let taken = self.take_demand(now, number, demand, first);
            if taken && demand.waiting + demand.in_flight > 0 {
                active.insert(target);
            }
        }
        for target in before {
            self.clear(now, number, &target);
        }
        if let Some(record) = self.routers.get_mut(router) {
            record.active = active;
        }
    }

    /// Takes one line of a report; says whether there was room for it.
    fn take_demand(
        &mut self,
        now: Timestamp,
        number: RouterNumber,
        demand: &ModelDemand,
        first: bool,
    ) -> bool {
        let Some(record) = self.record_for(demand) else {
            return false;
        };
        let target = match &demand.adapter {
            None => &mut record.plain,
            Some(adapter) => record.adapters.entry(adapter.clone()).or_default(),
        };
        // The counter of a run starts at zero, but a leader that hears of the run for the first
        // time cannot tell when its earlier arrivals came.
        let known = target.by_router.get(&number).map(|known| known.arrivals);
        let before = known.unwrap_or(if first { demand.arrivals } else { 0 });
        let arrived = demand.arrivals > before || (first && demand.waiting > 0);
        let age = Duration::from_millis(demand.oldest_wait_millis);
        let since = now.as_micros().saturating_sub(age.as_micros() as u64);
        let entry = RouterDemand {
            waiting: demand.waiting,
            in_flight: demand.in_flight,
            arrivals: demand.arrivals.max(before),
            waiting_since: Timestamp::from_micros(since),
            most_urgent: demand.most_urgent,
        };
        target.set(number, entry);
        if arrived {
            record.arrivals.record_arrival(now);
        } else if demand.waiting + demand.in_flight > 0 {
            record.arrivals.record_activity(now);
        }
        true
    }

    fn record_for(&mut self, demand: &ModelDemand) -> Option<&mut ModelRecord> {
        let known = self.models.get(&demand.model);
        if known.is_none() && self.models.len() >= MAXIMUM_MODELS {
            return None;
        }
        if let (Some(record), Some(adapter)) = (known, &demand.adapter) {
            let full = record.adapters.len() >= MAXIMUM_ADAPTERS_PER_MODEL;
            if full && !record.adapters.contains_key(adapter) {
                return None;
            }
        }
        Some(self.models.entry(demand.model.clone()).or_default())
    }

    fn clear(&mut self, now: Timestamp, number: RouterNumber, target: &Target) {
        let Some(record) = self.models.get_mut(&target.0) else {
            return;
        };
        record.arrivals.record_activity(now);
        let demand = match &target.1 {
            None => Some(&mut record.plain),
            Some(adapter) => record.adapters.get_mut(adapter),
        };
        if let Some(demand) = demand {
            demand.clear(number);
        }
    }

    /// Forgets a router and its demand.
    pub fn remove_router(&mut self, router: &RouterName) {
        let Some(record) = self.routers.remove(router) else {
            return;
        };
        self.router_zones.remove(&record.number);
        for model in self.models.values_mut() {
            model.plain.remove(record.number);
            for demand in model.adapters.values_mut() {
                demand.remove(record.number);
            }
        }
    }

    /// Forgets routers that were silent for longer than `silence`.
    pub fn forget_silent(&mut self, now: Timestamp, silence: Duration) {
        let routers = self.routers.iter();
        let silent: Vec<RouterName> = routers
            .filter(|(_, record)| now.since(record.last_report) > silence)
            .map(|(router, _)| router.clone())
            .collect();
        for router in silent {
            self.remove_router(&router);
        }
    }

    /// Forgets models that are not in the catalog any more.
    pub fn retain_models(&mut self, exists: impl Fn(&ModelName) -> bool) {
        self.models.retain(|model, _| exists(model));
    }

    /// States the zone of a router, so that replicas are placed near demand.
    pub fn set_zone(&mut self, router: &RouterName, zone: &ZoneName) {
        if self.zones.len() >= MAXIMUM_ROUTERS && !self.zones.contains_key(router) {
            return;
        }
        self.zones.insert(router.clone(), zone.clone());
        if let Some(record) = self.routers.get(router) {
            self.router_zones.insert(record.number, zone.clone());
        }
    }

    /// When any router reported last.
    pub fn last_report(&self) -> Option<Timestamp> {
        self.last_report
    }

    /// Demand of a model, with all its adapters.
    pub fn of_model(&self, model: &ModelName) -> Demand {
        let Some(record) = self.models.get(model) else {
            return Demand::NONE;
        };
        let mut sum = record.plain.sum();
        for demand in record.adapters.values() {
            sum.add(demand.sum());
        }
        sum
    }

    /// Adapters of a model that requests wait for or run with.
    pub fn active_adapters(&self, model: &ModelName) -> Vec<(&AdapterName, Demand)> {
        let record = self.models.get(model);
        let adapters = record.into_iter().flat_map(|record| &record.adapters);
        adapters
            .map(|(adapter, demand)| (adapter, demand.sum()))
            .filter(|(_, demand)| demand.total() > 0)
            .collect()
    }

    /// History of a model.
    pub fn arrivals(&self, model: &ModelName) -> Option<&ArrivalHistogram> {
        self.models.get(model).map(|record| &record.arrivals)
    }

    /// Zone in which most requests for a model wait.
    pub fn zone_of(&self, model: &ModelName) -> Option<ZoneName> {
        let record = self.models.get(model)?;
        let mut by_zone: BTreeMap<&ZoneName, u64> = BTreeMap::new();
        for demand in std::iter::once(&record.plain).chain(record.adapters.values()) {
            for number in &demand.waiting_routers {
                if let Some(zone) = self.router_zones.get(number) {
                    *by_zone.entry(zone).or_default() += u64::from(demand.waiting_at(*number));
                }
            }
        }
        let most = by_zone.into_iter().max_by_key(|(_, waiting)| *waiting)?;
        Some(most.0.clone())
    }
}

impl TargetDemand {
    fn set(&mut self, number: RouterNumber, entry: RouterDemand) {
        self.clear(number);
        self.waiting += u64::from(entry.waiting);
        self.in_flight += u64::from(entry.in_flight);
        if entry.waiting > 0 {
            self.waiting_routers.insert(number);
        }
        self.by_router.insert(number, entry);
    }

    /// Takes a router's requests out and keeps its arrival counter.
    fn clear(&mut self, number: RouterNumber) {
        let Some(entry) = self.by_router.get_mut(&number) else {
            return;
        };
        self.waiting -= u64::from(entry.waiting);
        self.in_flight -= u64::from(entry.in_flight);
        entry.waiting = 0;
        entry.in_flight = 0;
        self.waiting_routers.remove(&number);
    }

    fn remove(&mut self, number: RouterNumber) {
        self.clear(number);
        self.by_router.remove(&number);
    }

    fn waiting_at(&self, number: RouterNumber) -> u32 {
        self.by_router.get(&number).map_or(0, |entry| entry.waiting)
    }

    fn sum(&self) -> Demand {
        let mut sum = Demand {
            in_flight: self.in_flight,
            ..Demand::NONE
        };
        for number in &self.waiting_routers {
            if let Some(entry) = self.by_router.get(number) {
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
