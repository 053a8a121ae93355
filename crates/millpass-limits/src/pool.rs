//! A gateway's permits, and the requests waiting for one.

use crate::ledger::MAX_RETRY_AFTER;
use crate::observed::{LimitChange, ObservedLimit, ObservedLimits};
use crate::rate::RequestRate;
use crate::slots::Slots;
use millpass_proto::{
    Duration, InstanceId, InstancePermitRequest, LimitObservation, LimitUpdate, PermitGrant,
    PermitRequest, PermitResponse, Timestamp,
};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Lifetime of a permit, counted from when the gateway requested it.
const PERMIT_LIFETIME: Duration = Duration::from_millis(1_000);
/// Time for which a request counts as waiting for a permit.
const WAITER_LIFETIME: Duration = Duration::from_millis(400);
/// Time for which requests wait for the leader's response.
const RESPONSE_WAIT: Duration = Duration::from_millis(250);
/// Time after which an unanswered message counts as lost and the leader as unreachable.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Permits are requested ahead for as many requests as were sent in this time.
const PREFETCH_WINDOW: Duration = Duration::from_millis(500);
/// Shortest time before permits are requested again after a denial.
const MIN_DENIAL: Duration = Duration::from_millis(100);
/// Longest time before permits are requested again after a denial.
const MAX_DENIAL: Duration = Duration::from_millis(1_000);
/// After a denial, permits are requested again after this fraction (as its inverse) of the time the
/// leader estimated, as permits that others did not use may become available.
const DENIAL_DIVISOR: u32 = 8;

/// When a request may be sent to a limited instance for which there is no permit now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Availability {
    /// A permit is being requested from the leader; its response is awaited until this time.
    AwaitingResponse(Timestamp),
    /// Not before this time.
    At(Timestamp),
}

impl Availability {
    /// Returns the time by which it is known whether a request may be sent.
    pub fn known_by(&self) -> Timestamp {
        match self {
            Availability::AwaitingResponse(until) | Availability::At(until) => *until,
        }
    }
}

/// This gateway's permits of one limited instance.
#[derive(Debug, Default)]
struct InstancePermits {
    /// Expiry of each permit.
    permits: VecDeque<Timestamp>,
    /// When each waiting request was last registered.
    waiters: VecDeque<Timestamp>,
    /// Set once permits have been requested for all current waiters.
    is_requested: bool,
    /// Time before which the leader expects to have no permits.
    depleted_until: Timestamp,
    /// Time before which permits are not requested again.
    denied_until: Timestamp,
    /// Requests refused since the last message to the leader.
    refused: u32,
    /// Since when requests have been waiting without a response from the leader.
    pending_since: Option<Timestamp>,
    /// Requests sent within `PREFETCH_WINDOW`.
    recent_sends: VecDeque<Timestamp>,
    last_used_slot: Option<u64>,
}

impl InstancePermits {
    fn expire(&mut self, now: Timestamp) {
        while self.permits.pop_front_if(|until| *until <= now).is_some() {}
        let expired = |at: &mut Timestamp| now.since(*at) >= WAITER_LIFETIME;
        while self.waiters.pop_front_if(expired).is_some() {}
        let old = |at: &mut Timestamp| now.since(*at) >= PREFETCH_WINDOW;
        while self.recent_sends.pop_front_if(old).is_some() {}
    }

    fn is_leader_unreachable(&self, now: Timestamp) -> bool {
        self.pending_since
            .is_some_and(|since| now.since(since) >= RESPONSE_TIMEOUT)
    }

    /// Returns the slot that is open and unused.
    fn free_slot(&self, now: Timestamp, slots: &Slots) -> Option<u64> {
        let open = slots.open(now).filter(|_| self.is_leader_unreachable(now));
        open.filter(|slot| self.last_used_slot != Some(*slot))
    }

    fn has_valid_permit(&self, now: Timestamp) -> bool {
        self.permits.iter().any(|until| now < *until)
    }

    fn is_request_due(&self, now: Timestamp) -> bool {
        let is_alive = |at: &Timestamp| now.since(*at) < WAITER_LIFETIME;
        !self.is_requested && now >= self.denied_until && self.waiters.iter().any(is_alive)
    }
}

/// A message to which the leader has not responded.
#[derive(Debug)]
struct PendingRequest {
    sequence: u64,
    at: Timestamp,
}

/// A gateway's permits for limited instances.
#[derive(Debug)]
pub struct PermitPool {
    gateway: String,
    observed: ObservedLimits,
    /// Instances whose last observed limit has not been reported to the leader.
    unreported: BTreeSet<InstanceId>,
    /// Instances for which the leader's limit differs from the one in force here.
    inconsistent: BTreeSet<InstanceId>,
    instances: BTreeMap<InstanceId, InstancePermits>,
    sequence: u64,
    pending: Option<PendingRequest>,
}

impl PermitPool {
    /// Creates a pool without limits.
    pub fn new(gateway: &str) -> Self {
        PermitPool {
            gateway: gateway.to_owned(),
            observed: ObservedLimits::default(),
            unreported: BTreeSet::new(),
            inconsistent: BTreeSet::new(),
            instances: BTreeMap::new(),
            sequence: 0,
            pending: None,
        }
    }

    /// Records what a response stated, and returns the change to the limit in force, if any.
    pub fn record_statement(
        &mut self,
        now: Timestamp,
        instance: &InstanceId,
        observed: ObservedLimit,
    ) -> Option<LimitChange> {
        let change = self.observed.record(now, instance, observed);
        if change.is_some() || self.inconsistent.contains(instance) {
            self.unreported.insert(instance.clone());
        }
        self.apply_change(change.as_ref()?);
        change
    }

    /// Applies the leader's limits, and returns the changes to limits in force.
    pub fn apply_update(&mut self, now: Timestamp, update: &LimitUpdate) -> Vec<LimitChange> {
        let mut changes = Vec::new();
        for report in &update.limits {
            let observed = ObservedLimit::from_report(now, report);
            changes.extend(self.observed.record(now, &report.instance, observed));
            match self.observed.rate(&report.instance) == observed.rate {
                true => self.inconsistent.remove(&report.instance),
                false => self.mark_inconsistent(&report.instance),
            };
        }
        for change in &changes {
            self.apply_change(change);
        }
        changes
    }

    /// Reports the local observation again: it may be newer than the leader's.
    fn mark_inconsistent(&mut self, instance: &InstanceId) -> bool {
        self.unreported.insert(instance.clone());
        self.inconsistent.insert(instance.clone())
    }

    fn apply_change(&mut self, change: &LimitChange) {
        if change.rate.is_none() {
            self.instances.remove(&change.instance);
        }
    }

    /// Returns the limit in force of an instance.
    pub fn rate(&self, instance: &InstanceId) -> Option<RequestRate> {
        self.observed.rate(instance)
    }

    /// Number of limits in force.
    pub fn limited_count(&self) -> usize {
        self.observed.limited_count()
    }

    /// Returns true if a request may be sent to an instance now. `gateways` is the number of
    /// gateways that share the limit while no leader is reachable; 0 if unknown.
    pub fn may_send(&self, now: Timestamp, instance: &InstanceId, gateways: u32) -> bool {
        let Some(rate) = self.observed.rate(instance) else {
            return true;
        };
        let Some(state) = self.instances.get(instance) else {
            return false;
        };
        let slots = Slots::new(&self.gateway, instance, rate, gateways);
        state.has_valid_permit(now) || state.free_slot(now, &slots).is_some()
    }

    /// Records a request sent to an instance that [`PermitPool::may_send`] allowed.
    pub fn record_send(&mut self, now: Timestamp, instance: &InstanceId, gateways: u32) {
        let Some(rate) = self.observed.rate(instance) else {
            return;
        };
        let slots = Slots::new(&self.gateway, instance, rate, gateways);
        let state = self.instances.entry(instance.clone()).or_default();
        state.expire(now);
        state.recent_sends.push_back(now);
        if state.permits.pop_front().is_none() {
            state.last_used_slot = state.free_slot(now, &slots);
        }
    }

    /// Registers a request that waits for a permit. Does nothing at an instance without a limit.
    pub fn add_waiter(&mut self, now: Timestamp, instance: &InstanceId) {
        if self.observed.rate(instance).is_none() {
            return;
        }
        let state = self.instances.entry(instance.clone()).or_default();
        state.expire(now);
        state.waiters.push_back(now);
        state.is_requested = false;
        state.pending_since.get_or_insert(now);
    }

    /// Removes a waiting request, so that no permit is requested for it.
    pub fn remove_waiter(&mut self, instance: &InstanceId) {
        if let Some(state) = self.instances.get_mut(instance) {
            state.waiters.pop_front();
        }
    }

    /// Returns when a request may be sent to a limited instance to which none may be sent now.
    pub fn availability(
        &self,
        now: Timestamp,
        instance: &InstanceId,
        gateways: u32,
    ) -> Availability {
        let Some(rate) = self.observed.rate(instance) else {
            return Availability::At(now);
        };
        let Some(state) = self.instances.get(instance) else {
            return Availability::AwaitingResponse(now + RESPONSE_WAIT);
        };
        if now < state.denied_until {
            let refused = rate.interval() * state.refused;
            let opens = state.depleted_until.max(state.denied_until);
            let at = (opens + refused).min(now + MAX_RETRY_AFTER);
            return Availability::At(at);
        }
        let since = state.pending_since.unwrap_or(now);
        let response_by = since + RESPONSE_WAIT;
        if now < response_by {
            return Availability::AwaitingResponse(response_by);
        }
        let next = Slots::new(&self.gateway, instance, rate, gateways).next(now);
        Availability::At(
            next.max(since + RESPONSE_TIMEOUT)
                .min(now + MAX_RETRY_AFTER),
        )
    }

    /// Records a request refused by [`PermitPool::availability`], so that the next one is given a
    /// later time.
    pub fn record_refusal(&mut self, instance: &InstanceId) {
        if let Some(state) = self.instances.get_mut(instance) {
            state.refused = state.refused.saturating_add(1);
        }
    }

    /// Returns true if a message to the leader is due.
    pub fn is_request_due(&self, now: Timestamp) -> bool {
        let lost = |pending: &PendingRequest| now.since(pending.at) >= RESPONSE_TIMEOUT;
        let open = self.pending.as_ref().is_none_or(lost);
        let due = |state: &InstancePermits| state.is_request_due(now);
        open && (!self.unreported.is_empty() || self.instances.values().any(due))
    }

    /// Returns the next message to the leader, if one is due.
    pub fn next_request(&mut self, now: Timestamp) -> Option<PermitRequest> {
        if !self.is_request_due(now) {
            return None;
        }
        let unreported = std::mem::take(&mut self.unreported);
        let reports = unreported.iter().filter_map(|instance| {
            let observed = self.observed.get(instance)?;
            Some(observed.report(now, instance))
        });
        let reports: Vec<LimitObservation> = reports.collect();
        let mut requests = Vec::new();
        for (instance, state) in &mut self.instances {
            if !state.is_request_due(now) {
                continue;
            }
            state.expire(now);
            state.is_requested = true;
            state.pending_since.get_or_insert(now);
            requests.push(InstancePermitRequest {
                instance: instance.clone(),
                waiting: u32::try_from(state.waiters.len()).unwrap_or(u32::MAX),
                prefetch: u32::try_from(state.recent_sends.len()).unwrap_or(u32::MAX),
                refused: std::mem::take(&mut state.refused),
            });
        }
        self.sequence += 1;
        self.pending = Some(PendingRequest {
            sequence: self.sequence,
            at: now,
        });
        Some(PermitRequest {
            gateway: self.gateway.clone(),
            sequence: self.sequence,
            observations: reports,
            instances: requests,
        })
    }

    /// Applies the leader's response. A response to an earlier message is ignored: its permits
    /// count as lost.
    pub fn apply_response(&mut self, now: Timestamp, response: &PermitResponse) {
        let pending = self
            .pending
            .take_if(|pending| pending.sequence == response.sequence);
        let Some(pending) = pending else {
            return;
        };
        for grant in &response.grants {
            self.apply_grant(now, pending.at, grant);
        }
    }

    fn apply_grant(&mut self, now: Timestamp, requested_at: Timestamp, grant: &PermitGrant) {
        if self.observed.rate(&grant.instance).is_none() {
            return;
        }
        let state = self.instances.entry(grant.instance.clone()).or_default();
        let until = requested_at + PERMIT_LIFETIME;
        let permits = std::iter::repeat_n(until, grant.permits as usize);
        state.permits.extend(permits);
        state.pending_since = None;
        state.denied_until = Timestamp::ZERO;
        if grant.wait_millis > 0 {
            state.depleted_until = now + Duration::from_millis(grant.wait_millis);
            let denial = state.depleted_until.since(now) / DENIAL_DIVISOR;
            state.denied_until = now + denial.clamp(MIN_DENIAL, MAX_DENIAL);
            // Waiters left by then request permits again.
            state.is_requested = false;
        }
    }

    /// Handles the end of the connection to the leader: all observations are reported again to the
    /// next one.
    pub fn disconnected(&mut self) {
        let observed = self.observed.iter();
        self.unreported = observed.map(|(instance, _)| instance.clone()).collect();
        self.inconsistent.clear();
        self.pending = None;
        for state in self.instances.values_mut() {
            state.is_requested = false;
        }
    }
}
