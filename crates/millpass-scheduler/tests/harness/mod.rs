//! A scheduler and a state with simulated reports and time.
#![allow(dead_code)]

#[path = "../../../millpass-state/tests/support/mod.rs"]
pub mod support;

use millpass_proto::*;
use millpass_scheduler::{KeepAlive, Scheduler, SchedulerSettings};
use std::collections::BTreeMap;
pub use support::*;

/// Interval between scheduling rounds.
pub const ROUND_MILLIS: u64 = 200;
/// Default learning period.
pub const LEARNING_MILLIS: u64 = 10_000;

pub struct Harness {
    pub fixture: Fixture,
    pub scheduler: Scheduler,
    pub now: Timestamp,
    sequence: u64,
    reports: BTreeMap<String, u64>,
    arrivals: BTreeMap<String, u64>,
}

impl Harness {
    pub fn new(settings: SchedulerSettings) -> Self {
        Harness {
            fixture: Fixture::default(),
            scheduler: Scheduler::new(settings),
            now: Timestamp::from_millis(1_000),
            sequence: 0,
            reports: BTreeMap::new(),
            arrivals: BTreeMap::new(),
        }
    }

    /// A harness past the learning period, with one idle router.
    pub fn after_learning(settings: SchedulerSettings) -> Self {
        let mut harness = Harness::new(settings);
        harness.report("listener", Vec::new());
        harness.advance(LEARNING_MILLIS);
        harness
    }

    pub fn advance(&mut self, millis: u64) {
        self.now = self.now + Duration::from_millis(millis);
    }

    /// Sends a report of a router.
    pub fn report(&mut self, router: &str, demand: Vec<ModelDemand>) {
        self.sequence += 1;
        let report = RouterReport {
            sequence: self.sequence,
            configuration: ConfigurationRevision(0),
            placement: PlacementRevision(0),
            demand,
            observations: Vec::new(),
            draining: false,
        };
        self.scheduler
            .observe_router(self.now, &router.into(), Incarnation(1), &report);
    }

    /// Reports newly arrived requests that wait for a model.
    pub fn report_waiting(&mut self, router: &str, model: &str, waiting: u32) {
        let arrivals = self
            .arrivals
            .entry(format!("{router} {model}"))
            .or_default();
        *arrivals += u64::from(waiting);
        let mut demand = waiting_for(model, waiting);
        demand.arrivals = *arrivals;
        self.report(router, vec![demand]);
    }

    /// Reports an engine's cached checkpoints and requests per slot.
    pub fn engine_report(
        &mut self,
        backend: &str,
        checkpoints: &[(&str, CheckpointTier)],
        busy: &[(SlotId, u32)],
    ) {
        let sequence = self.reports.entry(backend.to_owned()).or_default();
        *sequence += 1;
        let known = self
            .fixture
            .state
            .backend(&backend.into())
            .expect("backend");
        let registration = &known.registration;
        let report = EngineReport {
            backend: backend.into(),
            incarnation: registration.incarnation,
            zone: registration.zone.clone(),
            role: EngineRole::Mixed,
            sequence: *sequence,
            highest_fence: LogPosition::ZERO,
            accelerator_bytes: registration.accelerator_bytes.clone(),
            used_bytes: Vec::new(),
            slots: busy
                .iter()
                .map(|(slot, busy)| slot_report(*slot, *busy))
                .collect(),
            checkpoints: checkpoints
                .iter()
                .map(|(checkpoint, tier)| CheckpointReport {
                    checkpoint: (*checkpoint).to_owned(),
                    tier: *tier,
                })
                .collect(),
        };
        self.scheduler.observe_engine(self.now, &report);
    }

    /// Runs a round without applying its commands.
    pub fn decide(&mut self) -> Vec<Command> {
        self.advance(ROUND_MILLIS);
        self.scheduler.decide(self.now, &self.fixture.state)
    }

    /// Runs a round and applies its commands; each must take effect.
    pub fn round(&mut self) -> Vec<Command> {
        let commands = self.decide();
        for command in &commands {
            self.fixture.must(command.clone());
        }
        commands
    }

    /// Runs rounds for this time with an idle report in each; returns all commands.
    pub fn run_idle_rounds(&mut self, millis: u64) -> Vec<Command> {
        let mut commands = Vec::new();
        for _ in 0..millis / ROUND_MILLIS {
            self.report("listener", Vec::new());
            commands.extend(self.round());
        }
        commands
    }

    /// Completes all outstanding orders.
    pub fn settle_all(&mut self) {
        for order in self.fixture.state.outstanding_orders() {
            self.fixture.must(settle_order(&order, None));
        }
    }
}

pub fn waiting_for(model: &str, waiting: u32) -> ModelDemand {
    ModelDemand {
        model: model.into(),
        adapter: None,
        waiting,
        in_flight: 0,
        arrivals: u64::from(waiting),
        oldest_wait_millis: 0,
        most_urgent: Urgency::Normal,
    }
}

fn slot_report(slot: SlotId, running: u32) -> EngineSlotReport {
    EngineSlotReport {
        slot,
        model: "m".into(),
        version: "v1".into(),
        fence: LogPosition::ZERO,
        phase: EngineSlotPhase::Loaded,
        adapters: Vec::new(),
        running,
        waiting: 0,
    }
}

/// Settings without store limits, keep-alive expiry or prewarming.
pub fn open_settings() -> SchedulerSettings {
    SchedulerSettings {
        store_loads_per_second: 1_000,
        store_concurrent_loads: 1_000,
        keep_alive: KeepAlive::LeastRecentlyUsed,
        prewarm: false,
        ..SchedulerSettings::default()
    }
}

pub fn placements(commands: &[Command]) -> Vec<&PlaceReplica> {
    let places = commands.iter().filter_map(|command| match command {
        Command::PlaceReplica(place) => Some(place),
        _ => None,
    });
    places.collect()
}

pub fn retired(commands: &[Command]) -> Vec<SlotId> {
    let slots = commands.iter().filter_map(|command| match command {
        Command::RetireReplica(retire) => Some(retire.slot),
        _ => None,
    });
    slots.collect()
}
