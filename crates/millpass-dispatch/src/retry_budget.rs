//! How many repeats a service may get from this gateway.
//!
//! The budget holds over all gateways: each may repeat its share of the slack, and a part of its own
//! requests. Shares of gateways that are idle stay unused; the sum never exceeds the whole.

use millpass_proto::{Duration, Timestamp};
use std::collections::VecDeque;

/// Part of the budget that is used, in percent: repeats may bunch up on their way.
const USED_PERCENT: f64 = 80.0;
/// Gateways assumed while their number is not known.
const UNKNOWN_GATEWAYS: u32 = 32;

/// What the budget allows.
#[derive(Clone, Copy, Debug)]
pub struct BudgetTerms {
    /// Length of the window.
    pub window: Duration,
    /// Repeats for each request of the service.
    pub ratio: f64,
    /// Repeats beyond that in a window, shared by all gateways.
    pub slack: f64,
    /// Gateways that share it; 0 while unknown.
    pub gateways: u32,
}

/// Budget of one service.
#[derive(Debug, Default)]
pub struct RetryBudget {
    requests: VecDeque<Timestamp>,
    repeats: VecDeque<Timestamp>,
}

impl RetryBudget {
    /// Counts a request of the service.
    pub fn request(&mut self, now: Timestamp, window: Duration) {
        drop_old(&mut self.requests, now, window);
        self.requests.push_back(now);
    }

    /// Whether one more repeat is within the budget.
    pub fn has_room(&mut self, now: Timestamp, terms: &BudgetTerms) -> bool {
        drop_old(&mut self.requests, now, terms.window);
        drop_old(&mut self.repeats, now, terms.window);
        let gateways = match terms.gateways {
            0 => UNKNOWN_GATEWAYS,
            known => known,
        };
        let own = terms.ratio * self.requests.len() as f64;
        let allowed = (own + terms.slack / f64::from(gateways)) * USED_PERCENT / 100.0;
        (self.repeats.len() + 1) as f64 <= allowed
    }

    /// Takes one repeat, if the budget has room for it.
    pub fn take(&mut self, now: Timestamp, terms: &BudgetTerms) -> bool {
        let room = self.has_room(now, terms);
        if room {
            self.repeats.push_back(now);
        }
        room
    }
}

fn drop_old(times: &mut VecDeque<Timestamp>, now: Timestamp, window: Duration) {
    while times.front().is_some_and(|at| now.since(*at) >= window) {
        times.pop_front();
    }
}
