//! A model of an engine that checks nothing for its own good: it carries out what it is ordered, and notes an order for
//! which it has no room.

use millpass_proto::*;
use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use std::collections::VecDeque;

/// Memory of an engine in KB: two models and some adapters.
pub const ROOM_KILOBYTES: u64 = 130;
/// Places for adapters.
pub const ADAPTER_PLACES: u64 = 3;
/// Size of a model in KB.
pub const MODEL_KILOBYTES: u64 = 60;
/// Size of an adapter in KB.
pub const ADAPTER_KILOBYTES: u64 = 2;
/// How far back reports look at most.
const OLDEST_REPORT: u64 = 300;

/// An adapter that comes, or goes once its runs are done.
struct Moving {
    model: ModelName,
    adapter: AdapterName,
    done_at: u64,
}

/// A model's order that is being carried out.
struct Busy {
    operation: InstructionOperation,
    model: ModelName,
    done_at: u64,
}

/// One engine. Times are milliseconds.
pub struct Engine {
    pub name: String,
    pub incarnation: u64,
    revision: u64,
    held: Vec<HeldModel>,
    coming: Vec<Moving>,
    going: Vec<Moving>,
    busy: Option<Busy>,
    on_disk: Vec<ModelName>,
    /// States, with when they began.
    states: VecDeque<(u64, EngineState)>,
    sequence: u64,
    next_announcement: u64,
    /// Orders for which it had no room.
    pub breaches: Vec<String>,
    /// Models and adapters that came.
    pub loads: u64,
    /// Its state changed: it announces itself at once.
    has_news: bool,
    /// An unload of a model that is not there counts as an order taken.
    pub counts_what_is_done: bool,
}

impl Engine {
    pub fn new(name: &str, now: u64) -> Engine {
        let mut engine = Engine {
            name: name.to_owned(),
            incarnation: now + 1,
            revision: 0,
            held: Vec::new(),
            coming: Vec::new(),
            going: Vec::new(),
            busy: None,
            on_disk: Vec::new(),
            states: VecDeque::new(),
            sequence: 0,
            next_announcement: now,
            breaches: Vec::new(),
            loads: 0,
            has_news: false,
            counts_what_is_done: false,
        };
        engine.note_state(now);
        engine
    }

    /// Starts anew: nothing of before is there but what is on the disk.
    pub fn restart(&mut self, now: u64, name: &str) {
        let fresh = Engine::new(name, now);
        let before = std::mem::replace(self, fresh);
        self.on_disk = before.on_disk;
        self.breaches = before.breaches;
        self.loads = before.loads;
        self.counts_what_is_done = before.counts_what_is_done;
    }

    pub fn id(&self) -> InstanceId {
        InstanceId::of_run(&self.name, self.incarnation)
    }

    /// What the names of all its runs begin with.
    pub fn place(&self) -> &str {
        let end = self.name.match_indices('-').nth(1);
        end.map_or(self.name.as_str(), |(end, _)| &self.name[..end])
    }

    pub fn holds(&self, model: &ModelName, adapter: Option<&AdapterName>) -> bool {
        self.held.iter().any(|held| {
            held.model == *model && adapter.is_none_or(|adapter| held.adapters.contains(adapter))
        })
    }

    /// Carries out what is due.
    pub fn pass_time(&mut self, now: u64) {
        if self.busy.as_ref().is_some_and(|busy| busy.done_at <= now) {
            let busy = self.busy.take().expect("it is busy");
            self.finish(busy);
            self.has_news = true;
            self.note_state(now);
        }
        let (come, coming) = std::mem::take(&mut self.coming)
            .into_iter()
            .partition(|moving| moving.done_at <= now);
        self.coming = coming;
        let (gone, going) = std::mem::take(&mut self.going)
            .into_iter()
            .partition(|moving| moving.done_at <= now);
        self.going = going;
        if come.is_empty() && gone.is_empty() {
            return;
        }
        for Moving { model, adapter, .. } in come {
            self.loads += 1;
            let held = self.held.iter_mut().find(|held| held.model == model);
            held.expect("adapters come to models")
                .adapters
                .push(adapter);
        }
        for Moving { model, adapter, .. } in gone {
            self.drop_adapter(&model, &adapter);
        }
        self.note_state(now);
    }

    fn finish(&mut self, busy: Busy) {
        match busy.operation {
            InstructionOperation::Load => {
                self.loads += 1;
                self.on_disk.push(busy.model.clone());
                self.held.push(HeldModel {
                    model: busy.model,
                    adapters: Vec::new(),
                });
            }
            InstructionOperation::Unload => {
                self.held.retain(|held| held.model != busy.model);
                self.coming.retain(|moving| moving.model != busy.model);
                self.going.retain(|moving| moving.model != busy.model);
            }
        }
    }

    fn drop_adapter(&mut self, model: &ModelName, adapter: &AdapterName) {
        let held = self.held.iter_mut().find(|held| held.model == *model);
        if let Some(held) = held {
            held.adapters.retain(|name| name != adapter);
        }
    }

    fn adapters(&self) -> u64 {
        let held: usize = self.held.iter().map(|held| held.adapters.len()).sum();
        (held + self.coming.len()) as u64
    }

    fn used_kilobytes(&self) -> u64 {
        let loading = self
            .busy
            .iter()
            .filter(|busy| busy.operation == InstructionOperation::Load);
        let models = self.held.len() + loading.count();
        models as u64 * MODEL_KILOBYTES + self.adapters() * ADAPTER_KILOBYTES
    }

    /// Takes an order that was meant for a run of this name.
    pub fn order(
        &mut self,
        now: u64,
        order: &EngineInstruction,
        random: &mut ChaCha8Rng,
    ) -> InstructionResult {
        self.pass_time(now);
        if order.instance.name() != self.name {
            return InstructionResult::OtherRun;
        }
        if self.busy.is_some() || order.expected_revision != self.revision {
            return InstructionResult::Conflict;
        }
        let there = self.holds(&order.model, order.adapter.as_ref());
        let loads = order.operation == InstructionOperation::Load;
        let answer = match (&order.adapter, loads) {
            (None, false) if !there => {
                // The contract does not say whether what is done already counts.
                self.revision += u64::from(self.counts_what_is_done);
                InstructionResult::AlreadySo
            }
            _ if there == loads => InstructionResult::AlreadySo,
            (None, _) => self.order_model(now, order, random),
            (Some(adapter), true) => self.load_adapter(now, order, adapter, random),
            (Some(adapter), false) => self.unload_adapter(now, &order.model, adapter, random),
        };
        self.note_state(now);
        answer
    }

    fn order_model(
        &mut self,
        now: u64,
        order: &EngineInstruction,
        random: &mut ChaCha8Rng,
    ) -> InstructionResult {
        self.check_room(now, order, MODEL_KILOBYTES, 0);
        self.revision += 1;
        let takes = match order.operation {
            InstructionOperation::Unload => random.random_range(20..2_500),
            InstructionOperation::Load if self.on_disk.contains(&order.model) => 800,
            InstructionOperation::Load => 2_000,
        };
        self.busy = Some(Busy {
            operation: order.operation,
            model: order.model.clone(),
            done_at: now + takes,
        });
        InstructionResult::Accepted
    }

    fn check_room(&mut self, now: u64, order: &EngineInstruction, kilobytes: u64, places: u64) {
        let fits = self.used_kilobytes() + kilobytes <= ROOM_KILOBYTES
            && self.adapters() + places <= ADAPTER_PLACES;
        if order.operation == InstructionOperation::Load && !fits {
            self.breaches.push(format!(
                "{now} ms: {} holds {:?}, ordered {order:?}",
                self.name, self.held
            ));
        }
    }

    fn load_adapter(
        &mut self,
        now: u64,
        order: &EngineInstruction,
        adapter: &AdapterName,
        random: &mut ChaCha8Rng,
    ) -> InstructionResult {
        let model = &order.model;
        if !self.holds(model, None) {
            return InstructionResult::Refused("no such model".to_owned());
        }
        let mut coming = self.coming.iter();
        if coming.any(|moving| moving.model == *model && moving.adapter == *adapter) {
            return InstructionResult::AlreadySo;
        }
        self.check_room(now, order, ADAPTER_KILOBYTES, 1);
        self.revision += 1;
        let slow = random.random_bool(0.1);
        let takes = if slow { 1..4_000 } else { 2..40 };
        self.coming.push(Moving {
            model: model.clone(),
            adapter: adapter.clone(),
            done_at: now + random.random_range(takes),
        });
        InstructionResult::Accepted
    }

    fn unload_adapter(
        &mut self,
        now: u64,
        model: &ModelName,
        adapter: &AdapterName,
        random: &mut ChaCha8Rng,
    ) -> InstructionResult {
        self.revision += 1;
        if random.random_bool(0.6) {
            self.drop_adapter(model, adapter);
            return InstructionResult::AlreadySo;
        }
        self.going.push(Moving {
            model: model.clone(),
            adapter: adapter.clone(),
            done_at: now + random.random_range(50..3_000),
        });
        InstructionResult::Accepted
    }

    fn note_state(&mut self, now: u64) {
        let state = self.state();
        self.states.push_back((now, state));
        while self.states.len() > 1 && self.states[1].0 + OLDEST_REPORT < now {
            self.states.pop_front();
        }
    }

    fn state(&self) -> EngineState {
        EngineState {
            revision: self.revision,
            busy: self.busy.is_some(),
            models: self.held.clone(),
            in_memory: Vec::new(),
            on_disk: self.on_disk.clone(),
            loading_adapters: self
                .coming
                .iter()
                .map(|moving| HeldModel {
                    model: moving.model.clone(),
                    adapters: vec![moving.adapter.clone()],
                })
                .collect(),
        }
    }

    /// Its state as of some time ago.
    pub fn report(&mut self, now: u64, random: &mut ChaCha8Rng) -> EngineState {
        self.pass_time(now);
        let as_of = now.saturating_sub(random.random_range(0..OLDEST_REPORT - 60));
        let states = self.states.iter().rev();
        let mut before = states.filter(|(since, _)| *since <= as_of);
        let (_, state) = before.next().unwrap_or(&self.states[0]);
        state.clone()
    }

    /// What it announces now, if that is due.
    pub fn announcement(&mut self, now: u64) -> Option<InstanceRecord> {
        if now < self.next_announcement && !std::mem::take(&mut self.has_news) {
            return None;
        }
        self.next_announcement = now + 1_200;
        self.sequence += 1;
        Some(InstanceRecord {
            instance: self.id(),
            service: "text".into(),
            address: format!("{}:80", self.name),
            zone: "z".into(),
            slots: 8,
            draining: false,
            warmup_millis: 0,
            sequence: self.sequence,
            models: self.held.clone(),
            in_memory: Vec::new(),
            on_disk: self.on_disk.clone(),
        })
    }
}
