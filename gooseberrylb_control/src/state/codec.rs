//! Commands and the control state as bytes, in JSON so that a later release can read them.

use serde::{Deserialize, Serialize};
use serde_json::Value;

use super::{Command, State};

/// The format that this release writes.
const FORMAT: u32 = 1;

/// Turns a state of one format into the next one.
type Migration = fn(Value) -> Result<Value, Error>;

/// The migrations, from format 1 on: the one at position `i` leads from format `i + 1` to `i + 2`.
const MIGRATIONS: &[Migration] = &[];

/// Why bytes are no control state or command.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The bytes are not what this release or an earlier one writes.
    #[error("the stored control state cannot be read: {0}")]
    Malformed(#[from] serde_json::Error),
    /// A later release wrote it.
    #[error("the stored control state has format {0}, and this release reads up to {FORMAT}")]
    Newer(u32),
    /// No release writes this format.
    #[error("the stored control state has the unknown format {0}")]
    Unknown(u32),
}

/// A state under its format.
#[derive(Serialize, Deserialize)]
struct Envelope<T> {
    /// The format.
    format: u32,
    /// The state.
    state: T,
}

/// The format alone, which is read before the state.
#[derive(Deserialize)]
struct Head {
    /// The format.
    format: u32,
}

impl State {
    /// The state as bytes.
    pub fn encode(&self) -> Vec<u8> {
        let envelope = Envelope {
            format: FORMAT,
            state: self,
        };
        serde_json::to_vec(&envelope).expect("every map of the state has text or number keys")
    }

    /// Reads a state that this release or an earlier one wrote.
    pub fn decode(bytes: &[u8]) -> Result<Self, Error> {
        let head: Head = serde_json::from_slice(bytes)?;
        match head.format {
            FORMAT => {
                let envelope: Envelope<State> = serde_json::from_slice(bytes)?;
                Ok(envelope.state)
            }
            0 => Err(Error::Unknown(0)),
            newer if newer > FORMAT => Err(Error::Newer(newer)),
            older => migrate(older, bytes),
        }
    }
}

fn migrate(format: u32, bytes: &[u8]) -> Result<State, Error> {
    let envelope: Envelope<Value> = serde_json::from_slice(bytes)?;
    let mut state = envelope.state;
    for migration in &MIGRATIONS[(format - 1) as usize..] {
        state = migration(state)?;
    }
    Ok(serde_json::from_value(state)?)
}

impl Command {
    /// The command as bytes, for an entry of the log.
    pub fn encode(&self) -> Vec<u8> {
        serde_json::to_vec(self).expect("a command has no maps with structured keys")
    }

    /// Reads a command from an entry of the log. Every instance applies what it reads here, the
    /// leader too, so that what the encoding rounds is rounded for all.
    pub fn decode(bytes: &[u8]) -> Result<Self, Error> {
        Ok(serde_json::from_slice(bytes)?)
    }
}
