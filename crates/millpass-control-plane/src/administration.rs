//! Calls of the administration API. Reads require the leader lease; changes are answered after
//! commit.

use crate::interface::{AdministrationRequest, AdministrationResponse, DeploymentStatus};
use crate::outputs::Outputs;
use crate::plane::ControlPlane;
use crate::proposals::Waiter;
use millpass_consensus::Role;
use millpass_fleet::Fleet;
use millpass_proto::{
    BackendMark, BackendName, BackendState, Command, CommandOutcome, ObjectChange, Timestamp,
};

impl ControlPlane {
    pub(crate) fn handle_administration_call(
        &mut self,
        now: Timestamp,
        call: u64,
        request: AdministrationRequest,
        out: &mut Outputs,
    ) {
        // Announcements are soft state that every member keeps; a draining instance is recorded in
        // the log.
        let is_soft =
            matches!(&request, AdministrationRequest::Announce(record) if !record.draining);
        let is_accepted = self.is_leading(now) || (is_soft && self.fleet.is_some());
        if !is_accepted {
            let leader_address = self.leader_administration_address();
            out.respond(call, AdministrationResponse::NotLeader { leader_address });
            return;
        }
        match request {
            AdministrationRequest::Change(change) => self.change_object(now, call, change, out),
            AdministrationRequest::MarkBackend(backend, state) => {
                self.mark_backend(now, call, &backend, state, out);
            }
            AdministrationRequest::ChangeMembership(change) => {
                if self.admit_change(call, out) {
                    self.change_membership(now, Waiter::Call(call), change, out);
                }
            }
            AdministrationRequest::PutDocument(put) => self.put_document(now, call, *put, out),
            AdministrationRequest::Announce(record) => self.announce(now, call, record, out),
            AdministrationRequest::Depart(departure) => self.depart(now, call, departure, out),
            AdministrationRequest::LiftQuarantine(request) => {
                self.lift_quarantine(now, call, request, out);
            }
            AdministrationRequest::ReleaseParts(set) => self.release_parts(now, call, set, out),
            read => out.respond(call, self.read(now, read)),
        }
    }

    /// Returns true if this member is the leader and has held the lease in this term, even if the
    /// lease has expired since. Before that, committed departures may not be applied here, and a late
    /// announcement would bring a departed instance back.
    pub(crate) fn is_established_leader(&self) -> bool {
        let has_started_leading = self.fleet.as_ref().is_some_and(Fleet::has_started_leading);
        self.role == Role::Leader && has_started_leading
    }

    fn change_object(
        &mut self,
        now: Timestamp,
        call: u64,
        change: ObjectChange,
        out: &mut Outputs,
    ) {
        if self.admit_change(call, out) {
            self.propose(now, Waiter::Call(call), Command::ChangeObject(change), out);
        }
    }

    fn mark_backend(
        &mut self,
        now: Timestamp,
        call: u64,
        name: &BackendName,
        state: BackendState,
        out: &mut Outputs,
    ) {
        let Some(backend) = self.state.backend(name) else {
            let reason =
                format!("back end {name} is not registered; `status` lists those that are");
            out.respond(call, AdministrationResponse::Refused(reason));
            return;
        };
        let mark = BackendMark {
            backend: name.clone(),
            incarnation: backend.registration.incarnation,
            state,
        };
        if self.admit_change(call, out) {
            self.propose(now, Waiter::Call(call), Command::MarkBackend(mark), out);
        }
    }

    /// Returns true if a change may be proposed now; otherwise answers the call.
    pub(crate) fn admit_change(&mut self, call: u64, out: &mut Outputs) -> bool {
        if self.drain.is_some() {
            let leader_address = None;
            out.respond(call, AdministrationResponse::NotLeader { leader_address });
            return false;
        }
        if !self.proposals.has_capacity() {
            out.respond(call, AdministrationResponse::Busy);
            return false;
        }
        true
    }

    fn read(&self, now: Timestamp, request: AdministrationRequest) -> AdministrationResponse {
        match request {
            AdministrationRequest::Get(key) => {
                AdministrationResponse::Object(self.state.object(&key).cloned())
            }
            AdministrationRequest::List(kind) => {
                let objects = self.state.objects(kind).into_iter().cloned().collect();
                AdministrationResponse::Objects(objects)
            }
            AdministrationRequest::Audit(after) => {
                let records = self.state.audit_since(after);
                AdministrationResponse::Audit(records.into_iter().cloned().collect())
            }
            AdministrationRequest::Status => {
                AdministrationResponse::Status(Box::new(self.deployment_status(now)))
            }
            AdministrationRequest::GetDocument => {
                let source = self.state.document_source();
                AdministrationResponse::DocumentSource(source.map(<[u8]>::to_vec))
            }
            AdministrationRequest::QuarantinedRequests => self.quarantined_requests(now),
            AdministrationRequest::Change(_)
            | AdministrationRequest::PutDocument(_)
            | AdministrationRequest::Announce(_)
            | AdministrationRequest::Depart(_)
            | AdministrationRequest::LiftQuarantine(_)
            | AdministrationRequest::ReleaseParts(_)
            | AdministrationRequest::MarkBackend(..)
            | AdministrationRequest::ChangeMembership(_) => AdministrationResponse::Done,
        }
    }

    fn deployment_status(&self, now: Timestamp) -> DeploymentStatus {
        let backends = self.state.backends();
        DeploymentStatus {
            consensus: self.consensus.status(),
            configuration: self.state.configuration_revision(),
            routers: self.sessions.status(now),
            replicas: self.state.replicas().into_iter().cloned().collect(),
            backends: backends
                .iter()
                .map(|backend| (backend.registration.backend.clone(), backend.state))
                .collect(),
            outstanding_orders: self.state.outstanding_order_count() as u64,
        }
    }
}

/// Returns the response to a committed change.
pub(crate) fn change_response(outcome: CommandOutcome) -> AdministrationResponse {
    match outcome {
        CommandOutcome::Object(outcome) => AdministrationResponse::Change(outcome),
        CommandOutcome::Ignored(reason) => AdministrationResponse::Refused(reason),
        CommandOutcome::Done | CommandOutcome::Placed(_) | CommandOutcome::Claim(_) => {
            AdministrationResponse::Done
        }
    }
}
