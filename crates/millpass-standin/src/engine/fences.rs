//! Fences of orders: the highest seen, and the responses given, for resends.

use millpass_proto::{EngineOrder, LogPosition, OrderResponse};
use std::collections::BTreeMap;

/// What the ledger says of an arriving order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FenceVerdict {
    /// Not seen before and not stale: carry it out.
    New,
    /// Seen before: the response given then.
    Resent(OrderResponse),
    /// The same fence with another order: a defect of the sender.
    Conflict,
    /// Below the highest fence.
    Stale(LogPosition),
}

/// Ledger of fences. A fence counts as accepted as soon as its order was examined, also when the
/// order was rejected: so a late copy of a rejected order can never take effect.
#[derive(Clone, Debug)]
pub struct FenceLedger {
    highest: LogPosition,
    responses: BTreeMap<LogPosition, (EngineOrder, OrderResponse)>,
    capacity: usize,
}

impl FenceLedger {
    /// Empty; remembers the responses of the `bound` highest fences.
    pub fn new(capacity: usize) -> Self {
        FenceLedger {
            highest: LogPosition::ZERO,
            responses: BTreeMap::new(),
            capacity: capacity.max(1),
        }
    }

    /// Highest fence accepted.
    pub fn highest(&self) -> LogPosition {
        self.highest
    }

    /// Judges an arriving order.
    pub fn check(&self, order: &EngineOrder) -> FenceVerdict {
        if let Some((first, response)) = self.responses.get(&order.fence) {
            return if first == order {
                FenceVerdict::Resent(response.clone())
            } else {
                FenceVerdict::Conflict
            };
        }
        if order.fence <= self.highest {
            return FenceVerdict::Stale(self.highest);
        }
        FenceVerdict::New
    }

    /// Records the response to a new order.
    pub fn record(&mut self, order: EngineOrder, response: OrderResponse) {
        self.highest = self.highest.max(order.fence);
        self.responses.insert(order.fence, (order, response));
        while self.responses.len() > self.capacity {
            self.responses.pop_first();
        }
    }
}
