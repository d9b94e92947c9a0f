//! HTTP/1.1 messages on a connection.
//!
//! Heads are parsed by `httparse`. Framing and buffering are implemented here, because targets,
//! header fields and bodies must be forwarded exactly as they were received.

use std::io;
use std::task::Poll;
use std::time::Duration;

use async_std::io::{Read, WriteExt};
use async_std::net::TcpStream;
use gooseberrylb_config::dialect::Field;
use gooseberrylb_config::number::Bytes;
use socket2::SockRef;
use thiserror::Error;

use super::memory::{Exhausted, Room};

pub use body::{Body, Progress};

mod body;

/// Maximum number of header fields in a head.
const MAX_FIELDS: usize = 96;

/// Number of bytes to read at once, enough for several events of a stream.
const READ_BYTES: usize = 4 * 1024;

/// Maximum capacity in bytes of the read buffer that a connection keeps while it is empty.
const MAX_IDLE_BUFFER_BYTES: usize = 16 * 1024;

/// Number of consecutive reads without waiting after which a reader yields to other tasks, which
/// share its thread.
const MAX_READY_READS: u32 = 16;

/// Maximum size in bytes of the head of a response, with those of interim responses before it.
const MAX_RESPONSE_HEAD_BYTES: usize = 64 * 1024;

/// Reason why a message could not be read.
#[derive(Debug, Error)]
pub enum Error {
    /// The connection failed.
    #[error("the connection failed: {0}")]
    Io(#[from] io::Error),
    /// The connection was closed within a message.
    #[error("the connection was closed within a message")]
    Ended,
    /// The bytes are not valid HTTP, or their framing is ambiguous.
    #[error("{0}")]
    Malformed(&'static str),
    /// The head is larger than allowed.
    #[error("the head is larger than {0} bytes")]
    HeadTooLarge(usize),
    /// The body is larger than allowed.
    #[error("the body is larger than {0} bytes")]
    BodyTooLarge(usize),
    /// There is no memory for the body.
    #[error(transparent)]
    NoRoom(#[from] Exhausted),
}

/// How the end of a body is determined.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Framing {
    /// There is no body.
    Empty,
    /// The body has a fixed length in bytes.
    Length(u64),
    /// The body uses the chunked transfer coding.
    Chunked,
    /// The body ends when the connection is closed.
    UntilClose,
}

/// A header field.
#[derive(Debug, Clone)]
pub struct OwnedField {
    /// Name in its original case.
    pub name: String,
    /// Value without surrounding whitespace.
    pub value: Vec<u8>,
}

/// Header fields of a message, in their original order.
#[derive(Debug, Clone, Default)]
pub struct Fields(Vec<OwnedField>);

impl Fields {
    fn new(parsed: &[httparse::Header<'_>]) -> Self {
        let to_field = |field: &httparse::Header<'_>| OwnedField {
            name: field.name.to_owned(),
            value: field.value.to_vec(),
        };
        Self(parsed.iter().map(to_field).collect())
    }

    /// Removes the last field with the given name and returns its value.
    pub fn take_last(&mut self, name: &str) -> Option<Vec<u8>> {
        let has_name = |field: &OwnedField| field.name.eq_ignore_ascii_case(name);
        let place = self.0.iter().rposition(has_name)?;
        Some(self.0.remove(place).value)
    }

    /// Returns all fields in their original order.
    pub fn iter(&self) -> impl Iterator<Item = &OwnedField> {
        self.0.iter()
    }

    /// Returns the fields in the form that a platform adapter reads.
    pub fn borrowed(&self) -> Vec<Field<'_>> {
        let fields = self.0.iter();
        fields
            .map(|OwnedField { name, value }| httparse::Header { name, value })
            .collect()
    }

    /// Returns the values of all fields with the given name.
    pub fn all<'a>(&'a self, name: &'a str) -> impl Iterator<Item = &'a [u8]> {
        let has_name = move |field: &&OwnedField| field.name.eq_ignore_ascii_case(name);
        self.0.iter().filter(has_name).map(|field| &*field.value)
    }

    /// Whether a field with a comma-separated list contains `token`.
    fn has_token(&self, name: &str, token: &str) -> bool {
        self.all(name)
            .flat_map(|value| value.split(|b| *b == b','))
            .any(|part| part.trim_ascii().eq_ignore_ascii_case(token.as_bytes()))
    }

    /// Whether a field applies to a single connection and must not be forwarded.
    pub fn is_hop_by_hop(&self, name: &str) -> bool {
        const HOP_BY_HOP: [&str; 9] = [
            "Connection",
            "Keep-Alive",
            "Proxy-Connection",
            "Proxy-Authenticate",
            "Proxy-Authorization",
            "TE",
            "Trailer",
            "Transfer-Encoding",
            "Upgrade",
        ];
        let is_listed = HOP_BY_HOP.iter().any(|n| n.eq_ignore_ascii_case(name));
        is_listed || self.has_token("Connection", name)
    }

    /// Whether the connection is closed after a message of HTTP version 1.`minor`.
    fn closes(&self, minor: u8) -> bool {
        let is_http_1_0 = minor == 0 && !self.has_token("Connection", "keep-alive");
        is_http_1_0 || self.has_token("Connection", "close")
    }

    /// Returns the host without its port. There must be exactly one `Host` field.
    fn host(&self) -> Result<String, Error> {
        let mut hosts = self.all("Host");
        let host = match (hosts.next(), hosts.next()) {
            (Some(host), None) => std::str::from_utf8(host).ok(),
            _ => None,
        };
        let host = host.ok_or(Error::Malformed("one host must be named"))?;
        Ok(host.split(':').next().unwrap_or_default().to_owned())
    }

    /// Returns the value of `Content-Length`.
    fn length(&self) -> Result<Option<u64>, Error> {
        let mut values = self.all("Content-Length");
        let Some(value) = values.next() else {
            return Ok(None);
        };
        if values.next().is_some() {
            return Err(Error::Malformed("the length stands twice"));
        }
        let is_number = !value.is_empty() && value.iter().all(u8::is_ascii_digit);
        let text = std::str::from_utf8(value).ok().filter(|_| is_number);
        let length = text.and_then(|text| text.parse().ok());
        length
            .map(Some)
            .ok_or(Error::Malformed("the length is no number"))
    }

    /// Whether the body is chunked. No other transfer coding is supported.
    fn is_chunked(&self) -> Result<bool, Error> {
        let mut values = self.all("Transfer-Encoding");
        let Some(value) = values.next() else {
            return Ok(false);
        };
        if values.next().is_some() || !value.eq_ignore_ascii_case(b"chunked") {
            return Err(Error::Malformed("the transfer encoding is not known"));
        }
        Ok(true)
    }
}

/// Head of a request.
#[derive(Debug, Clone)]
pub struct Request {
    /// Method.
    pub method: String,
    /// Request target exactly as received: a path with an optional query.
    pub target: String,
    /// Host without the port.
    pub host: String,
    /// Header fields.
    pub fields: Fields,
    /// Framing of the body.
    pub framing: Framing,
    /// Whether the connection is to be closed after the response.
    pub closes: bool,
    /// Whether the caller accepts chunked responses, that is, uses HTTP/1.1.
    pub accepts_chunked: bool,
    /// Whether the caller waits for an interim response 100 before it sends the body.
    pub expects_continue: bool,
}

impl Request {
    /// Returns the path of the target without the query.
    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or_default()
    }

    /// Parses a head. Returns it with its length in bytes, or `None` if it is incomplete.
    fn parse(bytes: &[u8]) -> Result<Option<(Self, usize)>, Error> {
        let mut fields = [httparse::EMPTY_HEADER; MAX_FIELDS];
        let mut parsed = httparse::Request::new(&mut fields);
        let length = match parsed.parse(bytes) {
            Ok(httparse::Status::Complete(length)) => length,
            Ok(httparse::Status::Partial) => return Ok(None),
            Err(_) => return Err(Error::Malformed("the head is no HTTP")),
        };
        let minor = parsed.version.unwrap_or_default();
        let fields = Fields::new(parsed.headers);
        let (declared, is_chunked) = (fields.length()?, fields.is_chunked()?);
        let framing = match (declared, is_chunked) {
            (Some(_), true) => return Err(Error::Malformed("the body is framed twice")),
            (None, true) if minor == 0 => {
                return Err(Error::Malformed("HTTP/1.0 knows no chunks"));
            }
            (None, true) => Framing::Chunked,
            (Some(0) | None, false) => Framing::Empty,
            (Some(length), false) => Framing::Length(length),
        };
        let host = fields.host()?;
        let target = parsed.path.unwrap_or_default().to_owned();
        if !target.starts_with('/') {
            return Err(Error::Malformed("the target must be a path"));
        }
        let request = Self {
            method: parsed.method.unwrap_or_default().to_owned(),
            target,
            host,
            framing,
            closes: fields.closes(minor),
            accepts_chunked: minor > 0,
            expects_continue: fields.has_token("Expect", "100-continue"),
            fields,
        };
        Ok(Some((request, length)))
    }
}

/// Head of a response.
#[derive(Debug, Clone)]
pub struct Response {
    /// Status code.
    pub status: u16,
    /// Reason phrase.
    pub reason: String,
    /// Header fields.
    pub fields: Fields,
    /// Framing of the body.
    pub framing: Framing,
    /// Time for which the connection may be reused; `None` if it must be closed.
    pub keep_alive: Option<Duration>,
}

/// Assumed keep-alive timeout of upstreams that do not state one.
const DEFAULT_KEEP_ALIVE: Duration = Duration::from_secs(4);

/// Fraction of the upstream's keep-alive timeout during which a connection is reused. The margin
/// prevents a request from being sent while the upstream closes the connection.
const KEEP_ALIVE_FRACTION: f64 = 0.5;

/// Longest keep-alive timeout that is used, whatever an upstream states: the time at which it ends must
/// be one that the clock can hold.
const MAX_KEEP_ALIVE: Duration = Duration::from_secs(3600);

impl Response {
    /// Parses a head. Returns it with its length in bytes, or `None` if it is incomplete.
    fn parse(bytes: &[u8], for_head_request: bool) -> Result<Option<(Self, usize)>, Error> {
        let mut fields = [httparse::EMPTY_HEADER; MAX_FIELDS];
        let mut parsed = httparse::Response::new(&mut fields);
        let length = match parsed.parse(bytes) {
            Ok(httparse::Status::Complete(length)) => length,
            Ok(httparse::Status::Partial) => return Ok(None),
            Err(_) => return Err(Error::Malformed("the response is not valid HTTP")),
        };
        let minor = parsed.version.unwrap_or_default();
        let status = parsed.code.unwrap_or_default();
        let fields = Fields::new(parsed.headers);
        let (declared, is_chunked) = (fields.length()?, fields.is_chunked()?);
        let is_bodyless = for_head_request || matches!(status, 100..=199 | 204 | 304);
        let framing = match (declared, is_chunked) {
            _ if is_bodyless => Framing::Empty,
            (Some(_), true) => {
                return Err(Error::Malformed(
                    "the response has both a length and a transfer coding",
                ));
            }
            (None, true) => Framing::Chunked,
            (Some(0), false) => Framing::Empty,
            (Some(length), false) => Framing::Length(length),
            (None, false) => Framing::UntilClose,
        };
        let closes = fields.closes(minor) || framing == Framing::UntilClose;
        let response = Self {
            status,
            reason: parsed.reason.unwrap_or_default().to_owned(),
            framing,
            keep_alive: (!closes).then(|| keep_alive(&fields)),
            fields,
        };
        Ok(Some((response, length)))
    }
}

/// Returns the time for which a connection may be reused, from the `Keep-Alive` field.
fn keep_alive(fields: &Fields) -> Duration {
    let values = fields.all("Keep-Alive");
    let texts = values.filter_map(|value| std::str::from_utf8(value).ok());
    let mut parts = texts.flat_map(|text| text.split(','));
    let stated = parts.find_map(|part| part.trim().strip_prefix("timeout="));
    let seconds = stated.and_then(|text| text.trim().parse().ok());
    let stated = seconds.map_or(DEFAULT_KEEP_ALIVE, Duration::from_secs);
    stated.min(MAX_KEEP_ALIVE).mul_f64(KEEP_ALIVE_FRACTION)
}

/// A connection with its read buffer.
#[derive(Debug)]
pub struct Connection {
    stream: TcpStream,
    /// Bytes read from the stream.
    buffer: Vec<u8>,
    /// Offset of the first byte in `buffer` that is not consumed yet.
    start: usize,
    /// Whether the connection may serve further messages.
    reusable: bool,
    /// Number of reads since the last one that had to wait.
    ready_reads: u32,
}

impl Connection {
    /// Creates a connection from a stream from which nothing was read yet.
    pub fn new(stream: TcpStream) -> Self {
        stream.set_nodelay(true).ok();
        Self {
            stream,
            buffer: Vec::new(),
            start: 0,
            reusable: true,
            ready_reads: 0,
        }
    }

    /// Returns the bytes that were read but not consumed yet.
    pub fn unread(&self) -> &[u8] {
        &self.buffer[self.start..]
    }

    /// Consumes the first `length` unread bytes.
    pub fn consume(&mut self, length: usize) {
        self.start += length;
        if self.start == self.buffer.len() {
            self.buffer.clear();
            self.start = 0;
            if self.buffer.capacity() > MAX_IDLE_BUFFER_BYTES {
                self.buffer = Vec::new();
            }
        }
    }

    /// Reads more bytes into the buffer and returns their number; 0 means the end of the stream.
    /// Cancel safe: no bytes are lost if the future is dropped.
    pub async fn fill(&mut self) -> io::Result<usize> {
        futures::future::poll_fn(|context| {
            if self.ready_reads >= MAX_READY_READS {
                self.ready_reads = 0;
                context.waker().wake_by_ref();
                return Poll::Pending;
            }
            if self.start > 0 {
                self.buffer.drain(..self.start);
                self.start = 0;
            }
            let length = self.buffer.len();
            self.buffer.resize(length + READ_BYTES, 0);
            let stream = std::pin::Pin::new(&mut self.stream);
            let read = stream.poll_read(context, &mut self.buffer[length..]);
            let count = match &read {
                Poll::Ready(Ok(count)) => *count,
                Poll::Ready(Err(_)) | Poll::Pending => 0,
            };
            self.buffer.truncate(length + count);
            self.ready_reads = match &read {
                Poll::Ready(_) => self.ready_reads + 1,
                Poll::Pending => 0,
            };
            read
        })
        .await
    }

    /// Writes all of `bytes`.
    pub async fn write(&self, bytes: &[u8]) -> io::Result<()> {
        (&self.stream).write_all(bytes).await
    }

    /// Writes some of `bytes` and returns their number.
    pub async fn write_some(&self, bytes: &[u8]) -> io::Result<usize> {
        (&self.stream).write(bytes).await
    }

    /// Sets whether closing the connection resets it, so that the peer does not take its end for
    /// the end of a response.
    pub fn reset_on_close(&self, resets: bool) {
        let linger = resets.then_some(Duration::ZERO);
        if let Err(error) = SockRef::from(&self.stream).set_linger(linger) {
            log::warn!(error:% = error, resets; "setting the linger time of a connection failed");
        }
    }

    /// Waits until the peer has closed the connection. Does not return while there are bytes to
    /// read.
    pub async fn closed(&self) {
        let mut byte = [0; 1];
        match self.stream.peek(&mut byte).await {
            Ok(0) | Err(_) => {}
            // Bytes in the receive buffer hide a later close. If a caller that pipelines requests
            // closes, the next write fails.
            Ok(_) => futures::future::pending().await,
        }
    }

    /// Waits until there are bytes to read, or the connection has ended or failed.
    pub async fn readable(&self) {
        let mut byte = [0; 1];
        // The next read returns the error.
        self.stream.peek(&mut byte).await.ok();
    }

    /// Excludes the connection from reuse after the current response.
    pub fn disable_reuse(&mut self) {
        self.reusable = false;
    }

    /// Whether the connection may be used for another message.
    pub fn is_reusable(&self) -> bool {
        self.reusable && self.unread().is_empty()
    }

    /// Whether nothing has arrived since the last response: no bytes, no close and no error. Only
    /// then do the next bytes belong to the next response.
    pub async fn is_idle(&self) -> bool {
        let mut byte = [0; 1];
        let peek = self.stream.peek(&mut byte);
        self.unread().is_empty() && futures::poll!(std::pin::pin!(peek)).is_pending()
    }

    /// Reads the head of a request; `None` if the connection was closed before it.
    pub async fn read_request(&mut self, max_bytes: usize) -> Result<Option<Request>, Error> {
        loop {
            if !self.unread().is_empty()
                && let Some((request, length)) = Request::parse(self.unread())?
            {
                if length > max_bytes {
                    return Err(Error::HeadTooLarge(max_bytes));
                }
                self.consume(length);
                return Ok(Some(request));
            }
            if self.unread().len() > max_bytes {
                return Err(Error::HeadTooLarge(max_bytes));
            }
            if self.fill().await? == 0 {
                return match self.unread().is_empty() {
                    true => Ok(None),
                    false => Err(Error::Ended),
                };
            }
        }
    }

    /// Reads the head of a response and skips interim responses (1xx).
    pub async fn read_response(&mut self, for_head_request: bool) -> Result<Response, Error> {
        let mut skipped = 0;
        loop {
            if let Some((response, length)) = Response::parse(self.unread(), for_head_request)? {
                self.consume(length);
                if response.status >= 200 {
                    return Ok(response);
                }
                skipped += length;
            } else if self.fill().await? == 0 {
                return Err(Error::Ended);
            }
            if skipped + self.unread().len() > MAX_RESPONSE_HEAD_BYTES {
                return Err(Error::HeadTooLarge(MAX_RESPONSE_HEAD_BYTES));
            }
        }
    }

    /// Reads a body in full.
    pub async fn read_body(
        &mut self,
        framing: Framing,
        max_bytes: usize,
    ) -> Result<Vec<u8>, Error> {
        let mut body = Body::new(framing);
        body.check_length(max_bytes)?;
        let mut decoded = Vec::new();
        while self.read_part(&mut body, &mut decoded, max_bytes).await? == Progress::More {}
        Ok(decoded)
    }

    /// Reads a body in full into `room`. After [`Error::NoRoom`], the rest of the body may be skipped.
    pub async fn read_body_into(
        &mut self,
        body: &mut Body,
        max_bytes: usize,
        room: &mut Room,
    ) -> Result<Vec<u8>, Error> {
        body.check_length(max_bytes)?;
        let mut decoded = Vec::new();
        if let Some(length) = body.length() {
            room.grow(length).await?;
            // Growing step by step would leave freed blocks of up to the same size behind.
            decoded.reserve_exact(length.0 as usize);
        }
        while self.read_part(body, &mut decoded, max_bytes).await? == Progress::More {
            room.grow(Bytes(decoded.len() as u64)).await?;
        }
        Ok(decoded)
    }

    /// Reads the rest of a body, at most `max_bytes`, and drops it.
    pub async fn skip_body(&mut self, body: &mut Body, max_bytes: usize) -> Result<(), Error> {
        let (mut decoded, mut left) = (Vec::new(), max_bytes);
        while self.read_part(body, &mut decoded, left).await? == Progress::More {
            left -= decoded.len();
            decoded.clear();
        }
        Ok(())
    }

    /// Decodes what has arrived of a body and, if that is not all, waits for more bytes. `decoded` may
    /// have at most `max_bytes`.
    async fn read_part(
        &mut self,
        body: &mut Body,
        decoded: &mut Vec<u8>,
        max_bytes: usize,
    ) -> Result<Progress, Error> {
        let (used, progress) = body.decode(self.unread(), decoded)?;
        self.consume(used);
        if decoded.len() > max_bytes {
            return Err(Error::BodyTooLarge(max_bytes));
        }
        if progress == Progress::More && self.fill().await? == 0 {
            return match body.ends_at_close() {
                true => Ok(Progress::Done),
                false => Err(Error::Ended),
            };
        }
        Ok(progress)
    }
}

#[cfg(test)]
mod tests;
