//! Gateways and a leader that serve requests from engines of unequal speed, in virtual time.

use crate::harness::at;
use crate::harness::documents::{EMPTY_CONTEXT, EngineCapacity, engine_document, model};
use millpass_dispatch::*;
use millpass_fleet::{Fleet, FleetOutput, FleetSettings, InstructionHistory};
use millpass_proto::*;
use millpass_tenancy::QuotaTolerance;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeMap, HashSet};

pub const SLOTS: u32 = 24;
const MODELS: usize = 10;
const REPORT_INTERVAL: u64 = 300;
/// Time for which a pause lasts, or is absent.
const PAUSE_PERIOD: u64 = 600;
const PAUSE_FACTOR: f64 = 2.5;

/// How the engines and gateways of a run differ.
#[derive(Clone, Copy)]
pub struct Options {
    pub gateways: usize,
    /// Speeds of the engines of a model, in turn.
    pub speeds: [f64; 3],
    /// Percentage of the time for which an engine is paused.
    pub paused: u64,
    /// Whether gateways learn from responses.
    pub learns: bool,
    /// Whether responses state the machine time.
    pub states_machine_time: bool,
    pub requests_per_second: u64,
    pub engines: usize,
}

#[derive(Default)]
struct Engine {
    running: u32,
    read: HashSet<u64>,
}

enum Event {
    Head {
        gateway: usize,
        record: SendRecord,
        engine: usize,
        time: u64,
    },
    End {
        gateway: usize,
        record: SendRecord,
        engine: usize,
        time: u64,
    },
}

/// Requests of one class.
#[derive(Clone, Debug, Default)]
pub struct Served {
    pub requests: u32,
    pub in_time: u32,
    /// Requests by engine.
    pub by_engine: Vec<u32>,
}

impl Served {
    pub fn share_in_time(&self) -> f64 {
        f64::from(self.in_time) / f64::from(self.requests.max(1))
    }
}

pub struct World {
    pub options: Options,
    pub fleet: Fleet,
    pub gateways: Vec<Dispatcher>,
    engines: Vec<Engine>,
    pub speeds: Vec<f64>,
    events: BTreeMap<(u64, u64), Event>,
    scheduled: u64,
    random: ChaCha8Rng,
    pub now: u64,
    /// Urgent requests and requests that can wait.
    pub served: [Served; 2],
    pub has_leader: bool,
    term: u64,
    /// Encoded bytes of speeds in reports and in updates.
    pub report_bytes: usize,
    pub update_bytes: usize,
    /// Instances and requests chosen, for comparisons.
    pub choices: Vec<usize>,
}

/// Objectives of urgent requests and of requests that can wait, in milliseconds.
pub const OBJECTIVES: [u64; 2] = [200, 2_500];

fn document(models: usize) -> DeploymentDocument {
    let models = (0..models).map(|number| model(&format!("m{number}"), 60, 0));
    let capacity = EngineCapacity {
        weights_kilobytes: 130,
        adapter_slots: 2,
        milliloads_per_second: 2_000,
    };
    let mut document = engine_document(models.collect(), &capacity);
    let prefixes = ["/urgent/", "/patient/"].into_iter().zip(OBJECTIVES);
    document.routes = prefixes
        .zip(0..)
        .map(|((prefix, objective_millis), priority)| RouteSpec {
            name: prefix.to_owned(),
            host: "h.example".to_owned(),
            path_prefix: prefix.to_owned(),
            kind: RouteKind::Repeatable,
            resumable: false,
            timeout_millis: 15_000,
            objective_millis,
            gap_objective_millis: 0,
            priority,
            maximum_attempts: 3,
            prompt_affinity: true,
            targets: vec![RouteTarget {
                service: "text".into(),
                weight: 1,
            }],
            first_event_millis: 0,
            anonymous: false,
        })
        .collect();
    document
}

pub fn instance(number: usize) -> InstanceId {
    format!("e-{number}").as_str().into()
}

pub fn record(number: usize) -> InstanceRecord {
    InstanceRecord {
        instance: instance(number),
        service: "text".into(),
        address: "10.0.0.1:80".to_owned(),
        zone: "z".into(),
        slots: SLOTS,
        draining: false,
        warmup_millis: 0,
        sequence: 1,
        models: vec![HeldModel {
            model: format!("m{}", number % MODELS).as_str().into(),
            adapters: Vec::new(),
        }],
        in_memory: Vec::new(),
        on_disk: Vec::new(),
        software: SoftwareStatement::default(),
    }
}

fn settings(number: usize) -> DispatchSettings {
    let day = Duration::from_secs(86_400);
    DispatchSettings {
        name: format!("g-{number}"),
        zone: "z".into(),
        retry_ratio: 0.2,
        retry_slack: 10.0,
        retry_window: Duration::from_secs(10),
        prompt_tokens_per_milli: 40.0,
        default_timeout: Duration::from_secs(15),
        quota: QuotaTolerance::default(),
        key_lifetime: None,
        reach: millpass_dispatch::ReachSettings::default(),
        parts: millpass_dispatch::PartSettings::default(),
        origins: millpass_dispatch::BegunSettings::default(),
        freshness: FreshnessSettings {
            max_staleness: day,
            max_departure_staleness: day,
            ..FreshnessSettings::default()
        },
    }
}

pub fn new_leader() -> Fleet {
    let mut fleet = Fleet::new(FleetSettings {
        instance_timeout: Duration::from_secs(3_600),
        ..FleetSettings::default()
    });
    let history = InstructionHistory::new(Timestamp::ZERO, Duration::ZERO);
    let nothing = std::iter::empty;
    fleet.start_leading(at(0), nothing(), std::iter::empty(), &history);
    fleet
}

impl World {
    pub fn new(options: Options) -> World {
        let mut world = World {
            fleet: new_leader(),
            gateways: Vec::new(),
            engines: Vec::new(),
            speeds: Vec::new(),
            events: BTreeMap::new(),
            scheduled: 0,
            random: ChaCha8Rng::seed_from_u64(7),
            now: 0,
            served: [Served::default(), Served::default()],
            has_leader: true,
            term: 1,
            report_bytes: 0,
            update_bytes: 0,
            choices: Vec::new(),
            options,
        };
        for number in 0..options.engines {
            world.engines.push(Engine::default());
            world.speeds.push(options.speeds[number / MODELS % 3]);
            world
                .fleet
                .handle_announcement(at(0), record(number), false);
        }
        let records: Vec<InstanceRecord> = (0..options.engines).map(record).collect();
        for number in 0..options.gateways {
            let mut gateway = Dispatcher::new(settings(number));
            gateway.report(at(0));
            gateway.update(at(0), first_update(records.clone()));
            world.gateways.push(gateway);
        }
        world.reset_served();
        world
    }

    pub fn reset_served(&mut self) {
        for served in &mut self.served {
            *served = Served {
                by_engine: vec![0; self.options.engines],
                ..Served::default()
            };
        }
        self.report_bytes = 0;
        self.update_bytes = 0;
    }

    /// Replaces the leader by one without any knowledge.
    pub fn replace_leader(&mut self) {
        self.fleet = new_leader();
        self.term += 1;
        for number in 0..self.options.engines {
            let now = at(self.now);
            self.fleet.handle_announcement(now, record(number), false);
        }
    }

    fn is_paused(&self, engine: usize) -> bool {
        let period = self.now / PAUSE_PERIOD * 7_919 + engine as u64 * 104_729;
        let mixed = period.wrapping_mul(0x9E37_79B9_7F4A_7C15) >> 40;
        mixed % 100 < self.options.paused
    }

    /// Time that work takes at an engine, relative to an engine of speed 1 that is not paused.
    fn slowness(&self, engine: usize) -> f64 {
        let paused = if self.is_paused(engine) {
            PAUSE_FACTOR
        } else {
            1.0
        };
        paused / self.speeds[engine]
    }

    /// Runs until this time.
    pub fn run(&mut self, until: u64) {
        let per_milli = self.options.requests_per_second as f64 / 1_000.0;
        let mut due = 0.0;
        while self.now < until {
            self.now += 1;
            self.finish_events();
            due += per_milli;
            while due >= 1.0 {
                due -= 1.0;
                self.request();
            }
            self.exchange_with_leader();
        }
    }

    fn exchange_with_leader(&mut self) {
        if !self.has_leader {
            return;
        }
        for number in 0..self.gateways.len() {
            if !(self.now + number as u64 * 37).is_multiple_of(REPORT_INTERVAL) {
                continue;
            }
            let mut report = self.gateways[number].report(at(self.now));
            if !self.options.learns {
                report.paces.clear();
            }
            self.report_bytes += codec::encoded_bytes(&report.paces);
            self.fleet
                .handle_report(at(self.now), number as u64 + 1, &report);
        }
        if !self.now.is_multiple_of(5) {
            return;
        }
        let outputs = self
            .fleet
            .run(at(self.now), self.term, None, &EMPTY_CONTEXT);
        for output in outputs {
            if let FleetOutput::Update { connection, update } = output {
                self.update_bytes += codec::encoded_bytes(&update.paces);
                self.gateways[connection as usize - 1].update(at(self.now), *update);
            }
        }
    }

    fn request(&mut self) {
        let gateway = self.random.random_range(0..self.gateways.len());
        let class = usize::from(self.random.random_range(0..4) == 0);
        let model = self.random.random_range(0..MODELS);
        let shared = self.random.random_range(0..20_u64);
        let path = ["/urgent/", "/patient/"][class];
        let now = at(self.now);
        let prompt = vec![
            PromptPart {
                identity: model as u64 * 100 + shared,
                tokens: 1_500,
            },
            PromptPart {
                identity: self.random.random(),
                tokens: 500,
            },
        ];
        let description = RequestDescription {
            attempt: "r".to_owned(),
            model: Some(format!("m{model}").as_str().into()),
            prompt: prompt.clone().into(),
            ..RequestDescription::default()
        };
        let dispatcher = &mut self.gateways[gateway];
        let route = dispatcher.route(now, "h.example", path).expect("route");
        let mut ticket = dispatcher.begin(now, route, None, description, 0.5);
        self.served[class].requests += 1;
        let Choice::Send { instance, .. } = dispatcher.choose(now, &mut ticket) else {
            return;
        };
        let record = ticket.send_record(&instance);
        let engine: usize = instance.0[2..].parse().expect("number");
        self.served[class].by_engine[engine] += 1;
        self.choices.push(engine);
        let state = &mut self.engines[engine];
        let unread: u32 = prompt
            .iter()
            .filter(|part| state.read.insert(part.identity))
            .map(|part| part.tokens)
            .sum();
        state.running += 1;
        let work = 10.0 + f64::from(unread) / 20.0 + 6.0 * f64::from(state.running);
        let head = (work * self.slowness(engine)) as u64 + 1;
        let rest = (600.0 * self.slowness(engine)) as u64;
        if head <= OBJECTIVES[class] {
            self.served[class].in_time += 1;
        }
        let event = |record: SendRecord| Event::Head {
            gateway,
            record,
            engine,
            time: head,
        };
        self.schedule(head, event(record.clone()));
        self.schedule(
            head + rest,
            Event::End {
                gateway,
                record,
                engine,
                time: head,
            },
        );
    }

    fn schedule(&mut self, after: u64, event: Event) {
        self.scheduled += 1;
        self.events
            .insert((self.now + after, self.scheduled), event);
    }

    fn finish_events(&mut self) {
        while let Some(entry) = self.events.first_entry() {
            if entry.key().0 > self.now {
                break;
            }
            let now = at(self.now);
            match entry.remove() {
                Event::Head {
                    gateway,
                    record,
                    engine,
                    time,
                } => {
                    let paused = if self.is_paused(engine) { 250 } else { 100 };
                    let load = ReportedLoad {
                        running: self.engines[engine].running,
                        waiting: 0,
                        machine_time: match self.options.states_machine_time {
                            true => Stated::Value(paused),
                            false => Stated::Missing,
                        },
                    };
                    let dispatcher = &mut self.gateways[gateway];
                    dispatcher.record_load(now, &record.instance, load);
                    let time = Duration::from_millis(time);
                    dispatcher.record_first_byte(now, &record, time);
                }
                Event::End {
                    gateway,
                    record,
                    engine,
                    time,
                } => {
                    self.engines[engine].running -= 1;
                    let end = SendOutcome::Responded(Duration::from_millis(time));
                    self.gateways[gateway].record_send_outcome(now, &record, end);
                }
            }
        }
    }
}

fn first_update(instances: Vec<InstanceRecord>) -> GatewayUpdate {
    GatewayUpdate {
        term: 1,
        complete: true,
        first: true,
        document: Some(document(MODELS).into()),
        instances,
        removed: Vec::new(),
        ready_estimates: Vec::new(),
        gateways: 0,
        members: Vec::new(),
        provisional: false,
        loads: Vec::new(),
        acknowledged_report: 1,
        as_of: 0,
        document_change: None,
        unchanged_instance_digests: Vec::new(),
        ready_estimates_unchanged: false,
        loads_unchanged: false,
        document_version: 0,
        paces: Vec::new(),
        contents: Vec::new(),
        moved_estimates: Vec::new(),
        ended_estimates: Vec::new(),
        partial: false,
    }
}
