//! Measures steps per second on one thread and memory use with many waiting requests: `cargo run
//! --release -p millpass-routing --example steps`.

use millpass_proto::*;
use millpass_routing::*;
use std::time::Instant;

const MODELS: u64 = 410;
const TENANTS: u64 = 200;
const POLICIES: u64 = 20;
const REQUESTS: u64 = 500_000;
const WAITING: u64 = 10_000;
const ARRIVALS_PER_TICK: u64 = 50;
const LEASE_MILLIS: u64 = 3_600_000;

fn main() {
    let mut routing = Routing::new(settings(), Timestamp::ZERO);
    let mut now = Timestamp::from_millis(1);
    let report = routing.step(now, 0, RoutingInput::LinkUp);
    let sequence = sequence_of(&report);
    routing.step(now, 0, RoutingInput::Update(update(sequence)));
    let mut latencies = Vec::with_capacity(REQUESTS as usize);
    // The first round warms the caches; the second one is the measurement.
    for round in 0..2u64 {
        let started = Instant::now();
        let mut steps = 0u64;
        latencies.clear();
        for number in 0..REQUESTS {
            now = now + Duration::from_micros(20);
            let request = RequestNumber(round * REQUESTS + number + 1);
            let model = number * 7 % MODELS;
            let arrival = arrival(request, number % TENANTS, model, now);
            let before = Instant::now();
            let outputs = routing.step(now, 0, RoutingInput::Arrived(arrival));
            latencies.push(before.elapsed());
            assert!(matches!(outputs[0], RoutingOutput::Dispatch(_)));
            routing.step(now, 0, RoutingInput::FirstByte(request));
            let answer = None;
            routing.step(now, 0, RoutingInput::Completed { request, answer });
            steps += 3;
            if number % ARRIVALS_PER_TICK == 0 {
                routing.step(now, 0, RoutingInput::Tick);
                steps += 1;
            }
        }
        let elapsed = started.elapsed();
        latencies.sort();
        println!(
            "round={round} requests={REQUESTS} steps={steps} steps_per_second={:.0} \
             arrival_p50={:?} arrival_p99={:?} arrival_max={:?}",
            steps as f64 / elapsed.as_secs_f64(),
            latencies[latencies.len() / 2],
            latencies[latencies.len() * 99 / 100],
            latencies[latencies.len() - 1],
        );
    }
    measure_queueing(&mut routing, now);
}

/// Measures queueing of requests for models without a replica.
fn measure_queueing(routing: &mut Routing, now: Timestamp) {
    let before = resident_bytes();
    let started = Instant::now();
    for number in 0..WAITING {
        let request = RequestNumber(10 * REQUESTS + number);
        let cold = MODELS + number % MODELS;
        let arrival = arrival(request, number % TENANTS, cold, now);
        let outputs = routing.step(now, 0, RoutingInput::Arrived(arrival));
        let refused = |output: &RoutingOutput| matches!(output, RoutingOutput::Refuse(..));
        assert!(!outputs.iter().any(refused), "{outputs:?}");
    }
    let filling = started.elapsed();
    let after = resident_bytes();
    let started = Instant::now();
    routing.step(now, 0, RoutingInput::Tick);
    let tick = started.elapsed();
    println!(
        "waiting={} filling={filling:?} tick={tick:?} resident_before={before} resident_after={after}",
        routing.snapshot(now).waiting,
    );
}

/// Resident memory of this process in bytes; 0 if the system does not report it.
fn resident_bytes() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    let kibibytes = line.and_then(|line| line.split_whitespace().nth(1)?.parse::<u64>().ok());
    kibibytes.unwrap_or(0) * 1_024
}

fn settings() -> RoutingSettings {
    RoutingSettings {
        group: GroupId(1),
        router: "router".into(),
        incarnation: Incarnation(1),
        zone: "zone-0".into(),
        address: "127.0.0.1:1".to_owned(),
        report_interval: Duration::from_secs(1),
        minimum_report_interval: Duration::from_millis(50),
        maximum_waiting: WAITING as usize,
        maximum_attempts: 3,
        retry_budget_percent: 20,
        circuit_failures: 5,
        circuit_open: Duration::from_secs(1),
        claim_timeout: Duration::from_secs(2),
    }
}

fn sequence_of(outputs: &[RoutingOutput]) -> u64 {
    let mut sequences = outputs.iter().filter_map(|output| match output {
        RoutingOutput::SendReport(report) => Some(report.sequence),
        _ => None,
    });
    sequences.next().expect("a report on the new link")
}

fn arrival(request: RequestNumber, tenant: u64, model: u64, now: Timestamp) -> Arrival {
    Arrival {
        request,
        request_id: String::new(),
        api_key: format!("key-{tenant}"),
        target: Target::Model {
            model: ModelName(format!("model-{model}")),
            adapter: None,
            kind: "chat",
            prefix_hash: request.0 % 97,
        },
        deadline: now + Duration::from_secs(60),
        idempotency: None,
    }
}

fn update(sequence: u64) -> RouterUpdate {
    RouterUpdate {
        term: 1,
        sequence,
        lease_millis: LEASE_MILLIS,
        configuration: Some(ConfigurationDelta {
            from: ConfigurationRevision(0),
            to: ConfigurationRevision(1),
            full: true,
            objects: objects(),
            removed: Vec::new(),
        }),
        placement: Some(PlacementDelta {
            from: PlacementRevision(0),
            to: PlacementRevision(1),
            full: true,
            replicas: (0..MODELS).flat_map(replicas).collect(),
            web: Vec::new(),
            removed_slots: Vec::new(),
            removed_backends: Vec::new(),
        }),
        watch: None,
        load_estimates: Vec::new(),
        claims_created_after_unix_millis: 0,
    }
}

/// Two replicas of a model, in two zones.
fn replicas(model: u64) -> impl Iterator<Item = ReplicaRoute> {
    (0..2u64).map(move |zone| ReplicaRoute {
        slot: SlotId(model * 2 + zone),
        model: ModelName(format!("model-{model}")),
        version: "v1".into(),
        backend: BackendName(format!("engine-{zone}-{}", model % 13)),
        incarnation: Incarnation(1),
        address: "127.0.0.1:2".to_owned(),
        zone: ZoneName(format!("zone-{zone}")),
        role: EngineRole::Mixed,
        phase: ReplicaPhase::Loaded,
        leaving: false,
        adapters: Vec::new(),
        concurrency: 16,
    })
}

fn objects() -> Vec<StoredObject> {
    let tenants = (0..TENANTS).map(|tenant| {
        let hash = blake3::hash(format!("key-{tenant}").as_bytes());
        let spec = ObjectSpec::Tenant(TenantSpec {
            api_key_hashes: vec![hash.to_hex().to_string()],
            share_weight: 1 + (tenant % 4) as u32,
            capacity_bytes: 0,
            maximum_waiting: 1_000,
        });
        object(ObjectKind::Tenant, format!("tenant-{tenant}"), spec)
    });
    // Half of the models have no replica.
    let models = (0..2 * MODELS).map(|model| {
        let spec = ObjectSpec::Model(ModelSpec {
            current_version: "v1".into(),
            accelerators_per_replica: 1,
            maximum_replicas: 2,
            minimum_replicas: 0,
            concurrency_per_replica: 16,
        });
        object(ObjectKind::Model, format!("model-{model}"), spec)
    });
    let policies = (0..POLICIES).map(|policy| {
        let spec = ObjectSpec::Policy(PolicySpec {
            allow: format!("tenant.endsWith('{}') || kind == 'chat'", policy % 10),
            deny: Some(format!(
                "model == 'secret-{policy}' && tenant != 'tenant-{policy}'"
            )),
            urgency: Some("kind == 'chat' ? 'interactive' : 'normal'".to_owned()),
            capacity_bytes: None,
            examples: Vec::new(),
        });
        object(ObjectKind::Policy, format!("policy-{policy}"), spec)
    });
    tenants.chain(models).chain(policies).collect()
}

fn object(kind: ObjectKind, name: String, spec: ObjectSpec) -> StoredObject {
    StoredObject {
        key: ObjectKey { kind, name },
        version: 1,
        revision: ConfigurationRevision(1),
        spec,
    }
}
