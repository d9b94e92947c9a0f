//! What entries and the dispatcher say to each other: a stream of messages each way. Every request of
//! the fleet passes here several times, and a call of its own for each, with its answer and the word
//! that the answer was taken in, costs the dispatcher more than its decision. See `docs/PLATFORM.md`.

use std::io;

use futures::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use gooseberrylb_policy::dispatch::{Decision, Key, Notice, Request};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

/// The largest message, in bytes; one that tells a new dispatcher all that runs at an entry is far smaller.
const MAX_MESSAGE_BYTES: usize = 4 * 1024 * 1024;

/// How much is read at once, in bytes; many messages fit.
const CHUNK_BYTES: usize = 8 * 1024;

/// The bytes before a message that tell its length.
const LENGTH_BYTES: usize = 4;

/// From an entry.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Question {
    /// A request needs an upstream. The first answer comes at once, also where it is to wait.
    Ask(Request),
    /// What happened at the entry.
    Tell {
        /// The notice's number on this stream.
        number: u64,
        /// What happened.
        notice: Notice,
    },
}

/// From the dispatcher.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Answer {
    /// What is decided on a request.
    Decided(Key, Decision),
    /// The notice of this number, and those before it, were taken in.
    Taken(u64),
}

/// Appends a message to what is to be written.
pub fn append<T: Serialize>(message: &T, bytes: &mut Vec<u8>) -> io::Result<()> {
    let start = bytes.len();
    bytes.extend_from_slice(&[0; LENGTH_BYTES]);
    let written = postcard::to_extend(message, std::mem::take(bytes));
    *bytes = written.map_err(|error| io::Error::new(io::ErrorKind::InvalidData, error))?;
    let length = u32::try_from(bytes.len() - start - LENGTH_BYTES);
    let length = length.map_err(|error| io::Error::new(io::ErrorKind::InvalidData, error))?;
    bytes[start..start + LENGTH_BYTES].copy_from_slice(&length.to_be_bytes());
    Ok(())
}

/// Writes each message that comes by a channel, those that wait at once with one write, until the
/// channel or the connection ends.
pub async fn write_all<T, W>(messages: async_channel::Receiver<T>, mut writer: W) -> io::Result<()>
where
    T: Serialize,
    W: AsyncWrite + Unpin,
{
    let mut bytes = Vec::new();
    while let Ok(message) = messages.recv().await {
        append(&message, &mut bytes)?;
        while let Ok(message) = messages.try_recv() {
            append(&message, &mut bytes)?;
        }
        writer.write_all(&bytes).await?;
        bytes.clear();
        bytes.shrink_to(CHUNK_BYTES);
    }
    Ok(())
}

/// Reads messages from a connection.
pub struct Reader<R> {
    inner: R,
    bytes: Vec<u8>,
    /// Where what was not taken out yet begins.
    start: usize,
}

impl<R: AsyncRead + Unpin> Reader<R> {
    /// Makes a reader that has read nothing.
    pub fn new(inner: R) -> Self {
        Self {
            inner,
            bytes: Vec::new(),
            start: 0,
        }
    }

    /// The next message; none at the end of the stream.
    pub async fn next<T: DeserializeOwned>(&mut self) -> io::Result<Option<T>> {
        loop {
            if let Some(message) = self.take()? {
                return Ok(Some(message));
            }
            let held = self.bytes.len();
            self.bytes.resize(held + CHUNK_BYTES, 0);
            let read = self.inner.read(&mut self.bytes[held..]).await;
            self.bytes.truncate(held + *read.as_ref().unwrap_or(&0));
            match (read?, held) {
                (0, 0) => return Ok(None),
                (0, _) => return Err(io::ErrorKind::UnexpectedEof.into()),
                _ => {}
            }
        }
    }

    fn take<T: DeserializeOwned>(&mut self) -> io::Result<Option<T>> {
        let held = &self.bytes[self.start..];
        let Some((length, rest)) = held.split_first_chunk::<LENGTH_BYTES>() else {
            self.compact();
            return Ok(None);
        };
        let length = u32::from_be_bytes(*length) as usize;
        if length > MAX_MESSAGE_BYTES {
            return Err(io::Error::new(
                io::ErrorKind::InvalidData,
                "a message is too long",
            ));
        }
        let Some(message) = rest.get(..length) else {
            self.compact();
            return Ok(None);
        };
        let decoded = postcard::from_bytes(message)
            .map_err(|error| io::Error::new(io::ErrorKind::InvalidData, error))?;
        self.start += LENGTH_BYTES + length;
        Ok(Some(decoded))
    }

    /// Drops what was taken out.
    fn compact(&mut self) {
        self.bytes.drain(..self.start);
        self.start = 0;
        self.bytes.shrink_to(2 * CHUNK_BYTES);
    }
}
