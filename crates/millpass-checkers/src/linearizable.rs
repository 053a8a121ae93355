//! Checks that configuration changes (per object) and claims (per tenant and key) are
//! linearizable, with the WGL checker of `todc-utils`.

mod catalog;
mod claims;
mod operations;

pub use catalog::{CONFIGURATION, check_configuration};
pub use claims::{CLAIMS, check_claims, digest_of};
