//! Placeholder, replaced as the crate grows.
fn main() {}
