//! Minimal HTTP/1.1 client and server for stand-ins and callers, on top of `async-h1`.

pub mod client;
pub mod server;

pub use client::Client;
pub use server::Server;
