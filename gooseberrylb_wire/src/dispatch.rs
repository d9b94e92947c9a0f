//! Protocol between entries, the instances that take requests from callers, and a dispatcher, and
//! among the dispatchers of a divided fleet: a stream of length-prefixed messages in each direction.
//!
//! Each request of the fleet causes several messages. A Cap'n Proto call for each, with its
//! response and the release of that response, would cost the dispatcher more than its decision.
//! `docs/PLATFORM.md` describes the exchange.

use std::io;
use std::time::Duration;

use futures::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use gooseberrylb_config::trailing;
use gooseberrylb_policy::announcement::{self, Announcement};
use gooseberrylb_policy::dispatch::{Decision, Key, Notice, Purpose, Request, Summary};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

/// Maximum size of a message, in bytes. The notice that reports all running requests of an entry to
/// a new dispatcher is far smaller.
const MAX_MESSAGE_BYTES: usize = 4 * 1024 * 1024;

/// Number of bytes to read at once; many messages fit.
const CHUNK_BYTES: usize = 8 * 1024;

/// Size of the length prefix of a message, in bytes.
const LENGTH_BYTES: usize = 4;

/// Message to a dispatcher, from an entry or from the dispatcher of another shard.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Question {
    /// Requests an upstream. The first answer is sent at once, also if the request has to wait.
    Ask(
        Request,
        #[serde(deserialize_with = "trailing::or_default")] Purpose,
    ),
    /// Notifies the dispatcher of events at the entry.
    Tell {
        /// Number of the notice on this stream.
        number: u64,
        /// The events.
        notice: Notice,
    },
    /// Offers a request that waits in another shard. It is granted a free slot or refused, and
    /// never queued.
    Offer(Request),
    /// Reports the free slots and the use of quotas in another shard. It is not answered.
    Summarize(Summary),
    /// Tells what the sender knows of upstreams and crashes. It is not answered.
    Announce(#[serde(with = "announcement")] Vec<Announcement>),
}

/// Message from a dispatcher.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Answer {
    /// Decision on a request, and the time after which a second copy of one that is granted is due, if
    /// one may be sent.
    Decided(
        Key,
        Decision,
        #[serde(deserialize_with = "trailing::or_default")] Option<Duration>,
    ),
    /// Acknowledges the notice of this number, which carried charges, and all earlier ones.
    Taken(u64),
    /// Tells an entry what the dispatcher knows of upstreams and crashes.
    Announced(#[serde(with = "announcement")] Vec<Announcement>),
}

/// Appends the length prefix and encoding of a message to `bytes`.
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

/// Writes the messages received from a channel until the channel is closed or the connection fails.
/// Messages that are queued at the same time share one write.
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

/// Decoder of the messages read from a connection.
pub struct Reader<R> {
    inner: R,
    /// Bytes read, of which the first `start` are decoded.
    bytes: Vec<u8>,
    /// Offset of the first byte that is not decoded yet.
    start: usize,
}

impl<R: AsyncRead + Unpin> Reader<R> {
    /// Returns a reader of `inner` with an empty buffer.
    pub fn new(inner: R) -> Self {
        Self {
            inner,
            bytes: Vec::new(),
            start: 0,
        }
    }

    /// Returns the next message, or `None` at the end of the stream.
    pub async fn next<T: DeserializeOwned>(&mut self) -> io::Result<Option<T>> {
        match self.fill().await? {
            true => self.next_buffered(),
            false => Ok(None),
        }
    }

    /// Reads until a message is completely buffered, if none is; returns `false` at the end of the
    /// stream.
    pub async fn fill(&mut self) -> io::Result<bool> {
        if self.is_ready() {
            return Ok(true);
        }
        self.compact();
        while !self.is_ready() {
            let buffered = self.bytes.len();
            self.bytes.resize(buffered + CHUNK_BYTES, 0);
            let read = self.inner.read(&mut self.bytes[buffered..]).await;
            self.bytes.truncate(buffered + *read.as_ref().unwrap_or(&0));
            match (read?, buffered) {
                (0, 0) => return Ok(false),
                (0, _) => return Err(io::ErrorKind::UnexpectedEof.into()),
                _ => {}
            }
        }
        Ok(true)
    }

    /// Whether a message is completely buffered, or known to be too long.
    fn is_ready(&self) -> bool {
        self.split_length()
            .is_some_and(|(length, rest)| length > MAX_MESSAGE_BYTES || rest.len() >= length)
    }

    /// Returns the length of the next message and the bytes after it, once the length is buffered.
    fn split_length(&self) -> Option<(usize, &[u8])> {
        let buffered = &self.bytes[self.start..];
        let (length, rest) = buffered.split_first_chunk::<LENGTH_BYTES>()?;
        Some((u32::from_be_bytes(*length) as usize, rest))
    }

    /// Returns the next message if it is completely buffered.
    pub fn next_buffered<T: DeserializeOwned>(&mut self) -> io::Result<Option<T>> {
        let Some((length, rest)) = self.split_length() else {
            return Ok(None);
        };
        if length > MAX_MESSAGE_BYTES {
            return Err(io::Error::new(
                io::ErrorKind::InvalidData,
                "message exceeds the maximum size",
            ));
        }
        let Some(message) = rest.get(..length) else {
            return Ok(None);
        };
        let decoded = postcard::from_bytes(message)
            .map_err(|error| io::Error::new(io::ErrorKind::InvalidData, error))?;
        self.start += LENGTH_BYTES + length;
        Ok(Some(decoded))
    }

    /// Removes the decoded bytes from the buffer and releases excess capacity.
    fn compact(&mut self) {
        self.bytes.drain(..self.start);
        self.start = 0;
        self.bytes.shrink_to(2 * CHUNK_BYTES);
    }
}
