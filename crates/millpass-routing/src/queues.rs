//! Requests that wait for a place: a queue for each model (with adapter) and web group, by
//! urgency, and within an urgency fair by tenant weight.
//!
//! Fairness is start-time fair queueing: each tenant has a virtual start time, the smallest goes
//! first, and a dispatch moves it on by the inverse of the tenant's weight. A tenant that comes
//! back after a pause starts at the current virtual time: it cannot save up.

use crate::interface::RequestNumber;
use crate::request::Request;
use millpass_proto::{
    AdapterName, GroupName, ModelName, TenantName, Timestamp, Urgency, VersionLabel,
};
use std::collections::{BTreeMap, BTreeSet};

/// Virtual time that one dispatch costs a tenant of weight 1.
const DISPATCH_COST: u64 = 1 << 20;
/// Idle tenant lines that are always kept at a level.
const IDLE_LINES_KEPT: usize = 16;
/// Levels of urgency.
const LEVELS: usize = 3;

/// What the requests of one queue need.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum QueueKey {
    /// A replica.
    Model {
        /// Model.
        model: ModelName,
        /// Adapter that must be loaded.
        adapter: Option<AdapterName>,
        /// Version, for a stream that goes on from a position.
        version: Option<VersionLabel>,
    },
    /// A web back end of a group.
    Web(GroupName),
}

impl QueueKey {
    /// Whether both are served by the same replicas or back ends.
    fn same_service(&self, other: &QueueKey) -> bool {
        match (self, other) {
            (QueueKey::Model { model, .. }, QueueKey::Model { model: other, .. }) => model == other,
            (QueueKey::Web(group), QueueKey::Web(other)) => group == other,
            _ => false,
        }
    }

    /// Whether both need the same model with the same adapter.
    fn same_adapter(&self, other: &QueueKey) -> bool {
        let adapter_of = |key: &QueueKey| match key {
            QueueKey::Model { adapter, .. } => adapter.clone(),
            QueueKey::Web(_) => None,
        };
        self.same_service(other) && adapter_of(self) == adapter_of(other)
    }

    /// The first key, in order, of the same model or group.
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

/// The requests of one tenant at one level.
#[derive(Debug)]
struct TenantLine {
    start: u64,
    weight: u32,
    waiting: BTreeSet<RequestNumber>,
}

/// One level of urgency.
#[derive(Debug, Default)]
struct FairLevel {
    virtual_time: u64,
    lines: BTreeMap<TenantName, TenantLine>,
    order: BTreeSet<(u64, TenantName)>,
}

impl FairLevel {
    fn push(&mut self, tenant: &TenantName, weight: u32, number: RequestNumber) {
        let virtual_time = self.virtual_time;
        let line = self.lines.entry(tenant.clone()).or_insert(TenantLine {
            start: virtual_time,
            weight: 1,
            waiting: BTreeSet::new(),
        });
        line.weight = weight.max(1);
        if line.waiting.is_empty() {
            line.start = line.start.max(virtual_time);
            self.order.insert((line.start, tenant.clone()));
        }
        line.waiting.insert(number);
    }

    fn first(&self) -> Option<RequestNumber> {
        let (_, tenant) = self.order.first()?;
        self.lines.get(tenant)?.waiting.first().copied()
    }

    /// Takes a request out; a dispatched one is charged to its tenant.
    fn remove(&mut self, tenant: &TenantName, number: RequestNumber, charge: bool) {
        let Some(line) = self.lines.get_mut(tenant) else {
            return;
        };
        if !line.waiting.remove(&number) {
            return;
        }
        self.order.remove(&(line.start, tenant.clone()));
        if charge {
            self.virtual_time = self.virtual_time.max(line.start);
            line.start += DISPATCH_COST / u64::from(line.weight);
        }
        if line.waiting.is_empty() {
            self.forget_idle();
        } else {
            self.order.insert((line.start, tenant.clone()));
        }
    }

    /// Drops lines that wait for nothing and owe nothing, so the table stays bounded. Done only
    /// once idle lines outnumber the others, so that its cost spreads over many removals.
    fn forget_idle(&mut self) {
        if self.lines.len() <= 2 * self.order.len() + IDLE_LINES_KEPT {
            return;
        }
        let virtual_time = self.virtual_time;
        self.lines
            .retain(|_, line| !line.waiting.is_empty() || line.start > virtual_time);
    }
}

/// One queue.
#[derive(Debug, Default)]
struct Queue {
    levels: [FairLevel; LEVELS],
    members: BTreeSet<RequestNumber>,
    deadlines: BTreeSet<(Timestamp, RequestNumber)>,
}

impl Queue {
    /// The next request to serve, with its level.
    fn first(&self) -> Option<(usize, RequestNumber)> {
        let levels = self.levels.iter().enumerate();
        let mut heads = levels.filter_map(|(level, line)| Some((level, line.first()?)));
        heads.next()
    }
}

/// All queues. Empty ones are dropped.
#[derive(Debug, Default)]
pub(crate) struct Queues {
    queues: BTreeMap<QueueKey, Queue>,
}

impl Queues {
    /// Puts a request into its queue.
    pub fn push(&mut self, request: &Request, weight: u32) {
        let queue = self.queues.entry(request.queue.clone()).or_default();
        let level = &mut queue.levels[level_of(request.urgency)];
        level.push(&request.tenant, weight, request.number);
        queue.members.insert(request.number);
        queue.deadlines.insert((request.deadline, request.number));
    }

    /// Takes a request out of its queue; `charge` when it is dispatched.
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

    /// Whether nothing waits in this queue.
    pub fn is_empty(&self, key: &QueueKey) -> bool {
        !self.queues.contains_key(key)
    }

    /// Keys of the queues in which something waits.
    pub fn keys(&self) -> impl Iterator<Item = &QueueKey> {
        self.queues.keys()
    }

    /// Queues of the same model or group that are not in `blocked`: the one with the most urgent
    /// next request (the oldest among equals), and that request.
    pub fn next_of_service(
        &self,
        key: &QueueKey,
        blocked: &[QueueKey],
    ) -> Option<(QueueKey, RequestNumber)> {
        let queues = self
            .queues
            .range(key.first_of_service()..)
            .take_while(|(candidate, _)| candidate.same_service(key))
            .filter(|(candidate, _)| !blocked.contains(candidate));
        let heads = queues.filter_map(|(candidate, queue)| Some((queue.first()?, candidate)));
        let ((_, number), best) = heads.min()?;
        Some((best.clone(), number))
    }

    /// Queues of the same model and adapter, whatever version their requests need.
    pub fn versions_of(&self, key: &QueueKey) -> Vec<QueueKey> {
        let queues = self.queues.range(key..).map(|(candidate, _)| candidate);
        queues
            .take_while(|candidate| candidate.same_adapter(key))
            .cloned()
            .collect()
    }

    /// Requests of a queue whose deadline is before a time.
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

    /// Number waiting in a queue.
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
