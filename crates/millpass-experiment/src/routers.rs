//! The routers, one a zone: waiting requests, and reports of demand.
//!
//! Requests wait by urgency, then in order of arrival; fair shares are the routing core's matter
//! and not part of this model.

use crate::catalog::Catalog;
use crate::trace::TraceRequest;
use millpass_proto::{
    AdapterName, ConfigurationRevision, Duration, ModelDemand, PlacementRevision, RouterName,
    RouterReport, Timestamp, Urgency,
};
use std::collections::{BTreeMap, BTreeSet};

/// A router reports at least this often.
const HEARTBEAT: Duration = Duration::from_secs(5);

/// A model, or a model with one of its adapters.
pub type Target = (usize, Option<usize>);
/// Place in a queue: more urgent first, then by number.
type Place = (Urgency, usize);

/// Demand of one target at one router.
#[derive(Clone, Debug, Default)]
struct RouterDemand {
    waiting: BTreeSet<Place>,
    in_flight: u32,
    arrivals: u64,
}

#[derive(Clone, Debug)]
struct Router {
    name: RouterName,
    sequence: u64,
    reported: Option<Timestamp>,
    changed: BTreeSet<Target>,
    demand: BTreeMap<Target, RouterDemand>,
}

/// All routers.
#[derive(Clone, Debug)]
pub struct Routers {
    routers: Vec<Router>,
    /// Waiting requests of all routers.
    waiting: BTreeMap<Target, BTreeSet<Place>>,
}

impl Routers {
    /// One router in each zone.
    pub fn new(zones: usize) -> Self {
        let router = |zone| Router {
            name: RouterName(format!("router-{zone}")),
            sequence: 0,
            reported: None,
            changed: BTreeSet::new(),
            demand: BTreeMap::new(),
        };
        Routers {
            routers: (0..zones).map(router).collect(),
            waiting: BTreeMap::new(),
        }
    }

    /// Name of a zone's router.
    pub fn name(&self, zone: usize) -> &RouterName {
        &self.routers[zone].name
    }

    /// Counts an arrival.
    pub fn arrived(&mut self, request: &TraceRequest) {
        self.demand(request).arrivals += 1;
    }

    /// Lets a request wait.
    pub fn wait(&mut self, number: usize, request: &TraceRequest) {
        let place = (request.urgency, number);
        self.demand(request).waiting.insert(place);
        let queue = self.waiting.entry(target(request)).or_default();
        queue.insert(place);
    }

    /// A waiting request waits no longer.
    pub fn stop_waiting(&mut self, number: usize, request: &TraceRequest) {
        let place = (request.urgency, number);
        self.demand(request).waiting.remove(&place);
        let target = target(request);
        if let Some(queue) = self.waiting.get_mut(&target) {
            queue.remove(&place);
            if queue.is_empty() {
                self.waiting.remove(&target);
            }
        }
    }

    /// A request went to an engine.
    pub fn dispatched(&mut self, request: &TraceRequest) {
        self.demand(request).in_flight += 1;
    }

    /// A request came back from an engine.
    pub fn ended(&mut self, request: &TraceRequest) {
        self.demand(request).in_flight -= 1;
    }

    /// Whether anything waits.
    pub fn any_waiting(&self) -> bool {
        !self.waiting.is_empty()
    }

    /// Targets that requests wait for.
    pub fn waiting_targets(&self) -> Vec<Target> {
        self.waiting.keys().copied().collect()
    }

    /// Whether requests wait for a target.
    pub fn waits(&self, target: Target) -> bool {
        self.waiting.contains_key(&target)
    }

    /// The next request of a target.
    pub fn first_waiting(&self, target: Target) -> Option<usize> {
        let queue = self.waiting.get(&target)?;
        queue.first().map(|(_, number)| *number)
    }

    /// All requests that wait for a target.
    pub fn all_waiting(&self, target: Target) -> Vec<usize> {
        let queue = self.waiting.get(&target).into_iter().flatten();
        queue.map(|(_, number)| *number).collect()
    }

    /// Reports of the routers whose demand changed, or that are due for a heartbeat.
    pub fn reports(
        &mut self,
        now: Timestamp,
        catalog: &Catalog,
        trace: &[TraceRequest],
    ) -> Vec<(RouterName, RouterReport)> {
        let mut reports = Vec::new();
        for router in &mut self.routers {
            let silent = router
                .reported
                .is_none_or(|last| now.since(last) >= HEARTBEAT);
            if !silent && router.changed.is_empty() {
                continue;
            }
            router.reported = Some(now);
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
    /// Everything that waits, runs or newly arrived.
    fn report(
        &mut self,
        now: Timestamp,
        catalog: &Catalog,
        trace: &[TraceRequest],
    ) -> RouterReport {
        self.sequence += 1;
        let changed = std::mem::take(&mut self.changed);
        let lines = self.demand.iter().filter(|(target, demand)| {
            let active = demand.in_flight > 0 || !demand.waiting.is_empty();
            active || changed.contains(target)
        });
        let lines = lines.map(|(target, demand)| line(now, *target, demand, catalog, trace));
        RouterReport {
            sequence: self.sequence,
            configuration: ConfigurationRevision(0),
            placement: PlacementRevision(0),
            demand: lines.collect(),
            observations: Vec::new(),
            draining: false,
        }
    }
}

/// The target of a request.
pub fn target(request: &TraceRequest) -> Target {
    (request.model, request.adapter)
}

/// Name of a target's adapter.
pub fn adapter_name(catalog: &Catalog, target: Target) -> Option<&AdapterName> {
    target
        .1
        .map(|adapter| &catalog.models[target.0].adapters[adapter])
}

fn line(
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
