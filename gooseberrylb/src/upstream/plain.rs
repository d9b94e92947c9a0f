//! Calls to plain services, which get the caller's body unchanged.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_std::io::prelude::*;
use http_types::{Body, Method, Request, StatusCode};

use super::Error;
use super::http::{self, Exchange, Reuse};

/// Responses below this size, in bytes, are read completely before the caller is told that its
/// request was served.
pub const MAX_BUFFERED_BYTES: usize = 64 * 1024;

/// A caller's request to a plain service.
#[derive(Debug, Clone)]
pub struct Call {
    /// Path that the caller posted to.
    pub path: Arc<str>,
    /// Headers of the call, as names and values.
    pub headers: Vec<(&'static str, Arc<str>)>,
    /// Request body.
    pub body: Arc<[u8]>,
}

/// Body of a response, as far as it has been read.
pub enum Content {
    /// The complete body.
    Complete(Vec<u8>),
    /// The beginning of a large body, and the rest of it.
    Partial(Vec<u8>, Rest),
}

/// The part of a response body that has not been read yet.
pub struct Rest {
    body: Body,
    /// Number of bytes that are still to come, if the response states a length.
    left: Option<usize>,
}

impl Rest {
    fn new(body: Body) -> Self {
        let left = body.len();
        Self { body, left }
    }

    /// Reads the next chunk; an empty chunk is the end of the body. Fails if the connection ends
    /// before the stated length.
    pub async fn next(&mut self) -> Result<Vec<u8>, Error> {
        let mut buffer = vec![0; 16 * 1024];
        let length = self.body.read(&mut buffer).await.map_err(Error::Lost)?;
        buffer.truncate(length);
        if let Some(left) = &mut self.left {
            // The library ends a truncated body like a complete one.
            if length == 0 && *left > 0 {
                return Err(Error::Lost(io::ErrorKind::UnexpectedEof.into()));
            }
            *left = left.saturating_sub(length);
        }
        Ok(buffer)
    }
}

/// A plain service's response.
pub struct Reply {
    /// HTTP status.
    pub status: StatusCode,
    /// Content type of the body.
    pub content_type: Option<Arc<str>>,
    /// Response body.
    pub content: Content,
}

/// Sends a request and reads the response, completely if it is small.
///
/// `silence_timeout` bounds each wait for bytes.
pub async fn call(
    address: SocketAddr,
    call: &Call,
    reuse: Reuse,
    silence_timeout: Duration,
) -> Result<Reply, Error> {
    let mut request = Request::new(Method::Post, http::url(address, &call.path)?);
    request.set_body(call.body.to_vec());
    request.remove_header("Content-Type");
    for (name, value) in &call.headers {
        request.insert_header(*name, &**value);
    }
    read(http::call(address, request, reuse, silence_timeout).await?).await
}

async fn read(mut exchange: Exchange) -> Result<Reply, Error> {
    let status = exchange.response.status();
    let content_type = exchange
        .response
        .header("Content-Type")
        .map(|v| v.as_str().into());
    let mut rest = Rest::new(exchange.response.take_body());
    let mut received = Vec::new();
    while received.len() < MAX_BUFFERED_BYTES {
        let chunk = rest.next().await?;
        if chunk.is_empty() {
            exchange.recycle();
            return Ok(Reply {
                status,
                content_type,
                content: Content::Complete(received),
            });
        }
        received.extend_from_slice(&chunk);
    }
    Ok(Reply {
        status,
        content_type,
        content: Content::Partial(received, rest),
    })
}
