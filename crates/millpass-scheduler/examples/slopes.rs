//! Benchmarks the state and the scheduler at a quarter, a half and all of the largest deployment:
//! `apply`, `decide`, report handling, snapshots and memory.
//!
//! Run: `cargo run --release -p millpass-scheduler --example slopes`, optionally with `-- 4`, `--
//! 2` or `-- 1` for a single size. Resident memory is exact only for the first size of a process.

#[path = "../../millpass-state/tests/support/mod.rs"]
mod support;

use millpass_proto::*;
use millpass_scheduler::{Scheduler, SchedulerSettings};
use millpass_state::State;
use std::time::Instant;
use support::*;

/// The largest deployment.
const FULL: Size = Size {
    models: 410,
    adapters: 1_800,
    engines: 6_800,
    routers: 490,
};
const ACCELERATORS: usize = 4;
const ACCELERATOR_BYTES: u64 = 80 * GIB;
/// Claims begun and finished.
const CLAIMS: u64 = 200_000;
const ROUNDS: u64 = 50;
/// Accelerators per placed replica.
const ACCELERATORS_PER_PLACED_REPLICA: usize = 4;
/// Exceeds the scheduler's learning period.
const LEARNING_MILLIS: u64 = 11_000;

#[derive(Clone, Copy)]
struct Size {
    models: usize,
    adapters: usize,
    engines: usize,
    routers: usize,
}

impl Size {
    fn divided_by(self, divisor: usize) -> Size {
        Size {
            models: self.models / divisor,
            adapters: self.adapters / divisor,
            engines: self.engines / divisor,
            routers: self.routers / divisor,
        }
    }
}

fn main() {
    let only = std::env::args().nth(1);
    let only = only.and_then(|divisor| divisor.parse::<usize>().ok());
    for divisor in [4, 2, 1] {
        if only.is_none_or(|only| only == divisor) {
            measure(FULL.divided_by(divisor));
        }
    }
}

fn measure(size: Size) {
    println!(
        "size models={} adapters={} engines={} accelerators={} routers={}",
        size.models,
        size.adapters,
        size.engines,
        size.engines * ACCELERATORS,
        size.routers
    );
    let resident_before = resident_bytes();
    let mut fixture = Fixture::default();
    build_catalog(&mut fixture, size);
    build_engines(&mut fixture, size);
    place_replicas(&mut fixture, size);
    attach_adapters(&mut fixture, size);
    let resident = resident_bytes().saturating_sub(resident_before);
    report_snapshot("state", &fixture.state, resident);
    measure_rounds(&fixture, size);
    let resident_before = resident_bytes();
    measure_claims(&mut fixture);
    let resident = resident_bytes().saturating_sub(resident_before);
    report_snapshot("state_with_claims", &fixture.state, resident);
}

fn build_catalog(fixture: &mut Fixture, size: Size) {
    let replicas = (size.engines * ACCELERATORS) as u32;
    let begin = Instant::now();
    for model in 0..size.models {
        let spec = model_spec(1 + model as u32 % 2, 0, replicas, 8);
        fixture.model(
            &format!("model-{model}"),
            spec,
            (4 + model as u64 % 24) * GIB,
        );
    }
    for adapter in 0..size.adapters {
        let model = format!("model-{}", adapter % size.models);
        fixture.adapter(&format!("adapter-{adapter}"), &model, GIB / 4);
    }
    rate("catalog_changes", size.models * 2 + size.adapters, begin);
}

fn build_engines(fixture: &mut Fixture, size: Size) {
    let begin = Instant::now();
    for number in 0..size.engines {
        let zone = format!("zone-{}", number % 4);
        fixture.engine(&engine_name(number), &zone, ACCELERATORS, ACCELERATOR_BYTES);
    }
    rate("registrations", size.engines, begin);
}

fn engine_name(number: usize) -> String {
    format!("engine-{number:05}")
}

fn place_replicas(fixture: &mut Fixture, size: Size) {
    let replicas = size.engines * ACCELERATORS / ACCELERATORS_PER_PLACED_REPLICA;
    let mut commands = Vec::new();
    let mut slots_of = vec![0_u32; size.models];
    for number in 0..replicas {
        let model = number % size.models;
        let mut place = fixture.placement(
            &format!("model-{model}"),
            &engine_name(number * 7 % size.engines),
        );
        place.expected_slots = slots_of[model];
        slots_of[model] += 1;
        commands.push(Command::PlaceReplica(place));
    }
    let begin = Instant::now();
    for command in commands {
        fixture.must(command);
    }
    rate("placements", replicas, begin);
    let orders = fixture.state.outstanding_orders();
    let begin = Instant::now();
    for order in &orders {
        fixture.must(settle_order(order, None));
    }
    rate("settlements", orders.len(), begin);
}

fn attach_adapters(fixture: &mut Fixture, size: Size) {
    for number in 0..size.adapters {
        let model = ModelName::from(format!("model-{}", number % size.models));
        let replicas = fixture.state.replicas_of(&model);
        let slot = replicas[number % replicas.len()].slot;
        let adapter = format!("adapter-{number}").into();
        fixture.must(Command::AttachAdapter(AdapterDecision { slot, adapter }));
    }
    for order in fixture.state.outstanding_orders() {
        fixture.must(settle_order(&order, None));
    }
}

fn measure_claims(fixture: &mut Fixture) {
    let mut spent = Duration::ZERO;
    for number in 0..CLAIMS {
        let (begin, finish) = claim_commands(number);
        let started = Instant::now();
        for command in [&begin, &finish] {
            fixture.index += 1;
            fixture.state.apply(position(fixture.index), command);
        }
        spent += started.elapsed();
    }
    print_rate("claims_begun_and_finished", CLAIMS as usize, spent);
    assert_eq!(fixture.state.claim_count(), CLAIMS as usize);
}

fn claim_commands(number: u64) -> (Command, Command) {
    let begin = ClaimBegin {
        tenant: format!("tenant-{}", number % 16).into(),
        key: format!("key-{number:032}").into(),
        digest: "d".repeat(64),
        created_unix_millis: number,
        router: format!("router-{}", number % 490).into(),
        router_incarnation: Incarnation(1),
        attempt: number,
        at_unix_millis: number,
    };
    let response = RecordedAnswer {
        status: 200,
        content_type: "application/json".to_owned(),
        body: vec![b'x'; 200].into(),
    };
    let finish = ClaimFinish {
        tenant: begin.tenant.clone(),
        key: begin.key.clone(),
        router: begin.router.clone(),
        router_incarnation: begin.router_incarnation,
        attempt: begin.attempt,
        conclusion: ClaimConclusion::Answered(response),
    };
    (Command::BeginClaim(begin), Command::FinishClaim(finish))
}

fn measure_rounds(fixture: &Fixture, size: Size) {
    let mut scheduler = Scheduler::new(SchedulerSettings::default());
    let mut now = Timestamp::from_millis(1_000);
    observe_engines(&mut scheduler, fixture, now);
    let mut sequence = 0;
    observe_routers(&mut scheduler, now, size, &mut sequence, 0);
    now = now + Duration::from_millis(LEARNING_MILLIS);
    for (name, cold_every) in [("decide_idle", 0), ("decide_waiting", 10)] {
        let mut times = Vec::new();
        let mut commands = 0;
        for _ in 0..ROUNDS {
            now = now + Duration::from_millis(200);
            observe_routers(&mut scheduler, now, size, &mut sequence, cold_every);
            let begin = Instant::now();
            commands += scheduler.decide(now, &fixture.state).len();
            times.push(begin.elapsed());
        }
        times.sort();
        println!(
            "{name} rounds={ROUNDS} p50_us={} max_us={} commands={commands}",
            times[times.len() / 2].as_micros(),
            times[times.len() - 1].as_micros()
        );
    }
    let spent = observe_routers(&mut scheduler, now, size, &mut sequence, 10);
    print_rate("router_reports", size.routers, spent);
    let begin = Instant::now();
    for model in 0..size.models {
        let model = format!("model-{model}").into();
        std::hint::black_box(scheduler.ready_estimate(now, &fixture.state, &model));
    }
    rate("outlooks", size.models, begin);
}

fn observe_engines(scheduler: &mut Scheduler, fixture: &Fixture, now: Timestamp) {
    let backends = fixture.state.backends();
    let begin = Instant::now();
    for (number, backend) in backends.iter().enumerate() {
        let registration = &backend.registration;
        let cached = (0..20).map(|one| CheckpointReport {
            checkpoint: format!("model-{}/v1", (number + one * 13) % FULL.models),
            tier: if one < 4 {
                CheckpointTier::Memory
            } else {
                CheckpointTier::Disk
            },
        });
        let report = EngineReport {
            backend: registration.backend.clone(),
            incarnation: registration.incarnation,
            zone: registration.zone.clone(),
            role: EngineRole::Mixed,
            sequence: 1,
            highest_fence: LogPosition::ZERO,
            accelerator_bytes: registration.accelerator_bytes.clone(),
            used_bytes: Vec::new(),
            slots: Vec::new(),
            checkpoints: cached.collect(),
        };
        scheduler.observe_engine(now, &report);
    }
    rate("engine_reports", backends.len(), begin);
}

/// Reports a tenth of the models from every router. Every `cold_every`-th model has a backlog
/// beyond the concurrency of its replicas; zero disables backlogs.
fn observe_routers(
    scheduler: &mut Scheduler,
    now: Timestamp,
    size: Size,
    sequence: &mut u64,
    cold_every: usize,
) -> Duration {
    let mut spent = Duration::ZERO;
    *sequence += 1;
    for router in 0..size.routers {
        let models = (0..size.models).filter(|model| (model + router) % 10 == 0);
        let demand = models.map(|model| {
            let cold = cold_every > 0 && model % cold_every == 0;
            ModelDemand {
                model: format!("model-{model}").into(),
                adapter: None,
                waiting: if cold { 20 } else { 0 },
                in_flight: 1,
                arrivals: *sequence,
                oldest_wait_millis: 10,
                most_urgent: Urgency::Normal,
            }
        });
        let report = RouterReport {
            sequence: *sequence,
            configuration: ConfigurationRevision(0),
            placement: PlacementRevision(0),
            demand: demand.collect(),
            observations: Vec::new(),
            draining: false,
        };
        let name = format!("router-{router}").into();
        let begin = Instant::now();
        scheduler.observe_router(now, &name, Incarnation(1), &report);
        spent += begin.elapsed();
    }
    spent
}

fn report_snapshot(name: &str, state: &State, resident: u64) {
    let begin = Instant::now();
    let bytes = state.encode();
    let encode = begin.elapsed();
    let begin = Instant::now();
    let decoded = State::decode(&bytes).expect("decodes");
    let decode = begin.elapsed();
    assert!(decoded == *state);
    println!(
        "{name} snapshot_kib={} resident_kib={} encode_ms={} decode_ms={}",
        bytes.len() / 1024,
        resident / 1024,
        encode.as_millis(),
        decode.as_millis()
    );
}

fn rate(name: &str, count: usize, begin: Instant) {
    print_rate(name, count, begin.elapsed());
}

fn print_rate(name: &str, count: usize, spent: Duration) {
    let seconds = spent.as_secs_f64();
    println!(
        "{name} count={count} per_second={:.0} micros_each={:.2}",
        count as f64 / seconds,
        seconds * 1e6 / count as f64
    );
}

/// Resident memory of this process, or zero if unavailable. The difference of two readings is an
/// upper bound of retained memory, as the allocator keeps freed pages.
fn resident_bytes() -> u64 {
    let statistics = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = statistics.split_whitespace().nth(1);
    pages
        .and_then(|pages| pages.parse::<u64>().ok())
        .unwrap_or(0)
        * 4_096
}
