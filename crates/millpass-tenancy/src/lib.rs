//! Who a caller is, and how much a tenant may ask for: without input/output, clock or threads.
//!
//! | module | job |
//! |---|---|
//! | `keys` | hashes of API keys, and whose they are |

mod keys;

pub use keys::{KeyDirectory, KeyHash, PresentedKey};
