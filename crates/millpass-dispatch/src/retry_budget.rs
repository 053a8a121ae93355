//! Retry budget of a service at this gateway.
//!
//! The budget holds over all gateways: each may use an equal part of the slack, and a ratio of its
//! own requests. Parts of idle gateways stay unused; the sum never exceeds the total.

use millpass_proto::{Duration, Timestamp};
use std::collections::VecDeque;

/// Percentage of the budget that is used; the rest covers retries that arrive in bursts.
const USED_PERCENT: f64 = 80.0;
/// Number of gateways assumed while it is unknown.
const ASSUMED_GATEWAYS: u32 = 32;

/// Limits of a retry budget.
#[derive(Clone, Copy, Debug)]
pub struct BudgetTerms {
    /// Length of the window.
    pub window: Duration,
    /// Retries per request of the service.
    pub ratio: f64,
    /// Further retries per window, shared by all gateways.
    pub slack: f64,
    /// Number of gateways that share the slack; 0 if unknown.
    pub gateways: u32,
}

/// Retry budget of one service.
#[derive(Debug, Default)]
pub struct RetryBudget {
    requests: VecDeque<Timestamp>,
    retries: VecDeque<Timestamp>,
}

impl RetryBudget {
    /// Records a request of the service.
    pub fn record_request(&mut self, now: Timestamp, window: Duration) {
        drop_expired(&mut self.requests, now, window);
        self.requests.push_back(now);
    }

    /// Returns true if the budget allows one more retry.
    pub fn has_capacity(&mut self, now: Timestamp, terms: &BudgetTerms) -> bool {
        drop_expired(&mut self.requests, now, terms.window);
        drop_expired(&mut self.retries, now, terms.window);
        let gateways = match terms.gateways {
            0 => ASSUMED_GATEWAYS,
            known => known,
        };
        let own = terms.ratio * self.requests.len() as f64;
        let allowed = (own + terms.slack / f64::from(gateways)) * USED_PERCENT / 100.0;
        (self.retries.len() + 1) as f64 <= allowed
    }

    /// Consumes one retry; returns false if the budget does not allow it.
    pub fn try_consume(&mut self, now: Timestamp, terms: &BudgetTerms) -> bool {
        let allowed = self.has_capacity(now, terms);
        if allowed {
            self.retries.push_back(now);
        }
        allowed
    }
}

fn drop_expired(times: &mut VecDeque<Timestamp>, now: Timestamp, window: Duration) {
    while times.front().is_some_and(|at| now.since(*at) >= window) {
        times.pop_front();
    }
}
