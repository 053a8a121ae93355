//! Linearizability of configuration changes (per object) and of claims (per tenant and key),
//! with the WGL checker of `todc-utils`.

mod catalog;
mod claims;
mod operations;

pub use catalog::{CONFIGURATION, check_configuration};
pub use claims::{CLAIMS, check_claims, digest_of};
