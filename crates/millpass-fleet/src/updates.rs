//! What gateways are told: what changed since their last update, and what is being loaded.

use crate::engines::Engine;
use crate::fleet::{Fleet, FleetOutput};
use crate::registry::Registry;
use millpass_proto::{
    AdapterName, DeploymentDocument, Duration, GatewayUpdate, InstanceId, InstructionOperation,
    ModelName, ModelOutlook, ServiceName, ServiceSpec, Timestamp,
};

/// What the control plane knows beside the fleet, asked for when a gateway connects.
pub struct GatewayContext<'a> {
    /// Addresses of the control members.
    pub members: &'a dyn Fn() -> Vec<String>,
    /// Instances that leave or have ended, as the log says, the newest ones.
    pub departed: &'a dyn Fn() -> Vec<InstanceId>,
}

/// Departed instances that are not among those that the leader knows: of these the record itself says that they
/// leave.
fn departed_elsewhere(registry: &Registry, context: &GatewayContext<'_>) -> Vec<InstanceId> {
    let mut departed = (context.departed)();
    departed.retain(|instance| registry.get(instance).is_none());
    departed
}

impl Fleet {
    /// What is being loaded or `awaited`, for gateways to estimate waits.
    pub(crate) fn refresh_outlook(
        &mut self,
        now: Timestamp,
        document: &DeploymentDocument,
        awaited: Vec<ModelOutlook>,
    ) {
        let mut outlook = Vec::new();
        for service in &document.services {
            for record in self.registry.records() {
                if record.service != service.name {
                    continue;
                }
                let Some(engine) = self.engines.engines.get(&record.instance) else {
                    continue;
                };
                outlook.extend(outlook_of(now, service, engine));
            }
        }
        outlook.extend(awaited);
        let same = outlook.len() == self.outlook.len()
            && outlook
                .iter()
                .zip(&self.outlook)
                .all(|(new, old)| new.model == old.model && new.adapter == old.adapter);
        if !same {
            self.outlook_revision += 1;
        }
        self.outlook = outlook;
    }

    pub(crate) fn update_gateways(
        &mut self,
        now: Timestamp,
        document: Option<&DeploymentDocument>,
        complete: bool,
        context: &GatewayContext<'_>,
    ) {
        let revision = self.registry.revision();
        let version = document.map_or(0, |document| document.version);
        let count = self.gateways.count();
        let interval = self.gateways.update_interval();
        let mut loads = None;
        for (connection, session) in &mut self.gateways.sessions {
            let whole = !session.greeted || !self.registry.remembers_since(session.sent_revision);
            let wanted = session.owed
                || whole
                || (complete && !session.sent_complete)
                || session.sent_revision < revision
                || session.version < version
                || session.sent_outlook < self.outlook_revision;
            if !wanted || now.since(session.sent_at) < interval {
                continue;
            }
            session.sent_at = now;
            let from = if whole { 0 } else { session.sent_revision };
            let update = GatewayUpdate {
                term: self.term,
                complete,
                first: whole,
                document: document
                    .filter(|document| document.version > session.version)
                    .cloned(),
                instances: self.registry.changed_since(from),
                // A leader that does not know every instance yet says which it knows to be gone: the gateway
                // would keep them.
                removed: if whole {
                    departed_elsewhere(&self.registry, context)
                } else {
                    self.registry.removed_since(from)
                },
                outlook: self.outlook.clone(),
                gateways: count,
                members: if whole {
                    (context.members)()
                } else {
                    Vec::new()
                },
                provisional: false,
                loads: loads.get_or_insert_with(|| self.traffic.busiest()).clone(),
                answers: 0,
                as_of: 0,
                document_change: None,
                kept_instances: Vec::new(),
            };
            session.greeted = true;
            session.sent_complete |= complete;
            session.sent_revision = revision;
            session.sent_outlook = self.outlook_revision;
            session.version = session.version.max(version);
            session.owed = false;
            self.out.push(FleetOutput::Update {
                connection: *connection,
                update: Box::new(update),
            });
        }
    }
}

/// What an engine is bringing, and when it will be there.
fn outlook_of(now: Timestamp, service: &ServiceSpec, engine: &Engine) -> Vec<ModelOutlook> {
    let Some(specification) = &service.engine else {
        return Vec::new();
    };
    let loading = engine.pending.as_ref().and_then(|pending| {
        let adapter = pending.adapter.clone()?;
        let left = pending.done_at.since(now);
        let load = pending.operation == InstructionOperation::Load;
        load.then(|| model_outlook(&service.name, &pending.model, Some(adapter), left))
    });
    let models = engine.brought().map(|model| {
        let found = specification
            .models
            .iter()
            .find(|found| found.name == *model);
        let load = found.map_or(Duration::ZERO, |found| {
            found.load_time(engine.source_of(model))
        });
        model_outlook(
            &service.name,
            model,
            None,
            engine.ready_in(now, model, load),
        )
    });
    loading.into_iter().chain(models).collect()
}

/// When a model, or adapter, will be ready.
pub(crate) fn model_outlook(
    service: &ServiceName,
    model: &ModelName,
    adapter: Option<AdapterName>,
    ready_in: Duration,
) -> ModelOutlook {
    ModelOutlook {
        service: service.clone(),
        model: model.clone(),
        adapter,
        ready_in_millis: ready_in.as_millis() as u64,
    }
}
