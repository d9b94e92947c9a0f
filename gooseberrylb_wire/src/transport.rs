//! Cap'n Proto transport over a connection: buffered, so that a message costs one read and one
//! write, and with a timeout after which a silent connection fails.

use std::time::Duration;

use capnp_rpc::rpc_twoparty_capnp::Side;
use capnp_rpc::twoparty::VatNetwork;
use futures::io::{BufReader, BufWriter};
use futures::{AsyncRead, AsyncWrite};

use crate::watch::{LastContact, Reader};

/// Size of the buffer of each direction, in bytes; nearly all messages are smaller.
const BUFFER_BYTES: usize = 4 * 1024;

/// Returns the Cap'n Proto network for one end of a connection, and the time of its last read.
/// Reading fails once nothing has arrived for `timeout`.
pub fn vat_network<R, W>(
    reader: R,
    writer: W,
    side: Side,
    timeout: Duration,
) -> (VatNetwork<BufReader<Reader<R>>>, LastContact)
where
    R: AsyncRead + Unpin + 'static,
    W: AsyncWrite + Unpin + 'static,
{
    let reader = Reader::new(reader, timeout);
    let last_contact = reader.last_contact();
    let reader = BufReader::with_capacity(BUFFER_BYTES, reader);
    // The network flushes the writer whenever no more messages are queued.
    let writer = BufWriter::with_capacity(BUFFER_BYTES, writer);
    let network = VatNetwork::new(reader, writer, side, Default::default());
    (network, last_contact)
}
