//! How a model engine behaves, without input or output, so that the replay in virtual time and the
//! stand-in in real time share one model.

pub mod cache;
pub mod model;
pub mod text;

pub use model::Model;
