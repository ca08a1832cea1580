//! carobdrum.
fn main() {}
