//! Order fences: the highest one accepted, and past responses for resends.

use millpass_proto::{EngineOrder, LogPosition, OrderResponse};
use std::collections::BTreeMap;

/// Classification of a received order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FenceVerdict {
    /// Neither seen before nor stale: execute it.
    New,
    /// Seen before, with this response.
    Resent(OrderResponse),
    /// The fence was used by another order: a defect of the sender.
    Conflict,
    /// Not above this highest accepted fence.
    Stale(LogPosition),
}

/// Ledger of fences. A fence counts as accepted even if its order was rejected, so that a delayed copy of a
/// rejected order can never take effect.
#[derive(Clone, Debug)]
pub struct FenceLedger {
    highest: LogPosition,
    responses: BTreeMap<LogPosition, (EngineOrder, OrderResponse)>,
    capacity: usize,
}

impl FenceLedger {
    /// Creates a ledger that retains the responses of the `capacity` highest fences.
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

    /// Classifies a received order.
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
