//! Links between the instances of a gooseberrylb cluster: a handshake that proves possession of the
//! cluster's key, Cap'n Proto calls, and timeouts that close a connection on which nothing arrives.
//! `docs/DESIGN.md` describes how the links are used.

pub mod codec;
pub mod dispatch;
pub mod handshake;
pub mod link;
pub mod message;
pub mod plane;
pub mod server;
pub mod transport;
pub mod watch;

#[allow(missing_docs, clippy::all, rustdoc::all)]
#[rustfmt::skip]
pub mod peer_capnp;
