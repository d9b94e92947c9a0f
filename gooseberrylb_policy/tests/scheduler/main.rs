//! Tests of the scheduler through its public inputs and outputs.

mod claims;
mod fixture;
mod order;
mod placement;
mod safety;
