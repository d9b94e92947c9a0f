//! Messages of HTTP/1.1 as the soak's callers and stand-ins read them: strictly, so that an answer that
//! ends early is never taken for a complete one.

use std::io::{self, BufRead, BufReader, Read};
use std::net::TcpStream;

/// The longest line or body that is read.
const MAX_BYTES: usize = 1 << 20;

/// A request or an answer.
#[derive(Debug, Default)]
pub struct Message {
    /// The first line.
    pub start_line: String,
    /// The fields, as they came.
    pub headers: Vec<(String, String)>,
    /// The body, as far as it came.
    pub body: Vec<u8>,
    /// Whether the body came as a whole.
    pub is_complete: bool,
}

impl Message {
    /// A field's value.
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter();
        let mut found = found.filter(|(known, _)| known.eq_ignore_ascii_case(name));
        found.next().map(|(_, value)| value.as_str())
    }

    /// The status of an answer; 0 where the line is none.
    pub fn status(&self) -> u16 {
        let status = self.start_line.strip_prefix("HTTP/1.1 ");
        let status = status.and_then(|rest| rest.get(..3));
        status.and_then(|line| line.parse().ok()).unwrap_or(0)
    }

    /// The target of a request.
    pub fn target(&self) -> &str {
        self.start_line.split(' ').nth(1).unwrap_or_default()
    }

    /// Whether the connection may be used again behind this message.
    pub fn is_reusable(&self) -> bool {
        let closes = |value: &str| value.eq_ignore_ascii_case("close");
        self.is_complete && !self.header("Connection").is_some_and(closes)
    }
}

/// Reads one message; none where the connection ends before its first byte.
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

fn read_chunks(stream: &mut BufReader<TcpStream>, body: &mut Vec<u8>) -> io::Result<()> {
    loop {
        let size = read_line(stream)?;
        let size = usize::from_str_radix(size.trim(), 16).map_err(|_| invalid_data())?;
        if size == 0 {
            // No trailers are sent here.
            return read_line(stream).map(drop);
        }
        read_exactly(stream, size.min(MAX_BYTES), body)?;
        read_line(stream)?;
    }
}

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
