//! A reader that fails once nothing has come for too long.
//!
//! A connection can go silent for good while new ones work. Both ends of a link send or answer
//! pings, so silence for longer than a few pings means that the connection is lost.

use std::future::Future;
use std::io;
use std::pin::Pin;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use async_std::task;
use futures::AsyncRead;

/// Wraps a reader with a limit on silence.
pub struct Reader<R> {
    /// The reader.
    inner: R,
    /// The longest silence allowed.
    limit: Duration,
    /// Ends when the silence has lasted too long.
    timer: Pin<Box<dyn Future<Output = ()> + Send>>,
}

impl<R> Reader<R> {
    /// Watches `inner`, allowing silences up to `limit`.
    pub fn new(inner: R, limit: Duration) -> Self {
        Self {
            inner,
            limit,
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
            self.timer = Box::pin(task::sleep(self.limit));
            return Poll::Ready(result);
        }
        ready!(self.timer.as_mut().poll(cx));
        Poll::Ready(Err(io::Error::new(
            io::ErrorKind::TimedOut,
            "the other end is silent",
        )))
    }
}
