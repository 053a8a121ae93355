//! A deployment configured by one document, with instances that announce themselves: puts and reads
//! of the document, announcements, departures, and the reports of gateways. Decisions about engines
//! are `millpass-fleet`'s.

use crate::interface::{AdministrationAnswer, ConnectionId, ControlOutput};
use crate::outputs::Outputs;
use crate::plane::ControlPlane;
use crate::proposals::{InternalKey, Waiter};
use millpass_consensus::Role;
use millpass_fleet::{CallAnswer, FleetOutput, GatewayContext};
use millpass_proto::{
    Command, ControlToRouter, CrashReport, Duration, EngineInstruction, GatewayReport,
    InstanceDeparture, InstanceId, InstanceRecord, InstructionIntent, LogPosition, PermitRequest,
    PutDocument, RequestFingerprint, Timestamp,
};
use millpass_state::State;

/// Most departed instances that a gateway without an index is told of when it connects: those of the last minutes. It
/// was told of nothing yet, and what it holds all the same is gone once the leader knows every instance.
const MAXIMUM_DEPARTED_TOLD: usize = 256;

/// Why a call is refused where no instances announce themselves.
const NO_FLEET: &str =
    "this deployment is configured object by object; use the administration API's objects";

/// Departed instances to name to a gateway that was told of what binds it up to this log index: all since, as it counts
/// as told of them from then on.
pub(crate) fn departures_to_tell(state: &State, told: u64) -> Vec<InstanceId> {
    let most = match told {
        0 => MAXIMUM_DEPARTED_TOLD,
        _ => usize::MAX,
    };
    let departures = state.departures_after(told).take(most);
    departures.cloned().collect()
}

impl ControlPlane {
    /// Puts a document in force. A version that is not above the one held is acknowledged and
    /// changes nothing.
    pub(crate) fn put_document(
        &mut self,
        now: Timestamp,
        call: u64,
        put: PutDocument,
        out: &mut Outputs,
    ) {
        let held = self.state.document_version();
        let version = put.document.version;
        let mut pairs = vec![
            ("version", version.to_string()),
            ("held", held.to_string()),
            ("bytes", put.source.len().to_string()),
        ];
        if version <= held {
            pairs.push(("outcome", "not-above".to_owned()));
            out.event("document-put", pairs);
            return out.answer(call, AdministrationAnswer::Done);
        }
        pairs.push(("outcome", "proposed".to_owned()));
        out.event("document-put", pairs);
        if self.admit_change(call, out) {
            self.propose(now, Waiter::Call(call), Command::PutDocument(put), out);
        }
    }

    /// Takes an announcement, whether this member leads or not. A draining instance is recorded in the log before it is
    /// acknowledged, by the leader: the word survives the loss of this member.
    pub(crate) fn announce(
        &mut self,
        now: Timestamp,
        call: u64,
        mut record: InstanceRecord,
        out: &mut Outputs,
    ) {
        let Some(fleet) = &mut self.fleet else {
            return out.answer(call, AdministrationAnswer::Refused(NO_FLEET.to_owned()));
        };
        let departed = self.state.departed(&record.instance);
        let draining = record.draining;
        record.draining |= departed.is_some();
        let instance = record.instance.clone();
        fleet.announce(now, record, departed == Some(true));
        if draining && departed.is_none() {
            let departure = InstanceDeparture {
                instance,
                ended: false,
            };
            return self.depart(now, call, departure, out);
        }
        out.answer(call, AdministrationAnswer::Done);
    }

    /// The run that is meant: where none is stated and runs of the instance have stated theirs, the latest.
    fn meant_run(&self, instance: InstanceId) -> InstanceId {
        if instance.incarnation() > 0 {
            return instance;
        }
        let known = self.fleet.as_ref();
        let known = known.and_then(|fleet| fleet.latest_run(&instance));
        let noted = || self.state.latest_noted_run(&instance).cloned();
        known.or_else(noted).unwrap_or(instance)
    }

    /// Records that an instance leaves or has left.
    pub(crate) fn depart(
        &mut self,
        now: Timestamp,
        call: u64,
        departure: InstanceDeparture,
        out: &mut Outputs,
    ) {
        let departure = InstanceDeparture {
            instance: self.meant_run(departure.instance),
            ..departure
        };
        let departed = self.state.departed(&departure.instance);
        if departed == Some(true) || (departed.is_some() && !departure.ended) {
            return out.answer(call, AdministrationAnswer::Done);
        }
        if self.admit_change(call, out) {
            let command = Command::DepartInstance(departure);
            self.propose(now, Waiter::Call(call), command, out);
        }
    }

    /// The document in force may be another one.
    pub(crate) fn note_document(&mut self, now: Timestamp) {
        if let Some(document) = self.state.document() {
            self.documents.applied(now, document);
        }
    }

    /// A departure was committed.
    pub(crate) fn departure_applied(
        &mut self,
        now: Timestamp,
        at: LogPosition,
        departure: &InstanceDeparture,
    ) {
        if let Some(fleet) = &mut self.fleet {
            fleet.departure_committed(now, at.index);
            fleet.departed(&departure.instance, departure.ended);
        }
    }

    pub(crate) fn take_gateway_report(
        &mut self,
        now: Timestamp,
        connection: ConnectionId,
        report: &GatewayReport,
        out: &mut Outputs,
    ) {
        if !self.in_charge(now) {
            if self.fleet.is_some() {
                self.pass_on(connection, report, out);
            }
            // A leader whose lease has run out is late, not deposed: sent away, every gateway would come back to it.
            if self.role != Role::Leader {
                return out.send_not_leader(connection, self.leader_peer_address());
            }
        }
        match &mut self.fleet {
            Some(fleet) => fleet.report(now, connection.0, report),
            None => out.send_not_leader(connection, None),
        }
    }

    /// Takes what a gateway saw of instances that ended. What follows is told at the next run of the fleet.
    pub(crate) fn take_crash_report(&mut self, now: Timestamp, report: &CrashReport) {
        if let Some(fleet) = &mut self.fleet {
            fleet.crashes_reported(now, report);
        }
    }

    /// Answers a gateway that tells of instances' limits, or asks for permits.
    pub(crate) fn take_permit_request(
        &mut self,
        now: Timestamp,
        connection: ConnectionId,
        request: &PermitRequest,
        out: &mut Outputs,
    ) {
        if let Some(fleet) = &mut self.fleet {
            let answer = fleet.permit_request(now, self.term, request);
            out.send_router(connection, ControlToRouter::Permits(answer));
        }
    }

    /// Requests that are held back.
    pub(crate) fn held_requests(&self, now: Timestamp) -> AdministrationAnswer {
        let fleet = self.fleet.as_ref();
        let held = fleet.map_or_else(Vec::new, |fleet| fleet.held_requests(now));
        AdministrationAnswer::HeldRequests(held)
    }

    /// Lets a request go; done once the log says so.
    pub(crate) fn lift_request(
        &mut self,
        now: Timestamp,
        call: u64,
        request: RequestFingerprint,
        out: &mut Outputs,
    ) {
        if !self.admit_change(call, out) {
            return;
        }
        if let Some(fleet) = &mut self.fleet {
            fleet.lift(&request);
        }
        let command = Command::LiftQuarantine(request);
        self.propose(now, Waiter::Call(call), command, out);
    }

    pub(crate) fn instruction_answered(&mut self, now: Timestamp, answer: &CallAnswer) {
        if let Some(fleet) = &mut self.fleet {
            fleet.answered(now, answer);
        }
    }

    /// Begins with what the log knows, the first time since this member took charge.
    pub(crate) fn begin_fleet(&mut self, now: Timestamp) {
        if let Some(fleet) = self.fleet.as_mut().filter(|fleet| !fleet.has_begun()) {
            let noted = self.state.noted_instances().cloned();
            let held = self.state.held_requests().cloned();
            let state = &self.state;
            fleet.take_departures(&|instance| state.departed(instance));
            fleet.begin(now, noted, held, &self.instructions);
        }
    }

    /// Lets the fleet do what is due; only while this member is in charge.
    pub(crate) fn run_fleet(&mut self, now: Timestamp, out: &mut Outputs) {
        self.begin_fleet(now);
        let Some(fleet) = &mut self.fleet else {
            return;
        };
        let consensus = &self.consensus;
        let members = || -> Vec<String> {
            let membership = consensus.status().membership;
            let members = membership.voters.iter().chain(&membership.learners);
            members.map(|member| member.peer_address.clone()).collect()
        };
        let state = &self.state;
        let departed = |told| departures_to_tell(state, told);
        let context = GatewayContext {
            members: &members,
            departed: &departed,
            as_of: self.applied.last.index,
            documents: &self.documents,
        };
        let mut instructions = Vec::new();
        for output in fleet.run(now, self.term, self.state.document(), &context) {
            match output {
                FleetOutput::Instruct(instruction) => instructions.push(instruction),
                FleetOutput::Note(note) => {
                    let command = Command::RecordInstances(note);
                    self.propose_internal(now, InternalKey::NoteInstances, command, out);
                }
                FleetOutput::NoteStoreCapacity(capacity) => {
                    let command = Command::RecordStoreCapacity(capacity);
                    self.propose_internal(now, InternalKey::NoteStoreCapacity, command, out);
                }
                FleetOutput::NoteHeldRequest(note) => {
                    let key = InternalKey::HeldRequest(note.request.clone());
                    self.propose_internal(now, key, Command::QuarantineRequest(note), out);
                }
                FleetOutput::LiftRequest(request) => {
                    let key = InternalKey::HeldRequest(request.clone());
                    self.propose_internal(now, key, Command::LiftQuarantine(request), out);
                }
                FleetOutput::Crashes { connection, update } => {
                    out.send_router(ConnectionId(connection), ControlToRouter::Crashes(update));
                }
                FleetOutput::Limits { connection, update } => {
                    out.send_router(ConnectionId(connection), ControlToRouter::Limits(update));
                }
                FleetOutput::Update { connection, update } => {
                    let message = ControlToRouter::Gateway(*update);
                    out.send_router(ConnectionId(connection), message);
                }
                FleetOutput::ReadEngine {
                    instance,
                    address,
                    call,
                } => {
                    out.push(ControlOutput::ReadEngine {
                        instance,
                        address,
                        call,
                    });
                }
                FleetOutput::DocumentReached(after) => {
                    out.push(ControlOutput::DocumentReached(after));
                }
                FleetOutput::DepartureReached(after) => {
                    out.push(ControlOutput::DepartureReached(after));
                }
                FleetOutput::Event(event) => out.event(event.name, event.pairs),
            }
        }
        if !instructions.is_empty() {
            self.note_instructions(now, instructions, out);
        }
    }

    /// Says in the log which engines are about to be instructed. The instructions leave when that is
    /// committed; if it never is, the fleet reads the engines' state once they are overdue.
    fn note_instructions(
        &mut self,
        now: Timestamp,
        instructions: Vec<EngineInstruction>,
        out: &mut Outputs,
    ) {
        if !self.proposals.has_room() {
            return;
        }
        let loads = instructions.iter().filter(|found| found.from_store);
        let note = InstructionIntent {
            store_loads: u32::try_from(loads.count()).unwrap_or(u32::MAX),
            instances: instructions
                .iter()
                .map(|instruction| instruction.instance.clone())
                .collect(),
        };
        let command = Command::RecordInstructionIntent(note);
        let waiter = Waiter::Instructions {
            decided_at: now,
            instructions,
        };
        self.propose(now, waiter, command, out);
    }

    /// Gives instructions that were noted, if this member still leads. One that the fleet has given up meanwhile,
    /// as its note took too long, does not leave: another may be on its way to the engine, and the answer to the
    /// one would be taken for the other's.
    pub(crate) fn instruct(
        &mut self,
        now: Timestamp,
        decided_at: Timestamp,
        instructions: Vec<EngineInstruction>,
        out: &mut Outputs,
    ) {
        if !self.in_charge(now) {
            let pairs = vec![("instructions", instructions.len().to_string())];
            return out.event("instructions-dropped", pairs);
        }
        let lifetime = self.settings.fleet.as_ref();
        let lifetime = lifetime.map_or(Duration::ZERO, |settings| settings.order_lifetime);
        let ends_by = now + lifetime;
        for instruction in instructions {
            let fleet = self.fleet.as_ref();
            if fleet.is_some_and(|fleet| fleet.awaits(&instruction.instance, instruction.call)) {
                out.push(ControlOutput::Instruct {
                    instruction,
                    ends_by,
                });
                continue;
            }
            let pairs = vec![
                ("instance", instruction.instance.0.clone()),
                (
                    "expected_revision",
                    instruction.expected_revision.to_string(),
                ),
                ("age_ms", now.since(decided_at).as_millis().to_string()),
            ];
            out.event("instruction-given-up", pairs);
        }
    }
}
