//! Replicated control state of gooseberrylb.
//!
//! [`consensus`] agrees on a log of entries, [`journal`] stores it on disk and [`state`] holds the
//! result of applying the entries. Only the journal performs I/O; all other modules receive the
//! current time and their messages from the caller. `docs/DESIGN.md` explains why an accepted note
//! is never lost.

pub mod consensus;
pub mod entry;
pub mod journal;
pub mod membership;
pub mod repair;
pub mod state;
pub mod views;
