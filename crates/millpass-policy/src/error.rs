//! Errors of policy compilation and validation.

use millpass_proto::PolicyName;
use std::fmt;
use thiserror::Error;

/// Program of a policy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PolicyProgram {
    /// Allows the request.
    Allow,
    /// Denies the request, overriding every `allow`.
    Deny,
    /// Urgency of the request.
    Urgency,
    /// Accelerator bytes available to the tenant.
    CapacityBytes,
}

impl fmt::Display for PolicyProgram {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            PolicyProgram::Allow => "allow",
            PolicyProgram::Deny => "deny",
            PolicyProgram::Urgency => "urgency",
            PolicyProgram::CapacityBytes => "capacity_bytes",
        })
    }
}

/// Why a policy was rejected.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum PolicyError {
    /// A program does not compile or violates a bound.
    #[error("policy {policy}: {program}:{line}:{column}: {reason}; {remedy}")]
    Program {
        /// Policy.
        policy: PolicyName,
        /// Program of the policy.
        program: PolicyProgram,
        /// Line, from 1.
        line: usize,
        /// Column, from 1.
        column: usize,
        /// What is wrong.
        reason: String,
        /// How to fix it.
        remedy: &'static str,
    },
    /// An example of the policy did not get the expected verdict.
    #[error("policy {policy}: example {number} ({example}): {reason}; {remedy}")]
    Example {
        /// Policy.
        policy: PolicyName,
        /// Number of the example, from 1.
        number: usize,
        /// Readable form of the example's request.
        example: String,
        /// What is wrong.
        reason: String,
        /// How to fix it.
        remedy: &'static str,
    },
}
