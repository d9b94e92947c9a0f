//! The replicated control state of gooseberrylb.
//!
//! [`consensus`] agrees on a log of entries, [`journal`] keeps it on disk and [`state`] is what the
//! entries add up to. Only the journal does input and output; all else is told the time and given
//! its messages. `docs/DESIGN.md` holds the argument why an accepted note is never lost.

pub mod consensus;
pub mod entry;
pub mod journal;
pub mod membership;
pub mod repair;
pub mod state;
pub mod views;
