//! Deployments configured by one document, with instances that announce themselves: documents,
//! announcements, departures and gateway reports. Decisions about engines are made by
//! `millpass-fleet`.

use crate::interface::{AdministrationResponse, ConnectionId, ControlOutput};
use crate::outputs::Outputs;
use crate::plane::ControlPlane;
use crate::proposals::{InternalKey, Waiter};
use millpass_consensus::Role;
use millpass_fleet::{CallResult, FleetOutput, GatewayContext};
use millpass_proto::{
    Command, ControlToRouter, CrashReport, Duration, EngineInstruction, GatewayReach,
    GatewayReport, InstanceDeparture, InstanceId, InstanceRecord, InstructionIntent, LogPosition,
    PartSet, PermitRequest, PutDocument, RequestFingerprint, RunQuery, StreamReport, Timestamp,
};
use millpass_state::State;

/// Maximum number of departed instances listed to a gateway that reports no log index. Such a
/// gateway has received nothing yet, and drops other unknown instances once the leader has the
/// complete list.
const MAXIMUM_INITIAL_DEPARTURES: usize = 256;

const FLEET_REQUIRED: &str = "this deployment has no instances that announce themselves; configure it with the administration API's objects";

/// Returns the departed instances to list to a gateway that has applied required entries up to
/// `since`. Lists all of them: the gateway counts as up to date afterwards.
pub(crate) fn departures_since(state: &State, since: u64) -> Vec<InstanceId> {
    let limit = match since {
        0 => MAXIMUM_INITIAL_DEPARTURES,
        _ => usize::MAX,
    };
    let departures = state.departures_after(since).take(limit);
    departures.cloned().collect()
}

impl ControlPlane {
    /// Commits a document. A version that is not higher than the current one is acknowledged
    /// without effect.
    pub(crate) fn put_document(
        &mut self,
        now: Timestamp,
        call: u64,
        put: PutDocument,
        out: &mut Outputs,
    ) {
        let current = self.state.document_version();
        let version = put.document.version;
        let mut pairs = vec![
            ("version", version.to_string()),
            ("held", current.to_string()),
            ("bytes", put.source.len().to_string()),
        ];
        if version <= current {
            pairs.push(("outcome", "not-above".to_owned()));
            out.event("document-put", pairs);
            return out.respond(call, AdministrationResponse::Done);
        }
        pairs.push(("outcome", "proposed".to_owned()));
        out.event("document-put", pairs);
        if self.admit_change(call, out) {
            self.propose(now, Waiter::Call(call), Command::PutDocument(put), out);
        }
    }

    /// Records an announcement on any member. A draining instance is committed to the log by the
    /// leader before the acknowledgement, so that it survives the loss of this member.
    pub(crate) fn announce(
        &mut self,
        now: Timestamp,
        call: u64,
        mut record: InstanceRecord,
        out: &mut Outputs,
    ) {
        let Some(fleet) = &mut self.fleet else {
            return out.respond(
                call,
                AdministrationResponse::Refused(FLEET_REQUIRED.to_owned()),
            );
        };
        let departed = self.state.departed(&record.instance);
        let draining = record.draining;
        record.draining |= departed.is_some();
        let instance = record.instance.clone();
        fleet.handle_announcement(now, record, departed == Some(true));
        if draining && departed.is_none() {
            let departure = InstanceDeparture {
                instance,
                ended: false,
            };
            return self.depart(now, call, departure, out);
        }
        out.respond(call, AdministrationResponse::Done);
    }

    /// Resolves an instance without incarnation to its latest known incarnation, if any.
    fn resolve_incarnation(&self, instance: InstanceId) -> InstanceId {
        if instance.incarnation() > 0 {
            return instance;
        }
        let latest = self.fleet.as_ref();
        let latest = latest.and_then(|fleet| fleet.latest_incarnation(&instance));
        let recorded = || self.state.latest_recorded_run(&instance).cloned();
        latest.or_else(recorded).unwrap_or(instance)
    }

    /// Commits that an instance is leaving or has ended.
    pub(crate) fn depart(
        &mut self,
        now: Timestamp,
        call: u64,
        departure: InstanceDeparture,
        out: &mut Outputs,
    ) {
        let departure = InstanceDeparture {
            instance: self.resolve_incarnation(departure.instance),
            ..departure
        };
        let departed = self.state.departed(&departure.instance);
        if departed == Some(true) || (departed.is_some() && !departure.ended) {
            return out.respond(call, AdministrationResponse::Done);
        }
        if self.admit_change(call, out) {
            let command = Command::DepartInstance(departure);
            self.propose(now, Waiter::Call(call), command, out);
        }
    }

    /// Records the current document in the history, if it changed.
    pub(crate) fn record_document(&mut self, now: Timestamp) {
        if let Some(document) = self.state.document() {
            self.documents.record(now, document);
        }
    }

    pub(crate) fn departure_applied(
        &mut self,
        now: Timestamp,
        at: LogPosition,
        departure: &InstanceDeparture,
    ) {
        if let Some(fleet) = &mut self.fleet {
            fleet.record_departure_commit(now, at.index);
            fleet.record_departing(now, &departure.instance);
            fleet.handle_departure(&departure.instance, departure.ended);
        }
    }

    pub(crate) fn handle_gateway_report(
        &mut self,
        now: Timestamp,
        connection: ConnectionId,
        report: &GatewayReport,
        out: &mut Outputs,
    ) {
        if !self.is_leading(now) {
            if self.fleet.is_some() {
                self.forward_committed(connection, report, out);
            }
            // An expired lease does not redirect gateways: all of them would reconnect to this
            // member.
            if self.role != Role::Leader {
                return out.send_not_leader(connection, self.leader_peer_address());
            }
        }
        match &mut self.fleet {
            Some(fleet) => fleet.handle_report(now, connection.0, report),
            None => out.send_not_leader(connection, None),
        }
    }

    /// Records crashes that a gateway observed; updates are sent in the next run of the fleet.
    pub(crate) fn handle_crash_report(&mut self, now: Timestamp, report: &CrashReport) {
        if let Some(fleet) = &mut self.fleet {
            fleet.handle_crash_report(now, report);
        }
    }

    /// Records what a gateway reaches; lists of other gateways are sent in the next run of the fleet.
    pub(crate) fn handle_reach(&mut self, connection: ConnectionId, reach: GatewayReach) {
        if let Some(fleet) = &mut self.fleet {
            fleet.handle_reach(connection.0, reach);
        }
    }

    /// Records the origins of a gateway's streams, and answers its questions about others.
    pub(crate) fn handle_streams(
        &mut self,
        now: Timestamp,
        connection: ConnectionId,
        report: StreamReport,
        out: &mut Outputs,
    ) {
        if let Some(fleet) = &mut self.fleet
            && let Some(update) = fleet.handle_streams(now, report)
        {
            out.send_router(connection, ControlToRouter::Origins(update));
        }
    }

    /// Answers a gateway's question about process runs.
    pub(crate) fn handle_runs(
        &mut self,
        now: Timestamp,
        connection: ConnectionId,
        query: RunQuery,
        out: &mut Outputs,
    ) {
        if let Some(fleet) = &self.fleet {
            let update = fleet.handle_runs(now, query);
            out.send_router(connection, ControlToRouter::Runs(update));
        }
    }

    /// Responds to a gateway's permit request, which also carries limits stated by instances.
    pub(crate) fn handle_permit_request(
        &mut self,
        now: Timestamp,
        connection: ConnectionId,
        request: &PermitRequest,
        out: &mut Outputs,
    ) {
        if let Some(fleet) = &mut self.fleet {
            let response = fleet.handle_permit_request(now, self.term, request);
            out.send_router(connection, ControlToRouter::Permits(response));
        }
    }

    pub(crate) fn quarantined_requests(&self, now: Timestamp) -> AdministrationResponse {
        let fleet = self.fleet.as_ref();
        let quarantined = fleet.map_or_else(Vec::new, |fleet| fleet.quarantined_requests(now));
        let parts = fleet.map_or_else(Vec::new, |fleet| fleet.refused_parts(now));
        AdministrationResponse::QuarantinedRequests(quarantined, parts)
    }

    /// Releases refused parts of prompts; answered after commit.
    pub(crate) fn release_parts(
        &mut self,
        now: Timestamp,
        call: u64,
        set: PartSet,
        out: &mut Outputs,
    ) {
        if !self.admit_change(call, out) {
            return;
        }
        if let Some(fleet) = &mut self.fleet {
            fleet.release_parts(&set);
        }
        self.propose(now, Waiter::Call(call), Command::ReleaseParts(set), out);
    }

    /// Releases a quarantined request; answered after commit.
    pub(crate) fn lift_quarantine(
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
            fleet.lift_quarantine(&request);
        }
        let command = Command::LiftQuarantine(request);
        self.propose(now, Waiter::Call(call), command, out);
    }

    pub(crate) fn handle_call_result(&mut self, now: Timestamp, result: &CallResult) {
        if let Some(fleet) = &mut self.fleet {
            fleet.handle_call_result(now, result);
        }
    }

    /// Initializes the fleet from the replicated state, once per leadership.
    pub(crate) fn start_fleet(&mut self, now: Timestamp) {
        if let Some(fleet) = self
            .fleet
            .as_mut()
            .filter(|fleet| !fleet.has_started_leading())
        {
            let recorded = self.state.recorded_instances().cloned();
            let quarantined = self.state.quarantined_requests().cloned();
            let state = &self.state;
            fleet.apply_departures(&|instance| state.departed(instance));
            fleet.start_leading(now, recorded, quarantined, &self.instructions);
            fleet.restore_refused_parts(now, state.refused_parts().cloned());
        }
    }

    /// Runs the fleet and executes its outputs; only while this member is leading.
    pub(crate) fn run_fleet(&mut self, now: Timestamp, out: &mut Outputs) {
        self.start_fleet(now);
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
        let departed = |since| departures_since(state, since);
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
                FleetOutput::RecordInstances(record) => {
                    let command = Command::RecordInstances(record);
                    self.propose_internal(now, InternalKey::NoteInstances, command, out);
                }
                FleetOutput::RecordStoreCapacity(capacity) => {
                    let command = Command::RecordStoreCapacity(capacity);
                    self.propose_internal(now, InternalKey::NoteStoreCapacity, command, out);
                }
                FleetOutput::QuarantineRequest(record) => {
                    let key = InternalKey::HeldRequest(record.request.clone());
                    self.propose_internal(now, key, Command::QuarantineRequest(record), out);
                }
                FleetOutput::LiftQuarantine(request) => {
                    let key = InternalKey::HeldRequest(request.clone());
                    self.propose_internal(now, key, Command::LiftQuarantine(request), out);
                }
                FleetOutput::QuarantineParts(record) => {
                    let key = InternalKey::RefusedParts(record.set.clone());
                    self.propose_internal(now, key, Command::QuarantineParts(record), out);
                }
                FleetOutput::ReleaseParts(set) => {
                    let key = InternalKey::RefusedParts(set.clone());
                    self.propose_internal(now, key, Command::ReleaseParts(set), out);
                }
                FleetOutput::Crashes { connection, update } => {
                    out.send_router(ConnectionId(connection), ControlToRouter::Crashes(update));
                }
                FleetOutput::Limits { connection, update } => {
                    out.send_router(ConnectionId(connection), ControlToRouter::Limits(update));
                }
                FleetOutput::Peers { connection, update } => {
                    out.send_router(ConnectionId(connection), ControlToRouter::Peers(update));
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
                FleetOutput::DocumentAcknowledged(after) => {
                    out.push(ControlOutput::DocumentReached(after));
                }
                FleetOutput::DepartureAcknowledged(after) => {
                    out.push(ControlOutput::DepartureReached(after));
                }
                FleetOutput::Event(event) => out.event(event.name, event.pairs),
            }
        }
        if !instructions.is_empty() {
            self.propose_instructions(now, instructions, out);
        }
    }

    /// Records in the log which engines are about to be instructed. The instructions are sent after
    /// commit; if the entry never commits, the fleet reads the state of the engines when they are
    /// overdue.
    fn propose_instructions(
        &mut self,
        now: Timestamp,
        instructions: Vec<EngineInstruction>,
        out: &mut Outputs,
    ) {
        if !self.proposals.has_capacity() {
            return;
        }
        let loads = instructions.iter().filter(|found| found.from_store);
        let record = InstructionIntent {
            store_loads: u32::try_from(loads.count()).unwrap_or(u32::MAX),
            instances: instructions
                .iter()
                .map(|instruction| instruction.instance.clone())
                .collect(),
        };
        let command = Command::RecordInstructionIntent(record);
        let waiter = Waiter::Instructions {
            decided_at: now,
            instructions,
        };
        self.propose(now, waiter, command, out);
    }

    /// Sends committed instructions if this member is still leading. An instruction that the fleet
    /// no longer awaits is dropped: another one may be in flight to the same engine, and its
    /// response would be matched to the wrong instruction.
    pub(crate) fn send_instructions(
        &mut self,
        now: Timestamp,
        decided_at: Timestamp,
        instructions: Vec<EngineInstruction>,
        out: &mut Outputs,
    ) {
        if !self.is_leading(now) {
            let pairs = vec![("instructions", instructions.len().to_string())];
            return out.event("instructions-dropped", pairs);
        }
        let lifetime = self.settings.fleet.as_ref();
        let lifetime = lifetime.map_or(Duration::ZERO, |settings| settings.order_lifetime);
        let deadline = now + lifetime;
        for instruction in instructions {
            let fleet = self.fleet.as_ref();
            if fleet
                .is_some_and(|fleet| fleet.awaits_response(&instruction.instance, instruction.call))
            {
                out.push(ControlOutput::Instruct {
                    instruction,
                    deadline,
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
