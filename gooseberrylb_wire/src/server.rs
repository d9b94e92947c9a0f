//! The answering end of a link.

use std::time::Duration;

use async_std::net::TcpStream;
use capnp::capability;
use capnp_rpc::RpcSystem;
use capnp_rpc::rpc_twoparty_capnp::Side;
use capnp_rpc::twoparty::VatNetwork;
use futures::AsyncReadExt;

use crate::watch;

/// The longest silence before a connection is given up; the calling end pings far more often.
const SILENCE_LIMIT: Duration = Duration::from_secs(3);

/// Answers the calls on a connection whose handshake is done, until it ends or falls silent.
pub async fn serve(stream: TcpStream, bootstrap: capability::Client) -> Result<(), capnp::Error> {
    stream.set_nodelay(true).ok();
    let (reader, writer) = stream.split();
    let reader = watch::Reader::new(reader, SILENCE_LIMIT);
    let network = VatNetwork::new(reader, writer, Side::Server, Default::default());
    RpcSystem::new(Box::new(network), Some(bootstrap)).await
}
