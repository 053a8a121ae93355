//! Updates sent to gateways: changes since their last update, and ready estimates of incoming
//! models.

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

/// Difference between a published and a current ready time, below which gateways are not updated.
/// For distant times, a tenth of the remaining time applies.
const READY_TIME_TOLERANCE: Duration = Duration::from_millis(100);

/// Bound of the records in the first updates of one pass, after which other gateways wait for the
/// next. Keeps reconnecting gateways from delaying the renewal of the leader lease.
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
        let is_same = estimates.len() == self.ready_estimates.len()
            && estimates
                .iter()
                .zip(&self.ready_estimates)
                .all(|(new, old)| new.model == old.model && new.adapter == old.adapter);
        if !is_same {
            self.ready_estimates_revision += 1;
        }
        if !is_same || self.have_ready_times_moved(now, &estimates) {
            self.ready_times_revision += 1;
            let times = estimates.iter().map(|entry| ready_at(now, entry));
            self.published_ready_times = times.collect();
        }
        self.ready_estimates = estimates;
    }

    /// Returns whether ready times differ from the published ones by more than the tolerance.
    fn have_ready_times_moved(&self, now: Timestamp, estimates: &[ModelReadyEstimate]) -> bool {
        estimates
            .iter()
            .zip(&self.published_ready_times)
            .any(|(entry, published)| {
                let ready = ready_at(now, entry);
                // Gateways treat elapsed ready times as now.
                let published = (*published).max(now);
                let difference = ready.since(published).max(published.since(ready));
                difference > READY_TIME_TOLERANCE.max(ready.since(now) / 10)
            })
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
        document: Option<&DeploymentDocument>,
        context: &GatewayContext<'_>,
    ) {
        if !self.gateways.start_pass_if_due(now, self.slowdown) {
            return;
        }
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
        for connection in due {
            let Some(mut session) = self.gateways.sessions.remove(&connection) else {
                continue;
            };
            let is_first = self.needs_full_update(&session);
            if is_first && sent_records >= MAX_FIRST_UPDATE_RECORDS {
                // Sent in a later pass.
                self.gateways.sessions.insert(connection, session);
                continue;
            }
            let mut update = self.next_update(now, &mut session, document, complete, context);
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

    /// Returns the connections of gateways that are due for an update.
    fn due_connections(
        &self,
        now: Timestamp,
        document: Option<&DeploymentDocument>,
        complete: bool,
    ) -> Vec<u64> {
        let revision = self.registry.revision();
        let version = document.map_or(0, |document| document.version);
        let interval = self.gateways.update_interval(self.slowdown);
        let needs_update = |session: &GatewaySession| {
            session.response_pending
                || self.needs_full_update(session)
                || (complete && !session.sent_complete)
                || session.sent_revision < revision
                || session.expected_version() < version
                || session.sent_estimates < self.ready_estimates_revision
        };
        let sessions = self.gateways.sessions.iter();
        sessions
            // An update behind a backlog would be stale on arrival; changes accumulate here
            // instead.
            .filter(|(_, session)| session.backlogged_since.is_none())
            .filter(|(_, session)| needs_update(session) && session.is_due(now, interval))
            .map(|(connection, _)| *connection)
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
        document: Option<&DeploymentDocument>,
        complete: bool,
        context: &GatewayContext<'_>,
    ) -> GatewayUpdate {
        let first = self.needs_full_update(session);
        let estimates_unchanged = !first && session.sent_ready_times == self.ready_times_revision;
        let loads_unchanged = !first && session.sent_loads == self.loads_revision;
        let (paces, sent_paces) = self.pace.published_since(now, session.sent_paces);
        let mut update = GatewayUpdate {
            term: self.term,
            complete,
            first,
            document: None,
            instances: Vec::new(),
            removed: Vec::new(),
            ready_estimates: empty_if(estimates_unchanged, &self.ready_estimates),
            gateways: 0,
            members: Vec::new(),
            provisional: false,
            loads: empty_if(loads_unchanged, &self.published_loads),
            acknowledged_report: session.last_report,
            as_of: context.as_of,
            document_change: None,
            unchanged_instance_digests: Vec::new(),
            ready_estimates_unchanged: estimates_unchanged,
            loads_unchanged,
            document_version: document.map_or(0, |document| document.version),
            paces,
        };
        if first {
            update.members = (context.members)();
            self.fill_first_update(session, &mut update, context);
        } else {
            update.instances = self.registry.changed_since(session.sent_revision);
            update.removed = self.registry.removed_since(session.sent_revision);
        }
        if let Some(document) = document {
            self.add_document(now, session, &mut update, document, context);
        }
        session.first_update_sent = true;
        session.sent_complete |= complete;
        session.sent_revision = self.registry.revision();
        session.sent_estimates = self.ready_estimates_revision;
        session.sent_ready_times = self.ready_times_revision;
        session.sent_loads = self.loads_revision;
        session.sent_paces = sent_paces;
        session.sent_at = now;
        session.response_pending = false;
        update
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
        document: &DeploymentDocument,
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

fn ready_at(now: Timestamp, entry: &ModelReadyEstimate) -> Timestamp {
    now + Duration::from_millis(entry.ready_in_millis)
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
