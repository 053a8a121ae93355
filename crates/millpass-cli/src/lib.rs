//! The `millpass` command: options, operators' commands, and the programs it starts.

pub mod commands;
pub mod dev;
pub mod objects;
pub mod options;
