//! Members with instances that announce themselves there, one of them the leader. Time is virtual; what members say to each
//! other is counted, and may be lost, late or doubled.

use super::at;
use super::documents::{Room, engine_document, model as model_spec};
use millpass_fleet::{
    DocumentHistory, Fleet, FleetOutput, FleetSettings, GatewayContext, InstructionHistory,
};
use millpass_proto::*;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Time between two announcements of an instance, in milliseconds.
const INTERVAL: u64 = 2_000;
/// Time between two steps.
const STEP: u64 = 10;
/// Models; each engine holds two.
pub const MODELS: u64 = 100;
const ZONES: u64 = 4;
/// Time after which an announcement that is not taken goes to another member.
const PATIENCE: u64 = 1_000;

pub fn model(number: u64) -> ModelName {
    format!("m-{number:03}").as_str().into()
}

/// What was said to the leader.
#[derive(Clone, Copy, Debug, Default)]
pub struct Sizes {
    pub reports: usize,
    pub bytes: usize,
    pub largest: usize,
    pub most_records: usize,
}

struct Instance {
    number: u64,
    incarnation: u64,
    sequence: u64,
    member: usize,
    next: u64,
}

impl Instance {
    fn id(&self) -> InstanceId {
        InstanceId::of_run(&Group::name(self.number), self.incarnation)
    }

    fn record(&self) -> InstanceRecord {
        let held = |model| HeldModel {
            model,
            adapters: Vec::new(),
        };
        let models = [self.number % MODELS, (self.number / 2 + 1) % MODELS];
        let models: BTreeSet<u64> = models.into_iter().collect();
        InstanceRecord {
            instance: self.id(),
            service: "text".into(),
            address: format!("10.0.{}.{}:80", self.number / 250, self.number % 250),
            zone: zone(self.number),
            slots: 8,
            draining: false,
            warmup_millis: 0,
            sequence: self.sequence,
            models: models.into_iter().map(model).map(held).collect(),
            in_memory: Vec::new(),
            on_disk: Vec::new(),
        }
    }
}

fn zone(number: u64) -> ZoneName {
    format!("zone-{}", number / 7 % ZONES).as_str().into()
}

fn address(member: usize) -> MemberAddress {
    MemberAddress {
        member: MemberId(member as u64 + 1),
        zone: "zone-0".into(),
        peer_address: format!("10.9.0.{member}:1"),
        administration_address: format!("10.9.0.{member}:2"),
    }
}

enum Word {
    Report(ShareReport),
    Answer(usize, ShareResponse),
}

/// The group.
pub struct Group {
    pub now: u64,
    members: Vec<Fleet>,
    ended: BTreeSet<usize>,
    cut: BTreeSet<usize>,
    leader: usize,
    instances: BTreeMap<u64, Instance>,
    muted: bool,
    under_way: BTreeMap<(u64, u64), Word>,
    words: u64,
    seed: u64,
    failures: u64,
    document: DeploymentDocument,
    documents: DocumentHistory,
    pub sizes: Sizes,
    pub forgotten: Vec<String>,
    pub reads: usize,
    pub loads: usize,
    answers: VecDeque<(InstanceId, CallId)>,
    updates: Vec<(u64, GatewayUpdate)>,
    demand: Option<(u64, u64)>,
}

impl Group {
    /// Members, the first of them the leader, and instances that begin to announce themselves at any of them.
    pub fn new(members: u64, instances: u64) -> Group {
        let settings = FleetSettings {
            announce_interval: Duration::from_millis(INTERVAL),
            ..FleetSettings::default()
        };
        let models = (0..MODELS).map(|number| model_spec(&model(number).0, 60, 0));
        let room = Room {
            weights_kilobytes: 130,
            adapter_slots: 2,
            milliloads_per_second: 2_000,
        };
        let document = engine_document(models.collect(), &room);
        let mut documents = DocumentHistory::new();
        documents.applied(at(0), &document);
        let mut group = Group {
            now: 0,
            members: (0..members).map(|_| Fleet::new(settings.clone())).collect(),
            ended: BTreeSet::new(),
            cut: BTreeSet::new(),
            leader: 0,
            instances: BTreeMap::new(),
            muted: false,
            under_way: BTreeMap::new(),
            words: 0,
            seed: 1,
            failures: 0,
            document,
            documents,
            sizes: Sizes::default(),
            forgotten: Vec::new(),
            reads: 0,
            loads: 0,
            answers: VecDeque::new(),
            updates: Vec::new(),
            demand: None,
        };
        group.add(instances, INTERVAL);
        group
    }

    pub fn name(number: u64) -> String {
        format!("i-{number:05}")
    }

    /// Instances that first announce themselves within a time.
    pub fn add(&mut self, instances: u64, within: u64) {
        for number in 0..instances {
            let instance = Instance {
                number,
                incarnation: 1,
                sequence: 0,
                member: number as usize % self.members.len(),
                next: self.now + number % within.max(1),
            };
            self.instances.insert(number, instance);
        }
    }

    /// Of a hundred words between members, so many are lost, as many are late, and as many are doubled.
    pub fn fail(&mut self, seed: u64, percent: u64) {
        self.seed = seed;
        self.failures = percent;
    }

    /// Instances say nothing, or go on.
    pub fn mute(&mut self, muted: bool) {
        self.muted = muted;
    }

    /// A member ends.
    pub fn ends(&mut self, member: usize) {
        self.ended.insert(member);
    }

    /// A member is cut off from the others, or not any more; instances reach it.
    pub fn cut(&mut self, member: usize, is_cut: bool) {
        match is_cut {
            true => self.cut.insert(member),
            false => self.cut.remove(&member),
        };
    }

    /// Another member leads; the one before follows.
    pub fn lead(&mut self, member: u64) {
        self.members[self.leader].clear();
        self.leader = member as usize;
        let leader = &mut self.members[self.leader];
        leader.clear();
        let history = InstructionHistory::new(at(self.now), Duration::ZERO);
        leader.begin(
            at(self.now),
            std::iter::empty(),
            std::iter::empty(),
            &history,
        );
    }

    /// An instance ends without a word.
    pub fn crash(&mut self, number: u64) {
        self.instances.remove(&number);
    }

    pub fn crash_zone(&mut self, lost: u64) {
        self.instances
            .retain(|number, _| zone(*number) != zone(lost));
    }

    /// An instance announces itself at another member from now on.
    pub fn moves(&mut self, number: u64) {
        let members = self.members.len();
        if let Some(instance) = self.instances.get_mut(&number) {
            instance.member = (instance.member + 1) % members;
            instance.next = self.now;
        }
    }

    /// An instance starts again under its name, at another member.
    pub fn restart(&mut self, number: u64) {
        if let Some(instance) = self.instances.get_mut(&number) {
            instance.incarnation += 1;
            instance.sequence = 0;
        }
        self.moves(number);
    }

    /// A model is asked for so many prompt tokens a second from now on.
    pub fn ask_for(&mut self, model: u64, tokens: u64) {
        self.demand = Some((model, tokens));
    }

    pub fn run(&mut self, millis: u64) {
        let until = self.now + millis;
        while self.now < until {
            self.now += STEP;
            self.announce();
            self.deliver();
            self.lead_on();
            self.report();
        }
    }

    fn announce(&mut self) {
        if self.muted {
            return;
        }
        for instance in self.instances.values_mut() {
            if instance.next > self.now {
                continue;
            }
            if self.ended.contains(&instance.member) {
                instance.member = (instance.member + 1) % self.members.len();
                instance.next = self.now + PATIENCE;
                continue;
            }
            instance.sequence += 1;
            instance.next += INTERVAL;
            let record = instance.record();
            self.members[instance.member].announce(at(self.now), record, false);
        }
    }

    fn deliver(&mut self) {
        let later = self.under_way.split_off(&(self.now + 1, 0));
        let arrived = std::mem::replace(&mut self.under_way, later);
        for word in arrived.into_values() {
            match word {
                Word::Report(report) => self.take_report(report),
                Word::Answer(member, answer) => self.members[member].share_answered(&answer),
            }
        }
    }

    fn take_report(&mut self, report: ShareReport) {
        let member = report.from.member.0 as usize - 1;
        let size = codec::encode(&LinkMessage::Share(report.clone()));
        let size = size.expect("a report encodes").len();
        self.sizes.reports += 1;
        self.sizes.bytes += size;
        self.sizes.largest = self.sizes.largest.max(size);
        self.sizes.most_records = self.sizes.most_records.max(report.instances.len());
        let leader = &mut self.members[self.leader];
        let own = address(self.leader);
        let answer = leader.take_share(at(self.now), &report, own, &|_| None);
        self.send(Word::Answer(member, answer));
    }

    fn report(&mut self) {
        for member in 0..self.members.len() {
            let fleet = &mut self.members[member];
            fleet.keep_share(at(self.now));
            let silent = member == self.leader || self.ended.contains(&member);
            if silent || !fleet.is_share_due(at(self.now)) {
                continue;
            }
            let report = fleet.share_report(at(self.now), 77, &address(member), true);
            if !self.cut.contains(&member) {
                self.send(Word::Report(report));
            }
        }
    }

    fn send(&mut self, word: Word) {
        let copy = match &word {
            Word::Report(report) => Word::Report(report.clone()),
            Word::Answer(member, answer) => Word::Answer(*member, answer.clone()),
        };
        if self.chance() {
            return;
        }
        let delay = if self.chance() { 1_200 } else { 2 };
        self.words += 1;
        self.under_way.insert((self.now + delay, self.words), word);
        if self.chance() {
            self.words += 1;
            self.under_way.insert((self.now + 700, self.words), copy);
        }
    }

    /// SplitMix64.
    fn chance(&mut self) -> bool {
        self.seed = self.seed.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mixed = (self.seed ^ (self.seed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        let mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        (mixed ^ (mixed >> 31)) % 100 < self.failures
    }

    fn lead_on(&mut self) {
        if let Some((number, tokens)) = self.demand
            && self.now.is_multiple_of(100)
        {
            let report = self.demand_report(number, tokens / 10);
            self.members[self.leader].report(at(self.now), 9, &report);
        }
        let context = GatewayContext {
            members: &Vec::new,
            departed: &|_| Vec::new(),
            as_of: 0,
            documents: &self.documents,
        };
        let leader = &mut self.members[self.leader];
        let outputs = leader.run(at(self.now), 1, Some(&self.document), &context);
        for output in outputs {
            match output {
                FleetOutput::ReadEngine { instance, call, .. } => {
                    self.reads += 1;
                    self.answers.push_back((instance, call));
                }
                FleetOutput::Instruct(instruction) => {
                    self.loads += usize::from(instruction.operation == InstructionOperation::Load);
                }
                FleetOutput::Update { connection, update } => {
                    self.updates.push((connection, *update));
                }
                FleetOutput::Event(event) if event.name == "instance-forgotten" => {
                    let name = &event.pairs[0].1;
                    let name = name.split('#').next().unwrap_or_default();
                    self.forgotten.push(name.to_owned());
                }
                _ => {}
            }
        }
        self.answer_reads();
    }

    fn answer_reads(&mut self) {
        for (instance, call) in std::mem::take(&mut self.answers) {
            let number: u64 = instance.name()[2..].parse().expect("a number");
            let Some(found) = self.instances.get(&number) else {
                continue;
            };
            let answer = millpass_fleet::CallAnswer {
                instance,
                call,
                answer: InstructionResult::State(EngineState {
                    revision: 0,
                    busy: false,
                    models: found.record().models,
                    in_memory: Vec::new(),
                    on_disk: Vec::new(),
                    loading_adapters: Vec::new(),
                }),
                waited: Duration::ZERO,
                took: Duration::ZERO,
            };
            self.members[self.leader].answered(at(self.now), &answer);
        }
    }

    fn demand_report(&self, number: u64, tokens: u64) -> GatewayReport {
        let needs = match tokens {
            0 => Vec::new(),
            _ => vec![GatewayModelDemand {
                service: "text".into(),
                model: model(number),
                adapter: None,
                unserved: 0,
                arrivals: 1,
                in_flight: 1,
                priority: 1,
                unread_tokens: tokens,
            }],
        };
        GatewayReport {
            gateway: "g".to_owned(),
            zone: "zone-0".into(),
            sequence: self.now,
            version: 1,
            demand: needs,
            inconsistent: Vec::new(),
            in_flight: Vec::new(),
            as_of: 0,
            known_instance_digests: Vec::new(),
        }
    }

    /// What a gateway that connects now is told first.
    pub fn first_update(&mut self) -> GatewayUpdate {
        let report = self.demand_report(0, 0);
        self.members[self.leader].report(at(self.now), 5, &report);
        self.run(STEP);
        let first = self.updates.iter().find(|(connection, _)| *connection == 5);
        first.expect("an update").1.clone()
    }

    /// Instances that the leader knows.
    pub fn known(&self) -> usize {
        self.known_runs().len()
    }

    pub fn known_runs(&self) -> BTreeSet<String> {
        let known = self.members[self.leader].known_instances();
        known.map(|instance| instance.0.clone()).collect()
    }

    pub fn living_runs(&self) -> BTreeSet<String> {
        self.instances.values().map(|it| it.id().0).collect()
    }

    /// Instances that announce themselves at a member.
    pub fn held_at(&self, member: usize) -> usize {
        self.instances
            .values()
            .filter(|it| it.member == member)
            .count()
    }

    /// Active engines that hold a model.
    pub fn active_replicas(&self, number: u64) -> usize {
        let name = model(number);
        let active = self.members[self.leader].active_instances();
        let holds = |record: &&InstanceRecord| record.models.iter().any(|it| it.model == name);
        active.filter(holds).count()
    }

    /// Those of them that live.
    pub fn living_replicas(&self, number: u64) -> usize {
        let name = model(number);
        let living = self.living_runs();
        let active = self.members[self.leader].active_instances();
        let holds = |record: &&InstanceRecord| record.models.iter().any(|it| it.model == name);
        let active = active.filter(holds);
        active.filter(|it| living.contains(&it.instance.0)).count()
    }
}
