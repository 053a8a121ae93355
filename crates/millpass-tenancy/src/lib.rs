//! Tenants: API keys and quotas shared by all gateways, without I/O, clock or threads.
//!
//! The leader grants units of each tenant's quota from its [`CreditLedger`]; a gateway keeps them
//! for its requests in its [`CreditPool`].

mod account;
mod claim;
mod events;
mod holdings;
mod keys;
mod lease;
mod ledger;
mod limit;
mod pool;
mod priority;
mod tolerance;

pub use claim::{ClaimedRequest, CreditClaim, CreditOutcome, CreditSource, CreditUse};
pub use events::{CreditEvent, CreditTotals, QuotaExhausted};
pub use keys::{KeyDirectory, KeyHash, PresentedKey};
pub use ledger::{CreditLedger, MAXIMUM_CLAIMS_PER_REQUEST};
pub use limit::{TenantLimit, UnitBucket};
pub use pool::CreditPool;
pub use tolerance::{MAXIMUM_OPENINGS_PER_WINDOW, QuotaTolerance};
