//! Operators that change the catalog concurrently, lose responses and resend changes.

use crate::catalog;
use crate::event::{OperatorEvent, SimEvent};
use crate::settings::MILLIS;
use crate::world::World;
use millpass_checkers::Event;
use millpass_control_plane::{AdministrationRequest, AdministrationResponse};
use millpass_proto::{
    ChangeId, ConfigurationRevision, ObjectChange, ObjectChangeOutcome, ObjectKey, ObjectKind,
    TenantName,
};

const RETRY_PAUSE: u64 = 80 * MILLIS;
const MAXIMUM_SENDS: u32 = 8;
const DELETE_PERMILLE: u64 = 150;
const REMOVE_PERMILLE: u64 = 60;
const AUDIT_RETRY: u64 = 100 * MILLIS;

/// A pending call of an operator.
#[derive(Clone)]
pub enum Pending {
    /// Read of an object.
    Read(ObjectKey),
    /// Change of an object.
    Change {
        /// Change, identical in each resend.
        change: ObjectChange,
        /// Number of times it was sent.
        sends: u32,
    },
}

/// One operator.
pub struct Operator {
    zone: usize,
    /// Index of the member to call next.
    member_index: usize,
    pending: Option<(u64, Pending)>,
    changes: u64,
}

impl Operator {
    /// Creates an operator in a zone.
    pub fn new(zone: usize) -> Self {
        Operator {
            zone,
            member_index: zone,
            pending: None,
            changes: 0,
        }
    }
}

/// Origin of a call of the administration API.
#[derive(Clone, Copy, Debug)]
pub enum CallOrigin {
    /// An operator.
    Operator(usize),
    /// Read of the audit log at the end of the run.
    Audit,
}

impl World {
    /// Handles an event of an operator.
    pub(crate) fn operator_event(&mut self, operator: usize, event: OperatorEvent) {
        match event {
            OperatorEvent::Begin => self.begin_operation(operator),
            OperatorEvent::Responded(call, response) => {
                self.handle_operator_response(operator, call, *response)
            }
            OperatorEvent::TimedOut(call) => self.handle_operator_timeout(operator, call),
            OperatorEvent::Send(pending) => self.send_operator_call(operator, *pending),
        }
    }

    fn operator_later(&mut self, operator: usize, delay: u64, event: OperatorEvent) {
        let at = self.now + delay;
        self.queue.push(at, SimEvent::Operator(operator, event));
    }

    fn begin_operation(&mut self, operator: usize) {
        if self.now >= self.settings.times.audit {
            return;
        }
        let object = if self.workload.chance(REMOVE_PERMILLE) {
            let number = self.workload.index(catalog::REMOVED_TENANTS);
            ObjectKey {
                kind: ObjectKind::Tenant,
                name: catalog::removed_tenant(number).0,
            }
        } else {
            catalog::contested(self.workload.index(self.settings.load.contested_objects))
        };
        self.send_operator_call(operator, Pending::Read(object));
    }

    /// Sends a call to the operator's current member.
    fn send_operator_call(&mut self, operator: usize, pending: Pending) {
        self.next_call += 1;
        let call = self.next_call;
        let request = match &pending {
            Pending::Read(object) => {
                self.record(Event::ReadCalled {
                    call,
                    object: object.clone(),
                });
                AdministrationRequest::Get(object.clone())
            }
            Pending::Change { change, .. } => {
                self.record(Event::ChangeCalled {
                    call,
                    object: change.key.clone(),
                    expected_version: change.expected_version,
                    change_id: change.change_id.clone(),
                    deletes: change.spec.is_none(),
                });
                AdministrationRequest::Change(change.clone())
            }
        };
        self.operators[operator].pending = Some((call, pending));
        self.calls.insert(call, CallOrigin::Operator(operator));
        let timeout = self.settings.times.call_timeout;
        self.operator_later(operator, timeout, OperatorEvent::TimedOut(call));
        let (zone, member_index) = (
            self.operators[operator].zone,
            self.operators[operator].member_index,
        );
        let to = self.control[member_index].zone;
        if let Some(delay) = self.network.stream_delay(&mut self.random, zone, to) {
            self.administration_call(member_index, delay, call, request);
        }
    }

    /// Sends the response of a member to the origin of the call.
    pub(crate) fn send_administration_response(
        &mut self,
        member_index: usize,
        call: u64,
        response: AdministrationResponse,
    ) {
        match self.calls.get(&call) {
            Some(CallOrigin::Operator(operator)) => {
                let operator = *operator;
                let (from, to) = (
                    self.control[member_index].zone,
                    self.operators[operator].zone,
                );
                if let Some(delay) = self.network.stream_delay(&mut self.random, from, to) {
                    let event = OperatorEvent::Responded(call, Box::new(response));
                    self.operator_later(operator, delay, event);
                }
            }
            Some(CallOrigin::Audit) => self.handle_audit_response(response),
            None => {}
        }
    }

    fn take_pending(&mut self, operator: usize, call: u64) -> Option<Pending> {
        let pending = &mut self.operators[operator].pending;
        if pending.as_ref().is_none_or(|(pending, _)| *pending != call) {
            return None;
        }
        pending.take().map(|(_, pending)| pending)
    }

    fn handle_operator_response(
        &mut self,
        operator: usize,
        call: u64,
        response: AdministrationResponse,
    ) {
        let Some(pending) = self.take_pending(operator, call) else {
            return;
        };
        match (pending, response) {
            (Pending::Read(object), AdministrationResponse::Object(stored)) => {
                let version = stored.as_ref().map_or(0, |stored| stored.version);
                self.record(Event::ReadReturned { call, version });
                self.change_object(operator, object, version);
            }
            (Pending::Change { change, sends }, AdministrationResponse::Change(outcome)) => {
                self.handle_change_outcome(operator, call, change, sends, outcome);
            }
            (pending, AdministrationResponse::NotLeader { leader_address }) => {
                let leader = leader_address.and_then(|address| self.member_index_at(&address));
                self.retry_operation(operator, pending, leader);
            }
            (pending, _) => self.retry_operation(operator, pending, None),
        }
    }

    fn handle_operator_timeout(&mut self, operator: usize, call: u64) {
        if let Some(pending) = self.take_pending(operator, call) {
            self.retry_operation(operator, pending, None);
        }
    }

    /// Retries at the leader, if known, or at the next member. A change keeps its change id.
    fn retry_operation(&mut self, operator: usize, pending: Pending, leader: Option<usize>) {
        let members = self.control.len();
        let next = (self.operators[operator].member_index + 1) % members;
        self.operators[operator].member_index = leader.unwrap_or(next);
        let pending = match pending {
            Pending::Change { change, sends } if sends < MAXIMUM_SENDS => Pending::Change {
                change,
                sends: sends + 1,
            },
            Pending::Read(object) if self.now < self.settings.times.audit => Pending::Read(object),
            _ => return self.pause_operator(operator),
        };
        let event = OperatorEvent::Send(Box::new(pending));
        self.operator_later(operator, RETRY_PAUSE, event);
    }

    fn pause_operator(&mut self, operator: usize) {
        let pause = 1 + self.workload.below(self.settings.load.operator_pause);
        self.operator_later(operator, pause, OperatorEvent::Begin);
    }

    fn change_object(&mut self, operator: usize, object: ObjectKey, version: u64) {
        let removal = object.name.starts_with("removed-");
        let deletes = version > 0 && (removal || self.workload.chance(DELETE_PERMILLE));
        if removal && version == 0 {
            return self.pause_operator(operator);
        }
        let tenant = TenantName(object.name.clone());
        let weight = 1 + self.workload.below(9) as u32;
        self.operators[operator].changes += 1;
        let number = self.operators[operator].changes;
        let change = ObjectChange {
            key: object,
            expected_version: version,
            change_id: ChangeId(format!("change-{operator}-{number}")),
            operator: "operator".into(),
            at_unix_millis: 0,
            spec: (!deletes).then(|| catalog::tenant_spec(&tenant, weight)),
        };
        self.send_operator_call(operator, Pending::Change { change, sends: 1 });
    }

    fn handle_change_outcome(
        &mut self,
        operator: usize,
        call: u64,
        change: ObjectChange,
        sends: u32,
        outcome: ObjectChangeOutcome,
    ) {
        // Drops the response, as if the network had lost it.
        let lost = self
            .workload
            .chance(self.settings.load.resent_changes_permille);
        if lost && sends < MAXIMUM_SENDS {
            return self.retry_operation(operator, Pending::Change { change, sends }, None);
        }
        if matches!(outcome, ObjectChangeOutcome::Accepted(_)) {
            self.statistics.accepted_changes += 1;
            if change.spec.is_none() && change.key.name.starts_with("removed-") {
                let tenant = TenantName(change.key.name.clone());
                self.record(Event::TenantRemoved { tenant });
            }
        }
        self.record(Event::ChangeReturned { call, outcome });
        self.pause_operator(operator);
    }

    /// Requests the audit log from one member after another until one responds.
    pub(crate) fn read_audit(&mut self) {
        if self.audit_is_read || self.now + AUDIT_RETRY >= self.settings.times.run_end {
            return;
        }
        self.queue.push(self.now + AUDIT_RETRY, SimEvent::ReadAudit);
        self.next_call += 1;
        let call = self.next_call;
        self.record(Event::FinalAuditCalled);
        self.calls.insert(call, CallOrigin::Audit);
        let member_index = self.next_audit_member % self.control.len();
        self.next_audit_member += 1;
        let request = AdministrationRequest::Audit(ConfigurationRevision(0));
        self.administration_call(member_index, MILLIS, call, request);
    }

    fn handle_audit_response(&mut self, response: AdministrationResponse) {
        let AdministrationResponse::Audit(records) = response else {
            return;
        };
        if std::mem::replace(&mut self.audit_is_read, true) {
            return;
        }
        for record in records {
            self.record(Event::FinalAudit {
                change_id: record.change_id,
                revision: record.revision,
            });
        }
        self.record(Event::FinalAuditRead);
    }
}
