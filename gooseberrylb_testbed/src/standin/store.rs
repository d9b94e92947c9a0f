//! The weight store: it streams weights at a bounded rate that all readers share.

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

/// The part of the weights that is sent at once, in bytes.
const PART_BYTES: u64 = 64 * 1024;

/// What the store holds, and how fast it gives it out.
#[derive(Debug, Clone)]
pub struct Settings {
    /// The weights by name.
    pub weights: BTreeMap<Arc<str>, Bytes>,
    /// The bytes a second that all readers share.
    pub rate: Bytes,
}

/// A running weight store.
#[derive(Debug)]
pub struct Store {
    server: Server,
}

impl Store {
    /// Starts a store on `address`.
    pub async fn start(address: SocketAddr, settings: Settings) -> io::Result<Self> {
        let pace = Arc::new(Pace::new(settings.rate));
        let weights = Arc::new(settings.weights);
        let server = Server::start(address, move |request| {
            handle(weights.clone(), pace.clone(), request)
        })
        .await?;
        Ok(Self { server })
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }
}

/// Shares a rate among readers: each part reserves the time after the one before.
#[derive(Debug)]
struct Pace {
    rate: Bytes,
    free_at: Mutex<Instant>,
}

impl Pace {
    fn new(rate: Bytes) -> Self {
        Self {
            rate,
            free_at: Mutex::new(System.now()),
        }
    }

    /// Reserves the sending of `bytes`, and gives the time until they may go.
    fn reserve(&self, now: Instant, bytes: u64) -> Duration {
        let mut free_at = self.free_at.lock().unwrap_or_else(PoisonError::into_inner);
        let start = (*free_at).max(now);
        *free_at = start + Duration::from_secs_f64(bytes as f64 / self.rate.0.max(1) as f64);
        *free_at - now
    }
}

async fn handle(
    weights: Arc<BTreeMap<Arc<str>, Bytes>>,
    pace: Arc<Pace>,
    request: Request,
) -> http_types::Result<Response> {
    let name = request.url().path().strip_prefix("/v1/weights/");
    let size = name.and_then(|name| weights.get(name));
    match (request.method(), size) {
        (Method::Get, Some(size)) => {
            let (sender, body) = streamed_body();
            task::spawn(send(sender, pace, size.0));
            let mut response = Response::new(StatusCode::Ok);
            response.set_body(body);
            Ok(response)
        }
        (Method::Get, None) => error_response(StatusCode::NotFound, "unknown", "no such weights"),
        _ => error_response(StatusCode::MethodNotAllowed, "method", "only GET is known"),
    }
}

async fn send(sender: Sender<io::Result<Vec<u8>>>, pace: Arc<Pace>, size: u64) {
    let mut left = size;
    while left > 0 {
        let part = left.min(PART_BYTES);
        task::sleep(pace.reserve(System.now(), part)).await;
        if sender.send(Ok(vec![0; part as usize])).await.is_err() {
            return;
        }
        left -= part;
    }
}
