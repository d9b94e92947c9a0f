//! An operator: submits release notes and reads back what became of them.

use std::net::SocketAddr;
use std::time::Duration;

use async_std::task;
use serde_json::Value;
use thiserror::Error;

use crate::fleet::wait_until;
use crate::http::Client;
use crate::http::client::TimedResponse;

/// How long one question may take.
const TIMEOUT: Duration = Duration::from_secs(5);

/// How often a note is submitted while no instance can accept it.
const SUBMIT_ATTEMPTS: u32 = 100;

/// How long an operator waits before submitting again.
const SUBMIT_PAUSE: Duration = Duration::from_millis(100);

/// Why an operator is not served.
#[derive(Debug, Error)]
pub enum Error {
    /// No instance answered.
    #[error("no instance answered; the last said: {0}")]
    NoResponse(String),
    /// The system refused.
    #[error("refused with status {status}: {body}")]
    Refused {
        /// The status.
        status: u16,
        /// The body.
        body: String,
    },
    /// The note is not in force in time.
    #[error("note {note} is not in force within {waited:?}; it reads back as {last}")]
    NotInForce {
        /// The note's number.
        note: u64,
        /// How long it was waited for.
        waited: Duration,
        /// The last read-back.
        last: Value,
    },
}

/// An operator who tries instances in turn.
#[derive(Debug, Clone)]
pub struct Operator {
    addresses: Vec<SocketAddr>,
    token: String,
}

impl Operator {
    /// Makes an operator of the instances at `addresses`.
    pub fn new(addresses: Vec<SocketAddr>, token: &str) -> Self {
        Self {
            addresses,
            token: token.into(),
        }
    }

    /// Submits a note, again where no instance can take it just now; its number makes that harmless.
    pub async fn submit(&self, note: &Value) -> Result<Value, Error> {
        let mut last = String::from("nothing");
        for _ in 0..SUBMIT_ATTEMPTS {
            for address in &self.addresses {
                match self.submit_at(*address, note).await {
                    Ok(answer) if answer.status == 200 => return read(&answer),
                    Ok(answer) if answer.status < 500 => return Err(refused(&answer)),
                    Ok(answer) => last = refused(&answer).to_string(),
                    Err(error) => last = error.to_string(),
                }
            }
            task::sleep(SUBMIT_PAUSE).await;
        }
        Err(Error::NoResponse(last))
    }

    /// Submits a note once, at one instance, and gives its answer as it is.
    pub async fn submit_at(
        &self,
        address: SocketAddr,
        note: &Value,
    ) -> Result<TimedResponse, crate::http::client::Error> {
        let body = note.to_string().into_bytes();
        self.client(address).post("/v1/notes", body).await
    }

    /// Reads `path` at the first instance that answers.
    pub async fn get(&self, path: &str) -> Result<Value, Error> {
        let mut last = String::from("nothing");
        for address in &self.addresses {
            match self.client(*address).get(path).await {
                Ok(answer) if answer.status == 200 => return read(&answer),
                Ok(answer) => last = refused(&answer).to_string(),
                Err(error) => last = error.to_string(),
            }
        }
        Err(Error::NoResponse(last))
    }

    /// Reads `path` at one instance.
    pub async fn get_at(&self, address: SocketAddr, path: &str) -> Result<Value, Error> {
        let answer = self.client(address).get(path).await;
        let answer = answer.map_err(|error| Error::NoResponse(error.to_string()))?;
        match answer.status {
            200 => read(&answer),
            _ => Err(refused(&answer)),
        }
    }

    /// Waits until a note reads back as in force everywhere.
    pub async fn wait_in_force(&self, note: u64, timeout: Duration) -> Result<Value, Error> {
        let mut last = Value::Null;
        let path = format!("/v1/notes/{note}");
        let in_force = wait_until(timeout, async || {
            if let Ok(answer) = self.get(&path).await {
                last = answer;
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

fn refused(answer: &TimedResponse) -> Error {
    Error::Refused {
        status: answer.status,
        body: String::from_utf8_lossy(&answer.body).into_owned(),
    }
}

fn read(answer: &TimedResponse) -> Result<Value, Error> {
    answer
        .json()
        .map_err(|error| Error::NoResponse(error.to_string()))
}
