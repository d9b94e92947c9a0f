//! Encoding of the payloads that the calls carry.

use serde::Serialize;
use serde::de::DeserializeOwned;

/// Encodes a payload.
pub fn encode<T: Serialize>(value: &T) -> Result<Vec<u8>, capnp::Error> {
    postcard::to_stdvec(value).map_err(|e| capnp::Error::failed(format!("cannot encode: {e}")))
}

/// Decodes a payload.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, capnp::Error> {
    postcard::from_bytes(bytes).map_err(|e| capnp::Error::failed(format!("cannot decode: {e}")))
}
