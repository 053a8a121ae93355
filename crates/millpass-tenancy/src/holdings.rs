//! Units of one tenant that gateways hold in reserve according to the leader: granted ahead of
//! requests, and neither stated to be used nor lapsed.

use millpass_proto::{Duration, Timestamp};
use std::collections::{HashMap, VecDeque};

/// Interval at which lapsed units are removed; until then they count.
const SWEEP_INTERVAL: Duration = Duration::from_millis(50);

/// What a gateway's request states about the units that it holds.
#[derive(Clone, Copy, Debug)]
pub(crate) struct HeldStatement {
    /// Last answer that the gateway had received; later grants are not included.
    pub(crate) answered: u64,
    pub(crate) units: u64,
    /// Until when the gateway may use them.
    pub(crate) until: Timestamp,
}

#[derive(Clone, Copy, Debug)]
struct Grant {
    sequence: u64,
    units: u64,
    until: Timestamp,
}

#[derive(Clone, Debug, Default)]
struct Holding {
    stated_units: u64,
    stated_until: Timestamp,
    /// Grants since the statement, oldest first.
    grants: VecDeque<Grant>,
}

impl Holding {
    fn units(&self) -> u64 {
        let granted = self.grants.iter().map(|grant| grant.units);
        self.stated_units + granted.sum::<u64>()
    }

    fn remove_lapsed(&mut self, now: Timestamp) {
        self.grants.retain(|grant| now < grant.until);
        if self.stated_until <= now {
            self.stated_units = 0;
        }
    }
}

/// Units that gateways hold.
#[derive(Clone, Debug, Default)]
pub(crate) struct Holdings {
    by_gateway: HashMap<u64, Holding>,
    total: u64,
    swept_at: Timestamp,
}

impl Holdings {
    /// Units held by all gateways.
    pub(crate) fn total(&self) -> u64 {
        self.total
    }

    /// Removes units that gateways can no longer use.
    pub(crate) fn sweep(&mut self, now: Timestamp) {
        if now.since(self.swept_at) < SWEEP_INTERVAL {
            return;
        }
        self.swept_at = now;
        self.by_gateway.retain(|_, holding| {
            holding.remove_lapsed(now);
            holding.units() > 0
        });
        self.total = self.by_gateway.values().map(Holding::units).sum();
    }

    /// Replaces what a gateway holds by its statement. Returns by how much that lowers it; negative
    /// if the gateway keeps units of requests that did not run.
    pub(crate) fn state(&mut self, now: Timestamp, gateway: u64, statement: HeldStatement) -> f64 {
        let holding = self.by_gateway.entry(gateway).or_default();
        let counted = holding.units();
        holding.remove_lapsed(now);
        let before = holding.units();
        holding
            .grants
            .retain(|grant| grant.sequence > statement.answered);
        holding.stated_units = statement.units;
        holding.stated_until = statement.until;
        let after = holding.units();
        self.total = self.total - counted + after;
        before as f64 - after as f64
    }

    /// Adds units granted in the answer to a request.
    pub(crate) fn add(&mut self, gateway: u64, sequence: u64, units: u64, until: Timestamp) {
        if units == 0 {
            return;
        }
        let holding = self.by_gateway.entry(gateway).or_default();
        holding.grants.push_back(Grant {
            sequence,
            units,
            until,
        });
        self.total += units;
    }
}
