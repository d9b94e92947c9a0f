//! A client that opens a connection for each request and bounds each wait.

use std::io;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use async_std::future;
use async_std::io::ReadExt;
use async_std::net::TcpStream;
use http_types::{Method, Request, Response, Url};
use thiserror::Error;

/// The part of a body that is read at once, in bytes.
const READ_BYTES: usize = 16 * 1024;

/// Why there is no answer.
#[derive(Debug, Error)]
pub enum Error {
    /// No connection could be opened.
    #[error("no connection: {0}")]
    Connect(io::Error),
    /// The connection ended before the head of an answer.
    #[error("no answer: {0}")]
    NoResponse(http_types::Error),
    /// The time allowed ran out before the head of an answer.
    #[error("no answer in time")]
    Timeout,
    /// The path or the body cannot be sent.
    #[error("not a request: {0}")]
    Request(String),
}

/// What came back for a request.
#[derive(Debug)]
pub struct TimedResponse {
    /// The status.
    pub status: u16,
    /// The body, as far as it came.
    pub body: Vec<u8>,
    /// Whether the body came to its proper end.
    pub complete: bool,
    /// From sending to the first byte of the body, or to the head where the body is empty.
    pub first_byte: Duration,
    /// From sending to the end.
    pub total: Duration,
    head: Response,
}

impl TimedResponse {
    /// Gives the first value of a header.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.head.header(name).map(|values| values.last().as_str())
    }

    /// Reads the body as JSON.
    pub fn json(&self) -> serde_json::Result<serde_json::Value> {
        serde_json::from_slice(&self.body)
    }
}

/// Sends requests to one address.
#[derive(Debug, Clone)]
pub struct Client {
    address: SocketAddr,
    timeout: Duration,
    headers: Vec<(String, String)>,
}

impl Client {
    /// Makes a client of `address` that gives up after `timeout`.
    pub fn new(address: SocketAddr, timeout: Duration) -> Self {
        Self {
            address,
            timeout,
            headers: Vec::new(),
        }
    }

    /// Sends a header with each request.
    pub fn with_header(mut self, name: &str, value: &str) -> Self {
        self.headers.push((name.to_owned(), value.to_owned()));
        self
    }

    /// Reads `path`.
    pub async fn get(&self, path: &str) -> Result<TimedResponse, Error> {
        self.send(Method::Get, path, None).await
    }

    /// Posts `body` to `path`.
    pub async fn post(&self, path: &str, body: Vec<u8>) -> Result<TimedResponse, Error> {
        self.send(Method::Post, path, Some(body)).await
    }

    /// Sends a request, and reads the answer as far as it comes in time.
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
    let mut part = vec![0; READ_BYTES];
    let complete = loop {
        let left = timeout.saturating_sub(sent.elapsed());
        match future::timeout(left, reader.read(&mut part)).await {
            Ok(Ok(0)) => break true,
            Ok(Ok(n)) => {
                first_byte.get_or_insert_with(|| sent.elapsed());
                body.extend_from_slice(&part[..n]);
            }
            Ok(Err(_)) | Err(_) => break false,
        }
    };
    let total = sent.elapsed();
    let complete = complete && stated_length(&head).is_none_or(|length| length == body.len());
    TimedResponse {
        status: u16::from(head.status()),
        body,
        complete,
        first_byte: first_byte.unwrap_or(total),
        total,
        head,
    }
}

/// The length that the head states; the library takes an early end of such a body for its end.
fn stated_length(head: &Response) -> Option<usize> {
    head.header("Content-Length")?.last().as_str().parse().ok()
}
