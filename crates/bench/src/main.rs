//! Deterministic cases for the decision code and wall-clock cases on loopback.
fn main() {}
