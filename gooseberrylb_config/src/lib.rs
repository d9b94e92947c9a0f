//! Settings, release notes and the typed ids, sizes and rates that every part of gooseberrylb shares.
//!
//! Nothing here does input or output on its own account: texts come in, typed values or collected
//! [findings](finding::Findings) come out, so that the daemon, the operator's tool and the tests
//! judge the same input alike. See `docs/NOTES.md` for the format of release notes and
//! `docs/OPERATING.md` for the settings.

pub mod answer;
pub mod clock;
pub mod declaration;
pub mod dialect;
pub mod directory;
pub mod finding;
pub mod id;
pub mod note;
pub mod number;
mod reader;
pub mod settings;
