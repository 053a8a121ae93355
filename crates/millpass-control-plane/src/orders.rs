//! When to deliver which order.
//!
//! Each engine is given its first outstanding order, again with back-off until the order is
//! settled in the replicated state. Delivery is idempotent at the engine: the same fence again is
//! answered as the first time. Loads of models and adapters leave at the weight store's rate at most: they are
//! decided at that rate, but wait for the orders before them at their engines, whose ends may come
//! together. Whether this member may deliver at all (the leader lease) is
//! checked by the caller in the same step.

use millpass_proto::{
    BackendName, Duration, EngineOrder, LogPosition, OrderAction, OrderResponse, Timestamp,
};
use millpass_state::State;
use std::collections::BTreeMap;

/// First wait after an attempt without an answer; doubled with each further one.
const UNANSWERED_BACKOFF: Duration = Duration::from_millis(200);
/// First wait after an answer that was not an acceptance.
const REFUSED_BACKOFF: Duration = Duration::from_secs(1);
/// First wait after an acceptance: the report should settle the order before it ends.
const ACCEPTED_BACKOFF: Duration = Duration::from_secs(2);
/// Longest wait between two attempts.
const LONGEST_BACKOFF: Duration = Duration::from_secs(10);
/// Most doublings of a back-off.
const MAXIMUM_DOUBLINGS: u32 = 8;
/// Time after which an attempt that the host never reported on counts as lost. Longer than the
/// host's own timeout, so that two attempts rarely overlap.
const LOST_ATTEMPT: Duration = Duration::from_secs(15);

/// Time for which a new leader does not know what the one before it sent to the weight store.
const UNKNOWN_TIME: Duration = Duration::from_secs(1);

/// Time over which the store's rate of one second is spread: orders that are under way for different
/// times arrive closer together than they left.
const SPREAD_TIME: Duration = Duration::from_millis(1_200);

/// Evenly spaced loads of models and adapters. A burst at the end of one of the store's windows and one at the
/// beginning of the next would both be within the rate, and together above it.
struct LoadPace {
    per_second: u32,
    next_at: Option<Timestamp>,
}

impl LoadPace {
    fn new(per_second: u32) -> Self {
        LoadPace {
            per_second: per_second.max(1),
            next_at: None,
        }
    }

    /// Takes the next place, or says when it comes. After the first, a new leader waits.
    fn take(&mut self, now: Timestamp) -> Result<(), Timestamp> {
        let pause = match self.next_at {
            None => UNKNOWN_TIME,
            Some(next) if now < next => return Err(next),
            Some(_) => SPREAD_TIME / self.per_second,
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

/// Delivery of each engine's first outstanding order.
pub(crate) struct Orders {
    deliveries: BTreeMap<BackendName, Delivery>,
    /// Nothing is due before this time unless the state changes.
    next_wake: Timestamp,
    pace: LoadPace,
}

impl Orders {
    /// `loads_per_second` is what the weight store allows.
    pub(crate) fn new(loads_per_second: u32) -> Self {
        Orders {
            deliveries: BTreeMap::new(),
            next_wake: Timestamp::ZERO,
            pace: LoadPace::new(loads_per_second),
        }
    }

    /// Whether [`Orders::due`] may give something now.
    pub(crate) fn may_be_due(&self, now: Timestamp) -> bool {
        now >= self.next_wake
    }

    /// Orders to deliver now. Each is noted as attempted.
    pub(crate) fn due(&mut self, now: Timestamp, state: &State) -> Vec<EngineOrder> {
        let mut due = Vec::new();
        let mut deliveries = BTreeMap::new();
        // Only the orders that are due are built: thousands may be outstanding at each commit.
        for (backend, fence) in state.next_fences() {
            let known = self.deliveries.remove_entry(backend);
            let (name, mut delivery) = match known {
                Some((name, delivery)) if delivery.fence == fence => (name, delivery),
                _ => (backend.clone(), Delivery::new(fence, now)),
            };
            if now >= delivery.next_at
                && let Some(order) = state.next_order(backend)
                && self.may_leave(now, &order, &mut delivery)
            {
                delivery.attempts = delivery.attempts.saturating_add(1);
                delivery.next_at = now + LOST_ATTEMPT;
                due.push(order);
            }
            deliveries.insert(name, delivery);
        }
        self.deliveries = deliveries;
        self.set_wake(now);
        due
    }

    /// Whether the store's rate lets an order leave now; else it is due later.
    fn may_leave(&mut self, now: Timestamp, order: &EngineOrder, delivery: &mut Delivery) -> bool {
        let from_store = matches!(
            order.action,
            OrderAction::LoadModel(_) | OrderAction::LoadAdapter(_)
        );
        if !from_store {
            return true;
        }
        match self.pace.take(now) {
            Ok(()) => true,
            Err(later) => {
                delivery.next_at = later;
                false
            }
        }
    }

    /// Takes the outcome of an attempt and sets when the next is due.
    pub(crate) fn delivered(
        &mut self,
        now: Timestamp,
        backend: &BackendName,
        fence: LogPosition,
        answer: Option<&OrderResponse>,
    ) {
        let Some(delivery) = self.deliveries.get_mut(backend) else {
            return;
        };
        if delivery.fence != fence {
            return;
        }
        let first = match answer {
            None => UNANSWERED_BACKOFF,
            Some(OrderResponse::Accepted) => ACCEPTED_BACKOFF,
            Some(_) => REFUSED_BACKOFF,
        };
        let doublings = delivery.attempts.saturating_sub(1).min(MAXIMUM_DOUBLINGS);
        delivery.next_at = now + (first * 2_u32.pow(doublings)).min(LONGEST_BACKOFF);
        self.next_wake = self.next_wake.min(delivery.next_at);
    }

    /// Forgets attempts: a new leader delivers at once.
    pub(crate) fn clear(&mut self) {
        *self = Orders::new(self.pace.per_second);
    }

    fn set_wake(&mut self, now: Timestamp) {
        let next = self.deliveries.values().map(|delivery| delivery.next_at);
        self.next_wake = next.min().unwrap_or(now + LOST_ATTEMPT);
    }
}
