//! Configuration formats and shared types: settings, release notes, declarations, the directory
//! that they produce, the bodies of the HTTP interface, and typed ids and numbers.
//!
//! Parsing and validation are functions from text to typed values or collected
//! [findings](finding::Findings), so that the daemon, the operator's tool and the tests judge the
//! same input alike. Only [`settings::Settings::load`], [`settings::Secret::read`] and
//! [`clock::System`] touch the machine. See `docs/NOTES.md` for the format of release notes and
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
pub mod trailing;
