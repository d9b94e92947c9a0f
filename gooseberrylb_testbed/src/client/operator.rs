//! An operator: submits release notes and reads back their state.

use std::net::SocketAddr;
use std::time::Duration;

use async_std::task;
use serde_json::Value;
use thiserror::Error;

use crate::fleet::wait_until;
use crate::http::Client;
use crate::http::client::TimedResponse;

/// Time limit of one request.
const TIMEOUT: Duration = Duration::from_secs(5);

/// Number of rounds over all instances in which a note is submitted before giving up.
const SUBMIT_ATTEMPTS: u32 = 100;

/// Delay between two rounds of submitting a note.
const SUBMIT_DELAY: Duration = Duration::from_millis(100);

/// Error of an operator's request.
#[derive(Debug, Error)]
pub enum Error {
    /// No instance gave a usable response; holds the last error.
    #[error("no instance answered; the last said: {0}")]
    NoResponse(String),
    /// An instance refused the request.
    #[error("refused with status {status}: {body}")]
    Refused {
        /// HTTP status.
        status: u16,
        /// Body of the response.
        body: String,
    },
    /// The note was not in force within the time allowed.
    #[error("note {note} is not in force within {waited:?}; it reads back as {last}")]
    NotInForce {
        /// Number of the note.
        note: u64,
        /// Time spent waiting.
        waited: Duration,
        /// Last state that was read back.
        last: Value,
    },
}

/// Operator that tries instances in turn.
#[derive(Debug, Clone)]
pub struct Operator {
    addresses: Vec<SocketAddr>,
    token: String,
}

impl Operator {
    /// Returns an operator of the instances at `addresses`, authenticated by `token`.
    pub fn new(addresses: Vec<SocketAddr>, token: &str) -> Self {
        Self {
            addresses,
            token: token.into(),
        }
    }

    /// Submits a note, and again while no instance can accept it. A resend is harmless, since a
    /// note is identified by its number.
    pub async fn submit(&self, note: &Value) -> Result<Value, Error> {
        let mut last = String::from("nothing");
        for _ in 0..SUBMIT_ATTEMPTS {
            for address in &self.addresses {
                match self.submit_at(*address, note).await {
                    Ok(response) if response.status == 200 => return parse_body(&response),
                    Ok(response) if response.status < 500 => return Err(refusal(&response)),
                    Ok(response) => last = refusal(&response).to_string(),
                    Err(error) => last = error.to_string(),
                }
            }
            task::sleep(SUBMIT_DELAY).await;
        }
        Err(Error::NoResponse(last))
    }

    /// Submits a note once, to one instance, and returns the response whatever its status.
    pub async fn submit_at(
        &self,
        address: SocketAddr,
        note: &Value,
    ) -> Result<TimedResponse, crate::http::client::Error> {
        let body = note.to_string().into_bytes();
        self.client(address).post("/v1/notes", body).await
    }

    /// Returns the JSON body at `path` from the first instance that responds with success.
    pub async fn get(&self, path: &str) -> Result<Value, Error> {
        let mut last = String::from("nothing");
        for address in &self.addresses {
            match self.client(*address).get(path).await {
                Ok(response) if response.status == 200 => return parse_body(&response),
                Ok(response) => last = refusal(&response).to_string(),
                Err(error) => last = error.to_string(),
            }
        }
        Err(Error::NoResponse(last))
    }

    /// Returns the JSON body at `path` from one instance.
    pub async fn get_at(&self, address: SocketAddr, path: &str) -> Result<Value, Error> {
        let response = self.client(address).get(path).await;
        let response = response.map_err(|error| Error::NoResponse(error.to_string()))?;
        match response.status {
            200 => parse_body(&response),
            _ => Err(refusal(&response)),
        }
    }

    /// Waits until a note reads back as in force everywhere, and returns its state.
    pub async fn wait_in_force(&self, note: u64, timeout: Duration) -> Result<Value, Error> {
        let mut last = Value::Null;
        let path = format!("/v1/notes/{note}");
        let in_force = wait_until(timeout, async || {
            if let Ok(response) = self.get(&path).await {
                last = response;
            }
            last["in_force"] == true
        })
        .await;
        if in_force {
            return Ok(last);
        }
        Err(Error::NotInForce {
            note,
            waited: timeout,
            last,
        })
    }

    fn client(&self, address: SocketAddr) -> Client {
        Client::new(address, TIMEOUT)
            .with_header("Authorization", &format!("Bearer {}", self.token))
            .with_header("Content-Type", "application/json")
    }
}

fn refusal(response: &TimedResponse) -> Error {
    Error::Refused {
        status: response.status,
        body: String::from_utf8_lossy(&response.body).into_owned(),
    }
}

fn parse_body(response: &TimedResponse) -> Result<Value, Error> {
    response
        .json()
        .map_err(|error| Error::NoResponse(error.to_string()))
}
