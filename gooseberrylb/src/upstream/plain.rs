//! Calls to plain services: the caller's request is passed on as it is.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_std::io::prelude::*;
use http_types::{Body, Method, Request, StatusCode};

use super::Error;
use super::http::{self, Exchange, Reuse};

/// Answers up to this size are read whole before the caller is told that it was served, in bytes.
pub const WHOLE_BYTES: usize = 64 * 1024;

/// A caller's request.
#[derive(Debug, Clone)]
pub struct Call {
    /// The path that the caller posted to.
    pub path: Arc<str>,
    /// The headers that are passed on, by name.
    pub headers: Vec<(&'static str, Arc<str>)>,
    /// The body.
    pub body: Arc<[u8]>,
}

/// How an answer came.
pub enum Answer {
    /// It is all here.
    Whole(Vec<u8>),
    /// This much is here, and more is to be read.
    Begun(Vec<u8>, Rest),
}

/// What is still to be read of an answer.
pub struct Rest {
    body: Body,
}

impl Rest {
    /// Reads on; nothing is left where no bytes come.
    pub async fn next(&mut self) -> Result<Vec<u8>, Error> {
        let mut buffer = vec![0; 16 * 1024];
        let length = self.body.read(&mut buffer).await.map_err(Error::Lost)?;
        buffer.truncate(length);
        Ok(buffer)
    }
}

/// A plain service's answer.
pub struct Reply {
    /// The status.
    pub status: StatusCode,
    /// The type of the body.
    pub content_type: Option<Arc<str>>,
    /// The body.
    pub answer: Answer,
}

/// Passes a request on and reads the answer, whole where it is small.
pub async fn call(
    address: SocketAddr,
    call: &Call,
    reuse: Reuse,
    silence: Duration,
) -> Result<Reply, Error> {
    let mut request = Request::new(Method::Post, http::url(address, &call.path)?);
    request.set_body(call.body.to_vec());
    request.remove_header("Content-Type");
    for (name, value) in &call.headers {
        request.insert_header(*name, &**value);
    }
    read(http::call(address, request, reuse, silence).await?).await
}

async fn read(mut exchange: Exchange) -> Result<Reply, Error> {
    let status = exchange.response.status();
    let content_type = exchange
        .response
        .header("Content-Type")
        .map(|v| v.as_str().into());
    let mut body = exchange.response.take_body();
    let mut begun = Vec::new();
    let mut buffer = vec![0; 16 * 1024];
    while begun.len() < WHOLE_BYTES {
        let length = body.read(&mut buffer).await.map_err(Error::Lost)?;
        if length == 0 {
            exchange.recycle();
            return Ok(Reply {
                status,
                content_type,
                answer: Answer::Whole(begun),
            });
        }
        begun.extend_from_slice(&buffer[..length]);
    }
    Ok(Reply {
        status,
        content_type,
        answer: Answer::Begun(begun, Rest { body }),
    })
}
