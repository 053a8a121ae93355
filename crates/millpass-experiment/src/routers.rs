//! Model of the routers, one per zone: queues of waiting requests and reports of demand.
//!
//! Requests are queued by urgency, then by arrival. Fair sharing between tenants is not modeled.

use crate::catalog::Catalog;
use crate::trace::TraceRequest;
use millpass_proto::{
    AdapterName, ConfigurationRevision, Duration, ModelDemand, PlacementRevision, RouterName,
    RouterReport, Timestamp, Urgency,
};
use std::collections::{BTreeMap, BTreeSet};

/// Maximum interval between reports of a router.
const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(5);

/// Model and optional adapter, as catalog indices.
pub type Target = (usize, Option<usize>);
/// Position in a queue: by urgency, then by request number.
type QueuePosition = (Urgency, usize);

/// Demand of one target at one router.
#[derive(Clone, Debug, Default)]
struct RouterDemand {
    waiting: BTreeSet<QueuePosition>,
    in_flight: u32,
    arrivals: u64,
}

#[derive(Clone, Debug)]
struct Router {
    name: RouterName,
    sequence: u64,
    last_report: Option<Timestamp>,
    changed: BTreeSet<Target>,
    demand: BTreeMap<Target, RouterDemand>,
}

/// All routers.
#[derive(Clone, Debug)]
pub struct Routers {
    routers: Vec<Router>,
    /// Waiting requests of all routers.
    waiting: BTreeMap<Target, BTreeSet<QueuePosition>>,
}

impl Routers {
    /// Creates one router per zone.
    pub fn new(zones: usize) -> Self {
        let router = |zone| Router {
            name: RouterName(format!("router-{zone}")),
            sequence: 0,
            last_report: None,
            changed: BTreeSet::new(),
            demand: BTreeMap::new(),
        };
        Routers {
            routers: (0..zones).map(router).collect(),
            waiting: BTreeMap::new(),
        }
    }

    /// Returns the name of a zone's router.
    pub fn name(&self, zone: usize) -> &RouterName {
        &self.routers[zone].name
    }

    /// Records an arrival.
    pub fn record_arrival(&mut self, request: &TraceRequest) {
        self.demand(request).arrivals += 1;
    }

    /// Adds a request to its queue.
    pub fn enqueue(&mut self, number: usize, request: &TraceRequest) {
        let position = (request.urgency, number);
        self.demand(request).waiting.insert(position);
        let queue = self.waiting.entry(target(request)).or_default();
        queue.insert(position);
    }

    /// Removes a request from its queue.
    pub fn dequeue(&mut self, number: usize, request: &TraceRequest) {
        let position = (request.urgency, number);
        self.demand(request).waiting.remove(&position);
        let target = target(request);
        if let Some(queue) = self.waiting.get_mut(&target) {
            queue.remove(&position);
            if queue.is_empty() {
                self.waiting.remove(&target);
            }
        }
    }

    /// Records that a request was sent to an engine.
    pub fn record_dispatch(&mut self, request: &TraceRequest) {
        self.demand(request).in_flight += 1;
    }

    /// Records that a request ended at an engine.
    pub fn record_end(&mut self, request: &TraceRequest) {
        self.demand(request).in_flight -= 1;
    }

    /// Returns whether any request waits.
    pub fn any_waiting(&self) -> bool {
        !self.waiting.is_empty()
    }

    /// Returns the targets with waiting requests.
    pub fn waiting_targets(&self) -> Vec<Target> {
        self.waiting.keys().copied().collect()
    }

    /// Returns whether requests wait for a target.
    pub fn has_waiting(&self, target: Target) -> bool {
        self.waiting.contains_key(&target)
    }

    /// Returns the next waiting request of a target.
    pub fn first_waiting(&self, target: Target) -> Option<usize> {
        let queue = self.waiting.get(&target)?;
        queue.first().map(|(_, number)| *number)
    }

    /// Returns all waiting requests of a target.
    pub fn all_waiting(&self, target: Target) -> Vec<usize> {
        let queue = self.waiting.get(&target).into_iter().flatten();
        queue.map(|(_, number)| *number).collect()
    }

    /// Returns the reports of routers whose demand changed or whose heartbeat is due.
    pub fn reports(
        &mut self,
        now: Timestamp,
        catalog: &Catalog,
        trace: &[TraceRequest],
    ) -> Vec<(RouterName, RouterReport)> {
        let mut reports = Vec::new();
        for router in &mut self.routers {
            let heartbeat_due = router
                .last_report
                .is_none_or(|last| now.since(last) >= HEARTBEAT_INTERVAL);
            if !heartbeat_due && router.changed.is_empty() {
                continue;
            }
            router.last_report = Some(now);
            reports.push((router.name.clone(), router.report(now, catalog, trace)));
        }
        reports
    }

    fn demand(&mut self, request: &TraceRequest) -> &mut RouterDemand {
        let router = &mut self.routers[request.zone];
        let target = target(request);
        router.changed.insert(target);
        router.demand.entry(target).or_default()
    }
}

impl Router {
    /// Reports targets with waiting, running or newly arrived requests.
    fn report(
        &mut self,
        now: Timestamp,
        catalog: &Catalog,
        trace: &[TraceRequest],
    ) -> RouterReport {
        self.sequence += 1;
        let changed = std::mem::take(&mut self.changed);
        let entries = self.demand.iter().filter(|(target, demand)| {
            let active = demand.in_flight > 0 || !demand.waiting.is_empty();
            active || changed.contains(target)
        });
        let entries =
            entries.map(|(target, demand)| model_demand(now, *target, demand, catalog, trace));
        RouterReport {
            sequence: self.sequence,
            configuration: ConfigurationRevision(0),
            placement: PlacementRevision(0),
            demand: entries.collect(),
            observations: Vec::new(),
            draining: false,
        }
    }
}

/// Returns the target of a request.
pub fn target(request: &TraceRequest) -> Target {
    (request.model, request.adapter)
}

/// Returns the name of a target's adapter.
pub fn adapter_name(catalog: &Catalog, target: Target) -> Option<&AdapterName> {
    target
        .1
        .map(|adapter| &catalog.models[target.0].adapters[adapter])
}

fn model_demand(
    now: Timestamp,
    target: Target,
    demand: &RouterDemand,
    catalog: &Catalog,
    trace: &[TraceRequest],
) -> ModelDemand {
    let oldest = demand
        .waiting
        .iter()
        .map(|(_, number)| trace[*number].at)
        .min();
    let most_urgent = demand.waiting.first().map(|(urgency, _)| *urgency);
    ModelDemand {
        model: catalog.models[target.0].name.clone(),
        adapter: adapter_name(catalog, target).cloned(),
        waiting: demand.waiting.len() as u32,
        in_flight: demand.in_flight,
        arrivals: demand.arrivals,
        oldest_wait_millis: oldest.map_or(0, |at| now.since(at).as_millis() as u64),
        most_urgent: most_urgent.unwrap_or(Urgency::Batch),
    }
}
