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
use async_std::io::BufReader;
use async_std::net::TcpStream;
use async_std::task;
use futures::{AsyncRead, AsyncReadExt, AsyncWrite};
use http_types::{Body, Request, Response, StatusCode, Url};
use serde::de::DeserializeOwned;

use super::Error;

/// Time limit for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Time for which an idle connection is kept; shorter than the keep-alive timeout of most servers.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);

/// Maximum size in bytes of the head of a response, with those of interim responses before it.
const MAX_HEAD_BYTES: usize = 64 * 1024;

/// Maximum size in bytes of a JSON body.
const MAX_JSON_BYTES: u64 = 4 * 1024 * 1024;

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

/// A connection that records whether it has sent any byte, limits the size of the response's head,
/// and fails with a timeout when a read or write has been pending for too long.
#[derive(Clone)]
pub struct Connection {
    inner: TcpStream,
    sent: Arc<AtomicBool>,
    head: Arc<Mutex<Head>>,
    silence_timeout: Duration,
    timer: Arc<Mutex<Option<Timer>>>,
}

/// Head of a response while it is read.
#[derive(Default)]
struct Head {
    /// Number of bytes read so far.
    length: usize,
    /// Number of bytes at the end of what was read that match the beginning of [`HEAD_END`].
    matched: usize,
    /// Bytes that were read after the head.
    held: Vec<u8>,
}

/// Bytes that end a head.
const HEAD_END: &[u8] = b"\r\n\r\n";

impl Head {
    fn is_complete(&self) -> bool {
        self.matched == HEAD_END.len()
    }

    /// Takes in bytes that were read, and returns how many of them belong to the head. Holds back
    /// those after it: the library drops what it has read of a body without framing.
    fn split(&mut self, bytes: &[u8]) -> usize {
        for (i, byte) in bytes.iter().enumerate() {
            self.matched = match *byte {
                byte if byte == HEAD_END[self.matched] => self.matched + 1,
                b'\r' => 1,
                _ => 0,
            };
            if self.is_complete() {
                self.held = bytes[i + 1..].to_vec();
                self.length += i + 1;
                return i + 1;
            }
        }
        self.length += bytes.len();
        bytes.len()
    }
}

type Timer = Pin<Box<dyn Future<Output = ()> + Send>>;

impl Connection {
    fn new(inner: TcpStream, silence_timeout: Duration) -> Self {
        let timer = Arc::new(Mutex::new(None));
        Self {
            inner,
            sent: Arc::default(),
            head: Arc::default(),
            silence_timeout,
            timer,
        }
    }

    /// Whether bytes after the last response have been read.
    fn has_unread_bytes(&self) -> bool {
        let head = self.head.lock().unwrap_or_else(PoisonError::into_inner);
        !head.held.is_empty()
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
        let this = &mut *self;
        let mut head = this.head.lock().unwrap_or_else(PoisonError::into_inner);
        if !head.held.is_empty() {
            let count = buffer.len().min(head.held.len());
            buffer[..count].copy_from_slice(&head.held[..count]);
            head.held.drain(..count);
            return Poll::Ready(Ok(count));
        }
        if !head.is_complete() && head.length >= MAX_HEAD_BYTES {
            let message = format!("the head is larger than {MAX_HEAD_BYTES} bytes");
            return Poll::Ready(Err(io::Error::new(io::ErrorKind::InvalidData, message)));
        }
        let mut result = Pin::new(&mut this.inner).poll_read(cx, buffer);
        if let Poll::Ready(Ok(count)) = &mut result
            && !head.is_complete()
        {
            *count = head.split(&buffer[..*count]);
        }
        drop(head);
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
    connection: Connection,
    /// Whether the body ends with the connection.
    ends_at_close: bool,
}

impl Exchange {
    /// Returns the connection to the pool; the response must have been read to its end.
    pub fn recycle(self) {
        let closes = self
            .response
            .header("Connection")
            .is_some_and(|value| value.as_str().eq_ignore_ascii_case("close"));
        if !closes && !self.ends_at_close && !self.connection.has_unread_bytes() {
            POOL.put(self.address, self.connection.inner);
        }
    }
}

/// Reads the JSON body of a response. A body that is larger than 4 MiB is an error.
pub async fn read_json<T: DeserializeOwned>(response: &mut Response) -> io::Result<T> {
    let mut bytes = Vec::new();
    let mut bounded = response.take_body().take(MAX_JSON_BYTES);
    bounded.read_to_end(&mut bytes).await?;
    Ok(serde_json::from_slice(&bytes)?)
}

/// Whether the body of a response to a request other than HEAD ends with the connection. The
/// library takes such a body for an empty one.
fn ends_at_close(response: &Response) -> bool {
    let status = response.status();
    let has_body = !status.is_informational()
        && status != StatusCode::NoContent
        && status != StatusCode::NotModified;
    let is_framed = response.header("Content-Length").is_some()
        || response.header("Transfer-Encoding").is_some();
    has_body && !is_framed
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
    let connection = Connection::new(stream, silence_timeout);
    match async_h1::connect(connection.clone(), request).await {
        Ok(mut response) => {
            let ends_at_close = ends_at_close(&response);
            if ends_at_close {
                let body = BufReader::new(connection.clone());
                response.set_body(Body::from_reader(body, None));
            }
            Ok(Exchange {
                response,
                address,
                connection,
                ends_at_close,
            })
        }
        Err(error) => {
            let error = io::Error::other(error.to_string());
            let was_sent = connection.sent.load(Ordering::SeqCst);
            Err(if was_sent {
                Error::Lost(error)
            } else {
                Error::NotSent(error)
            })
        }
    }
}
