//! Scheduling decisions of the leader: which replicas to place, keep and retire.
//!
//! The scheduler only proposes commands; the replicated state checks each again when it is
//! applied. What it learned (demand, histories) is soft and is rebuilt after a leader change: a
//! new leader retires nothing before it has listened to routers for a while.

mod adapters;
mod arrivals;
mod candidates;
mod demand;
mod engines;
mod evicting;
mod loads;
mod memory;
mod outlook;
mod permits;
mod placing;
mod prewarming;
mod proposals;
mod retiring;
mod round;
mod settings;
mod view;

pub use arrivals::{ArrivalHistogram, KeepAliveCosts};
pub use settings::{KeepAlive, SchedulerSettings};

use demand::DemandTable;
use engines::EngineTable;
use loads::{LoadTracker, LoadsUnderWay};
use millpass_proto::{
    BackendName, BackendState, Command, Duration, EngineReport, Incarnation, ModelName, RouterName,
    RouterReport, Timestamp, ZoneName,
};
use millpass_state::State;
use outlook::Outlooks;
use permits::StorePermits;
use proposals::Proposals;
use round::Round;
use std::collections::{BTreeMap, BTreeSet};
use view::{ModelView, ViewSources};

/// Silence after which a router's demand is forgotten; its lease ends long before.
const ROUTER_SILENCE: Duration = Duration::from_secs(15);
/// Time between clean-ups of what the catalog and the fleet no longer hold.
const CLEAN_UP_INTERVAL: Duration = Duration::from_secs(60);

/// The scheduler of one leader.
pub struct Scheduler {
    settings: SchedulerSettings,
    demand: DemandTable,
    engines: EngineTable,
    loads: LoadTracker,
    permits: StorePermits,
    proposals: Proposals,
    outlooks: Outlooks,
    /// Since when models have had more replicas than they need.
    surplus_since: BTreeMap<ModelName, Timestamp>,
    /// Memory of the largest accelerator.
    accelerator_bytes: u64,
    first_report: Option<Timestamp>,
    last_clean_up: Timestamp,
}

impl Scheduler {
    /// Starts with no knowledge of demand.
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
            outlooks: Outlooks::default(),
            surplus_since: BTreeMap::new(),
            accelerator_bytes: 0,
            first_report: None,
            last_clean_up: Timestamp::ZERO,
        }
    }

    /// States the zone of a router, so that replicas are placed near demand.
    pub fn set_router_zone(&mut self, router: &RouterName, zone: &ZoneName) {
        self.demand.set_zone(router, zone);
    }

    /// Takes a router's report of demand.
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

    /// Forgets a router whose lease ended.
    pub fn remove_router(&mut self, router: &RouterName) {
        self.demand.remove_router(router);
    }

    /// Takes an engine's report: checkpoint tiers and load.
    pub fn observe_engine(&mut self, _now: Timestamp, report: &EngineReport) {
        self.engines.observe(report);
    }

    /// Commands to propose now. Called a few times a second; commands proposed earlier and not
    /// yet applied must not be proposed twice within a short time.
    pub fn decide(&mut self, now: Timestamp, state: &State) -> Vec<Command> {
        self.clean_up(now, state);
        self.demand.forget_silent(now, ROUTER_SILENCE);
        self.proposals.refresh(now, state);
        self.loads
            .refresh(now, state, &self.engines, &self.settings);
        let under_way = self.loads_under_way(now, state);
        self.permits.refill(now, under_way.from_store);
        let views = self.views(now, state);
        let may_retire = self.knows_demand(now);
        let mut round = Round::new(now, state, under_way, &self.proposals, may_retire);
        self.accelerator_bytes = round.memory.largest_accelerator();
        self.load_wanted(&mut round, &views);
        self.detach_removed(&mut round, &views);
        self.retire_unwanted(&mut round, &views);
        self.prewarm(&mut round, &views);
        round.finish(&mut self.proposals, self.settings.proposal_expiry)
    }

    /// Loads that the state shows, and those that are proposed.
    fn loads_under_way(&self, now: Timestamp, state: &State) -> LoadsUnderWay {
        let settings = &self.settings;
        let mut under_way = self.loads.under_way(now, settings, state, &self.engines);
        for place in self.proposals.placements() {
            if let Some(version) = state.version(&place.model, &place.version) {
                let tier = self.engines.tier(&place.backend, &version.checkpoint);
                let time = self.loads.expected(settings, tier, version.weights_bytes);
                under_way.add(&place.backend, time, Some(tier));
            }
        }
        for decision in self.proposals.attachments() {
            let replica = state.replica(decision.slot);
            let adapter = state.adapter(&decision.adapter);
            if let (Some(replica), Some(adapter)) = (replica, adapter) {
                let tier = self.engines.tier(&replica.backend, &adapter.checkpoint);
                let time = self.loads.expected(settings, tier, adapter.bytes);
                under_way.add(&replica.backend, time, Some(tier));
            }
        }
        under_way
    }

    fn views<'a>(&self, now: Timestamp, state: &'a State) -> Vec<ModelView<'a>> {
        let sources = ViewSources {
            now,
            settings: &self.settings,
            demand: &self.demand,
            loads: &self.loads,
            not_live: not_live_backends(state),
        };
        let models = state.models();
        models
            .map(|(name, spec)| ModelView::new(&sources, state, name, spec))
            .collect()
    }

    /// Whether this leader has listened to routers for long enough, and still hears them.
    fn knows_demand(&self, now: Timestamp) -> bool {
        let learned = self
            .first_report
            .is_some_and(|first| now.since(first) >= self.settings.learning_period);
        let last = self.demand.last_report();
        learned && last.is_some_and(|last| now.since(last) <= ROUTER_SILENCE)
    }

    fn clean_up(&mut self, now: Timestamp, state: &State) {
        if now.since(self.last_clean_up) < CLEAN_UP_INTERVAL {
            return;
        }
        self.last_clean_up = now;
        self.demand
            .retain_models(|model| state.model(model).is_some());
        self.engines
            .retain(|backend| state.backend(backend).is_some());
        self.surplus_since
            .retain(|model, _| state.model(model).is_some());
    }
}

/// Back ends that take no new work; few, so that looking a replica's up in them is cheap.
fn not_live_backends(state: &State) -> BTreeSet<&BackendName> {
    let backends = state.backends_with_memory().map(|(backend, _)| backend);
    backends
        .filter(|backend| backend.state != BackendState::Live)
        .map(|backend| &backend.registration.backend)
        .collect()
}
