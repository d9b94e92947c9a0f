//! Clients of a fleet, as tests and measurements use them: callers that send requests, operators
//! that submit release notes, and the records that the results are checked by.

pub mod caller;
pub mod load;
pub mod operator;
pub mod tally;
pub mod verify;

pub use caller::Caller;
pub use operator::Operator;
