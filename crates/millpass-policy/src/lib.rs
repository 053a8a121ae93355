//! Policies in Common Expression Language: compile, check cost, evaluate.
//!
//! A policy is up to four short programs over the facts of one request. They are total and have
//! no side effects; what they may cost is bounded from their syntax tree before they are accepted,
//! so that no submitted policy can stall a router. Nothing is allowed unless some policy allows it.
//!
//! * [`validate`] judges a policy when an operator submits it.
//! * [`CompiledPolicies`] holds the policies in force and judges requests.
//! * [`VerdictCache`] remembers verdicts until the catalog changes.

mod attributes;
mod cache;
mod cost;
mod error;
mod evaluate;
mod program;

pub use attributes::RequestAttributes;
pub use cache::VerdictCache;
pub use cost::{MAXIMUM_COST, MAXIMUM_DEPTH, MAXIMUM_MACRO_NESTING};
pub use error::{PolicyError, PolicyProgram};
pub use evaluate::{CompiledPolicies, Verdict, validate};
pub use program::{MAXIMUM_BRACKET_DEPTH, MAXIMUM_SOURCE_BYTES};
