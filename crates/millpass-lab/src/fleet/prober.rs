//! Submits a catalog change every 100 ms, sequentially.

use super::deployed::Fleet;
use super::events::unix_micros;
use super::operator::operator;
use millpass_checkers::Event;
use millpass_control::api::{ChangeBody, spec_to_json};
use millpass_control::client::{AdministrationClient, ClientError};
use millpass_proto::{
    ChangeAccepted, ChangeId, ConfigurationRevision, ObjectChangeOutcome, ObjectKey, ObjectKind,
    ObjectSpec, TenantSpec, VersionConflict,
};
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

/// Interval between changes.
const INTERVAL: Duration = Duration::from_millis(100);
/// Deadline of one change, including retries.
const DEADLINE: Duration = Duration::from_secs(2);
/// Changes per object. Bounds the cost of the history check, which grows fast with the operations
/// on one object.
const CHANGES_PER_OBJECT: u64 = 20;

/// An accepted change.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AcceptedChange {
    /// When it was submitted, in Unix microseconds.
    pub called_micros: u64,
    /// When its acceptance was received, in Unix microseconds.
    pub returned_micros: u64,
    /// Revision of the catalog that holds it.
    pub revision: u64,
}

/// Outcomes of the changes.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ProbedChanges {
    /// Accepted ones, in order.
    pub accepted: Vec<AcceptedChange>,
    /// Changes not accepted before the deadline; nothing was changed.
    pub not_taken: u64,
    /// Changes whose outcome is unknown.
    pub unknown: u64,
    /// Unexpected responses, such as a conflict on an object without other writers.
    pub unexpected: Vec<String>,
}

/// Submits changes until `stop` is set.
pub fn probe(fleet: &Fleet, stop: &AtomicBool) -> ProbedChanges {
    let mut prober = Prober {
        fleet,
        client: operator(fleet, DEADLINE),
        calls: 0,
        object: 0,
        version: 0,
        changes: ProbedChanges::default(),
    };
    let mut next = Instant::now();
    while !stop.load(Ordering::Relaxed) {
        prober.change();
        next += INTERVAL;
        let now = Instant::now();
        if next > now {
            thread::sleep(next - now);
        } else {
            next = now;
        }
    }
    prober.changes
}

struct Prober<'a> {
    fleet: &'a Fleet,
    client: AdministrationClient,
    calls: u64,
    object: u64,
    version: u64,
    changes: ProbedChanges,
}

impl Prober<'_> {
    fn change(&mut self) {
        if self.version >= CHANGES_PER_OBJECT {
            self.next_object();
        }
        self.calls += 1;
        let name = format!("probe-{}", self.object);
        let change_id = format!("probe-change-{}", self.calls);
        let spec = ObjectSpec::Tenant(TenantSpec {
            api_key_hashes: Vec::new(),
            share_weight: 1,
            capacity_bytes: self.calls,
            maximum_waiting: 1,
        });
        let body = ChangeBody {
            expected_version: self.version,
            change_id: change_id.clone(),
            spec: spec_to_json(&spec).unwrap_or_default(),
        };
        self.fleet.events.push(Event::ChangeCalled {
            call: self.calls,
            object: ObjectKey {
                kind: ObjectKind::Tenant,
                name: name.clone(),
            },
            expected_version: self.version,
            change_id: ChangeId(change_id),
            deletes: false,
        });
        let called_micros = unix_micros();
        match self.client.put(ObjectKind::Tenant, &name, &body) {
            Ok(accepted) => {
                self.version = accepted.version;
                self.accepted(called_micros, accepted.version, accepted.revision);
            }
            Err(error) => self.failed(error),
        }
    }

    fn next_object(&mut self) {
        self.object += 1;
        self.version = 0;
    }

    fn returned(&self, outcome: ObjectChangeOutcome) {
        self.fleet.events.push(Event::ChangeReturned {
            call: self.calls,
            outcome,
        });
    }

    fn accepted(&mut self, called_micros: u64, version: u64, revision: u64) {
        let revision_of_change = ConfigurationRevision(revision);
        self.returned(ObjectChangeOutcome::Accepted(ChangeAccepted {
            version,
            revision: revision_of_change,
        }));
        self.fleet.events.push(Event::RevisionCommitted {
            revision: revision_of_change,
        });
        self.changes.accepted.push(AcceptedChange {
            called_micros,
            returned_micros: unix_micros(),
            revision,
        });
    }

    fn failed(&mut self, error: ClientError) {
        match error {
            ClientError::Unavailable { .. } => {
                self.changes.not_taken += 1;
            }
            ClientError::OutcomeUnknown { .. } => {
                self.changes.unknown += 1;
                // The version of this object is unknown; continue with another.
                self.next_object();
            }
            ClientError::Conflict { current_version } => {
                self.returned(ObjectChangeOutcome::VersionConflict(VersionConflict {
                    current_version,
                }));
                self.unexpected(format!("conflict with version {current_version}"));
                self.next_object();
            }
            other => {
                self.returned(ObjectChangeOutcome::Rejected(other.to_string()));
                self.unexpected(other.to_string());
            }
        }
    }

    fn unexpected(&mut self, what: String) {
        self.changes
            .unexpected
            .push(format!("change {}: {what}", self.calls));
    }
}
