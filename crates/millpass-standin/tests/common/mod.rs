//! Shared pieces of the tests: orders, requests and a driver that answers fetches at once.
#![allow(dead_code)]

pub mod loopback;

use millpass_proto::*;
use millpass_standin::engine::*;

/// The one model that the tests load.
pub const MODEL: &str = "narrator";

/// Settings with round, small numbers: one accelerator of 1,000 bytes, one cache byte a token.
pub fn small_settings() -> EngineSettings {
    let mut settings = EngineSettings {
        accelerator_bytes: vec![1_000],
        ..EngineSettings::default()
    };
    settings.limits.cache_bytes_per_token = 1;
    settings.limits.batch_slots = 2;
    settings.limits.waiting_requests = 4;
    settings.publishing.lost_events_per_thousand = 0;
    settings
}

/// Fence with this index.
pub fn fence(index: u64) -> LogPosition {
    LogPosition { term: 1, index }
}

/// An order to `engine-1`, incarnation 1.
pub fn order(index: u64, action: OrderAction) -> EngineOrder {
    EngineOrder {
        fence: fence(index),
        backend: BackendName::from("engine-1"),
        incarnation: Incarnation(1),
        action,
    }
}

/// A load of [`MODEL`] on accelerator 0.
pub fn load(slot: u64, weights_bytes: u64, cache_bytes: u64) -> OrderAction {
    OrderAction::LoadModel(LoadModelOrder {
        slot: SlotId(slot),
        model: ModelName::from(MODEL),
        version: VersionLabel::from("1"),
        accelerators: vec![0],
        weights_bytes,
        cache_bytes,
        checkpoint: "narrator-1".to_owned(),
    })
}

/// A request of ten prompt tokens for a slot.
pub fn request(handle: u64, slot: u64, maximum_tokens: u32) -> EngineRequest {
    EngineRequest {
        handle: RequestHandle(handle),
        request_id: format!("request-{handle}"),
        tenant: TenantName::from("tenant"),
        slot: SlotId(slot),
        incarnation: None,
        adapter: None,
        urgency: Urgency::Normal,
        prompt_tokens: 10,
        prefix_blocks: Vec::new(),
        maximum_tokens,
        resume_from: 0,
        deadline: None,
        idempotency_key: None,
    }
}

/// An engine with its clock; every fetch is answered at once.
pub struct Driver {
    /// The engine.
    pub engine: EngineModel,
    /// Its clock.
    pub now: Timestamp,
}

impl Driver {
    /// Starts an engine at time 0.
    pub fn new(settings: EngineSettings) -> Self {
        Driver {
            engine: EngineModel::new(settings, Timestamp::ZERO),
            now: Timestamp::ZERO,
        }
    }

    /// An engine with slot 1 loaded: 500 bytes of weights, 400 of cache.
    pub fn loaded(settings: EngineSettings) -> Self {
        let mut driver = Driver::new(settings);
        driver.input(EngineInput::Order(order(1, load(1, 500, 400))));
        driver.run_dry();
        driver
    }

    /// One input; its outputs, and those of the fetches that it caused.
    pub fn input(&mut self, input: EngineInput) -> Vec<EngineOutput> {
        let mut outputs = self.engine.step(self.now, input);
        let fetches: Vec<FetchId> = outputs
            .iter()
            .filter_map(|output| match output {
                EngineOutput::Fetch { fetch, .. } => Some(*fetch),
                _ => None,
            })
            .collect();
        for fetch in fetches {
            outputs.extend(self.input(EngineInput::FetchEnded(fetch, FetchResult::Done)));
        }
        outputs
    }

    /// Lets time pass to the next thing the engine does, and does it.
    pub fn wake(&mut self) -> Vec<EngineOutput> {
        if let Some(at) = self.engine.next_wake() {
            self.now = self.now.max(at);
        }
        self.input(EngineInput::Tick)
    }

    /// Lets time pass until the engine has nothing left to do.
    pub fn run_dry(&mut self) -> Vec<EngineOutput> {
        let mut outputs = Vec::new();
        while self.engine.next_wake().is_some() {
            outputs.extend(self.wake());
        }
        outputs
    }

    /// Sends an order; gives its answer.
    pub fn send(&mut self, order: EngineOrder) -> OrderResponse {
        let outputs = self.input(EngineInput::Order(order));
        outputs
            .into_iter()
            .find_map(|output| match output {
                EngineOutput::OrderResponse(answer) => Some(answer),
                _ => None,
            })
            .expect("an order is answered")
    }

    /// Phase of a slot now.
    pub fn phase(&self, slot: u64) -> Option<EngineSlotPhase> {
        let report = self.engine.current_report();
        let found = report
            .slots
            .into_iter()
            .find(|one| one.slot == SlotId(slot));
        found.map(|one| one.phase)
    }
}

/// Positions of the tokens that a request was given, in order.
pub fn positions(outputs: &[EngineOutput], handle: u64) -> Vec<u32> {
    let ranges = outputs.iter().filter_map(|output| match output {
        EngineOutput::Tokens {
            request,
            from,
            count,
        } if *request == RequestHandle(handle) => Some(*from..from + count),
        _ => None,
    });
    ranges.flatten().collect()
}

/// Place among the outputs of a request's end.
pub fn end_of(outputs: &[EngineOutput], handle: u64) -> Option<(usize, FinishReason)> {
    outputs
        .iter()
        .enumerate()
        .find_map(|(place, output)| match output {
            EngineOutput::Finished(request, reason) if *request == RequestHandle(handle) => {
                Some((place, *reason))
            }
            _ => None,
        })
}

/// Runs a property over the same cases in every run.
pub fn check_property<S: proptest::strategy::Strategy>(
    strategy: S,
    test: impl Fn(S::Value) -> Result<(), proptest::test_runner::TestCaseError>,
) {
    use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
    let config = Config {
        cases: 128,
        failure_persistence: None,
        ..Config::default()
    };
    let random = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    TestRunner::new_with_rng(config, random)
        .run(&strategy, test)
        .unwrap();
}
