//! Calls by the engines' protocol: completions, and streams that can be resumed and cancelled.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_std::future;
use async_std::io::BufReader;
use async_std::io::prelude::*;
use gooseberrylb_policy::request::Figures;
use http_types::{Body, Method, Request, StatusCode, mime};
use serde::Deserialize;
use serde_json::{Map, Value};

use super::Error;
use super::http::{self, Exchange, Reuse};

/// The longest line of a stream, in bytes.
const MAX_LINE_BYTES: u64 = 1024 * 1024;

/// How long cancelling a stream may take.
const CANCEL_TIMEOUT: Duration = Duration::from_secs(2);

/// The longest error body that is passed on, in bytes.
const MAX_ERROR_BYTES: u64 = 64 * 1024;

/// A completion to be run.
#[derive(Debug, Clone)]
pub struct Completion {
    /// What names the stream at the engine.
    pub request_id: Arc<str>,
    /// The caller's parameters, as the engine takes them.
    pub parameters: Map<String, Value>,
}

impl Completion {
    fn body(&self) -> Body {
        let mut object = self.parameters.clone();
        object.insert("request_id".into(), Value::from(&*self.request_id));
        // Always streamed, so that a silent engine is noticed and a broken answer can be resumed.
        object.insert("stream".into(), Value::from(true));
        Body::from_string(Value::Object(object).to_string())
    }
}

/// The last line of a stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
pub struct Summary {
    /// Whether the stream is whole.
    done: bool,
    /// The prompt's tokens.
    #[serde(default)]
    pub prompt_tokens: u64,
    /// Those of them that were cached.
    #[serde(default)]
    pub cached_tokens: u64,
    /// The tokens written.
    #[serde(default)]
    pub output_tokens: u64,
}

impl Summary {
    /// Puts the counts into `figures`.
    pub fn fill(&self, figures: &mut Figures) {
        figures.prompt.0 = self.prompt_tokens;
        figures.cached.0 = self.cached_tokens;
        figures.output.0 = self.output_tokens;
    }
}

/// One line of a stream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Line {
    /// A token, as the engine wrote it.
    Token(String),
    /// The end: everything came.
    End(String, Summary),
}

/// A stream of lines from an engine.
pub struct Stream {
    exchange: Exchange,
    reader: BufReader<Body>,
}

/// How an engine answered a completion.
pub enum Started {
    /// It streams.
    Stream(Stream),
    /// It has this request already, so that the stream can be joined.
    Duplicate,
    /// It answered with an error of its own.
    Failed {
        /// The status.
        status: StatusCode,
        /// The body.
        body: Vec<u8>,
        /// The type of the body.
        content_type: Option<Arc<str>>,
    },
}

/// Starts a completion.
pub async fn start(
    address: SocketAddr,
    completion: &Completion,
    reuse: Reuse,
    silence: Duration,
) -> Result<Started, Error> {
    let mut request = Request::new(Method::Post, http::url(address, "/v1/completions")?);
    request.set_body(completion.body());
    request.set_content_type(mime::JSON);
    started(http::call(address, request, reuse, silence).await?).await
}

/// Joins a stream that an engine has, from its line `from` on.
pub async fn resume(
    address: SocketAddr,
    request_id: &str,
    from: u64,
    silence: Duration,
) -> Result<Started, Error> {
    let path = format!("/v1/streams/{request_id}?from={from}");
    let request = Request::new(Method::Get, http::url(address, &path)?);
    // A new connection: the one before may have been lost on the way, while the engine is well.
    started(http::call(address, request, Reuse::Never, silence).await?).await
}

async fn started(mut exchange: Exchange) -> Result<Started, Error> {
    let status = exchange.response.status();
    if status.is_success() {
        let reader = BufReader::new(exchange.response.take_body());
        return Ok(Started::Stream(Stream { exchange, reader }));
    }
    if status == StatusCode::Conflict {
        return Ok(Started::Duplicate);
    }
    let content_type = exchange
        .response
        .content_type()
        .map(|mime| mime.to_string().into());
    let mut body = Vec::new();
    let mut reader = exchange.response.take_body().take(MAX_ERROR_BYTES);
    reader.read_to_end(&mut body).await.map_err(Error::Lost)?;
    Ok(Started::Failed {
        status,
        body,
        content_type,
    })
}

impl Stream {
    /// Reads the next line; an end without the last line is an error.
    pub async fn next(&mut self) -> Result<Line, Error> {
        let mut text = String::new();
        let mut bounded = (&mut self.reader).take(MAX_LINE_BYTES);
        bounded.read_line(&mut text).await.map_err(Error::Lost)?;
        if !text.ends_with('\n') {
            return Err(Error::Lost(std::io::ErrorKind::UnexpectedEof.into()));
        }
        match serde_json::from_str::<Summary>(&text) {
            Ok(summary) if summary.done => Ok(Line::End(text, summary)),
            _ => Ok(Line::Token(text)),
        }
    }

    /// Keeps the connection for another call, once the end of the stream was read.
    pub async fn finish(mut self) {
        let mut rest = [0; 64];
        // The end of the body stands behind the last line; without it the connection is of no use.
        let end = future::timeout(CANCEL_TIMEOUT, self.reader.read(&mut rest)).await;
        if matches!(end, Ok(Ok(0))) {
            self.exchange.recycle();
        }
    }
}

/// Cancels a stream; the engine may have ended it already.
pub async fn cancel(address: SocketAddr, request_id: &str) {
    let path = format!("/v1/streams/{request_id}");
    let Ok(url) = http::url(address, &path) else {
        return;
    };
    let request = Request::new(Method::Delete, url);
    let call = http::call(address, request, Reuse::Never, CANCEL_TIMEOUT);
    future::timeout(CANCEL_TIMEOUT, call).await.ok();
}
