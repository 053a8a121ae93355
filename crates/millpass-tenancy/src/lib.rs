//! Tenants: API keys and quotas shared by all gateways, without I/O, clock or threads.
//!
//! | module | contents |
//!
//! |---|---|
//!
//! | `keys` | hashes of API keys and the tenants that own them |
//! | `limit` | limit of a tenant and its token bucket |
//! | `ledger` | units that the leader grants from each tenant's quota |
//! | `account` | credit of one tenant at a gateway, with overdraft while the leader is unreachable |
//! | `pool` | credit of all tenants at a gateway, and the requests that wait for more |

mod account;
mod keys;
mod ledger;
mod limit;
mod pool;

pub use account::QuotaTolerance;
pub use keys::{KeyDirectory, KeyHash, PresentedKey};
pub use ledger::{CreditLedger, MAXIMUM_CLAIMS_PER_REQUEST, QuotaExhausted};
pub use limit::{TenantLimit, UnitBucket};
pub use pool::{CreditClaim, CreditOutcome, CreditPool};
