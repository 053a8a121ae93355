//! Limits that instances state on the requests they accept from all gateways together. No I/O,
//! clock or threads.
//!
//! | module | contents |
//! |---|---|
//! | `rate` | request rate of a limit |
//! | `observed` | last observed limit of each instance, and which of two observations wins |
//! | `ledger` | the leader's ledger of granted permits |
//! | `pool` | a gateway's permits, and the requests waiting for one |
//! | `slots` | when a gateway may send while the leader is unreachable |

mod ledger;
mod observed;
mod pool;
mod rate;
mod slots;

pub use ledger::{PermitLedger, PermitsExhausted};
pub use observed::{LimitChange, ObservedLimit};
pub use pool::{Availability, PermitPool};
pub use rate::RequestRate;
