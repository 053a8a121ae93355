//! Fences of orders: the highest seen, and the answers given, for resends.

use millpass_proto::{EngineOrder, LogPosition, OrderResponse};
use std::collections::BTreeMap;

/// What the ledger says of an arriving order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FenceVerdict {
    /// Not seen before and not stale: carry it out.
    New,
    /// Seen before: the answer given then.
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
    answers: BTreeMap<LogPosition, (EngineOrder, OrderResponse)>,
    bound: usize,
}

impl FenceLedger {
    /// Empty; remembers the answers of the `bound` highest fences.
    pub fn new(bound: usize) -> Self {
        FenceLedger {
            highest: LogPosition::ZERO,
            answers: BTreeMap::new(),
            bound: bound.max(1),
        }
    }

    /// Highest fence accepted.
    pub fn highest(&self) -> LogPosition {
        self.highest
    }

    /// Judges an arriving order.
    pub fn judge(&self, order: &EngineOrder) -> FenceVerdict {
        if let Some((first, answer)) = self.answers.get(&order.fence) {
            return if first == order {
                FenceVerdict::Resent(answer.clone())
            } else {
                FenceVerdict::Conflict
            };
        }
        if order.fence <= self.highest {
            return FenceVerdict::Stale(self.highest);
        }
        FenceVerdict::New
    }

    /// Records the answer to a new order.
    pub fn record(&mut self, order: EngineOrder, answer: OrderResponse) {
        self.highest = self.highest.max(order.fence);
        self.answers.insert(order.fence, (order, answer));
        while self.answers.len() > self.bound {
            self.answers.pop_first();
        }
    }
}
