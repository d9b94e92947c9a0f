//! Encoding of commands and of the control state, as JSON so that later releases can read them.

use serde::{Deserialize, Serialize};
use serde_json::Value;

use super::{Command, State};

/// Format that this release writes.
const FORMAT: u32 = 1;

/// Function that converts a state of one format into the next one.
type Migration = fn(Value) -> Result<Value, Error>;

/// Migrations in order: the one at position `i` converts format `i + 1` into format `i + 2`.
const MIGRATIONS: &[Migration] = &[];

/// Failure to decode a control state or a command.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The bytes are not in the form that this or an earlier release writes.
    #[error("the stored control state cannot be read: {0}")]
    Malformed(#[from] serde_json::Error),
    /// The state was written by a later release.
    #[error("the stored control state has format {0}, and this release reads up to {FORMAT}")]
    Newer(u32),
    /// No release writes this format.
    #[error("the stored control state has the unknown format {0}")]
    Unknown(u32),
}

/// Stored state together with its format.
#[derive(Serialize, Deserialize)]
struct Envelope<T> {
    /// Format of the state.
    format: u32,
    /// Encoded state.
    state: T,
}

/// Format alone, which is decoded before the state.
#[derive(Deserialize)]
struct Head {
    /// Format of the state.
    format: u32,
}

impl State {
    /// Encodes the state in the current format.
    pub fn encode(&self) -> Vec<u8> {
        let envelope = Envelope {
            format: FORMAT,
            state: self,
        };
        serde_json::to_vec(&envelope).expect("every map in the state has string or number keys")
    }

    /// Decodes a state written by this or an earlier release.
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

/// Decodes a state of an older format and converts it to the current one.
fn migrate(format: u32, bytes: &[u8]) -> Result<State, Error> {
    let envelope: Envelope<Value> = serde_json::from_slice(bytes)?;
    let mut state = envelope.state;
    for migration in &MIGRATIONS[(format - 1) as usize..] {
        state = migration(state)?;
    }
    Ok(serde_json::from_value(state)?)
}

impl Command {
    /// Encodes the command for a log entry.
    pub fn encode(&self) -> Vec<u8> {
        serde_json::to_vec(self).expect("no map in a command has structured keys")
    }

    /// Decodes a command from a log entry.
    ///
    /// Every instance, including the leader, applies the decoded command, so that any rounding by
    /// the encoding is the same everywhere.
    pub fn decode(bytes: &[u8]) -> Result<Self, Error> {
        Ok(serde_json::from_slice(bytes)?)
    }
}
