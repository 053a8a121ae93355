//! Members with self-announcing instances, one of them the leader, in virtual time. Messages
//! between members are counted and may be lost, delayed and duplicated.

use super::at;
use super::documents::{EngineCapacity, engine_document, model as model_spec};
use millpass_fleet::{
    DocumentHistory, Fleet, FleetOutput, FleetSettings, GatewayContext, InstructionHistory,
};
use millpass_proto::*;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Announcement interval of an instance, in milliseconds.
const ANNOUNCE_INTERVAL: u64 = 2_000;
/// Time step, in milliseconds.
const STEP: u64 = 10;
/// Number of models; each engine holds two.
pub const MODELS: u64 = 100;
const ZONES: u64 = 4;
/// Time after which an instance retries at another member, in milliseconds.
const RETRY_DELAY: u64 = 1_000;

pub fn model(number: u64) -> ModelName {
    format!("m-{number:03}").as_str().into()
}

/// Reports received by the leader.
#[derive(Clone, Copy, Debug, Default)]
pub struct ReportStats {
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
    next_announcement: u64,
}

impl Instance {
    fn id(&self) -> InstanceId {
        InstanceId::of_run(&Cluster::name(self.number), self.incarnation)
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
            software: SoftwareStatement::default(),
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

enum Message {
    Report(ShareReport),
    Response(usize, ShareResponse),
}

pub struct Cluster {
    pub now: u64,
    members: Vec<Fleet>,
    stopped: BTreeSet<usize>,
    partitioned: BTreeSet<usize>,
    leader: usize,
    instances: BTreeMap<u64, Instance>,
    muted: bool,
    messages: BTreeMap<(u64, u64), Message>,
    message_count: u64,
    seed: u64,
    failure_percent: u64,
    document: DeploymentDocument,
    documents: DocumentHistory,
    pub report_stats: ReportStats,
    pub removed: Vec<String>,
    pub reads: usize,
    pub loads: usize,
    pending_reads: VecDeque<(InstanceId, CallId)>,
    updates: Vec<(u64, GatewayUpdate)>,
    demand: Option<(u64, u64)>,
}

impl Cluster {
    /// Creates members, the first of them the leader, and instances spread over them.
    pub fn new(members: u64, instances: u64) -> Cluster {
        let settings = FleetSettings {
            announce_interval: Duration::from_millis(ANNOUNCE_INTERVAL),
            ..FleetSettings::default()
        };
        let models = (0..MODELS).map(|number| model_spec(&model(number).0, 60, 0));
        let capacity = EngineCapacity {
            weights_kilobytes: 130,
            adapter_slots: 2,
            milliloads_per_second: 2_000,
        };
        let document = engine_document(models.collect(), &capacity);
        let mut documents = DocumentHistory::new();
        documents.record(at(0), &document.clone().into());
        let mut cluster = Cluster {
            now: 0,
            members: (0..members).map(|_| Fleet::new(settings.clone())).collect(),
            stopped: BTreeSet::new(),
            partitioned: BTreeSet::new(),
            leader: 0,
            instances: BTreeMap::new(),
            muted: false,
            messages: BTreeMap::new(),
            message_count: 0,
            seed: 1,
            failure_percent: 0,
            document,
            documents,
            report_stats: ReportStats::default(),
            removed: Vec::new(),
            reads: 0,
            loads: 0,
            pending_reads: VecDeque::new(),
            updates: Vec::new(),
            demand: None,
        };
        cluster.add(instances, ANNOUNCE_INTERVAL);
        cluster
    }

    pub fn name(number: u64) -> String {
        format!("i-{number:05}")
    }

    /// Adds instances that first announce themselves within this time.
    pub fn add(&mut self, instances: u64, within: u64) {
        for number in 0..instances {
            let instance = Instance {
                number,
                incarnation: 1,
                sequence: 0,
                member: number as usize % self.members.len(),
                next_announcement: self.now + number % within.max(1),
            };
            self.instances.insert(number, instance);
        }
    }

    /// Makes this percentage of messages lost, delayed and duplicated each.
    pub fn set_failures(&mut self, seed: u64, percent: u64) {
        self.seed = seed;
        self.failure_percent = percent;
    }

    /// Stops or resumes all announcements.
    pub fn mute(&mut self, muted: bool) {
        self.muted = muted;
    }

    /// Stops a member.
    pub fn stop_member(&mut self, member: usize) {
        self.stopped.insert(member);
    }

    /// Cuts a member off from the other members, but not from instances, or reconnects it.
    pub fn set_partitioned(&mut self, member: usize, is_partitioned: bool) {
        match is_partitioned {
            true => self.partitioned.insert(member),
            false => self.partitioned.remove(&member),
        };
    }

    /// Makes another member the leader.
    pub fn elect(&mut self, member: u64) {
        self.members[self.leader].reset();
        self.leader = member as usize;
        let leader = &mut self.members[self.leader];
        leader.reset();
        let history = InstructionHistory::new(at(self.now), Duration::ZERO);
        leader.start_leading(
            at(self.now),
            std::iter::empty(),
            std::iter::empty(),
            &history,
        );
    }

    /// Ends an instance without a departure.
    pub fn crash(&mut self, number: u64) {
        self.instances.remove(&number);
    }

    pub fn crash_zone(&mut self, in_zone: u64) {
        self.instances
            .retain(|number, _| zone(*number) != zone(in_zone));
    }

    /// Makes an instance announce itself at the next member.
    pub fn move_instance(&mut self, number: u64) {
        let members = self.members.len();
        if let Some(instance) = self.instances.get_mut(&number) {
            instance.member = (instance.member + 1) % members;
            instance.next_announcement = self.now;
        }
    }

    /// Restarts an instance under its name, at the next member.
    pub fn restart(&mut self, number: u64) {
        if let Some(instance) = self.instances.get_mut(&number) {
            instance.incarnation += 1;
            instance.sequence = 0;
        }
        self.move_instance(number);
    }

    /// Sets the demand for a model, in prompt tokens a second.
    pub fn set_demand(&mut self, model: u64, tokens: u64) {
        self.demand = Some((model, tokens));
    }

    pub fn run(&mut self, millis: u64) {
        let until = self.now + millis;
        while self.now < until {
            self.now += STEP;
            self.announce();
            self.deliver();
            self.run_leader();
            self.send_reports();
        }
    }

    fn announce(&mut self) {
        if self.muted {
            return;
        }
        for instance in self.instances.values_mut() {
            if instance.next_announcement > self.now {
                continue;
            }
            if self.stopped.contains(&instance.member) {
                instance.member = (instance.member + 1) % self.members.len();
                instance.next_announcement = self.now + RETRY_DELAY;
                continue;
            }
            instance.sequence += 1;
            instance.next_announcement += ANNOUNCE_INTERVAL;
            let record = instance.record();
            self.members[instance.member].handle_announcement(at(self.now), record, false);
        }
    }

    fn deliver(&mut self) {
        let later = self.messages.split_off(&(self.now + 1, 0));
        let arrived = std::mem::replace(&mut self.messages, later);
        for message in arrived.into_values() {
            match message {
                Message::Report(report) => self.deliver_report(report),
                Message::Response(member, response) => {
                    self.members[member].handle_share_response(&response)
                }
            }
        }
    }

    fn deliver_report(&mut self, report: ShareReport) {
        let member = report.from.member.0 as usize - 1;
        let size = codec::encode(&LinkMessage::Share(report.clone()));
        let size = size.expect("the report can be encoded").len();
        self.report_stats.reports += 1;
        self.report_stats.bytes += size;
        self.report_stats.largest = self.report_stats.largest.max(size);
        self.report_stats.most_records = self.report_stats.most_records.max(report.instances.len());
        let leader = &mut self.members[self.leader];
        let own = address(self.leader);
        let response = leader.handle_share_report(at(self.now), &report, own, &|_| None);
        self.send(Message::Response(member, response));
    }

    fn send_reports(&mut self) {
        for member in 0..self.members.len() {
            let fleet = &mut self.members[member];
            fleet.maintain_share(at(self.now));
            let is_silent = member == self.leader || self.stopped.contains(&member);
            if is_silent || !fleet.is_share_report_due(at(self.now)) {
                continue;
            }
            let report = fleet.next_share_report(at(self.now), 77, &address(member), true);
            if !self.partitioned.contains(&member) {
                self.send(Message::Report(report));
            }
        }
    }

    fn send(&mut self, message: Message) {
        let copy = match &message {
            Message::Report(report) => Message::Report(report.clone()),
            Message::Response(member, response) => Message::Response(*member, response.clone()),
        };
        if self.should_fail() {
            return;
        }
        let delay = if self.should_fail() { 1_200 } else { 2 };
        self.message_count += 1;
        self.messages
            .insert((self.now + delay, self.message_count), message);
        if self.should_fail() {
            self.message_count += 1;
            self.messages
                .insert((self.now + 700, self.message_count), copy);
        }
    }

    /// Returns true for `failure_percent` of the calls, using SplitMix64.
    fn should_fail(&mut self) -> bool {
        self.seed = self.seed.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mixed = (self.seed ^ (self.seed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        let mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        (mixed ^ (mixed >> 31)) % 100 < self.failure_percent
    }

    fn run_leader(&mut self) {
        if let Some((number, tokens)) = self.demand
            && self.now.is_multiple_of(100)
        {
            let report = self.demand_report(number, tokens / 10);
            self.members[self.leader].handle_report(at(self.now), 9, &report);
        }
        let context = GatewayContext {
            members: &Vec::new,
            departed: &|_| Vec::new(),
            as_of: 0,
            documents: &self.documents,
        };
        let leader = &mut self.members[self.leader];
        let outputs = leader.run(
            at(self.now),
            1,
            Some(&self.document.clone().into()),
            &context,
        );
        for output in outputs {
            match output {
                FleetOutput::ReadEngine { instance, call, .. } => {
                    self.reads += 1;
                    self.pending_reads.push_back((instance, call));
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
                    self.removed.push(name.to_owned());
                }
                _ => {}
            }
        }
        self.respond_to_reads();
    }

    fn respond_to_reads(&mut self) {
        for (instance, call) in std::mem::take(&mut self.pending_reads) {
            let number: u64 = instance.name()[2..]
                .parse()
                .expect("instance names end in a number");
            let Some(found) = self.instances.get(&number) else {
                continue;
            };
            let result = millpass_fleet::CallResult {
                instance,
                call,
                result: InstructionResult::State(EngineState {
                    revision: 0,
                    busy: false,
                    models: found.record().models,
                    in_memory: Vec::new(),
                    on_disk: Vec::new(),
                    loading_adapters: Vec::new(),
                }),
                queue_time: Duration::ZERO,
                response_time: Duration::ZERO,
            };
            self.members[self.leader].handle_call_result(at(self.now), &result);
        }
    }

    fn demand_report(&self, number: u64, tokens: u64) -> GatewayReport {
        let demand = match tokens {
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
                refused_full: 0,
            }],
        };
        GatewayReport {
            gateway: "g".to_owned(),
            zone: "zone-0".into(),
            sequence: self.now,
            version: 1,
            demand,
            inconsistent: Vec::new(),
            in_flight: Vec::new(),
            as_of: 0,
            known_instance_digests: Vec::new(),
            paces: Vec::new(),
        }
    }

    /// Returns the first update of a newly connected gateway.
    pub fn first_update(&mut self) -> GatewayUpdate {
        let report = self.demand_report(0, 0);
        self.members[self.leader].handle_report(at(self.now), 5, &report);
        self.run(STEP);
        let first = self.updates.iter().find(|(connection, _)| *connection == 5);
        first.expect("a first update is sent").1.clone()
    }

    /// Returns the number of instances known to the leader.
    pub fn known_count(&self) -> usize {
        self.known_incarnations().len()
    }

    pub fn known_incarnations(&self) -> BTreeSet<String> {
        let known = self.members[self.leader].known_instances();
        known.map(|instance| instance.0.clone()).collect()
    }

    pub fn live_incarnations(&self) -> BTreeSet<String> {
        self.instances.values().map(|it| it.id().0).collect()
    }

    /// Returns the number of instances that announce themselves at a member.
    pub fn count_at(&self, member: usize) -> usize {
        self.instances
            .values()
            .filter(|it| it.member == member)
            .count()
    }

    /// Returns the number of active engines that hold a model.
    pub fn active_replicas(&self, number: u64) -> usize {
        let name = model(number);
        let active = self.members[self.leader].active_instances();
        let holds = |record: &&InstanceRecord| record.models.iter().any(|it| it.model == name);
        active.filter(holds).count()
    }

    /// Returns the number of live active engines that hold a model.
    pub fn live_replicas(&self, number: u64) -> usize {
        let name = model(number);
        let live = self.live_incarnations();
        let active = self.members[self.leader].active_instances();
        let holds = |record: &&InstanceRecord| record.models.iter().any(|it| it.model == name);
        let active = active.filter(holds);
        active.filter(|it| live.contains(&it.instance.0)).count()
    }
}
