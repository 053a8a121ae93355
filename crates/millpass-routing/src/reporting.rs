//! Reports to the leader, and updates from it.

use crate::catalog::DeltaOutcome;
use crate::demand::{DemandCounts, DemandEntry, DemandKey, DemandTable};
use crate::interface::RoutingOutput;
use crate::queues::QueueKey;
use crate::{Routing, Step};
use millpass_proto::{
    Duration, ModelDemand, RouterHello, RouterReport, RouterUpdate, Timestamp, Urgency,
    VersionLabel,
};

/// Maximum number of demand entries per report; entries with the most waiting requests go first.
const MAXIMUM_DEMAND_ENTRIES: usize = 1_024;
/// Maximum number of observations per report; the rest follows in the next reports.
const MAXIMUM_OBSERVATIONS: usize = 64;

/// Schedule of reports.
#[derive(Debug, Default)]
pub(crate) struct ReportSchedule {
    link_up: bool,
    last_sent: Option<Timestamp>,
    urgent: bool,
}

impl ReportSchedule {
    /// Returns true if there is a link to the leader.
    pub fn link_up(&self) -> bool {
        self.link_up
    }

    /// Requests a report as soon as the minimum interval allows.
    pub fn expedite(&mut self) {
        self.urgent = true;
    }

    fn is_due(&self, idle: Duration, shortest: Duration, now: Timestamp) -> bool {
        if !self.link_up {
            return false;
        }
        let interval = if self.urgent { shortest } else { idle };
        self.last_sent.is_none_or(|last| last + interval <= now)
    }
}

impl Routing {
    /// Handles a new link: sends hello, a report and all unanswered claim messages.
    pub(crate) fn link_up(&mut self, step: &mut Step) {
        self.reporting.link_up = true;
        // The new leader may not have what the previous one acknowledged.
        self.reset_acknowledged();
        step.outputs.push(RoutingOutput::SendHello(RouterHello {
            group: self.settings.group,
            router: self.settings.router.clone(),
            incarnation: self.settings.incarnation,
            zone: self.settings.zone.clone(),
            address: self.settings.address.clone(),
        }));
        self.send_report(step);
        let messages = self.claims.resend_all(step.now);
        step.outputs.extend(messages);
    }

    /// Handles the loss of the link.
    pub(crate) fn link_down(&mut self) {
        self.reporting.link_up = false;
    }

    fn reset_acknowledged(&mut self) {
        self.demand.reset_acknowledged();
        self.observations.reset_acknowledged();
    }

    /// Sends a report if one is due.
    pub(crate) fn report_if_due(&mut self, step: &mut Step) {
        let idle = self.settings.report_interval;
        let shortest = self.settings.minimum_report_interval;
        if self.reporting.is_due(idle, shortest, step.now) {
            self.send_report(step);
        }
    }

    fn send_report(&mut self, step: &mut Step) {
        let sequence = self.lease.record_report_sent(step.now);
        self.reporting.last_sent = Some(step.now);
        self.reporting.urgent = false;
        let demand = self.demand_for_report(sequence, step.now);
        let observations = self
            .observations
            .collect_for_report(sequence, MAXIMUM_OBSERVATIONS);
        step.outputs.push(RoutingOutput::SendReport(RouterReport {
            sequence,
            configuration: self.catalog.revision(),
            placement: self.routes.revision(),
            demand,
            observations,
            draining: self.drain.is_some(),
        }));
    }

    fn demand_for_report(&mut self, sequence: u64, now: Timestamp) -> Vec<ModelDemand> {
        let mut reported: Vec<(DemandKey, DemandCounts, ModelDemand)> = Vec::new();
        for (key, entry) in self.demand.entries() {
            let demand = self.demand_of(key, entry, now);
            let counts = DemandCounts {
                waiting: demand.waiting,
                in_flight: demand.in_flight,
                arrivals: demand.arrivals,
            };
            if DemandTable::must_report(entry, counts) {
                reported.push((key.clone(), counts, demand));
            }
        }
        if reported.len() > MAXIMUM_DEMAND_ENTRIES {
            reported.sort_by_key(|(_, counts, _)| std::cmp::Reverse(counts.waiting));
            reported.truncate(MAXIMUM_DEMAND_ENTRIES);
        }
        let mut demands = Vec::with_capacity(reported.len());
        for (key, counts, demand) in reported {
            self.demand.record_sent(&key, sequence, counts);
            demands.push(demand);
        }
        demands
    }

    /// Demand of one model, summed over the queues of all its versions.
    fn demand_of(&self, key: &DemandKey, entry: &DemandEntry, now: Timestamp) -> ModelDemand {
        let mut waiting = 0usize;
        let mut oldest = Duration::ZERO;
        let mut most_urgent = Urgency::Batch;
        for queue in self.queues_of(key) {
            waiting += self.queues.len(&queue);
            let urgency = self.queues.most_urgent(&queue);
            most_urgent = most_urgent.min(urgency.unwrap_or(Urgency::Batch));
            let first = self.queues.members(&queue).next();
            let request = first.and_then(|number| self.table.get(number));
            let age = request.map_or(Duration::ZERO, |request| now.since(request.arrived));
            oldest = oldest.max(age);
        }
        ModelDemand {
            model: key.model.clone(),
            adapter: key.adapter.clone(),
            waiting: u32::try_from(waiting).unwrap_or(u32::MAX),
            in_flight: entry.in_flight,
            arrivals: entry.arrivals,
            oldest_wait_millis: u64::try_from(oldest.as_millis()).unwrap_or(u64::MAX),
            most_urgent,
        }
    }

    /// Queues of a model and adapter, for all versions.
    fn queues_of(&self, key: &DemandKey) -> Vec<QueueKey> {
        let key_with = |version: Option<VersionLabel>| QueueKey::Model {
            model: key.model.clone(),
            adapter: key.adapter.clone(),
            version,
        };
        self.queues.versions_of(&key_with(None))
    }

    /// Handles the leader's response to a report.
    pub(crate) fn handle_update(&mut self, update: RouterUpdate, step: &mut Step) {
        let previous_term = self.lease.term();
        let Some(sent) = self.lease.accept(update.term, update.sequence) else {
            let pairs = vec![
                ("term", update.term.to_string()),
                ("sequence", update.sequence.to_string()),
            ];
            step.event("update_ignored", pairs);
            return;
        };
        if update.term > previous_term {
            self.reset_acknowledged();
        }
        self.demand.acknowledge(update.sequence);
        self.observations.acknowledge(update.sequence);
        self.claims_created_after = self
            .claims_created_after
            .max(update.claims_created_after_unix_millis);
        let catalog_changed = match self.apply_deltas(&update, step) {
            Some(changed) => {
                self.extend_lease(sent, update.lease_millis, step);
                changed
            }
            // The lease is not extended while deltas are missing.
            None => {
                self.reporting.expedite();
                false
            }
        };
        self.ready_estimates
            .replace(&update.load_estimates, step.now);
        if let Some(list) = &update.watch {
            let watch_list = self.observations.watch(&list.backends);
            step.outputs.push(RoutingOutput::Watch(watch_list));
        }
        if catalog_changed {
            self.recheck_waiting(step);
        }
        self.refresh_queues(step);
    }

    /// Applies the deltas. Returns whether the catalog changed, or `None` if a delta does not fit.
    fn apply_deltas(&mut self, update: &RouterUpdate, step: &mut Step) -> Option<bool> {
        let catalog = update.configuration.as_ref();
        let catalog = catalog.map(|delta| self.catalog.apply(delta));
        let routes = update.placement.as_ref();
        let routes = routes.map(|delta| self.routes.apply(delta));
        let changed = catalog == Some(DeltaOutcome::Applied);
        if changed {
            let catalog = &self.catalog;
            self.demand
                .retain(|key| catalog.has_model(&key.model, key.adapter.as_ref()));
        }
        if catalog == Some(DeltaOutcome::Gap) || routes == Some(DeltaOutcome::Gap) {
            let pairs = vec![
                ("configuration", self.catalog.revision().to_string()),
                ("placement", self.routes.revision().to_string()),
            ];
            step.event("delta_gap", pairs);
            return None;
        }
        Some(changed)
    }

    fn extend_lease(&mut self, sent: Timestamp, lease_millis: u64, step: &mut Step) {
        let length = Duration::from_millis(lease_millis);
        if self.lease.extend(sent, length, step.now) {
            let pairs = vec![("term", self.lease.term().to_string())];
            step.event("lease_gained", pairs);
        }
    }
}
