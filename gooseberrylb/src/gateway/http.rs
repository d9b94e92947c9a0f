//! HTTP/1.1 as it is really spoken: heads by a parser library, framing and bytes by hand, since what
//! is passed on must stay as it was sent.

use std::io;
use std::task::Poll;
use std::time::Duration;

use async_std::io::{Read, WriteExt};
use async_std::net::TcpStream;
use gooseberrylb_config::dialect::Field;
use thiserror::Error;

pub use body::{Body, Progress};

mod body;

/// The most fields of a head.
const MAX_FIELDS: usize = 96;

/// How much is read at once; several events of a stream fit.
const READ_BYTES: usize = 4 * 1024;

/// The largest buffer that an idle connection keeps.
const KEPT_BYTES: usize = 16 * 1024;

/// The largest head of an upstream's answer.
const MAX_ANSWER_HEAD: usize = 64 * 1024;

/// Why bytes are no HTTP message that can be passed on.
#[derive(Debug, Error)]
pub enum Error {
    /// The connection failed.
    #[error("the connection failed: {0}")]
    Io(#[from] io::Error),
    /// The connection ended within a message.
    #[error("the connection ended within a message")]
    Ended,
    /// The bytes are not HTTP, or frame a message in two ways.
    #[error("{0}")]
    Malformed(&'static str),
    /// The head is larger than allowed.
    #[error("the head is larger than {0} bytes")]
    HeadTooLarge(usize),
    /// The body is larger than allowed.
    #[error("the body is larger than {0} bytes")]
    BodyTooLarge(usize),
}

/// How the end of a body is told.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Framing {
    /// There is none.
    Empty,
    /// It has so many bytes.
    Length(u64),
    /// It comes in chunks.
    Chunked,
    /// It ends with the connection.
    UntilClose,
}

/// A field of a head.
#[derive(Debug, Clone)]
pub struct OwnField {
    /// Its name, as it was written.
    pub name: String,
    /// Its value.
    pub value: Vec<u8>,
}

/// The fields of a head.
#[derive(Debug, Clone, Default)]
pub struct Fields(Vec<OwnField>);

impl Fields {
    fn new(parsed: &[httparse::Header<'_>]) -> Self {
        let own = |field: &httparse::Header<'_>| OwnField {
            name: field.name.to_owned(),
            value: field.value.to_vec(),
        };
        Self(parsed.iter().map(own).collect())
    }

    /// All fields, in their order.
    pub fn iter(&self) -> impl Iterator<Item = &OwnField> {
        self.0.iter()
    }

    /// The fields as an adapter reads them.
    pub fn borrowed(&self) -> Vec<Field<'_>> {
        let fields = self.0.iter();
        fields
            .map(|OwnField { name, value }| httparse::Header { name, value })
            .collect()
    }

    /// The values of a field, which may stand more than once.
    pub fn all<'a>(&'a self, name: &'a str) -> impl Iterator<Item = &'a [u8]> {
        let same = move |field: &&OwnField| field.name.eq_ignore_ascii_case(name);
        self.0.iter().filter(same).map(|field| &*field.value)
    }

    /// Whether a comma-separated field holds a word.
    fn has_word(&self, name: &str, word: &str) -> bool {
        self.all(name)
            .flat_map(|value| value.split(|b| *b == b','))
            .any(|part| part.trim_ascii().eq_ignore_ascii_case(word.as_bytes()))
    }

    /// Whether a field concerns this connection only, and is not passed on.
    pub fn is_of_connection(&self, name: &str) -> bool {
        const OF_CONNECTION: [&str; 9] = [
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
        let known = OF_CONNECTION.iter().any(|n| n.eq_ignore_ascii_case(name));
        known || self.has_word("Connection", name)
    }

    /// Whether the connection ends behind this message.
    fn closes(&self, minor: u8) -> bool {
        let is_old = minor == 0 && !self.has_word("Connection", "keep-alive");
        is_old || self.has_word("Connection", "close")
    }

    /// The only host that is named, without its port.
    fn host(&self) -> Result<String, Error> {
        let mut hosts = self.all("Host");
        let host = match (hosts.next(), hosts.next()) {
            (Some(host), None) => std::str::from_utf8(host).ok(),
            _ => None,
        };
        let host = host.ok_or(Error::Malformed("one host must be named"))?;
        Ok(host.split(':').next().unwrap_or_default().to_owned())
    }

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

/// The head of a caller's request.
#[derive(Debug, Clone)]
pub struct Request {
    /// The method.
    pub method: String,
    /// The target, as it was written.
    pub target: String,
    /// The host that it names.
    pub host: String,
    /// The fields.
    pub fields: Fields,
    /// How the body ends.
    pub framing: Framing,
    /// Whether the connection ends behind the answer.
    pub closes: bool,
    /// Whether the caller knows chunks.
    pub knows_chunks: bool,
    /// Whether the caller waits for leave to send the body.
    pub expects_leave: bool,
}

impl Request {
    /// The path of the target, without the query.
    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or_default()
    }

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
            knows_chunks: minor > 0,
            expects_leave: fields.has_word("Expect", "100-continue"),
            fields,
        };
        Ok(Some((request, length)))
    }
}

/// The head of an upstream's answer.
#[derive(Debug, Clone)]
pub struct Answer {
    /// The status.
    pub status: u16,
    /// The words behind it.
    pub reason: String,
    /// The fields.
    pub fields: Fields,
    /// How the body ends.
    pub framing: Framing,
    /// How long the connection may be kept, if it may be at all.
    pub keep: Option<Duration>,
}

/// How long a connection is kept to an upstream that does not say how long it keeps it.
const UNSTATED_KEEP: Duration = Duration::from_secs(4);

/// The part of the time that an upstream states after which a connection is not used any more, so
/// that no request crosses its close.
const KEEP_PART: f64 = 0.5;

impl Answer {
    fn parse(bytes: &[u8], to_head: bool) -> Result<Option<(Self, usize)>, Error> {
        let mut fields = [httparse::EMPTY_HEADER; MAX_FIELDS];
        let mut parsed = httparse::Response::new(&mut fields);
        let length = match parsed.parse(bytes) {
            Ok(httparse::Status::Complete(length)) => length,
            Ok(httparse::Status::Partial) => return Ok(None),
            Err(_) => return Err(Error::Malformed("the answer is no HTTP")),
        };
        let minor = parsed.version.unwrap_or_default();
        let status = parsed.code.unwrap_or_default();
        let fields = Fields::new(parsed.headers);
        let (declared, is_chunked) = (fields.length()?, fields.is_chunked()?);
        let is_bodyless = to_head || matches!(status, 100..=199 | 204 | 304);
        let framing = match (declared, is_chunked) {
            _ if is_bodyless => Framing::Empty,
            (Some(_), true) => return Err(Error::Malformed("the answer is framed twice")),
            (None, true) => Framing::Chunked,
            (Some(0), false) => Framing::Empty,
            (Some(length), false) => Framing::Length(length),
            (None, false) => Framing::UntilClose,
        };
        let closes = fields.closes(minor) || framing == Framing::UntilClose;
        let answer = Self {
            status,
            reason: parsed.reason.unwrap_or_default().to_owned(),
            framing,
            keep: (!closes).then(|| stated_keep(&fields)),
            fields,
        };
        Ok(Some((answer, length)))
    }
}

fn stated_keep(fields: &Fields) -> Duration {
    let values = fields.all("Keep-Alive");
    let texts = values.filter_map(|value| std::str::from_utf8(value).ok());
    let mut parts = texts.flat_map(|text| text.split(','));
    let stated = parts.find_map(|part| part.trim().strip_prefix("timeout="));
    let seconds = stated.and_then(|text| text.trim().parse().ok());
    let stated = seconds.map_or(UNSTATED_KEEP, Duration::from_secs);
    stated.mul_f64(KEEP_PART)
}

/// A connection and what was read from it beyond what was used.
#[derive(Debug)]
pub struct Connection {
    stream: TcpStream,
    buffer: Vec<u8>,
    start: usize,
    may_keep: bool,
}

impl Connection {
    /// Wraps a stream from which nothing was read yet.
    pub fn new(stream: TcpStream) -> Self {
        stream.set_nodelay(true).ok();
        Self {
            stream,
            buffer: Vec::new(),
            start: 0,
            may_keep: true,
        }
    }

    /// What was read and not used yet.
    pub fn unread(&self) -> &[u8] {
        &self.buffer[self.start..]
    }

    /// Marks the first bytes of what is unread as used.
    pub fn consume(&mut self, length: usize) {
        self.start += length;
        if self.start == self.buffer.len() {
            self.buffer.clear();
            self.start = 0;
            if self.buffer.capacity() > KEPT_BYTES {
                self.buffer = Vec::new();
            }
        }
    }

    /// Reads more; 0 bytes stand for the end. Nothing is lost if this is given up halfway.
    pub async fn fill(&mut self) -> io::Result<usize> {
        futures::future::poll_fn(|context| {
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
            read
        })
        .await
    }

    /// Writes all of `bytes`.
    pub async fn write(&self, bytes: &[u8]) -> io::Result<()> {
        (&self.stream).write_all(bytes).await
    }

    /// Ends once the other side has closed the connection; bytes that come don't count as that.
    pub async fn closed(&self) {
        let mut byte = [0; 1];
        match self.stream.peek(&mut byte).await {
            Ok(0) | Err(_) => {}
            // What is buffered hides a later end; a pipelining caller is found gone at the write.
            Ok(_) => futures::future::pending().await,
        }
    }

    /// Ends once there is something to read.
    pub async fn readable(&self) {
        let mut byte = [0; 1];
        // An error shows at the next read.
        self.stream.peek(&mut byte).await.ok();
    }

    /// Has the connection closed behind the present answer.
    pub fn forbid_keeping(&mut self) {
        self.may_keep = false;
    }

    /// Whether the connection may be used again.
    pub fn may_keep(&self) -> bool {
        self.may_keep && self.unread().is_empty()
    }

    /// Whether nothing came unasked, so that the next bytes belong to the next answer.
    pub async fn is_quiet(&self) -> bool {
        let mut byte = [0; 1];
        let peek = self.stream.peek(&mut byte);
        self.unread().is_empty() && futures::poll!(std::pin::pin!(peek)).is_pending()
    }

    /// Reads a request's head; none where the connection ends before it.
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

    /// Reads an answer's head; interim answers are passed over.
    pub async fn read_response(&mut self, to_head: bool) -> Result<Answer, Error> {
        loop {
            if let Some((answer, length)) = Answer::parse(self.unread(), to_head)? {
                self.consume(length);
                if answer.status >= 200 {
                    return Ok(answer);
                }
                continue;
            }
            if self.unread().len() > MAX_ANSWER_HEAD {
                return Err(Error::HeadTooLarge(MAX_ANSWER_HEAD));
            }
            if self.fill().await? == 0 {
                return Err(Error::Ended);
            }
        }
    }

    /// Reads a whole body.
    pub async fn read_body(
        &mut self,
        framing: Framing,
        max_bytes: usize,
    ) -> Result<Vec<u8>, Error> {
        if let Framing::Length(length) = framing
            && length > max_bytes as u64
        {
            return Err(Error::BodyTooLarge(max_bytes));
        }
        let mut body = Body::new(framing);
        let mut whole = Vec::new();
        loop {
            let (used, progress) = body.take(self.unread(), &mut whole)?;
            self.consume(used);
            if whole.len() > max_bytes {
                return Err(Error::BodyTooLarge(max_bytes));
            }
            if progress == Progress::Done {
                return Ok(whole);
            }
            if self.fill().await? == 0 {
                return match body.ends_with_connection() {
                    true => Ok(whole),
                    false => Err(Error::Ended),
                };
            }
        }
    }
}
