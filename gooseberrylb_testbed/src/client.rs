//! The people and programs that use the system: callers and operators.

pub mod caller;
pub mod load;
pub mod operator;
pub mod tally;
pub mod verify;

pub use caller::Caller;
pub use operator::Operator;
