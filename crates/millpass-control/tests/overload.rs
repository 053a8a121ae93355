//! Guards against a leader that plans while its inputs wait: reports, credit requests and, behind
//! them on the same connections, everything else of the gateways were processed seconds late.

use millpass_consensus::{ConsensusSettings, RestoredLog};
use millpass_control::backlog::{Backlog, Next};
use millpass_control::coalescing::{WaitingReports, reporting_connection};
use millpass_control::priority::Priority;
use millpass_control_plane::{
    AdministrationRequest, ConnectionId, ControlInput, ControlOutput, ControlPlane,
    ControlPlaneSettings, FleetSettings,
};
use millpass_proto::*;
use millpass_scheduler::SchedulerSettings;
use millpass_state::State;
use rstest::rstest;
use serde_bytes::ByteBuf;
use std::collections::VecDeque;
use std::time::Instant;

const MODELS: u64 = 530;
const TICK: Duration = Duration::from_millis(5);
const TICK_COST: Duration = Duration::from_micros(50);
/// Oldest input that a caller still profits from: gateways refuse requests without credit after
/// 0.8 of their objective, 1,000 ms in the middle.
const MAXIMUM_DELAY: Duration = Duration::from_millis(800);
const WARM_UP: Duration = Duration::from_secs(3);
const LENGTH: Duration = Duration::from_secs(10);

fn settings() -> ControlPlaneSettings {
    ControlPlaneSettings {
        consensus: ConsensusSettings {
            group: GroupId(1),
            member: MemberId(1),
            election_timeout: Duration::from_millis(450),
            heartbeat_interval: Duration::from_millis(75),
            lease_length: Duration::from_millis(330),
            stalled_disk_limit: Duration::from_secs(1),
            maximum_append_entries: 64,
            maximum_append_bytes: 384 * 1024,
            maximum_in_flight_bytes: 4 * 1024 * 1024,
            maximum_uncommitted_bytes: 16 * 1024 * 1024,
            snapshot_chunk_bytes: 64 * 1024,
            seed: 1,
        },
        address: address(),
        scheduler: SchedulerSettings::default(),
        router_lease: Duration::from_secs(3),
        scheduling_interval: Duration::from_millis(200),
        snapshot_entries: 1_000_000,
        claim_retention: Duration::from_secs(3_600),
        member_replacement_delay: Duration::from_secs(5),
        machine_gone_delay: Duration::from_secs(10),
        target_voters: 1,
        fleet: Some(FleetSettings::default()),
        seeds: Vec::new(),
    }
}

fn address() -> MemberAddress {
    MemberAddress {
        member: MemberId(1),
        zone: "zone-1".into(),
        peer_address: "10.0.0.1:7000".to_owned(),
        administration_address: "10.0.0.1:7001".to_owned(),
    }
}

fn model(number: u64) -> ModelName {
    format!("model-{number:03}").into()
}

fn document() -> DeploymentDocument {
    let models = (0..MODELS).map(|number| EngineModelSpec {
        name: model(number),
        weights_kilobytes: 70,
        load_millis: 10_000,
        disk_load_millis: 800,
        memory_load_millis: 600,
        adapters: 0,
        adapter_kilobytes: 1,
    });
    let engine = EngineSpec {
        slots: 24,
        cache_tokens: 1_000,
        weights_kilobytes: 230,
        adapter_slots: 8,
        milliloads_per_second: 40_000,
        models: models.collect(),
    };
    DeploymentDocument {
        version: 1,
        routes: Vec::new(),
        services: vec![ServiceSpec {
            name: "text".into(),
            health_path: String::new(),
            maximum_connections: 0,
            engine: Some(engine),
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

fn report(gateway: u64, sequence: u64) -> ControlInput {
    let demand = GatewayModelDemand {
        service: "text".into(),
        model: model((gateway * 31 + sequence * 7) % MODELS),
        adapter: None,
        unserved: 1,
        arrivals: 1,
        in_flight: 0,
        priority: 1,
        unread_tokens: 0,
        refused_full: 0,
    };
    let report = GatewayReport {
        gateway: format!("g-{gateway}"),
        zone: "zone-1".into(),
        sequence,
        version: 1,
        demand: vec![demand],
        inconsistent: Vec::new(),
        in_flight: Vec::new(),
        as_of: 0,
        known_instance_digests: Vec::new(),
        paces: Vec::new(),
    };
    ControlInput::Router {
        connection: ConnectionId(gateway),
        message: RouterToControl::Gateway(report),
    }
}

/// An input with the virtual time of its arrival.
struct Arrived {
    at: Timestamp,
    input: ControlInput,
}

/// Processor time that the core's steps take.
#[derive(Clone, Copy)]
struct Costs {
    planning: Duration,
    report: Duration,
}

/// The core's thread in virtual time: each step takes its processor time.
struct Host {
    start: Instant,
    now: Timestamp,
    next_tick: Timestamp,
    backlog: Backlog<Arrived>,
    reports: WaitingReports,
    core: ControlPlane,
    costs: Costs,
    longest_wait: Duration,
}

impl Host {
    /// Returns a host whose member leads, with the document in force.
    fn leading(costs: Costs) -> Host {
        let now = Timestamp::from_millis(1_000);
        let membership = Membership {
            voters: vec![address()],
            outgoing_voters: Vec::new(),
            learners: Vec::new(),
        };
        let restored = RestoredLog {
            hard_state: HardState {
                term: 0,
                voted_for: None,
            },
            snapshot: SnapshotMeta {
                last: LogPosition::ZERO,
                membership,
            },
            entries: Vec::new(),
        };
        let mut host = Host {
            start: Instant::now(),
            now,
            next_tick: now,
            backlog: Backlog::default(),
            reports: WaitingReports::default(),
            core: ControlPlane::new(settings(), restored, State::default(), now),
            costs,
            longest_wait: Duration::ZERO,
        };
        while !host.core.is_leading(host.now) {
            host.now = host.now + TICK;
            host.step(ControlInput::Tick);
        }
        let request = AdministrationRequest::PutDocument(Box::new(PutDocument {
            document: document().into(),
            source: ByteBuf::new().into(),
        }));
        host.step(ControlInput::Administration { call: 1, request });
        host.next_tick = host.now;
        host
    }

    /// The backlog only compares instants, so that virtual ones serve.
    fn instant(&self, at: Timestamp) -> Instant {
        self.start + at.since(Timestamp::ZERO)
    }

    fn submit(&mut self, at: Timestamp, input: ControlInput) {
        let input = match self.reports.merge(input) {
            Ok(()) => return,
            Err(input) => *input,
        };
        if let Some(connection) = reporting_connection(&input) {
            self.reports.begin(connection);
        }
        let arrived = Arrived { at, input };
        let pushed = self.backlog.push(Priority::Reports, arrived);
        assert!(pushed.is_ok(), "at most one report of each gateway waits");
    }

    /// Steps the core; writes complete at once.
    fn step(&mut self, input: ControlInput) {
        let mut inputs = VecDeque::from([input]);
        while let Some(input) = inputs.pop_front() {
            let rounds = self.core.planning_rounds();
            let cost = match input {
                ControlInput::Router { .. } => self.costs.report,
                _ => TICK_COST,
            };
            let unix_millis =
                1_700_000_000_000 + self.now.since(Timestamp::ZERO).as_millis() as u64;
            for output in self.core.step(self.now, unix_millis, input) {
                if let ControlOutput::Persist(request) = output {
                    inputs.push_back(ControlInput::Persisted {
                        write: request.write,
                    });
                }
            }
            let planned = self.core.planning_rounds() > rounds;
            self.now = self.now + if planned { self.costs.planning } else { cost };
        }
    }

    /// Performs the next action; idle time passes in ticks.
    fn advance(&mut self) {
        let (now, due) = (self.instant(self.now), self.instant(self.next_tick));
        match self.backlog.next(now, due) {
            Next::Tick => {
                let oldest = self.backlog.oldest().map(|arrived| arrived.at).min();
                let delay = oldest.map_or(Duration::ZERO, |at| self.now.since(at));
                self.core.set_input_delay(delay);
                self.step(ControlInput::Tick);
                self.next_tick = self.now + TICK;
            }
            Next::Input(_, mut arrived) => {
                self.reports.complete(&mut arrived.input);
                let wait = self.now.since(arrived.at);
                self.longest_wait = self.longest_wait.max(wait);
                self.step(arrived.input);
            }
            Next::Idle => self.now = self.next_tick,
        }
    }
}

/// Reports of all gateways in turn, at a constant rate.
struct Reports {
    gateways: u64,
    interval: Duration,
    next: Timestamp,
    sent: u64,
}

impl Reports {
    fn new(gateways: u64, per_second: u64, start: Timestamp) -> Reports {
        let rate = u32::try_from(per_second * gateways).expect("a small rate");
        Reports {
            gateways,
            interval: Duration::from_secs(1) / rate,
            next: start,
            sent: 0,
        }
    }

    fn submit_due(&mut self, host: &mut Host) {
        while self.next <= host.now {
            let gateway = 1 + self.sent % self.gateways;
            let sequence = 1 + self.sent / self.gateways;
            host.submit(self.next, report(gateway, sequence));
            self.sent += 1;
            self.next = self.next + self.interval;
        }
    }
}

/// Runs the host under these reports. Returns the planning rounds, and the longest wait meanwhile.
fn run(host: &mut Host, reports: &mut Reports, length: Duration) -> (u64, Duration) {
    let end = host.now + length;
    let rounds = host.core.planning_rounds();
    host.longest_wait = Duration::ZERO;
    while host.now < end {
        reports.submit_due(host);
        host.advance();
    }
    (host.core.planning_rounds() - rounds, host.longest_wait)
}

/// All gateways always lack some model. Without processor time to spare, neither reports nor planning
/// may be postponed beyond what callers wait for.
#[rstest]
#[case::few_gateways(3, Costs { planning: Duration::from_millis(40), report: Duration::from_micros(400) }, 200)]
#[case::slow_planning(61, Costs { planning: Duration::from_millis(40), report: Duration::from_micros(200) }, 100)]
#[case::frequent_reports(61, Costs { planning: Duration::from_millis(12), report: Duration::from_micros(200) }, 200)]
#[case::many_gateways(986, Costs { planning: Duration::from_millis(40), report: Duration::from_micros(200) }, 10)]
fn reports_are_processed_in_time_while_demand_is_unmet(
    #[case] gateways: u64,
    #[case] costs: Costs,
    #[case] reports_per_second: u64,
) {
    let mut host = Host::leading(costs);
    let mut reports = Reports::new(gateways, reports_per_second, host.now);
    run(&mut host, &mut reports, WARM_UP);
    let measured = LENGTH - WARM_UP;
    let (rounds, wait) = run(&mut host, &mut reports, measured);
    println!(
        "{gateways} gateways: {rounds} planning rounds in {measured:?}, longest wait {wait:?}"
    );
    assert!(wait <= MAXIMUM_DELAY, "{wait:?}");
    // Demand is planned for at least once a second.
    assert!(rounds >= measured.as_secs(), "{rounds} rounds");
}

/// Guards against a slowdown that outlasts the load that caused it.
#[test]
fn planning_returns_to_its_pace_once_the_load_goes() {
    let costs = Costs {
        planning: Duration::from_millis(12),
        report: Duration::from_micros(200),
    };
    let mut host = Host::leading(costs);
    let mut flood = Reports::new(61, 200, host.now);
    run(&mut host, &mut flood, WARM_UP);
    let mut usual = Reports::new(61, 1, host.now);
    run(&mut host, &mut usual, WARM_UP);
    let (rounds, wait) = run(&mut host, &mut usual, Duration::from_secs(2));
    assert!(rounds >= 40, "{rounds} rounds in 2 s");
    assert!(wait <= Duration::from_millis(100), "{wait:?}");
}
