//! Updates of the leader, and state relayed by other members.

use crate::dispatcher::Dispatcher;
use crate::instances::Instance;
use crate::table::RoutingTable;
use millpass_proto::{
    DeploymentDocument, Duration, EstimateKey, GatewayUpdate, InstanceId, InstanceLoad,
    InstanceRecord, ModelReadyEstimate, Timestamp,
};
use std::collections::BTreeSet;
use std::sync::Arc;

/// What an update changed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct UpdateOutcome {
    /// Version of the document that came into force, if any.
    pub version: Option<u64>,
    /// Number of instances that are new or changed in more than their contents.
    pub changed: usize,
    /// Number of known instances of which only the contents changed.
    pub changed_contents: usize,
    /// Number of removed instances.
    pub removed: usize,
    /// The update was from a former leader or had nothing newer, and was ignored.
    pub stale: bool,
    /// Base version of a document change that was not applied because another version is in force
    /// here. The leader sends the whole document once it receives the version in force.
    pub mismatched_base: Option<u64>,
}

/// The ready estimates of an update.
struct EstimateUpdate {
    /// Whether the previous ones apply unless listed.
    keep: bool,
    all: Vec<ModelReadyEstimate>,
    moved: Vec<ModelReadyEstimate>,
    ended: Vec<EstimateKey>,
}

impl Dispatcher {
    /// Applies an update of the leader or state relayed by another member. A document older than
    /// the one in force is never applied.
    pub fn update(&mut self, now: Timestamp, update: GatewayUpdate) -> UpdateOutcome {
        if update.provisional {
            return self.apply_relayed(now, update);
        }
        if update.term < self.term {
            return UpdateOutcome {
                stale: true,
                ..UpdateOutcome::default()
            };
        }
        self.term = update.term;
        self.freshness.record_leader_contact(now);
        if update.gateways > 0 {
            self.gateways = update.gateways;
        }
        let mut outcome = UpdateOutcome::default();
        let held = self.version();
        let document = match (update.document, &update.document_change) {
            (None, Some(change)) if change.version > held => {
                let table = self.table.as_ref();
                let applied = table.and_then(|table| change.apply(table.document()));
                outcome.mismatched_base = applied.is_none().then_some(change.base);
                applied
            }
            (document, _) => document.map(Arc::unwrap_or_clone),
        };
        if let Some(document) = document {
            outcome.version = self.apply_document(document);
        }
        // If a document change could not be applied, or was lost before, required entries are
        // missing.
        if self.version() >= update.document_version {
            self.freshness.record_applied(update.as_of);
            self.freshness
                .record_acknowledgement(update.acknowledged_report);
        }
        outcome.changed = update.instances.len();
        let mut affected: Vec<InstanceId> = Vec::new();
        if !self.admission.queues.is_empty() {
            let records = update.instances.iter();
            affected.extend(records.map(|record| record.instance.clone()));
            let contents = update.contents.iter();
            affected.extend(contents.map(|contents| contents.instance.clone()));
        }
        outcome.changed_contents = update.contents.len();
        if update.first {
            self.listed = Some(BTreeSet::new());
        }
        if let Some(listed) = &mut self.listed {
            let instances = update.instances.iter();
            listed.extend(instances.map(|record| record.instance.clone()));
            let unchanged: BTreeSet<u64> = update.unchanged_instance_digests.into_iter().collect();
            let held = self.instances.iter();
            let held = held.filter(|(_, instance)| unchanged.contains(&instance.digest));
            listed.extend(held.map(|(id, _)| id.clone()));
        }
        if update.complete
            && let Some(listed) = self.listed.take()
        {
            let before = self.instances.len();
            let unlisted = |(instance, _): &(&InstanceId, &Instance)| !listed.contains(*instance);
            for (_, instance) in self.instances.iter().filter(unlisted) {
                let record = &instance.record;
                self.sole_versions
                    .note(now, &record.service, &record.software);
            }
            self.instances
                .retain(|instance, _| listed.contains(instance));
            outcome.removed = before - self.instances.len();
        }
        for record in update.instances {
            match self.instances.get_mut(&record.instance) {
                Some(instance) => {
                    instance.update(record);
                    let record = &instance.record;
                    self.sole_versions
                        .note(now, &record.service, &record.software);
                }
                None => outcome.removed += self.add_run(now, record),
            }
        }
        for contents in update.contents {
            // An unknown instance is an earlier run of a known one.
            if let Some(instance) = self.instances.get_mut(&contents.instance) {
                let record = contents.apply(&instance.record);
                instance.update(record);
            }
        }
        for instance in &update.removed {
            outcome.removed += usize::from(self.remove_instance(now, instance));
        }
        if !update.loads_unchanged {
            self.fleet_loads = update.loads;
        }
        let current_loads: &[InstanceLoad] = match update.partial {
            true => &[],
            false => &self.fleet_loads,
        };
        for load in current_loads {
            if let Some(instance) = self.instances.get_mut(&load.instance) {
                instance.record_fleet_in_flight(now, load.in_flight);
            }
            if !update.loads_unchanged && !self.admission.queues.is_empty() {
                affected.push(load.instance.clone());
            }
        }
        for pace in &update.paces {
            if let Some(instance) = self.instances.get_mut(&pace.instance) {
                instance.speed.apply(now, update.term, pace);
            }
        }
        for instance in self.instances.values_mut() {
            instance.speed.confirm(now, update.term);
        }
        let has_new_estimates = !update.ready_estimates_unchanged
            || !update.moved_estimates.is_empty()
            || !update.ended_estimates.is_empty();
        let expected = match has_new_estimates {
            true => self.expected_ready_of_waiting(),
            false => Vec::new(),
        };
        self.apply_estimates(
            now,
            EstimateUpdate {
                keep: update.ready_estimates_unchanged,
                all: update.ready_estimates,
                moved: update.moved_estimates,
                ended: update.ended_estimates,
            },
        );
        self.wake_delayed(&expected);
        self.call_next_for_all(now, &affected);
        outcome
    }

    /// Replaces the ready estimates, or those that moved or ended.
    fn apply_estimates(&mut self, now: Timestamp, update: EstimateUpdate) {
        if !update.keep {
            self.ready_estimates.clear();
        }
        let moved = update.moved.iter();
        let moved = moved.map(|it| (&it.service, &it.model, &it.adapter));
        let ended = update.ended.iter();
        let ended = ended.map(|it| (&it.service, &it.model, &it.adapter));
        let replaced: BTreeSet<_> = moved.chain(ended).collect();
        if !replaced.is_empty() {
            self.ready_estimates
                .retain(|(it, _)| !replaced.contains(&(&it.service, &it.model, &it.adapter)));
        }
        let estimates = update.all.into_iter().chain(update.moved);
        self.ready_estimates.extend(estimates.map(|estimate| {
            let ready = now + Duration::from_millis(estimate.ready_in_millis);
            (estimate, ready)
        }));
    }

    /// Applies state relayed by a member that does not lead. Its document and departures are
    /// committed but may not be the newest; its instances are used only by a gateway that has none.
    fn apply_relayed(&mut self, now: Timestamp, update: GatewayUpdate) -> UpdateOutcome {
        if update.as_of <= self.freshness.applied_index() {
            return UpdateOutcome {
                stale: true,
                ..UpdateOutcome::default()
            };
        }
        let mut outcome = UpdateOutcome::default();
        if let Some(document) = update.document {
            outcome.version = self.apply_document(Arc::unwrap_or_clone(document));
        }
        if self.instances.is_empty() {
            outcome.changed = update.instances.len();
            for record in update.instances {
                self.add_run(now, record);
            }
        }
        for instance in &update.removed {
            outcome.removed += usize::from(self.remove_instance(now, instance));
        }
        self.freshness.record_applied(update.as_of);
        outcome
    }

    /// Removes an instance, and returns whether it was known.
    fn remove_instance(&mut self, now: Timestamp, instance: &InstanceId) -> bool {
        let removed = self.instances.remove(instance);
        if let Some(Instance { record, .. }) = &removed {
            self.sole_versions
                .note(now, &record.service, &record.software);
        }
        removed.is_some()
    }

    /// Adds an unknown process run, and returns how many earlier runs of its instance it replaces.
    /// A run older than a known one is ignored.
    fn add_run(&mut self, now: Timestamp, record: InstanceRecord) -> usize {
        let run = &record.instance;
        let known: Vec<InstanceId> = run.runs_in(&self.instances).cloned().collect();
        if known.iter().any(|known| run.is_before(known)) {
            return 0;
        }
        let earlier: Vec<&InstanceId> = known.iter().filter(|it| it.is_before(run)).collect();
        for ended in &earlier {
            self.remove_instance(now, ended);
        }
        let ended = earlier.len();
        self.origins.run_began(&record.instance);
        self.sole_versions
            .note(now, &record.service, &record.software);
        self.instances
            .insert(record.instance.clone(), Instance::new(record));
        ended
    }

    /// Puts a document in force if it is newer, and returns its version.
    fn apply_document(&mut self, document: DeploymentDocument) -> Option<u64> {
        let held = self.version();
        if document.version <= held {
            return None;
        }
        let version = document.version;
        let routes = document.routes.iter();
        let names: BTreeSet<&str> = routes.map(|route| route.name.as_str()).collect();
        self.split_positions
            .retain(|route, _| names.contains(route.as_str()));
        self.pace.apply_document(&document);
        self.table = Some(Arc::new(RoutingTable::new(document)));
        Some(version)
    }
}
