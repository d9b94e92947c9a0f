//! Traffic decisions of gooseberrylb as pure code: time, randomness and messages are passed in,
//! and the decisions are returned. The daemon carries them out. See `docs/DESIGN.md`.

pub mod announcement;
pub mod availability;
pub mod copies;
pub mod crash;
mod decay;
pub mod dispatch;
pub mod drain;
pub mod limit;
pub mod moves;
pub mod occupancy;
pub mod quota;
pub mod reach;
pub mod request;
pub mod retry;
pub mod rollout;
pub mod room;
pub mod scheduler;
pub mod warm_up;
