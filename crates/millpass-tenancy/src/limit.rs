//! A tenant's limit, and a bucket that holds what may be used of it.

use millpass_proto::{TenantAccess, Timestamp};

/// What a tenant may use, over all gateways.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TenantLimit {
    /// Units in a second.
    pub units_per_second: u64,
    /// Units beyond that at once.
    pub burst_units: u64,
}

impl TenantLimit {
    /// The limit of a tenant; none where it has no limit.
    pub fn of(tenant: &TenantAccess) -> Option<TenantLimit> {
        (tenant.units_per_second > 0).then_some(TenantLimit {
            units_per_second: tenant.units_per_second,
            burst_units: tenant.burst_units,
        })
    }

    /// Most units that a bucket holds. Without a burst one unit is kept, so that the bucket can fill at all.
    pub(crate) fn capacity(&self) -> f64 {
        self.burst_units.max(1) as f64
    }

    fn rate(&self) -> f64 {
        self.units_per_second as f64
    }
}

/// A bucket of units that fills at the tenant's rate up to its burst. A request may go while anything is in
/// it and takes its whole cost, so that the level may fall below 0: otherwise requests above the burst would
/// never go, and large ones would wait behind small ones that come later.
#[derive(Clone, Debug)]
pub struct UnitBucket {
    limit: TenantLimit,
    level: f64,
    filled_at: Timestamp,
}

impl UnitBucket {
    /// A bucket with this many units in it.
    pub fn new(now: Timestamp, limit: TenantLimit, units: f64) -> Self {
        UnitBucket {
            limit,
            level: units.min(limit.capacity()),
            filled_at: now,
        }
    }

    /// Fills it for the time gone by, and goes on under this limit.
    pub fn refill(&mut self, now: Timestamp, limit: TenantLimit) {
        let gone_by = now.since(self.filled_at).as_secs_f64();
        self.filled_at = self.filled_at.max(now);
        self.level += gone_by * self.limit.rate();
        self.limit = limit;
        self.level = self.level.min(limit.capacity());
    }

    /// Takes a request's cost, if anything is there.
    pub fn try_take(&mut self, units: u64) -> bool {
        let open = self.level >= 1.0;
        if open {
            self.level -= units as f64;
        }
        open
    }

    /// Whether more than half of the capacity is there.
    pub fn has_surplus(&self) -> bool {
        self.level > self.limit.capacity() / 2.0
    }

    /// Takes up to this many units of what is above half of the capacity; gives how many.
    pub fn take_surplus(&mut self, units: u64) -> u64 {
        let plenty = (self.level - self.limit.capacity() / 2.0).max(0.0);
        let taken = (plenty as u64).min(units);
        self.level -= taken as f64;
        taken
    }

    /// Puts back units that were not used.
    pub fn refund(&mut self, units: u64) {
        self.level = (self.level + units as f64).min(self.limit.capacity());
    }

    /// Takes units that were used without asking.
    pub fn charge(&mut self, units: u64) {
        self.level -= units as f64;
    }

    /// Units in it.
    pub fn level(&self) -> f64 {
        self.level
    }

    /// Time until the next request may go, in milliseconds; 0 if one may.
    pub fn wait_millis(&self) -> u64 {
        let lacking = 1.0 - self.level;
        if lacking <= 0.0 {
            return 0;
        }
        (lacking / self.limit.rate() * 1_000.0).ceil() as u64
    }
}
