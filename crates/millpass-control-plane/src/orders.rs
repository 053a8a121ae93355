//! Delivery of orders to engines.
//!
//! Each engine is sent its first outstanding order, with backoff, until the order is settled in the
//! replicated state. Delivery is idempotent: an engine repeats its response to a known fence. Loads
//! are limited to the weight store's rate on delivery, since orders of several engines can become
//! due together. The caller checks the leader lease in the same step.

use millpass_proto::{
    BackendName, Duration, EngineOrder, LogPosition, OrderAction, OrderResponse, Timestamp,
};
use millpass_state::State;
use std::collections::BTreeMap;

/// Initial backoff after an attempt without a response.
const UNANSWERED_BACKOFF: Duration = Duration::from_millis(200);
/// Initial backoff after a response other than acceptance.
const REJECTED_BACKOFF: Duration = Duration::from_secs(1);
/// Initial backoff after acceptance; a report usually settles the order earlier.
const ACCEPTED_BACKOFF: Duration = Duration::from_secs(2);
/// Maximum backoff.
const MAXIMUM_BACKOFF: Duration = Duration::from_secs(10);
const MAXIMUM_DOUBLINGS: u32 = 8;
/// Time after which an attempt without a result counts as lost. Longer than the host's timeout, so
/// that two attempts rarely overlap.
const ATTEMPT_TIMEOUT: Duration = Duration::from_secs(15);

/// Wait before the second load after a change of leader: loads sent by the previous leader are
/// unknown.
const TAKEOVER_PAUSE: Duration = Duration::from_secs(1);

/// Time over which the loads of one second are spread: delivery times vary, so orders arrive closer
/// together than they were sent.
const RATE_WINDOW: Duration = Duration::from_millis(1_200);

/// Spaces loads of models and adapters evenly. Bursts at the end of one window of the store and at
/// the start of the next would exceed the rate together.
struct LoadRateLimiter {
    per_second: u32,
    next_at: Option<Timestamp>,
}

impl LoadRateLimiter {
    fn new(per_second: u32) -> Self {
        LoadRateLimiter {
            per_second: per_second.max(1),
            next_at: None,
        }
    }

    /// Reserves the next load, or returns when it is allowed.
    fn try_acquire(&mut self, now: Timestamp) -> Result<(), Timestamp> {
        let pause = match self.next_at {
            None => TAKEOVER_PAUSE,
            Some(next) if now < next => return Err(next),
            Some(_) => RATE_WINDOW / self.per_second,
        };
        self.next_at = Some(now + pause);
        Ok(())
    }
}

struct Delivery {
    fence: LogPosition,
    attempts: u32,
    next_at: Timestamp,
}

impl Delivery {
    fn new(fence: LogPosition, now: Timestamp) -> Self {
        Delivery {
            fence,
            attempts: 0,
            next_at: now,
        }
    }
}

pub(crate) struct Orders {
    deliveries: BTreeMap<BackendName, Delivery>,
    /// Earliest time at which an order is due unless the state changes.
    next_wake: Timestamp,
    load_limiter: LoadRateLimiter,
}

impl Orders {
    /// `loads_per_second` is the rate that the weight store allows.
    pub(crate) fn new(loads_per_second: u32) -> Self {
        Orders {
            deliveries: BTreeMap::new(),
            next_wake: Timestamp::ZERO,
            load_limiter: LoadRateLimiter::new(loads_per_second),
        }
    }

    /// Returns true if [`Orders::due`] may return orders now.
    pub(crate) fn may_be_due(&self, now: Timestamp) -> bool {
        now >= self.next_wake
    }

    /// Returns the orders to deliver now and records the attempts.
    pub(crate) fn due(&mut self, now: Timestamp, state: &State) -> Vec<EngineOrder> {
        let mut due = Vec::new();
        let mut deliveries = BTreeMap::new();
        // Only due orders are built: thousands may be outstanding at each commit.
        for (backend, fence) in state.next_fences() {
            let previous = self.deliveries.remove_entry(backend);
            let (name, mut delivery) = match previous {
                Some((name, delivery)) if delivery.fence == fence => (name, delivery),
                _ => (backend.clone(), Delivery::new(fence, now)),
            };
            if now >= delivery.next_at
                && let Some(order) = state.next_order(backend)
                && self.may_send(now, &order, &mut delivery)
            {
                delivery.attempts = delivery.attempts.saturating_add(1);
                delivery.next_at = now + ATTEMPT_TIMEOUT;
                due.push(order);
            }
            deliveries.insert(name, delivery);
        }
        self.deliveries = deliveries;
        self.set_wake(now);
        due
    }

    /// Returns true if the store's rate allows sending an order now; otherwise postpones it.
    fn may_send(&mut self, now: Timestamp, order: &EngineOrder, delivery: &mut Delivery) -> bool {
        let from_store = matches!(
            order.action,
            OrderAction::LoadModel(_) | OrderAction::LoadAdapter(_)
        );
        if !from_store {
            return true;
        }
        match self.load_limiter.try_acquire(now) {
            Ok(()) => true,
            Err(allowed_at) => {
                delivery.next_at = allowed_at;
                false
            }
        }
    }

    /// Records the result of an attempt and schedules the next one.
    pub(crate) fn record_result(
        &mut self,
        now: Timestamp,
        backend: &BackendName,
        fence: LogPosition,
        response: Option<&OrderResponse>,
    ) {
        let Some(delivery) = self.deliveries.get_mut(backend) else {
            return;
        };
        if delivery.fence != fence {
            return;
        }
        let initial = match response {
            None => UNANSWERED_BACKOFF,
            Some(OrderResponse::Accepted) => ACCEPTED_BACKOFF,
            Some(_) => REJECTED_BACKOFF,
        };
        let doublings = delivery.attempts.saturating_sub(1).min(MAXIMUM_DOUBLINGS);
        delivery.next_at = now + (initial * 2_u32.pow(doublings)).min(MAXIMUM_BACKOFF);
        self.next_wake = self.next_wake.min(delivery.next_at);
    }

    /// Clears all attempts, so that a new leader delivers at once.
    pub(crate) fn clear(&mut self) {
        *self = Orders::new(self.load_limiter.per_second);
    }

    fn set_wake(&mut self, now: Timestamp) {
        let next = self.deliveries.values().map(|delivery| delivery.next_at);
        self.next_wake = next.min().unwrap_or(now + ATTEMPT_TIMEOUT);
    }
}
