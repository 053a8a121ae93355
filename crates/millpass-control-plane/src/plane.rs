//! The decision core: handles one input at a time and runs periodic jobs.

use crate::addresses::AddressBook;
use crate::claims::{self, RouterIncarnation, UnreachableHolders};
use crate::drain::{Drain, DrainStep};
use crate::freshness::RequiredIndex;
use crate::interface::{
    AdministrationResponse, ControlInput, ControlOutput, ControlPlaneSettings, FinalState,
};
use crate::missing_voters::{self, MissingVoters};
use crate::notifications::{self, NotifiedRevisions};
use crate::observations::Observations;
use crate::orders::Orders;
use crate::outputs::Outputs;
use crate::overload::OverloadDetector;
use crate::platform::{self, Platform};
use crate::proposals::{InternalKey, Proposals, Waiter};
use crate::repair::{self, Repair, RepairSettings};
use crate::sessions::{FullCopyLimiter, FullRouteCache, Sessions};
use crate::shares::ShareLink;
use crate::snapshots::AppliedLog;
use crate::term_history::TermHistory;
use crate::watch::WatchAssignments;
use millpass_consensus::{
    Consensus, ConsensusInput, ConsensusStatus, RestoredLog, Role, TrailingLimits,
};
use millpass_fleet::{DocumentHistory, Fleet, InstructionHistory};
use millpass_proto::{Command, Duration, ExpireClaims, OrderResponse, Snapshot, Timestamp};
use millpass_scheduler::Scheduler;
use millpass_state::State;
use millpass_tenancy::CreditLedger;
use serde_bytes::ByteBuf;
use std::sync::Arc;

/// Time after which an administration call whose proposal has not committed is answered `Unknown`.
const CALL_DEADLINE: Duration = Duration::from_secs(5);

/// Retention of instruction records; longer than any pause between the instructions of two leaders.
pub(crate) const INSTRUCTION_RETENTION: Duration = Duration::from_secs(600);

/// Entries kept before a snapshot where entries may contain whole documents.
const DOCUMENT_TRAILING_LIMITS: TrailingLimits = TrailingLimits {
    entries: 32,
    bytes: 8 * 1024 * 1024,
};

/// Next run of each periodic job.
#[derive(Clone, Copy, Default)]
pub(crate) struct Schedule {
    scheduling: Timestamp,
    platform: Timestamp,
    repair: Timestamp,
    missing_voters: Timestamp,
    claims: Timestamp,
    claim_holders: Timestamp,
    sessions: Timestamp,
    notifications: Timestamp,
}

/// Decision core of one control member.
pub struct ControlPlane {
    pub(crate) settings: ControlPlaneSettings,
    pub(crate) consensus: Consensus,
    pub(crate) state: State,
    pub(crate) applied: AppliedLog,
    /// Role and term as last reported by the consensus core.
    pub(crate) role: Role,
    pub(crate) term: u64,
    pub(crate) addresses: AddressBook,
    pub(crate) proposals: Proposals,
    pub(crate) sessions: Sessions,
    pub(crate) full_copies: FullCopyLimiter,
    pub(crate) full_routes: FullRouteCache,
    pub(crate) unreachable_holders: UnreachableHolders,
    pub(crate) watch: WatchAssignments,
    pub(crate) observations: Observations,
    pub(crate) platform: Platform,
    pub(crate) orders: Orders,
    pub(crate) repair: Repair,
    missing_voters: MissingVoters,
    pub(crate) scheduler: Scheduler,
    /// Instances that announce themselves; `None` where the platform lists machines instead.
    pub(crate) fleet: Option<Fleet>,
    pub(crate) terms: TermHistory,
    /// Grants from tenants' quotas; created anew for each leadership.
    pub(crate) credit: Option<CreditLedger>,
    /// Instructions to engines recorded in the log, including those of other leaders.
    pub(crate) instructions: InstructionHistory,
    pub(crate) share_link: ShareLink,
    pub(crate) required_index: RequiredIndex,
    overload: OverloadDetector,
    /// For how long the oldest input has waited.
    input_delay: Duration,
    /// Recent documents, for updates to gateways that hold one of them.
    pub(crate) documents: DocumentHistory,
    /// Whether commands were applied since outstanding orders were last checked.
    pub(crate) state_changed: bool,
    /// Revisions of the last notification to routers.
    pub(crate) notified_revisions: Option<NotifiedRevisions>,
    pub(crate) drain: Option<Drain>,
    schedule: Schedule,
    decisions: u64,
    stopped: Option<FinalState>,
}

impl ControlPlane {
    /// Creates the core from the restored log and the state of the newest snapshot.
    pub fn new(
        settings: ControlPlaneSettings,
        restored: RestoredLog,
        state: State,
        now: Timestamp,
    ) -> Self {
        let applied = AppliedLog::new(&restored.snapshot);
        let mut required_index = RequiredIndex::default();
        required_index.snapshot_restored(&state, restored.snapshot.last.index);
        let snapshot = Snapshot {
            meta: restored.snapshot.clone(),
            data: Arc::new(ByteBuf::from(state.encode())),
        };
        let mut consensus = Consensus::new(settings.consensus.clone(), restored, now);
        // Lets a leader send the snapshot to members that lag behind it; causes no outputs.
        if snapshot.meta.last.index > 0 {
            consensus.step(now, ConsensusInput::SnapshotTaken(snapshot));
        }
        if settings.fleet.is_some() {
            consensus.set_trailing_limits(DOCUMENT_TRAILING_LIMITS);
        }
        required_index.update(&consensus, &state);
        let status = consensus.status();
        let mut documents = DocumentHistory::new();
        if let Some(document) = state.document() {
            documents.record(now, document);
        }
        let loads_per_second = settings.scheduler.store_loads_per_second;
        ControlPlane {
            scheduler: Scheduler::new(settings.scheduler.clone()),
            fleet: settings.fleet.clone().map(Fleet::new),
            terms: TermHistory::new(status.term),
            credit: None,
            instructions: InstructionHistory::new(now, INSTRUCTION_RETENTION),
            share_link: ShareLink::default(),
            required_index,
            overload: OverloadDetector::default(),
            input_delay: Duration::ZERO,
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
            full_copies: FullCopyLimiter::default(),
            full_routes: FullRouteCache::default(),
            unreachable_holders: UnreachableHolders::default(),
            watch: WatchAssignments::default(),
            observations: Observations::default(),
            platform: Platform::default(),
            orders: Orders::new(loads_per_second),
            repair: Repair::default(),
            missing_voters: MissingVoters::default(),
            state_changed: true,
            notified_revisions: None,
            drain: None,
            schedule: Schedule::default(),
            decisions: 0,
            stopped: None,
        }
    }

    /// Handles one input and returns the outputs to execute, in order. `unix_millis` is the wall
    /// clock.
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
        self.handle_input(now, unix_millis, input, &mut out);
        self.run_periodic(now, unix_millis, &mut out);
        self.required_index.update(&self.consensus, &self.state);
        out.list
    }

    /// Returns the status of the consensus core.
    pub fn consensus_status(&self) -> ConsensusStatus {
        self.consensus.status()
    }

    /// Returns the replicated state as applied by this member.
    pub fn state(&self) -> &State {
        &self.state
    }

    /// Returns true if this member may act as the leader now: it holds the leader lease and has
    /// applied an entry of its own term, so that its state contains everything committed earlier.
    pub fn is_leading(&self, now: Timestamp) -> bool {
        self.role == Role::Leader
            && self.applied.last.term == self.term
            && self.consensus.holds_lease(now)
    }

    /// Returns why the core stopped; `None` while it is running.
    pub fn final_state(&self) -> Option<&FinalState> {
        self.stopped.as_ref()
    }

    fn handle_input(
        &mut self,
        now: Timestamp,
        unix_millis: u64,
        input: ControlInput,
        out: &mut Outputs,
    ) {
        match input {
            ControlInput::Tick => {
                self.detect_overload(now);
                self.consensus_step(now, ConsensusInput::Tick, out);
            }
            ControlInput::Peer(envelope) => {
                self.consensus_step(now, ConsensusInput::Receive(envelope), out);
            }
            ControlInput::Persisted { write } => {
                self.consensus_step(now, ConsensusInput::Persisted { write }, out);
            }
            ControlInput::MemberHello(address) => self.addresses.record_hello(address),
            ControlInput::Join(address) => self.handle_join(now, address, out),
            ControlInput::Router {
                connection,
                message,
            } => self.handle_router_message(now, unix_millis, connection, message, out),
            ControlInput::RouterDisconnected(connection) => {
                self.sessions.disconnected(connection);
                if let Some(fleet) = &mut self.fleet {
                    fleet.handle_disconnect(now, connection.0);
                }
            }
            ControlInput::RouterBacklog {
                connection,
                backlogged,
            } => {
                if let Some(fleet) = &mut self.fleet {
                    fleet.set_backlogged(now, connection.0, backlogged);
                }
            }
            ControlInput::OrderDelivered {
                backend,
                fence,
                response,
            } => self.handle_order_response(now, &backend, fence, response, out),
            ControlInput::PlatformListed(list) => self.handle_platform_list(now, list, out),
            ControlInput::Administration { call, request } => {
                self.handle_administration_call(now, call, request, out);
            }
            ControlInput::EngineCallCompleted(result) => {
                self.handle_call_result(now, &result);
            }
            ControlInput::Share(report) => self.handle_share_report(now, &report, out),
            ControlInput::ShareResponse(response) => self.handle_share_response(&response),
            ControlInput::Drain => {
                out.event("drain-started", Vec::new());
                self.drain.get_or_insert_with(|| Drain::new(now));
            }
        }
    }

    fn detect_overload(&mut self, now: Timestamp) {
        let factor = self.overload.record_tick(now, self.input_delay);
        if let Some(fleet) = &mut self.fleet {
            fleet.set_slowdown(factor);
        }
    }

    /// Records for how long the oldest input has waited for the core.
    pub fn set_input_delay(&mut self, delay: Duration) {
        self.input_delay = delay;
    }

    /// Records that the host refused announcements because its queue was full.
    pub fn announcements_refused(&mut self, now: Timestamp) {
        if let Some(fleet) = &mut self.fleet {
            fleet.record_refused_announcements(now);
        }
    }

    fn handle_join(
        &mut self,
        now: Timestamp,
        address: millpass_proto::MemberAddress,
        out: &mut Outputs,
    ) {
        if !self.is_leading(now) {
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
        if self.repair.record_join(now, address) {
            out.event("member-asks-to-join", pairs);
        }
    }

    fn handle_order_response(
        &mut self,
        now: Timestamp,
        backend: &millpass_proto::BackendName,
        fence: millpass_proto::LogPosition,
        response: Option<OrderResponse>,
        out: &mut Outputs,
    ) {
        self.orders
            .record_result(now, backend, fence, response.as_ref());
        let mut pairs = vec![
            ("backend", backend.to_string()),
            ("fence", fence.to_string()),
        ];
        match response {
            Some(OrderResponse::Accepted) => out.event("order-accepted", pairs),
            Some(OrderResponse::StaleFence(highest)) => {
                pairs.push(("highest", highest.to_string()));
                out.event("order-stale", pairs);
            }
            Some(OrderResponse::WrongIncarnation(incarnation)) => {
                self.observations.record_confirmed(backend, incarnation);
                pairs.push(("run", incarnation.to_string()));
                out.event("order-wrong-incarnation", pairs);
            }
            Some(OrderResponse::Rejected(reason)) => {
                pairs.push(("reason", reason));
                out.event("order-rejected", pairs);
            }
            None => out.event("order-unanswered", pairs),
        }
    }

    fn run_periodic(&mut self, now: Timestamp, unix_millis: u64, out: &mut Outputs) {
        self.snapshot_if_due(now, out);
        self.run_drain(now, out);
        for call in self.overdue_calls(now) {
            out.respond(call, AdministrationResponse::Unknown);
        }
        self.report_share(now, unix_millis, out);
        if self.role == Role::Leader {
            self.expire_sessions(now, out);
            self.check_voters(now, out);
        } else {
            self.missing_voters.clear();
        }
        if !self.is_leading(now) {
            return;
        }
        self.start_credit(now);
        self.run_scheduling(now, out);
        self.run_platform(now, out);
        self.run_claims(now, unix_millis, out);
        self.run_repair(now, out);
        self.deliver_orders(now, out);
        self.notify_routers(now, out);
        self.run_fleet(now, out);
    }

    pub(crate) fn is_notification_due(&mut self, now: Timestamp) -> bool {
        due(
            now,
            &mut self.schedule.notifications,
            notifications::INTERVAL,
        )
    }

    fn overdue_calls(&mut self, now: Timestamp) -> Vec<u64> {
        let elapsed = Duration::from_micros(now.as_micros());
        match elapsed.checked_sub(CALL_DEADLINE) {
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
        if !due(now, &mut self.schedule.sessions, SESSION_CHECK_INTERVAL) {
            return;
        }
        for (router, incarnation) in self.sessions.expire(now, self.settings.router_lease) {
            self.scheduler.remove_router(&router);
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
        self.mark_backends(now, out);
    }

    fn handle_platform_list(
        &mut self,
        now: Timestamp,
        list: millpass_proto::PlatformList,
        out: &mut Outputs,
    ) {
        let sequence = list.sequence;
        if !self.platform.update(now, list, &self.state) {
            let pairs = vec![("sequence", sequence.to_string())];
            return out.event("platform-list-stale", pairs);
        }
        if self.is_leading(now) {
            self.mark_backends(now, out);
        }
    }

    /// Proposes the state changes of registered back ends that follow from the platform's list.
    fn mark_backends(&mut self, now: Timestamp, out: &mut Outputs) {
        let delay = self.settings.machine_gone_delay;
        for mark in self.platform.marks(now, delay, &self.state) {
            let key = InternalKey::Mark(mark.backend.clone());
            self.propose_internal(now, key, Command::MarkBackend(mark), out);
        }
    }

    fn run_claims(&mut self, now: Timestamp, unix_millis: u64, out: &mut Outputs) {
        if due(
            now,
            &mut self.schedule.claim_holders,
            claims::HOLDER_CHECK_INTERVAL,
        ) {
            let unreachable = self.holders_without_session();
            for holder in self.unreachable_holders.refresh(now, unreachable) {
                self.abandon_claims(now, holder, out);
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
        if expiry.created_before_unix_millis > self.state.claims_expired_before() {
            let command = Command::ExpireClaims(expiry);
            self.propose_internal(now, InternalKey::ExpireClaims, command, out);
        }
    }

    fn holders_without_session(&self) -> Vec<RouterIncarnation> {
        self.state
            .open_claim_runs()
            .filter(|(router, incarnation, _)| {
                self.sessions.incarnation(router) != Some(*incarnation)
            })
            .map(|(router, incarnation, _)| (router.clone(), incarnation))
            .collect()
    }

    fn run_repair(&mut self, now: Timestamp, out: &mut Outputs) {
        if !due(now, &mut self.schedule.repair, repair::CHECK_INTERVAL) {
            return;
        }
        if self.drain.is_some() || self.proposals.is_repair_pending() {
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
            response_timeout: self.settings.consensus.election_timeout,
            target_voters: self.settings.target_voters,
        }
    }

    fn check_voters(&mut self, now: Timestamp, out: &mut Outputs) {
        let interval = missing_voters::CHECK_INTERVAL;
        if !due(now, &mut self.schedule.missing_voters, interval) {
            return;
        }
        let status = self.consensus.status();
        let settings = self.repair_settings();
        self.missing_voters
            .check(now, &status, &self.repair, settings, out);
    }

    /// Returns the number of voters that do not respond to this leader; 0 on other members.
    pub fn missing_voter_count(&self) -> usize {
        self.missing_voters.count()
    }

    /// Requests a snapshot at the next step because the log on disk is long.
    pub fn request_snapshot(&mut self) {
        self.applied.request_snapshot();
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
        match drain.next_step(now, own, &status, self.proposals.len()) {
            DrainStep::Wait => {}
            DrainStep::Transfer(member) => {
                out.event("leadership-transfer", vec![("to", member.to_string())]);
                self.consensus_step(now, ConsensusInput::TransferLeadership(member), out);
            }
            DrainStep::Stop => self.stop(FinalState::Drained, out),
        }
    }

    /// Stops permanently: answers pending calls and emits [`ControlOutput::Stopped`].
    pub(crate) fn stop(&mut self, final_state: FinalState, out: &mut Outputs) {
        self.respond_unknown_to_all(out);
        out.event("stopped", vec![("reason", final_state.to_string())]);
        out.push(ControlOutput::Stopped);
        self.stopped = Some(final_state);
    }
}

/// Interval between checks for expired router leases.
const SESSION_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Returns true if a periodic job is due, and schedules its next run.
fn due(now: Timestamp, next: &mut Timestamp, interval: Duration) -> bool {
    if now < *next {
        return false;
    }
    *next = now + interval;
    true
}
