//! Linearizability of compare-and-set changes and reads of catalog objects.

use super::operations::{TimedOperation, check_operations};
use crate::{Breach, Event, History, Limits};
use millpass_proto::{ChangeId, ObjectChangeOutcome, ObjectKey};
use std::collections::BTreeMap;
use todc_utils::specifications::Specification;

/// Name of the checker.
pub const CONFIGURATION: &str = "configuration-linearizable";

/// Outcome of a change.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Outcome {
    Accepted { version: u64 },
    Conflict { current: u64 },
    Rejected,
    Unknown,
}

/// One operation on one object.
#[derive(Clone, Debug)]
enum Operation {
    Change {
        expected: u64,
        deletes: bool,
        outcome: Outcome,
    },
    Read {
        version: u64,
    },
}

/// State of one object: its number of changes, and whether it exists.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct ObjectState {
    changes: u64,
    exists: bool,
}

impl ObjectState {
    fn visible_version(&self) -> u64 {
        if self.exists { self.changes } else { 0 }
    }

    fn changed(&self, deletes: bool) -> ObjectState {
        ObjectState {
            changes: self.changes + 1,
            exists: !deletes,
        }
    }
}

/// Sequential specification of a compare-and-set register.
struct CompareAndSet;

impl Specification for CompareAndSet {
    type State = ObjectState;
    type Operation = Operation;

    fn init() -> ObjectState {
        ObjectState {
            changes: 0,
            exists: false,
        }
    }

    fn apply(operation: &Operation, state: &ObjectState) -> (bool, ObjectState) {
        let visible = state.visible_version();
        match operation {
            Operation::Read { version } => (*version == visible, *state),
            Operation::Change {
                expected,
                deletes,
                outcome,
            } => match outcome {
                Outcome::Accepted { version } => (
                    *expected == visible && *version == state.changes + 1,
                    state.changed(*deletes),
                ),
                Outcome::Conflict { current } => {
                    (*expected != visible && *current == visible, *state)
                }
                Outcome::Rejected => (true, *state),
                Outcome::Unknown if *expected == visible => (true, state.changed(*deletes)),
                Outcome::Unknown => (true, *state),
            },
        }
    }
}

/// All calls and responses of one change id; resends are the same operation.
struct Change {
    object: ObjectKey,
    expected: u64,
    deletes: bool,
    called: usize,
    response: Option<(usize, Outcome)>,
}

/// Reports objects whose changes and reads are not linearizable, and resends whose outcome differs
/// from the first.
pub fn check_configuration(history: &History, limits: &Limits) -> Vec<Breach> {
    let mut collector = OperationCollector::default();
    for (order, record) in history.records().iter().enumerate() {
        collector.take(order, record.at_micros, &record.event);
    }
    let last = history.records().last().map_or(0, |r| r.at_micros);
    let mut breaches = std::mem::take(&mut collector.breaches);
    for (object, operations) in collector.by_object() {
        let name = format!("{:?} {}", object.kind, object.name);
        breaches.extend(check_operations::<CompareAndSet>(
            CONFIGURATION,
            &name,
            &operations,
            last,
            limits,
        ));
    }
    breaches
}

#[derive(Default)]
struct OperationCollector {
    changes: BTreeMap<ChangeId, Change>,
    change_of_call: BTreeMap<u64, ChangeId>,
    reads: BTreeMap<u64, (ObjectKey, usize)>,
    finished_reads: Vec<(ObjectKey, TimedOperation<Operation>)>,
    breaches: Vec<Breach>,
}

impl OperationCollector {
    fn take(&mut self, order: usize, at_micros: u64, event: &Event) {
        match event {
            Event::ChangeCalled {
                call,
                object,
                expected_version,
                change_id,
                deletes,
            } => {
                self.change_of_call.insert(*call, change_id.clone());
                self.changes
                    .entry(change_id.clone())
                    .or_insert_with(|| Change {
                        object: object.clone(),
                        expected: *expected_version,
                        deletes: *deletes,
                        called: order,
                        response: None,
                    });
            }
            Event::ChangeReturned { call, outcome } => {
                self.returned(order, at_micros, *call, outcome)
            }
            Event::ReadCalled { call, object } => {
                self.reads.insert(*call, (object.clone(), order));
            }
            Event::ReadReturned { call, version } => {
                if let Some((object, called)) = self.reads.remove(call) {
                    let operation = TimedOperation {
                        called,
                        returned: Some(order),
                        operation: Operation::Read { version: *version },
                    };
                    self.finished_reads.push((object, operation));
                }
            }
            _ => {}
        }
    }

    fn returned(&mut self, order: usize, at_micros: u64, call: u64, outcome: &ObjectChangeOutcome) {
        let Some(change_id) = self.change_of_call.get(&call) else {
            return;
        };
        let Some(change) = self.changes.get_mut(change_id) else {
            return;
        };
        let outcome = match outcome {
            ObjectChangeOutcome::Accepted(accepted) => Outcome::Accepted {
                version: accepted.version,
            },
            ObjectChangeOutcome::VersionConflict(conflict) => Outcome::Conflict {
                current: conflict.current_version,
            },
            ObjectChangeOutcome::Rejected(_) => Outcome::Rejected,
        };
        match change.response {
            None => change.response = Some((order, outcome)),
            Some((_, first)) if first == outcome => {}
            Some((_, first)) => self.breaches.push(Breach {
                checker: CONFIGURATION,
                at_micros,
                detail: format!("change {change_id} returned {first:?}, then {outcome:?}"),
            }),
        }
    }

    fn by_object(&self) -> BTreeMap<ObjectKey, Vec<TimedOperation<Operation>>> {
        let mut objects: BTreeMap<ObjectKey, Vec<TimedOperation<Operation>>> = BTreeMap::new();
        for (object, read) in &self.finished_reads {
            objects
                .entry(object.clone())
                .or_default()
                .push(read.clone());
        }
        for change in self.changes.values() {
            let operation = TimedOperation {
                called: change.called,
                returned: change.response.map(|(order, _)| order),
                operation: Operation::Change {
                    expected: change.expected,
                    deletes: change.deletes,
                    outcome: change
                        .response
                        .map_or(Outcome::Unknown, |(_, outcome)| outcome),
                },
            };
            objects
                .entry(change.object.clone())
                .or_default()
                .push(operation);
        }
        objects
    }
}
