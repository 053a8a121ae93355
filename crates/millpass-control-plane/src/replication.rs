//! Executes the consensus core's outputs and applies committed commands.

use crate::administration;
use crate::interface::{AdministrationResponse, ConnectionId, ControlOutput, FinalState};
use crate::outputs::Outputs;
use crate::plane::{ControlPlane, INSTRUCTION_RETENTION};
use crate::proposals::{InternalKey, Waiter};
use crate::snapshots::AppliedLog;
use millpass_consensus::{
    CandidacyEnd, ConsensusInput, ConsensusOutput, ConsensusStatus, EndedCandidacy,
    MembershipChange, ProposalRejection, Role,
};
use millpass_fleet::{Fleet, InstructionHistory};
use millpass_proto::{
    ClaimResponse, Command, CommandOutcome, ControlToRouter, EntryPayload, LogEntry, MemberAddress,
    Membership, PeerEnvelope, Snapshot, Timestamp,
};
use millpass_scheduler::Scheduler;
use millpass_state::State;

impl ControlPlane {
    /// Passes an input to the consensus core and executes its outputs.
    pub(crate) fn consensus_step(
        &mut self,
        now: Timestamp,
        input: ConsensusInput,
        out: &mut Outputs,
    ) {
        for output in self.consensus.step(now, input) {
            self.execute(now, output, out);
        }
    }

    /// Proposes a command; `waiter` is answered when the outcome is known.
    pub(crate) fn propose(
        &mut self,
        now: Timestamp,
        waiter: Waiter,
        command: Command,
        out: &mut Outputs,
    ) {
        let ticket = self.proposals.add(now, waiter);
        let input = ConsensusInput::Propose { ticket, command };
        self.consensus_step(now, input, out);
    }

    /// Proposes a command of the core itself, unless one with the same key is pending.
    pub(crate) fn propose_internal(
        &mut self,
        now: Timestamp,
        key: InternalKey,
        command: Command,
        out: &mut Outputs,
    ) {
        if self.proposals.contains(&key) || !self.proposals.has_capacity() {
            return;
        }
        self.propose(now, Waiter::Internal(key), command, out);
    }

    /// Proposes a change of the membership.
    pub(crate) fn change_membership(
        &mut self,
        now: Timestamp,
        waiter: Waiter,
        change: MembershipChange,
        out: &mut Outputs,
    ) {
        let ticket = self.proposals.add(now, waiter);
        let input = ConsensusInput::ChangeMembership { ticket, change };
        self.consensus_step(now, input, out);
    }

    fn execute(&mut self, now: Timestamp, output: ConsensusOutput, out: &mut Outputs) {
        match output {
            ConsensusOutput::Send(envelope) => self.send_peer(envelope, out),
            ConsensusOutput::Persist(request) => out.push(ControlOutput::Persist(request)),
            ConsensusOutput::Commit(entries) => {
                for entry in entries {
                    self.apply(now, entry, out);
                }
            }
            ConsensusOutput::Restore(snapshot) => self.restore(now, snapshot, out),
            ConsensusOutput::Appended { ticket, position } => {
                self.proposals.record_position(ticket, position);
            }
            ConsensusOutput::Rejected { ticket, reason } => {
                self.proposal_rejected(ticket, reason, out)
            }
            ConsensusOutput::RoleChanged(status) => self.handle_role_change(now, &status, out),
            ConsensusOutput::CandidacyEnded(ended) => log_candidacy(&ended, out),
        }
    }

    fn send_peer(&mut self, envelope: PeerEnvelope, out: &mut Outputs) {
        if self.addresses.get(envelope.to).is_none() {
            // The membership takes effect when its entry is appended.
            self.addresses.replace(&self.consensus.status().membership);
        }
        if let Some(member) = self.addresses.resolve(envelope.to) {
            let address = member.peer_address.clone();
            out.push(ControlOutput::SendPeer { address, envelope });
        }
    }

    fn apply(&mut self, now: Timestamp, entry: LogEntry, out: &mut Outputs) {
        let at = entry.position;
        self.applied.record_entry(at, &entry.payload);
        let outcome = match &entry.payload {
            EntryPayload::Noop => CommandOutcome::Done,
            EntryPayload::Membership(membership) => {
                self.membership_committed(membership, out);
                CommandOutcome::Done
            }
            EntryPayload::Command(command) => {
                self.state_changed = true;
                match command {
                    Command::DepartInstance(departure) => {
                        self.departure_applied(now, at, departure);
                    }
                    Command::RecordInstructionIntent(intent) => {
                        self.instructions.record(now, intent)
                    }
                    Command::RecordStoreCapacity(capacity) => {
                        self.instructions.record_store_capacity(*capacity);
                    }
                    _ => {}
                }
                let outcome = self.state.apply(at, command);
                if matches!(command, Command::PutDocument(_)) {
                    self.record_document(now);
                }
                outcome
            }
        };
        match self.proposals.take_committed(at) {
            Some((waiter, true)) => self.resolve(now, waiter, outcome, out),
            Some((waiter, false)) => self.proposal_lost(waiter, out),
            None => {}
        }
    }

    fn membership_committed(&mut self, membership: &Membership, out: &mut Outputs) {
        self.applied.membership_committed(membership);
        self.addresses.replace(&self.consensus.status().membership);
        let pairs = vec![
            ("voters", names(&membership.voters)),
            ("outgoing", names(&membership.outgoing_voters)),
            ("learners", names(&membership.learners)),
        ];
        out.event("membership-changed", pairs);
    }

    fn restore(&mut self, now: Timestamp, snapshot: Snapshot, out: &mut Outputs) {
        match State::decode(&snapshot.data) {
            Ok(state) => {
                self.required_index
                    .snapshot_restored(&state, snapshot.meta.last.index);
                self.state = state;
            }
            Err(error) => {
                // Continuing with a different state than the group's would violate every guarantee.
                self.stop(FinalState::StateUnreadable(error.to_string()), out);
                return;
            }
        }
        self.applied = AppliedLog::new(&snapshot.meta);
        self.addresses.replace(&self.consensus.status().membership);
        self.state_changed = true;
        self.record_document(now);
        // The instructions recorded in entries that the snapshot replaced are unknown.
        self.instructions = InstructionHistory::new(now, INSTRUCTION_RETENTION);
        self.full_routes.clear();
        self.respond_unknown_to_all(out);
        let pairs = vec![("last", snapshot.meta.last.to_string())];
        out.event("state-restored", pairs);
    }

    fn resolve(
        &mut self,
        now: Timestamp,
        waiter: Waiter,
        outcome: CommandOutcome,
        out: &mut Outputs,
    ) {
        match waiter {
            Waiter::Call(call) => out.respond(call, administration::change_response(outcome)),
            Waiter::Claim {
                connection,
                attempt,
            } => {
                if let CommandOutcome::Claim(decision) = outcome {
                    let response = ClaimResponse { attempt, decision };
                    out.send_router(connection, ControlToRouter::Claim(response));
                }
            }
            Waiter::ClaimFinish {
                connection,
                attempt,
            } => out.send_router(connection, ControlToRouter::ClaimFinished(attempt)),
            Waiter::Internal(key) => self.internal_applied(&key, &outcome, out),
            Waiter::Instructions {
                decided_at,
                instructions,
            } => self.send_instructions(now, decided_at, instructions, out),
            Waiter::Repair => {}
        }
    }

    fn internal_applied(&mut self, key: &InternalKey, outcome: &CommandOutcome, out: &mut Outputs) {
        let pairs = vec![
            ("proposal", format!("{key:?}")),
            ("outcome", format!("{outcome:?}")),
        ];
        let CommandOutcome::Ignored(_) = outcome else {
            out.event("proposal-applied", pairs);
            return;
        };
        if let InternalKey::Register(backend, incarnation) = key {
            self.observations.record_rejected(backend, *incarnation);
        }
        out.event("proposal-ignored", pairs);
    }

    /// Resolves a proposal that was rejected, or whose entry was replaced, so that it had no
    /// effect.
    fn proposal_lost(&mut self, waiter: Waiter, out: &mut Outputs) {
        let leader_address = self.leader_administration_address();
        match waiter {
            Waiter::Call(call) => {
                out.respond(call, AdministrationResponse::NotLeader { leader_address });
            }
            waiter => self.respond_unknown(waiter, out),
        }
    }

    fn proposal_rejected(&mut self, ticket: u64, reason: ProposalRejection, out: &mut Outputs) {
        let Some(waiter) = self.proposals.remove(ticket) else {
            return;
        };
        match (&waiter, &reason) {
            (Waiter::Call(call), ProposalRejection::MembershipRefused(_)) => {
                let refusal = AdministrationResponse::Refused(reason.to_string());
                out.respond(*call, refusal);
            }
            (Waiter::Call(call), ProposalRejection::TooLarge { .. }) => {
                out.event("change-too-large", vec![("reason", reason.to_string())]);
                let refusal = AdministrationResponse::Refused(reason.to_string());
                out.respond(*call, refusal);
            }
            (Waiter::Call(call), ProposalRejection::Overloaded) => {
                out.event("change-not-admitted", vec![("reason", reason.to_string())]);
                out.respond(*call, AdministrationResponse::Busy);
            }
            (Waiter::Repair, _) => {
                out.event(
                    "member-repair-refused",
                    vec![("reason", reason.to_string())],
                );
            }
            _ => self.proposal_lost(waiter, out),
        }
    }

    /// Resolves a proposal whose outcome cannot be determined on this member.
    fn respond_unknown(&mut self, waiter: Waiter, out: &mut Outputs) {
        match waiter {
            Waiter::Call(call) => out.respond(call, AdministrationResponse::Unknown),
            // The router retries the same attempt with the leader and receives the same decision.
            Waiter::Claim { connection, .. } | Waiter::ClaimFinish { connection, .. } => {
                let leader_address = self.leader_peer_address();
                out.send_not_leader(connection, leader_address);
            }
            Waiter::Internal(_) | Waiter::Instructions { .. } | Waiter::Repair => {}
        }
    }

    pub(crate) fn respond_unknown_to_all(&mut self, out: &mut Outputs) {
        for waiter in self.proposals.drain() {
            self.respond_unknown(waiter, out);
        }
    }

    fn handle_role_change(&mut self, now: Timestamp, status: &ConsensusStatus, out: &mut Outputs) {
        self.terms.record(now, status.term);
        let was_leader = self.role == Role::Leader;
        let unchanged = self.role == status.role && self.term == status.term;
        self.role = status.role;
        self.term = status.term;
        let pairs = vec![
            ("role", format!("{:?}", status.role).to_lowercase()),
            ("term", status.term.to_string()),
            (
                "leader",
                status
                    .leader
                    .map_or("none".into(), |leader| leader.to_string()),
            ),
        ];
        out.event("role-changed", pairs);
        if unchanged {
            return;
        }
        let gateways = self
            .fleet
            .as_ref()
            .map(Fleet::connections)
            .unwrap_or_default();
        self.clear_soft_state();
        self.respond_unknown_to_all(out);
        if was_leader {
            self.redirect_routers(&gateways, out);
        }
    }

    /// Clears all state that is not replicated: a new leader starts without any.
    fn clear_soft_state(&mut self) {
        self.sessions.clear();
        self.full_routes.clear();
        self.unreachable_holders.clear();
        self.watch.clear();
        self.observations.clear();
        self.platform.clear();
        self.orders.clear();
        self.repair.clear();
        self.scheduler = Scheduler::new(self.settings.scheduler.clone());
        if let Some(fleet) = &mut self.fleet {
            fleet.reset();
        }
        self.credit = None;
    }

    fn redirect_routers(&mut self, gateways: &[u64], out: &mut Outputs) {
        let leader_address = self.leader_peer_address();
        let gateways = gateways.iter().copied().map(ConnectionId);
        for connection in self.sessions.connections().into_iter().chain(gateways) {
            out.send_not_leader(connection, leader_address.clone());
        }
    }

    /// Returns another member that is known to lead. A process outside the group uses what other
    /// members stated.
    pub(crate) fn leader(&self) -> Option<MemberAddress> {
        if !self.consensus.is_in_membership()
            && let Some(stated) = self.share_link.leader()
        {
            return Some(stated.clone());
        }
        // Not this member, which may be the leader without a valid lease.
        let own = self.settings.address.member;
        let leader = self.consensus.leader().filter(|leader| *leader != own)?;
        self.addresses.get(leader).cloned()
    }

    pub(crate) fn leader_peer_address(&self) -> Option<String> {
        self.leader().map(|leader| leader.peer_address)
    }

    pub(crate) fn leader_administration_address(&self) -> Option<String> {
        self.leader().map(|leader| leader.administration_address)
    }
}

fn names(members: &[MemberAddress]) -> String {
    let names: Vec<String> = members
        .iter()
        .map(|address| address.member.to_string())
        .collect();
    names.join(",")
}

/// Logs a candidacy that did not produce a leader, with the responses received.
fn log_candidacy(ended: &EndedCandidacy, out: &mut Outputs) {
    let reason = match ended.end {
        CandidacyEnd::Refused => "refused",
        CandidacyEnd::Superseded => "outvoted",
        CandidacyEnd::TimedOut => "timed-out",
    };
    let votes: Vec<String> = ended
        .responses
        .iter()
        .map(|response| {
            let vote = if response.is_granted { "yes" } else { "no" };
            format!(
                "{}:{vote}:{}ms",
                response.member,
                response.latency.as_millis()
            )
        })
        .collect();
    let pairs = vec![
        ("reason", reason.to_owned()),
        ("term", ended.term.to_string()),
        ("pre_vote", ended.is_pre_vote.to_string()),
        ("lasted_ms", ended.duration.as_millis().to_string()),
        ("answers", votes.join(",")),
    ];
    out.event("candidacy-ended", pairs);
}
