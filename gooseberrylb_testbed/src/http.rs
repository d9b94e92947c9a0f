//! The little of HTTP/1.1 that stand-ins and callers need, over `async-h1`.

pub mod client;
pub mod server;

pub use client::Client;
pub use server::Server;
