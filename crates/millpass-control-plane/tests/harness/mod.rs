//! Deterministic simulation for the core in virtual time: members with a network and disks, routers
//! that report, and engines that accept orders.

#![allow(dead_code)]

pub mod announced;
pub mod audit;
pub mod engine;
pub mod fleet;
pub mod network;
pub mod router;

pub use engine::TestEngine;
#[allow(unused_imports)]
pub use fleet::Fleet;
#[allow(unused_imports)]
pub use router::TestRouter;

use millpass_consensus::{ConsensusSettings, RestoredLog};
use millpass_control_plane::{
    AdministrationRequest, AdministrationResponse, CallResult, ConnectionId, ControlInput,
    ControlOutput, ControlPlane, ControlPlaneSettings, FleetSettings,
};
use millpass_proto::*;
use millpass_scheduler::SchedulerSettings;
use millpass_state::State;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Default length of one step of virtual time.
const STEP: Duration = Duration::from_millis(5);
/// Wall clock at virtual time zero.
const UNIX_START_MILLIS: u64 = 1_700_000_000_000;

/// Timing of the consensus core.
#[derive(Clone, Copy)]
pub struct Timing {
    pub election_timeout: Duration,
    pub heartbeat_interval: Duration,
    pub lease_length: Duration,
}

impl Default for Timing {
    fn default() -> Self {
        Timing {
            election_timeout: Duration::from_millis(1_000),
            heartbeat_interval: Duration::from_millis(100),
            lease_length: Duration::from_millis(800),
        }
    }
}

/// One member with its disk.
pub struct Member {
    pub address: MemberAddress,
    /// Membership with which the disk was initialized.
    initial: Membership,
    pub plane: ControlPlane,
    pub hard_state: HardState,
    pub snapshot: Option<Snapshot>,
    pub log: Vec<LogEntry>,
    pub up: bool,
    /// Partitioned from other members, routers and engines.
    pub partitioned: bool,
    /// Whether the core has stopped.
    pub stopped: bool,
    /// Does not handle inputs; they queue until it resumes.
    pub frozen: bool,
    /// Writes are never synced.
    pub disk_stuck: bool,
    queued: Vec<ControlInput>,
    /// Every entry ever written, including those replaced by a snapshot.
    archive: BTreeMap<u64, LogEntry>,
    audited: u64,
}

/// Simulated members, network, engines and platform.
pub struct World {
    pub now: Timestamp,
    pub members: BTreeMap<MemberId, Member>,
    pub responses: BTreeMap<u64, AdministrationResponse>,
    pub to_routers: BTreeMap<ConnectionId, VecDeque<ControlToRouter>>,
    pub deliveries: Vec<(MemberId, EngineOrder)>,
    pub instructions: Vec<(MemberId, EngineInstruction)>,
    pub engine_reads: Vec<(MemberId, InstanceId, CallId)>,
    pub events: Vec<(MemberId, String, String)>,
    pub engines: BTreeMap<BackendName, TestEngine>,
    pub platform: PlatformList,
    /// The platform's list cannot be read.
    pub platform_is_down: bool,
    /// Writes complete only with [`World::sync_disks`].
    pub disks_are_slow: bool,
    unsynced: Vec<(MemberId, ControlInput)>,
    pub snapshot_entries: u64,
    pub network: network::Network,
    /// Checks every committed entry.
    pub audit: audit::Audit,
    /// Whether members send a hello before other messages.
    pub hellos: bool,
    /// Whether the data of snapshot chunks arrives as zeros.
    pub corrupt_snapshots: bool,
    /// Length of one step of virtual time.
    pub step: Duration,
    /// Settings for instances that announce themselves.
    pub fleet: Option<FleetSettings>,
    /// Number of voters up to which learners are promoted.
    pub target_voters: usize,
    pub timing: Timing,
    /// Time without contact after which a member is replaced.
    pub replacement_delay: Duration,
    /// Offset of the members' random seeds.
    pub seed: u64,
    inputs: VecDeque<(MemberId, ControlInput)>,
    calls: u64,
    connections: u64,
    pub connection_member: BTreeMap<ConnectionId, MemberId>,
}

pub fn seconds(count: u64) -> Duration {
    Duration::from_secs(count)
}

pub fn address(member: u64) -> MemberAddress {
    MemberAddress {
        member: MemberId(member),
        zone: ZoneName(format!("zone-{member}")),
        peer_address: format!("10.0.0.{member}:7000"),
        administration_address: format!("10.0.0.{member}:7001"),
    }
}

impl World {
    /// Creates a group of `members` voters.
    pub fn new(members: u64) -> World {
        World::with_snapshots(members, 1_000_000)
    }

    /// The same, with snapshots after this many entries.
    pub fn with_snapshots(members: u64, snapshot_entries: u64) -> World {
        let mut world = World {
            now: Timestamp::from_millis(1_000),
            members: BTreeMap::new(),
            responses: BTreeMap::new(),
            to_routers: BTreeMap::new(),
            deliveries: Vec::new(),
            instructions: Vec::new(),
            engine_reads: Vec::new(),
            events: Vec::new(),
            engines: BTreeMap::new(),
            platform: PlatformList {
                sequence: 1,
                machines: Vec::new(),
            },
            platform_is_down: false,
            disks_are_slow: false,
            unsynced: Vec::new(),
            snapshot_entries,
            network: network::Network::default(),
            audit: audit::Audit::default(),
            hellos: true,
            corrupt_snapshots: false,
            step: STEP,
            fleet: None,
            target_voters: 0,
            timing: Timing::default(),
            replacement_delay: Duration::from_secs(5),
            seed: 0,
            inputs: VecDeque::new(),
            calls: 0,
            connections: 0,
            connection_member: BTreeMap::new(),
        };
        world.boot_voters(members);
        world
    }

    fn settings(&self, address: MemberAddress) -> ControlPlaneSettings {
        ControlPlaneSettings {
            consensus: ConsensusSettings {
                group: GroupId(1),
                member: address.member,
                election_timeout: self.timing.election_timeout,
                heartbeat_interval: self.timing.heartbeat_interval,
                lease_length: self.timing.lease_length,
                stalled_disk_limit: Duration::from_secs(1),
                maximum_append_entries: 64,
                maximum_append_bytes: 384 * 1024,
                maximum_in_flight_bytes: 4 * 1024 * 1024,
                maximum_uncommitted_bytes: 16 * 1024 * 1024,
                snapshot_chunk_bytes: 64 * 1024,
                seed: address.member.0 + self.seed,
            },
            address,
            scheduler: SchedulerSettings::default(),
            router_lease: Duration::from_secs(3),
            scheduling_interval: Duration::from_millis(200),
            snapshot_entries: self.snapshot_entries,
            claim_retention: Duration::from_secs(3_600),
            member_replacement_delay: self.replacement_delay,
            machine_gone_delay: Duration::from_secs(10),
            target_voters: self.target_voters,
            fleet: self.fleet.clone(),
            seeds: vec![self::address(1).peer_address, self::address(2).peer_address],
        }
    }

    /// Starts a member with an empty disk.
    pub fn boot(&mut self, address: MemberAddress, membership: Membership) {
        let restored = RestoredLog {
            hard_state: HardState {
                term: 0,
                voted_for: None,
            },
            snapshot: SnapshotMeta {
                last: LogPosition::ZERO,
                membership: membership.clone(),
            },
            entries: Vec::new(),
        };
        let id = address.member;
        let hard_state = restored.hard_state.clone();
        let settings = self.settings(address.clone());
        let plane = ControlPlane::new(settings, restored, State::default(), self.now);
        let member = Member {
            address,
            initial: membership,
            plane,
            hard_state,
            snapshot: None,
            log: Vec::new(),
            up: true,
            partitioned: false,
            stopped: false,
            frozen: false,
            disk_stuck: false,
            queued: Vec::new(),
            archive: BTreeMap::new(),
            audited: 0,
        };
        self.members.insert(id, member);
    }

    /// Restarts a member from its disk.
    pub fn restart(&mut self, id: u64) {
        let id = MemberId(id);
        self.halt(id);
        let now = self.now;
        let settings = self.settings(self.members[&id].address.clone());
        let member = self.members.get_mut(&id).unwrap();
        let (meta, state) = match &member.snapshot {
            Some(snapshot) => (
                snapshot.meta.clone(),
                State::decode(&snapshot.data).unwrap(),
            ),
            None => (
                SnapshotMeta {
                    last: LogPosition::ZERO,
                    membership: member.initial.clone(),
                },
                State::default(),
            ),
        };
        let first = meta.last.index;
        let restored = RestoredLog {
            hard_state: member.hard_state.clone(),
            snapshot: meta,
            entries: member
                .log
                .iter()
                .filter(|entry| entry.position.index > first)
                .cloned()
                .collect(),
        };
        member.plane = ControlPlane::new(settings, restored, state, now);
        member.up = true;
        member.stopped = false;
        member.frozen = false;
        member.queued.clear();
    }

    /// Restarts the machine of a stopped member with an empty disk: a new identity at the old
    /// address.
    pub fn restart_wiped(&mut self, old: MemberId, new: MemberId) {
        self.halt(old);
        let address = MemberAddress {
            member: new,
            ..self.members[&old].address.clone()
        };
        self.boot_outside_group(address);
    }

    /// Starts a process with an empty disk that is in no membership.
    pub fn boot_outside_group(&mut self, address: MemberAddress) {
        let no_members = Membership {
            voters: Vec::new(),
            outgoing_voters: Vec::new(),
            learners: Vec::new(),
        };
        self.boot(address, no_members);
    }

    /// Starts the initial voters with empty disks, numbered from 1.
    pub fn boot_voters(&mut self, members: u64) {
        let membership = Membership {
            voters: (1..=members).map(address).collect(),
            outgoing_voters: Vec::new(),
            learners: Vec::new(),
        };
        for member in 1..=members {
            self.boot(address(member), membership.clone());
        }
    }

    /// Stops a member's process; its disk is kept.
    pub fn halt(&mut self, id: MemberId) {
        self.members.get_mut(&id).unwrap().up = false;
        self.connection_member.retain(|_, member| *member != id);
    }

    /// Resumes a frozen member, which then handles the queued inputs.
    pub fn resume(&mut self, id: MemberId) {
        let member = self.members.get_mut(&id).unwrap();
        member.frozen = false;
        let queued = std::mem::take(&mut member.queued);
        let inputs = queued.into_iter().map(|input| (id, input));
        self.inputs.extend(inputs);
        self.settle();
    }

    /// Lets processes request to join once per second, for this long.
    pub fn join(&mut self, joiners: &[u64], seconds: u64) {
        for _ in 0..seconds {
            for joiner in joiners {
                for member in self.up() {
                    if self.reachable(member) {
                        self.input(member, ControlInput::Join(address(*joiner)));
                    }
                }
            }
            self.run(Duration::from_secs(1));
        }
    }

    /// Starts a process that is in no membership.
    pub fn boot_joiner(&mut self, joiner: u64) {
        self.boot_outside_group(address(joiner));
    }

    /// Returns the voters in force at a member, sorted.
    pub fn voters(&self, member: MemberId) -> Vec<u64> {
        let status = self.members[&member].plane.consensus_status();
        let voters = status.membership.voters.iter();
        let mut voters: Vec<u64> = voters.map(|voter| voter.member.0).collect();
        voters.sort_unstable();
        voters
    }

    /// Returns a member other than the leader.
    pub fn follower(&self, leader: MemberId) -> MemberId {
        let mut followers = self.up().into_iter().filter(|id| *id != leader);
        followers.next_back().unwrap()
    }

    pub fn unix_millis(&self) -> u64 {
        UNIX_START_MILLIS + self.now.as_millis()
    }

    /// Advances time.
    pub fn run(&mut self, length: Duration) {
        let end = self.now + length;
        while self.now < end {
            self.now = self.now + self.step;
            self.inputs.extend(self.network.arrived(self.now));
            let ids: Vec<MemberId> = self.members.keys().copied().collect();
            for id in ids {
                self.inputs.push_back((id, ControlInput::Tick));
            }
            self.settle();
        }
    }

    /// Passes an input to a member and executes everything that follows immediately.
    pub fn input(&mut self, member: MemberId, input: ControlInput) {
        self.inputs.push_back((member, input));
        self.settle();
    }

    /// Responds to pending reads of an engine's state by a member.
    pub fn complete_reads(
        &mut self,
        member: MemberId,
        instance: &InstanceId,
        result: InstructionResult,
    ) {
        let reads = std::mem::take(&mut self.engine_reads).into_iter();
        let (matching, others): (Vec<_>, Vec<_>) =
            reads.partition(|(reader, read, _)| *reader == member && read == instance);
        self.engine_reads = others;
        for (_, _, call) in matching {
            self.complete_call(member, instance, call, result.clone());
        }
    }

    /// Completes a call to an engine.
    pub fn complete_call(
        &mut self,
        member: MemberId,
        instance: &InstanceId,
        call: CallId,
        result: InstructionResult,
    ) {
        let completed = CallResult {
            instance: instance.clone(),
            call,
            result,
            queue_time: std::time::Duration::ZERO,
            response_time: std::time::Duration::ZERO,
        };
        self.input(member, ControlInput::EngineCallCompleted(completed));
    }

    fn settle(&mut self) {
        while let Some((id, input)) = self.inputs.pop_front() {
            let unix_millis = self.unix_millis();
            let now = self.now;
            let Some(member) = self.members.get_mut(&id) else {
                continue;
            };
            if !member.up {
                continue;
            }
            if member.frozen {
                if !matches!(input, ControlInput::Tick) {
                    member.queued.push(input);
                }
                continue;
            }
            for output in member.plane.step(now, unix_millis, input) {
                self.carry_out(id, output);
            }
            self.audit_commits(id);
        }
    }

    fn audit_commits(&mut self, id: MemberId) {
        let member = self.members.get_mut(&id).unwrap();
        let commit = member.plane.consensus_status().commit;
        let new = member.archive.range(member.audited + 1..);
        for (_, entry) in new.take_while(|(index, _)| **index <= commit) {
            self.audit.committed(entry);
        }
        member.audited = member.audited.max(commit);
    }

    fn reachable(&self, id: MemberId) -> bool {
        self.members
            .get(&id)
            .is_some_and(|member| member.up && !member.partitioned)
    }

    fn carry_out(&mut self, id: MemberId, output: ControlOutput) {
        match output {
            ControlOutput::SendPeer { envelope, .. } => {
                let to = envelope.to;
                if self.reachable(id) && self.reachable(to) {
                    self.send_peer(id, envelope);
                }
            }
            ControlOutput::SendRouter {
                connection,
                message,
            } => {
                if self.reachable(id) {
                    let queue = self.to_routers.entry(connection).or_default();
                    queue.push_back(*message);
                }
            }
            ControlOutput::DeliverOrder { order, .. } => self.deliver(id, order),
            ControlOutput::Persist(request) => self.persist(id, request),
            ControlOutput::SaveSnapshot(snapshot) => {
                self.members.get_mut(&id).unwrap().snapshot = Some(snapshot);
            }
            ControlOutput::ReadPlatform => {
                if self.reachable(id) && !self.platform_is_down {
                    let input = ControlInput::PlatformListed(self.platform.clone());
                    self.inputs.push_back((id, input));
                }
            }
            ControlOutput::AdministrationResponse { call, response } => {
                self.responses.insert(call, response);
            }
            ControlOutput::Event(event) => {
                let pairs = format!("{:?}", event.pairs);
                self.events.push((id, event.name.to_owned(), pairs));
            }
            ControlOutput::ForwardJoin { address, joiner } => {
                self.forward_join(id, &address, joiner)
            }
            ControlOutput::SendShare { address, report } => {
                self.send_share(id, &address, ControlInput::Share(report));
            }
            ControlOutput::SendShareResponse { address, response } => {
                self.send_share(id, &address, ControlInput::ShareResponse(response));
            }
            ControlOutput::Instruct {
                instruction,
                deadline,
            } => {
                assert!(deadline >= self.now);
                self.instructions.push((id, instruction));
            }
            ControlOutput::ReadEngine { instance, call, .. } => {
                self.engine_reads.push((id, instance, call));
            }
            ControlOutput::DocumentReached(_) | ControlOutput::DepartureReached(_) => {}
            ControlOutput::Stopped => self.members.get_mut(&id).unwrap().stopped = true,
        }
    }

    /// Sends a message about instances over the simulated network.
    fn send_share(&mut self, from: MemberId, address: &str, input: ControlInput) {
        let mut members = self.members.values();
        let target = members.find(|member| member.address.peer_address == address);
        let Some(target) = target.map(|member| member.address.member) else {
            return;
        };
        if !self.reachable(from) || !self.reachable(target) {
            return;
        }
        for delay in self.network.share_copies() {
            self.network.send(self.now + delay, target, input.clone());
        }
    }

    fn forward_join(&mut self, from: MemberId, address: &str, joiner: MemberAddress) {
        let target = self
            .members
            .values()
            .find(|member| member.up && member.address.peer_address == address)
            .map(|member| member.address.member);
        if let Some(target) = target
            && self.reachable(from)
            && self.reachable(target)
        {
            self.inputs.push_back((target, ControlInput::Join(joiner)));
        }
    }

    fn send_peer(&mut self, from: MemberId, mut envelope: PeerEnvelope) {
        if self.corrupt_snapshots
            && let PeerMessage::SnapshotChunk(chunk) = &mut envelope.message
        {
            chunk.data.fill(0);
        }
        let to = envelope.to;
        if self.hellos {
            let hello = self.members[&from].address.clone();
            let hello = ControlInput::MemberHello(hello);
            self.inputs.push_back((to, hello));
        }
        for delay in self.network.copies() {
            let input = ControlInput::Peer(envelope.clone());
            if delay == Duration::ZERO {
                self.inputs.push_back((to, input));
            } else {
                self.network.send(self.now + delay, to, input);
            }
        }
    }

    fn persist(&mut self, id: MemberId, request: millpass_consensus::PersistRequest) {
        let member = self.members.get_mut(&id).unwrap();
        if member.disk_stuck {
            return;
        }
        if let Some(hard_state) = request.hard_state {
            member.hard_state = hard_state;
        }
        if let Some(snapshot) = request.snapshot {
            let last = snapshot.meta.last;
            let keep = member.log.iter().any(|entry| entry.position == last);
            if keep {
                member.log.retain(|entry| entry.position.index > last.index);
            } else {
                // Entries replaced by the snapshot were not committed beyond the audited index.
                member.log.clear();
                member.archive.split_off(&(member.audited + 1));
            }
            member.snapshot = Some(snapshot);
        }
        if let Some(first) = request.entries.first() {
            let first = first.position.index;
            member.log.retain(|entry| entry.position.index < first);
            member.archive.split_off(&first);
            for entry in &request.entries {
                member.archive.insert(entry.position.index, entry.clone());
            }
            member.log.extend(request.entries);
        }
        let write = request.write;
        let input = (id, ControlInput::Persisted { write });
        if self.disks_are_slow {
            self.unsynced.push(input);
        } else {
            self.inputs.push_back(input);
        }
    }

    /// Completes all writes that were started while disks were slow.
    pub fn sync_disks(&mut self) {
        self.disks_are_slow = false;
        self.inputs.extend(std::mem::take(&mut self.unsynced));
        self.settle();
    }

    fn deliver(&mut self, id: MemberId, order: EngineOrder) {
        let is_leading = self.members[&id].plane.is_leading(self.now);
        assert!(is_leading, "{id} sent an order without the lease");
        self.deliveries.push((id, order.clone()));
        let backend = order.backend.clone();
        let fence = order.fence;
        let reachable = self.reachable(id);
        let engine = self.engines.get_mut(&backend).filter(|_| reachable);
        let response = engine.and_then(|engine| engine.order(&order));
        let input = ControlInput::OrderDelivered {
            backend,
            fence,
            response,
        };
        self.inputs.push_back((id, input));
    }

    /// Returns the leading member, if any.
    pub fn leader(&self) -> Option<MemberId> {
        self.members
            .iter()
            .filter(|(_, member)| member.up && !member.partitioned && !member.frozen)
            .find(|(_, member)| member.plane.is_leading(self.now))
            .map(|(id, _)| *id)
    }

    /// Advances time until a member is leading.
    pub fn elect(&mut self) -> MemberId {
        for _ in 0..400 {
            if let Some(leader) = self.leader() {
                return leader;
            }
            self.run(Duration::from_millis(50));
        }
        panic!("no leader: {:?}", self.events);
    }

    /// Makes an administration call. Returns the response if it was immediate.
    pub fn call(
        &mut self,
        member: MemberId,
        request: AdministrationRequest,
    ) -> Option<AdministrationResponse> {
        self.calls += 1;
        let call = self.calls;
        self.input(member, ControlInput::Administration { call, request });
        self.responses.get(&call).cloned()
    }

    /// Returns the response to the latest call.
    pub fn last_response(&self) -> Option<&AdministrationResponse> {
        self.responses.get(&self.calls)
    }

    /// Opens a connection to a member.
    pub fn connect(&mut self, member: MemberId) -> ConnectionId {
        self.connections += 1;
        let connection = ConnectionId(self.connections);
        self.connection_member.insert(connection, member);
        connection
    }

    /// Sends a router's message on a connection.
    pub fn router_sends(&mut self, connection: ConnectionId, message: RouterToControl) {
        let member = self.connection_member.get(&connection).copied();
        if let Some(member) = member.filter(|member| self.reachable(*member)) {
            let input = ControlInput::Router {
                connection,
                message,
            };
            self.input(member, input);
        }
    }

    /// Removes and returns the messages sent to a router.
    pub fn take_received(&mut self, connection: ConnectionId) -> Vec<ControlToRouter> {
        let queue = self.to_routers.entry(connection).or_default();
        std::mem::take(queue).into()
    }

    /// Adds an engine to the machine list.
    pub fn add_engine(&mut self, name: &str, zone: &str) {
        let engine = TestEngine::new(name, zone, 1);
        self.platform.sequence += 1;
        self.platform.machines.push(PlatformMachine {
            backend: engine.backend.clone(),
            kind: BackendKind::Engine,
            group: None,
            zone: engine.zone.clone(),
            address: format!("{name}:9000"),
            state: BackendState::Live,
        });
        self.engines.insert(engine.backend.clone(), engine);
    }

    /// Returns the number of events with this name.
    pub fn count_events(&self, name: &str) -> usize {
        self.events.iter().filter(|event| event.1 == name).count()
    }

    /// Returns the applied state of a member.
    pub fn state(&self, member: MemberId) -> &State {
        self.members[&member].plane.state()
    }

    /// Returns the running members.
    pub fn up(&self) -> BTreeSet<MemberId> {
        let up = self.members.iter().filter(|(_, member)| member.up);
        up.map(|(id, _)| *id).collect()
    }
}

/// Returns a change of one object by one operator.
pub fn change(
    kind: ObjectKind,
    name: &str,
    version: u64,
    id: &str,
    spec: ObjectSpec,
) -> ObjectChange {
    ObjectChange {
        key: ObjectKey {
            kind,
            name: name.to_owned(),
        },
        expected_version: version,
        change_id: ChangeId::from(id),
        operator: OperatorName::from("operator"),
        at_unix_millis: 0,
        spec: Some(spec),
    }
}

pub fn tenant(weight: u32) -> ObjectSpec {
    ObjectSpec::Tenant(TenantSpec {
        api_key_hashes: Vec::new(),
        share_weight: weight,
        capacity_bytes: 1 << 30,
        maximum_waiting: 10,
    })
}

/// Creates a model with one version that fits on one engine twice.
pub fn create_model(world: &mut World, leader: MemberId, model: &str) {
    let spec = ObjectSpec::Model(ModelSpec {
        current_version: VersionLabel::from("v1"),
        accelerators_per_replica: 1,
        maximum_replicas: 4,
        minimum_replicas: 0,
        concurrency_per_replica: 8,
    });
    let version = ObjectSpec::Version(VersionSpec {
        model: ModelName::from(model),
        label: VersionLabel::from("v1"),
        weights_bytes: 2_000,
        cache_bytes: 1_000,
        checkpoint: format!("{model}-v1"),
    });
    let changes = [
        change(ObjectKind::Model, model, 0, &format!("{model}-1"), spec),
        change(
            ObjectKind::Version,
            &format!("{model}@v1"),
            0,
            &format!("{model}-2"),
            version,
        ),
    ];
    for change in changes {
        let request = AdministrationRequest::Change(change);
        let response = world.call(leader, request);
        assert!(
            matches!(
                response,
                Some(AdministrationResponse::Change(
                    ObjectChangeOutcome::Accepted(_)
                ))
            ),
            "{response:?}"
        );
    }
}
