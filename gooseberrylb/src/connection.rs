//! A caller's connection with limits on how long it may make no progress.

use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

use async_std::net::TcpStream;
use async_std::task;
use futures::{AsyncRead, AsyncWrite};

/// The longest that a caller may take no byte of an answer.
const WRITE_STALL: Duration = Duration::from_secs(30);

/// The pause between two looks at whether the caller has hung up.
const HANG_UP_INTERVAL: Duration = Duration::from_millis(200);

type Timer = Pin<Box<dyn Future<Output = ()> + Send + Sync>>;

/// A connection whose reads and writes fail once they have stalled for too long.
pub struct Stream {
    inner: TcpStream,
    idle: Duration,
    reading: Stall,
    writing: Stall,
}

/// Notices that an operation makes no progress.
#[derive(Default)]
struct Stall(Option<Timer>);

impl Stall {
    fn watch<T>(
        &mut self,
        cx: &mut Context<'_>,
        limit: Duration,
        result: Poll<io::Result<T>>,
    ) -> Poll<io::Result<T>> {
        if result.is_ready() {
            self.0 = None;
            return result;
        }
        let timer = self.0.get_or_insert_with(|| Box::pin(task::sleep(limit)));
        match timer.as_mut().poll(cx) {
            Poll::Ready(()) => Poll::Ready(Err(io::ErrorKind::TimedOut.into())),
            Poll::Pending => Poll::Pending,
        }
    }
}

impl Stream {
    /// Guards `inner`, which may be silent for as long as `idle` while it is read.
    pub fn new(inner: TcpStream, idle: Duration) -> Self {
        Self {
            inner,
            idle,
            reading: Stall::default(),
            writing: Stall::default(),
        }
    }
}

impl Clone for Stream {
    fn clone(&self) -> Self {
        Self::new(self.inner.clone(), self.idle)
    }
}

impl AsyncRead for Stream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let this = &mut *self;
        let result = Pin::new(&mut this.inner).poll_read(cx, buffer);
        this.reading.watch(cx, this.idle, result)
    }
}

impl AsyncWrite for Stream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &[u8],
    ) -> Poll<io::Result<usize>> {
        let this = &mut *self;
        let result = Pin::new(&mut this.inner).poll_write(cx, buffer);
        this.writing.watch(cx, WRITE_STALL, result)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let this = &mut *self;
        let result = Pin::new(&mut this.inner).poll_flush(cx);
        this.writing.watch(cx, WRITE_STALL, result)
    }

    fn poll_close(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_close(cx)
    }
}

/// What a handler may know of the connection that its request came by.
#[derive(Clone)]
pub struct Peer {
    stream: TcpStream,
    address: SocketAddr,
}

impl Peer {
    /// Makes the handle of a connection.
    pub fn new(stream: TcpStream, address: SocketAddr) -> Self {
        Self { stream, address }
    }

    /// The other end's address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Waits until the caller has hung up.
    ///
    /// The HTTP library notices a closed connection at its next write only, and a waiting request
    /// writes nothing.
    pub async fn hung_up(&self) {
        let mut byte = [0];
        loop {
            match self.stream.peek(&mut byte).await {
                Ok(0) | Err(_) => return,
                // The next request of a pipelining caller is waiting; look again later.
                Ok(_) => task::sleep(HANG_UP_INTERVAL).await,
            }
        }
    }
}
