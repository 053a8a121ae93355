//! Deterministic simulator: the decision code in virtual time under faults.
