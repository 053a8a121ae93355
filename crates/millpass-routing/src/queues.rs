//! Queues of waiting requests: one per model, adapter and version, or per web group. Within a queue
//! requests are ordered by urgency, then fairly by tenant weight.
//!
//! Fairness is start-time fair queueing: each tenant has a virtual start time, the smallest is
//! served first, and each dispatch advances it by the inverse of the tenant's weight. A tenant that
//! was idle restarts at the current virtual time, so it cannot accumulate credit.

use crate::interface::RequestNumber;
use crate::request::Request;
use millpass_proto::{
    AdapterName, GroupName, ModelName, TenantName, Timestamp, Urgency, VersionLabel,
};
use std::collections::{BTreeMap, BTreeSet};

/// Virtual time per dispatch of a tenant with weight 1.
const DISPATCH_COST: u64 = 1 << 20;
/// Idle tenants that are always kept per urgency level.
const MINIMUM_IDLE_TENANTS: usize = 16;
const LEVELS: usize = 3;

/// Model or web group that serves the requests of a queue.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum QueueKey {
    /// A replica of a model.
    Model {
        model: ModelName,
        /// Adapter that must be loaded.
        adapter: Option<AdapterName>,
        /// Version that a resumed stream requires.
        version: Option<VersionLabel>,
    },
    /// A web backend of a group.
    Web(GroupName),
}

impl QueueKey {
    /// Returns true if both queues use the same model or web group.
    fn same_service(&self, other: &QueueKey) -> bool {
        match (self, other) {
            (QueueKey::Model { model, .. }, QueueKey::Model { model: other, .. }) => model == other,
            (QueueKey::Web(group), QueueKey::Web(other)) => group == other,
            _ => false,
        }
    }

    /// Returns true if both queues use the same model and adapter.
    fn same_adapter(&self, other: &QueueKey) -> bool {
        let adapter_of = |key: &QueueKey| match key {
            QueueKey::Model { adapter, .. } => adapter.clone(),
            QueueKey::Web(_) => None,
        };
        self.same_service(other) && adapter_of(self) == adapter_of(other)
    }

    /// Returns the smallest key of the same model or group.
    fn first_of_service(&self) -> QueueKey {
        match self {
            QueueKey::Model { model, .. } => QueueKey::Model {
                model: model.clone(),
                adapter: None,
                version: None,
            },
            QueueKey::Web(group) => QueueKey::Web(group.clone()),
        }
    }
}

/// Index of an urgency; 0 is the most urgent.
fn level_of(urgency: Urgency) -> usize {
    urgency as usize
}

/// Waiting requests of one tenant at one level.
#[derive(Debug)]
struct TenantQueue {
    start: u64,
    weight: u32,
    waiting: BTreeSet<RequestNumber>,
}

/// Fair queue of one urgency level.
#[derive(Debug, Default)]
struct FairLevel {
    virtual_time: u64,
    tenants: BTreeMap<TenantName, TenantQueue>,
    order: BTreeSet<(u64, TenantName)>,
}

impl FairLevel {
    fn push(&mut self, tenant: &TenantName, weight: u32, number: RequestNumber) {
        let virtual_time = self.virtual_time;
        let queue = self.tenants.entry(tenant.clone()).or_insert(TenantQueue {
            start: virtual_time,
            weight: 1,
            waiting: BTreeSet::new(),
        });
        queue.weight = weight.max(1);
        if queue.waiting.is_empty() {
            queue.start = queue.start.max(virtual_time);
            self.order.insert((queue.start, tenant.clone()));
        }
        queue.waiting.insert(number);
    }

    fn first(&self) -> Option<RequestNumber> {
        let (_, tenant) = self.order.first()?;
        self.tenants.get(tenant)?.waiting.first().copied()
    }

    /// Removes a request; `charge` advances the tenant's start time.
    fn remove(&mut self, tenant: &TenantName, number: RequestNumber, charge: bool) {
        let Some(queue) = self.tenants.get_mut(tenant) else {
            return;
        };
        if !queue.waiting.remove(&number) {
            return;
        }
        self.order.remove(&(queue.start, tenant.clone()));
        if charge {
            self.virtual_time = self.virtual_time.max(queue.start);
            queue.start += DISPATCH_COST / u64::from(queue.weight);
        }
        if queue.waiting.is_empty() {
            self.evict_idle();
        } else {
            self.order.insert((queue.start, tenant.clone()));
        }
    }

    /// Drops idle tenants whose start time has passed, which bounds the table. Runs only when idle
    /// tenants outnumber the others, so that its cost is amortized.
    fn evict_idle(&mut self) {
        if self.tenants.len() <= 2 * self.order.len() + MINIMUM_IDLE_TENANTS {
            return;
        }
        let virtual_time = self.virtual_time;
        self.tenants
            .retain(|_, queue| !queue.waiting.is_empty() || queue.start > virtual_time);
    }
}

#[derive(Debug, Default)]
struct Queue {
    levels: [FairLevel; LEVELS],
    members: BTreeSet<RequestNumber>,
    deadlines: BTreeSet<(Timestamp, RequestNumber)>,
}

impl Queue {
    /// Returns the next request to dispatch and its level.
    fn first(&self) -> Option<(usize, RequestNumber)> {
        let levels = self.levels.iter().enumerate();
        let mut first_requests = levels.filter_map(|(level, queue)| Some((level, queue.first()?)));
        first_requests.next()
    }
}

/// All queues; empty ones are removed.
#[derive(Debug, Default)]
pub(crate) struct Queues {
    queues: BTreeMap<QueueKey, Queue>,
}

impl Queues {
    /// Adds a request to its queue.
    pub fn push(&mut self, request: &Request, weight: u32) {
        let queue = self.queues.entry(request.queue.clone()).or_default();
        let level = &mut queue.levels[level_of(request.urgency)];
        level.push(&request.tenant, weight, request.number);
        queue.members.insert(request.number);
        queue.deadlines.insert((request.deadline, request.number));
    }

    /// Removes a request from its queue; `charge` is set if it is dispatched.
    pub fn remove(&mut self, request: &Request, charge: bool) {
        let Some(queue) = self.queues.get_mut(&request.queue) else {
            return;
        };
        let level = &mut queue.levels[level_of(request.urgency)];
        level.remove(&request.tenant, request.number, charge);
        queue.members.remove(&request.number);
        queue.deadlines.remove(&(request.deadline, request.number));
        if queue.members.is_empty() {
            self.queues.remove(&request.queue);
        }
    }

    pub fn is_empty(&self, key: &QueueKey) -> bool {
        !self.queues.contains_key(key)
    }

    /// Keys of the non-empty queues.
    pub fn keys(&self) -> impl Iterator<Item = &QueueKey> {
        self.queues.keys()
    }

    /// Among the queues of the same model or group that are not in `excluded`, returns the one with
    /// the most urgent (then oldest) next request, and that request.
    pub fn next_of_service(
        &self,
        key: &QueueKey,
        excluded: &[QueueKey],
    ) -> Option<(QueueKey, RequestNumber)> {
        let queues = self
            .queues
            .range(key.first_of_service()..)
            .take_while(|(candidate, _)| candidate.same_service(key))
            .filter(|(candidate, _)| !excluded.contains(candidate));
        let first_requests =
            queues.filter_map(|(candidate, queue)| Some((queue.first()?, candidate)));
        let ((_, number), best) = first_requests.min()?;
        Some((best.clone(), number))
    }

    /// Returns the queues of the same model and adapter, for all versions.
    pub fn versions_of(&self, key: &QueueKey) -> Vec<QueueKey> {
        let queues = self.queues.range(key..).map(|(candidate, _)| candidate);
        queues
            .take_while(|candidate| candidate.same_adapter(key))
            .cloned()
            .collect()
    }

    /// Returns the requests of a queue with a deadline before `time`.
    pub fn due_before(&self, key: &QueueKey, time: Timestamp) -> Vec<RequestNumber> {
        let queue = self.queues.get(key).into_iter();
        let deadlines = queue.flat_map(|queue| queue.deadlines.iter());
        deadlines
            .take_while(|(deadline, _)| *deadline < time)
            .map(|(_, number)| *number)
            .collect()
    }

    /// Requests of a queue, oldest first.
    pub fn members(&self, key: &QueueKey) -> impl Iterator<Item = RequestNumber> {
        let queue = self.queues.get(key).into_iter();
        queue.flat_map(|queue| queue.members.iter().copied())
    }

    pub fn len(&self, key: &QueueKey) -> usize {
        self.queues.get(key).map_or(0, |queue| queue.members.len())
    }

    /// Most urgent level with a waiting request.
    pub fn most_urgent(&self, key: &QueueKey) -> Option<Urgency> {
        let (level, _) = self.queues.get(key)?.first()?;
        Some(match level {
            0 => Urgency::Interactive,
            1 => Urgency::Normal,
            _ => Urgency::Batch,
        })
    }
}
