//! Accepts HTTP connections, limits their number and drains them before a planned stop.
//!
//! The accept loop of the HTTP library has neither a limit nor a graceful stop.

use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::task::{Context, Poll};
use std::time::Duration;

use async_channel::{Receiver, Sender};
use async_std::io::BufReader;
use async_std::net::{TcpListener, TcpStream};
use async_std::task;
use futures::future::{self, Either};
use futures::{AsyncRead, FutureExt};
use http_types::headers::{CONNECTION, CONTENT_TYPE};
use http_types::{Body, Request, Response, StatusCode};

use crate::answer::Error;
use crate::connection::{Peer, Stream};
use crate::metrics::METRICS;

/// Pause after a failed accept, whose usual cause is a lack of file descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// State shared by a listener, its connections and its handles.
#[derive(Debug)]
struct Shared {
    /// Number of open connections.
    open: AtomicUsize,
    /// Number of open connections on which no request has been read.
    unread: AtomicUsize,
    /// Number of requests whose responses are not completely written.
    busy: AtomicUsize,
    /// Whether connections are closed after their current request.
    closing: AtomicBool,
    /// Closed to stop accepting connections.
    stop: Sender<()>,
    stopped: Receiver<()>,
    /// Whether the listening socket is closed and each connection that it took has been admitted.
    closed: AtomicBool,
}

impl Default for Shared {
    fn default() -> Self {
        let (stop, stopped) = async_channel::bounded(1);
        Self {
            open: AtomicUsize::new(0),
            unread: AtomicUsize::new(0),
            busy: AtomicUsize::new(0),
            closing: AtomicBool::new(false),
            stop,
            stopped,
            closed: AtomicBool::new(false),
        }
    }
}

/// Handle for draining a running listener.
#[derive(Debug, Clone, Default)]
pub struct Handle(Arc<Shared>);

impl Handle {
    /// Closes each connection after its current request; new connections are still accepted.
    pub fn close_after_requests(&self) {
        self.0.closing.store(true, Ordering::SeqCst);
    }

    /// Closes the listening socket, so that callers find new connections refused and try another
    /// instance. Connections that are already established are still served, since their callers may
    /// have sent a request and cannot know whether it has run.
    pub fn stop(&self) {
        self.0.closing.store(true, Ordering::SeqCst);
        self.0.stop.close();
    }

    /// Whether the listening socket is closed after [`Self::stop`].
    pub fn is_closed(&self) -> bool {
        self.0.closed.load(Ordering::SeqCst)
    }

    /// Returns the number of open connections on which no request has been read.
    pub fn unread(&self) -> usize {
        self.0.unread.load(Ordering::SeqCst)
    }

    /// Returns the number of requests whose responses are not completely written.
    pub fn busy(&self) -> usize {
        self.0.busy.load(Ordering::SeqCst)
    }
}

/// Limits of a listener.
#[derive(Debug, Clone, Copy)]
pub struct Limits {
    /// Maximum number of open connections.
    pub connections: usize,
    /// Maximum time that a connection may send nothing, between requests or within one.
    pub idle: Duration,
}

/// Bound listener that does not accept connections yet.
pub struct Listener {
    name: &'static str,
    inner: TcpListener,
    limits: Limits,
    handle: Handle,
}

/// Counts a request as busy until dropped.
struct BusyGuard(Arc<Shared>);

impl BusyGuard {
    fn new(shared: &Arc<Shared>) -> Self {
        shared.busy.fetch_add(1, Ordering::SeqCst);
        Self(shared.clone())
    }
}

impl Drop for BusyGuard {
    fn drop(&mut self) {
        self.0.busy.fetch_sub(1, Ordering::SeqCst);
    }
}

/// Counts a connection as unread until dropped.
struct UnreadGuard(Arc<Shared>);

impl UnreadGuard {
    fn new(shared: &Arc<Shared>) -> Self {
        shared.unread.fetch_add(1, Ordering::SeqCst);
        Self(shared.clone())
    }
}

impl Drop for UnreadGuard {
    fn drop(&mut self) {
        self.0.unread.fetch_sub(1, Ordering::SeqCst);
    }
}

/// Response body that keeps its request counted as busy until the body is dropped.
struct TrackedBody {
    body: Body,
    _busy: BusyGuard,
}

impl AsyncRead for TrackedBody {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.body).poll_read(cx, buffer)
    }
}

/// Wraps the body of a response so that the request counts as busy until it is written.
fn track_body(response: &mut Response, busy: BusyGuard) {
    let content_type = response.header(CONTENT_TYPE).cloned();
    let body = response.take_body();
    let length = body.len();
    let tracked = TrackedBody { body, _busy: busy };
    response.set_body(Body::from_reader(BufReader::new(tracked), length));
    // `set_body` also sets a content type, so the original one is restored.
    match content_type {
        Some(value) => response.insert_header(CONTENT_TYPE, &value),
        None => response.remove_header(CONTENT_TYPE),
    };
}

impl Listener {
    /// Binds `address`; `name` labels the metrics of the listener.
    pub async fn bind(name: &'static str, address: SocketAddr, limits: Limits) -> io::Result<Self> {
        let inner = TcpListener::bind(address).await?;
        Ok(Self {
            name,
            inner,
            limits,
            handle: Handle::default(),
        })
    }

    /// Returns a handle for draining.
    pub fn handle(&self) -> Handle {
        self.handle.clone()
    }

    /// Accepts connections and serves their requests with `app` until the listener is stopped.
    pub async fn run<S>(self, app: tide::Server<S>)
    where
        S: Clone + Send + Sync + 'static,
    {
        let shared = self.handle.0.clone();
        loop {
            let accept = std::pin::pin!(self.inner.accept());
            let stopped = std::pin::pin!(shared.stopped.recv());
            match future::select(accept, stopped).await {
                Either::Left((Ok((stream, address)), _)) => self.admit(stream, address, &app),
                Either::Left((Err(error), _)) => {
                    log::warn!("listener {} cannot accept a connection: {error}", self.name);
                    task::sleep(ACCEPT_PAUSE).await;
                }
                Either::Right(_) => break,
            }
        }
        // Closing the socket resets the connections in its queue.
        while let Some(Ok((stream, address))) = self.inner.accept().now_or_never() {
            self.admit(stream, address, &app);
        }
        drop(self.inner);
        shared.closed.store(true, Ordering::SeqCst);
    }

    /// Serves a connection in a new task, or drops it if the limit is reached.
    fn admit<S>(&self, stream: TcpStream, address: SocketAddr, app: &tide::Server<S>)
    where
        S: Clone + Send + Sync + 'static,
    {
        let shared = self.handle.0.clone();
        if shared.open.load(Ordering::SeqCst) >= self.limits.connections {
            METRICS
                .connections_refused
                .with_label_values(&[self.name])
                .inc();
            return;
        }
        stream.set_nodelay(true).ok();
        let (name, limits, app) = (self.name, self.limits, app.clone());
        // Counted before the task starts, so that a burst of connections cannot exceed the limit.
        shared.open.fetch_add(1, Ordering::SeqCst);
        let unread = UnreadGuard::new(&shared);
        task::spawn(async move {
            METRICS.connections.with_label_values(&[name]).inc();
            serve(&shared, unread, stream, address, limits, &app).await;
            METRICS.connections.with_label_values(&[name]).dec();
            shared.open.fetch_sub(1, Ordering::SeqCst);
        });
    }
}

async fn serve<S>(
    shared: &Arc<Shared>,
    unread: UnreadGuard,
    stream: TcpStream,
    address: SocketAddr,
    limits: Limits,
    app: &tide::Server<S>,
) where
    S: Clone + Send + Sync + 'static,
{
    let peer = Peer::new(stream.clone(), address);
    let unread = Mutex::new(Some(unread));
    let endpoint = |request: Request| {
        let busy = BusyGuard::new(shared);
        // Counted as busy before it stops counting as unread, so that a drain sees it at any time.
        drop(unread.lock().unwrap_or_else(PoisonError::into_inner).take());
        respond(shared, busy, &peer, app, request)
    };
    let guarded = Stream::new(stream, limits.idle);
    // An error here means that the caller disconnected or that a response was cut off on purpose.
    async_h1::accept(guarded, endpoint).await.ok();
}

async fn respond<S>(
    shared: &Arc<Shared>,
    busy: BusyGuard,
    peer: &Peer,
    app: &tide::Server<S>,
    mut request: Request,
) -> http_types::Result<Response>
where
    S: Clone + Send + Sync + 'static,
{
    request.ext_mut().insert(peer.clone());
    let mut response: Response = match app.respond(request).await {
        Ok(response) => response,
        Err(error) => {
            let status = StatusCode::InternalServerError;
            Error::new(status, "internal", error.to_string()).into()
        }
    };
    if shared.closing.load(Ordering::SeqCst) {
        response.insert_header(CONNECTION, "close");
    }
    track_body(&mut response, busy);
    Ok(response)
}

#[cfg(test)]
mod tests;
