//! Command line of briarlug.
fn main() {}
