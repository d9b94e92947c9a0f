//! Mutual authentication of the two ends of a link, before any call.
//!
//! Each end sends a random challenge and responds to the other's with a keyed BLAKE3 hash over both
//! challenges and its own greeting, which proves that it holds the cluster's key. A recorded
//! handshake cannot be replayed, since the other end's challenge is new each time. The link is not
//! encrypted; `docs/OPERATING.md` warns operators of it.

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

/// First bytes of each handshake; the last one is the version of the protocol.
const MAGIC: [u8; 5] = *b"GBLB\x01";

/// Time limit for a handshake.
const TIMEOUT: Duration = Duration::from_secs(2);

/// Maximum size of a greeting, in bytes.
const MAX_GREETING_BYTES: usize = 4096;

/// Secret key that all instances of a cluster share.
#[derive(Clone)]
pub struct Key([u8; 32]);

impl Key {
    /// Returns the key derived from the content of the key file.
    pub fn new(secret: &[u8]) -> Self {
        Self(blake3::derive_key("gooseberrylb peer links 1", secret))
    }
}

impl fmt::Debug for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Key(..)")
    }
}

/// Identity that one end of a link announces in the handshake.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Greeting {
    /// Name of the instance.
    pub instance: id::Instance,
    /// Time at which the instance started, in milliseconds since the Unix epoch.
    pub incarnation: u64,
    /// Kind of link that the connection is opened for.
    pub plane: Kind,
}

/// Reason for a failed handshake.
#[derive(Debug, Error)]
pub enum Error {
    /// The connection failed.
    #[error("the connection failed: {0}")]
    Io(#[from] io::Error),
    /// The handshake was not completed within the time limit.
    #[error("handshake not completed within {} ms", TIMEOUT.as_millis())]
    Timeout,
    /// The other end uses another protocol or another version of it.
    #[error("the other end uses another protocol or another version of it")]
    Protocol,
    /// The other end does not hold the cluster's key.
    #[error("the other end does not hold the cluster's key")]
    Key,
}

/// Role of one end in the handshake.
#[derive(Clone, Copy)]
enum Role {
    Client,
    Server,
}

/// Returns the hash by which the end in `role` proves that it holds the key. The client's challenge
/// is the first of `challenges`.
fn proof(key: &Key, role: Role, challenges: [&[u8; 32]; 2], greeting: &[u8]) -> blake3::Hash {
    let mut hasher = blake3::Hasher::new_keyed(&key.0);
    hasher.update(match role {
        Role::Client => b"client",
        Role::Server => b"server",
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

/// Sends a greeting and its proof, with the length of the greeting as a prefix.
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

/// Receives the other end's encoded greeting and proof.
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

/// Performs the handshake and returns the other end's greeting.
async fn exchange(
    stream: &mut TcpStream,
    key: &Key,
    own: &Greeting,
    role: Role,
) -> Result<Greeting, Error> {
    let challenge: [u8; 32] = rand::random();
    let mut opening = MAGIC.to_vec();
    opening.extend_from_slice(&challenge);
    stream.write_all(&opening).await?;
    if read_array(stream).await? != MAGIC {
        return Err(Error::Protocol);
    }
    let other_challenge: [u8; 32] = read_array(stream).await?;
    let (challenges, other_role) = match role {
        Role::Client => ([&challenge, &other_challenge], Role::Server),
        Role::Server => ([&other_challenge, &challenge], Role::Client),
    };
    let bytes = postcard::to_stdvec(own).map_err(|_| Error::Protocol)?;
    send_greeting(stream, &bytes, proof(key, role, challenges, &bytes)).await?;
    let (greeting, other_proof) = receive_greeting(stream).await?;
    // BLAKE3 hashes are compared in constant time.
    if other_proof != proof(key, other_role, challenges, &greeting) {
        return Err(Error::Key);
    }
    postcard::from_bytes(&greeting).map_err(|_| Error::Protocol)
}

/// Performs the handshake within [`TIMEOUT`].
async fn exchange_with_timeout(
    stream: &mut TcpStream,
    key: &Key,
    own: &Greeting,
    role: Role,
) -> Result<Greeting, Error> {
    match future::timeout(TIMEOUT, exchange(stream, key, own, role)).await {
        Ok(result) => result,
        Err(_) => Err(Error::Timeout),
    }
}

/// Performs the handshake as the end that opened the connection and returns the other end's
/// greeting.
pub async fn connect(stream: &mut TcpStream, key: &Key, own: &Greeting) -> Result<Greeting, Error> {
    exchange_with_timeout(stream, key, own, Role::Client).await
}

/// Performs the handshake as the end that accepted the connection and returns the other end's
/// greeting.
pub async fn accept(stream: &mut TcpStream, key: &Key, own: &Greeting) -> Result<Greeting, Error> {
    exchange_with_timeout(stream, key, own, Role::Server).await
}
