//! The `millpass-sim` command.

fn main() {}
