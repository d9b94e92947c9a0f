//! Stand-in for the weight store. It streams weights at a limited rate that all readers share.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use async_channel::Sender;
use async_std::task;
use gooseberrylb_config::clock::{Clock, System};
use gooseberrylb_config::number::Bytes;
use http_types::{Method, Request, Response, StatusCode};

use crate::http::Server;
use crate::http::server::{error_response, streamed_body};

/// Size of the chunks in which weights are sent, in bytes.
const CHUNK_BYTES: u64 = 64 * 1024;

/// Contents and rate of a weight store.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Sizes of the weights by name.
    pub weights: BTreeMap<Arc<str>, Bytes>,
    /// Rate shared by all readers, in bytes per second.
    pub rate: Bytes,
}

/// Running weight store.
#[derive(Debug)]
pub struct Store {
    server: Server,
}

impl Store {
    /// Starts a store that listens on `address`.
    pub async fn start(address: SocketAddr, settings: Settings) -> io::Result<Self> {
        let limiter = Arc::new(Limiter::new(settings.rate));
        let weights = Arc::new(settings.weights);
        let server = Server::start(address, move |request| {
            handle(weights.clone(), limiter.clone(), request)
        })
        .await?;
        Ok(Self { server })
    }

    /// Returns the address on which the store listens.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }
}

/// Rate limiter shared by all readers. Each chunk reserves the time after the chunk before it.
#[derive(Debug)]
struct Limiter {
    rate: Bytes,
    /// End of the last reservation.
    free_at: Mutex<Instant>,
}

impl Limiter {
    fn new(rate: Bytes) -> Self {
        Self {
            rate,
            free_at: Mutex::new(System.now()),
        }
    }

    /// Reserves time to send `bytes`. Returns the time until they may be sent.
    fn reserve(&self, now: Instant, bytes: u64) -> Duration {
        let mut free_at = self.free_at.lock().unwrap_or_else(PoisonError::into_inner);
        let start = (*free_at).max(now);
        *free_at = start + Duration::from_secs_f64(bytes as f64 / self.rate.0.max(1) as f64);
        *free_at - now
    }
}

async fn handle(
    weights: Arc<BTreeMap<Arc<str>, Bytes>>,
    limiter: Arc<Limiter>,
    request: Request,
) -> http_types::Result<Response> {
    let name = request.url().path().strip_prefix("/v1/weights/");
    let size = name.and_then(|name| weights.get(name));
    match (request.method(), size) {
        (Method::Get, Some(size)) => {
            let (sender, body) = streamed_body();
            task::spawn(send(sender, limiter, size.0));
            let mut response = Response::new(StatusCode::Ok);
            response.set_body(body);
            Ok(response)
        }
        (Method::Get, None) => error_response(StatusCode::NotFound, "unknown", "no such weights"),
        _ => error_response(StatusCode::MethodNotAllowed, "method", "only GET is known"),
    }
}

async fn send(sender: Sender<io::Result<Vec<u8>>>, limiter: Arc<Limiter>, size: u64) {
    let mut remaining = size;
    while remaining > 0 {
        let chunk = remaining.min(CHUNK_BYTES);
        task::sleep(limiter.reserve(System.now(), chunk)).await;
        if sender.send(Ok(vec![0; chunk as usize])).await.is_err() {
            return;
        }
        remaining -= chunk;
    }
}
