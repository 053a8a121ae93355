//! Limit of a tenant, and its token bucket.

use millpass_proto::{TenantAccess, Timestamp};

/// Limit of a tenant over all gateways.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TenantLimit {
    /// Refill rate in units per second.
    pub units_per_second: u64,
    /// Capacity of the bucket in units.
    pub burst_units: u64,
}

impl TenantLimit {
    /// Returns the limit of a tenant; `None` if it is unlimited.
    pub fn of(tenant: &TenantAccess) -> Option<TenantLimit> {
        (tenant.units_per_second > 0).then_some(TenantLimit {
            units_per_second: tenant.units_per_second,
            burst_units: tenant.burst_units,
        })
    }

    /// Capacity of the bucket; at least one unit, as otherwise no request would be admitted.
    pub(crate) fn capacity(&self) -> f64 {
        self.burst_units.max(1) as f64
    }

    pub(crate) fn rate(&self) -> f64 {
        self.units_per_second as f64
    }
}

/// Token bucket that refills at the tenant's rate up to its burst. A request is admitted while at
/// least one unit is left and takes its whole cost, so the level may become negative. Otherwise
/// requests above the burst would never be admitted, and large requests would starve behind small
/// ones.
#[derive(Clone, Debug)]
pub struct UnitBucket {
    limit: TenantLimit,
    level: f64,
    filled_at: Timestamp,
}

impl UnitBucket {
    /// Returns a bucket with this many units, up to the capacity.
    pub fn new(now: Timestamp, limit: TenantLimit, units: f64) -> Self {
        UnitBucket {
            limit,
            level: units.min(limit.capacity()),
            filled_at: now,
        }
    }

    /// Refills the bucket for the elapsed time, then switches to `limit`.
    pub fn refill(&mut self, now: Timestamp, limit: TenantLimit) {
        let elapsed = now.since(self.filled_at).as_secs_f64();
        self.filled_at = self.filled_at.max(now);
        self.level += elapsed * self.limit.rate();
        self.limit = limit;
        self.level = self.level.min(limit.capacity());
    }

    /// Lowers the level to at most `units`.
    pub fn cap(&mut self, units: f64) {
        self.level = self.level.min(units);
    }

    /// Returns true if the bucket is more than half full.
    pub fn has_surplus(&self) -> bool {
        self.level > self.limit.capacity() / 2.0
    }

    /// Takes up to `units` from the upper half of the bucket; returns the number taken.
    pub fn take_surplus(&mut self, units: u64) -> u64 {
        let surplus = (self.level - self.limit.capacity() / 2.0).max(0.0);
        let taken = (surplus as u64).min(units);
        self.level -= taken as f64;
        taken
    }

    /// Returns unused units to the bucket.
    pub fn refund(&mut self, units: u64) {
        self.level = (self.level + units as f64).min(self.limit.capacity());
    }

    /// Charges units, also those that the refill has yet to bring.
    pub fn charge(&mut self, units: u64) {
        self.level -= units as f64;
    }

    /// Units in the bucket.
    pub fn level(&self) -> f64 {
        self.level
    }

    /// Time until the next request is admitted, in milliseconds; 0 if one is admitted now.
    pub fn wait_millis(&self) -> u64 {
        let missing = 1.0 - self.level;
        if missing <= 0.0 {
            return 0;
        }
        (missing / self.limit.rate() * 1_000.0).ceil() as u64
    }
}
