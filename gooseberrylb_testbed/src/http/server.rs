//! A server that passes each request to one handler, which can drop the connection without a
//! response.

use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use async_channel::{Receiver, Sender};
use async_std::net::{TcpListener, TcpStream};
use async_std::task;
use futures::TryStreamExt;
use futures::future::{self, Either};
use http_types::{Body, Request, Response, StatusCode, mime};
use serde::Serialize;
use serde_json::json;

/// Maximum number of chunks of a streamed body queued for the reader.
const MAX_BODY_CHUNKS: usize = 64;

/// Listening server. Dropping it closes the listener and every connection at once, as if its
/// process were killed.
#[derive(Debug)]
pub struct Server {
    address: SocketAddr,
    _alive: Sender<()>,
}

impl Server {
    /// Starts listening on `address` and responds to each request with `handler`. An error of the
    /// handler drops the connection without a response.
    pub async fn start<F, Fut>(address: SocketAddr, handler: F) -> io::Result<Self>
    where
        F: Fn(Request) -> Fut + Send + Sync + 'static,
        Fut: Future<Output = http_types::Result<Response>> + Send + 'static,
    {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let (alive, dead) = async_channel::bounded(1);
        task::spawn(accept(listener, Arc::new(handler), dead));
        Ok(Self {
            address,
            _alive: alive,
        })
    }

    /// Returns the address it listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }
}

async fn accept<F, Fut>(listener: TcpListener, handler: Arc<F>, dead: Receiver<()>)
where
    F: Fn(Request) -> Fut + Send + Sync + 'static,
    Fut: Future<Output = http_types::Result<Response>> + Send + 'static,
{
    loop {
        let incoming = Box::pin(listener.accept());
        let stream = match future::select(incoming, Box::pin(dead.recv())).await {
            Either::Left((Ok((stream, _)), _)) => stream,
            Either::Left((Err(error), _)) => {
                log::warn!("failed to accept a connection: {error}");
                continue;
            }
            Either::Right(_) => return,
        };
        task::spawn(serve(stream, handler.clone(), dead.clone()));
    }
}

async fn serve<F, Fut>(stream: TcpStream, handler: Arc<F>, dead: Receiver<()>)
where
    F: Fn(Request) -> Fut + Send + Sync + 'static,
    Fut: Future<Output = http_types::Result<Response>> + Send + 'static,
{
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!("failed to set TCP_NODELAY: {error}");
    }
    let connection = Box::pin(async_h1::accept(stream, move |request| handler(request)));
    if let Either::Left((Err(error), _)) = future::select(connection, Box::pin(dead.recv())).await {
        log::debug!("connection ended with an error: {error}");
    }
}

/// Returns a response of `status` with `value` as its JSON body.
pub fn json_response(status: StatusCode, value: &impl Serialize) -> http_types::Result<Response> {
    let mut response = Response::new(status);
    response.set_body(Body::from_json(value)?);
    response.set_content_type(mime::JSON);
    Ok(response)
}

/// Returns an error response of `status` in the JSON form of gooseberrylb's own errors.
pub fn error_response(
    status: StatusCode,
    code: &str,
    message: &str,
) -> http_types::Result<Response> {
    let error = json!({"error": {"code": code, "message": message, "findings": []}});
    json_response(status, &error)
}

/// Returns a body of unknown length and the channel that it is written to. Sending an error ends
/// the connection without the last chunk.
pub fn streamed_body() -> (Sender<io::Result<Vec<u8>>>, Body) {
    let (sender, receiver) = async_channel::bounded(MAX_BODY_CHUNKS);
    let reader = Box::pin(receiver).into_async_read();
    (sender, Body::from_reader(reader, None))
}
