//! Why a policy was not accepted.

use millpass_proto::PolicyName;
use std::fmt;
use thiserror::Error;

/// Which program of a policy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PolicyProgram {
    /// Whether the request is allowed.
    Allow,
    /// Whether it is refused whatever else allows it.
    Deny,
    /// Its urgency.
    Urgency,
    /// Accelerator bytes of the tenant.
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

/// A policy that is not accepted: where, why, and what to do.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum PolicyError {
    /// A program does not compile or breaks a bound.
    #[error("policy {policy}: {program}:{line}:{column}: {reason}; {remedy}")]
    Program {
        /// Policy.
        policy: PolicyName,
        /// Which of its programs.
        program: PolicyProgram,
        /// Line, from 1.
        line: usize,
        /// Column, from 1.
        column: usize,
        /// What is wrong.
        reason: String,
        /// What to do about it.
        remedy: &'static str,
    },
    /// An example of the policy does not come out as stated.
    #[error("policy {policy}: example {number} ({example}): {reason}; {remedy}")]
    Example {
        /// Policy.
        policy: PolicyName,
        /// Number of the example, from 1.
        number: usize,
        /// The request of the example, for people.
        example: String,
        /// What came out.
        reason: String,
        /// What to do about it.
        remedy: &'static str,
    },
}
