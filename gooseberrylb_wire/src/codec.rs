//! Encoding of the payloads of Cap'n Proto calls, in the postcard format.

use gooseberrylb_config::number::Bytes;
use serde::Serialize;
use serde::de::DeserializeOwned;

/// Returns the encoding of a payload.
pub fn encode<T: Serialize>(value: &T) -> Result<Vec<u8>, capnp::Error> {
    postcard::to_stdvec(value).map_err(|e| capnp::Error::failed(format!("cannot encode: {e}")))
}

/// Returns the size in bytes of the encoding of a payload.
pub fn size<T: Serialize>(value: &T) -> Result<Bytes, capnp::Error> {
    postcard::experimental::serialized_size(value)
        .map(|size| Bytes(size as u64))
        .map_err(|e| capnp::Error::failed(format!("cannot encode: {e}")))
}

/// Returns the payload decoded from `bytes`.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, capnp::Error> {
    postcard::from_bytes(bytes).map_err(|e| capnp::Error::failed(format!("cannot decode: {e}")))
}
