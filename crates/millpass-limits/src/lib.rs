//! Limits that instances state on the requests they take from all gateways together: without input/output, clock or
//! threads.
//!
//! | module | job |
//! |---|---|
//! | `rate` | a limit |
//! | `word` | what an instance was last heard to state, and which of two words holds |
//! | `ledger` | the leader's book: what it lends of each limit |
//! | `pool` | a gateway's permits, and the requests that look for one |
//! | `slots` | when a gateway may send while no leader answers |

mod ledger;
mod pool;
mod rate;
mod slots;
mod word;

pub use ledger::{PermitLedger, PermitsExhausted};
pub use pool::{Availability, PermitPool};
pub use rate::RequestRate;
pub use word::{LimitChange, ObservedLimit};
