//! Detection of lost connections: a reader that fails once nothing has arrived for too long.
//!
//! A connection can stop delivering data for good while new connections work. Both ends of a link
//! send or answer pings, so a connection that is silent for several ping intervals is lost.

use std::cell::Cell;
use std::future::Future;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use std::time::{Duration, Instant};

use async_std::task;
use futures::AsyncRead;

/// Time of the last read on a connection, shared with its [`Reader`].
#[derive(Debug, Clone)]
pub struct LastContact(Rc<Cell<Instant>>);

impl LastContact {
    /// Returns the time since the last read.
    pub fn elapsed(&self) -> Duration {
        self.0.get().elapsed()
    }
}

/// Reader that fails when nothing arrives within a timeout.
pub struct Reader<R> {
    inner: R,
    /// Maximum time without a read.
    timeout: Duration,
    last_contact: LastContact,
    /// Timer that ends when the timeout may have passed. It is not reset on each read, as that
    /// would wake the timer thread for every message.
    timer: Pin<Box<dyn Future<Output = ()> + Send>>,
}

impl<R> Reader<R> {
    /// Returns a reader of `inner` that fails once nothing has arrived for `timeout`.
    pub fn new(inner: R, timeout: Duration) -> Self {
        Self {
            inner,
            timeout,
            last_contact: LastContact(Rc::new(Cell::new(Instant::now()))),
            timer: Box::pin(task::sleep(timeout)),
        }
    }

    /// Returns the time of the last read, which is updated by later reads.
    pub fn last_contact(&self) -> LastContact {
        self.last_contact.clone()
    }
}

impl<R: AsyncRead + Unpin> AsyncRead for Reader<R> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        if let Poll::Ready(result) = Pin::new(&mut self.inner).poll_read(cx, buffer) {
            self.last_contact.0.set(Instant::now());
            return Poll::Ready(result);
        }
        loop {
            ready!(self.timer.as_mut().poll(cx));
            let remaining = self.timeout.saturating_sub(self.last_contact.elapsed());
            if remaining.is_zero() {
                break;
            }
            self.timer = Box::pin(task::sleep(remaining));
        }
        Poll::Ready(Err(io::Error::new(
            io::ErrorKind::TimedOut,
            "nothing received within the timeout",
        )))
    }
}
