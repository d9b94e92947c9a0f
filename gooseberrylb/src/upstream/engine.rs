//! Calls to engines: completions, whose streams can be resumed and cancelled.

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

/// Maximum length of a line of a stream, in bytes.
const MAX_LINE_BYTES: u64 = 1024 * 1024;

/// Time limit for cancelling a stream, and for reading the end of a finished one.
const CANCEL_TIMEOUT: Duration = Duration::from_secs(2);

/// Maximum size of an engine's error body that is passed on, in bytes; the rest is cut off.
const MAX_ERROR_BYTES: u64 = 64 * 1024;

/// A completion request to an engine.
#[derive(Debug, Clone)]
pub struct Completion {
    /// Identifier of the stream at the engine.
    pub request_id: Arc<str>,
    /// Parameters from the caller, passed on as they are.
    pub parameters: Map<String, Value>,
}

impl Completion {
    fn body(&self) -> Body {
        let mut object = self.parameters.clone();
        object.insert("request_id".into(), Value::from(&*self.request_id));
        // Always streamed, so that a silent engine is detected and a broken response can be
        // resumed.
        object.insert("stream".into(), Value::from(true));
        Body::from_string(Value::Object(object).to_string())
    }
}

/// Last line of a stream, with the token counts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
pub struct Summary {
    /// Whether the stream is complete.
    done: bool,
    /// Number of tokens in the prompt.
    #[serde(default)]
    pub prompt_tokens: u64,
    /// Number of prompt tokens found in the prefix cache.
    #[serde(default)]
    pub cached_tokens: u64,
    /// Number of tokens generated.
    #[serde(default)]
    pub output_tokens: u64,
}

impl Summary {
    /// Copies the token counts into `figures`.
    pub fn fill(&self, figures: &mut Figures) {
        figures.prompt.0 = self.prompt_tokens;
        figures.cached.0 = self.cached_tokens;
        figures.output.0 = self.output_tokens;
    }
}

/// A line of a stream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Line {
    /// A token, in the engine's format.
    Token(String),
    /// The last line of a complete stream, in the engine's format and parsed.
    End(String, Summary),
}

/// An open response stream of an engine.
pub struct Stream {
    exchange: Exchange,
    reader: BufReader<Body>,
}

/// An engine's response to starting or resuming a completion.
pub enum Started {
    /// The engine streams its response.
    Stream(Stream),
    /// The engine already has a request with this identifier, whose stream can be resumed.
    Duplicate,
    /// The engine returned an error.
    Failed {
        /// HTTP status.
        status: StatusCode,
        /// Body, cut off if it is too long.
        body: Vec<u8>,
        /// Content type of the body.
        content_type: Option<Arc<str>>,
    },
}

/// Starts a completion; `silence_timeout` bounds each wait for bytes.
pub async fn start(
    address: SocketAddr,
    completion: &Completion,
    reuse: Reuse,
    silence_timeout: Duration,
) -> Result<Started, Error> {
    let mut request = Request::new(Method::Post, http::url(address, "/v1/completions")?);
    request.set_body(completion.body());
    request.set_content_type(mime::JSON);
    read_start(http::call(address, request, reuse, silence_timeout).await?).await
}

/// Resumes a stream at line `from`, counted from 0; `silence_timeout` bounds each wait for bytes.
pub async fn resume(
    address: SocketAddr,
    request_id: &str,
    from: u64,
    silence_timeout: Duration,
) -> Result<Started, Error> {
    let path = format!("/v1/streams/{request_id}?from={from}");
    let request = Request::new(Method::Get, http::url(address, &path)?);
    // Uses a new connection: the network may have dropped the old one while the engine is healthy.
    read_start(http::call(address, request, Reuse::Never, silence_timeout).await?).await
}

async fn read_start(mut exchange: Exchange) -> Result<Started, Error> {
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
    /// Reads the next line; fails if the stream ends before its last line.
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

    /// Returns the connection to the pool after the last line was read.
    pub async fn finish(mut self) {
        let mut rest = [0; 64];
        // The end of the body follows the last line; until it is read, the connection cannot carry
        // another call.
        let end = future::timeout(CANCEL_TIMEOUT, self.reader.read(&mut rest)).await;
        if matches!(end, Ok(Ok(0))) {
            self.exchange.recycle();
        }
    }
}

/// Cancels a stream on a best-effort basis; the engine may have ended it already.
pub async fn cancel(address: SocketAddr, request_id: &str) {
    let path = format!("/v1/streams/{request_id}");
    let Ok(url) = http::url(address, &path) else {
        return;
    };
    let request = Request::new(Method::Delete, url);
    let call = http::call(address, request, Reuse::Never, CANCEL_TIMEOUT);
    future::timeout(CANCEL_TIMEOUT, call).await.ok();
}
