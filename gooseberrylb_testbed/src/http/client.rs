//! A client that opens a connection for each request and bounds the time of each.

use std::io;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use async_std::future;
use async_std::io::ReadExt;
use async_std::net::TcpStream;
use http_types::{Method, Request, Response, Url};
use thiserror::Error;

/// Size of the buffer that a body is read through, in bytes.
const READ_BUFFER_BYTES: usize = 16 * 1024;

/// Error of a request without a response.
#[derive(Debug, Error)]
pub enum Error {
    /// The connection could not be opened.
    #[error("no connection: {0}")]
    Connect(io::Error),
    /// The connection ended before the head of a response.
    #[error("no answer: {0}")]
    NoResponse(http_types::Error),
    /// The head of a response did not arrive in time.
    #[error("no answer in time")]
    Timeout,
    /// The request's URL is not valid.
    #[error("invalid request: {0}")]
    Request(String),
}

/// Response to a request, with its times.
#[derive(Debug)]
pub struct TimedResponse {
    /// HTTP status.
    pub status: u16,
    /// Body, as far as it arrived in time.
    pub body: Vec<u8>,
    /// Whether the body arrived to its proper end.
    pub complete: bool,
    /// Time from sending to the first byte of the body, or to the end if the body is empty.
    pub first_byte: Duration,
    /// Time from sending to the end of the body.
    pub total: Duration,
    head: Response,
}

impl TimedResponse {
    /// Returns the last value of a header.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.head.header(name).map(|values| values.last().as_str())
    }

    /// Parses the body as JSON.
    pub fn json(&self) -> serde_json::Result<serde_json::Value> {
        serde_json::from_slice(&self.body)
    }
}

/// Client of one address.
#[derive(Debug, Clone)]
pub struct Client {
    address: SocketAddr,
    timeout: Duration,
    headers: Vec<(String, String)>,
}

impl Client {
    /// Returns a client of `address` whose requests end after `timeout`.
    pub fn new(address: SocketAddr, timeout: Duration) -> Self {
        Self {
            address,
            timeout,
            headers: Vec::new(),
        }
    }

    /// Adds a header to each request.
    pub fn with_header(mut self, name: &str, value: &str) -> Self {
        self.headers.push((name.to_owned(), value.to_owned()));
        self
    }

    /// Sends a GET request for `path`.
    pub async fn get(&self, path: &str) -> Result<TimedResponse, Error> {
        self.send(Method::Get, path, None).await
    }

    /// Sends a POST request with `body` to `path`.
    pub async fn post(&self, path: &str, body: Vec<u8>) -> Result<TimedResponse, Error> {
        self.send(Method::Post, path, Some(body)).await
    }

    /// Sends a request and reads the response as far as it arrives in time.
    pub async fn send(
        &self,
        method: Method,
        path: &str,
        body: Option<Vec<u8>>,
    ) -> Result<TimedResponse, Error> {
        let url = Url::parse(&format!("http://{}{path}", self.address))
            .map_err(|error| Error::Request(error.to_string()))?;
        let mut request = Request::new(method, url);
        for (name, value) in &self.headers {
            request.insert_header(name.as_str(), value.as_str());
        }
        if let Some(body) = body {
            request.set_body(body);
        }
        let sent = Instant::now();
        let head = future::timeout(self.timeout, self.exchange(request))
            .await
            .map_err(|_| Error::Timeout)??;
        Ok(read_body(head, sent, self.timeout).await)
    }

    async fn exchange(&self, request: Request) -> Result<Response, Error> {
        let stream = TcpStream::connect(self.address)
            .await
            .map_err(Error::Connect)?;
        stream.set_nodelay(true).map_err(Error::Connect)?;
        async_h1::connect(stream, request)
            .await
            .map_err(Error::NoResponse)
    }
}

async fn read_body(mut head: Response, sent: Instant, timeout: Duration) -> TimedResponse {
    let mut reader = head.take_body();
    let mut body = Vec::new();
    let mut first_byte = None;
    let mut buffer = vec![0; READ_BUFFER_BYTES];
    let complete = loop {
        let remaining = timeout.saturating_sub(sent.elapsed());
        match future::timeout(remaining, reader.read(&mut buffer)).await {
            Ok(Ok(0)) => break true,
            Ok(Ok(n)) => {
                first_byte.get_or_insert_with(|| sent.elapsed());
                body.extend_from_slice(&buffer[..n]);
            }
            Ok(Err(_)) | Err(_) => break false,
        }
    };
    let total = sent.elapsed();
    let complete = complete && content_length(&head).is_none_or(|length| length == body.len());
    TimedResponse {
        status: u16::from(head.status()),
        body,
        complete,
        first_byte: first_byte.unwrap_or(total),
        total,
        head,
    }
}

/// Returns the value of `Content-Length`. The caller compares it with the length read, since
/// `async-h1` takes an early end of such a body for its proper end.
fn content_length(head: &Response) -> Option<usize> {
    head.header("Content-Length")?.last().as_str().parse().ok()
}
