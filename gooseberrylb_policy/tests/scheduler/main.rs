//! Tests of the scheduler through its inputs and outputs only.

mod claims;
mod fixture;
mod order;
mod placement;
mod safety;
