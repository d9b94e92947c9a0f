//! Simulation of a model engine without I/O or clocks, shared by the replay in virtual time and the
//! stand-in in real time.

pub mod cache;
pub mod model;
pub mod text;

pub use model::Model;
