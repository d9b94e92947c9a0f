//! Checks that the control state applies each command once and in order, and answers resends with
//! the original reply.

mod evacuations;
mod harness;
mod histories;
mod instances;
mod notes;
mod reports;
mod rollouts;
mod stored;
