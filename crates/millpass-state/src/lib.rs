//! Replicated state machine: catalog, placement, memory ledger and claims.
//!
//! [`State::apply`] is deterministic: the same commands at the same positions yield the same state
//! and outcomes on every member. It uses no clock and no random numbers, and all tables are ordered
//! and bounded.

mod audit;
mod backends;
mod catalog;
mod changes;
mod claims;
mod deployment;
mod document;
mod encoding;
mod fleet;
mod ledger;
mod orders;
mod placement;
mod quarantine;
mod refusal;
mod routes;
mod settlements;
mod validation;

pub use audit::{MAXIMUM_AUDIT_RECORDS, MAXIMUM_REMEMBERED_CHANGES};
pub use backends::{Backend, MAXIMUM_BACKENDS, MAXIMUM_GONE_BACKENDS, MAXIMUM_PAST_INCARNATIONS};
pub use catalog::{MAXIMUM_OBJECTS, MAXIMUM_TOMBSTONES};
pub use changes::{ChangeIndex, Changes};
pub use claims::{
    MAXIMUM_ANSWER_BYTES, MAXIMUM_ANSWER_BYTES_PER_TENANT, MAXIMUM_CLAIM_AGE_MILLIS,
    MAXIMUM_CLAIMS, MAXIMUM_CLAIMS_PER_TENANT, MAXIMUM_CLOCK_SKEW_MILLIS,
    MAXIMUM_TOTAL_ANSWER_BYTES,
};
pub use deployment::{MAXIMUM_DEPARTED_INSTANCES, MAXIMUM_RECORDED_INSTANCES};
pub use document::{InvalidDocument, check_document};
pub use encoding::StateError;
pub use ledger::{adapter_bytes_each, replica_bytes_each, version_bytes_each};
pub use placement::MAXIMUM_ADAPTERS_PER_REPLICA;
pub use quarantine::{MAXIMUM_QUARANTINED_REQUESTS, MAXIMUM_RECORDED_PARTS};
pub use refusal::Refusal;
pub use routes::MAXIMUM_ROUTE_REMOVALS;
pub use validation::{InvalidObject, kind_of, version_name};

use millpass_proto::{
    BackendName, BackendState, Command, CommandOutcome, ConfigurationDelta, ConfigurationRevision,
    Incarnation, InstanceId, InstanceRecord, LogPosition, ModelName, ObjectChange,
    ObjectChangeOutcome, ObjectKey, ObjectKind, ObjectSpec, PartRecord, PlacementRevision,
    QuarantineRecord, Replica, RouterName, SharedDocument, SlotId, StoredObject,
};
use serde::{Deserialize, Serialize};

/// The replicated state.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct State {
    catalog: catalog::Catalog,
    backends: backends::Backends,
    placement: placement::Placement,
    routes: routes::Routes,
    claims: claims::Claims,
    deployment: deployment::Deployment,
    /// Encoded after the rest of the state, so that older snapshots can be decoded.
    #[serde(skip)]
    quarantined_requests: quarantine::QuarantinedRequests,
    /// Refused parts of prompts; also encoded after the rest.
    #[serde(skip)]
    refused_parts: quarantine::RecordedParts,
    /// Index of the last applied command that gateways must apply; also encoded after the rest.
    #[serde(skip)]
    required_index: u64,
}

impl State {
    /// Applies one committed command.
    pub fn apply(&mut self, at: LogPosition, command: &Command) -> CommandOutcome {
        if command.is_required_by_gateways() {
            self.required_index = at.index;
        }
        let outcome = match command {
            Command::ChangeObject(change) => CommandOutcome::Object(self.change_object(change)),
            Command::BeginClaim(begin) => CommandOutcome::Claim(self.claims.begin(begin)),
            Command::PlaceReplica(place) => match self.place_replica(at, place) {
                Ok(slot) => CommandOutcome::Placed(slot),
                Err(refusal) => CommandOutcome::Ignored(refusal.to_string()),
            },
            other => match self.apply_plain(at, other) {
                Ok(()) => CommandOutcome::Done,
                Err(refusal) => CommandOutcome::Ignored(refusal.to_string()),
            },
        };
        self.routes.finish_command();
        outcome
    }

    /// Applies a command whose outcome carries no value.
    fn apply_plain(&mut self, at: LogPosition, command: &Command) -> Result<(), Refusal> {
        match command {
            Command::RegisterBackend(registration) => self.register_backend(registration),
            Command::MarkBackend(mark) => self.mark_backend(mark),
            Command::RetireReplica(retire) => self.retire_replica(at, retire),
            Command::AttachAdapter(decision) => self.attach_adapter(at, decision),
            Command::DetachAdapter(decision) => self.detach_adapter(at, decision),
            Command::SettleOrder(settlement) => self.settle_order(settlement),
            Command::ChangeRole(change) => self.change_role(at, change),
            Command::SettleRole(settlement) => self.settle_role(settlement),
            Command::FinishClaim(finish) => self.claims.finish(finish),
            Command::AbandonClaims(abandon) => self.claims.abandon(abandon),
            Command::ExpireClaims(expire) => self.claims.expire(expire),
            Command::PutDocument(put) => {
                self.deployment.put(put);
                Ok(())
            }
            Command::RecordInstances(changes) => {
                self.deployment.record(changes);
                Ok(())
            }
            // Members keep these outside the state, with their arrival time.
            Command::RecordInstructionIntent(_) | Command::RecordStoreCapacity(_) => Ok(()),
            Command::QuarantineRequest(record) => {
                self.quarantined_requests.insert(record);
                Ok(())
            }
            Command::LiftQuarantine(request) => {
                self.quarantined_requests.lift(request);
                Ok(())
            }
            Command::QuarantineParts(record) => {
                self.refused_parts.insert(record);
                Ok(())
            }
            Command::ReleaseParts(set) => {
                self.refused_parts.release(set);
                Ok(())
            }
            Command::DepartInstance(departure) => {
                self.deployment.depart(at.index, departure);
                Ok(())
            }
            // Handled in `apply`.
            Command::ChangeObject(_) | Command::BeginClaim(_) | Command::PlaceReplica(_) => {
                Err(Refusal::NoChange)
            }
        }
    }

    fn change_object(&mut self, change: &ObjectChange) -> ObjectChangeOutcome {
        let before = self.catalog.revision();
        let outcome = self.catalog.apply(change);
        let is_model = matches!(change.spec, Some(ObjectSpec::Model(_)));
        if is_model && self.catalog.revision() != before {
            // Routes carry the model's concurrency.
            let model = ModelName(change.key.name.clone());
            for slot in self.placement.slots_of(&model) {
                self.routes.touch_live_slot(slot);
            }
        }
        outcome
    }

    /// Returns the version of the active deployment document; 0 for none.
    pub fn document_version(&self) -> u64 {
        self.deployment.version()
    }

    /// Returns the quarantined requests, in order of quarantine.
    pub fn quarantined_requests(&self) -> impl Iterator<Item = &QuarantineRecord> {
        self.quarantined_requests.iter()
    }

    /// Returns the refused parts of prompts, in order of refusal.
    pub fn refused_parts(&self) -> impl Iterator<Item = &PartRecord> {
        self.refused_parts.iter()
    }

    /// Returns the active deployment document.
    pub fn document(&self) -> Option<&SharedDocument> {
        self.deployment.document()
    }

    /// Returns the active deployment document as the operator sent it.
    pub fn document_source(&self) -> Option<&[u8]> {
        self.deployment.source()
    }

    /// Returns `None` if an instance has not departed, else whether it has ended.
    pub fn departed(&self, instance: &InstanceId) -> Option<bool> {
        self.deployment.departed(instance)
    }

    /// Returns the latest recorded incarnation of an instance, if its ids carry incarnations.
    pub fn latest_recorded_run(&self, instance: &InstanceId) -> Option<&InstanceId> {
        self.deployment.latest_recorded(instance)
    }

    /// Returns the instances as last recorded by a leader.
    pub fn recorded_instances(&self) -> impl Iterator<Item = &InstanceRecord> {
        self.deployment.recorded()
    }

    /// Returns the departed instances and whether each has ended.
    pub fn departures(&self) -> impl Iterator<Item = (&InstanceId, bool)> {
        self.deployment.departures()
    }

    /// Returns the instances whose departure was logged after `index`, newest first.
    pub fn departures_after(&self, index: u64) -> impl Iterator<Item = &InstanceId> {
        self.deployment.departures_after(index)
    }

    /// Returns the revision of the catalog.
    pub fn configuration_revision(&self) -> ConfigurationRevision {
        ConfigurationRevision(self.catalog.revision())
    }

    /// Returns the revision of the routes.
    pub fn placement_revision(&self) -> PlacementRevision {
        PlacementRevision(self.routes.revision())
    }

    /// Returns the catalog changes after `from`, or `None` if `from` is current. Returns a full copy
    /// if `from` is 0 or ahead, or if removals since then are no longer kept.
    pub fn configuration_since(&self, from: ConfigurationRevision) -> Option<ConfigurationDelta> {
        self.catalog.since(from)
    }

    /// Returns a catalog object.
    pub fn object(&self, key: &ObjectKey) -> Option<&StoredObject> {
        self.catalog.object(key)
    }

    /// Returns all catalog objects of a kind, by name.
    pub fn objects(&self, kind: ObjectKind) -> Vec<&StoredObject> {
        self.catalog.objects(kind).collect()
    }

    /// Returns a backend.
    pub fn backend(&self, name: &BackendName) -> Option<&Backend> {
        self.backends.get(name).map(|record| &record.backend)
    }

    /// Returns all backends that are not gone, by name.
    pub fn backends(&self) -> Vec<&Backend> {
        let all = self.backends.iter().map(|(_, record)| &record.backend);
        all.filter(|backend| backend.state != BackendState::Gone)
            .collect()
    }

    /// Returns the backends that are not gone, by name, with the free bytes of each accelerator.
    pub fn backends_with_memory(&self) -> impl Iterator<Item = (&Backend, &[u64])> {
        let all = self.backends.iter();
        all.map(|(_, record)| (&record.backend, record.ledger.free()))
            .filter(|(backend, _)| backend.state != BackendState::Gone)
    }

    /// Returns all replicas, by slot.
    pub fn replicas(&self) -> Vec<&Replica> {
        self.placement.replicas.values().collect()
    }

    /// Returns the replica in a slot.
    pub fn replica(&self, slot: SlotId) -> Option<&Replica> {
        self.placement.replicas.get(&slot)
    }

    /// Returns the replicas of a model, in every phase.
    pub fn replicas_of(&self, model: &ModelName) -> Vec<&Replica> {
        let slots = self.placement.slots_of(model);
        slots.filter_map(|slot| self.replica(slot)).collect()
    }

    /// Returns the models that have replicas, by name.
    pub fn placed_models(&self) -> impl Iterator<Item = &ModelName> {
        self.placement.by_model.keys()
    }

    /// Returns the replicas on an engine, in every phase.
    pub fn replicas_on(&self, backend: &BackendName) -> Vec<&Replica> {
        let record = self.backends.get(backend);
        let slots = record.into_iter().flat_map(|record| &record.slots);
        slots.filter_map(|slot| self.replica(*slot)).collect()
    }

    /// Returns the unreserved memory of an engine per accelerator, in bytes.
    pub fn free_bytes(&self, backend: &BackendName) -> Vec<u64> {
        let record = self.backends.get(backend);
        record.map_or_else(Vec::new, |record| record.ledger.free().to_vec())
    }

    /// Returns the log index of the last applied command that gateways must apply; 0 for none, or
    /// if restored from a snapshot of an earlier release.
    pub fn required_index(&self) -> u64 {
        self.required_index
    }

    /// Returns the creation time before which claims are expired, in Unix milliseconds.
    pub fn claims_expired_before(&self) -> u64 {
        self.claims.expired_before()
    }

    /// Returns the number of stored claims.
    pub fn claim_count(&self) -> usize {
        self.claims.len()
    }

    /// Returns the router incarnations that hold open claims, with the number of claims. The leader
    /// abandons the claims of incarnations that were replaced or have lost their lease.
    pub fn open_claim_runs(&self) -> impl Iterator<Item = (&RouterName, Incarnation, usize)> {
        self.claims.open_runs()
    }
}
