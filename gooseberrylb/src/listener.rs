//! Accepts HTTP connections: bounded in number, and drained before a planned stop.
//!
//! The HTTP library's own accept loop has neither a bound nor a way to stop in good order.

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

/// How long to wait after a failed accept, which mostly means that file handles have run out.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// What may be asked of a listener while it runs.
#[derive(Debug, Default)]
struct Shared {
    open: AtomicUsize,
    busy: AtomicUsize,
    closing: AtomicBool,
    stopped: AtomicBool,
}

/// A handle on a running listener.
#[derive(Debug, Clone, Default)]
pub struct Handle(Arc<Shared>);

impl Handle {
    /// Has each connection closed behind its current request, while new ones are still accepted.
    pub fn close_after_requests(&self) {
        self.0.closing.store(true, Ordering::SeqCst);
    }

    /// Has new connections refused.
    pub fn stop(&self) {
        self.0.closing.store(true, Ordering::SeqCst);
        self.0.stopped.store(true, Ordering::SeqCst);
    }

    /// The requests whose answers are not written to their last byte.
    pub fn busy(&self) -> usize {
        self.0.busy.load(Ordering::SeqCst)
    }
}

/// The bounds of a listener.
#[derive(Debug, Clone, Copy)]
pub struct Limits {
    /// The most connections open at once.
    pub connections: usize,
    /// How long a connection may send nothing, between requests or within one.
    pub idle: Duration,
}

/// A bound listener that does not accept yet.
pub struct Listener {
    name: &'static str,
    inner: TcpListener,
    limits: Limits,
    handle: Handle,
}

/// Counts a request as being answered as long as it lives.
struct Busy(Arc<Shared>);

impl Busy {
    fn new(shared: &Arc<Shared>) -> Self {
        shared.busy.fetch_add(1, Ordering::SeqCst);
        Self(shared.clone())
    }
}

impl Drop for Busy {
    fn drop(&mut self) {
        self.0.busy.fetch_sub(1, Ordering::SeqCst);
    }
}

/// A body whose request counts as being answered until its last byte was written.
struct Counted {
    body: Body,
    _busy: Busy,
}

impl AsyncRead for Counted {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.body).poll_read(cx, buffer)
    }
}

/// Keeps a request counted until its answer was written.
fn count_until_written(response: &mut Response, busy: Busy) {
    let kind = response.header(CONTENT_TYPE).cloned();
    let body = response.take_body();
    let length = body.len();
    let counted = Counted { body, _busy: busy };
    response.set_body(Body::from_reader(BufReader::new(counted), length));
    // Setting a body sets a type of its own.
    match kind {
        Some(kind) => response.insert_header(CONTENT_TYPE, &kind),
        None => response.remove_header(CONTENT_TYPE),
    };
}

impl Listener {
    /// Binds `address`; `name` stands in metrics.
    pub async fn bind(name: &'static str, address: SocketAddr, limits: Limits) -> io::Result<Self> {
        let inner = TcpListener::bind(address).await?;
        Ok(Self {
            name,
            inner,
            limits,
            handle: Handle::default(),
        })
    }

    /// The handle for draining.
    pub fn handle(&self) -> Handle {
        self.handle.clone()
    }

    /// Accepts connections and answers their requests by `app` until it is stopped.
    pub async fn run<S>(self, app: tide::Server<S>)
    where
        S: Clone + Send + Sync + 'static,
    {
        let shared = self.handle.0.clone();
        while !shared.stopped.load(Ordering::SeqCst) {
            match self.inner.accept().await {
                Ok((stream, address)) => self.admit(stream, address, &app),
                Err(error) => {
                    log::warn!("the {} listener cannot accept: {error}", self.name);
                    task::sleep(ACCEPT_PAUSE).await;
                }
            }
        }
    }

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
        // Counted before the task starts, so that a burst cannot slip past the bound.
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
    // An error here is a connection that its caller broke, or an answer cut on purpose.
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
    let busy = Busy::new(shared);
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
    count_until_written(&mut response, busy);
    Ok(response)
}
