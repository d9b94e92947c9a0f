//! Estimates what a request will take, and what its prompt begins with.

use std::sync::Arc;

use gooseberrylb_config::note::Kind;
use gooseberrylb_config::number::Tokens;
use gooseberrylb_policy::request::Cost;
use http_types::StatusCode;
use serde_json::{Map, Value};

use super::incoming::Incoming;
use crate::answer::Error;

/// Roughly how many bytes of text make a token.
const BYTES_PER_TOKEN: u64 = 4;

/// The tokens expected where a caller names no maximum.
const DEFAULT_OUTPUT: Tokens = Tokens(256);

/// The most blocks of a prompt that are told apart.
const MAX_BLOCKS: usize = 64;

/// The text that one block of an engine's prefix cache covers, in bytes.
const BLOCK_BYTES: usize = 256;

/// Where an FNV-1a hash starts.
const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;

/// What an FNV-1a hash is multiplied by for each byte.
const FNV_PRIME: u64 = 0x0000_0100_0000_01b3;

/// What an engine is to be asked.
#[derive(Debug, Clone, Default)]
pub struct Prompt {
    /// The caller's parameters.
    pub parameters: Map<String, Value>,
    /// Whether the caller wants the answer as it is written.
    pub streams: bool,
    /// What the request will take.
    pub cost: Cost,
    /// Fingerprints of ever longer beginnings of the prompt.
    pub prefix: Arc<[u64]>,
}

impl Prompt {
    /// Reads the prompt out of a request.
    pub fn read(incoming: &Incoming) -> Result<Self, Error> {
        match incoming.kind {
            Kind::Engine => Self::of_engine(&incoming.body),
            Kind::Plain => Ok(Self {
                cost: Cost {
                    prompt: Tokens(1),
                    output: Tokens(1),
                },
                ..Self::default()
            }),
        }
    }

    fn of_engine(body: &[u8]) -> Result<Self, Error> {
        let parameters = parameters(body)?;
        let text = parameters
            .get("prompt")
            .map(prompt_text)
            .unwrap_or_default();
        let wanted = parameters
            .get("max_tokens")
            .and_then(Value::as_u64)
            .map(Tokens);
        let streams = parameters
            .get("stream")
            .and_then(Value::as_bool)
            .unwrap_or(true);
        let prompt = Tokens((text.len() as u64).div_ceil(BYTES_PER_TOKEN).max(1));
        let output = wanted.unwrap_or(DEFAULT_OUTPUT).max(Tokens(1));
        let prefix = fingerprints(text.as_bytes());
        Ok(Self {
            parameters,
            streams,
            cost: Cost { prompt, output },
            prefix,
        })
    }
}

/// A body that is a JSON object holds the parameters; any other text is the prompt itself.
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

/// Fingerprints of the beginnings of a prompt, as engines name their blocks in cache events: the
/// 64-bit FNV-1a hash of the first block, of the first two, and so on.
fn fingerprints(prompt: &[u8]) -> Arc<[u64]> {
    let mut hash = FNV_OFFSET;
    let mut prints = Vec::new();
    for block in prompt.chunks_exact(BLOCK_BYTES).take(MAX_BLOCKS) {
        for byte in block {
            hash = (hash ^ u64::from(*byte)).wrapping_mul(FNV_PRIME);
        }
        prints.push(hash);
    }
    prints.into()
}
