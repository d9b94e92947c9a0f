//! Proof, before any call, that both ends hold the cluster's key.
//!
//! Each end sends a random challenge and answers the other's with a keyed BLAKE3 hash over both
//! challenges and its own greeting. A recorded handshake is worth nothing, since the challenge of
//! the other end is new each time. The link is not encrypted: `docs/OPERATING.md` says so.

use std::fmt;
use std::io;
use std::time::Duration;

use async_std::future;
use async_std::io::prelude::*;
use async_std::net::TcpStream;
use gooseberrylb_config::id;
use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::plane::Kind;

/// Opens each handshake, with the protocol's version as its last byte.
const MAGIC: [u8; 5] = *b"GBLB\x01";

/// How long a handshake may take.
const TIMEOUT: Duration = Duration::from_secs(2);

/// The longest greeting accepted, in bytes.
const MAX_GREETING_BYTES: usize = 4096;

/// The cluster's key.
#[derive(Clone)]
pub struct Key([u8; 32]);

impl Key {
    /// Derives the key from the content of the key file.
    pub fn new(secret: &[u8]) -> Self {
        Self(blake3::derive_key("gooseberrylb peer links 1", secret))
    }
}

impl fmt::Debug for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Key(..)")
    }
}

/// What one end says of itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Greeting {
    /// Its name.
    pub instance: id::Instance,
    /// Its start, as milliseconds since 1970.
    pub incarnation: u64,
    /// Which calls the link is for.
    pub plane: Kind,
}

/// Why a handshake failed.
#[derive(Debug, Error)]
pub enum Error {
    /// The connection failed.
    #[error("the connection failed: {0}")]
    Io(#[from] io::Error),
    /// The other end took too long.
    #[error("no handshake within {} ms", TIMEOUT.as_millis())]
    Timeout,
    /// The other end speaks another protocol or version.
    #[error("the other end speaks another protocol or another version of it")]
    Protocol,
    /// The other end does not hold the cluster's key.
    #[error("the other end does not hold the cluster's key")]
    Key,
}

#[derive(Clone, Copy)]
enum End {
    Client,
    Server,
}

fn proof(key: &Key, end: End, challenges: [&[u8; 32]; 2], greeting: &[u8]) -> blake3::Hash {
    let mut hasher = blake3::Hasher::new_keyed(&key.0);
    hasher.update(match end {
        End::Client => b"client",
        End::Server => b"server",
    });
    hasher.update(challenges[0]);
    hasher.update(challenges[1]);
    hasher.update(greeting);
    hasher.finalize()
}

async fn read_array<const N: usize>(stream: &mut TcpStream) -> Result<[u8; N], Error> {
    let mut bytes = [0; N];
    stream.read_exact(&mut bytes).await?;
    Ok(bytes)
}

async fn send_greeting(
    stream: &mut TcpStream,
    greeting: &[u8],
    proof: blake3::Hash,
) -> Result<(), Error> {
    let length = u32::try_from(greeting.len()).map_err(|_| Error::Protocol)?;
    let mut bytes = length.to_be_bytes().to_vec();
    bytes.extend_from_slice(greeting);
    bytes.extend_from_slice(proof.as_bytes());
    stream.write_all(&bytes).await?;
    Ok(())
}

async fn receive_greeting(stream: &mut TcpStream) -> Result<(Vec<u8>, blake3::Hash), Error> {
    let length = u32::from_be_bytes(read_array(stream).await?) as usize;
    if length > MAX_GREETING_BYTES {
        return Err(Error::Protocol);
    }
    let mut greeting = vec![0; length];
    stream.read_exact(&mut greeting).await?;
    let proof: [u8; 32] = read_array(stream).await?;
    Ok((greeting, blake3::Hash::from_bytes(proof)))
}

async fn exchange(
    stream: &mut TcpStream,
    key: &Key,
    own: &Greeting,
    end: End,
) -> Result<Greeting, Error> {
    let challenge: [u8; 32] = rand::random();
    let mut opening = MAGIC.to_vec();
    opening.extend_from_slice(&challenge);
    stream.write_all(&opening).await?;
    if read_array(stream).await? != MAGIC {
        return Err(Error::Protocol);
    }
    let other: [u8; 32] = read_array(stream).await?;
    let (challenges, other_end) = match end {
        End::Client => ([&challenge, &other], End::Server),
        End::Server => ([&other, &challenge], End::Client),
    };
    let bytes = postcard::to_stdvec(own).map_err(|_| Error::Protocol)?;
    send_greeting(stream, &bytes, proof(key, end, challenges, &bytes)).await?;
    let (greeting, other_proof) = receive_greeting(stream).await?;
    // The comparison of BLAKE3 hashes takes constant time.
    if other_proof != proof(key, other_end, challenges, &greeting) {
        return Err(Error::Key);
    }
    postcard::from_bytes(&greeting).map_err(|_| Error::Protocol)
}

async fn bounded(
    stream: &mut TcpStream,
    key: &Key,
    own: &Greeting,
    end: End,
) -> Result<Greeting, Error> {
    match future::timeout(TIMEOUT, exchange(stream, key, own, end)).await {
        Ok(result) => result,
        Err(_) => Err(Error::Timeout),
    }
}

/// Shakes hands as the end that opened the connection.
pub async fn connect(stream: &mut TcpStream, key: &Key, own: &Greeting) -> Result<Greeting, Error> {
    bounded(stream, key, own, End::Client).await
}

/// Shakes hands as the end that accepted the connection.
pub async fn accept(stream: &mut TcpStream, key: &Key, own: &Greeting) -> Result<Greeting, Error> {
    bounded(stream, key, own, End::Server).await
}
