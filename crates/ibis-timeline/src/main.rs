//! Merges the events of all processes into one time line.

fn main() {}
