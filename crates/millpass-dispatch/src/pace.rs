//! Relative speed of engines: how long their responses take to the first byte, compared with a
//! typical engine of the service and the same work.
//!
//! Handles engines of unequal speed, and engines slowed for a fraction of a second by other work on
//! their machine. A gateway sees few of an engine's responses, so it reports each response's time
//! relative to the constants of [`typical_millis`] to the leader, which merges the reports of all
//! gateways and returns a factor for each engine that differs from the service's median. Without
//! knowledge every factor is exactly 1, and selection is the same as with the constants alone.

use crate::dispatcher::Dispatcher;
use crate::instances::Instance;
use crate::request::{SendRecord, Ticket};
use crate::selection::ENGINE_REQUEST_COST_MS;
use crate::statements::Stated;
use millpass_proto::{
    DeploymentDocument, Duration, EnginePace, EnginePaceSample, InstanceId, ModelName, RouteSpec,
    ServiceName, Timestamp,
};
use std::collections::{BTreeMap, HashMap};

/// Time to the first byte without prompt and load: connection, scheduling and one step of the
/// batch. Keeps the ratio of short requests from being dominated by it.
const BASE_MS: f64 = 15.0;
/// Time for which a factor holds after the last update of the leader that sent it: a leader change
/// takes less.
const FACTOR_HOLD: Duration = Duration::from_secs(10);
/// Decay time of a factor that is no longer confirmed, while no leader is reachable.
const FACTOR_DECAY_SECONDS: f64 = 20.0;
/// Decay time of a stated machine time. Other work on a machine lasts for some 600 ms.
const MACHINE_DECAY_SECONDS: f64 = 0.4;
/// Time for which a machine time stated to this gateway is newer than those of other gateways,
/// which arrive with reports.
const MACHINE_HOLD: Duration = Duration::from_millis(300);
/// Range of valid times relative to the usual time, in hundredths.
const VALID_HUNDREDTHS: std::ops::RangeInclusive<u32> = 1..=10_000;
/// Bounds of a factor: the fastest and slowest that selection distinguishes.
const FACTOR_BOUNDS: (f64, f64) = (0.25, 10.0);
/// Bounds of the ratio of one response. Longer times are queueing rather than speed.
const RATIO_BOUNDS: (f64, f64) = (0.05, 20.0);
/// Least weight of a response in the average scale of its service.
const SCALE_WEIGHT: f64 = 0.05;
/// Largest step of that average by one response, as a logarithm.
const SCALE_STEP: f64 = 0.5;
/// Bounds of a model's time relative to the service's median model.
const MODEL_BOUNDS: (f64, f64) = (0.5, 2.0);
/// Of the requests that can wait, one in this many is selected as if slow engines were typical, so
/// that their speed is learned again.
const EXPLORATION_INTERVAL: u32 = 16;
/// A request can wait if its objective is this many times the shortest of its service.
const PATIENT_OBJECTIVES: u64 = 2;

/// Speed of one engine.
#[derive(Debug)]
pub(crate) struct EngineSpeed {
    /// Time relative to the service's median, as last received from the leader.
    relative: f64,
    /// Term of that leader, and when its last update arrived.
    relative_term: u64,
    relative_at: Timestamp,
    /// Time relative to the usual time of its machine, from a response or from the leader.
    machine: f64,
    machine_at: Timestamp,
    /// Responses since the last report, and the sum of the logarithms of their ratios.
    samples: u32,
    log_sum: f64,
    /// Stated machine times since the last report, and the sum of their logarithms.
    machine_samples: u32,
    machine_log_sum: f64,
    malformed_reported: bool,
}

impl Default for EngineSpeed {
    fn default() -> Self {
        EngineSpeed {
            relative: 1.0,
            relative_term: 0,
            relative_at: Timestamp::ZERO,
            machine: 1.0,
            machine_at: Timestamp::ZERO,
            samples: 0,
            log_sum: 0.0,
            machine_samples: 0,
            machine_log_sum: 0.0,
            malformed_reported: false,
        }
    }
}

impl EngineSpeed {
    /// Returns the current time relative to the service's median; 2.0 takes twice as long.
    pub(crate) fn factor(&self, now: Timestamp) -> f64 {
        if self.relative == 1.0 && self.machine == 1.0 {
            return 1.0;
        }
        let factor = self.relative(now) * self.machine(now);
        factor.clamp(FACTOR_BOUNDS.0, FACTOR_BOUNDS.1)
    }

    /// Returns the lasting part of the factor.
    fn relative(&self, now: Timestamp) -> f64 {
        let age = now.since(self.relative_at + FACTOR_HOLD).as_secs_f64();
        1.0 + (self.relative - 1.0) * (-age / FACTOR_DECAY_SECONDS).exp()
    }

    fn machine(&self, now: Timestamp) -> f64 {
        let age = now.since(self.machine_at).as_secs_f64();
        1.0 + (self.machine - 1.0) * (-age / MACHINE_DECAY_SECONDS).exp()
    }

    fn set_machine(&mut self, now: Timestamp, hundredths: u32) {
        let time = f64::from(hundredths) / 100.0;
        self.machine = time.clamp(FACTOR_BOUNDS.0, FACTOR_BOUNDS.1);
        self.machine_at = now;
    }

    /// Records the machine time stated in a response. Returns true if it is malformed for the
    /// first time.
    pub(crate) fn record_machine_time(&mut self, now: Timestamp, stated: Stated<u32>) -> bool {
        match stated {
            Stated::Missing => false,
            Stated::Value(hundredths) if VALID_HUNDREDTHS.contains(&hundredths) => {
                self.set_machine(now, hundredths);
                self.machine_samples += 1;
                self.machine_log_sum += (f64::from(hundredths) / 100.0).ln();
                false
            }
            Stated::Value(_) | Stated::Malformed => {
                !std::mem::replace(&mut self.malformed_reported, true)
            }
        }
    }

    fn record_ratio(&mut self, ratio: f64) {
        self.samples += 1;
        self.log_sum += ratio.ln();
    }

    /// Applies a factor of the leader. Values out of range are ignored.
    pub(crate) fn apply(&mut self, now: Timestamp, term: u64, pace: &EnginePace) {
        if VALID_HUNDREDTHS.contains(&pace.relative_time) {
            let relative = f64::from(pace.relative_time) / 100.0;
            self.relative = relative.clamp(FACTOR_BOUNDS.0, FACTOR_BOUNDS.1);
            self.relative_term = term;
            self.relative_at = now;
        }
        let has_own = now.since(self.machine_at) < MACHINE_HOLD;
        if VALID_HUNDREDTHS.contains(&pace.machine_time) && !has_own {
            self.set_machine(now, pace.machine_time);
        }
    }

    /// Records an update of a leader, which confirms the factor if that leader sent it.
    pub(crate) fn confirm(&mut self, now: Timestamp, term: u64) {
        if self.relative_term == term {
            self.relative_at = now;
        }
    }

    /// Returns what was learned since the last report.
    pub(crate) fn take_sample(&mut self, instance: &InstanceId) -> Option<EnginePaceSample> {
        if self.samples == 0 && self.machine_samples == 0 {
            return None;
        }
        let mean = |count: u32, log_sum: f64| match count {
            0 => 0,
            count => ((log_sum / f64::from(count)).exp() * 100.0).round() as u32,
        };
        let sample = EnginePaceSample {
            instance: instance.clone(),
            samples: self.samples,
            relative_time: mean(self.samples, self.log_sum),
            machine_time: mean(self.machine_samples, self.machine_log_sum),
        };
        self.samples = 0;
        self.log_sum = 0.0;
        self.machine_samples = 0;
        self.machine_log_sum = 0.0;
        Some(sample)
    }
}

/// Time to the first byte at a typical engine by the constants, in milliseconds. `model` is the
/// time of the model relative to the service's median one.
fn typical_millis(rate: f64, model: f64, unread_tokens: f64, load: f64) -> f64 {
    BASE_MS + model * (unread_tokens / rate + load * ENGINE_REQUEST_COST_MS)
}

/// What a gateway knows of a service for estimates.
#[derive(Debug, Default)]
struct ServicePace {
    /// Time of each model relative to the median one. Reading a prompt takes time in proportion to
    /// the size of the weights.
    models: HashMap<ModelName, f64>,
    /// Shortest objective of its routes in milliseconds; 0 if none has one.
    shortest_objective: u64,
    /// Priority of its most urgent route.
    first_priority: u32,
    /// Logarithm of the observed times relative to the constants, over all engines.
    scale: f64,
    samples: u32,
}

/// State for estimates that engines share.
#[derive(Debug, Default)]
pub(crate) struct PaceTable {
    services: BTreeMap<ServiceName, ServicePace>,
    /// Requests that can wait since the last exploration.
    patient_requests: u32,
    /// Instances that stated a malformed machine time, to be logged.
    malformed: Vec<InstanceId>,
}

impl PaceTable {
    /// Applies a document; what was learned of a service is kept.
    pub(crate) fn apply_document(&mut self, document: &DeploymentDocument) {
        let mut before = std::mem::take(&mut self.services);
        for service in &document.services {
            let Some(engine) = &service.engine else {
                continue;
            };
            let mut pace = before.remove(&service.name).unwrap_or_default();
            let mut sizes: Vec<u64> = engine
                .models
                .iter()
                .map(|it| it.weights_kilobytes)
                .collect();
            sizes.sort_unstable();
            let median = sizes.get(sizes.len() / 2).copied().unwrap_or(1).max(1) as f64;
            pace.models = engine
                .models
                .iter()
                .map(|model| {
                    let relative = model.weights_kilobytes as f64 / median;
                    let relative = relative.clamp(MODEL_BOUNDS.0, MODEL_BOUNDS.1);
                    (model.name.clone(), relative)
                })
                .collect();
            let routes = || {
                let serves = |route: &&RouteSpec| {
                    let mut targets = route.targets.iter();
                    targets.any(|target| target.service == service.name)
                };
                document.routes.iter().filter(serves)
            };
            let objectives = routes().map(|route| route.objective_millis);
            let shortest = objectives.filter(|millis| *millis > 0).min();
            pace.shortest_objective = shortest.unwrap_or(0);
            pace.first_priority = routes().map(|route| route.priority).min().unwrap_or(0);
            self.services.insert(service.name.clone(), pace);
        }
    }

    fn model(&self, service: &ServiceName, model: Option<&ModelName>) -> f64 {
        let relative = || self.services.get(service)?.models.get(model?).copied();
        relative().unwrap_or(1.0)
    }

    /// Returns the observed times relative to the constants, over all engines of a service.
    fn scale(&self, service: &ServiceName) -> f64 {
        let pace = self.services.get(service);
        pace.map_or(1.0, |pace| pace.scale.exp())
    }

    /// Returns true if a request can wait: its route is less urgent than others of its service.
    fn is_patient(&self, service: &ServiceName, route: &RouteSpec) -> bool {
        self.services.get(service).is_some_and(|pace| {
            let long_objective = pace.shortest_objective > 0
                && (route.objective_millis == 0
                    || route.objective_millis >= PATIENT_OBJECTIVES * pace.shortest_objective);
            long_objective || route.priority > pace.first_priority
        })
    }

    /// Returns whether a new request is selected as if slow engines were typical. Urgent requests
    /// never are.
    pub(crate) fn explores(&mut self, service: &ServiceName, route: &RouteSpec) -> bool {
        if !self.is_patient(service, route) {
            return false;
        }
        self.patient_requests = (self.patient_requests + 1) % EXPLORATION_INTERVAL;
        self.patient_requests == 0
    }

    fn record_scale(&mut self, service: &ServiceName, log_ratio: f64) {
        let Some(pace) = self.services.get_mut(service) else {
            return;
        };
        pace.samples = pace.samples.saturating_add(1);
        let weight = (1.0 / f64::from(pace.samples)).max(SCALE_WEIGHT);
        pace.scale += (log_ratio - pace.scale).clamp(-SCALE_STEP, SCALE_STEP) * weight;
    }
}

impl Dispatcher {
    /// Records the time to the first byte of a successful response. Must be called at most once
    /// per send.
    pub fn record_first_byte(&mut self, now: Timestamp, record: &SendRecord, time: Duration) {
        let Some(found) = self.instances.get_mut(&record.instance) else {
            return;
        };
        if record.typical_millis <= 0.0 {
            return;
        }
        let ratio = time.as_secs_f64() * 1_000.0 / record.typical_millis;
        let ratio = ratio.clamp(RATIO_BOUNDS.0, RATIO_BOUNDS.1);
        found.speed.record_ratio(ratio);
        let log_ratio = (ratio / found.speed.factor(now)).ln();
        self.pace.record_scale(&record.service, log_ratio);
    }

    /// Returns the current time of an engine relative to its service's median: 1.0 if nothing else
    /// is known, 2.0 if it takes twice as long.
    pub fn pace_factor(&self, now: Timestamp, instance: &InstanceId) -> f64 {
        let found = self.instances.get(instance);
        found.map_or(1.0, |found| found.speed.factor(now))
    }

    /// Estimates the time to the first byte of a request with this many prompt tokens that are not
    /// in the engine's prefix cache, sent to an engine with this many requests in its batch. Time
    /// in the engine's queue is not included.
    pub fn expected_first_byte(
        &self,
        now: Timestamp,
        instance: &InstanceId,
        unread_tokens: u32,
        load: f64,
    ) -> Duration {
        let Some(found) = self.instances.get(instance) else {
            return Duration::ZERO;
        };
        let rate = self.settings.prompt_tokens_per_milli;
        let typical = typical_millis(rate, 1.0, f64::from(unread_tokens), load);
        let scale = self.pace.scale(&found.record.service);
        Duration::from_secs_f64(typical * scale * found.speed.factor(now) / 1_000.0)
    }

    /// Time to the first byte at a typical engine, in milliseconds, of a send that begins now.
    pub(crate) fn typical_first_byte(
        &self,
        now: Timestamp,
        ticket: &Ticket,
        instance: &Instance,
        unread_tokens: u32,
    ) -> f64 {
        let rate = self.settings.prompt_tokens_per_milli;
        let model = self
            .pace
            .model(&ticket.service, ticket.description.model.as_ref());
        let reading = instance.prefill_until.since(now).as_secs_f64() * 1_000.0;
        let reading = reading / instance.speed.factor(now);
        reading + typical_millis(rate, model, f64::from(unread_tokens), instance.load(now))
    }

    /// Returns the slowest known factor and the number of instances whose factor is not 1.
    pub fn pace_summary(&self, now: Timestamp) -> (f64, usize) {
        let factors = self.instances.values().map(|it| it.speed.factor(now));
        let known = factors.filter(|factor| *factor != 1.0);
        known.fold((1.0, 0), |(slowest, count), factor| {
            (factor.max(slowest), count + 1)
        })
    }

    /// Returns the instances that stated a malformed machine time for the first time.
    pub fn take_malformed_loads(&mut self) -> Vec<InstanceId> {
        std::mem::take(&mut self.pace.malformed)
    }

    pub(crate) fn record_machine_time(
        &mut self,
        now: Timestamp,
        instance: &InstanceId,
        stated: Stated<u32>,
    ) {
        let found = self.instances.get_mut(instance);
        if found.is_some_and(|found| found.speed.record_machine_time(now, stated)) {
            self.pace.malformed.push(instance.clone());
        }
    }

    pub(crate) fn pace_samples(&mut self) -> Vec<EnginePaceSample> {
        let instances = self.instances.iter_mut();
        instances
            .filter_map(|(id, instance)| instance.speed.take_sample(id))
            .collect()
    }
}
