//! Decides when a gateway is sent an update, and what it contains.
//!
//! Load handled: above 16 gateways, each is sent everything that changed, coalesced to its latest
//! state, at a regular interval that bounds the leader's work. At 40 model swaps a second every
//! gateway of a contended fleet lacks some model at all times, and an update for each change would
//! cost each of them 80 updates a second. Before the interval has elapsed a gateway is therefore sent
//! only what decides about its own requests:
//!
//! - to a gateway that reported unmet demand: an instance that now serves a reported model or
//!   adapter, and a new or moved ready estimate of one, because requests wait for it;
//! - to any gateway: an instance that ceases to serve a model that the gateway used recently, because
//!   requests sent there would be rejected;
//! - to a gateway that reported unmet demand: everything, if a document, a departure, a first update
//!   or the completion of the leader's list is outstanding. These are rare.

use millpass_proto::{
    AdapterName, Duration, GatewayModelDemand, HeldModel, InstanceId, InstanceRecord, ModelName,
    ServiceName, Timestamp,
};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::hash::{DefaultHasher, Hash, Hasher};

/// Time for which reported unmet demand counts. Gateways repeat the report while requests wait.
const UNMET_PERIOD: Duration = Duration::from_millis(1_000);
/// Time after a report for which its models count as used; several intervals of periodic reports.
const USE_PERIOD: Duration = Duration::from_millis(1_000);
/// Minimum interval between updates for ready estimates only. The estimates of models that wait for
/// an engine move in every planning round, and callers decide by them for seconds.
const ESTIMATE_INTERVAL: Duration = Duration::from_millis(50);
/// Content changes in one pass above which none is sent early. So many occur when a leader starts or
/// a zone reconnects, and comparing them with the demand of each gateway would take longer than the
/// regular interval.
const MAX_EARLY_CHANGES: usize = 256;

/// Hash of a model, or a model with an adapter. A collision causes an early update without need.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) struct KeyHash(u64);

impl KeyHash {
    pub(crate) fn model(service: &ServiceName, model: &ModelName) -> Self {
        Self::new(service, model, None)
    }

    fn new(service: &ServiceName, model: &ModelName, adapter: Option<&AdapterName>) -> Self {
        let mut hasher = DefaultHasher::new();
        (service, model, adapter).hash(&mut hasher);
        KeyHash(hasher.finish())
    }
}

/// A model or adapter that an instance began or ceased to serve.
#[derive(Clone, Debug)]
pub(crate) struct ContentChange {
    pub(crate) instance: InstanceId,
    pub(crate) key: KeyHash,
    /// Whether it is served now.
    pub(crate) is_served: bool,
    /// Revision of the instance's record.
    pub(crate) revision: u64,
}

/// Appends the differences between the models of a record and its previous ones.
pub(crate) fn content_changes(
    record: &InstanceRecord,
    previous: &[HeldModel],
    revision: u64,
    changes: &mut Vec<ContentChange>,
) {
    let keys = |models: &[HeldModel]| -> BTreeSet<KeyHash> {
        let service = &record.service;
        let adapters = models.iter().flat_map(|held| {
            let adapters = held.adapters.iter();
            adapters.map(|adapter| KeyHash::new(service, &held.model, Some(adapter)))
        });
        let bases = models
            .iter()
            .map(|held| KeyHash::model(service, &held.model));
        bases.chain(adapters).collect()
    };
    let before = keys(previous);
    let after = keys(&record.models);
    changes.extend(
        before
            .symmetric_difference(&after)
            .map(|key| ContentChange {
                instance: record.instance.clone(),
                key: *key,
                is_served: after.contains(key),
                revision,
            }),
    );
}

/// What an update contains.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Scope {
    /// Only what was recorded as concerning the gateway.
    Concerning,
    /// Everything that changed.
    Everything,
}

/// Minimum intervals between updates of one gateway; zero without throttling.
#[derive(Clone, Copy, Debug)]
pub(crate) struct UpdateIntervals {
    /// Interval of updates with everything.
    pub(crate) regular: Duration,
    /// Interval while something required is outstanding.
    pub(crate) required: Duration,
}

/// What a gateway has not been sent.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Outstanding {
    /// Any change, or a response to a report.
    pub(crate) any: bool,
    /// A document, a departure, the first update or the completion of the leader's list.
    pub(crate) required: bool,
}

/// Latest instance that began to serve each model, for gateways that report demand for it later.
#[derive(Default)]
pub(crate) struct LatestHolders {
    by_key: HashMap<KeyHash, (u64, InstanceId)>,
}

impl LatestHolders {
    /// Keys kept. When exceeded, all are dropped: the changes still arrive at the regular interval.
    const MAX_KEYS: usize = 16_384;

    pub(crate) fn record(&mut self, changes: &[ContentChange]) {
        for change in changes.iter().filter(|change| change.is_served) {
            if self.by_key.len() >= Self::MAX_KEYS {
                self.by_key.clear();
            }
            let latest = (change.revision, change.instance.clone());
            self.by_key.insert(change.key, latest);
        }
    }

    /// Returns an instance that began to serve this key after a revision.
    fn since(&self, key: KeyHash, revision: u64) -> Option<&InstanceId> {
        let (began, instance) = self.by_key.get(&key)?;
        (*began > revision).then_some(instance)
    }
}

/// Demand of one gateway, and what concerns it and was not sent.
#[derive(Default)]
pub(crate) struct UpdateSchedule {
    /// When everything was last sent.
    sent_at: Timestamp,
    /// Models and adapters with unmet demand, and until when it counts.
    unmet: HashMap<KeyHash, Timestamp>,
    /// Models and adapters used, and until when they count.
    used: HashMap<KeyHash, Timestamp>,
    urgent_until: Timestamp,
    instances: BTreeSet<InstanceId>,
    estimates: BTreeSet<KeyHash>,
    estimates_sent_at: Timestamp,
    /// Instances sent since everything was, with the revision of their records.
    sent_early: BTreeMap<InstanceId, u64>,
}

impl UpdateSchedule {
    /// Records the demand in a report. Returns the keys that had no unmet demand before.
    pub(crate) fn record_demand(
        &mut self,
        now: Timestamp,
        reported: &[GatewayModelDemand],
    ) -> Vec<KeyHash> {
        self.unmet.retain(|_, until| now < *until);
        self.used.retain(|_, until| now < *until);
        let mut new = Vec::new();
        for demand in reported {
            let adapter = demand.adapter.as_ref();
            // The model is needed before its adapter.
            let model = KeyHash::model(&demand.service, &demand.model);
            let with_adapter =
                adapter.map(|adapter| KeyHash::new(&demand.service, &demand.model, Some(adapter)));
            for key in std::iter::once(model).chain(with_adapter) {
                if demand.arrivals > 0 || demand.in_flight > 0 {
                    self.used.insert(key, now + USE_PERIOD);
                }
                if demand.unserved > 0 {
                    self.urgent_until = now + UNMET_PERIOD;
                    if self.unmet.insert(key, self.urgent_until).is_none() {
                        new.push(key);
                    }
                }
            }
        }
        new
    }

    /// Records what the gateway was not sent before it reported unmet demand for these keys.
    pub(crate) fn record_unsent(
        &mut self,
        new: &[KeyHash],
        holders: &LatestHolders,
        sent_revision: u64,
        has_unsent_estimate: impl Fn(KeyHash) -> bool,
    ) {
        let instances = new
            .iter()
            .filter_map(|key| holders.since(*key, sent_revision));
        self.instances.extend(instances.cloned());
        let estimates = new.iter().filter(|key| has_unsent_estimate(**key));
        self.estimates.extend(estimates.copied());
    }

    /// Returns the time until which unmet demand counts.
    pub(crate) fn urgent_until(&self) -> Timestamp {
        self.urgent_until
    }

    /// Records changes since the last pass, as far as they concern the gateway.
    pub(crate) fn record_changes(
        &mut self,
        now: Timestamp,
        changes: &[ContentChange],
        moved_estimates: &BTreeSet<KeyHash>,
    ) {
        let counts = |keys: &HashMap<KeyHash, Timestamp>, key: &KeyHash| {
            keys.get(key).is_some_and(|until| now < *until)
        };
        if changes.len() <= MAX_EARLY_CHANGES {
            for change in changes {
                let concerned = match change.is_served {
                    true => &self.unmet,
                    false => &self.used,
                };
                if counts(concerned, &change.key) {
                    self.instances.insert(change.instance.clone());
                }
            }
        }
        for (key, until) in &self.unmet {
            if now < *until && moved_estimates.contains(key) {
                self.estimates.insert(*key);
            }
        }
    }

    /// Decides whether an update is due, and what it contains.
    pub(crate) fn due(
        &self,
        now: Timestamp,
        intervals: UpdateIntervals,
        outstanding: Outstanding,
    ) -> Option<Scope> {
        let is_urgent = now < self.urgent_until;
        let elapsed = now.since(self.sent_at);
        let required_due = is_urgent || elapsed >= intervals.required;
        let everything_due = elapsed >= intervals.regular || (outstanding.required && required_due);
        if outstanding.any && everything_due {
            return Some(Scope::Everything);
        }
        // Without a regular interval, moved estimates only accompany other changes.
        let estimates_due = !self.estimates.is_empty()
            && is_urgent
            && intervals.regular > Duration::ZERO
            && now.since(self.estimates_sent_at) >= ESTIMATE_INTERVAL;
        let is_early = !self.instances.is_empty() || estimates_due;
        // An update states the index of the log, so that it must include an outstanding departure.
        is_early.then_some(match outstanding.required {
            true => Scope::Everything,
            false => Scope::Concerning,
        })
    }

    /// Returns the instances that concern the gateway and were not sent, and marks them as sent.
    pub(crate) fn take_instances(
        &mut self,
        revision_of: impl Fn(&InstanceId) -> Option<u64>,
    ) -> Vec<InstanceId> {
        let instances = std::mem::take(&mut self.instances);
        for instance in &instances {
            if let Some(revision) = revision_of(instance) {
                self.sent_early.insert(instance.clone(), revision);
            }
        }
        instances.into_iter().collect()
    }

    /// Returns the models whose estimates concern the gateway and were not sent, and marks them as
    /// sent.
    pub(crate) fn take_estimates(&mut self, now: Timestamp) -> BTreeSet<KeyHash> {
        if !self.estimates.is_empty() {
            self.estimates_sent_at = now;
        }
        std::mem::take(&mut self.estimates)
    }

    /// Returns whether this revision of an instance was sent since everything was.
    pub(crate) fn was_sent_early(&self, instance: &InstanceId, revision: u64) -> bool {
        self.sent_early.get(instance) == Some(&revision)
    }

    /// Records that everything is sent now.
    pub(crate) fn record_everything_sent(&mut self, now: Timestamp) {
        self.sent_at = now;
        self.instances.clear();
        self.estimates.clear();
        self.sent_early.clear();
    }
}
