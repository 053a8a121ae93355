//! Who a caller is, and how much a tenant may ask for: without input/output, clock or threads.
//!
//! | module | job |
//! |---|---|
//! | `keys` | hashes of API keys, and whose they are |
//! | `limit` | a tenant's limit, and a bucket that holds what may be used of it |
//! | `ledger` | what the leader lends of each tenant's quota |
//! | `account` | one tenant's credit at a gateway, also while no leader answers |
//! | `pool` | what a gateway was lent, and the requests that wait for more |

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
