//! Operators that change the catalog at the same time, lose answers and send changes again.

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

/// What an operator asks.
#[derive(Clone)]
pub enum Pending {
    /// To read an object.
    Read(ObjectKey),
    /// To change one.
    Change {
        /// Change; the same in each resend.
        change: ObjectChange,
        /// How often it was sent.
        sends: u32,
    },
}

/// One operator.
pub struct Operator {
    zone: usize,
    /// Member asked next.
    place: usize,
    pending: Option<(u64, Pending)>,
    changes: u64,
}

impl Operator {
    /// An operator in a zone.
    pub fn new(zone: usize) -> Self {
        Operator {
            zone,
            place: zone,
            pending: None,
            changes: 0,
        }
    }
}

/// Who made a call of the administration API.
#[derive(Clone, Copy, Debug)]
pub enum Asker {
    /// An operator.
    Operator(usize),
    /// The end of the run, which reads the audit log.
    Audit,
}

impl World {
    /// Handles an event of an operator.
    pub(crate) fn operator_event(&mut self, operator: usize, event: OperatorEvent) {
        match event {
            OperatorEvent::Begin => self.operator_begins(operator),
            OperatorEvent::Answered(call, answer) => self.operator_gets(operator, call, *answer),
            OperatorEvent::TimedOut(call) => self.operator_timed_out(operator, call),
            OperatorEvent::Ask(pending) => self.operator_asks(operator, *pending),
        }
    }

    fn operator_later(&mut self, operator: usize, delay: u64, event: OperatorEvent) {
        let at = self.now + delay;
        self.queue.push(at, SimEvent::Operator(operator, event));
    }

    fn operator_begins(&mut self, operator: usize) {
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
        self.operator_asks(operator, Pending::Read(object));
    }

    /// Sends what is pending to the member that is asked next.
    fn operator_asks(&mut self, operator: usize, pending: Pending) {
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
        self.calls.insert(call, Asker::Operator(operator));
        let timeout = self.settings.times.call_timeout;
        self.operator_later(operator, timeout, OperatorEvent::TimedOut(call));
        let (zone, place) = (
            self.operators[operator].zone,
            self.operators[operator].place,
        );
        let to = self.control[place].zone;
        if let Some(delay) = self.network.stream_delay(&mut self.random, zone, to) {
            self.administration_call(place, delay, call, request);
        }
    }

    /// A member answers a call.
    pub(crate) fn answer_operator(
        &mut self,
        place: usize,
        call: u64,
        answer: AdministrationResponse,
    ) {
        match self.calls.get(&call) {
            Some(Asker::Operator(operator)) => {
                let operator = *operator;
                let (from, to) = (self.control[place].zone, self.operators[operator].zone);
                if let Some(delay) = self.network.stream_delay(&mut self.random, from, to) {
                    let event = OperatorEvent::Answered(call, Box::new(answer));
                    self.operator_later(operator, delay, event);
                }
            }
            Some(Asker::Audit) => self.audit_answered(answer),
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

    fn operator_gets(&mut self, operator: usize, call: u64, answer: AdministrationResponse) {
        let Some(pending) = self.take_pending(operator, call) else {
            return;
        };
        match (pending, answer) {
            (Pending::Read(object), AdministrationResponse::Object(stored)) => {
                let version = stored.as_ref().map_or(0, |stored| stored.version);
                self.record(Event::ReadReturned { call, version });
                self.change_object(operator, object, version);
            }
            (Pending::Change { change, sends }, AdministrationResponse::Change(outcome)) => {
                self.change_answered(operator, call, change, sends, outcome);
            }
            (pending, AdministrationResponse::NotLeader { leader_address }) => {
                let leader = leader_address.and_then(|address| self.place_of_peer(&address));
                self.ask_again(operator, pending, leader);
            }
            (pending, _) => self.ask_again(operator, pending, None),
        }
    }

    fn operator_timed_out(&mut self, operator: usize, call: u64) {
        if let Some(pending) = self.take_pending(operator, call) {
            self.ask_again(operator, pending, None);
        }
    }

    /// Asks the leader, if known, or the next member. A change keeps its identity.
    fn ask_again(&mut self, operator: usize, pending: Pending, leader: Option<usize>) {
        let members = self.control.len();
        let next = (self.operators[operator].place + 1) % members;
        self.operators[operator].place = leader.unwrap_or(next);
        let pending = match pending {
            Pending::Change { change, sends } if sends < MAXIMUM_SENDS => Pending::Change {
                change,
                sends: sends + 1,
            },
            Pending::Read(object) if self.now < self.settings.times.audit => Pending::Read(object),
            _ => return self.operator_rests(operator),
        };
        let event = OperatorEvent::Ask(Box::new(pending));
        self.operator_later(operator, RETRY_PAUSE, event);
    }

    fn operator_rests(&mut self, operator: usize) {
        let pause = 1 + self.workload.below(self.settings.load.operator_pause);
        self.operator_later(operator, pause, OperatorEvent::Begin);
    }

    fn change_object(&mut self, operator: usize, object: ObjectKey, version: u64) {
        let removal = object.name.starts_with("removed-");
        let deletes = version > 0 && (removal || self.workload.chance(DELETE_PERMILLE));
        if removal && version == 0 {
            return self.operator_rests(operator);
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
        self.operator_asks(operator, Pending::Change { change, sends: 1 });
    }

    fn change_answered(
        &mut self,
        operator: usize,
        call: u64,
        change: ObjectChange,
        sends: u32,
        outcome: ObjectChangeOutcome,
    ) {
        // An answer that came is thrown away, as if it had been lost on the way.
        let lost = self
            .workload
            .chance(self.settings.load.resent_changes_permille);
        if lost && sends < MAXIMUM_SENDS {
            return self.ask_again(operator, Pending::Change { change, sends }, None);
        }
        if matches!(outcome, ObjectChangeOutcome::Accepted(_)) {
            self.statistics.accepted_changes += 1;
            if change.spec.is_none() && change.key.name.starts_with("removed-") {
                let tenant = TenantName(change.key.name.clone());
                self.record(Event::TenantRemoved { tenant });
            }
        }
        self.record(Event::ChangeReturned { call, outcome });
        self.operator_rests(operator);
    }

    /// Asks whoever leads for the audit log, until it is answered.
    pub(crate) fn read_audit(&mut self) {
        if self.audit_is_read || self.now + AUDIT_RETRY >= self.settings.times.over {
            return;
        }
        self.queue.push(self.now + AUDIT_RETRY, SimEvent::ReadAudit);
        self.next_call += 1;
        let call = self.next_call;
        self.record(Event::FinalAuditCalled);
        self.calls.insert(call, Asker::Audit);
        let place = self.next_audit_place % self.control.len();
        self.next_audit_place += 1;
        let request = AdministrationRequest::Audit(ConfigurationRevision(0));
        self.administration_call(place, MILLIS, call, request);
    }

    fn audit_answered(&mut self, answer: AdministrationResponse) {
        let AdministrationResponse::Audit(records) = answer else {
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
