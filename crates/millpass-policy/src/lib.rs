//! Policies in Common Expression Language (CEL): compilation, cost bounds and evaluation.
//!
//! A policy consists of up to four programs over the attributes of a request. Programs are total
//! and free of side effects, and their cost is bounded statically before they are accepted, so that
//! no submitted policy can stall a router. Requests are denied unless a policy allows them.

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
