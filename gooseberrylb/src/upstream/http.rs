//! HTTP calls to upstreams over connections that are kept and checked before they are used again.

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

/// How long opening a connection may take.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// How long an unused connection is kept; shorter than servers commonly keep theirs.
const KEEP_IDLE: Duration = Duration::from_secs(10);

/// The most unused connections kept to one upstream.
const MAX_IDLE: usize = 64;

/// Whether an unused connection may carry a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reuse {
    /// It may: the call can be repeated.
    Allowed,
    /// It may not: if the upstream closes it at the same moment, nobody knows whether the call ran.
    Never,
}

struct Idle {
    stream: TcpStream,
    since: Instant,
}

/// The unused connections, by upstream.
#[derive(Default)]
struct Pool(Mutex<HashMap<SocketAddr, Vec<Idle>>>);

static POOL: LazyLock<Pool> = LazyLock::new(Pool::default);

impl Pool {
    fn take(&self, address: SocketAddr) -> Option<TcpStream> {
        let mut pool = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let idle = pool.get_mut(&address)?;
        while let Some(candidate) = idle.pop() {
            if candidate.since.elapsed() < KEEP_IDLE && is_quiet(&candidate.stream) {
                return Some(candidate.stream);
            }
        }
        pool.remove(&address);
        None
    }

    fn put(&self, address: SocketAddr, stream: TcpStream) {
        let mut pool = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let idle = pool.entry(address).or_default();
        if idle.len() < MAX_IDLE {
            idle.push(Idle {
                stream,
                since: Instant::now(),
            });
        }
    }
}

/// Whether nothing has come on an unused connection, neither bytes nor its end.
fn is_quiet(stream: &TcpStream) -> bool {
    let mut byte = [0];
    let mut peek = Box::pin(stream.peek(&mut byte));
    let mut context = Context::from_waker(std::task::Waker::noop());
    peek.as_mut().poll(&mut context).is_pending()
}

/// A connection that knows whether it has sent anything, and fails after too long a silence.
#[derive(Clone)]
pub struct Connection {
    inner: TcpStream,
    sent: Arc<AtomicBool>,
    limit: Duration,
    silence: Arc<Mutex<Option<Timer>>>,
}

type Timer = Pin<Box<dyn Future<Output = ()> + Send>>;

impl Connection {
    fn new(inner: TcpStream, limit: Duration) -> Self {
        let silence = Arc::new(Mutex::new(None));
        Self {
            inner,
            sent: Arc::default(),
            limit,
            silence,
        }
    }

    fn watch<T>(&self, cx: &mut Context<'_>, result: Poll<io::Result<T>>) -> Poll<io::Result<T>> {
        let mut silence = self.silence.lock().unwrap_or_else(PoisonError::into_inner);
        if result.is_ready() {
            *silence = None;
            return result;
        }
        let timer = silence.get_or_insert_with(|| Box::pin(task::sleep(self.limit)));
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
        self.watch(cx, result)
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
        self.watch(cx, result)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(cx)
    }

    fn poll_close(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_close(cx)
    }
}

async fn dial(address: SocketAddr) -> Result<TcpStream, Error> {
    match future::timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await {
        Ok(Ok(stream)) => {
            stream.set_nodelay(true).ok();
            Ok(stream)
        }
        Ok(Err(error)) => Err(Error::NotSent(error)),
        Err(_) => Err(Error::NotSent(io::ErrorKind::TimedOut.into())),
    }
}

/// The URL of a path at an upstream.
pub fn url(address: SocketAddr, path: &str) -> Result<Url, Error> {
    Url::parse(&format!("http://{address}{path}"))
        .map_err(|error| Error::NotSent(io::Error::other(error.to_string())))
}

/// An answer whose body is still to be read.
pub struct Exchange {
    /// The answer.
    pub response: Response,
    address: SocketAddr,
    stream: TcpStream,
}

impl Exchange {
    /// Keeps the connection for another call; only for an answer that was read to its end.
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

/// Sends a request and waits for the head of the answer; `silence` bounds each wait for bytes.
pub async fn call(
    address: SocketAddr,
    request: Request,
    reuse: Reuse,
    silence: Duration,
) -> Result<Exchange, Error> {
    let kept = match reuse {
        Reuse::Allowed => POOL.take(address),
        Reuse::Never => None,
    };
    let stream = match kept {
        Some(stream) => stream,
        None => dial(address).await?,
    };
    let connection = Connection::new(stream.clone(), silence);
    let sent = connection.sent.clone();
    match async_h1::connect(connection, request).await {
        Ok(response) => Ok(Exchange {
            response,
            address,
            stream,
        }),
        Err(error) => {
            let error = io::Error::other(error.to_string());
            let left = sent.load(Ordering::SeqCst);
            Err(if left {
                Error::Lost(error)
            } else {
                Error::NotSent(error)
            })
        }
    }
}
