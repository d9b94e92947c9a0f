//! Number of reads and writes that a Cap'n Proto call causes: one of each per message.

use std::cell::Cell;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;

use async_std::net::{TcpListener, TcpStream};
use async_std::task;
use capnp::capability::FromClientHook;
use capnp_rpc::RpcSystem;
use capnp_rpc::rpc_twoparty_capnp::Side;
use futures::io::{ReadHalf, WriteHalf};
use futures::{AsyncRead, AsyncReadExt, AsyncWrite};
use gooseberrylb_wire::peer_capnp::control;
use gooseberrylb_wire::transport::vat_network;

const SILENCE_TIMEOUT: Duration = Duration::from_secs(60);
const CALLS: usize = 20;

/// Reader or writer that counts the operations which did not have to wait.
struct Counted<T> {
    inner: T,
    count: Rc<Cell<usize>>,
}

impl<T: AsyncRead + Unpin> AsyncRead for Counted<T> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.inner).poll_read(cx, buffer);
        if matches!(result, Poll::Ready(Ok(_))) {
            self.count.set(self.count.get() + 1);
        }
        result
    }
}

impl<T: AsyncWrite + Unpin> AsyncWrite for Counted<T> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.count.set(self.count.get() + 1);
        Pin::new(&mut self.inner).poll_write(cx, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(cx)
    }

    fn poll_close(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_close(cx)
    }
}

struct Server;

impl control::Server for Server {
    async fn ping(
        self: Rc<Self>,
        _: control::PingParams,
        _: control::PingResults,
    ) -> Result<(), capnp::Error> {
        Ok(())
    }
}

/// Reading and writing half of a connection.
type Halves = (Counted<ReadHalf<TcpStream>>, Counted<WriteHalf<TcpStream>>);

/// Splits a connection and returns its halves with their counts of reads and writes.
fn split(stream: TcpStream) -> (Halves, Rc<Cell<usize>>, Rc<Cell<usize>>) {
    let (reader, writer) = stream.split();
    let (reads, writes) = (Rc::default(), Rc::default());
    let reader = Counted {
        inner: reader,
        count: Rc::clone(&reads),
    };
    let writer = Counted {
        inner: writer,
        count: Rc::clone(&writes),
    };
    ((reader, writer), reads, writes)
}

#[async_std::test]
async fn message_costs_one_write_and_one_read() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let client_stream = TcpStream::connect(address).await.unwrap();
    let (server_stream, _) = listener.accept().await.unwrap();
    let ((reader, writer), _, client_writes) = split(client_stream);
    let (network, _) = vat_network(reader, writer, Side::Client, SILENCE_TIMEOUT);
    let mut system = RpcSystem::new(Box::new(network), None);
    let client: control::Client = system.bootstrap(Side::Server);
    task::spawn_local(system);
    let ((reader, writer), server_reads, server_writes) = split(server_stream);
    let (network, _) = vat_network(reader, writer, Side::Server, SILENCE_TIMEOUT);
    let server: control::Client = capnp_rpc::new_client(Server);
    let bootstrap = server.into_client_hook();
    let server_system = RpcSystem::new(
        Box::new(network),
        Some(capnp::capability::Client::new(bootstrap)),
    );
    task::spawn_local(server_system);
    for _ in 0..CALLS {
        client.ping_request().send().promise.await.unwrap();
    }
    // The client sends each call and the release of its response, the server the response. One more
    // exchange obtains the bootstrap capability.
    let calls = CALLS + 1;
    assert!(client_writes.get() <= 2 * calls, "{}", client_writes.get());
    assert!(server_writes.get() <= calls, "{}", server_writes.get());
    assert!(server_reads.get() <= 2 * calls, "{}", server_reads.get());
}
