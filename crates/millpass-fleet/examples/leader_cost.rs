//! Processor time of the leader's core at the sizes of growing deployments: one round of planning
//! with many needs that nobody serves, and the updates of gateways.
//!
//! `cargo run --release -p millpass-fleet --example leader_cost`

use millpass_fleet::{
    DocumentHistory, Fleet, FleetOutput, FleetSettings, GatewayContext, InstructionHistory,
};
use millpass_proto::*;
use std::time::Instant;

/// One size: engines, models, gateways, needs that nobody serves.
const SIZES: [(usize, usize, u64, usize); 4] = [
    (18, 61, 7, 10),
    (140, 288, 70, 60),
    (600, 350, 200, 100),
    (6_800, 410, 490, 200),
];
const ROUNDS: u64 = 20;
const HELD_MODELS: usize = 3;

const NOBODY: GatewayContext<'static> = GatewayContext {
    as_of: 0,
    members: &Vec::new,
    departed: &Vec::new,
    documents: &DocumentHistory::new(),
};

fn document(models: usize) -> DeploymentDocument {
    let model = |number: usize| EngineModelSpec {
        name: format!("model-{number}").into(),
        weights_kilobytes: 60,
        load_millis: 2_000,
        disk_load_millis: 800,
        memory_load_millis: 400,
        adapters: 4,
        adapter_kilobytes: 1,
    };
    DeploymentDocument {
        version: 1,
        routes: Vec::new(),
        services: vec![ServiceSpec {
            name: "text".into(),
            health_path: String::new(),
            maximum_connections: 0,
            engine: Some(EngineSpec {
                slots: 64,
                cache_tokens: 200_000,
                weights_kilobytes: 200,
                adapter_slots: 8,
                milliloads_per_second: 4_000,
                models: (0..models).map(model).collect(),
            }),
        }],
        limits: CallerLimits {
            header_bytes: 0,
            body_bytes: 0,
            header_millis: 0,
            idle_millis: 0,
        },
        tenants: Vec::new(),
    }
}

fn record(engine: usize, models: usize) -> InstanceRecord {
    let name = |number: usize| -> ModelName { format!("model-{}", number % models).into() };
    let held = |number| HeldModel {
        model: name(engine + number),
        adapters: Vec::new(),
    };
    InstanceRecord {
        instance: format!("engine-{engine}").into(),
        service: "text".into(),
        address: format!("10.0.0.1:{engine}"),
        zone: "z".into(),
        slots: 64,
        draining: false,
        warmup_millis: 0,
        sequence: 1,
        // Half of the models are held by nobody.
        models: (0..HELD_MODELS)
            .map(|number| held(number * 2))
            .filter(|held| held.model.0.len().is_multiple_of(2) || models < 100)
            .collect(),
        in_memory: Vec::new(),
        on_disk: (0..6).map(|number| name(engine + number)).collect(),
    }
}

fn report(gateway: u64, needs: usize, models: usize) -> GatewayReport {
    let need = |number: usize| ModelNeed {
        service: "text".into(),
        model: format!("model-{}", number * 7 % models).into(),
        adapter: None,
        unserved: 1,
        arrivals: 1,
        in_flight: 1,
        priority: 1,
        unread_tokens: 4_000,
    };
    GatewayReport {
        gateway: format!("gateway-{gateway}"),
        zone: "z".into(),
        sequence: 1,
        version: 1,
        needs: (0..needs).map(need).collect(),
        doubted: Vec::new(),
        sent: Vec::new(),
        as_of: 0,
        known_instances: Vec::new(),
    }
}

fn main() {
    println!(
        "engines models gateways needs | ms first | ms a round | ms a report | orders | updates"
    );
    for (engines, models, gateways, needs) in SIZES {
        let document = document(models);
        let mut fleet = Fleet::new(FleetSettings {
            order_handover: Duration::ZERO,
            ..FleetSettings::default()
        });
        let begin = Timestamp::from_millis(1_000);
        let history = InstructionHistory::new(Timestamp::ZERO, Duration::ZERO);
        fleet.begin(begin, std::iter::empty(), std::iter::empty(), &history);
        for engine in 0..engines {
            let record = record(engine, models);
            let state = EngineState {
                revision: 0,
                busy: false,
                models: record.models.clone(),
                in_memory: Vec::new(),
                on_disk: record.on_disk.clone(),
                coming: Vec::new(),
            };
            let instance = record.instance.clone();
            fleet.announce(begin, record, false);
            fleet.answered(begin, &instance, &InstructionAnswer::State(state));
        }
        let (mut orders, mut updates) = (0, 0);
        let mut planning = std::time::Duration::ZERO;
        let mut first = std::time::Duration::ZERO;
        let mut reporting = std::time::Duration::ZERO;
        for round in 0..ROUNDS {
            let now = Timestamp::from_millis(2_000 + round * 400);
            for gateway in 0..gateways {
                let report = report(gateway, needs.div_ceil(4), models);
                let started = Instant::now();
                fleet.report(now, gateway, &report);
                reporting += started.elapsed();
            }
            let started = Instant::now();
            for output in fleet.run(now, 1, Some(&document), &NOBODY) {
                match output {
                    FleetOutput::Instruct(_) => orders += 1,
                    FleetOutput::Update { .. } => updates += 1,
                    _ => {}
                }
            }
            if round == 0 {
                first = started.elapsed();
            } else {
                planning += started.elapsed();
            }
        }
        let a_round = planning.as_secs_f64() * 1_000.0 / (ROUNDS - 1) as f64;
        let first = first.as_secs_f64() * 1_000.0;
        let a_report = reporting.as_secs_f64() * 1_000.0 / (ROUNDS * gateways) as f64;
        println!(
            "{engines:7} {models:6} {gateways:8} {needs:5} | {first:8.3} | {a_round:10.3} | {a_report:11.4} | \
             {orders:6} | {updates:7}"
        );
    }
}
