//! Updates of the leader, and what other members pass on: document, instances, outlook.

use crate::dispatcher::Dispatcher;
use crate::instances::Instance;
use crate::table::RoutingTable;
use millpass_proto::{
    DeploymentDocument, Duration, GatewayUpdate, InstanceId, InstanceRecord, ModelReadyEstimate,
    Timestamp,
};
use std::collections::BTreeSet;
use std::sync::Arc;

/// What an update changed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct UpdateOutcome {
    /// Version of the document that came into force.
    pub version: Option<u64>,
    /// Instances that are new or changed.
    pub changed: usize,
    /// Instances that are gone.
    pub removed: usize,
    /// The update was of an older leader and ignored.
    pub stale: bool,
    /// It had a change of the document that begins from this version, which is not in force here; it was not
    /// applied. The leader sends the document whole once it hears which version is.
    pub unfit_change: Option<u64>,
}

impl Dispatcher {
    /// Takes an update of the leader, or what another member passes on. A document older than the one in force is
    /// never taken.
    pub fn update(&mut self, now: Timestamp, update: GatewayUpdate) -> UpdateOutcome {
        if update.provisional {
            return self.passed_on(update);
        }
        if update.term < self.term {
            return UpdateOutcome {
                stale: true,
                ..UpdateOutcome::default()
            };
        }
        self.term = update.term;
        self.freshness.leader_heard(now);
        if update.gateways > 0 {
            self.gateways = update.gateways;
        }
        let mut outcome = UpdateOutcome::default();
        let held = self.version();
        let document = match (update.document, &update.document_change) {
            (None, Some(change)) if change.version > held => {
                let table = self.table.as_ref();
                let applied = table.and_then(|table| change.apply(table.document()));
                outcome.unfit_change = applied.is_none().then_some(change.base);
                applied
            }
            (document, _) => document,
        };
        if let Some(document) = document {
            outcome.version = self.take_document(document);
        }
        // An update whose change did not fit, or that went before, leaves this gateway without what binds it.
        if self.version() >= update.document_version {
            self.freshness.told(update.as_of);
            self.freshness.answered(update.acknowledged_report);
        }
        outcome.changed = update.instances.len();
        if update.first {
            self.named = Some(BTreeSet::new());
        }
        if let Some(named) = &mut self.named {
            let instances = update.instances.iter();
            named.extend(instances.map(|record| record.instance.clone()));
            let kept: BTreeSet<u64> = update.unchanged_instance_digests.into_iter().collect();
            let held = self.instances.iter();
            let held = held.filter(|(_, instance)| kept.contains(&instance.digest));
            named.extend(held.map(|(id, _)| id.clone()));
        }
        if update.complete
            && let Some(named) = self.named.take()
        {
            let before = self.instances.len();
            self.instances
                .retain(|instance, _| named.contains(instance));
            outcome.removed = before - self.instances.len();
        }
        for record in update.instances {
            match self.instances.get_mut(&record.instance) {
                Some(instance) => instance.update(record),
                None => outcome.removed += self.begin_run(record),
            }
        }
        for instance in &update.removed {
            outcome.removed += usize::from(self.instances.remove(instance).is_some());
        }
        if !update.loads_unchanged {
            self.told_loads = update.loads;
        }
        for load in &self.told_loads {
            if let Some(instance) = self.instances.get_mut(&load.instance) {
                instance.told_in_flight(now, load.in_flight);
            }
        }
        if !update.ready_estimates_unchanged {
            let ready =
                |outlook: &ModelReadyEstimate| now + Duration::from_millis(outlook.ready_in_millis);
            let outlook = update.ready_estimates.into_iter();
            self.outlook = outlook
                .map(|entry| (entry.clone(), ready(&entry)))
                .collect();
        }
        outcome
    }

    /// Takes what a member passes on that does not lead. Document and departures are committed, and as good as from the
    /// leader; whether they are the newest it does not say. Its instances only serve a gateway that has none.
    fn passed_on(&mut self, update: GatewayUpdate) -> UpdateOutcome {
        if update.as_of <= self.freshness.as_of() {
            return UpdateOutcome {
                stale: true,
                ..UpdateOutcome::default()
            };
        }
        let mut outcome = UpdateOutcome::default();
        if let Some(document) = update.document {
            outcome.version = self.take_document(document);
        }
        if self.instances.is_empty() {
            outcome.changed = update.instances.len();
            for record in update.instances {
                self.begin_run(record);
            }
        }
        for instance in &update.removed {
            outcome.removed += usize::from(self.instances.remove(instance).is_some());
        }
        self.freshness.told(update.as_of);
        outcome
    }

    /// Takes a run that was not known; gives how many earlier ones of its instance end with it. One that a later run is
    /// known after is passed over: whoever told of it does not know better yet.
    fn begin_run(&mut self, record: InstanceRecord) -> usize {
        let run = &record.instance;
        let known: Vec<InstanceId> = run.runs_in(&self.instances).cloned().collect();
        if known.iter().any(|known| run.is_before(known)) {
            return 0;
        }
        let earlier: Vec<&InstanceId> = known.iter().filter(|it| it.is_before(run)).collect();
        for ended in &earlier {
            self.instances.remove(*ended);
        }
        let ended = earlier.len();
        self.instances
            .insert(record.instance.clone(), Instance::new(record));
        ended
    }

    /// Puts a document in force if it is newer than the one in force; gives its version.
    fn take_document(&mut self, document: DeploymentDocument) -> Option<u64> {
        let held = self.version();
        if document.version <= held {
            return None;
        }
        let version = document.version;
        let routes = document.routes.iter();
        let names: BTreeSet<&str> = routes.map(|route| route.name.as_str()).collect();
        self.splits
            .retain(|route, _| names.contains(route.as_str()));
        self.table = Some(Arc::new(RoutingTable::new(document)));
        Some(version)
    }
}
