//! Simulated machines and network in virtual time.

use super::checks::{Checks, Rule};
use super::machine::{Clock, Machine};
use super::values::{DRIFT_BOUND_PER_MILLE, MAXIMUM_APPEND_BYTES, command, initial, sized_command};
use millpass_consensus::{
    ConsensusInput, ConsensusOutput, EndedCandidacy, MembershipChange, PersistRequest,
};
use millpass_proto::codec::encoded_bytes;
use millpass_proto::{LogEntry, MemberId, Membership, PeerEnvelope, PeerMessage, SnapshotMeta};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeMap, BTreeSet};

pub const MILLISECOND: u64 = 1_000;
/// Sync delay of writes that were acknowledged early.
const LATE_SYNC_MICROS: (u64, u64) = (100 * MILLISECOND, 1_000 * MILLISECOND);
const TICK_MICROS: u64 = 5 * MILLISECOND;

/// Behavior of network and disks.
#[derive(Clone, Copy, Debug)]
pub struct Conditions {
    pub loss_per_mille: u32,
    pub duplicate_per_mille: u32,
    pub delay_micros: (u64, u64),
    pub sync_micros: (u64, u64),
}

pub const CALM: Conditions = Conditions {
    loss_per_mille: 0,
    duplicate_per_mille: 0,
    delay_micros: (500, 1_500),
    sync_micros: (100, 1_000),
};

pub const ROUGH: Conditions = Conditions {
    loss_per_mille: 80,
    duplicate_per_mille: 80,
    delay_micros: (300, 20_000),
    sync_micros: (100, 12_000),
};

/// A rule that the harness breaks to verify that the checks report it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum BrokenRule {
    #[default]
    None,
    /// Writes are reported as synced immediately.
    AcknowledgeBeforePersistence,
    /// Clocks drift more than the lease allows.
    ClocksBeyondBound,
    /// A member whose disk was lost rejoins with its old id.
    SameIdentityAfterLostDisk,
    /// Members restart without the initial wait for their vote promise, simulated by an early start
    /// time.
    ForgottenPromise,
}

enum Event {
    Tick {
        machine: usize,
        incarnation: u64,
    },
    Synced {
        machine: usize,
        incarnation: u64,
        write: u64,
    },
    Deliver {
        machine: usize,
        envelope: Box<PeerEnvelope>,
    },
    /// A delayed message or disk report is processed by a lagging machine.
    ProcessDelayed {
        event: Box<Event>,
        incarnation: u64,
    },
}

impl Event {
    fn machine(&self) -> usize {
        match self {
            Event::Tick { machine, .. }
            | Event::Synced { machine, .. }
            | Event::Deliver { machine, .. } => *machine,
            Event::ProcessDelayed { event, .. } => event.machine(),
        }
    }
}

/// Append requests sent, by size.
#[derive(Debug, Default)]
pub struct SentBytes {
    /// Most encoded bytes in a request of several entries.
    pub largest_batch: usize,
    /// Requests of more than [`MAXIMUM_APPEND_BYTES`].
    pub large_requests: usize,
}

pub struct Cluster {
    pub now: u64,
    pub machines: Vec<Machine>,
    pub checks: Checks,
    pub conditions: Conditions,
    pub broken: BrokenRule,
    pub random: ChaCha8Rng,
    /// Severed directed links.
    pub severed_links: BTreeSet<(usize, usize)>,
    pub acknowledged_tickets: BTreeSet<u64>,
    pub refusals: Vec<String>,
    pub sent: SentBytes,
    /// Bandwidth of each directed link for large requests, which small messages overtake.
    pub bytes_per_second: Option<u64>,
    /// When a link has carried its large requests.
    links_busy_until: BTreeMap<(usize, usize), u64>,
    /// Failed candidacies, by machine.
    pub candidacies: Vec<(usize, EndedCandidacy)>,
    routes: BTreeMap<MemberId, usize>,
    events: BTreeMap<(u64, u64), Event>,
    next_event: u64,
    next_ticket: u64,
    next_identity: u64,
    postponed: Vec<Event>,
    /// Deferred write reports of stalled disks, by machine.
    stalled: BTreeMap<usize, Vec<Event>>,
}

impl Cluster {
    pub fn new(seed: u64, voters: u64, conditions: Conditions) -> Self {
        Cluster::with_broken_rule(seed, voters, conditions, BrokenRule::None)
    }

    pub fn with_broken_rule(
        seed: u64,
        voters: u64,
        conditions: Conditions,
        broken: BrokenRule,
    ) -> Self {
        let mut cluster = Cluster {
            now: 0,
            machines: Vec::new(),
            checks: Checks::default(),
            conditions,
            broken,
            random: ChaCha8Rng::seed_from_u64(seed),
            severed_links: BTreeSet::new(),
            acknowledged_tickets: BTreeSet::new(),
            refusals: Vec::new(),
            sent: SentBytes::default(),
            bytes_per_second: None,
            links_busy_until: BTreeMap::new(),
            candidacies: Vec::new(),
            routes: BTreeMap::new(),
            events: BTreeMap::new(),
            next_event: 0,
            next_ticket: 1,
            next_identity: 100,
            postponed: Vec::new(),
            stalled: BTreeMap::new(),
        };
        let identities: Vec<u64> = (1..=voters).collect();
        for identity in &identities {
            cluster.add_machine(MemberId(*identity), initial(&identities));
        }
        cluster
    }

    fn add_machine(&mut self, member: MemberId, meta: SnapshotMeta) {
        let machine = self.machines.len();
        let clock = self.draw_clock();
        self.machines.push(Machine::new(member, meta, clock));
        self.routes.insert(member, machine);
        self.start(machine);
    }

    /// Restarts a machine with another clock.
    pub fn restart_with_clock(&mut self, machine: usize, drift_per_mille: i64) {
        self.crash(machine);
        self.machines[machine].clock = Clock::drifting(1, drift_per_mille);
        self.start(machine);
    }

    fn draw_clock(&mut self) -> Clock {
        let bound = match self.broken {
            BrokenRule::ClocksBeyondBound => 4 * DRIFT_BOUND_PER_MILLE,
            _ => DRIFT_BOUND_PER_MILLE,
        };
        let drift = self.random.random_range(-bound..=bound);
        Clock::drifting(self.random.random_range(1..1000), drift)
    }

    /// Starts a stopped machine from its disk.
    pub fn start(&mut self, machine: usize) {
        if self.machines[machine].core.is_some() {
            return;
        }
        let seed = self.random.random();
        let started_at = match self.broken {
            BrokenRule::ForgottenPromise => self.now.saturating_sub(120 * MILLISECOND),
            _ => self.now,
        };
        let outputs = self.machines[machine].start(started_at, seed);
        self.execute(machine, outputs);
        // Running time only advances in steps, so step through the whole interval.
        for at in (started_at..self.now).step_by(TICK_MICROS as usize) {
            let outputs = self.machines[machine].step(at, ConsensusInput::Tick);
            self.execute(machine, outputs);
        }
        let incarnation = self.machines[machine].incarnation;
        self.schedule(
            TICK_MICROS,
            Event::Tick {
                machine,
                incarnation,
            },
        );
    }

    /// Crashes a machine; some of its pending writes may still reach the disk.
    pub fn crash(&mut self, machine: usize) {
        let under_way = self.machines[machine].disk.pending.len();
        let survive = self.random.random_range(0..=under_way);
        self.machines[machine].stop(survive);
        self.postponed.retain(|event| event.machine() != machine);
    }

    /// Restarts a machine with an empty disk and a new id. Returns the old id.
    pub fn lose_disk(&mut self, machine: usize) -> MemberId {
        let old = self.machines[machine].member;
        self.crash(machine);
        let meta = match self.broken {
            BrokenRule::SameIdentityAfterLostDisk => initial(&[1, 2, 3, 4, 5]),
            _ => initial(&[]),
        };
        let member = match self.broken {
            BrokenRule::SameIdentityAfterLostDisk => old,
            _ => MemberId(self.next_identity),
        };
        self.next_identity += 1;
        let incarnation = self.machines[machine].incarnation;
        let clock = self.draw_clock();
        self.machines[machine] = Machine::new(member, meta, clock);
        self.machines[machine].incarnation = incarnation;
        self.routes.insert(member, machine);
        self.start(machine);
        old
    }

    pub fn freeze(&mut self, machine: usize) {
        if self.machines[machine].core.is_some() {
            self.machines[machine].frozen = true;
        }
    }

    /// Resumes a machine and handles the events that arrived meanwhile.
    pub fn wake(&mut self, machine: usize) {
        if !self.machines[machine].frozen {
            return;
        }
        self.machines[machine].frozen = false;
        let (waiting, others): (Vec<Event>, Vec<Event>) = std::mem::take(&mut self.postponed)
            .into_iter()
            .partition(|event| event.machine() == machine);
        self.postponed = others;
        for event in waiting {
            self.handle(event);
        }
    }

    /// Severs all links between `side` and the other machines, in both directions.
    pub fn partition(&mut self, side: &BTreeSet<usize>) {
        for from in 0..self.machines.len() {
            for to in 0..self.machines.len() {
                if side.contains(&from) != side.contains(&to) {
                    self.severed_links.insert((from, to));
                }
            }
        }
    }

    /// Ends all faults.
    pub fn heal(&mut self) {
        self.severed_links.clear();
        self.conditions = CALM;
        for machine in 0..self.machines.len() {
            self.lag(machine, (0, 0));
            self.wake(machine);
            self.start(machine);
        }
    }

    /// Delays the processing of events on a machine, in order.
    pub fn lag(&mut self, machine: usize, micros: (u64, u64)) {
        self.machines[machine].lag_micros = micros;
    }

    /// Reschedules an event for a lagging machine, or returns it for immediate processing.
    fn delay_if_lagging(&mut self, event: Event) -> Option<Event> {
        let machine = event.machine();
        let (least, most) = self.machines[machine].lag_micros;
        let arrives = matches!(event, Event::Deliver { .. } | Event::Synced { .. });
        if most == 0 || !arrives {
            return Some(event);
        }
        let lag = self.random.random_range(least..=most);
        let machine = &mut self.machines[machine];
        machine.busy_until = machine.busy_until.max(self.now + lag);
        let (delay, incarnation) = (machine.busy_until - self.now, machine.incarnation);
        let event = Box::new(event);
        self.schedule(delay, Event::ProcessDelayed { event, incarnation });
        None
    }

    fn schedule(&mut self, delay: u64, event: Event) {
        self.next_event += 1;
        let key = (self.now + delay, self.next_event);
        self.events.insert(key, event);
    }

    /// Runs for a duration of virtual time.
    pub fn run(&mut self, micros: u64) {
        let end = self.now + micros;
        while let Some(entry) = self.events.first_entry() {
            if entry.key().0 > end {
                break;
            }
            let ((at, _), event) = entry.remove_entry();
            self.now = at;
            if let Some(event) = self.delay_if_lagging(event) {
                self.handle(event);
            }
            self.checks.leases(at, &self.machines);
        }
        self.now = end;
    }

    /// Runs until a condition holds, at most for a duration of virtual time.
    pub fn run_until(&mut self, micros: u64, condition: impl Fn(&Cluster) -> bool) -> bool {
        let end = self.now + micros;
        while self.now < end {
            if condition(self) {
                return true;
            }
            self.run(MILLISECOND);
        }
        condition(self)
    }

    /// Stalls a machine's disk until it is resumed.
    pub fn stall_disk(&mut self, machine: usize) {
        self.stalled.entry(machine).or_default();
    }

    /// Completes all deferred writes of a stalled disk.
    pub fn resume_disk(&mut self, machine: usize) {
        for event in self.stalled.remove(&machine).unwrap_or_default() {
            self.schedule(0, event);
        }
    }

    fn handle(&mut self, event: Event) {
        let index = event.machine();
        if let (Some(deferred), Event::Synced { .. }) = (self.stalled.get_mut(&index), &event) {
            return deferred.push(event);
        }
        if self.machines[index].frozen {
            self.postponed.push(event);
            return;
        }
        let incarnation = self.machines[index].incarnation;
        match event {
            Event::Tick {
                machine,
                incarnation: of,
            } if of == incarnation => {
                self.input(machine, ConsensusInput::Tick);
                self.schedule(
                    TICK_MICROS,
                    Event::Tick {
                        machine,
                        incarnation,
                    },
                );
            }
            Event::Synced {
                machine,
                incarnation: of,
                write,
            } if of == incarnation => {
                self.machines[machine].disk.sync_up_to(write);
                if self.broken != BrokenRule::AcknowledgeBeforePersistence {
                    self.input(machine, ConsensusInput::Persisted { write });
                }
            }
            Event::ProcessDelayed {
                event,
                incarnation: of,
            } if of == incarnation => self.handle(*event),
            Event::Deliver { machine, envelope } => {
                self.input(machine, ConsensusInput::Receive(*envelope));
            }
            _ => {}
        }
    }

    pub fn input(&mut self, machine: usize, input: ConsensusInput) {
        let now = self.now;
        let outputs = self.machines[machine].step(now, input);
        self.execute(machine, outputs);
    }

    fn execute(&mut self, machine: usize, outputs: Vec<ConsensusOutput>) {
        for output in outputs {
            match output {
                ConsensusOutput::Send(envelope) => self.send(machine, envelope),
                ConsensusOutput::Persist(request) => self.persist(machine, request),
                ConsensusOutput::Commit(entries) => self.commit(machine, &entries),
                ConsensusOutput::Restore(snapshot) => self.machines[machine].restore(&snapshot),
                ConsensusOutput::Appended { ticket, position } => {
                    self.machines[machine].tickets.insert(position, ticket);
                }
                ConsensusOutput::Rejected { reason, .. } => self.refusals.push(reason.to_string()),
                ConsensusOutput::RoleChanged(status) => {
                    let member = self.machines[machine].member;
                    if status.role == millpass_consensus::Role::Leader {
                        self.checks.leads(self.now, member, status.term);
                    }
                }
                ConsensusOutput::CandidacyEnded(ended) => self.candidacies.push((machine, ended)),
            }
        }
    }

    fn send(&mut self, from: usize, envelope: PeerEnvelope) {
        self.checks.sends(self.now, &self.machines[from], &envelope);
        let Some(&to) = self.routes.get(&envelope.to) else {
            return;
        };
        let transfer_micros = self.transfer_micros(from, to, &envelope);
        if self.severed_links.contains(&(from, to)) {
            return;
        }
        let copies = 1 + u64::from(self.chance(self.conditions.duplicate_per_mille));
        for _ in 0..copies {
            if self.chance(self.conditions.loss_per_mille) {
                continue;
            }
            let (least, most) = self.conditions.delay_micros;
            let delay = self.random.random_range(least..=most) + transfer_micros;
            let envelope = Box::new(envelope.clone());
            self.schedule(
                delay,
                Event::Deliver {
                    machine: to,
                    envelope,
                },
            );
        }
    }

    /// Records a message and returns how long it takes on its link, behind earlier large requests.
    fn transfer_micros(&mut self, from: usize, to: usize, envelope: &PeerEnvelope) -> u64 {
        let PeerMessage::AppendRequest(request) = &envelope.message else {
            return 0;
        };
        let bytes: usize = request.entries.iter().map(encoded_bytes).sum();
        if request.entries.len() > 1 {
            self.sent.largest_batch = self.sent.largest_batch.max(bytes);
        }
        if bytes <= MAXIMUM_APPEND_BYTES {
            return 0;
        }
        self.sent.large_requests += 1;
        let Some(bandwidth) = self.bytes_per_second else {
            return 0;
        };
        let busy_until = self.links_busy_until.entry((from, to)).or_default();
        let duration = bytes as u64 * 1_000 * MILLISECOND / bandwidth;
        *busy_until = self.now.max(*busy_until) + duration;
        *busy_until - self.now
    }

    pub fn chance(&mut self, per_mille: u32) -> bool {
        self.random.random_range(0..1000) < per_mille
    }

    fn persist(&mut self, machine: usize, request: PersistRequest) {
        self.checks.writes(self.now, &request.entries);
        let write = request.write;
        let incarnation = self.machines[machine].incarnation;
        self.machines[machine].disk.pending.push_back(request);
        let (least, most) = match self.broken {
            BrokenRule::AcknowledgeBeforePersistence => LATE_SYNC_MICROS,
            _ => self.conditions.sync_micros,
        };
        let delay = self.random.random_range(least..=most);
        self.schedule(
            delay,
            Event::Synced {
                machine,
                incarnation,
                write,
            },
        );
        if self.broken == BrokenRule::AcknowledgeBeforePersistence {
            self.input(machine, ConsensusInput::Persisted { write });
        }
    }

    fn commit(&mut self, index: usize, entries: &[LogEntry]) {
        for entry in entries {
            let machine = &mut self.machines[index];
            let member = machine.member;
            if entry.position.index != machine.applied + 1 {
                let detail = format!("applies {} after {}", entry.position, machine.applied);
                self.checks.applies_out_of_order(self.now, member, detail);
            }
            machine.apply(entry);
            if let Some(ticket) = machine.tickets.remove(&entry.position) {
                self.acknowledged_tickets.insert(ticket);
                let acknowledged = &mut self.checks.acknowledged;
                *acknowledged = (*acknowledged).max(entry.position.index);
            }
            self.checks.commits(self.now, member, entry);
        }
    }

    /// Returns the running machine that leads the highest term.
    pub fn leader(&self) -> Option<usize> {
        let leads = |index: &usize| self.machines[*index].leads();
        let term = |index: &usize| self.machines[*index].status().map(|status| status.term);
        (0..self.machines.len()).filter(leads).max_by_key(term)
    }

    pub fn machine_of(&self, member: MemberId) -> Option<usize> {
        let index = *self.routes.get(&member)?;
        (self.machines[index].member == member).then_some(index)
    }

    /// Returns the leader's membership.
    pub fn membership(&self) -> Option<Membership> {
        let leader = self.leader()?;
        self.machines[leader]
            .status()
            .map(|status| status.membership)
    }

    fn ticket(&mut self) -> u64 {
        self.next_ticket += 1;
        self.next_ticket
    }

    /// Proposes at the leader, if there is one. Returns the ticket.
    pub fn propose(&mut self) -> u64 {
        self.propose_sized(0)
    }

    /// Proposes a command of at least `bytes` bytes at the leader, if there is one. Returns the
    /// ticket.
    pub fn propose_sized(&mut self, bytes: usize) -> u64 {
        let ticket = self.ticket();
        if let Some(leader) = self.leader() {
            let command = match bytes {
                0 => command(ticket),
                _ => sized_command(ticket, bytes),
            };
            if !self.machines[leader].frozen {
                self.input(leader, ConsensusInput::Propose { ticket, command });
            }
        }
        ticket
    }

    pub fn change(&mut self, change: MembershipChange) -> u64 {
        let ticket = self.ticket();
        if let Some(leader) = self.leader()
            && !self.machines[leader].frozen
        {
            self.input(leader, ConsensusInput::ChangeMembership { ticket, change });
        }
        ticket
    }

    pub fn transfer(&mut self, target: MemberId) {
        if let Some(leader) = self.leader()
            && !self.machines[leader].frozen
        {
            self.input(leader, ConsensusInput::TransferLeadership(target));
        }
    }

    pub fn snapshot(&mut self, machine: usize) {
        let node = &mut self.machines[machine];
        if node.core.is_none() || node.frozen || node.applied <= node.disk.meta.last.index {
            return;
        }
        let snapshot = node.take_snapshot();
        node.disk.save_snapshot(snapshot.clone());
        self.input(machine, ConsensusInput::SnapshotTaken(snapshot));
    }

    /// Proposes until a proposal is acknowledged. Returns false if none is in time.
    pub fn propose_until_acknowledged(&mut self, micros: u64) -> bool {
        let end = self.now + micros;
        let mut tickets = BTreeSet::new();
        while self.now < end {
            tickets.insert(self.propose());
            self.run(50 * MILLISECOND);
            if !tickets.is_disjoint(&self.acknowledged_tickets) {
                return true;
            }
        }
        false
    }

    /// Ends all faults and checks that the group makes progress and all members converge.
    pub fn settle(&mut self) {
        self.heal();
        self.run(500 * MILLISECOND);
        if !self.propose_until_acknowledged(5_000 * MILLISECOND) {
            let detail = "no proposal is acknowledged after the faults".to_owned();
            self.checks.report(Rule::Converges, self.now, detail);
        }
        self.run(500 * MILLISECOND);
        let members: Vec<MemberId> = self.membership().map_or_else(Vec::new, |membership| {
            let all = membership.voters.iter().chain(&membership.learners);
            all.map(|address| address.member).collect()
        });
        self.checks.converged(self.now, &self.machines, &members);
    }

    pub fn assert_clean(&self, seed: u64) {
        let violations = &self.checks.violations;
        assert!(violations.is_empty(), "seed {seed}: {violations:#?}");
    }
}
