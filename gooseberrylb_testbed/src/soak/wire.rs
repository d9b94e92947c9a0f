//! HTTP/1.1 messages as the callers and stand-ins of a soak test read them. The reader is strict,
//! so that a truncated response never counts as complete.

use std::io::{self, BufRead, BufReader, Read};
use std::net::TcpStream;

/// Maximum size of a line, and of a body or chunk, in bytes.
const MAX_BYTES: usize = 1 << 20;

/// Request or response.
#[derive(Debug, Default)]
pub struct Message {
    /// First line: the request line or the status line.
    pub start_line: String,
    /// Header fields in the order in which they arrived.
    pub headers: Vec<(String, String)>,
    /// Body, as far as it arrived.
    pub body: Vec<u8>,
    /// Whether the whole body arrived.
    pub is_complete: bool,
}

impl Message {
    /// Returns the value of a header field.
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter();
        let mut found = found.filter(|(known, _)| known.eq_ignore_ascii_case(name));
        found.next().map(|(_, value)| value.as_str())
    }

    /// Returns the status code of a response, or 0 if the first line is not a status line.
    pub fn status(&self) -> u16 {
        let status = self.start_line.strip_prefix("HTTP/1.1 ");
        let status = status.and_then(|rest| rest.get(..3));
        status.and_then(|code| code.parse().ok()).unwrap_or(0)
    }

    /// Returns the target of a request.
    pub fn target(&self) -> &str {
        self.start_line.split(' ').nth(1).unwrap_or_default()
    }

    /// Whether the connection can be used again after this message.
    pub fn is_reusable(&self) -> bool {
        let closes = |value: &str| value.eq_ignore_ascii_case("close");
        self.is_complete && !self.header("Connection").is_some_and(closes)
    }
}

/// Reads one message. Returns `None` if the connection ends before its first byte.
pub fn read(stream: &mut BufReader<TcpStream>) -> io::Result<Option<Message>> {
    let start_line = read_line(stream)?;
    if start_line.is_empty() {
        return Ok(None);
    }
    let mut message = Message {
        start_line,
        ..Message::default()
    };
    loop {
        let line = read_line(stream)?;
        if line.is_empty() {
            break;
        }
        let (name, value) = line.split_once(':').ok_or_else(invalid_data)?;
        message
            .headers
            .push((name.to_owned(), value.trim().to_owned()));
    }
    let read = match message.header("Content-Length").map(str::to_owned) {
        Some(length) => {
            let length = length.parse::<usize>().map_err(|_| invalid_data())?;
            read_exactly(stream, length.min(MAX_BYTES), &mut message.body)
        }
        None if message.header("Transfer-Encoding").is_some() => {
            read_chunks(stream, &mut message.body)
        }
        None => Ok(()),
    };
    message.is_complete = read.is_ok();
    Ok(Some(message))
}

/// Reads a chunked body.
fn read_chunks(stream: &mut BufReader<TcpStream>, body: &mut Vec<u8>) -> io::Result<()> {
    loop {
        let size = read_line(stream)?;
        let size = usize::from_str_radix(size.trim(), 16).map_err(|_| invalid_data())?;
        if size == 0 {
            // The messages read here have no trailers.
            return read_line(stream).map(drop);
        }
        read_exactly(stream, size.min(MAX_BYTES), body)?;
        read_line(stream)?;
    }
}

/// Reads `length` bytes to the end of `body`, or fails if the connection ends before.
fn read_exactly(
    stream: &mut BufReader<TcpStream>,
    length: usize,
    body: &mut Vec<u8>,
) -> io::Result<()> {
    let read = stream.by_ref().take(length as u64).read_to_end(body)?;
    match read == length {
        true => Ok(()),
        false => Err(io::ErrorKind::UnexpectedEof.into()),
    }
}

/// Reads a line and returns it without its line ending. The line is empty if the connection ends
/// before its first byte.
fn read_line(stream: &mut BufReader<TcpStream>) -> io::Result<String> {
    let mut line = String::new();
    stream
        .by_ref()
        .take(MAX_BYTES as u64)
        .read_line(&mut line)?;
    if !line.is_empty() && !line.ends_with('\n') {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    Ok(line.trim_end().to_owned())
}

fn invalid_data() -> io::Error {
    io::ErrorKind::InvalidData.into()
}
