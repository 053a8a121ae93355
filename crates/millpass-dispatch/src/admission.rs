//! Ordered, bounded queues of the requests that wait at a gateway: one per model with adapter, or
//! per service of web back ends.
//!
//! Handles the load at which all slots of a resource are in use, or at which its model is being
//! loaded, for longer than some callers can wait. Within a queue requests are ordered by rank, then
//! fairly among tenants, then by the end of their objective; those that are already late come after
//! those of the same tenant that are not. A freed slot calls exactly one waiter and reserves the
//! slot until that waiter has decided, so that no later arrival takes it.
//!
//! Fairness is start-time fair queueing: the tenant with the smallest start time is served first,
//! and each request that is called advances the start time of its tenant.
//!
//! [`MAX_WAITING`] derives from a gateway's memory: a waiting request holds its body, its task and
//! its connection, about 32 KB together, so that all of them use a tenth of 160 MB.
//! [`MAX_WAITING_PER_TENANT`] leaves three quarters of it to the other tenants.

use millpass_proto::{
    AdapterName, InstanceId, ModelName, ServiceName, SoftwareVersion, TenantName, Timestamp,
};
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// Maximum number of waiting requests at a gateway.
pub const MAX_WAITING: usize = 512;
/// Maximum number of waiting requests of one tenant at a gateway.
pub const MAX_WAITING_PER_TENANT: usize = 128;
/// Requests of a queue that are examined when a slot becomes free. Those before the first that fits
/// were tried there already or are about to leave, and are few.
const MAX_EXAMINED: usize = 16;
/// Idle tenants whose start time is always kept, per rank and queue.
const MAX_IDLE_TENANTS: usize = 16;

/// What a request waits for: a model, a model with an adapter, or any instance of a service.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ResourceKey {
    /// Service.
    pub service: ServiceName,
    /// Model; none for web back ends.
    pub model: Option<ModelName>,
    /// Adapter; none for the base model.
    pub adapter: Option<AdapterName>,
    /// Software version of the instance; none for any.
    pub software: Option<SoftwareVersion>,
}

/// Identifies a waiting request at this gateway.
pub type WaiterNumber = u64;

/// What determines the place of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WaiterTerms {
    /// Rank; 0 is the most urgent.
    pub rank: u32,
    /// Tenant; none where callers need no key.
    pub tenant: Option<TenantName>,
    /// End of its objective.
    pub due: Timestamp,
    /// When its caller leaves.
    pub latest: Timestamp,
    /// It cannot be served within its objective any more.
    pub late: bool,
    /// Prompt tokens.
    pub tokens: u32,
    /// Instances that it must not be sent to.
    pub excluded: Vec<InstanceId>,
}

/// Result of adding a request to its queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Joined {
    /// It waits.
    Waiting,
    /// It waits instead of a less urgent request, which must be refused.
    Displaced(WaiterNumber),
    /// It does not wait: this gateway, or its tenant, has the maximum number of waiting requests,
    /// none of which is less urgent.
    Full,
}

/// A request that left its queue to decide again.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Turn {
    /// Instance with a slot that was reserved for it; none if it was not called.
    pub called_for: Option<InstanceId>,
    /// It was displaced by a more urgent request.
    pub displaced: bool,
}

#[derive(Debug)]
struct Waiter {
    key: ResourceKey,
    terms: WaiterTerms,
    called_for: Option<InstanceId>,
    displaced: bool,
    /// Instance for which it was called before without being sent there.
    passed: Option<InstanceId>,
}

impl Waiter {
    fn is_in_queue(&self) -> bool {
        self.called_for.is_none() && !self.displaced
    }
}

/// Order among the waiting requests of one tenant.
type TenantPosition = (bool, Timestamp, WaiterNumber);

#[derive(Debug, Default)]
struct TenantQueue {
    start: u64,
    waiting: BTreeSet<TenantPosition>,
}

/// Waiting requests of one rank.
#[derive(Debug, Default)]
struct Level {
    virtual_time: u64,
    tenants: BTreeMap<Option<TenantName>, TenantQueue>,
    order: BTreeSet<(u64, Option<TenantName>)>,
    length: usize,
}

impl Level {
    fn insert(&mut self, terms: &WaiterTerms, number: WaiterNumber) {
        let queue = self.tenants.entry(terms.tenant.clone()).or_default();
        if queue.waiting.is_empty() {
            queue.start = queue.start.max(self.virtual_time);
            self.order.insert((queue.start, terms.tenant.clone()));
        }
        queue.waiting.insert((terms.late, terms.due, number));
        self.length += 1;
    }

    /// Removes a request; `charge` advances its tenant's start time.
    fn remove(&mut self, terms: &WaiterTerms, number: WaiterNumber, charge: bool) {
        let Some(queue) = self.tenants.get_mut(&terms.tenant) else {
            return;
        };
        if !queue.waiting.remove(&(terms.late, terms.due, number)) {
            return;
        }
        self.length -= 1;
        self.order.remove(&(queue.start, terms.tenant.clone()));
        if charge {
            self.virtual_time = self.virtual_time.max(queue.start);
            queue.start += 1;
        }
        if !queue.waiting.is_empty() {
            self.order.insert((queue.start, terms.tenant.clone()));
        } else if self.tenants.len() > 2 * self.order.len() + MAX_IDLE_TENANTS {
            let virtual_time = self.virtual_time;
            self.tenants
                .retain(|_, queue| !queue.waiting.is_empty() || queue.start > virtual_time);
        }
    }

    /// Returns a charge for a request that was called but not sent.
    fn refund(&mut self, tenant: &Option<TenantName>) {
        let Some(queue) = self.tenants.get_mut(tenant) else {
            return;
        };
        let start = queue.start.saturating_sub(1);
        if self.order.remove(&(queue.start, tenant.clone())) {
            self.order.insert((start, tenant.clone()));
        }
        queue.start = start;
    }

    fn in_order(&self) -> impl Iterator<Item = WaiterNumber> {
        let tenants = self
            .order
            .iter()
            .filter_map(|(_, tenant)| self.tenants.get(tenant));
        tenants.flat_map(|queue| queue.waiting.iter().map(|(_, _, number)| *number))
    }

    /// Number of requests served before a further one of this tenant, at most.
    fn ahead_of(&self, tenant: &Option<TenantName>) -> usize {
        let own = self.tenants.get(tenant).map_or(0, |own| own.waiting.len());
        let others = self.order.len() - usize::from(own > 0);
        // Each other tenant is served at most once more often than this one until its turn.
        self.length.min(own + others * (own + 1))
    }
}

/// The queues of a gateway.
#[derive(Debug, Default)]
pub struct AdmissionQueues {
    queues: BTreeMap<ResourceKey, BTreeMap<u32, Level>>,
    waiters: HashMap<WaiterNumber, Waiter>,
    /// All waiting requests that may be displaced; the last one first.
    by_urgency: BTreeSet<(u32, bool, Timestamp, WaiterNumber)>,
    per_tenant: HashMap<TenantName, usize>,
    /// Slots reserved for requests that were called and have not decided yet.
    reserved: HashMap<InstanceId, u32>,
    /// Requests to wake.
    called: Vec<WaiterNumber>,
    last: WaiterNumber,
}

impl AdmissionQueues {
    /// Returns a number for a request that may wait.
    pub fn next_number(&mut self) -> WaiterNumber {
        self.last += 1;
        self.last
    }

    /// Number of waiting requests, including those called.
    pub fn len(&self) -> usize {
        self.waiters.len()
    }

    /// Returns true if no request waits.
    pub fn is_empty(&self) -> bool {
        self.waiters.is_empty()
    }

    /// Number of requests that wait for this resource and have not been called.
    pub fn length(&self, key: &ResourceKey) -> usize {
        let queue = self.queues.get(key).into_iter();
        queue
            .flat_map(|queue| queue.values())
            .map(|level| level.length)
            .sum()
    }

    /// Slots of an instance reserved for called requests.
    pub fn reserved(&self, instance: &InstanceId) -> u32 {
        self.reserved.get(instance).copied().unwrap_or(0)
    }

    /// Number of requests that would be served before a further one with these terms.
    pub fn ahead(&self, key: &ResourceKey, terms: &WaiterTerms) -> usize {
        let Some(queue) = self.queues.get(key) else {
            return 0;
        };
        let urgent = queue.range(..terms.rank).map(|(_, level)| level.length);
        let level = queue.get(&terms.rank);
        urgent.sum::<usize>() + level.map_or(0, |level| level.ahead_of(&terms.tenant))
    }

    /// Adds a request to the queue of its resource. `turn` is the one it left the queue with, if
    /// it has waited before.
    pub fn join(
        &mut self,
        number: WaiterNumber,
        key: ResourceKey,
        terms: WaiterTerms,
        turn: &Turn,
    ) -> Joined {
        let tenant_is_full = terms.tenant.as_ref().is_some_and(|tenant| {
            self.per_tenant.get(tenant).copied().unwrap_or(0) >= MAX_WAITING_PER_TENANT
        });
        let displaced = match (tenant_is_full, self.by_urgency.len() >= MAX_WAITING) {
            (true, _) => return Joined::Full,
            (false, false) => None,
            (false, true) => match self.least_urgent(&terms) {
                Some(number) => Some(number),
                None => return Joined::Full,
            },
        };
        if let Some(displaced) = displaced {
            self.displace(displaced);
        }
        if let Some(tenant) = &terms.tenant {
            *self.per_tenant.entry(tenant.clone()).or_default() += 1;
        }
        let level = self.queues.entry(key.clone()).or_default();
        let level = level.entry(terms.rank).or_default();
        if turn.called_for.is_some() {
            level.refund(&terms.tenant);
        }
        level.insert(&terms, number);
        self.by_urgency.insert(urgency(&terms, number));
        let waiter = Waiter {
            key,
            terms,
            called_for: None,
            displaced: false,
            passed: turn.called_for.clone(),
        };
        self.waiters.insert(number, waiter);
        displaced.map_or(Joined::Waiting, Joined::Displaced)
    }

    /// Removes a request, which decides again or whose caller has left. None if it does not wait.
    pub fn leave(&mut self, number: WaiterNumber) -> Option<Turn> {
        let waiter = self.waiters.remove(&number)?;
        if waiter.is_in_queue() {
            self.by_urgency.remove(&urgency(&waiter.terms, number));
            self.remove_from_queue(&waiter, number, false);
        }
        if let Some(tenant) = &waiter.terms.tenant
            && let Some(count) = self.per_tenant.get_mut(tenant)
        {
            *count -= 1;
            if *count == 0 {
                self.per_tenant.remove(tenant);
            }
        }
        if let Some(instance) = &waiter.called_for
            && let Some(count) = self.reserved.get_mut(instance)
        {
            *count -= 1;
            if *count == 0 {
                self.reserved.remove(instance);
            }
        }
        Some(Turn {
            called_for: waiter.called_for,
            displaced: waiter.displaced,
        })
    }

    /// Returns the first request in order for a resource that may be sent to an instance.
    pub fn first_for(
        &self,
        key: &ResourceKey,
        instance: &InstanceId,
        admits: impl Fn(&WaiterTerms) -> bool,
    ) -> Option<(u32, WaiterNumber)> {
        let queue = self.queues.get(key)?;
        let in_order = queue
            .iter()
            .flat_map(|(rank, level)| level.in_order().map(|number| (*rank, number)));
        let mut fitting = in_order.take(MAX_EXAMINED).filter(|(_, number)| {
            self.waiters.get(number).is_some_and(|waiter| {
                waiter.passed.as_ref() != Some(instance)
                    && !waiter.terms.excluded.contains(instance)
                    && admits(&waiter.terms)
            })
        });
        fitting.next()
    }

    /// Calls a request to decide, and reserves a slot of this instance for it.
    pub fn call(&mut self, number: WaiterNumber, instance: &InstanceId) {
        let Some(mut waiter) = self.waiters.remove(&number) else {
            return;
        };
        if waiter.is_in_queue() {
            self.by_urgency.remove(&urgency(&waiter.terms, number));
            self.remove_from_queue(&waiter, number, true);
            waiter.called_for = Some(instance.clone());
            *self.reserved.entry(instance.clone()).or_default() += 1;
            self.called.push(number);
        }
        self.waiters.insert(number, waiter);
    }

    /// Wakes a request to decide again; it keeps its place.
    pub fn wake(&mut self, number: WaiterNumber) {
        self.called.push(number);
    }

    /// Wakes all requests to decide again; they keep their places.
    pub fn wake_all(&mut self) {
        self.called.extend(self.waiters.keys().copied());
    }

    /// Wakes the requests that wait for a resource; they keep their places.
    pub fn wake_queue(&mut self, key: &ResourceKey) {
        let queue = self.queues.get(key).into_iter();
        let waiting = queue.flat_map(|queue| queue.values().flat_map(Level::in_order));
        self.called.extend(waiting);
    }

    /// Returns the requests to wake.
    pub fn take_called(&mut self) -> Vec<WaiterNumber> {
        std::mem::take(&mut self.called)
    }

    /// Resources with waiting requests, from this one on.
    pub fn keys_from(&self, key: ResourceKey) -> impl Iterator<Item = &ResourceKey> {
        self.queues.range(key..).map(|(key, _)| key)
    }

    /// Resources with waiting requests.
    pub fn keys(&self) -> impl Iterator<Item = &ResourceKey> {
        self.queues.keys()
    }

    /// Returns true if this request is the first of its queue.
    pub fn is_first(&self, number: WaiterNumber) -> bool {
        let queue = self.waiters.get(&number).map(|waiter| &waiter.key);
        let queue = queue.and_then(|key| self.queues.get(key));
        let first = queue.and_then(|queue| queue.values().flat_map(Level::in_order).next());
        first == Some(number)
    }

    /// Returns the least urgent request if it is less urgent than one with these terms.
    fn least_urgent(&self, terms: &WaiterTerms) -> Option<WaiterNumber> {
        let (rank, _, _, number) = self.by_urgency.last()?;
        (*rank > terms.rank).then_some(*number)
    }

    fn displace(&mut self, number: WaiterNumber) {
        let Some(mut waiter) = self.waiters.remove(&number) else {
            return;
        };
        self.by_urgency.remove(&urgency(&waiter.terms, number));
        self.remove_from_queue(&waiter, number, false);
        waiter.displaced = true;
        self.waiters.insert(number, waiter);
        self.called.push(number);
    }

    fn remove_from_queue(&mut self, waiter: &Waiter, number: WaiterNumber, charge: bool) {
        let Some(queue) = self.queues.get_mut(&waiter.key) else {
            return;
        };
        if let Some(level) = queue.get_mut(&waiter.terms.rank) {
            level.remove(&waiter.terms, number, charge);
        }
        if queue.values().all(|level| level.length == 0) {
            self.queues.remove(&waiter.key);
        }
    }
}

fn urgency(terms: &WaiterTerms, number: WaiterNumber) -> (u32, bool, Timestamp, WaiterNumber) {
    (terms.rank, terms.late, terms.due, number)
}
