//! The `millpass-lab` command.

fn main() {}
