//! Which instances this gateway reaches, and the gateways that serve requests for those that it does
//! not reach.

use crate::dispatcher::{Choice, Dispatcher, RefusalReason};
use crate::instances::{Instance, SendOutcome};
use crate::request::{SendRecord, Ticket};
use crate::statements::Statements;
use millpass_proto::{
    Duration, GatewayPeer, GatewayReach, InstanceId, PeerUpdate, ServiceName, Timestamp,
};
use millpass_reach::{
    ConnectionFailure, ForwardOutcome, KnownInstances, MAX_STATED_INSTANCES, PathChange, Refusal,
};
use std::collections::BTreeMap;

/// Gateways that a request is forwarded to, one after the other, while a service is out of reach.
const MAX_FORWARDS: usize = 3;
/// Gateways that a request is forwarded to if only single instances are out of reach: a second
/// failure shows that the instances have ended.
const MAX_FORWARDS_FOR_INSTANCE: usize = 1;
/// Time for which a request waits for the leader to name gateways to forward to, and for connections
/// that tell a lost instance from a lost service.
const PEERS_WAIT: Duration = Duration::from_millis(300);
/// Interval at which a request checks whether these connections have shown it.
const COMPARISON_CHECK_INTERVAL: Duration = Duration::from_millis(10);
/// Retry-After of a request that no gateway reaches an instance for; the retry may reach another
/// gateway.
const UNREACHABLE_RETRY_AFTER: Duration = Duration::from_millis(300);

/// Where this gateway takes requests of others.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerEndpoint {
    /// IP address and port.
    pub address: String,
    /// Secret that requests must state.
    pub key: String,
}

/// What this gateway has stated to the leader about what it reaches.
#[derive(Debug, Default)]
pub(crate) struct ReachStatement {
    /// Revision of the paths, and whether requests of others are taken; none before the first
    /// statement on a connection.
    stated: Option<(u64, bool)>,
}

/// Position at which a gateway begins to sample instances, from its name.
pub(crate) fn sample_offset(gateway: &str) -> usize {
    let bytes = gateway.bytes();
    bytes.fold(0, |sum: usize, byte| {
        sum.wrapping_mul(31).wrapping_add(usize::from(byte)) % 10_007
    })
}

impl Dispatcher {
    /// Records a connection to an instance that was established now.
    pub fn record_connected(&mut self, now: Timestamp, instance: &InstanceId) {
        let Some(service) = self.service_of(instance) else {
            return;
        };
        let was_lost = self.paths.is_lost(&service, instance);
        let (instances, statements) = (&self.instances, &self.statements);
        let known = || usable_instances(instances, statements, &service);
        self.paths.record_connected(now, &service, instance, known);
        if was_lost && let Some(found) = self.instances.get_mut(instance) {
            found.clear_failures();
        }
        self.wake_after_path_change(was_lost);
        for refused in self.run_ends.record_connected(now, &service, instance) {
            if let Some(service) = self.service_of(&refused) {
                self.paths.request_probe(&service, &refused);
            }
        }
    }

    /// Records a connection to an instance that could not be established for a reason other than a
    /// refusal.
    pub fn record_connect_failed(&mut self, now: Timestamp, instance: &InstanceId) {
        self.record_path_failure(now, instance, ConnectionFailure::Other);
    }

    /// Records a connection that an instance refused. Its process run has ended if this gateway then
    /// connects to another instance, and is refused again.
    pub fn record_refused(&mut self, now: Timestamp, instance: &InstanceId) {
        let Some(service) = self.service_of(instance) else {
            return;
        };
        self.record_path_failure(now, instance, ConnectionFailure::Refused);
        let has_others = self.usable_instances(&service) > 1;
        let scope = has_others.then(|| service.clone());
        match self.run_ends.record_refused(now, instance, scope) {
            Refusal::KnownEnded => {}
            Refusal::Ended => {
                self.run_ended(now, instance);
                self.ended_runs.push(instance.clone());
            }
            Refusal::Unconfirmed if has_others => self.paths.request_comparison(&service),
            Refusal::Unconfirmed => {
                for service in self.services_with_instances() {
                    self.paths.request_comparison(&service);
                }
            }
        }
    }

    fn record_path_failure(
        &mut self,
        now: Timestamp,
        instance: &InstanceId,
        failure: ConnectionFailure,
    ) {
        if let Some(service) = self.service_of(instance) {
            let known = self.usable_instances(&service);
            let before = self.paths.revision();
            self.paths
                .record_failed(now, &service, instance, known, failure);
            self.wake_after_path_change(self.paths.revision() != before);
        }
    }

    /// Returns the instances whose process runs were found to have ended since the last call.
    pub fn take_ended_runs(&mut self) -> Vec<InstanceId> {
        std::mem::take(&mut self.ended_runs)
    }

    /// Records that a request has had no byte of its response for a long time. Returns true if the
    /// path to its instance is to be probed.
    pub fn record_silence(&mut self, now: Timestamp, instance: &InstanceId) -> bool {
        let Some(service) = self.service_of(instance) else {
            return false;
        };
        self.paths.record_silence(now, &service, instance)
    }

    /// Returns true if an instance is known: it has not departed.
    pub fn is_known(&self, instance: &InstanceId) -> bool {
        self.instances.contains_key(instance)
    }

    /// Returns the address of a known instance.
    pub fn address_of(&self, instance: &InstanceId) -> Option<String> {
        let found = self.instances.get(instance)?;
        Some(found.record.address.clone())
    }

    /// Returns true if an instance is known and out of reach.
    pub fn is_path_lost(&self, instance: &InstanceId) -> bool {
        let found = self.instances.get(instance);
        found.is_some_and(|found| self.is_lost(found))
    }

    /// Returns the instances to connect to now, with their addresses.
    pub fn take_path_probes(&mut self, now: Timestamp) -> Vec<(InstanceId, String)> {
        if self.paths.next_probe_at().is_none_or(|at| now < at) {
            return Vec::new();
        }
        let mut probes: Vec<InstanceId> = Vec::new();
        let services = self.services_with_instances();
        self.paths
            .retain_services(|service| services.contains(service));
        let instances = &self.instances;
        self.run_ends
            .retain(|instance| instances.contains_key(instance));
        for service in &services {
            let usable: Vec<&InstanceId> = self
                .instances
                .iter()
                .filter(|(_, found)| found.record.service == *service && !self.is_leaving(found))
                .map(|(instance, _)| instance)
                .collect();
            let known = KnownInstances {
                service,
                instances: &usable,
            };
            probes.extend(self.paths.take_probes(now, &known));
        }
        probes
            .into_iter()
            .filter_map(|instance| Some((instance.clone(), self.address_of(&instance)?)))
            .collect()
    }

    /// Returns when the next path is to be probed; none while every path works.
    pub fn next_path_probe_at(&self) -> Option<Timestamp> {
        self.paths.next_probe_at()
    }

    /// Returns the changes of what is reached since the last call.
    pub fn take_path_changes(&mut self) -> Vec<PathChange> {
        self.paths.take_changes()
    }

    /// Returns the known instances of a service.
    pub fn instances_of(&self, service: &ServiceName) -> Vec<InstanceId> {
        let of_service = self.instances.iter();
        let of_service = of_service.filter(|(_, found)| found.record.service == *service);
        of_service.map(|(instance, _)| instance.clone()).collect()
    }

    /// Numbers of services and of single instances that are out of reach.
    pub fn unreachable_counts(&self) -> (usize, usize) {
        let services = self.paths.lost_services().count();
        (services, self.paths.lost_instances().count())
    }

    /// Number of gateways known to take requests of this one.
    pub fn peer_count(&self) -> usize {
        self.peers.len()
    }

    /// Returns true if [`Dispatcher::reach_statement`] has something to state.
    pub fn is_reach_statement_due(&self, accepts: bool) -> bool {
        let current = (self.paths.revision(), accepts);
        self.instances_reported && self.reach_statement.stated != Some(current)
    }

    /// Returns what to state to the leader of what this gateway reaches, if that has changed or was
    /// not stated on this connection.
    pub fn reach_statement(
        &mut self,
        endpoint: &PeerEndpoint,
        accepts: bool,
    ) -> Option<GatewayReach> {
        if !self.is_reach_statement_due(accepts) {
            return None;
        }
        self.reach_statement.stated = Some((self.paths.revision(), accepts));
        let lost_instances = self.paths.lost_instances().take(MAX_STATED_INSTANCES);
        let reach = GatewayReach {
            address: endpoint.address.clone(),
            key: endpoint.key.clone(),
            accepts,
            lost_services: self.paths.lost_services().cloned().collect(),
            lost_instances: lost_instances.cloned().collect(),
        };
        if reach.lost_services.is_empty() && reach.lost_instances.is_empty() {
            self.peers.clear();
        }
        Some(reach)
    }

    /// Applies the leader's list of gateways that may serve requests of this one.
    pub fn apply_peers(&mut self, update: PeerUpdate) {
        if self.peers.apply(update) {
            self.wake_all_waiting();
        }
    }

    /// Records how a forwarded request ended at a gateway that made `sends` sends and served it at
    /// `instance`, if at any.
    pub fn record_forward_outcome(
        &mut self,
        now: Timestamp,
        ticket: &mut Ticket,
        gateway: &str,
        outcome: ForwardOutcome,
        sends: u32,
    ) {
        self.peers.record_end(now, gateway, outcome);
        if sends == 0 {
            ticket.sends = ticket.sends.saturating_sub(1);
        }
    }

    /// Records how a forwarded request ended whose ticket has ended before.
    pub fn record_forward_end(&mut self, now: Timestamp, gateway: &str, outcome: ForwardOutcome) {
        self.peers.record_end(now, gateway, outcome);
    }

    /// Records the document version by which another gateway has served a request.
    pub fn record_shown_version(&mut self, version: u64) {
        self.shown_version = self.shown_version.max(version);
    }

    /// Returns the document version that a gateway must have to serve requests of this one.
    pub fn required_peer_version(&self) -> u64 {
        self.version().max(self.shown_version)
    }

    /// Records what the outcome of a send shows of the path to its instance.
    pub(crate) fn record_path_outcome(
        &mut self,
        now: Timestamp,
        record: &SendRecord,
        outcome: SendOutcome,
    ) {
        match outcome {
            SendOutcome::Unreachable => self.record_connect_failed(now, &record.instance),
            SendOutcome::Broken => self.paths.record_broken(&record.service, &record.instance),
            _ => {}
        }
    }

    /// Forwards a request whose instances are all out of reach, or refuses it. None if another
    /// gateway does not reach them either: they have ended, and the request waits for a load as if
    /// its model were not loaded.
    pub(crate) fn forward_or_refuse(
        &mut self,
        now: Timestamp,
        ticket: &mut Ticket,
        engine: bool,
    ) -> Option<Choice> {
        let is_service_lost = self.paths.is_service_lost(&ticket.service);
        if ticket.forwarded.is_some() {
            if engine && !is_service_lost {
                self.record_demand(now, ticket);
            }
            return Some(refuse_unreachable());
        }
        let limit = match is_service_lost {
            true => MAX_FORWARDS,
            false => MAX_FORWARDS_FOR_INSTANCE,
        };
        if ticket.forwarded_to.len() < limit {
            let tried = &ticket.forwarded_to;
            if let Some(peer) = self.peers.choose(now, &ticket.service, tried) {
                return Some(self.begin_forward(now, ticket, peer));
            }
            let until = until_decided(now, ticket);
            if !self.peers.is_known() && now < until {
                return Some(Choice::Wait { until });
            }
        }
        if is_service_lost {
            return Some(refuse_unreachable());
        }
        // Another gateway may lack the same contact without knowing it yet.
        let until = until_decided(now, ticket);
        let is_undecided = self.paths.is_undecided(&ticket.service) && now < until;
        is_undecided.then(|| Choice::Wait {
            until: until.min(now + COMPARISON_CHECK_INTERVAL),
        })
    }

    fn begin_forward(&mut self, now: Timestamp, ticket: &mut Ticket, peer: GatewayPeer) -> Choice {
        if ticket.sends > 0 {
            self.consume_retry(now, ticket);
        }
        self.cancel_permit_request(ticket);
        self.peers.record_start(&peer.gateway);
        ticket.forwarded_to.push(peer.gateway.clone());
        ticket.sends += 1;
        ticket.sent_at = Some(now);
        ticket.send_times.push(now);
        Choice::Forward {
            peer: Box::new(peer),
        }
    }

    pub(crate) fn is_lost(&self, instance: &Instance) -> bool {
        let record = &instance.record;
        self.paths.is_lost(&record.service, &record.instance)
    }

    fn wake_after_path_change(&mut self, has_changed: bool) {
        if has_changed {
            self.wake_all_waiting();
        }
    }

    fn service_of(&self, instance: &InstanceId) -> Option<ServiceName> {
        let found = self.instances.get(instance)?;
        Some(found.record.service.clone())
    }

    fn services_with_instances(&self) -> Vec<ServiceName> {
        let mut services: Vec<ServiceName> = Vec::new();
        for found in self.instances.values() {
            if !services.contains(&found.record.service) {
                services.push(found.record.service.clone());
            }
        }
        services
    }

    fn usable_instances(&self, service: &ServiceName) -> usize {
        usable_instances(&self.instances, &self.statements, service)
    }
}

/// Number of instances of a service that are not leaving.
fn usable_instances(
    instances: &BTreeMap<InstanceId, Instance>,
    statements: &Statements,
    service: &ServiceName,
) -> usize {
    let usable = instances.iter().filter(|(instance, found)| {
        let record = &found.record;
        record.service == *service && !record.draining && !statements.is_leaving(instance)
    });
    usable.count()
}

/// Returns until when a request waits to be forwarded.
fn until_decided(now: Timestamp, ticket: &mut Ticket) -> Timestamp {
    let since = *ticket.peers_awaited_since.get_or_insert(now);
    (since + PEERS_WAIT).min(ticket.expires_at)
}

fn refuse_unreachable() -> Choice {
    Choice::Refuse {
        reason: RefusalReason::Unreachable,
        retry_after: UNREACHABLE_RETRY_AFTER,
    }
}
