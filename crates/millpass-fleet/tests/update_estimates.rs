//! Guards against updates that consist mostly of ready estimates: with hundreds of models waiting for
//! an engine, some estimate moves in every planning round, and each gateway was sent all of them.

mod harness;

use harness::documents::{self, EngineCapacity, engine_document};
use harness::engines::{SwappingEngine, model};
use harness::{Leader, at, encoded_size, record};
use millpass_fleet::{DocumentHistory, FleetOutput};
use millpass_proto::*;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeMap, BTreeSet};

const MODELS: u64 = 530;
const ENGINES: u64 = 90;
const GATEWAYS: u64 = 61;
const PASS_MILLIS: u64 = 5;
const CONNECTED: u64 = 10_000;
/// Time from which demand is reported.
const DEMAND: u64 = 11_000;
/// Time from which updates are counted: the planner swaps models continuously.
const COUNTED: u64 = 13_000;
const END: u64 = 16_000;

fn document() -> DeploymentDocument {
    let capacity = EngineCapacity {
        weights_kilobytes: 230,
        adapter_slots: 8,
        milliloads_per_second: 20_000,
    };
    let models = (0..MODELS).map(|number| EngineModelSpec {
        load_millis: 10_000,
        ..documents::model(&model(number).0, 70, 4)
    });
    engine_document(models.collect(), &capacity)
}

/// Returns demand for a model, the first ones being more popular. Unmet if no engine holds it.
fn demand(random: &mut ChaCha8Rng, held: &BTreeSet<ModelName>) -> GatewayModelDemand {
    let popularity = random.random_range(0..MODELS) * random.random_range(0..MODELS) / MODELS;
    let model = model(popularity);
    GatewayModelDemand {
        service: "text".into(),
        unserved: u32::from(!held.contains(&model)),
        model,
        adapter: None,
        arrivals: 1,
        in_flight: 0,
        priority: 1,
        unread_tokens: 500,
        refused_full: 0,
    }
}

/// Each of 61 gateways receives five requests a second for 530 models, of which 270 are loaded.
#[test]
fn updates_with_ready_estimates_are_bounded() {
    let mut leader = Leader::new(0, 0);
    leader.documents = DocumentHistory::new();
    leader.documents.record(at(0), &document().into());
    let names = |from: u64, count: u64| (from..from + count).map(|it| it % MODELS);
    let engines = (0..ENGINES)
        .map(|number| SwappingEngine::new(number, names(number * 3, 3), names(number * 6, 20)));
    let mut engines: BTreeMap<InstanceId, SwappingEngine> = engines
        .map(|engine| (record(engine.number).instance, engine))
        .collect();
    for engine in engines.values() {
        leader
            .fleet
            .handle_announcement(at(0), engine.record(), false);
    }
    for gateway in 0..GATEWAYS {
        leader.report(CONNECTED, gateway, 1);
    }
    let mut random = ChaCha8Rng::seed_from_u64(7);
    let (mut updates, mut bytes, mut loads) = (0_usize, 0_usize, 0_usize);
    for now in (CONNECTED..END).step_by(PASS_MILLIS as usize) {
        for engine in engines.values_mut() {
            if let Some(announced) = engine.advance(now) {
                leader.fleet.handle_announcement(at(now), announced, false);
            }
        }
        let held: BTreeSet<ModelName> = engines
            .values()
            .flat_map(|engine| &engine.held)
            .map(|held| held.model.clone())
            .collect();
        let reporting =
            (0..GATEWAYS).filter(|gateway| (now / PASS_MILLIS + gateway).is_multiple_of(40));
        for gateway in reporting.filter(|_| now >= DEMAND) {
            leader.report_demand(now, gateway, vec![demand(&mut random, &held)]);
        }
        for output in leader.run(now) {
            match output {
                FleetOutput::ReadEngine { instance, .. } => {
                    let state = engines[&instance].state();
                    leader.respond(now, &instance, &state);
                }
                FleetOutput::Instruct(instruction) => {
                    let is_load = instruction.operation == InstructionOperation::Load;
                    loads += usize::from(is_load && now >= COUNTED);
                    let engine = engines.get_mut(&instruction.instance).expect("known");
                    engine.start(now, &instruction);
                    let accepted = InstructionResult::Accepted;
                    leader.respond(now, &instruction.instance, &accepted);
                }
                FleetOutput::Update { update, .. } if now >= COUNTED => {
                    updates += 1;
                    bytes += encoded_size(&update);
                }
                _ => {}
            }
        }
    }
    let seconds = (END - COUNTED) as f64 / 1_000.0;
    let per_gateway = |count: usize| count as f64 / GATEWAYS as f64 / seconds;
    let (updates, bytes) = (per_gateway(updates), per_gateway(bytes));
    let loads = loads as f64 / seconds;
    println!("{updates:.1} updates/s and {bytes:.0} bytes/s at each gateway, {loads:.0} loads/s");
    assert!(updates <= 18.0, "{updates} updates/s");
    // The control overhead of a node may be 17 KB/s.
    assert!(bytes <= 14_000.0, "{bytes} bytes/s");
}
