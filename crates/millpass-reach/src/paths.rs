//! Paths from this gateway to instances.
//!
//! A path is lost once a connection fails. A service is unreachable once connections to several of
//! its instances failed and none has succeeded since: its other instances are then not tried one by
//! one. Probes, not requests, find out when a path works again.

use millpass_proto::{Duration, InstanceId, ServiceName, Timestamp};
use std::collections::{BTreeMap, BTreeSet};

/// Instances that must be connected to before an unreachable service is used again.
const CONFIRMATIONS: usize = 2;
/// Lost instances probed at once, per service.
const MAX_PROBES: usize = 4;
/// Time after a probe of a silent instance in which no further one is probed for silence.
const SILENCE_PROBE_INTERVAL: Duration = Duration::from_millis(1_000);

/// When a path counts as lost, and how often it is probed.
#[derive(Clone, Copy, Debug)]
pub struct ReachSettings {
    /// Time between the first probes of a lost path; doubled with each further one.
    pub probe_interval: Duration,
    /// Longest time between two probes.
    pub max_probe_interval: Duration,
    /// Instances of a service whose connections must fail before the service is unreachable.
    pub sample: usize,
    /// Time without a byte of a response after which the path of a request is probed.
    pub silence: Duration,
}

impl Default for ReachSettings {
    fn default() -> Self {
        ReachSettings {
            probe_interval: Duration::from_millis(200),
            max_probe_interval: Duration::from_millis(1_000),
            sample: 3,
            silence: Duration::from_millis(1_000),
        }
    }
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

#[derive(Debug)]
struct LostPath {
    failed_at: Timestamp,
    probes: ProbeSchedule,
}

/// Paths to the instances of one service.
#[derive(Debug, Default)]
struct ServicePaths {
    lost: BTreeMap<InstanceId, LostPath>,
    /// Last successful connection to any instance.
    connected_at: Option<Timestamp>,
    /// Set while the service is unreachable.
    outage: Option<Outage>,
    /// Instances to probe at once.
    to_probe: BTreeSet<InstanceId>,
    /// Reached instances to probe at once, to tell a lost instance from a lost service.
    samples_wanted: usize,
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

    /// Number of instances whose connections failed since the last successful one.
    fn failed_since_contact(&self) -> usize {
        let failed = self.lost.values();
        let is_later = |lost: &&LostPath| self.connected_at.is_none_or(|at| lost.failed_at >= at);
        failed.filter(is_later).count()
    }

    /// Returns the next instances in turn that satisfy a condition.
    fn sample(
        &mut self,
        known: &KnownInstances<'_>,
        count: usize,
        condition: impl Fn(&Self, &InstanceId) -> bool,
    ) -> Vec<InstanceId> {
        let total = known.instances.len();
        let mut sampled = Vec::new();
        for _ in 0..total {
            if sampled.len() >= count {
                break;
            }
            self.cursor = (self.cursor + 1) % total;
            let instance = known.instances[self.cursor];
            if condition(self, instance) {
                sampled.push(instance.clone());
            }
        }
        sampled
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
        paths.connected_at = Some(now);
        paths.samples_wanted = 0;
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
                for lost in paths.lost.values_mut() {
                    lost.probes = ProbeSchedule::start(now, &settings);
                    lost.probes.at = now;
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
    ) {
        let settings = self.settings;
        let paths = self.paths_of(service);
        let mut changes = Vec::new();
        match paths.lost.get_mut(instance) {
            Some(lost) => lost.failed_at = now,
            None => {
                let lost = LostPath {
                    failed_at: now,
                    probes: ProbeSchedule::start(now, &settings),
                };
                paths.lost.insert(instance.clone(), lost);
                changes.push(PathChange::InstanceLost(service.clone(), instance.clone()));
            }
        }
        let failed = paths.failed_since_contact();
        match &mut paths.outage {
            Some(outage) => outage.connected.clear(),
            None if failed >= settings.sample.clamp(1, known.max(1)) => {
                paths.outage = Some(Outage {
                    since: now,
                    probes: ProbeSchedule::start(now, &settings),
                    connected: BTreeSet::new(),
                });
                paths.samples_wanted = 0;
                changes.push(PathChange::ServiceLost(service.clone()));
            }
            None => paths.samples_wanted = settings.sample,
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

    /// Requests connections to other instances of a service, which show whether this gateway
    /// reaches any.
    pub fn request_samples(&mut self, service: &ServiceName) {
        let sample = self.settings.sample;
        let paths = self.paths_of(service);
        if paths.outage.is_none() {
            paths.samples_wanted = sample;
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
            paths.samples_wanted = 0;
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
        let due = due.filter_map(|(instance, lost)| {
            let is_due = lost.probes.take_if_due(now, &settings);
            is_due.then(|| instance.clone())
        });
        probes.extend(due.take(MAX_PROBES));
        let wanted = std::mem::take(&mut paths.samples_wanted);
        if wanted > 0 {
            let is_reached = |paths: &ServicePaths, instance: &InstanceId| !paths.is_lost(instance);
            probes.extend(paths.sample(known, wanted, is_reached));
        }
        probes.into_iter().collect()
    }

    /// Returns when the next probe is due; none while every path works.
    pub fn next_probe_at(&self) -> Option<Timestamp> {
        let due = |paths: &ServicePaths| -> Option<Timestamp> {
            if paths.samples_wanted > 0 || !paths.to_probe.is_empty() {
                return Some(Timestamp::ZERO);
            }
            match &paths.outage {
                Some(outage) => Some(outage.probes.at),
                None => paths.lost.values().map(|lost| lost.probes.at).min(),
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
