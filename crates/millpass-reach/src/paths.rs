//! Paths from this gateway to instances.
//!
//! A path is lost once a connection fails. Connections to other instances of the service, made for
//! comparison, then tell whether the instance or this gateway is the cause: if all of them fail, the
//! service is unreachable, and its other instances are not tried one by one. Probes, not requests,
//! find out when a path works again.

use millpass_proto::{Duration, InstanceId, ServiceName, Timestamp};
use std::collections::{BTreeMap, BTreeSet};

/// Instances that must be connected to before an unreachable service is used again.
const CONFIRMATIONS: usize = 2;
/// Lost instances probed at once, per service.
const MAX_PROBES: usize = 4;
/// Instances connected to for comparison after a refused connection. A refusal comes at once, so that
/// more can follow if these fail too.
const FIRST_COMPARISONS: usize = 1;
/// Time after which connections made for comparison no longer count.
const COMPARISON_LIFETIME: Duration = Duration::from_millis(2_000);
/// Fractional part of the golden ratio.
const GOLDEN_RATIO: f64 = 0.618_033_988_749_895;
/// Time after a probe of a silent instance in which no further one is probed for silence.
const SILENCE_PROBE_INTERVAL: Duration = Duration::from_millis(1_000);

/// When a path counts as lost, and how often it is probed.
#[derive(Clone, Copy, Debug)]
pub struct ReachSettings {
    /// Time between the first probes of a lost path; doubled with each further one.
    pub probe_interval: Duration,
    /// Longest time between two probes.
    pub max_probe_interval: Duration,
    /// Other instances of a service whose connections must fail, besides a first one, before the
    /// service is unreachable.
    pub sample: usize,
    /// Time without a byte of a response after which the path of a request is probed.
    pub silence: Duration,
}

impl Default for ReachSettings {
    fn default() -> Self {
        ReachSettings {
            probe_interval: Duration::from_millis(200),
            max_probe_interval: Duration::from_millis(1_000),
            sample: 5,
            silence: Duration::from_millis(1_000),
        }
    }
}

/// How a connection failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionFailure {
    /// The address refused it.
    Refused,
    /// It was reset, or not established in time.
    Other,
}

/// A change of what is reached.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PathChange {
    /// A connection to an instance failed.
    InstanceLost(ServiceName, InstanceId),
    /// An instance is reached again.
    InstanceReached(ServiceName, InstanceId),
    /// No instance of a service is reached.
    ServiceLost(ServiceName),
    /// A service is reached again; it was unreachable for this time.
    ServiceReached(ServiceName, Duration),
}

/// Instances of one service that requests may be sent to.
#[derive(Clone, Copy, Debug)]
pub struct KnownInstances<'a> {
    /// Service.
    pub service: &'a ServiceName,
    /// Instances, in any stable order.
    pub instances: &'a [&'a InstanceId],
}

/// Time of the next probe, with exponential backoff.
#[derive(Clone, Copy, Debug)]
struct ProbeSchedule {
    at: Timestamp,
    interval: Duration,
}

impl ProbeSchedule {
    fn start(now: Timestamp, settings: &ReachSettings) -> Self {
        ProbeSchedule {
            at: now + settings.probe_interval,
            interval: settings.probe_interval,
        }
    }

    /// Returns whether a probe is due, and schedules the next one.
    fn take_if_due(&mut self, now: Timestamp, settings: &ReachSettings) -> bool {
        if now < self.at {
            return false;
        }
        self.interval = (self.interval * 2).min(settings.max_probe_interval);
        self.at = now + self.interval;
        true
    }
}

/// Connections to reached instances, to tell a lost instance from a lost service.
#[derive(Debug, Default)]
struct Comparison {
    /// Instances to choose for it.
    wanted: usize,
    begun_at: Timestamp,
    /// Number of instances chosen.
    chosen: usize,
    pending: BTreeSet<InstanceId>,
}

impl Comparison {
    fn want(&mut self, instances: usize) {
        if self.pending.is_empty() {
            self.wanted = self.wanted.max(instances);
        }
    }
}

/// Paths to the instances of one service.
#[derive(Debug, Default)]
struct ServicePaths {
    /// Lost paths, with their next probes.
    lost: BTreeMap<InstanceId, ProbeSchedule>,
    comparison: Comparison,
    /// Set while the service is unreachable.
    outage: Option<Outage>,
    /// Instances to probe at once.
    to_probe: BTreeSet<InstanceId>,
    /// When an instance was last probed for its silence.
    silence_probed_at: Option<Timestamp>,
    /// Position in the list of instances from which the next samples are taken.
    cursor: usize,
}

#[derive(Debug)]
struct Outage {
    since: Timestamp,
    probes: ProbeSchedule,
    /// Instances connected to since the last failure.
    connected: BTreeSet<InstanceId>,
}

impl ServicePaths {
    fn is_lost(&self, instance: &InstanceId) -> bool {
        self.outage.is_some() || self.lost.contains_key(instance)
    }

    fn begin_outage(&mut self, now: Timestamp, settings: &ReachSettings) {
        self.comparison = Comparison::default();
        self.outage = Some(Outage {
            since: now,
            probes: ProbeSchedule::start(now, settings),
            connected: BTreeSet::new(),
        });
    }

    /// Returns the reached instances to connect to for comparison.
    fn take_comparisons(&mut self, now: Timestamp, known: &KnownInstances<'_>) -> Vec<InstanceId> {
        let age = now.since(self.comparison.begun_at);
        if !self.comparison.pending.is_empty() && age >= COMPARISON_LIFETIME {
            self.comparison = Comparison::default();
        }
        let wanted = std::mem::take(&mut self.comparison.wanted);
        if wanted == 0 {
            return Vec::new();
        }
        let is_reached = |paths: &ServicePaths, instance: &InstanceId| !paths.is_lost(instance);
        let chosen = self.sample(known, wanted, is_reached);
        self.comparison = Comparison {
            wanted: 0,
            begun_at: now,
            // All that are left are as conclusive as a full sample.
            chosen: match chosen.len() < wanted {
                true => usize::MAX,
                false => chosen.len(),
            },
            pending: chosen.iter().cloned().collect(),
        };
        chosen
    }

    /// Returns the next instances in turn that satisfy a condition.
    fn sample(
        &mut self,
        known: &KnownInstances<'_>,
        count: usize,
        condition: impl Fn(&Self, &InstanceId) -> bool,
    ) -> Vec<InstanceId> {
        let total = known.instances.len();
        let stride = stride(total);
        let mut sampled = Vec::new();
        for _ in 0..total {
            if sampled.len() >= count {
                break;
            }
            self.cursor = (self.cursor + stride) % total;
            let instance = known.instances[self.cursor];
            if condition(self, instance) {
                sampled.push(instance.clone());
            }
        }
        sampled
    }
}

/// Returns a step through a list of this length that visits each entry once and neighbours far
/// apart: instances that end together often are neighbours.
fn stride(total: usize) -> usize {
    let about = (total as f64 * GOLDEN_RATIO) as usize;
    let mut steps = about.max(1)..=total.max(1);
    steps.find(|step| gcd(*step, total) == 1).unwrap_or(1)
}

fn gcd(left: usize, right: usize) -> usize {
    match right {
        0 => left,
        _ => gcd(right, left % right),
    }
}

/// Paths from this gateway to all instances.
#[derive(Debug)]
pub struct Paths {
    settings: ReachSettings,
    services: BTreeMap<ServiceName, ServicePaths>,
    changes: Vec<PathChange>,
    /// Increases with each change.
    revision: u64,
    /// Offset of the samples, so that gateways do not all sample the same instances.
    offset: usize,
}

impl Paths {
    /// Creates a table in which every path works. `offset` should differ between gateways.
    pub fn new(settings: ReachSettings, offset: usize) -> Self {
        Paths {
            settings,
            offset,
            services: BTreeMap::new(),
            changes: Vec::new(),
            revision: 0,
        }
    }

    /// Returns the settings.
    pub fn settings(&self) -> &ReachSettings {
        &self.settings
    }

    /// Returns true if requests must not be sent to an instance because it is out of reach.
    pub fn is_lost(&self, service: &ServiceName, instance: &InstanceId) -> bool {
        let paths = self.services.get(service);
        paths.is_some_and(|paths| paths.is_lost(instance))
    }

    /// Returns true if no instance of a service is reached.
    pub fn is_service_lost(&self, service: &ServiceName) -> bool {
        let paths = self.services.get(service);
        paths.is_some_and(|paths| paths.outage.is_some())
    }

    /// Returns true while connections made for comparison have not shown whether a service is
    /// reached.
    pub fn is_undecided(&self, service: &ServiceName) -> bool {
        let comparison = self.services.get(service).map(|paths| &paths.comparison);
        comparison.is_some_and(|it| it.wanted > 0 || !it.pending.is_empty())
    }

    /// Returns when a service became unreachable; none if it is reached.
    pub fn lost_since(&self, service: &ServiceName) -> Option<Timestamp> {
        let outage = self.services.get(service)?.outage.as_ref()?;
        Some(outage.since)
    }

    /// Services of which no instance is reached.
    pub fn lost_services(&self) -> impl Iterator<Item = &ServiceName> {
        let lost = self.services.iter();
        lost.filter(|(_, paths)| paths.outage.is_some())
            .map(|(service, _)| service)
    }

    /// Instances with a lost path, without the others of unreachable services.
    pub fn lost_instances(&self) -> impl Iterator<Item = &InstanceId> {
        self.services.values().flat_map(|paths| paths.lost.keys())
    }

    /// Number of changes so far.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns the changes since the last call.
    pub fn take_changes(&mut self) -> Vec<PathChange> {
        std::mem::take(&mut self.changes)
    }

    /// Records a connection that was established now. `known` returns the number of instances of the
    /// service, and is called only if the service is unreachable.
    pub fn record_connected(
        &mut self,
        now: Timestamp,
        service: &ServiceName,
        instance: &InstanceId,
        known: impl FnOnce() -> usize,
    ) {
        let settings = self.settings;
        let paths = self.paths_of(service);
        paths.comparison = Comparison::default();
        let mut changes = Vec::new();
        if paths.lost.remove(instance).is_some() {
            changes.push(PathChange::InstanceReached(
                service.clone(),
                instance.clone(),
            ));
        }
        if let Some(outage) = &mut paths.outage {
            outage.connected.insert(instance.clone());
            outage.probes.at = now;
            if outage.connected.len() >= CONFIRMATIONS.min(known().max(1)) {
                let length = now.since(outage.since);
                changes.push(PathChange::ServiceReached(service.clone(), length));
                paths.outage = None;
                for probes in paths.lost.values_mut() {
                    *probes = ProbeSchedule::start(now, &settings);
                    probes.at = now;
                }
            }
        }
        self.add_changes(changes);
    }

    /// Records a connection that was refused, reset or not established in time. `known` is the
    /// number of instances of the service.
    pub fn record_failed(
        &mut self,
        now: Timestamp,
        service: &ServiceName,
        instance: &InstanceId,
        known: usize,
        failure: ConnectionFailure,
    ) {
        let settings = self.settings;
        let paths = self.paths_of(service);
        let mut changes = Vec::new();
        let is_new = !paths.lost.contains_key(instance);
        if is_new {
            let probes = ProbeSchedule::start(now, &settings);
            paths.lost.insert(instance.clone(), probes);
            changes.push(PathChange::InstanceLost(service.clone(), instance.clone()));
        }
        let was_compared = paths.comparison.pending.remove(instance);
        let all_compared_failed = was_compared && paths.comparison.pending.is_empty();
        let is_conclusive = paths.comparison.chosen >= settings.sample;
        let is_all_lost = paths.lost.len() >= known.max(1);
        if let Some(outage) = &mut paths.outage {
            outage.connected.clear();
        } else if is_all_lost || (all_compared_failed && is_conclusive) {
            paths.begin_outage(now, &settings);
            changes.push(PathChange::ServiceLost(service.clone()));
        } else if all_compared_failed {
            paths.comparison.want(settings.sample);
        } else if is_new {
            paths.comparison.want(match failure {
                ConnectionFailure::Refused => FIRST_COMPARISONS.min(settings.sample),
                ConnectionFailure::Other => settings.sample,
            });
        }
        self.add_changes(changes);
    }

    /// Records a request whose connection broke before a byte of its response: its path is probed.
    pub fn record_broken(&mut self, service: &ServiceName, instance: &InstanceId) {
        let paths = self.paths_of(service);
        if !paths.is_lost(instance) {
            paths.to_probe.insert(instance.clone());
        }
    }

    /// Records a request without a byte of a response for a long time: its path is probed, at most
    /// one per service and second, as instances may also be busy. Returns whether it is.
    pub fn record_silence(
        &mut self,
        now: Timestamp,
        service: &ServiceName,
        instance: &InstanceId,
    ) -> bool {
        let paths = self.paths_of(service);
        let recent = |at| now.since(at) < SILENCE_PROBE_INTERVAL;
        if paths.is_lost(instance) || paths.silence_probed_at.is_some_and(recent) {
            return false;
        }
        paths.silence_probed_at = Some(now);
        paths.to_probe.insert(instance.clone());
        true
    }

    /// Requests a connection to an instance.
    pub fn request_probe(&mut self, service: &ServiceName, instance: &InstanceId) {
        let paths = self.paths_of(service);
        paths.to_probe.insert(instance.clone());
    }

    /// Requests a connection to another instance of a service, which shows whether this gateway
    /// reaches any.
    pub fn request_comparison(&mut self, service: &ServiceName) {
        let paths = self.paths_of(service);
        if paths.outage.is_none() {
            paths.comparison.want(FIRST_COMPARISONS);
        }
    }

    /// Returns the instances of a service to connect to now.
    pub fn take_probes(&mut self, now: Timestamp, known: &KnownInstances<'_>) -> Vec<InstanceId> {
        let settings = self.settings;
        let Some(paths) = self.services.get_mut(known.service) else {
            return Vec::new();
        };
        paths
            .lost
            .retain(|instance, _| known.instances.contains(&instance));
        let mut probes = std::mem::take(&mut paths.to_probe);
        probes.retain(|instance| known.instances.contains(&instance));
        if known.instances.is_empty() {
            paths.comparison = Comparison::default();
            return Vec::new();
        }
        if let Some(outage) = &mut paths.outage {
            if outage.probes.take_if_due(now, &settings) {
                let untested = |paths: &ServicePaths, instance: &InstanceId| {
                    let outage = paths.outage.as_ref();
                    outage.is_none_or(|outage| !outage.connected.contains(instance))
                };
                let sampled = paths.sample(known, CONFIRMATIONS, untested);
                probes.extend(sampled);
            }
            return probes.into_iter().collect();
        }
        let due = paths.lost.iter_mut();
        let due = due.filter_map(|(instance, probes)| {
            let is_due = probes.take_if_due(now, &settings);
            is_due.then(|| instance.clone())
        });
        probes.extend(due.take(MAX_PROBES));
        probes.extend(paths.take_comparisons(now, known));
        probes.into_iter().collect()
    }

    /// Returns when the next probe is due; none while every path works.
    pub fn next_probe_at(&self) -> Option<Timestamp> {
        let due = |paths: &ServicePaths| -> Option<Timestamp> {
            if paths.comparison.wanted > 0 || !paths.to_probe.is_empty() {
                return Some(Timestamp::ZERO);
            }
            match &paths.outage {
                Some(outage) => Some(outage.probes.at),
                None => paths.lost.values().map(|probes| probes.at).min(),
            }
        };
        self.services.values().filter_map(due).min()
    }

    /// Drops the state of services that are no longer known.
    pub fn retain_services(&mut self, is_known: impl Fn(&ServiceName) -> bool) {
        let before = self.services.len();
        self.services.retain(|service, _| is_known(service));
        self.revision += u64::from(self.services.len() < before);
    }

    fn paths_of(&mut self, service: &ServiceName) -> &mut ServicePaths {
        let offset = self.offset;
        let paths = self.services.entry(service.clone());
        paths.or_insert_with(|| ServicePaths {
            cursor: offset,
            ..ServicePaths::default()
        })
    }

    fn add_changes(&mut self, changes: Vec<PathChange>) {
        self.revision += changes.len() as u64;
        self.changes.extend(changes);
    }
}
