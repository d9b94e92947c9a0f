//! Placeholder, replaced as the crate grows.
