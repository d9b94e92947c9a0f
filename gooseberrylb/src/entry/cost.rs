//! Estimates the cost of a request, and computes the fingerprints of its prompt's prefixes.

use std::sync::Arc;

use gooseberrylb_config::note::Kind;
use gooseberrylb_config::number::Tokens;
use gooseberrylb_policy::request::Cost;
use http_types::StatusCode;
use serde_json::{Map, Value};

use super::incoming::Incoming;
use crate::answer::Error;

/// Approximate number of bytes of text per token.
const BYTES_PER_TOKEN: u64 = 4;

/// Output tokens assumed when the caller sets no maximum.
const DEFAULT_OUTPUT_TOKENS: Tokens = Tokens(256);

/// Maximum number of blocks of a prompt that are fingerprinted.
const MAX_BLOCKS: usize = 64;

/// Length of the text covered by one block of an engine's prefix cache, in bytes.
const BLOCK_BYTES: usize = 256;

/// Offset basis of the 64-bit FNV-1a hash.
const FNV_OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;

/// Prime of the 64-bit FNV-1a hash.
const FNV_PRIME: u64 = 0x0000_0100_0000_01b3;

/// Parameters, estimated cost and prompt prefix of a request.
#[derive(Debug, Clone, Default)]
pub struct Prompt {
    /// Parameters from the caller.
    pub parameters: Map<String, Value>,
    /// Whether the caller wants a streamed response.
    pub streams: bool,
    /// Estimated cost, in tokens.
    pub cost: Cost,
    /// Fingerprints of the prompt's prefixes, from the shortest on.
    pub prefix: Arc<[u64]>,
}

impl Prompt {
    /// Reads the prompt of a request; a request to a plain service has a fixed cost and no prompt.
    pub fn read(incoming: &Incoming) -> Result<Self, Error> {
        match incoming.kind {
            Kind::Engine => Self::parse_body(&incoming.body),
            Kind::Plain => Ok(Self {
                cost: Cost {
                    prompt: Tokens(1),
                    output: Tokens(1),
                },
                ..Self::default()
            }),
        }
    }

    fn parse_body(body: &[u8]) -> Result<Self, Error> {
        let parameters = parameters(body)?;
        let text = parameters
            .get("prompt")
            .map(prompt_text)
            .unwrap_or_default();
        let max_tokens = parameters
            .get("max_tokens")
            .and_then(Value::as_u64)
            .map(Tokens);
        let streams = parameters
            .get("stream")
            .and_then(Value::as_bool)
            .unwrap_or(true);
        let prompt = Tokens((text.len() as u64).div_ceil(BYTES_PER_TOKEN).max(1));
        let output = max_tokens.unwrap_or(DEFAULT_OUTPUT_TOKENS).max(Tokens(1));
        let prefix = fingerprints(text.as_bytes());
        Ok(Self {
            parameters,
            streams,
            cost: Cost { prompt, output },
            prefix,
        })
    }
}

/// Returns the parameters in a body: a JSON object holds them, any other text is the prompt itself.
fn parameters(body: &[u8]) -> Result<Map<String, Value>, Error> {
    if let Ok(Value::Object(parameters)) = serde_json::from_slice(body) {
        return Ok(parameters);
    }
    let Ok(text) = std::str::from_utf8(body) else {
        let message = "the body is neither a JSON object nor text in UTF-8";
        return Err(Error::new(StatusCode::BadRequest, "bad_body", message)
            .with_finding("body", "send a JSON object with a prompt")
            .with_outcome(gooseberrylb_policy::request::Outcome::NotRun));
    };
    let mut parameters = Map::new();
    parameters.insert("prompt".into(), Value::from(text));
    Ok(parameters)
}

fn prompt_text(prompt: &Value) -> String {
    match prompt {
        Value::String(text) => text.clone(),
        other => other.to_string(),
    }
}

/// Returns the fingerprints of a prompt's prefixes, by which engines identify blocks in their cache
/// events: the 64-bit FNV-1a hash of the first block, of the first two blocks, and so on.
fn fingerprints(prompt: &[u8]) -> Arc<[u64]> {
    let mut hash = FNV_OFFSET_BASIS;
    let mut hashes = Vec::new();
    for block in prompt.chunks_exact(BLOCK_BYTES).take(MAX_BLOCKS) {
        for byte in block {
            hash = (hash ^ u64::from(*byte)).wrapping_mul(FNV_PRIME);
        }
        hashes.push(hash);
    }
    hashes.into()
}
