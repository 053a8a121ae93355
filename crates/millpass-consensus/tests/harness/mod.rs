//! Deterministic simulation of members and network in virtual time, with faults and checks.

#![allow(dead_code)]

pub mod checks;
pub mod cluster;
pub mod disk;
pub mod faults;
pub mod machine;
pub mod values;
