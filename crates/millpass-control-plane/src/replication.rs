//! Carries out the consensus core's outputs and applies committed commands.

use crate::administration;
use crate::interface::{AdministrationAnswer, ConnectionId, ControlOutput, FinalState};
use crate::outputs::Outputs;
use crate::plane::{ControlPlane, INSTRUCTION_MEMORY};
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
    /// Steps the consensus core and carries out what it wants.
    pub(crate) fn consensus_step(
        &mut self,
        now: Timestamp,
        input: ConsensusInput,
        out: &mut Outputs,
    ) {
        for output in self.consensus.step(now, input) {
            self.carry_out(now, output, out);
        }
    }

    /// Proposes a command for a waiter, who is answered when its fate is known.
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

    /// Proposes a command of the core's own, unless the same one is under way.
    pub(crate) fn propose_internal(
        &mut self,
        now: Timestamp,
        key: InternalKey,
        command: Command,
        out: &mut Outputs,
    ) {
        if self.proposals.contains(&key) || !self.proposals.has_room() {
            return;
        }
        self.propose(now, Waiter::Internal(key), command, out);
    }

    /// Asks for a change of members.
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

    fn carry_out(&mut self, now: Timestamp, output: ConsensusOutput, out: &mut Outputs) {
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
                self.proposals.appended(ticket, position);
            }
            ConsensusOutput::Rejected { ticket, reason } => self.rejected(ticket, reason, out),
            ConsensusOutput::RoleChanged(status) => self.role_changed(&status, out),
            ConsensusOutput::CandidacyEnded(ended) => log_candidacy(&ended, out),
        }
    }

    fn send_peer(&mut self, envelope: PeerEnvelope, out: &mut Outputs) {
        if self.addresses.get(envelope.to).is_none() {
            // The membership in force changes as soon as an entry is appended.
            self.addresses.replace(&self.consensus.status().membership);
        }
        if let Some(member) = self.addresses.reach(envelope.to) {
            let address = member.peer_address.clone();
            out.push(ControlOutput::SendPeer { address, envelope });
        }
    }

    fn apply(&mut self, now: Timestamp, entry: LogEntry, out: &mut Outputs) {
        let at = entry.position;
        self.applied.applied(at, &entry.payload);
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
                    Command::RecordInstructionIntent(note) => self.instructions.note(now, note),
                    Command::RecordStoreCapacity(capacity) => {
                        self.instructions.note_store_capacity(*capacity);
                    }
                    _ => {}
                }
                let outcome = self.state.apply(at, command);
                if matches!(command, Command::PutDocument(_)) {
                    self.note_document(now);
                }
                outcome
            }
        };
        match self.proposals.committed(at) {
            Some((waiter, true)) => self.resolve(now, waiter, outcome, out),
            Some((waiter, false)) => self.lost(waiter, out),
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
                self.binding.restored(&state, snapshot.meta.last.index);
                self.state = state;
            }
            Err(error) => {
                // Going on with another state than the group's would break every promise.
                self.stop(FinalState::StateUnreadable(error.to_string()), out);
                return;
            }
        }
        self.applied = AppliedLog::new(&snapshot.meta);
        self.addresses.replace(&self.consensus.status().membership);
        self.state_changed = true;
        self.note_document(now);
        // Notes of instructions that the snapshot stands for are not known.
        self.instructions = InstructionHistory::new(now, INSTRUCTION_MEMORY);
        self.route_copy.clear();
        self.give_up_waiters(out);
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
            Waiter::Call(call) => out.answer(call, administration::answer(outcome)),
            Waiter::Claim {
                connection,
                attempt,
            } => {
                if let CommandOutcome::Claim(decision) = outcome {
                    let answer = ClaimResponse { attempt, decision };
                    out.send_router(connection, ControlToRouter::Claim(answer));
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
            } => self.instruct(now, decided_at, instructions, out),
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
        if let InternalKey::Register(backend, run) = key {
            self.observations.registration_refused(backend, *run);
        }
        out.event("proposal-ignored", pairs);
    }

    /// A proposal did not enter the log, or its entry was replaced: nothing was done.
    fn lost(&mut self, waiter: Waiter, out: &mut Outputs) {
        let leader_address = self.leader_administration_address();
        match waiter {
            Waiter::Call(call) => {
                out.answer(call, AdministrationAnswer::NotLeader { leader_address });
            }
            other => self.give_up(other, out),
        }
    }

    fn rejected(&mut self, ticket: u64, reason: ProposalRejection, out: &mut Outputs) {
        let Some(waiter) = self.proposals.remove(ticket) else {
            return;
        };
        match (&waiter, &reason) {
            (Waiter::Call(call), ProposalRejection::MembershipRefused(_)) => {
                let refusal = AdministrationAnswer::Refused(reason.to_string());
                out.answer(*call, refusal);
            }
            (Waiter::Repair, _) => {
                out.event(
                    "member-repair-refused",
                    vec![("reason", reason.to_string())],
                );
            }
            _ => self.lost(waiter, out),
        }
    }

    /// The fate of a proposal is not known here and will not be.
    fn give_up(&mut self, waiter: Waiter, out: &mut Outputs) {
        match waiter {
            Waiter::Call(call) => out.answer(call, AdministrationAnswer::Unknown),
            // The router asks the leader again for the same attempt and gets the same answer.
            Waiter::Claim { connection, .. } | Waiter::ClaimFinish { connection, .. } => {
                let leader_address = self.leader_peer_address();
                out.send_not_leader(connection, leader_address);
            }
            Waiter::Internal(_) | Waiter::Instructions { .. } | Waiter::Repair => {}
        }
    }

    /// Answers everybody who waits.
    pub(crate) fn give_up_waiters(&mut self, out: &mut Outputs) {
        for waiter in self.proposals.drain() {
            self.give_up(waiter, out);
        }
    }

    fn role_changed(&mut self, status: &ConsensusStatus, out: &mut Outputs) {
        let led = self.role == Role::Leader;
        let same = self.role == status.role && self.term == status.term;
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
        if same {
            return;
        }
        let gateways = self
            .fleet
            .as_ref()
            .map(Fleet::connections)
            .unwrap_or_default();
        self.clear_soft_state();
        self.give_up_waiters(out);
        if led {
            self.redirect_routers(&gateways, out);
        }
    }

    /// Drops every belief that is not in the replicated state: a new leader starts without any.
    fn clear_soft_state(&mut self) {
        self.sessions.clear();
        self.route_copy.clear();
        self.silent.clear();
        self.watch.clear();
        self.observations.clear();
        self.platform.clear();
        self.orders.clear();
        self.repair.clear();
        self.scheduler = Scheduler::new(self.settings.scheduler.clone());
        if let Some(fleet) = &mut self.fleet {
            fleet.clear();
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

    /// Another member that leads, if known; a process that is not in the group goes by what others say.
    pub(crate) fn leader(&self) -> Option<MemberAddress> {
        if !self.consensus.is_in_membership()
            && let Some(told) = self.share_link.leader()
        {
            return Some(told.clone());
        }
        // One that believes that it leads but cannot prove it knows of nobody.
        let own = self.settings.address.member;
        let leader = self.consensus.leader().filter(|leader| *leader != own)?;
        self.addresses.get(leader).cloned()
    }

    /// Peer address of another member that leads, if known.
    pub(crate) fn leader_peer_address(&self) -> Option<String> {
        self.leader().map(|leader| leader.peer_address)
    }

    /// Administration address of another member that leads, if known.
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

/// One line for each candidacy that made no leader: who had answered, and after how long.
fn log_candidacy(ended: &EndedCandidacy, out: &mut Outputs) {
    let reason = match ended.end {
        CandidacyEnd::Refused => "refused",
        CandidacyEnd::Outvoted => "outvoted",
        CandidacyEnd::TimedOut => "timed-out",
    };
    let answers: Vec<String> = ended
        .answers
        .iter()
        .map(|answer| {
            let word = if answer.is_granted { "yes" } else { "no" };
            format!("{}:{word}:{}ms", answer.member, answer.after.as_millis())
        })
        .collect();
    let pairs = vec![
        ("reason", reason.to_owned()),
        ("term", ended.term.to_string()),
        ("pre_vote", ended.is_pre_vote.to_string()),
        ("lasted_ms", ended.lasted.as_millis().to_string()),
        ("answers", answers.join(",")),
    ];
    out.event("candidacy-ended", pairs);
}
