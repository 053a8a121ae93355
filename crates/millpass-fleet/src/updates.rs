//! What gateways are told: what changed since their last update, and what is being loaded.

use crate::documents::DocumentHistory;
use crate::engines::Engine;
use crate::fleet::Fleet;
use crate::gateways::GatewaySession;
use crate::interface::FleetOutput;
use crate::registry::Registry;
use millpass_proto::{
    AdapterName, DeploymentDocument, Duration, GatewayUpdate, InstanceId, InstructionOperation,
    ModelName, ModelReadyEstimate, ServiceName, ServiceSpec, Timestamp,
};

/// How far an estimate may be off what gateways were told; beyond a tenth of the time that is left it counts too.
/// One look for work apart, estimates differ by less.
const OUTLOOK_TOLERANCE: Duration = Duration::from_millis(100);

/// Records named in the first updates of one look, after which other gateways wait for the next: some 6 ms of the core. So
/// gateways which come all at once, at the start or after a change of leader, do not keep it from its lease, and updates
/// do not pile up before they are encoded.
const GREETED_RECORDS: usize = 4_096;
/// Records that a gateway holds already, and which are only compared, cost this part of those that are named, as its inverse.
const COMPARED_SHARE: usize = 8;

/// What the control plane knows beside the fleet, asked for when a gateway connects.
pub struct GatewayContext<'a> {
    /// Addresses of the control members.
    pub members: &'a dyn Fn() -> Vec<String>,
    /// Instances that leave or have ended, as the log says after the index up to which a gateway was told.
    pub departed: &'a dyn Fn(u64) -> Vec<InstanceId>,
    /// Log index up to which document and departures are applied here.
    pub as_of: u64,
    /// The last documents in force.
    pub documents: &'a DocumentHistory,
}

/// Departed instances, but for those that the leader knows as leaving: their records say so.
fn departed_elsewhere(
    registry: &Registry,
    context: &GatewayContext<'_>,
    told: u64,
) -> Vec<InstanceId> {
    let mut departed = (context.departed)(told);
    departed.retain(|instance| registry.get(instance).is_none_or(|record| !record.draining));
    departed
}

impl Fleet {
    /// What is being loaded or `awaited`, for gateways to estimate waits.
    pub(crate) fn refresh_outlook(
        &mut self,
        now: Timestamp,
        document: &DeploymentDocument,
        awaited: Vec<ModelReadyEstimate>,
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
        if !same || self.times_moved(now, &outlook) {
            self.times_revision += 1;
            let times = outlook.iter().map(|entry| ready_at(now, entry));
            self.told_times = times.collect();
        }
        self.outlook = outlook;
    }

    /// Whether an estimate is off what was told by more than gateways' waits can bear.
    fn times_moved(&self, now: Timestamp, outlook: &[ModelReadyEstimate]) -> bool {
        outlook.iter().zip(&self.told_times).any(|(entry, told)| {
            let ready = ready_at(now, entry);
            // What is past due serves now, for gateways as well.
            let told = (*told).max(now);
            let off = ready.since(told).max(told.since(ready));
            off > OUTLOOK_TOLERANCE.max(ready.since(now) / 10)
        })
    }

    /// Revision of the busiest instances' loads, which are gathered anew.
    fn refresh_loads(&mut self) {
        let loads = self.traffic.busiest();
        if loads != self.told_loads {
            self.loads_revision += 1;
            self.told_loads = loads;
        }
    }

    pub(crate) fn update_gateways(
        &mut self,
        now: Timestamp,
        document: Option<&DeploymentDocument>,
        context: &GatewayContext<'_>,
    ) {
        if !self.gateways.is_look_due(now, self.pace) {
            return;
        }
        let complete = self.complete;
        let due = self.gateways_due(now, document, complete);
        if due.is_empty() {
            return;
        }
        self.refresh_loads();
        let compared = self.registry.len() / COMPARED_SHARE;
        let mut greeted = 0;
        for connection in due {
            let Some(mut session) = self.gateways.sessions.remove(&connection) else {
                continue;
            };
            let is_first = self.needs_all(&session);
            if is_first && greeted >= GREETED_RECORDS {
                // With one of the next looks.
                self.gateways.sessions.insert(connection, session);
                continue;
            }
            let mut update = self.update_of(now, &mut session, document, complete, context);
            if is_first {
                greeted += compared + update.instances.len();
            }
            self.gateways.sessions.insert(connection, session);
            if complete {
                // Before that only some have found this leader, and each would take the others' shares.
                update.gateways = self.gateways.count();
            }
            self.out.push(FleetOutput::Update {
                connection,
                update: Box::new(update),
            });
        }
    }

    /// Connections of gateways to which something is to be sent now.
    fn gateways_due(
        &self,
        now: Timestamp,
        document: Option<&DeploymentDocument>,
        complete: bool,
    ) -> Vec<u64> {
        let revision = self.registry.revision();
        let version = document.map_or(0, |document| document.version);
        let interval = self.gateways.update_interval(self.pace);
        let wants = |session: &GatewaySession| {
            session.owed
                || self.needs_all(session)
                || (complete && !session.sent_complete)
                || session.sent_revision < revision
                || session.arriving_version() < version
                || session.sent_outlook < self.outlook_revision
        };
        let sessions = self.gateways.sessions.iter();
        sessions
            // Behind what waits at a connection a second update would be old when it is taken: the difference grows
            // here instead.
            .filter(|(_, session)| session.behind_since.is_none())
            .filter(|(_, session)| wants(session) && session.is_due(now, interval))
            .map(|(connection, _)| *connection)
            .collect()
    }

    /// Whether a gateway has to be told of all instances: nothing was sent yet, or what has left since the last update
    /// is not remembered any more.
    fn needs_all(&self, session: &GatewaySession) -> bool {
        !session.greeted || !self.registry.remembers_since(session.sent_revision)
    }

    /// The next update of a gateway, which counts as sent.
    fn update_of(
        &mut self,
        now: Timestamp,
        session: &mut GatewaySession,
        document: Option<&DeploymentDocument>,
        complete: bool,
        context: &GatewayContext<'_>,
    ) -> GatewayUpdate {
        let first = self.needs_all(session);
        let outlook_same = !first && session.sent_times == self.times_revision;
        let loads_same = !first && session.sent_loads == self.loads_revision;
        let mut update = GatewayUpdate {
            term: self.term,
            complete,
            first,
            document: None,
            instances: Vec::new(),
            removed: Vec::new(),
            ready_estimates: kept_unless(outlook_same, &self.outlook),
            gateways: 0,
            members: Vec::new(),
            provisional: false,
            loads: kept_unless(loads_same, &self.told_loads),
            acknowledged_report: session.answers,
            as_of: context.as_of,
            document_change: None,
            unchanged_instance_digests: Vec::new(),
            ready_estimates_unchanged: outlook_same,
            loads_unchanged: loads_same,
            document_version: document.map_or(0, |document| document.version),
        };
        if first {
            update.members = (context.members)();
            self.greet(session, &mut update, context);
        } else {
            update.instances = self.registry.changed_since(session.sent_revision);
            update.removed = self.registry.removed_since(session.sent_revision);
        }
        if let Some(document) = document {
            self.put_document(now, session, &mut update, document, context);
        }
        session.greeted = true;
        session.sent_complete |= complete;
        session.sent_revision = self.registry.revision();
        session.sent_outlook = self.outlook_revision;
        session.sent_times = self.times_revision;
        session.sent_loads = self.loads_revision;
        session.sent_at = now;
        session.owed = false;
        update
    }

    /// Instances in the first update of a connection: those that the gateway lacks. Seventy gateways that come back at
    /// once would otherwise take the leader's core for as long as its lease lasts.
    fn greet(
        &self,
        session: &mut GatewaySession,
        update: &mut GatewayUpdate,
        context: &GatewayContext<'_>,
    ) {
        let held = std::mem::take(&mut session.held_instances);
        let lacking = self.registry.lacking(&held);
        // A leader that does not know every instance yet says which it knows to be gone: the gateway would keep
        // them. One that holds none but those named here has nothing to drop.
        let holds_others = held.is_empty() || lacking.kept.len() < held.len();
        if !update.complete && holds_others {
            update.removed = departed_elsewhere(&self.registry, context, session.as_of);
        }
        update.instances = lacking.records;
        update.unchanged_instance_digests = lacking.kept;
    }

    /// The document, or what changed since the one that the gateway will have when this arrives. What was sent counts
    /// as arrived only once the gateway reports it.
    fn put_document(
        &mut self,
        now: Timestamp,
        session: &mut GatewaySession,
        update: &mut GatewayUpdate,
        document: &DeploymentDocument,
        context: &GatewayContext<'_>,
    ) {
        let base = session.arriving_version();
        let overdue = session.is_version_overdue();
        if base >= document.version && !overdue {
            return;
        }
        if !overdue {
            update.document_change = self.changes.change(base, document, context.documents);
        }
        if update.document_change.is_none() {
            update.document = Some(document.clone());
        }
        session.version_sent(now, document.version);
    }
}

/// An empty list where what was told still holds.
fn kept_unless<T: Clone>(same: bool, items: &[T]) -> Vec<T> {
    if same { Vec::new() } else { items.to_vec() }
}

fn ready_at(now: Timestamp, entry: &ModelReadyEstimate) -> Timestamp {
    now + Duration::from_millis(entry.ready_in_millis)
}

/// What an engine is bringing, and when it will be there.
fn outlook_of(now: Timestamp, service: &ServiceSpec, engine: &Engine) -> Vec<ModelReadyEstimate> {
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
) -> ModelReadyEstimate {
    ModelReadyEstimate {
        service: service.clone(),
        model: model.clone(),
        adapter,
        ready_in_millis: ready_in.as_millis() as u64,
    }
}
