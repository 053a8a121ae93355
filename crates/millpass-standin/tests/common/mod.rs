//! Test helpers: orders, requests and a driver that completes fetches immediately.
#![allow(dead_code)]

pub mod loopback;

use millpass_proto::*;
use millpass_standin::engine::*;

/// Model that the tests load.
pub const MODEL: &str = "narrator";

/// Small settings: one accelerator of 1,000 bytes, one cache byte per token.
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

pub fn fence(index: u64) -> LogPosition {
    LogPosition { term: 1, index }
}

/// Creates an order for `engine-1`, incarnation 1.
pub fn order(index: u64, action: OrderAction) -> EngineOrder {
    EngineOrder {
        fence: fence(index),
        backend: BackendName::from("engine-1"),
        incarnation: Incarnation(1),
        action,
    }
}

/// Creates a load of [`MODEL`] on accelerator 0.
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

/// Creates a request with ten prompt tokens for a slot.
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

/// An engine with its clock; completes every fetch immediately.
pub struct Driver {
    pub engine: EngineModel,
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

    /// Starts an engine with slot 1 loaded: 500 bytes of weights, 400 of cache.
    pub fn loaded(settings: EngineSettings) -> Self {
        let mut driver = Driver::new(settings);
        driver.input(EngineInput::Order(order(1, load(1, 500, 400))));
        driver.run_until_idle();
        driver
    }

    /// Applies an input; returns its outputs and those of the fetches that it caused.
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

    /// Advances the time to the next wake of the engine.
    pub fn wake(&mut self) -> Vec<EngineOutput> {
        if let Some(at) = self.engine.next_wake() {
            self.now = self.now.max(at);
        }
        self.input(EngineInput::Tick)
    }

    /// Advances the time until the engine is idle.
    pub fn run_until_idle(&mut self) -> Vec<EngineOutput> {
        let mut outputs = Vec::new();
        while self.engine.next_wake().is_some() {
            outputs.extend(self.wake());
        }
        outputs
    }

    /// Sends an order and returns the response.
    pub fn send(&mut self, order: EngineOrder) -> OrderResponse {
        let outputs = self.input(EngineInput::Order(order));
        outputs
            .into_iter()
            .find_map(|output| match output {
                EngineOutput::OrderResponse(response) => Some(response),
                _ => None,
            })
            .expect("no response to an order")
    }

    /// Current phase of a slot.
    pub fn phase(&self, slot: u64) -> Option<EngineSlotPhase> {
        let report = self.engine.current_report();
        let found = report
            .slots
            .into_iter()
            .find(|one| one.slot == SlotId(slot));
        found.map(|one| one.phase)
    }
}

/// Positions of the tokens emitted for a request, in order.
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

/// Index among the outputs, and reason, of a request's end.
pub fn end_of(outputs: &[EngineOutput], handle: u64) -> Option<(usize, FinishReason)> {
    outputs
        .iter()
        .enumerate()
        .find_map(|(index, output)| match output {
            EngineOutput::Finished(request, reason) if *request == RequestHandle(handle) => {
                Some((index, *reason))
            }
            _ => None,
        })
}

/// Checks a property with the same cases in every run.
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
