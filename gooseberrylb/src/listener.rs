//! Accepts HTTP connections, limits their number and drains them before a planned stop.
//!
//! The accept loop of the HTTP library has neither a limit nor a graceful stop.

use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::task::{Context, Poll};
use std::time::Duration;

use async_std::io::BufReader;
use async_std::net::{TcpListener, TcpStream};
use async_std::task;
use futures::AsyncRead;
use http_types::headers::{CONNECTION, CONTENT_TYPE};
use http_types::{Body, Request, Response, StatusCode};

use crate::answer::Error;
use crate::connection::{Peer, Stream};
use crate::metrics::METRICS;

/// Pause after a failed accept, whose usual cause is a lack of file descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// State shared by a listener, its connections and its handles.
#[derive(Debug, Default)]
struct Shared {
    /// Number of open connections.
    open: AtomicUsize,
    /// Number of requests whose responses are not completely written.
    busy: AtomicUsize,
    /// Whether connections are closed after their current request.
    closing: AtomicBool,
    /// Whether new connections are refused.
    stopped: AtomicBool,
}

/// Handle for draining a running listener.
#[derive(Debug, Clone, Default)]
pub struct Handle(Arc<Shared>);

impl Handle {
    /// Closes each connection after its current request; new connections are still accepted.
    pub fn close_after_requests(&self) {
        self.0.closing.store(true, Ordering::SeqCst);
    }

    /// Refuses new connections.
    pub fn stop(&self) {
        self.0.closing.store(true, Ordering::SeqCst);
        self.0.stopped.store(true, Ordering::SeqCst);
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
        while !shared.stopped.load(Ordering::SeqCst) {
            match self.inner.accept().await {
                Ok((stream, address)) => self.admit(stream, address, &app),
                Err(error) => {
                    log::warn!("listener {} cannot accept a connection: {error}", self.name);
                    task::sleep(ACCEPT_PAUSE).await;
                }
            }
        }
    }

    /// Serves a connection in a new task, or drops it if the limit is reached.
    fn admit<S>(&self, stream: TcpStream, address: SocketAddr, app: &tide::Server<S>)
    where
        S: Clone + Send + Sync + 'static,
    {
        let shared = self.handle.0.clone();
        let stopped = shared.stopped.load(Ordering::SeqCst);
        if stopped || shared.open.load(Ordering::SeqCst) >= self.limits.connections {
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
        task::spawn(async move {
            METRICS.connections.with_label_values(&[name]).inc();
            serve(&shared, stream, address, limits, &app).await;
            METRICS.connections.with_label_values(&[name]).dec();
            shared.open.fetch_sub(1, Ordering::SeqCst);
        });
    }
}

async fn serve<S>(
    shared: &Arc<Shared>,
    stream: TcpStream,
    address: SocketAddr,
    limits: Limits,
    app: &tide::Server<S>,
) where
    S: Clone + Send + Sync + 'static,
{
    let peer = Peer::new(stream.clone(), address);
    let endpoint = |request: Request| respond(shared, &peer, app, request);
    let guarded = Stream::new(stream, limits.idle);
    // An error here means that the caller disconnected or that a response was cut off on purpose.
    async_h1::accept(guarded, endpoint).await.ok();
}

async fn respond<S>(
    shared: &Arc<Shared>,
    peer: &Peer,
    app: &tide::Server<S>,
    mut request: Request,
) -> http_types::Result<Response>
where
    S: Clone + Send + Sync + 'static,
{
    let busy = BusyGuard::new(shared);
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
