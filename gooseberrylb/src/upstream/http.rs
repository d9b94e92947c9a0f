//! HTTP calls to upstreams over pooled connections, which are checked before they are reused.

use std::collections::HashMap;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, LazyLock, Mutex, PoisonError};
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

use async_std::future;
use async_std::net::TcpStream;
use async_std::task;
use futures::{AsyncRead, AsyncWrite};
use http_types::{Request, Response, Url};

use super::Error;

/// Time limit for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Time for which an idle connection is kept; shorter than the keep-alive timeout of most servers.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);

/// Maximum number of idle connections kept to one upstream.
const MAX_IDLE_PER_UPSTREAM: usize = 64;

/// Whether a call may use an idle connection from the pool.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reuse {
    /// It may, as the call can be repeated.
    Allowed,
    /// It may not: if the upstream closes the connection at that moment, it is unknown whether the
    /// call ran.
    Never,
}

/// An idle connection.
struct Idle {
    stream: TcpStream,
    idle_since: Instant,
}

/// Idle connections by upstream.
#[derive(Default)]
struct Pool(Mutex<HashMap<SocketAddr, Vec<Idle>>>);

static POOL: LazyLock<Pool> = LazyLock::new(Pool::default);

impl Pool {
    /// Removes and returns the most recently used connection that is still usable.
    fn take(&self, address: SocketAddr) -> Option<TcpStream> {
        let mut pool = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let idle = pool.get_mut(&address)?;
        while let Some(candidate) = idle.pop() {
            if candidate.idle_since.elapsed() < IDLE_TIMEOUT && is_idle(&candidate.stream) {
                return Some(candidate.stream);
            }
        }
        pool.remove(&address);
        None
    }

    /// Adds a connection, unless the pool has enough connections to this upstream.
    fn put(&self, address: SocketAddr, stream: TcpStream) {
        let mut pool = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let idle = pool.entry(address).or_default();
        if idle.len() < MAX_IDLE_PER_UPSTREAM {
            idle.push(Idle {
                stream,
                idle_since: Instant::now(),
            });
        }
    }
}

/// Whether an idle connection has received neither bytes nor the end of the stream.
fn is_idle(stream: &TcpStream) -> bool {
    let mut byte = [0];
    let mut peek = Box::pin(stream.peek(&mut byte));
    let mut context = Context::from_waker(std::task::Waker::noop());
    peek.as_mut().poll(&mut context).is_pending()
}

/// A connection that records whether it has sent any byte, and fails with a timeout when a read or
/// write has been pending for too long.
#[derive(Clone)]
pub struct Connection {
    inner: TcpStream,
    sent: Arc<AtomicBool>,
    silence_timeout: Duration,
    timer: Arc<Mutex<Option<Timer>>>,
}

type Timer = Pin<Box<dyn Future<Output = ()> + Send>>;

impl Connection {
    fn new(inner: TcpStream, silence_timeout: Duration) -> Self {
        let timer = Arc::new(Mutex::new(None));
        Self {
            inner,
            sent: Arc::default(),
            silence_timeout,
            timer,
        }
    }

    /// Passes `result` on, or returns a timeout once operations have been pending for too long.
    fn check_silence<T>(
        &self,
        cx: &mut Context<'_>,
        result: Poll<io::Result<T>>,
    ) -> Poll<io::Result<T>> {
        let mut timer_slot = self.timer.lock().unwrap_or_else(PoisonError::into_inner);
        if result.is_ready() {
            *timer_slot = None;
            return result;
        }
        let timer = timer_slot.get_or_insert_with(|| Box::pin(task::sleep(self.silence_timeout)));
        match timer.as_mut().poll(cx) {
            Poll::Ready(()) => Poll::Ready(Err(io::ErrorKind::TimedOut.into())),
            Poll::Pending => Poll::Pending,
        }
    }
}

impl AsyncRead for Connection {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.inner).poll_read(cx, buffer);
        self.check_silence(cx, result)
    }
}

impl AsyncWrite for Connection {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &[u8],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.inner).poll_write(cx, buffer);
        if matches!(result, Poll::Ready(Ok(_))) {
            self.sent.store(true, Ordering::SeqCst);
        }
        self.check_silence(cx, result)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(cx)
    }

    fn poll_close(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_close(cx)
    }
}

async fn connect(address: SocketAddr) -> Result<TcpStream, Error> {
    match future::timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await {
        Ok(Ok(stream)) => {
            stream.set_nodelay(true).ok();
            Ok(stream)
        }
        Ok(Err(error)) => Err(Error::NotSent(error)),
        Err(_) => Err(Error::NotSent(io::ErrorKind::TimedOut.into())),
    }
}

/// Returns the URL of a path at an upstream.
pub fn url(address: SocketAddr, path: &str) -> Result<Url, Error> {
    Url::parse(&format!("http://{address}{path}"))
        .map_err(|error| Error::NotSent(io::Error::other(error.to_string())))
}

/// A response whose body has not been read yet, and its connection.
pub struct Exchange {
    /// Response of the upstream.
    pub response: Response,
    address: SocketAddr,
    stream: TcpStream,
}

impl Exchange {
    /// Returns the connection to the pool; the response must have been read to its end.
    pub fn recycle(self) {
        let closes = self
            .response
            .header("Connection")
            .is_some_and(|value| value.as_str().eq_ignore_ascii_case("close"));
        if !closes {
            POOL.put(self.address, self.stream);
        }
    }
}

/// Sends a request and waits for the head of the response; `silence_timeout` bounds each wait for
/// bytes.
pub async fn call(
    address: SocketAddr,
    request: Request,
    reuse: Reuse,
    silence_timeout: Duration,
) -> Result<Exchange, Error> {
    let pooled = match reuse {
        Reuse::Allowed => POOL.take(address),
        Reuse::Never => None,
    };
    let stream = match pooled {
        Some(stream) => stream,
        None => connect(address).await?,
    };
    let connection = Connection::new(stream.clone(), silence_timeout);
    let sent = connection.sent.clone();
    match async_h1::connect(connection, request).await {
        Ok(response) => Ok(Exchange {
            response,
            address,
            stream,
        }),
        Err(error) => {
            let error = io::Error::other(error.to_string());
            let was_sent = sent.load(Ordering::SeqCst);
            Err(if was_sent {
                Error::Lost(error)
            } else {
                Error::NotSent(error)
            })
        }
    }
}
