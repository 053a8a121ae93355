//! A leader, engines that are carried out what they are ordered, and a network between them that delays, reorders, loses
//! and repeats.

pub mod engine;

use crate::harness::calls;
use crate::harness::documents::{self, NOBODY, Room, engine_document};
use engine::{ADAPTER_KILOBYTES, ADAPTER_PLACES, Engine, MODEL_KILOBYTES, ROOM_KILOBYTES};
use millpass_fleet::{CallAnswer, Fleet, FleetOutput, FleetSettings, InstructionHistory};
use millpass_proto::*;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeMap, BTreeSet};

const MODELS: [&str; 7] = ["a", "b", "c", "d", "e", "f", "g"];
const ADAPTERS: [&str; 6] = ["u", "v", "w", "x", "y", "z"];
const ENGINES: usize = 4;
/// Lines of a trace.
const TRACE_LINES: usize = 200;
/// Step of time, in milliseconds.
const STEP: u64 = 10;
/// Time of disturbances, in milliseconds.
const DISTURBED: u64 = 40_000;
/// Time after which everything that was delayed has arrived.
const CALM: u64 = 12_000;
/// Time in which the leader then gives what is asked for.
const SERVED_WITHIN: u64 = 20_000;
/// Time after which a call counts as unanswered.
const CALL_TIMEOUT: u64 = 600;

fn at(millis: u64) -> Timestamp {
    Timestamp::from_millis(millis)
}

/// What is on its way.
enum Message {
    Order(usize, EngineInstruction),
    Read(usize, InstanceId, CallId),
    Answer(u64, CallAnswer),
    Announcement(u64, InstanceRecord),
}

/// The world.
pub struct World {
    random: ChaCha8Rng,
    now: u64,
    fleet: Fleet,
    history: InstructionHistory,
    term: u64,
    /// Nobody leads until then.
    leads_from: u64,
    engines: Vec<Engine>,
    /// By time of arrival.
    messages: BTreeMap<(u64, u64), Message>,
    sent: u64,
    noted: BTreeMap<String, InstanceRecord>,
    document: DeploymentDocument,
    wanted: Vec<(ModelName, Option<AdapterName>)>,
    disturbed: bool,
    /// Engines out of the leader's reach until then.
    cut_until: [u64; ENGINES],
    next_disturbance: u64,
    names: u64,
    /// Calls that were answered in time: they do not end in silence as well.
    answered: BTreeSet<CallId>,
    /// What the leader logged and engines were told, for the trace of a failure.
    lines: Vec<String>,
}

impl World {
    pub fn new(seed: u64) -> World {
        let engines = (0..ENGINES).map(|number| {
            let mut engine = Engine::new(&format!("e-{number}"), 0);
            engine.counts_what_is_done = seed.is_multiple_of(3);
            engine
        });
        World {
            random: ChaCha8Rng::seed_from_u64(seed),
            now: 0,
            fleet: Fleet::new(settings()),
            history: history(),
            term: 1,
            leads_from: 0,
            engines: engines.collect(),
            messages: BTreeMap::new(),
            sent: 0,
            noted: BTreeMap::new(),
            document: document(&MODELS),
            wanted: Vec::new(),
            disturbed: true,
            cut_until: [0; ENGINES],
            next_disturbance: 1_000,
            names: 0,
            answered: BTreeSet::new(),
            lines: Vec::new(),
        }
    }

    /// A time of disturbances, and a calm one at whose end something new is asked for.
    pub fn play(&mut self) {
        self.run_until(DISTURBED);
        self.disturbed = false;
        self.document = document(&MODELS);
        self.run_until(DISTURBED + CALM);
    }

    /// Orders for which each engine had no room.
    pub fn breaches(&self) -> impl Iterator<Item = (&str, &[String])> {
        let engines = self.engines.iter();
        engines.map(|engine| (engine.place(), engine.breaches.as_slice()))
    }

    /// Models and adapters that came to engines.
    pub fn loads(&self) -> u64 {
        self.engines.iter().map(|engine| engine.loads).sum()
    }

    /// Asks for a model and an adapter of it; whether an engine holds it in time.
    pub fn serves(&mut self, model: &str, adapter: &str) -> bool {
        let wanted = (ModelName::from(model), Some(AdapterName::from(adapter)));
        self.wanted = vec![wanted.clone()];
        let end = self.now + SERVED_WITHIN;
        let held = |world: &World| {
            let mut engines = world.engines.iter();
            engines.any(|engine| engine.holds(&wanted.0, wanted.1.as_ref()))
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
        self.now += STEP;
        if self.disturbed && self.now >= self.next_disturbance {
            self.disturb();
        }
        for number in 0..ENGINES {
            self.engines[number].pass_time(self.now);
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
            self.lead();
        }
    }

    fn chance(&mut self, probability: f64) -> bool {
        self.disturbed && self.random.random_bool(probability)
    }

    fn delay(&mut self) -> u64 {
        let usual = self.random.random_range(1..30);
        match self.chance(0.06) {
            true => usual + self.random.random_range(100..5_000),
            false => usual,
        }
    }

    fn send_in(&mut self, delay: u64, message: Message) {
        self.sent += 1;
        self.messages.insert((self.now + delay, self.sent), message);
    }

    fn announce(&mut self, number: usize, record: InstanceRecord) {
        if self.now < self.cut_until[number] && self.random.random_bool(0.5) {
            // Some are lost, some arrive when the cut has ended, or later.
            return;
        }
        let held_up = self.cut_until[number].saturating_sub(self.now);
        for _ in 0..1 + u32::from(self.chance(0.05)) {
            let delay = held_up + self.delay();
            self.send_in(delay, Message::Announcement(self.term, record.clone()));
        }
    }

    fn disturb(&mut self) {
        self.next_disturbance = self.now + self.random.random_range(300..2_500);
        let number = self.random.random_range(0..ENGINES);
        match self.random.random_range(0..10) {
            0..=4 => self.cut_until[number] = self.now + self.random.random_range(300..5_000),
            5 => {
                self.names += 1;
                let same = self.random.random_bool(0.5);
                let name = match same {
                    true => self.engines[number].name.clone(),
                    false => format!("e-{number}-{}", self.names),
                };
                self.engines[number].restart(self.now, &name);
            }
            6 => self.change_leader(),
            _ => self.change_document(),
        }
    }

    /// The next leader knows what was noted of instances, and when the last orders were noted. Orders that the leader
    /// before it gave may still arrive.
    fn change_leader(&mut self) {
        self.term += 1;
        self.leads_from = self.now + self.random.random_range(100..2_000);
        self.fleet.clear();
    }

    fn change_document(&mut self) {
        let left_out = self.random.random_range(0..MODELS.len() * 2);
        let named = MODELS.iter().enumerate();
        let named: Vec<&str> = named
            .filter(|(number, _)| *number != left_out)
            .map(|(_, name)| *name)
            .collect();
        self.document = document(&named);
    }

    fn deliver(&mut self, message: Message) {
        let now = self.now;
        match message {
            Message::Order(number, order) => {
                let answer = self.engines[number].order(now, &order, &mut self.random);
                self.lines.push(format!(
                    "{now} engine {} takes call {} {:?} {} {:?} expecting {}: {answer:?}",
                    self.engines[number].id(),
                    order.call,
                    order.operation,
                    order.model,
                    order.adapter,
                    order.expected_revision
                ));
                self.answer(number, order.instance, order.call, answer);
            }
            Message::Read(number, instance, call) => {
                let state = self.engines[number].report(now, &mut self.random);
                let answer = match instance.name() == self.engines[number].name {
                    true => InstructionResult::State(state),
                    false => InstructionResult::OtherRun,
                };
                self.answer(number, instance, call, answer);
            }
            Message::Answer(term, answer) if term == self.term => {
                let is_silence = answer.answer == InstructionResult::Unanswered;
                if !is_silence {
                    self.answered.insert(answer.call);
                } else if self.answered.contains(&answer.call) {
                    return;
                }
                self.fleet.answered(at(now), &answer);
            }
            Message::Announcement(term, record) if term == self.term => {
                self.noted.insert(record.instance.0.clone(), record.clone());
                self.fleet.announce(at(now), record, false);
            }
            Message::Answer(..) | Message::Announcement(..) => {}
        }
    }

    /// An answer is on its way; it may be lost, late and repeated.
    fn answer(
        &mut self,
        number: usize,
        instance: InstanceId,
        call: CallId,
        answer: InstructionResult,
    ) {
        if self.now < self.cut_until[number] {
            return;
        }
        let answer = calls::to(call, &instance, &answer);
        for _ in 0..1 + u32::from(self.chance(0.05)) {
            if self.chance(0.1) {
                continue;
            }
            let delay = self.delay();
            self.send_in(delay, Message::Answer(self.term, answer.clone()));
        }
    }

    /// A call leaves after some time in the leader's process, and counts as unanswered some time after that.
    fn call(&mut self, instance: &InstanceId, call: CallId, message: impl Fn(usize) -> Message) {
        let waits = if self.chance(0.1) {
            self.random.random_range(10..2_500)
        } else {
            0
        };
        let unanswered = calls::to(call, instance, &InstructionResult::Unanswered);
        self.send_in(waits + CALL_TIMEOUT, Message::Answer(self.term, unanswered));
        let mut engines = self.engines.iter();
        let found = engines.position(|engine| {
            // A server that starts again elsewhere answers at no address of before.
            engine.name.split('-').nth(1) == instance.name().split('-').nth(1)
        });
        let number = found.expect("engines keep their places");
        let cut = self.now + waits < self.cut_until[number];
        let late = self.chance(0.15);
        if cut && !late {
            return;
        }
        for _ in 0..1 + u32::from(self.chance(0.05)) {
            let extra = if late {
                self.random.random_range(CALL_TIMEOUT..6_000)
            } else {
                0
            };
            let delay = waits + extra + self.random.random_range(1..20);
            self.send_in(delay, message(number));
        }
    }

    fn lead(&mut self) {
        if !self.fleet.has_begun() {
            let mut noted: Vec<InstanceRecord> = self.noted.values().cloned().collect();
            noted.retain(|_| self.random.random_bool(0.8));
            let nothing = std::iter::empty();
            self.fleet
                .begin(at(self.now), noted.into_iter(), nothing, &self.history);
        }
        if self.now.is_multiple_of(100) {
            self.report_needs();
        }
        let outputs = self
            .fleet
            .run(at(self.now), self.term, Some(&self.document), &NOBODY);
        for output in outputs {
            match output {
                FleetOutput::Instruct(order) => self.instruct(order),
                FleetOutput::ReadEngine { instance, call, .. } => {
                    let read = instance.clone();
                    self.call(&instance, call, |number| {
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
                    self.lines.push(line);
                }
                _ => {}
            }
        }
    }

    /// What was said of and to an engine, the newest last.
    pub fn trace(&self, name: &str) -> Vec<&String> {
        let lines = self.lines.iter().filter(|line| line.contains(name));
        let all: Vec<&String> = lines.collect();
        all[all.len().saturating_sub(TRACE_LINES)..].to_vec()
    }

    fn instruct(&mut self, order: EngineInstruction) {
        let note = InstructionIntent {
            instances: vec![order.instance.clone()],
            store_loads: 0,
        };
        self.history.note(at(self.now), &note);
        let (instance, call) = (order.instance.clone(), order.call);
        self.call(&instance, call, |number| {
            Message::Order(number, order.clone())
        });
    }

    fn report_needs(&mut self) {
        if self.disturbed && self.now.is_multiple_of(1_500) {
            self.wanted = (0..3).map(|_| self.any_model()).collect();
        }
        let doubted = self.chance(0.02);
        let any = self.random.random_range(0..ENGINES);
        let report = GatewayReport {
            gateway: "g".to_owned(),
            zone: "z".into(),
            sequence: self.now,
            version: 1,
            demand: self.wanted.iter().cloned().map(need).collect(),
            inconsistent: doubted
                .then(|| self.engines[any].id())
                .into_iter()
                .collect(),
            in_flight: Vec::new(),
            as_of: 0,
            known_instance_digests: Vec::new(),
        };
        self.fleet.report(at(self.now), 1, &report);
    }

    fn any_model(&mut self) -> (ModelName, Option<AdapterName>) {
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

fn need((model, adapter): (ModelName, Option<AdapterName>)) -> GatewayModelDemand {
    GatewayModelDemand {
        service: "text".into(),
        model,
        adapter,
        unserved: 1,
        arrivals: 1,
        in_flight: 0,
        priority: 1,
        unread_tokens: 0,
    }
}

fn document(models: &[&str]) -> DeploymentDocument {
    let model = |name: &&str| EngineModelSpec {
        adapter_kilobytes: ADAPTER_KILOBYTES,
        ..documents::model(name, MODEL_KILOBYTES, ADAPTERS.len() as u32)
    };
    let room = Room {
        weights_kilobytes: ROOM_KILOBYTES,
        adapter_slots: ADAPTER_PLACES as u32,
        milliloads_per_second: 20_000,
    };
    engine_document(models.iter().map(model).collect(), &room)
}
