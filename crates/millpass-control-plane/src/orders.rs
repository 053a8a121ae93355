//! When to deliver which order.
//!
//! Each engine is given its first outstanding order, again with back-off until the order is
//! settled in the replicated state. Delivery is idempotent at the engine: the same fence again is
//! answered as the first time. Whether this member may deliver at all (the leader lease) is
//! checked by the caller in the same step.

use millpass_proto::{BackendName, Duration, EngineOrder, LogPosition, OrderAnswer, Timestamp};
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
#[derive(Default)]
pub(crate) struct Orders {
    deliveries: BTreeMap<BackendName, Delivery>,
    /// Nothing is due before this time unless the state changes.
    next_wake: Timestamp,
}

impl Orders {
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

    /// Takes the outcome of an attempt and sets when the next is due.
    pub(crate) fn delivered(
        &mut self,
        now: Timestamp,
        backend: &BackendName,
        fence: LogPosition,
        answer: Option<&OrderAnswer>,
    ) {
        let Some(delivery) = self.deliveries.get_mut(backend) else {
            return;
        };
        if delivery.fence != fence {
            return;
        }
        let first = match answer {
            None => UNANSWERED_BACKOFF,
            Some(OrderAnswer::Accepted) => ACCEPTED_BACKOFF,
            Some(_) => REFUSED_BACKOFF,
        };
        let doublings = delivery.attempts.saturating_sub(1).min(MAXIMUM_DOUBLINGS);
        delivery.next_at = now + (first * 2_u32.pow(doublings)).min(LONGEST_BACKOFF);
        self.next_wake = self.next_wake.min(delivery.next_at);
    }

    /// Forgets attempts: a new leader delivers at once.
    pub(crate) fn clear(&mut self) {
        *self = Orders::default();
    }

    fn set_wake(&mut self, now: Timestamp) {
        let next = self.deliveries.values().map(|delivery| delivery.next_at);
        self.next_wake = next.min().unwrap_or(now + LOST_ATTEMPT);
    }
}
