//! Simulation of a leader and engines on a network that delays, reorders, loses and duplicates
//! messages.

pub mod engine;

use crate::harness::calls;
use crate::harness::documents::{self, EMPTY_CONTEXT, EngineCapacity, engine_document};
use engine::{ADAPTER_KILOBYTES, ADAPTER_SLOTS, Engine, MEMORY_KILOBYTES, MODEL_KILOBYTES};
use millpass_fleet::{CallResult, Fleet, FleetOutput, FleetSettings, InstructionHistory};
use millpass_proto::*;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeMap, BTreeSet};

const MODELS: [&str; 7] = ["a", "b", "c", "d", "e", "f", "g"];
const ADAPTERS: [&str; 6] = ["u", "v", "w", "x", "y", "z"];
const ENGINES: usize = 4;
/// Trace lines printed on failure.
const TRACE_LINES: usize = 200;
/// Time step, in milliseconds.
const STEP_MILLIS: u64 = 10;
/// Duration of the phase with faults, in milliseconds.
const FAULT_PHASE_MILLIS: u64 = 40_000;
/// Time after which all delayed messages have arrived.
const SETTLING_MILLIS: u64 = 12_000;
/// Time in which the leader must then load what is requested.
const SERVE_TIMEOUT_MILLIS: u64 = 20_000;
const CALL_TIMEOUT_MILLIS: u64 = 600;

fn at(millis: u64) -> Timestamp {
    Timestamp::from_millis(millis)
}

/// A message in transit.
enum Message {
    Order(usize, EngineInstruction),
    Read(usize, InstanceId, CallId),
    Response(u64, CallResult),
    Announcement(u64, InstanceRecord),
}

pub struct Simulation {
    random: ChaCha8Rng,
    now: u64,
    fleet: Fleet,
    history: InstructionHistory,
    term: u64,
    /// No member leads before this time.
    leads_from: u64,
    engines: Vec<Engine>,
    /// By time of arrival.
    messages: BTreeMap<(u64, u64), Message>,
    message_count: u64,
    recorded: BTreeMap<String, InstanceRecord>,
    document: DeploymentDocument,
    demand: Vec<(ModelName, Option<AdapterName>)>,
    faults_enabled: bool,
    /// Time until which each engine is unreachable.
    partitioned_until: [u64; ENGINES],
    next_fault: u64,
    name_count: u64,
    /// Calls with a delivered response, which must not time out as well.
    responded: BTreeSet<CallId>,
    /// Logged events and delivered orders, for the trace of a failure.
    trace_lines: Vec<String>,
}

impl Simulation {
    pub fn new(seed: u64) -> Simulation {
        let engines = (0..ENGINES).map(|number| {
            let mut engine = Engine::new(&format!("e-{number}"), 0);
            engine.counts_done_unloads = seed.is_multiple_of(3);
            engine
        });
        Simulation {
            random: ChaCha8Rng::seed_from_u64(seed),
            now: 0,
            fleet: Fleet::new(settings()),
            history: history(),
            term: 1,
            leads_from: 0,
            engines: engines.collect(),
            messages: BTreeMap::new(),
            message_count: 0,
            recorded: BTreeMap::new(),
            document: document(&MODELS),
            demand: Vec::new(),
            faults_enabled: true,
            partitioned_until: [0; ENGINES],
            next_fault: 1_000,
            name_count: 0,
            responded: BTreeSet::new(),
            trace_lines: Vec::new(),
        }
    }

    /// Runs a phase with faults, then one without.
    pub fn run_phases(&mut self) {
        self.run_until(FAULT_PHASE_MILLIS);
        self.faults_enabled = false;
        self.document = document(&MODELS);
        self.run_until(FAULT_PHASE_MILLIS + SETTLING_MILLIS);
    }

    /// Returns the orders that exceeded the capacity of each engine.
    pub fn violations(&self) -> impl Iterator<Item = (&str, &[String])> {
        let engines = self.engines.iter();
        engines.map(|engine| (engine.base_name(), engine.violations.as_slice()))
    }

    /// Returns the completed loads of models and adapters.
    pub fn loads(&self) -> u64 {
        self.engines.iter().map(|engine| engine.loads).sum()
    }

    /// Requests a model and an adapter of it; returns whether an engine holds both in time.
    pub fn is_served_in_time(&mut self, model: &str, adapter: &str) -> bool {
        let demand = (ModelName::from(model), Some(AdapterName::from(adapter)));
        self.demand = vec![demand.clone()];
        let end = self.now + SERVE_TIMEOUT_MILLIS;
        let held = |simulation: &Simulation| {
            let mut engines = simulation.engines.iter();
            engines.any(|engine| engine.holds(&demand.0, demand.1.as_ref()))
        };
        while self.now < end && !held(self) {
            self.step();
        }
        held(self)
    }

    fn run_until(&mut self, end: u64) {
        while self.now < end {
            self.step();
        }
    }

    fn step(&mut self) {
        self.now += STEP_MILLIS;
        if self.faults_enabled && self.now >= self.next_fault {
            self.inject_fault();
        }
        for number in 0..ENGINES {
            self.engines[number].advance(self.now);
            if let Some(record) = self.engines[number].announcement(self.now) {
                self.announce(number, record);
            }
        }
        while let Some(entry) = self.messages.first_entry() {
            if entry.key().0 > self.now {
                break;
            }
            let message = entry.remove();
            self.deliver(message);
        }
        if self.now >= self.leads_from {
            self.run_leader();
        }
    }

    fn chance(&mut self, probability: f64) -> bool {
        self.faults_enabled && self.random.random_bool(probability)
    }

    fn delay(&mut self) -> u64 {
        let usual = self.random.random_range(1..30);
        match self.chance(0.06) {
            true => usual + self.random.random_range(100..5_000),
            false => usual,
        }
    }

    fn send_in(&mut self, delay: u64, message: Message) {
        self.message_count += 1;
        self.messages
            .insert((self.now + delay, self.message_count), message);
    }

    fn announce(&mut self, number: usize, record: InstanceRecord) {
        if self.now < self.partitioned_until[number] && self.random.random_bool(0.5) {
            // Some announcements are lost, others arrive after the partition.
            return;
        }
        let remaining_partition = self.partitioned_until[number].saturating_sub(self.now);
        for _ in 0..1 + u32::from(self.chance(0.05)) {
            let delay = remaining_partition + self.delay();
            self.send_in(delay, Message::Announcement(self.term, record.clone()));
        }
    }

    fn inject_fault(&mut self) {
        self.next_fault = self.now + self.random.random_range(300..2_500);
        let number = self.random.random_range(0..ENGINES);
        match self.random.random_range(0..10) {
            0..=4 => {
                self.partitioned_until[number] = self.now + self.random.random_range(300..5_000)
            }
            5 => {
                self.name_count += 1;
                let keeps_name = self.random.random_bool(0.5);
                let name = match keeps_name {
                    true => self.engines[number].name.clone(),
                    false => format!("e-{number}-{}", self.name_count),
                };
                self.engines[number].restart(self.now, &name);
            }
            6 => self.change_leader(),
            _ => self.change_document(),
        }
    }

    /// Drops the leader's state. The next leader starts from recorded instances and orders, while
    /// orders of its predecessor may still arrive.
    fn change_leader(&mut self) {
        self.term += 1;
        self.leads_from = self.now + self.random.random_range(100..2_000);
        self.fleet.reset();
    }

    fn change_document(&mut self) {
        let omitted = self.random.random_range(0..MODELS.len() * 2);
        let models = MODELS.iter().enumerate();
        let models: Vec<&str> = models
            .filter(|(number, _)| *number != omitted)
            .map(|(_, name)| *name)
            .collect();
        self.document = document(&models);
    }

    fn deliver(&mut self, message: Message) {
        let now = self.now;
        match message {
            Message::Order(number, order) => {
                let result = self.engines[number].handle_order(now, &order, &mut self.random);
                self.trace_lines.push(format!(
                    "{now} engine {} receives call {} {:?} {} {:?} expecting {}: {result:?}",
                    self.engines[number].id(),
                    order.call,
                    order.operation,
                    order.model,
                    order.adapter,
                    order.expected_revision
                ));
                self.send_response(number, order.instance, order.call, result);
            }
            Message::Read(number, instance, call) => {
                let state = self.engines[number].report(now, &mut self.random);
                let result = match instance.name() == self.engines[number].name {
                    true => InstructionResult::State(state),
                    false => InstructionResult::OtherRun,
                };
                self.send_response(number, instance, call, result);
            }
            Message::Response(term, call_result) if term == self.term => {
                let is_timeout = call_result.result == InstructionResult::Unanswered;
                if !is_timeout {
                    self.responded.insert(call_result.call);
                } else if self.responded.contains(&call_result.call) {
                    return;
                }
                self.fleet.handle_call_result(at(now), &call_result);
            }
            Message::Announcement(term, record) if term == self.term => {
                self.recorded
                    .insert(record.instance.0.clone(), record.clone());
                self.fleet.handle_announcement(at(now), record, false);
            }
            Message::Response(..) | Message::Announcement(..) => {}
        }
    }

    /// Sends a response, which may be lost, delayed and duplicated.
    fn send_response(
        &mut self,
        number: usize,
        instance: InstanceId,
        call: CallId,
        result: InstructionResult,
    ) {
        if self.now < self.partitioned_until[number] {
            return;
        }
        let result = calls::response_to(call, &instance, &result);
        for _ in 0..1 + u32::from(self.chance(0.05)) {
            if self.chance(0.1) {
                continue;
            }
            let delay = self.delay();
            self.send_in(delay, Message::Response(self.term, result.clone()));
        }
    }

    /// Sends a call, which may be queued, lost, delayed and duplicated, and schedules its timeout.
    fn send_call(
        &mut self,
        instance: &InstanceId,
        call: CallId,
        message: impl Fn(usize) -> Message,
    ) {
        let queue_time = if self.chance(0.1) {
            self.random.random_range(10..2_500)
        } else {
            0
        };
        let unanswered = calls::response_to(call, instance, &InstructionResult::Unanswered);
        self.send_in(
            queue_time + CALL_TIMEOUT_MILLIS,
            Message::Response(self.term, unanswered),
        );
        let mut engines = self.engines.iter();
        let position = engines.position(|engine| {
            // An engine that restarts under another name keeps the number of its host.
            engine.name.split('-').nth(1) == instance.name().split('-').nth(1)
        });
        let engine_index = position.expect("engines keep their base names");
        let is_partitioned = self.now + queue_time < self.partitioned_until[engine_index];
        let is_late = self.chance(0.15);
        if is_partitioned && !is_late {
            return;
        }
        for _ in 0..1 + u32::from(self.chance(0.05)) {
            let extra = if is_late {
                self.random.random_range(CALL_TIMEOUT_MILLIS..6_000)
            } else {
                0
            };
            let delay = queue_time + extra + self.random.random_range(1..20);
            self.send_in(delay, message(engine_index));
        }
    }

    fn run_leader(&mut self) {
        if !self.fleet.has_started_leading() {
            let mut recorded: Vec<InstanceRecord> = self.recorded.values().cloned().collect();
            recorded.retain(|_| self.random.random_bool(0.8));
            let nothing = std::iter::empty();
            self.fleet
                .start_leading(at(self.now), recorded.into_iter(), nothing, &self.history);
        }
        if self.now.is_multiple_of(100) {
            self.report_demand();
        }
        let outputs = self.fleet.run(
            at(self.now),
            self.term,
            Some(&self.document.clone().into()),
            &EMPTY_CONTEXT,
        );
        for output in outputs {
            match output {
                FleetOutput::Instruct(order) => self.send_instruction(order),
                FleetOutput::ReadEngine { instance, call, .. } => {
                    let read = instance.clone();
                    self.send_call(&instance, call, |number| {
                        Message::Read(number, read.clone(), call)
                    });
                }
                FleetOutput::Event(event) => {
                    let pairs: Vec<String> = event
                        .pairs
                        .iter()
                        .map(|(key, value)| format!("{key}={value}"))
                        .collect();
                    let line = format!("{} {} {}", self.now, event.name, pairs.join(" "));
                    self.trace_lines.push(line);
                }
                _ => {}
            }
        }
    }

    /// Returns the last trace lines about an engine.
    pub fn trace(&self, name: &str) -> Vec<&String> {
        let lines = self.trace_lines.iter().filter(|line| line.contains(name));
        let lines: Vec<&String> = lines.collect();
        lines[lines.len().saturating_sub(TRACE_LINES)..].to_vec()
    }

    fn send_instruction(&mut self, order: EngineInstruction) {
        let intent = InstructionIntent {
            instances: vec![order.instance.clone()],
            store_loads: 0,
        };
        self.history.record(at(self.now), &intent);
        let (instance, call) = (order.instance.clone(), order.call);
        self.send_call(&instance, call, |number| {
            Message::Order(number, order.clone())
        });
    }

    fn report_demand(&mut self) {
        if self.faults_enabled && self.now.is_multiple_of(1_500) {
            self.demand = (0..3).map(|_| self.random_model()).collect();
        }
        let is_inconsistent = self.chance(0.02);
        let index = self.random.random_range(0..ENGINES);
        let report = GatewayReport {
            gateway: "g".to_owned(),
            zone: "z".into(),
            sequence: self.now,
            version: 1,
            demand: self.demand.iter().cloned().map(model_demand).collect(),
            inconsistent: is_inconsistent
                .then(|| self.engines[index].id())
                .into_iter()
                .collect(),
            in_flight: Vec::new(),
            as_of: 0,
            known_instance_digests: Vec::new(),
            paces: Vec::new(),
        };
        self.fleet.handle_report(at(self.now), 1, &report);
    }

    fn random_model(&mut self) -> (ModelName, Option<AdapterName>) {
        let model = MODELS[self.random.random_range(0..MODELS.len())];
        let adapter = ADAPTERS[self.random.random_range(0..ADAPTERS.len())];
        let adapter = self.random.random_bool(0.6).then(|| adapter.into());
        (model.into(), adapter)
    }
}

fn settings() -> FleetSettings {
    FleetSettings {
        order_handover: Duration::from_millis(3_000),
        ..FleetSettings::default()
    }
}

fn history() -> InstructionHistory {
    InstructionHistory::new(Timestamp::ZERO, Duration::from_secs(600))
}

fn model_demand((model, adapter): (ModelName, Option<AdapterName>)) -> GatewayModelDemand {
    GatewayModelDemand {
        service: "text".into(),
        model,
        adapter,
        unserved: 1,
        arrivals: 1,
        in_flight: 0,
        priority: 1,
        unread_tokens: 0,
        refused_full: 0,
    }
}

fn document(models: &[&str]) -> DeploymentDocument {
    let model = |name: &&str| EngineModelSpec {
        adapter_kilobytes: ADAPTER_KILOBYTES,
        ..documents::model(name, MODEL_KILOBYTES, ADAPTERS.len() as u32)
    };
    let capacity = EngineCapacity {
        weights_kilobytes: MEMORY_KILOBYTES,
        adapter_slots: ADAPTER_SLOTS as u32,
        milliloads_per_second: 20_000,
    };
    engine_document(models.iter().map(model).collect(), &capacity)
}
