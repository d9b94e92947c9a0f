//! A reader that fails once nothing has come for too long.
//!
//! A connection can go silent for good while new ones work. Both ends of a link send or answer
//! pings, so silence for longer than a few pings means that the connection is lost.

use std::future::Future;
use std::io;
use std::pin::Pin;
use std::task::{Context, Poll, ready};
use std::time::{Duration, Instant};

use async_std::task;
use futures::AsyncRead;

/// Wraps a reader with a limit on silence.
pub struct Reader<R> {
    /// The reader.
    inner: R,
    /// The longest silence allowed.
    limit: Duration,
    /// When something came last.
    last: Instant,
    /// Ends when the silence may have lasted too long; it is not set anew at each read, which would
    /// wake the timers' thread for every message.
    timer: Pin<Box<dyn Future<Output = ()> + Send>>,
}

impl<R> Reader<R> {
    /// Watches `inner`, allowing silences up to `limit`.
    pub fn new(inner: R, limit: Duration) -> Self {
        Self {
            inner,
            limit,
            last: Instant::now(),
            timer: Box::pin(task::sleep(limit)),
        }
    }
}

impl<R: AsyncRead + Unpin> AsyncRead for Reader<R> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        if let Poll::Ready(result) = Pin::new(&mut self.inner).poll_read(cx, buffer) {
            self.last = Instant::now();
            return Poll::Ready(result);
        }
        loop {
            ready!(self.timer.as_mut().poll(cx));
            let left = self.limit.saturating_sub(self.last.elapsed());
            if left.is_zero() {
                break;
            }
            self.timer = Box::pin(task::sleep(left));
        }
        Poll::Ready(Err(io::Error::new(
            io::ErrorKind::TimedOut,
            "the other end is silent",
        )))
    }
}
