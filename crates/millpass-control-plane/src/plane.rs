//! The core itself: takes one input at a time and runs what is due.

use crate::addresses::AddressBook;
use crate::claims::{self, RouterRun, SilentRuns};
use crate::drain::{Drain, DrainStep};
use crate::freshness::BindingMark;
use crate::interface::{
    AdministrationAnswer, ControlInput, ControlOutput, ControlPlaneSettings, FinalState,
};
use crate::missing_voters::{self, MissingVoters};
use crate::news::{self, Told};
use crate::observations::Observations;
use crate::orders::Orders;
use crate::outputs::Outputs;
use crate::pace::PaceWatch;
use crate::platform::{self, Platform};
use crate::proposals::{InternalKey, Proposals, Waiter};
use crate::repair::{self, Repair, RepairSettings};
use crate::sessions::{CopyBudget, RouteCopy, Sessions};
use crate::shares::ShareLink;
use crate::snapshots::AppliedLog;
use crate::watch::WatchShares;
use millpass_consensus::{Consensus, ConsensusInput, ConsensusStatus, RestoredLog, Role};
use millpass_fleet::{DocumentHistory, Fleet, InstructionHistory};
use millpass_proto::{Command, Duration, ExpireClaims, OrderResponse, Snapshot, Timestamp};
use millpass_scheduler::Scheduler;
use millpass_state::State;
use millpass_tenancy::CreditLedger;
use serde_bytes::ByteBuf;

/// Time after which an administration call whose proposal has not committed is answered
/// `Unknown`.
const CALL_DEADLINE: Duration = Duration::from_secs(5);

/// How long notes of instructions are kept; above any pause between two leaders' instructions.
pub(crate) const INSTRUCTION_MEMORY: Duration = Duration::from_secs(600);

/// Entries kept behind a snapshot where entries may hold whole documents.
const DOCUMENT_TRAILING_ENTRIES: u64 = 32;

/// When each periodic job is due next.
#[derive(Clone, Copy, Default)]
pub(crate) struct Schedule {
    scheduling: Timestamp,
    platform: Timestamp,
    repair: Timestamp,
    missing_voters: Timestamp,
    claims: Timestamp,
    silence: Timestamp,
    housekeeping: Timestamp,
    news: Timestamp,
}

/// One control member's decision core.
pub struct ControlPlane {
    pub(crate) settings: ControlPlaneSettings,
    pub(crate) consensus: Consensus,
    pub(crate) state: State,
    pub(crate) applied: AppliedLog,
    /// Role, term and leader as last reported by the consensus core.
    pub(crate) role: Role,
    pub(crate) term: u64,
    pub(crate) addresses: AddressBook,
    pub(crate) proposals: Proposals,
    pub(crate) sessions: Sessions,
    pub(crate) copies: CopyBudget,
    pub(crate) route_copy: RouteCopy,
    pub(crate) silent: SilentRuns,
    pub(crate) watch: WatchShares,
    pub(crate) observations: Observations,
    pub(crate) platform: Platform,
    pub(crate) orders: Orders,
    pub(crate) repair: Repair,
    missing_voters: MissingVoters,
    pub(crate) scheduler: Scheduler,
    /// Instances that announce themselves, where the deployment has them.
    pub(crate) fleet: Option<Fleet>,
    /// What is lent of tenants' quotas; begun anew each time this member takes charge.
    pub(crate) credit: Option<CreditLedger>,
    /// Instructions to engines as the log told them, also those of other leaders.
    pub(crate) instructions: InstructionHistory,
    pub(crate) share_link: ShareLink,
    pub(crate) binding: BindingMark,
    pace: PaceWatch,
    /// The last documents in force, for gateways that hold one of them.
    pub(crate) documents: DocumentHistory,
    /// Whether commands were applied since the outstanding orders were last looked at.
    pub(crate) state_changed: bool,
    /// Revisions that routers were told of.
    pub(crate) told: Option<Told>,
    pub(crate) drain: Option<Drain>,
    schedule: Schedule,
    decisions: u64,
    stopped: Option<FinalState>,
}

impl ControlPlane {
    /// Starts from what the disk holds; `state` is the newest snapshot's.
    pub fn new(
        settings: ControlPlaneSettings,
        restored: RestoredLog,
        state: State,
        now: Timestamp,
    ) -> Self {
        let applied = AppliedLog::new(&restored.snapshot);
        let mut binding = BindingMark::default();
        binding.restored(&state, restored.snapshot.last.index);
        let snapshot = Snapshot {
            meta: restored.snapshot.clone(),
            data: ByteBuf::from(state.encode()),
        };
        let mut consensus = Consensus::new(settings.consensus.clone(), restored, now);
        // A restored snapshot lets a leader help members that lag behind it; nothing to carry out.
        if snapshot.meta.last.index > 0 {
            consensus.step(now, ConsensusInput::SnapshotTaken(snapshot));
        }
        if settings.fleet.is_some() {
            // Entries hold whole documents.
            consensus.set_trailing_entries(DOCUMENT_TRAILING_ENTRIES);
        }
        binding.raise(&consensus, &state);
        let status = consensus.status();
        let mut documents = DocumentHistory::new();
        if let Some(document) = state.document() {
            documents.applied(now, document);
        }
        let loads_per_second = settings.scheduler.store_loads_per_second;
        ControlPlane {
            scheduler: Scheduler::new(settings.scheduler.clone()),
            fleet: settings.fleet.clone().map(Fleet::new),
            credit: None,
            instructions: InstructionHistory::new(now, INSTRUCTION_MEMORY),
            share_link: ShareLink::default(),
            binding,
            pace: PaceWatch::default(),
            documents,
            addresses: AddressBook::new(&status.membership),
            role: status.role,
            term: status.term,
            settings,
            consensus,
            state,
            applied,
            proposals: Proposals::default(),
            sessions: Sessions::default(),
            copies: CopyBudget::default(),
            route_copy: RouteCopy::default(),
            silent: SilentRuns::default(),
            watch: WatchShares::default(),
            observations: Observations::default(),
            platform: Platform::default(),
            orders: Orders::new(loads_per_second),
            repair: Repair::default(),
            missing_voters: MissingVoters::default(),
            state_changed: true,
            told: None,
            drain: None,
            schedule: Schedule::default(),
            decisions: 0,
            stopped: None,
        }
    }

    /// Takes one input; `unix_millis` is the wall clock. Returns what the host must do, in order.
    pub fn step(
        &mut self,
        now: Timestamp,
        unix_millis: u64,
        input: ControlInput,
    ) -> Vec<ControlOutput> {
        if self.stopped.is_some() {
            return Vec::new();
        }
        let mut out = Outputs::default();
        self.take(now, unix_millis, input, &mut out);
        self.run_due(now, unix_millis, &mut out);
        self.binding.raise(&self.consensus, &self.state);
        out.list
    }

    /// What the consensus core believes.
    pub fn consensus_status(&self) -> ConsensusStatus {
        self.consensus.status()
    }

    /// The replicated state as applied here.
    pub fn state(&self) -> &State {
        &self.state
    }

    /// Whether this member may act as the leader now: it holds the lease, and it has applied an
    /// entry of its own term, so that its state lacks nothing that was committed before.
    pub fn in_charge(&self, now: Timestamp) -> bool {
        self.role == Role::Leader
            && self.applied.last.term == self.term
            && self.consensus.holds_lease(now)
    }

    /// Why the core stopped, once it did.
    pub fn final_state(&self) -> Option<&FinalState> {
        self.stopped.as_ref()
    }

    fn take(&mut self, now: Timestamp, unix_millis: u64, input: ControlInput, out: &mut Outputs) {
        match input {
            ControlInput::Tick => {
                self.keep_pace(now);
                self.consensus_step(now, ConsensusInput::Tick, out);
            }
            ControlInput::Peer(envelope) => {
                self.consensus_step(now, ConsensusInput::Receive(envelope), out);
            }
            ControlInput::Persisted { write } => {
                self.consensus_step(now, ConsensusInput::Persisted { write }, out);
            }
            ControlInput::PeerGreeting(address) => self.addresses.greet(address),
            ControlInput::Join(address) => self.take_join(now, address, out),
            ControlInput::Router {
                connection,
                message,
            } => self.take_router(now, unix_millis, connection, message, out),
            ControlInput::RouterDisconnected(connection) => {
                self.sessions.disconnected(connection);
                if let Some(fleet) = &mut self.fleet {
                    fleet.disconnected(now, connection.0);
                }
            }
            ControlInput::RouterBacklog { connection, waits } => {
                if let Some(fleet) = &mut self.fleet {
                    fleet.backlog(now, connection.0, waits);
                }
            }
            ControlInput::OrderDelivered {
                backend,
                fence,
                answer,
            } => self.take_order_answer(now, &backend, fence, answer, out),
            ControlInput::PlatformListed(list) => self.take_platform_list(now, list, out),
            ControlInput::Administration { call, request } => {
                self.take_administration(now, call, request, out);
            }
            ControlInput::InstructionAnswered(answer) => {
                self.instruction_answered(now, &answer);
            }
            ControlInput::Share(report) => self.take_share(now, &report, out),
            ControlInput::ShareResponse(answer) => self.take_share_answer(&answer),
            ControlInput::Drain => {
                out.event("drain-started", Vec::new());
                self.drain.get_or_insert_with(|| Drain::new(now));
            }
        }
    }

    fn keep_pace(&mut self, now: Timestamp) {
        let pace = self.pace.tick(now);
        if let Some(fleet) = &mut self.fleet {
            fleet.set_pace(pace);
        }
    }

    /// The host refused announcements, as too many waited.
    pub fn announcements_refused(&mut self, now: Timestamp) {
        if let Some(fleet) = &mut self.fleet {
            fleet.announcements_refused(now);
        }
    }

    fn take_join(
        &mut self,
        now: Timestamp,
        address: millpass_proto::MemberAddress,
        out: &mut Outputs,
    ) {
        if !self.in_charge(now) {
            if let Some(leader) = self.leader_peer_address()
                && leader != address.peer_address
            {
                out.push(ControlOutput::ForwardJoin {
                    address: leader,
                    joiner: address,
                });
            }
            return;
        }
        let pairs = vec![
            ("member", address.member.to_string()),
            ("zone", address.zone.to_string()),
            ("address", address.peer_address.clone()),
        ];
        if self.repair.joining(now, address) {
            out.event("member-asks-to-join", pairs);
        }
    }

    fn take_order_answer(
        &mut self,
        now: Timestamp,
        backend: &millpass_proto::BackendName,
        fence: millpass_proto::LogPosition,
        answer: Option<OrderResponse>,
        out: &mut Outputs,
    ) {
        self.orders.delivered(now, backend, fence, answer.as_ref());
        let mut pairs = vec![
            ("backend", backend.to_string()),
            ("fence", fence.to_string()),
        ];
        match answer {
            Some(OrderResponse::Accepted) => out.event("order-accepted", pairs),
            Some(OrderResponse::StaleFence(highest)) => {
                pairs.push(("highest", highest.to_string()));
                out.event("order-stale", pairs);
            }
            Some(OrderResponse::WrongIncarnation(run)) => {
                self.observations.run_confirmed(backend, run);
                pairs.push(("run", run.to_string()));
                out.event("order-wrong-incarnation", pairs);
            }
            Some(OrderResponse::Rejected(reason)) => {
                pairs.push(("reason", reason));
                out.event("order-rejected", pairs);
            }
            None => out.event("order-unanswered", pairs),
        }
    }

    fn run_due(&mut self, now: Timestamp, unix_millis: u64, out: &mut Outputs) {
        self.snapshot_if_due(now, out);
        self.run_drain(now, out);
        for call in self.overdue_calls(now) {
            out.answer(call, AdministrationAnswer::Unknown);
        }
        self.run_share(now, unix_millis, out);
        if self.role == Role::Leader {
            self.expire_sessions(now, out);
            self.look_for_voters(now, out);
        } else {
            self.missing_voters.clear();
        }
        if !self.in_charge(now) {
            return;
        }
        self.begin_credit(now);
        self.run_scheduling(now, out);
        self.run_platform(now, out);
        self.run_claims(now, unix_millis, out);
        self.run_repair(now, out);
        self.deliver_orders(now, out);
        self.tell_news(now, out);
        self.run_fleet(now, out);
    }

    /// Whether the look for news is due.
    pub(crate) fn news_due(&mut self, now: Timestamp) -> bool {
        due(now, &mut self.schedule.news, news::INTERVAL)
    }

    fn overdue_calls(&mut self, now: Timestamp) -> Vec<u64> {
        let waited = Duration::from_micros(now.as_micros());
        match waited.checked_sub(CALL_DEADLINE) {
            Some(oldest) => {
                let oldest = Timestamp::from_micros(oldest.as_micros() as u64);
                self.proposals.overdue_calls(oldest)
            }
            None => Vec::new(),
        }
    }

    fn snapshot_if_due(&mut self, now: Timestamp, out: &mut Outputs) {
        let entries = self.settings.snapshot_entries;
        let Some(snapshot) = self.applied.snapshot_if_due(&self.state, entries) else {
            return;
        };
        let pairs = vec![
            ("last", snapshot.meta.last.to_string()),
            ("bytes", snapshot.data.len().to_string()),
        ];
        out.event("snapshot-taken", pairs);
        out.push(ControlOutput::SaveSnapshot(snapshot.clone()));
        self.consensus_step(now, ConsensusInput::SnapshotTaken(snapshot), out);
    }

    fn expire_sessions(&mut self, now: Timestamp, out: &mut Outputs) {
        if !due(now, &mut self.schedule.housekeeping, HOUSEKEEPING_INTERVAL) {
            return;
        }
        for (router, incarnation) in self.sessions.expire(now, self.settings.router_lease) {
            self.scheduler.forget_router(&router);
            let pairs = vec![
                ("router", router.to_string()),
                ("incarnation", incarnation.to_string()),
            ];
            out.event("router-forgotten", pairs);
        }
    }

    fn run_scheduling(&mut self, now: Timestamp, out: &mut Outputs) {
        let interval = self.settings.scheduling_interval;
        if !due(now, &mut self.schedule.scheduling, interval) {
            return;
        }
        for command in self.scheduler.decide(now, &self.state) {
            self.decisions += 1;
            let key = InternalKey::Schedule(self.decisions);
            self.propose_internal(now, key, command, out);
        }
    }

    fn run_platform(&mut self, now: Timestamp, out: &mut Outputs) {
        if !due(now, &mut self.schedule.platform, platform::READ_INTERVAL) {
            return;
        }
        out.push(ControlOutput::ReadPlatform);
        self.mark_back_ends(now, out);
    }

    fn take_platform_list(
        &mut self,
        now: Timestamp,
        list: millpass_proto::PlatformList,
        out: &mut Outputs,
    ) {
        let sequence = list.sequence;
        if !self.platform.listed(now, list, &self.state) {
            let pairs = vec![("sequence", sequence.to_string())];
            return out.event("platform-list-stale", pairs);
        }
        if self.in_charge(now) {
            self.mark_back_ends(now, out);
        }
    }

    /// Proposes what the platform's list says of registered back ends.
    fn mark_back_ends(&mut self, now: Timestamp, out: &mut Outputs) {
        let delay = self.settings.machine_gone_delay;
        for mark in self.platform.marks(now, delay, &self.state) {
            let key = InternalKey::Mark(mark.backend.clone());
            self.propose_internal(now, key, Command::MarkBackend(mark), out);
        }
    }

    fn run_claims(&mut self, now: Timestamp, unix_millis: u64, out: &mut Outputs) {
        if due(now, &mut self.schedule.silence, claims::SILENCE_INTERVAL) {
            let silent = self.runs_without_session();
            for run in self.silent.refresh(now, silent) {
                self.abandon_claims(now, run, out);
            }
        }
        if due(now, &mut self.schedule.claims, claims::EXPIRY_INTERVAL) {
            self.expire_claims(now, unix_millis, out);
        }
    }

    fn expire_claims(&mut self, now: Timestamp, unix_millis: u64, out: &mut Outputs) {
        let retention = self.settings.claim_retention.as_millis() as u64;
        let expiry = ExpireClaims {
            created_before_unix_millis: unix_millis.saturating_sub(retention),
        };
        if expiry.created_before_unix_millis > self.state.claims_born_after() {
            let command = Command::ExpireClaims(expiry);
            self.propose_internal(now, InternalKey::ExpireClaims, command, out);
        }
    }

    /// Runs of routers that hold open claims and have no session.
    fn runs_without_session(&self) -> Vec<RouterRun> {
        self.state
            .open_claim_runs()
            .filter(|(router, run, _)| self.sessions.incarnation(router) != Some(*run))
            .map(|(router, run, _)| (router.clone(), run))
            .collect()
    }

    fn run_repair(&mut self, now: Timestamp, out: &mut Outputs) {
        if !due(now, &mut self.schedule.repair, repair::CHECK_INTERVAL) {
            return;
        }
        if self.drain.is_some() || self.proposals.repairing() {
            return;
        }
        let status = self.consensus.status();
        let settings = self.repair_settings();
        let Some(change) = self.repair.next_change(now, &status, settings) else {
            return;
        };
        out.event("member-repair", vec![("change", format!("{change:?}"))]);
        self.change_membership(now, Waiter::Repair, change, out);
    }

    fn repair_settings(&self) -> RepairSettings {
        RepairSettings {
            replacement_delay: self.settings.member_replacement_delay,
            answer_timeout: self.settings.consensus.election_timeout,
            wanted_voters: self.settings.wanted_voters,
        }
    }

    fn look_for_voters(&mut self, now: Timestamp, out: &mut Outputs) {
        let interval = missing_voters::LOOK_INTERVAL;
        if !due(now, &mut self.schedule.missing_voters, interval) {
            return;
        }
        let status = self.consensus.status();
        let settings = self.repair_settings();
        self.missing_voters
            .look(now, &status, &self.repair, settings, out);
    }

    /// How many voters this member misses, where it leads.
    pub fn missing_voters(&self) -> usize {
        self.missing_voters.count()
    }

    /// The host asks for a snapshot at the next step, as the log on its disk is long.
    pub fn want_snapshot(&mut self) {
        self.applied.want_snapshot();
    }

    fn deliver_orders(&mut self, now: Timestamp, out: &mut Outputs) {
        if !self.state_changed && !self.orders.may_be_due(now) {
            return;
        }
        self.state_changed = false;
        for order in self.orders.due(now, &self.state) {
            let Some(backend) = self.state.backend(&order.backend) else {
                continue;
            };
            let address = backend.registration.address.clone();
            let pairs = vec![
                ("backend", order.backend.to_string()),
                ("fence", order.fence.to_string()),
            ];
            out.event("order-sent", pairs);
            out.push(ControlOutput::DeliverOrder { address, order });
        }
    }

    fn run_drain(&mut self, now: Timestamp, out: &mut Outputs) {
        let Some(drain) = &mut self.drain else {
            return;
        };
        let status = self.consensus.status();
        let own = self.settings.address.member;
        match drain.next(now, own, &status, self.proposals.len()) {
            DrainStep::Wait => {}
            DrainStep::Transfer(member) => {
                out.event("leadership-transfer", vec![("to", member.to_string())]);
                self.consensus_step(now, ConsensusInput::TransferLeadership(member), out);
            }
            DrainStep::Stop => self.stop(FinalState::Drained, out),
        }
    }

    /// Stops for good: answers who waits, then tells the host.
    pub(crate) fn stop(&mut self, final_state: FinalState, out: &mut Outputs) {
        self.give_up_waiters(out);
        out.event("stopped", vec![("reason", final_state.to_string())]);
        out.push(ControlOutput::Stopped);
        self.stopped = Some(final_state);
    }
}

/// Time between two looks for ended router leases.
const HOUSEKEEPING_INTERVAL: Duration = Duration::from_millis(100);

/// Whether a periodic job is due; if so, sets when it is due next.
fn due(now: Timestamp, next: &mut Timestamp, interval: Duration) -> bool {
    if now < *next {
        return false;
    }
    *next = now + interval;
    true
}
