//! Callers' connections: stall timeouts, and detection of callers that hang up.

use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

use async_std::net::TcpStream;
use async_std::task;
use futures::{AsyncRead, AsyncWrite};

/// Longest time for which a caller may accept no byte of a response.
const WRITE_TIMEOUT: Duration = Duration::from_secs(30);

/// Interval between checks whether the caller has hung up.
const HANG_UP_POLL_INTERVAL: Duration = Duration::from_millis(200);

type Timer = Pin<Box<dyn Future<Output = ()> + Send + Sync>>;

/// A TCP stream whose reads and writes fail with [`io::ErrorKind::TimedOut`] once they have stalled
/// for too long.
pub struct Stream {
    inner: TcpStream,
    idle_timeout: Duration,
    read_stall: StallTimer,
    write_stall: StallTimer,
}

/// Timer that runs while an operation is pending.
#[derive(Default)]
struct StallTimer(Option<Timer>);

impl StallTimer {
    /// Passes `result` on, or returns a timeout once the operation has been pending for `limit`.
    fn check<T>(
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
    /// Wraps `inner`, whose reads time out after `idle_timeout` without a byte.
    pub fn new(inner: TcpStream, idle_timeout: Duration) -> Self {
        Self {
            inner,
            idle_timeout,
            read_stall: StallTimer::default(),
            write_stall: StallTimer::default(),
        }
    }
}

impl Clone for Stream {
    fn clone(&self) -> Self {
        Self::new(self.inner.clone(), self.idle_timeout)
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
        this.read_stall.check(cx, this.idle_timeout, result)
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
        this.write_stall.check(cx, WRITE_TIMEOUT, result)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let this = &mut *self;
        let result = Pin::new(&mut this.inner).poll_flush(cx);
        this.write_stall.check(cx, WRITE_TIMEOUT, result)
    }

    fn poll_close(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_close(cx)
    }
}

/// Handle on the connection on which a request arrived.
#[derive(Clone)]
pub struct Peer {
    stream: TcpStream,
    address: SocketAddr,
}

impl Peer {
    /// Returns the handle of the connection `stream` from `address`.
    pub fn new(stream: TcpStream, address: SocketAddr) -> Self {
        Self { stream, address }
    }

    /// Returns the caller's address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Waits until the caller has hung up.
    ///
    /// The HTTP library detects a closed connection only at its next write, and nothing is written
    /// while a request is queued.
    pub async fn hung_up(&self) {
        let mut byte = [0];
        loop {
            match self.stream.peek(&mut byte).await {
                Ok(0) | Err(_) => return,
                // A pipelining caller has sent its next request; check again later.
                Ok(_) => task::sleep(HANG_UP_POLL_INTERVAL).await,
            }
        }
    }
}
