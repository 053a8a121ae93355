//! Guards against models and adapters that are requested again and again and never loaded, because
//! others always have more requests.

mod harness;

use harness::documents::{self, EngineCapacity, engine_document};
use harness::engines::{SwappingEngine, model};
use harness::{Leader, at, record};
use millpass_fleet::{DocumentHistory, FleetOutput};
use millpass_proto::*;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeMap, VecDeque};

const MODELS: u64 = 530;
const ENGINES: u64 = 90;
const PASS_MILLIS: u64 = 5;
/// Interval at which each gateway reports its demand.
const REPORT_MILLIS: u64 = 100;
/// Time after which a refused caller returns once: a load from a local copy takes a second.
const RETRY_MILLIS: u64 = 1_500;
const CONNECTED: u64 = 10_000;
const DEMAND: u64 = 11_000;
const END: u64 = 61_000;
/// Time over which something is requested in vain before it is due for a turn.
const TURN_AFTER: u64 = 5_000;
/// Time in which each model gets one turn, of which a quarter of the engines prepare one at a time, each
/// in a second.
const ROTATION: u64 = MODELS * 1_000 * 4 / ENGINES;

/// Load of a run.
#[derive(Clone, Debug)]
struct Demand {
    seed: u64,
    gateways: u64,
    /// Number of models that most requests are for.
    hot: u64,
    /// Requests a second for the hot models together.
    hot_rate: u64,
    /// Interval between two requests for each of the other models, in milliseconds.
    rare_interval: u64,
    /// Every so many of the rare models are requested with an adapter.
    adapter_every: u64,
}

struct Outcome {
    /// Longest time between a first request that found nothing and the next that was served, or the
    /// end, and what it was for.
    longest_wait: (u64, u64),
    /// Fraction of the requests for hot models that were served.
    hot_served: f64,
    loads: usize,
}

/// Copies of each model are on three engines, spread over all of them.
fn has_copy(engine: u64, model: u64) -> bool {
    [7, 31, 53]
        .iter()
        .any(|factor| (model * factor + factor) % ENGINES == engine)
}

fn document() -> DeploymentDocument {
    let capacity = EngineCapacity {
        weights_kilobytes: 230,
        adapter_slots: 8,
        milliloads_per_second: 40_000,
    };
    let models = (0..MODELS).map(|number| EngineModelSpec {
        load_millis: 10_000,
        ..documents::model(&model(number).0, 70, 4)
    });
    engine_document(models.collect(), &capacity)
}

/// Demand that the gateways have not reported yet, by gateway.
type Unreported = BTreeMap<u64, BTreeMap<(ModelName, Option<AdapterName>), GatewayModelDemand>>;

/// A leader with engines that swap models, and callers that are refused at once if nothing serves
/// them.
struct Run {
    demand: Demand,
    leader: Leader,
    engines: BTreeMap<InstanceId, SwappingEngine>,
    random: ChaCha8Rng,
    unreported: Unreported,
    /// Since when each model is requested in vain.
    waiting_since: BTreeMap<u64, u64>,
    /// Refused callers that return once, by time.
    retries: VecDeque<(u64, u64)>,
    outcome: Outcome,
    hot_requests: (u64, u64),
}

impl Run {
    fn new(demand: Demand) -> Run {
        let mut leader = Leader::new(0, 0);
        leader.documents = DocumentHistory::new();
        leader.documents.record(at(0), &document().into());
        let engines = (0..ENGINES).map(|number| {
            let held = (0..3).map(|place| number + place * ENGINES);
            let copies = (0..MODELS).filter(|model| has_copy(number, *model));
            SwappingEngine::new(number, held, copies)
        });
        let engines: BTreeMap<InstanceId, SwappingEngine> = engines
            .map(|engine| (record(engine.number).instance, engine))
            .collect();
        for engine in engines.values() {
            let announced = engine.record();
            leader.fleet.handle_announcement(at(0), announced, false);
        }
        for gateway in 0..demand.gateways {
            leader.report(CONNECTED, gateway, 1);
        }
        Run {
            random: ChaCha8Rng::seed_from_u64(demand.seed),
            demand,
            leader,
            engines,
            unreported: Unreported::new(),
            waiting_since: BTreeMap::new(),
            retries: VecDeque::new(),
            outcome: Outcome {
                longest_wait: (0, 0),
                hot_served: 0.0,
                loads: 0,
            },
            hot_requests: (0, 0),
        }
    }

    fn request(&mut self, now: u64, number: u64, is_retry: bool) {
        let name = model(number);
        let is_hot = number < self.demand.hot;
        let has_adapter = !is_hot && number.is_multiple_of(self.demand.adapter_every);
        let adapter: Option<AdapterName> = has_adapter.then(|| "a1".into());
        let mut engines = self.engines.values();
        let is_served = engines.any(|engine| engine.serves(&name, adapter.as_ref()));
        if is_hot {
            self.hot_requests.0 += u64::from(is_served);
            self.hot_requests.1 += 1;
        }
        if is_served {
            self.end_wait(now, number);
        } else {
            self.waiting_since.entry(number).or_insert(now);
            if !is_retry {
                self.retries.push_back((now + RETRY_MILLIS, number));
            }
        }
        let gateway = self.random.random_range(0..self.demand.gateways);
        let reported = self.unreported.entry(gateway).or_default();
        let entry = reported.entry((name.clone(), adapter.clone()));
        let entry = entry.or_insert_with(|| GatewayModelDemand {
            service: "text".into(),
            model: name,
            adapter,
            unserved: 0,
            arrivals: 0,
            in_flight: 0,
            priority: 1,
            unread_tokens: 0,
            refused_full: 0,
        });
        entry.unserved += u32::from(!is_served);
        entry.arrivals += 1;
        entry.unread_tokens += 500 * u64::from(is_served);
    }

    fn end_wait(&mut self, now: u64, number: u64) {
        if let Some(since) = self.waiting_since.remove(&number) {
            self.outcome.longest_wait = self.outcome.longest_wait.max((now - since, number));
        }
    }

    /// Sends the requests of one pass.
    fn request_all(&mut self, now: u64) {
        while let Some((_, number)) = self.retries.pop_front_if(|(at, _)| *at <= now) {
            self.request(now, number, true);
        }
        let hot_requests = self.demand.hot_rate * PASS_MILLIS;
        let count = hot_requests / 1_000
            + u64::from(self.random.random_range(0..1_000) < hot_requests % 1_000);
        for _ in 0..count {
            let number = self.random.random_range(0..self.demand.hot);
            self.request(now, number, false);
        }
        for number in self.demand.hot..MODELS {
            // Spread over the interval.
            let offset = number * 7_919 % self.demand.rare_interval;
            let phase = (now + offset) % self.demand.rare_interval;
            if phase < PASS_MILLIS {
                self.request(now, number, false);
            }
        }
    }

    fn report(&mut self, now: u64) {
        let passes = REPORT_MILLIS / PASS_MILLIS;
        for gateway in 0..self.demand.gateways {
            if (now / PASS_MILLIS + gateway).is_multiple_of(passes)
                && let Some(demand) = self.unreported.remove(&gateway)
            {
                let demand = demand.into_values().collect();
                self.leader.report_demand(now, gateway, demand);
            }
        }
    }

    fn run_leader(&mut self, now: u64) {
        for engine in self.engines.values_mut() {
            if let Some(announced) = engine.advance(now) {
                let fleet = &mut self.leader.fleet;
                fleet.handle_announcement(at(now), announced, false);
            }
        }
        for output in self.leader.run(now) {
            match output {
                FleetOutput::ReadEngine { instance, .. } => {
                    let state = self.engines[&instance].state();
                    self.leader.respond(now, &instance, &state);
                }
                FleetOutput::Instruct(instruction) => {
                    let is_load = instruction.operation == InstructionOperation::Load;
                    self.outcome.loads += usize::from(is_load);
                    let engine = self.engines.get_mut(&instruction.instance);
                    let result = engine.expect("a known engine").start(now, &instruction);
                    self.leader.respond(now, &instruction.instance, &result);
                }
                _ => {}
            }
        }
    }

    fn outcome(mut self) -> Outcome {
        for now in (CONNECTED..END).step_by(PASS_MILLIS as usize) {
            if now >= DEMAND {
                self.request_all(now);
                self.report(now);
            }
            self.run_leader(now);
        }
        let waiting: Vec<u64> = self.waiting_since.keys().copied().collect();
        for number in waiting {
            self.end_wait(END, number);
        }
        let (served, all) = self.hot_requests;
        self.outcome.hot_served = served as f64 / all.max(1) as f64;
        self.outcome
    }
}

fn check(demand: Demand) {
    let outcome = Run::new(demand.clone()).outcome();
    let (wait, number) = outcome.longest_wait;
    println!(
        "{demand:?}: model {number} waits for {wait} ms, {:.3} of the hot requests served, {} loads",
        outcome.hot_served, outcome.loads
    );
    let bound = TURN_AFTER + ROTATION + demand.rare_interval;
    assert!(wait <= bound, "model {number} waits for {wait} ms");
    assert!(outcome.hot_served >= 0.8, "{}", outcome.hot_served);
}

#[test]
fn every_requested_model_gets_its_turn_at_3_gateways() {
    check(Demand {
        seed: 1,
        gateways: 3,
        hot: 150,
        hot_rate: 400,
        rare_interval: 3_500,
        adapter_every: 5,
    });
}

#[test]
fn every_requested_model_gets_its_turn_at_986_gateways() {
    check(Demand {
        seed: 2,
        gateways: 986,
        hot: 150,
        hot_rate: 400,
        rare_interval: 3_500,
        adapter_every: 5,
    });
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 2,
        rng_seed: RngSeed::Fixed(7),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn every_requested_model_gets_its_turn_under_any_load(
        seed in 0_u64..1_000,
        gateways in prop::sample::select(vec![3_u64, 61, 986]),
        hot in 50_u64..200,
        hot_rate in 100_u64..800,
        rare_interval in 500_u64..8_000,
        adapter_every in 3_u64..20,
    ) {
        check(Demand { seed, gateways, hot, hot_rate, rare_interval, adapter_every });
    }
}
