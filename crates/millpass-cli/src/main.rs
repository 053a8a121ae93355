//! The `millpass` command.

fn main() {}
