//! Measures the leader's CPU time at several deployment sizes: one planning round with much unmet
//! demand, and gateway updates after reconnects, a route change and no change at all.
//!
//! `cargo run --release -p millpass-fleet --example leader_cost`

use millpass_fleet::{
    CallResult, DocumentHistory, Fleet, FleetOutput, FleetSettings, GatewayContext,
    InstructionHistory,
};
use millpass_proto::{SoftwareStatement, codec, *};
use std::collections::BTreeMap;
use std::time::Instant;

/// Engines, models, gateways and unmet demands of each size.
const SIZES: [(usize, usize, u64, usize); 4] = [
    (18, 61, 7, 10),
    (140, 288, 70, 60),
    (600, 350, 200, 100),
    (6_800, 410, 490, 200),
];
const ROUNDS: u64 = 20;
const HELD_MODELS: usize = 3;

const EMPTY_CONTEXT: GatewayContext<'static> = GatewayContext {
    as_of: 0,
    members: &Vec::new,
    departed: &|_| Vec::new(),
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
        // No engine holds the other half of the models.
        models: (0..HELD_MODELS)
            .map(|number| held(number * 2))
            .filter(|held| held.model.0.len().is_multiple_of(2) || models < 100)
            .collect(),
        in_memory: Vec::new(),
        on_disk: (0..6).map(|number| name(engine + number)).collect(),
        software: SoftwareStatement::default(),
    }
}

fn report(gateway: u64, needs: usize, models: usize) -> GatewayReport {
    let need = |number: usize| GatewayModelDemand {
        service: "text".into(),
        model: format!("model-{}", number * 7 % models).into(),
        adapter: None,
        unserved: 1,
        arrivals: 1,
        in_flight: 1,
        priority: 1,
        unread_tokens: 4_000,
        refused_full: 0,
    };
    GatewayReport {
        gateway: format!("gateway-{gateway}"),
        zone: "z".into(),
        sequence: 1,
        version: 1,
        demand: (0..needs).map(need).collect(),
        inconsistent: Vec::new(),
        in_flight: Vec::new(),
        as_of: 0,
        known_instance_digests: Vec::new(),
        paces: Vec::new(),
    }
}

fn main() {
    measure_planning();
    measure_updates();
}

/// Gateways and instances of each size in the update measurement.
const UPDATE_SIZES: [(u64, usize); 4] = [(70, 144), (70, 3_000), (490, 144), (490, 3_000)];
/// Results in a document of about 34 kB.
const ROUTES: usize = 370;
/// Departed instances kept in the log.
const DEPARTED: usize = 256;

fn route(number: usize) -> RouteSpec {
    RouteSpec {
        name: format!("route-of-the-document-{number}"),
        host: format!("host-{}.example.org", number % 40),
        path_prefix: format!("/path/of/route/{number}/"),
        kind: RouteKind::Repeatable,
        resumable: false,
        timeout_millis: 1_000,
        objective_millis: 300,
        gap_objective_millis: 0,
        priority: 1,
        maximum_attempts: 3,
        prompt_affinity: false,
        targets: vec![RouteTarget {
            service: format!("service-{}", number % 20).into(),
            weight: 100,
        }],
        first_event_millis: 0,
        anonymous: false,
    }
}

/// Returns a document whose services have no engines.
fn document_without_engines() -> DeploymentDocument {
    let mut document = document(0);
    document.services = (0..20)
        .map(|number| ServiceSpec {
            name: format!("service-{number}").into(),
            health_path: "/health".to_owned(),
            maximum_connections: 0,
            engine: None,
        })
        .collect();
    document
}

fn load(engine: usize) -> InstanceLoad {
    InstanceLoad {
        instance: record(engine, 1).instance,
        in_flight: 2,
    }
}

/// Cost of one step at the leader: CPU time, encoding time and bytes sent.
#[derive(Default)]
struct Cost {
    core: std::time::Duration,
    encoding: std::time::Duration,
    bytes: usize,
    updates: u64,
}

struct UpdateRun {
    fleet: Fleet,
    documents: DocumentHistory,
    now: u64,
}

impl UpdateRun {
    /// Delivers gateway reports and measures the updates sent in response.
    fn exchange(&mut self, reports: &[(u64, GatewayReport)], document: &SharedDocument) -> Cost {
        let mut cost = Cost::default();
        self.now += 1_000;
        let now = Timestamp::from_millis(self.now);
        let departed = |_| -> Vec<InstanceId> {
            let instances = 0..DEPARTED;
            instances
                .map(|number| format!("i-gone-{number:06}").into())
                .collect()
        };
        let context = GatewayContext {
            as_of: 0,
            members: &Vec::new,
            departed: &departed,
            documents: &self.documents,
        };
        let started = Instant::now();
        for (connection, report) in reports {
            self.fleet.handle_report(now, *connection, report);
        }
        let outputs = self.fleet.run(now, 1, Some(document), &context);
        cost.core = started.elapsed();
        for output in outputs {
            let FleetOutput::Update { update, .. } = output else {
                continue;
            };
            let message = ControlToRouter::Gateway(*update);
            let started = Instant::now();
            cost.bytes += codec::encode(&message).map_or(0, |bytes| bytes.len());
            cost.encoding += started.elapsed();
            cost.updates += 1;
        }
        cost
    }
}

fn reports(
    gateways: u64,
    first_connection: u64,
    version: u64,
    held: &[u64],
) -> Vec<(u64, GatewayReport)> {
    let reports = (0..gateways).map(|gateway| {
        let mut report = report(gateway, 0, 1);
        report.version = version;
        report.known_instance_digests = held.to_vec();
        (first_connection + gateway, report)
    });
    reports.collect()
}

fn measure_updates() {
    println!();
    println!(
        "gateways instances | step               | updates | bytes each | ms core | ms encoding"
    );
    for (gateways, instances) in UPDATE_SIZES {
        let mut first = document_without_engines();
        first.routes = (0..ROUTES).map(route).collect();
        let first = SharedDocument::from(first);
        let mut run = UpdateRun {
            fleet: Fleet::new(FleetSettings {
                instance_timeout: Duration::from_secs(3_600),
                ..FleetSettings::default()
            }),
            documents: DocumentHistory::new(),
            now: 1_000,
        };
        run.documents.record(Timestamp::ZERO, &first);
        let begin = Timestamp::ZERO;
        let history = InstructionHistory::new(begin, Duration::ZERO);
        run.fleet
            .start_leading(begin, std::iter::empty(), std::iter::empty(), &history);
        let mut held = Vec::new();
        for number in 0..instances {
            let mut record = record(number, 288);
            record.service = format!("service-{}", number % 20).into();
            held.push(record.digest());
            run.fleet.handle_announcement(begin, record, false);
        }
        let print_cost = |step: &str, cost: &Cost| {
            println!(
                "{gateways:8} {instances:9} | {step:18} | {:7} | {:10} | {:7.2} | {:11.2}",
                cost.updates,
                cost.bytes / cost.updates.max(1) as usize,
                cost.core.as_secs_f64() * 1_000.0,
                cost.encoding.as_secs_f64() * 1_000.0,
            );
        };
        let first_reports = reports(gateways, 0, 0, &[]);
        print_cost("first connection", &run.exchange(&first_reports, &first));
        run.exchange(&reports(gateways, 0, 1, &[]), &first);
        run.now += 60_000;
        for connection in 0..gateways {
            run.fleet
                .handle_disconnect(Timestamp::from_millis(run.now), connection);
        }
        let again = reports(gateways, 1_000, 1, &held);
        print_cost("reconnect", &run.exchange(&again, &first));
        run.exchange(&reports(gateways, 1_000, 1, &[]), &first);
        print_cost(
            "nothing changed",
            &run.exchange(&reports(gateways, 1_000, 1, &[]), &first),
        );
        let mut busy = reports(gateways, 1_000, 1, &[]);
        for (_, report) in &mut busy {
            report.in_flight = (0..64).map(load).collect();
        }
        run.exchange(&busy, &first);
        print_cost("loads unchanged", &run.exchange(&busy, &first));
        let mut next = DeploymentDocument::clone(&first);
        next.version = 2;
        next.routes[7].timeout_millis += 1;
        let next = SharedDocument::from(next);
        run.documents.record(Timestamp::from_millis(run.now), &next);
        print_cost("one route changed", &run.exchange(&[], &next));
    }
    let mut document = document_without_engines();
    document.routes = (0..ROUTES).map(route).collect();
    println!("document: {} bytes", codec::encoded_bytes(&document));
}

fn measure_planning() {
    println!(
        "engines models gateways needs | ms first | ms a round | ms a report | orders | updates"
    );
    for (engines, models, gateways, needs) in SIZES {
        let document = document(models).into();
        let mut fleet = Fleet::new(FleetSettings {
            order_handover: Duration::ZERO,
            ..FleetSettings::default()
        });
        let begin = Timestamp::from_millis(1_000);
        let history = InstructionHistory::new(Timestamp::ZERO, Duration::ZERO);
        fleet.start_leading(begin, std::iter::empty(), std::iter::empty(), &history);
        let mut states = BTreeMap::new();
        for engine in 0..engines {
            let record = record(engine, models);
            let state = EngineState {
                revision: 0,
                busy: false,
                models: record.models.clone(),
                in_memory: Vec::new(),
                on_disk: record.on_disk.clone(),
                loading_adapters: Vec::new(),
            };
            let instance = record.instance.clone();
            fleet.handle_announcement(begin, record, false);
            states.insert(instance, state);
        }
        for output in fleet.run(begin, 1, Some(&document), &EMPTY_CONTEXT) {
            let FleetOutput::ReadEngine { instance, call, .. } = output else {
                continue;
            };
            let state = states.remove(&instance).expect("each engine is read once");
            let answer = CallResult {
                instance,
                call,
                result: InstructionResult::State(state),
                queue_time: Duration::ZERO,
                response_time: Duration::ZERO,
            };
            fleet.handle_call_result(begin, &answer);
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
                fleet.handle_report(now, gateway, &report);
                reporting += started.elapsed();
            }
            let started = Instant::now();
            for output in fleet.run(now, 1, Some(&document), &EMPTY_CONTEXT) {
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
