//! The `millpass` command: options, operator commands and the processes it starts.

pub mod commands;
pub mod dev;
mod log_line;
pub mod losses;
pub mod objects;
pub mod options;
pub mod quota_use;
