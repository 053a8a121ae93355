//! Scheduling decisions of the leader: which replicas to place, keep and retire.
//!
//! The scheduler only proposes commands; the replicated state validates each one when it is
//! applied. Demand and arrival history are not replicated: a new leader rebuilds them from router
//! reports and retires nothing until the learning period has elapsed.

mod adapters;
mod arrivals;
mod candidates;
mod demand;
mod engines;
mod eviction;
mod loads;
mod memory;
mod permits;
mod placement;
mod prewarming;
mod proposals;
mod ready_estimates;
mod retirement;
mod round;
mod settings;
mod view;

pub use arrivals::{ArrivalHistogram, KeepAliveCosts};
pub use settings::{KeepAlive, SchedulerSettings};

use demand::DemandTable;
use engines::EngineTable;
use loads::{LoadTracker, LoadsInProgress};
use millpass_proto::{
    BackendName, BackendState, Command, Duration, EngineReport, Incarnation, ModelName, RouterName,
    RouterReport, Timestamp, ZoneName,
};
use millpass_state::State;
use permits::StorePermits;
use proposals::Proposals;
use ready_estimates::ReadyEstimates;
use round::Round;
use std::collections::{BTreeMap, BTreeSet};
use view::{ModelView, ViewSources};

/// Contact timeout after which a router's demand is discarded; longer than any router lease.
const ROUTER_CONTACT_TIMEOUT: Duration = Duration::from_secs(15);
/// Interval between removals of entries for deleted models and unregistered engines.
const CLEANUP_INTERVAL: Duration = Duration::from_secs(60);

/// Scheduler of one leader.
pub struct Scheduler {
    settings: SchedulerSettings,
    demand: DemandTable,
    engines: EngineTable,
    loads: LoadTracker,
    permits: StorePermits,
    proposals: Proposals,
    ready_estimates: ReadyEstimates,
    /// Time from which each model has had more replicas than desired.
    surplus_since: BTreeMap<ModelName, Timestamp>,
    /// Memory of the largest accelerator.
    accelerator_bytes: u64,
    first_report: Option<Timestamp>,
    last_cleanup: Timestamp,
}

impl Scheduler {
    /// Creates a scheduler without demand or history.
    pub fn new(settings: SchedulerSettings) -> Self {
        let permits = StorePermits::new(
            settings.store_loads_per_second,
            settings.store_concurrent_loads,
        );
        Scheduler {
            settings,
            demand: DemandTable::default(),
            engines: EngineTable::default(),
            loads: LoadTracker::default(),
            permits,
            proposals: Proposals::default(),
            ready_estimates: ReadyEstimates::default(),
            surplus_since: BTreeMap::new(),
            accelerator_bytes: 0,
            first_report: None,
            last_cleanup: Timestamp::ZERO,
        }
    }

    /// Sets the zone of a router, which is used to place replicas near demand.
    pub fn set_router_zone(&mut self, router: &RouterName, zone: &ZoneName) {
        self.demand.set_zone(router, zone);
    }

    /// Records a router's demand report.
    pub fn observe_router(
        &mut self,
        now: Timestamp,
        router: &RouterName,
        incarnation: Incarnation,
        report: &RouterReport,
    ) {
        self.first_report.get_or_insert(now);
        self.demand.observe(now, router, incarnation, report);
    }

    /// Removes a router whose lease expired, and its demand.
    pub fn remove_router(&mut self, router: &RouterName) {
        self.demand.remove_router(router);
    }

    /// Records an engine's report of checkpoint tiers and load.
    pub fn observe_engine(&mut self, _now: Timestamp, report: &EngineReport) {
        self.engines.observe(report);
    }

    /// Returns the commands to propose now. A command is not proposed again until it was applied or
    /// its proposal expired.
    pub fn decide(&mut self, now: Timestamp, state: &State) -> Vec<Command> {
        self.remove_deleted(now, state);
        self.demand
            .remove_expired_routers(now, ROUTER_CONTACT_TIMEOUT);
        self.proposals.refresh(now, state);
        self.loads
            .refresh(now, state, &self.engines, &self.settings);
        let in_progress = self.loads_in_progress(now, state);
        self.permits.refill(now, in_progress.from_store);
        let views = self.views(now, state);
        let may_retire = self.has_current_demand(now);
        let mut round = Round::new(now, state, in_progress, &self.proposals, may_retire);
        self.accelerator_bytes = round.memory.largest_accelerator();
        self.propose_loads(&mut round, &views);
        self.detach_removed(&mut round, &views);
        self.propose_retirements(&mut round, &views);
        self.prewarm(&mut round, &views);
        round.finish(&mut self.proposals, self.settings.proposal_expiry)
    }

    /// Returns loads in the state and loads that are only proposed.
    fn loads_in_progress(&self, now: Timestamp, state: &State) -> LoadsInProgress {
        let settings = &self.settings;
        let mut in_progress = self.loads.in_progress(now, settings, state, &self.engines);
        for place in self.proposals.placements() {
            if let Some(version) = state.version(&place.model, &place.version) {
                let tier = self.engines.tier(&place.backend, &version.checkpoint);
                let time = self
                    .loads
                    .expected_time(settings, tier, version.weights_bytes);
                in_progress.add(&place.backend, time, Some(tier));
            }
        }
        for decision in self.proposals.attachments() {
            let replica = state.replica(decision.slot);
            let adapter = state.adapter(&decision.adapter);
            if let (Some(replica), Some(adapter)) = (replica, adapter) {
                let tier = self.engines.tier(&replica.backend, &adapter.checkpoint);
                let time = self.loads.expected_time(settings, tier, adapter.bytes);
                in_progress.add(&replica.backend, time, Some(tier));
            }
        }
        in_progress
    }

    fn views<'a>(&self, now: Timestamp, state: &'a State) -> Vec<ModelView<'a>> {
        let sources = ViewSources {
            now,
            settings: &self.settings,
            demand: &self.demand,
            loads: &self.loads,
            unavailable: unavailable_backends(state),
        };
        let models = state.models();
        models
            .map(|(name, spec)| ModelView::new(&sources, state, name, spec))
            .collect()
    }

    /// Returns true once the learning period has elapsed, as long as routers keep reporting.
    fn has_current_demand(&self, now: Timestamp) -> bool {
        let learning_done = self
            .first_report
            .is_some_and(|first| now.since(first) >= self.settings.learning_period);
        let last = self.demand.last_report();
        learning_done && last.is_some_and(|last| now.since(last) <= ROUTER_CONTACT_TIMEOUT)
    }

    fn remove_deleted(&mut self, now: Timestamp, state: &State) {
        if now.since(self.last_cleanup) < CLEANUP_INTERVAL {
            return;
        }
        self.last_cleanup = now;
        self.demand
            .retain_models(|model| state.model(model).is_some());
        self.engines
            .retain(|backend| state.backend(backend).is_some());
        self.surplus_since
            .retain(|model, _| state.model(model).is_some());
    }
}

/// Returns backends that accept no new replicas. Usually few, so the lookup per replica is cheap.
fn unavailable_backends(state: &State) -> BTreeSet<&BackendName> {
    let backends = state.backends_with_memory().map(|(backend, _)| backend);
    backends
        .filter(|backend| backend.state != BackendState::Live)
        .map(|backend| &backend.registration.backend)
        .collect()
}
