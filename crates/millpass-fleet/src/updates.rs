//! Updates sent to gateways: changes since their last update, and ready estimates of incoming
//! models.

use crate::documents::DocumentHistory;
use crate::engines::Engine;
use crate::fleet::Fleet;
use crate::gateways::GatewaySession;
use crate::interface::FleetOutput;
use crate::registry::{ChangedInstances, Registry};
use crate::update_schedule::{Outstanding, Scope};
use millpass_proto::{
    AdapterName, DeploymentDocument, Duration, GatewayUpdate, InstanceId, InstructionOperation,
    ModelName, ModelReadyEstimate, ServiceName, ServiceSpec, SharedDocument, Timestamp,
};

/// Bound of the records in the first updates of one pass, after which other gateways wait for the
/// next: about 6 ms of the core. Keeps reconnecting gateways from delaying the renewal of the leader
/// lease, and updates from piling up before they are encoded.
const MAX_FIRST_UPDATE_RECORDS: usize = 4_096;
/// Divisor for the cost of a compared record, relative to a sent one.
const COMPARED_RECORD_DIVISOR: usize = 8;

/// Information from the control plane for updates, queried when a gateway connects.
pub struct GatewayContext<'a> {
    /// Returns the addresses of the control members.
    pub members: &'a dyn Fn() -> Vec<String>,
    /// Returns the instances that depart or have ended according to the log after this index.
    pub departed: &'a dyn Fn(u64) -> Vec<InstanceId>,
    /// Log index up to which the document and departures are applied here.
    pub as_of: u64,
    /// Recent documents.
    pub documents: &'a DocumentHistory,
}

/// Returns departed instances except those known to be draining, whose records state it.
fn departed_unless_draining(
    registry: &Registry,
    context: &GatewayContext<'_>,
    index: u64,
) -> Vec<InstanceId> {
    let mut departed = (context.departed)(index);
    departed.retain(|instance| registry.get(instance).is_none_or(|record| !record.draining));
    departed
}

impl Fleet {
    /// Refreshes the ready estimates of incoming and `waiting` models for gateways.
    pub(crate) fn refresh_ready_estimates(
        &mut self,
        now: Timestamp,
        document: &DeploymentDocument,
        waiting: Vec<ModelReadyEstimate>,
    ) {
        let mut estimates = Vec::new();
        for service in &document.services {
            for record in self.registry.records() {
                if record.service != service.name {
                    continue;
                }
                let Some(engine) = self.engines.engines.get(&record.instance) else {
                    continue;
                };
                estimates.extend(incoming_estimates(now, service, engine));
            }
        }
        estimates.extend(waiting);
        self.ready_estimates.refresh(now, estimates);
    }

    fn refresh_loads(&mut self) {
        let loads = self.traffic.busiest();
        if loads != self.published_loads {
            self.loads_revision += 1;
            self.published_loads = loads;
        }
    }

    pub(crate) fn send_gateway_updates(
        &mut self,
        now: Timestamp,
        document: Option<&SharedDocument>,
        context: &GatewayContext<'_>,
    ) {
        if !self.gateways.start_pass_if_due(now, self.slowdown) {
            return;
        }
        let changes = self.registry.take_content_changes();
        let moved_estimates = self.ready_estimates.take_moved();
        self.gateways
            .record_changes(now, &changes, &moved_estimates);
        let complete = self.complete;
        let due = self.due_connections(now, document, complete);
        if due.is_empty() {
            return;
        }
        self.refresh_loads();
        let gateways = self.gateways.count();
        let changes = self.pace.refresh(now, &self.registry, gateways);
        self.log_pace_changes(changes);
        let comparison_cost = self.registry.len() / COMPARED_RECORD_DIVISOR;
        let mut sent_records = 0;
        for (connection, scope) in due {
            let Some(mut session) = self.gateways.sessions.remove(&connection) else {
                continue;
            };
            let is_first = self.needs_full_update(&session);
            if is_first && sent_records >= MAX_FIRST_UPDATE_RECORDS {
                // Sent in a later pass.
                self.gateways.sessions.insert(connection, session);
                continue;
            }
            let mut update = match scope {
                Scope::Everything => {
                    self.next_update(now, &mut session, document, complete, context)
                }
                Scope::Concerning => self.concerning_update(now, &mut session, document, context),
            };
            if is_first {
                sent_records += comparison_cost + update.instances.len();
            }
            self.gateways.sessions.insert(connection, session);
            if complete {
                // Set only when complete: until then some gateways have not connected yet, and the
                // others would take over their portions of shared limits.
                update.gateways = self.gateways.count();
            }
            self.out.push(FleetOutput::Update {
                connection,
                update: Box::new(update),
            });
        }
    }

    /// Returns the connections of gateways that are due for an update, and what it contains.
    fn due_connections(
        &self,
        now: Timestamp,
        document: Option<&SharedDocument>,
        complete: bool,
    ) -> Vec<(u64, Scope)> {
        let revision = self.registry.revision();
        let departure_revision = self.registry.departure_revision();
        let list_revision = self.ready_estimates.list_revision();
        let version = document.map_or(0, |document| document.version);
        let intervals = self.gateways.update_intervals(self.slowdown);
        let outstanding = |session: &GatewaySession| {
            let required = self.needs_full_update(session)
                || (complete && !session.sent_complete)
                || session.expected_version() < version
                || session.sent_revision < departure_revision;
            Outstanding {
                any: required
                    || session.response_pending
                    || session.sent_revision < revision
                    || session.sent_estimates < list_revision,
                required,
            }
        };
        let sessions = self.gateways.sessions.iter();
        sessions
            .filter_map(|(connection, session)| {
                let scope = session.due(now, intervals, outstanding(session))?;
                Some((*connection, scope))
            })
            .collect()
    }

    /// Returns whether a gateway needs a full update: nothing was sent yet, or removals since the
    /// last update have been discarded.
    fn needs_full_update(&self, session: &GatewaySession) -> bool {
        !session.first_update_sent || !self.registry.has_removals_since(session.sent_revision)
    }

    /// Returns the next update of a gateway and marks it as sent.
    fn next_update(
        &mut self,
        now: Timestamp,
        session: &mut GatewaySession,
        document: Option<&SharedDocument>,
        complete: bool,
        context: &GatewayContext<'_>,
    ) -> GatewayUpdate {
        let first = self.needs_full_update(session);
        let loads_unchanged = !first && session.sent_loads == self.loads_revision;
        let (paces, sent_paces) = self.pace.published_since(now, session.sent_paces);
        let mut update = self.empty_update(session, document, context);
        update.first = first;
        update.complete = complete;
        update.loads = empty_if(loads_unchanged, &self.published_loads);
        update.loads_unchanged = loads_unchanged;
        update.paces = paces;
        self.fill_estimates(now, session, &mut update);
        if first {
            update.members = (context.members)();
            self.fill_first_update(session, &mut update, context);
        } else {
            let schedule = &session.schedule;
            let changed = self
                .registry
                .differences_since(session.sent_revision, |instance, revision| {
                    schedule.was_sent_early(instance, revision)
                });
            update.instances = changed.records;
            update.contents = changed.contents;
            update.removed = self.registry.removed_since(session.sent_revision);
        }
        if let Some(document) = document {
            self.add_document(now, session, &mut update, document, context);
        }
        session.first_update_sent = true;
        session.sent_complete |= complete;
        session.sent_revision = self.registry.revision();
        session.sent_estimates = self.ready_estimates.revision();
        session.sent_loads = self.loads_revision;
        session.sent_paces = sent_paces;
        session.schedule.record_everything_sent(now);
        session.sent_at = now;
        session.response_pending = false;
        update
    }

    /// Returns an update of a gateway with only what concerns it, and marks that as sent. Everything
    /// else is sent later; the revisions sent stay as they are. Documents and departures are never
    /// outstanding then, so that the update may state the index of the log.
    fn concerning_update(
        &self,
        now: Timestamp,
        session: &mut GatewaySession,
        document: Option<&SharedDocument>,
        context: &GatewayContext<'_>,
    ) -> GatewayUpdate {
        let mut update = self.empty_update(session, document, context);
        update.complete = session.sent_complete;
        update.partial = true;
        let mut changed = ChangedInstances::default();
        let revision_of = |instance: &InstanceId| self.registry.revision_of(instance);
        for instance in session.schedule.take_instances(revision_of) {
            let sent = session.sent_revision;
            self.registry.add_difference(&instance, sent, &mut changed);
        }
        update.instances = changed.records;
        update.contents = changed.contents;
        let models = session.schedule.take_estimates(now);
        update.moved_estimates = self.ready_estimates.of_models(now, &models);
        session.sent_at = now;
        session.response_pending = false;
        update
    }

    /// Returns an update without changes, which responds to the newest report.
    fn empty_update(
        &self,
        session: &GatewaySession,
        document: Option<&SharedDocument>,
        context: &GatewayContext<'_>,
    ) -> GatewayUpdate {
        GatewayUpdate {
            term: self.term,
            complete: false,
            first: false,
            document: None,
            instances: Vec::new(),
            removed: Vec::new(),
            ready_estimates: Vec::new(),
            gateways: 0,
            members: Vec::new(),
            provisional: false,
            loads: Vec::new(),
            acknowledged_report: session.last_report,
            as_of: context.as_of,
            document_change: None,
            unchanged_instance_digests: Vec::new(),
            ready_estimates_unchanged: true,
            loads_unchanged: true,
            document_version: document.map_or(0, |document| document.version),
            paces: Vec::new(),
            contents: Vec::new(),
            moved_estimates: Vec::new(),
            ended_estimates: Vec::new(),
            partial: false,
        }
    }

    /// Adds the ready estimates that changed, or all of them if it is unknown which did.
    fn fill_estimates(&self, now: Timestamp, session: &GatewaySession, update: &mut GatewayUpdate) {
        let changes = match update.first {
            true => None,
            false => self
                .ready_estimates
                .changes_since(now, session.sent_estimates),
        };
        if let Some(changes) = changes {
            update.moved_estimates = changes.moved;
            update.ended_estimates = changes.ended;
        } else {
            update.ready_estimates = self.ready_estimates.all(now);
            update.ready_estimates_unchanged = false;
        }
    }

    /// Fills the first update of a connection with the instances that the gateway does not hold.
    /// Full updates for many reconnecting gateways could delay the leader past its lease.
    fn fill_first_update(
        &self,
        session: &mut GatewaySession,
        update: &mut GatewayUpdate,
        context: &GatewayContext<'_>,
    ) {
        let held = std::mem::take(&mut session.held_instances);
        let missing = self.registry.missing_records(&held);
        // An incomplete leader lists the instances known to have ended, which the gateway would
        // otherwise keep. A gateway that holds only the records kept here has nothing to drop.
        let holds_others = held.is_empty() || missing.unchanged.len() < held.len();
        if !update.complete && holds_others {
            update.removed = departed_unless_draining(&self.registry, context, session.as_of);
        }
        update.instances = missing.records;
        update.unchanged_instance_digests = missing.unchanged;
    }

    /// Adds the document, or the change to it from the version that the gateway will have when the
    /// update arrives. A sent version counts as arrived only once the gateway reports it.
    fn add_document(
        &mut self,
        now: Timestamp,
        session: &mut GatewaySession,
        update: &mut GatewayUpdate,
        document: &SharedDocument,
        context: &GatewayContext<'_>,
    ) {
        let base = session.expected_version();
        let is_overdue = session.is_version_overdue();
        if base >= document.version && !is_overdue {
            return;
        }
        if !is_overdue {
            update.document_change = self.changes.change(base, document, context.documents);
        }
        if update.document_change.is_none() {
            update.document = Some(document.clone());
        }
        session.record_sent_version(now, document.version);
    }
}

/// Returns an empty list if the last sent one is still valid.
fn empty_if<T: Clone>(is_empty: bool, items: &[T]) -> Vec<T> {
    if is_empty { Vec::new() } else { items.to_vec() }
}

/// Returns the ready estimates of models and adapters that an engine is loading.
fn incoming_estimates(
    now: Timestamp,
    service: &ServiceSpec,
    engine: &Engine,
) -> Vec<ModelReadyEstimate> {
    let Some(specification) = &service.engine else {
        return Vec::new();
    };
    let loading = engine.pending.as_ref().and_then(|pending| {
        let adapter = pending.adapter.clone()?;
        let remaining = pending.expected_end.since(now);
        let load_time = pending.operation == InstructionOperation::Load;
        load_time.then(|| ready_estimate(&service.name, &pending.model, Some(adapter), remaining))
    });
    let models = engine.incoming_models().map(|model| {
        let model_spec = specification
            .models
            .iter()
            .find(|model_spec| model_spec.name == *model);
        let load_time = model_spec.map_or(Duration::ZERO, |model_spec| {
            model_spec.load_time(engine.weights_source(model))
        });
        ready_estimate(
            &service.name,
            model,
            None,
            engine.time_until_ready(now, model, load_time),
        )
    });
    loading.into_iter().chain(models).collect()
}

pub(crate) fn ready_estimate(
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
