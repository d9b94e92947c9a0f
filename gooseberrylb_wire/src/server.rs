//! Answering end of a link.

use std::time::Duration;

use async_std::net::TcpStream;
use capnp::capability;
use capnp_rpc::RpcSystem;
use capnp_rpc::rpc_twoparty_capnp::Side;
use futures::AsyncReadExt;

use crate::transport::vat_network;

/// Time without a read after which a connection is closed; the calling end pings far more often.
const SILENCE_TIMEOUT: Duration = Duration::from_secs(3);

/// Serves the calls on a connection whose handshake is done, until it ends or is silent for
/// `SILENCE_TIMEOUT`.
pub async fn serve(stream: TcpStream, bootstrap: capability::Client) -> Result<(), capnp::Error> {
    stream.set_nodelay(true).ok();
    let (reader, writer) = stream.split();
    let (network, _) = vat_network(reader, writer, Side::Server, SILENCE_TIMEOUT);
    RpcSystem::new(Box::new(network), Some(bootstrap)).await
}
