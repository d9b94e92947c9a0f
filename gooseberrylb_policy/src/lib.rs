//! The decisions of gooseberrylb about traffic, as pure code: time, randomness and messages are
//! passed in, and what is to be done comes out. The daemon carries it out. See `docs/DESIGN.md`.

pub mod dispatch;
pub mod moves;
pub mod occupancy;
pub mod quota;
pub mod request;
pub mod retry;
pub mod rollout;
pub mod scheduler;
