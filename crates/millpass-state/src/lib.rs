//! The replicated state machine: catalog, placement, memory ledger and claims.
//!
//! [`State::apply`] is deterministic: the same commands at the same positions give the same
//! state and the same outcomes on every member. It reads no clock and draws no random numbers,
//! and every table that it keeps is ordered and bounded.

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
pub use quarantine::MAXIMUM_QUARANTINED_REQUESTS;
pub use refusal::Refusal;
pub use routes::MAXIMUM_ROUTE_REMOVALS;
pub use validation::{InvalidObject, kind_of, version_name};

use millpass_proto::{
    BackendName, BackendState, Command, CommandOutcome, ConfigurationDelta, ConfigurationRevision,
    DeploymentDocument, Incarnation, InstanceId, InstanceRecord, LogPosition, ModelName,
    ObjectChange, ObjectChangeOutcome, ObjectKey, ObjectKind, ObjectSpec, PlacementRevision,
    QuarantineRecord, Replica, RouterName, SlotId, StoredObject,
};
use serde::{Deserialize, Serialize};

/// The whole replicated state.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct State {
    catalog: catalog::Catalog,
    backends: backends::Backends,
    placement: placement::Placement,
    routes: routes::Routes,
    claims: claims::Claims,
    deployment: deployment::Deployment,
    /// Encoded behind the rest of the state, so that snapshots without it can be read.
    #[serde(skip)]
    quarantined_requests: quarantine::QuarantinedRequests,
    /// Index of the last applied command that binds gateways; encoded behind the rest, too.
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

    /// Applies a command whose outcome has no content.
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
            Command::RecordInstances(note) => {
                self.deployment.note(note);
                Ok(())
            }
            // Each member keeps what it tells with the time at which it came.
            Command::RecordInstructionIntent(_) | Command::RecordStoreCapacity(_) => Ok(()),
            Command::QuarantineRequest(note) => {
                self.quarantined_requests.note(note);
                Ok(())
            }
            Command::LiftQuarantine(request) => {
                self.quarantined_requests.lift(request);
                Ok(())
            }
            Command::DepartInstance(departure) => {
                self.deployment.depart(at.index, departure);
                Ok(())
            }
            // These have an outcome of their own; see `apply`.
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
            // A route tells how many requests its replica serves at once.
            let model = ModelName(change.key.name.clone());
            for slot in self.placement.slots_of(&model) {
                self.routes.touch_live_slot(slot);
            }
        }
        outcome
    }

    /// Version of the deployment document in force; 0 for none.
    pub fn document_version(&self) -> u64 {
        self.deployment.version()
    }

    /// Requests that end the instances that run them.
    pub fn quarantined_requests(&self) -> impl Iterator<Item = &QuarantineRecord> {
        self.quarantined_requests.iter()
    }

    /// The deployment document in force.
    pub fn document(&self) -> Option<&DeploymentDocument> {
        self.deployment.document()
    }

    /// The deployment document in force, as the operator sent it.
    pub fn document_source(&self) -> Option<&[u8]> {
        self.deployment.source()
    }

    /// Whether an instance has departed, and if so, whether it has ended.
    pub fn departed(&self, instance: &InstanceId) -> Option<bool> {
        self.deployment.departed(instance)
    }

    /// The latest run of an instance that a leader noted, where runs state their incarnations.
    pub fn latest_recorded_run(&self, instance: &InstanceId) -> Option<&InstanceId> {
        self.deployment.latest_noted(instance)
    }

    /// Instances as a leader last noted them.
    pub fn recorded_instances(&self) -> impl Iterator<Item = &InstanceRecord> {
        self.deployment.noted()
    }

    /// Instances that have departed, and whether each has ended.
    pub fn departures(&self) -> impl Iterator<Item = (&InstanceId, bool)> {
        self.deployment.departures()
    }

    /// Instances whose departure stands in the log after this index, the newest first.
    pub fn departures_after(&self, index: u64) -> impl Iterator<Item = &InstanceId> {
        self.deployment.departures_after(index)
    }

    /// Revision of the catalog.
    pub fn configuration_revision(&self) -> ConfigurationRevision {
        ConfigurationRevision(self.catalog.revision())
    }

    /// Revision of the routes.
    pub fn placement_revision(&self) -> PlacementRevision {
        PlacementRevision(self.routes.revision())
    }

    /// Catalog changes after `from`; none when `from` is current; a full copy when `from` is 0 or
    /// ahead, or the removals since are no longer kept.
    pub fn configuration_since(&self, from: ConfigurationRevision) -> Option<ConfigurationDelta> {
        self.catalog.since(from)
    }

    /// One catalog object.
    pub fn object(&self, key: &ObjectKey) -> Option<&StoredObject> {
        self.catalog.object(key)
    }

    /// All catalog objects of a kind, by name.
    pub fn objects(&self, kind: ObjectKind) -> Vec<&StoredObject> {
        self.catalog.objects(kind).collect()
    }

    /// One back end.
    pub fn backend(&self, name: &BackendName) -> Option<&Backend> {
        self.backends.get(name).map(|record| &record.backend)
    }

    /// All back ends, by name, gone ones left out.
    pub fn backends(&self) -> Vec<&Backend> {
        let all = self.backends.iter().map(|(_, record)| &record.backend);
        all.filter(|backend| backend.state != BackendState::Gone)
            .collect()
    }

    /// Back ends that are not gone, by name, each with the free bytes of its accelerators.
    pub fn backends_with_memory(&self) -> impl Iterator<Item = (&Backend, &[u64])> {
        let all = self.backends.iter();
        all.map(|(_, record)| (&record.backend, record.ledger.free()))
            .filter(|(backend, _)| backend.state != BackendState::Gone)
    }

    /// All decided replicas, by slot.
    pub fn replicas(&self) -> Vec<&Replica> {
        self.placement.replicas.values().collect()
    }

    /// One replica.
    pub fn replica(&self, slot: SlotId) -> Option<&Replica> {
        self.placement.replicas.get(&slot)
    }

    /// The decided replicas of one model, in every phase.
    pub fn replicas_of(&self, model: &ModelName) -> Vec<&Replica> {
        let slots = self.placement.slots_of(model);
        slots.filter_map(|slot| self.replica(slot)).collect()
    }

    /// Models that have decided replicas, by name.
    pub fn placed_models(&self) -> impl Iterator<Item = &ModelName> {
        self.placement.by_model.keys()
    }

    /// The decided replicas on one engine, in every phase.
    pub fn replicas_on(&self, backend: &BackendName) -> Vec<&Replica> {
        let record = self.backends.get(backend);
        let slots = record.into_iter().flat_map(|record| &record.slots);
        slots.filter_map(|slot| self.replica(*slot)).collect()
    }

    /// Memory of an engine that nothing has reserved, per accelerator, in bytes.
    pub fn free_bytes(&self, backend: &BackendName) -> Vec<u64> {
        let record = self.backends.get(backend);
        record.map_or_else(Vec::new, |record| record.ledger.free().to_vec())
    }

    /// Log index of the last applied command that binds gateways; 0 for none, or where the snapshot of an earlier
    /// release does not say.
    pub fn required_index(&self) -> u64 {
        self.required_index
    }

    /// Birth time below which claims are forgotten, in Unix milliseconds.
    pub fn claims_expired_before(&self) -> u64 {
        self.claims.born_after()
    }

    /// Number of claims kept.
    pub fn claim_count(&self) -> usize {
        self.claims.len()
    }

    /// Runs of routers that hold open claims, with how many. The leader abandons those of runs
    /// that were replaced or have lost their lease.
    pub fn open_claim_runs(&self) -> impl Iterator<Item = (&RouterName, Incarnation, usize)> {
        self.claims.open_runs()
    }
}
