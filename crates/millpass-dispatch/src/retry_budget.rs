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

    /// Takes one repeat from the budget, if there is one left. `ratio` repeats go with each request;
    /// `slack` more are shared by all gateways, whose number may be unknown (0).
    pub fn take(
        &mut self,
        now: Timestamp,
        window: Duration,
        ratio: f64,
        slack: f64,
        gateways: u32,
    ) -> bool {
        drop_old(&mut self.requests, now, window);
        drop_old(&mut self.repeats, now, window);
        let gateways = if gateways == 0 {
            UNKNOWN_GATEWAYS
        } else {
            gateways
        };
        let own = ratio * self.requests.len() as f64;
        let allowed = (own + slack / f64::from(gateways)) * USED_PERCENT / 100.0;
        if (self.repeats.len() + 1) as f64 > allowed {
            return false;
        }
        self.repeats.push_back(now);
        true
    }
}

fn drop_old(times: &mut VecDeque<Timestamp>, now: Timestamp, window: Duration) {
    while times.front().is_some_and(|at| now.since(*at) >= window) {
        times.pop_front();
    }
}
