//! A caller of a client account: it asks an instance for the addresses to use, caches them for
//! their time to live, connects to one, honours `Retry-After`, and checks that each response is
//! complete and belongs to its own request.

use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use async_std::task;
use gooseberrylb_config::clock::{Clock, System};
use gooseberrylb_policy::request::Outcome;
use serde::Deserialize;
use serde_json::{Value, json};

use crate::client::tally::{Check, Record};
use crate::engine::text::Text;
use crate::http::Client;
use crate::http::client::{Error, TimedResponse};
use crate::standin::execution::digest;

/// Time limit of a request for addresses.
const ADDRESSES_TIMEOUT: Duration = Duration::from_secs(2);

/// Longest wait before another attempt, whatever `Retry-After` says.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(5);

/// Delay before a request is sent again with the same idempotency key.
const RESEND_DELAY: Duration = Duration::from_millis(100);

/// Time that a caller waits for a response beyond the request's own timeout.
const RESPONSE_MARGIN: Duration = Duration::from_secs(5);

/// Body of a request.
#[derive(Debug, Clone)]
pub enum Payload {
    /// Prompt for a model.
    Prompt {
        /// Text of the prompt.
        prompt: String,
        /// Number of tokens to generate.
        max_tokens: u64,
        /// Whether the response is streamed.
        stream: bool,
    },
    /// Body for a plain service.
    Plain(Vec<u8>),
}

impl Payload {
    /// Returns the digest that upstreams log for the request.
    pub fn digest(&self) -> String {
        let bytes = match self {
            Payload::Prompt { prompt, .. } => prompt.as_bytes(),
            Payload::Plain(body) => body,
        };
        digest(bytes)
    }

    fn body(&self) -> Vec<u8> {
        match self {
            Payload::Prompt {
                prompt,
                max_tokens,
                stream,
            } => json!({"prompt": prompt, "max_tokens": max_tokens, "stream": stream})
                .to_string()
                .into_bytes(),
            Payload::Plain(body) => body.clone(),
        }
    }
}

/// Request of a caller.
#[derive(Debug, Clone)]
pub struct Call {
    /// Name of the service.
    pub service: String,
    /// Name of the route.
    pub route: String,
    /// Idempotency key, if one is sent.
    pub key: Option<String>,
    /// Timeout sent with the request.
    pub timeout: Duration,
    /// Body of the request.
    pub payload: Payload,
}

impl Call {
    /// Returns a streamed model request.
    pub fn prompt(service: &str, route: &str, prompt: &str, max_tokens: u64) -> Self {
        let payload = Payload::Prompt {
            prompt: prompt.into(),
            max_tokens,
            stream: true,
        };
        Self::new(service, route, payload)
    }

    /// Returns a request to a plain service.
    pub fn plain(service: &str, route: &str, body: &str) -> Self {
        Self::new(service, route, Payload::Plain(body.into()))
    }

    /// Sets the idempotency key.
    pub fn with_key(mut self, key: &str) -> Self {
        self.key = Some(key.into());
        self
    }

    /// Sets the timeout sent with the request.
    pub fn with_timeout(mut self, timeout: Duration) -> Self {
        self.timeout = timeout;
        self
    }

    fn new(service: &str, route: &str, payload: Payload) -> Self {
        Self {
            service: service.into(),
            route: route.into(),
            key: None,
            timeout: Duration::from_secs(30),
            payload,
        }
    }
}

#[derive(Debug, Deserialize)]
struct Addresses {
    addresses: Vec<SocketAddr>,
    ttl_ms: u64,
}

#[derive(Debug)]
struct CachedAddresses {
    addresses: Vec<SocketAddr>,
    until: Instant,
}

/// Caller of one client account.
#[derive(Debug)]
pub struct Caller {
    account: String,
    seeds: Vec<SocketAddr>,
    fixed_address: Option<SocketAddr>,
    preferred_address: Option<SocketAddr>,
    attempts: u32,
    resends: u32,
    cached: Mutex<Option<CachedAddresses>>,
    records: Mutex<Vec<Record>>,
}

impl Caller {
    /// Returns a caller that asks the instances at `seeds` for addresses and sends each request
    /// once.
    pub fn new(account: &str, seeds: Vec<SocketAddr>) -> Self {
        Self {
            account: account.into(),
            seeds,
            fixed_address: None,
            preferred_address: None,
            attempts: 1,
            resends: 0,
            cached: Mutex::new(None),
            records: Mutex::new(Vec::new()),
        }
    }

    /// Sends a request up to `attempts` times while its outcome is `not-run`.
    pub fn with_attempts(mut self, attempts: u32) -> Self {
        self.attempts = attempts.max(1);
        self
    }

    /// Sends a request with an idempotency key up to `resends` more times while its outcome is
    /// unknown.
    pub fn with_resends(mut self, resends: u32) -> Self {
        self.resends = resends;
        self
    }

    /// Tries `address` first while it is among the addresses returned by the instances.
    pub fn with_preferred(mut self, address: SocketAddr) -> Self {
        self.preferred_address = Some(address);
        self
    }

    /// Uses only `address`, without asking for addresses.
    pub fn with_address(mut self, address: SocketAddr) -> Self {
        self.fixed_address = Some(address);
        self
    }

    /// Returns the records of all requests that have ended.
    pub fn records(&self) -> Vec<Record> {
        lock(&self.records).clone()
    }

    /// Returns the number of requests that have ended.
    pub fn count(&self) -> usize {
        lock(&self.records).len()
    }

    /// Returns the addresses to use; asks the instances for them if the cached ones have expired.
    pub async fn addresses(&self) -> Vec<SocketAddr> {
        if let Some(address) = self.fixed_address {
            return vec![address];
        }
        let now = System.now();
        if let Some(cached) = lock(&self.cached)
            .as_ref()
            .filter(|cached| cached.until > now)
        {
            return cached.addresses.clone();
        }
        for seed in &self.seeds {
            if let Some(response) = self.fetch_addresses(*seed).await {
                let until = now + Duration::from_millis(response.ttl_ms);
                let mut addresses = response.addresses;
                addresses.sort_by_key(|address| Some(*address) != self.preferred_address);
                *lock(&self.cached) = Some(CachedAddresses {
                    addresses: addresses.clone(),
                    until,
                });
                return addresses;
            }
        }
        Vec::new()
    }

    /// Sends a request and returns its record. Sends it again, within the caller's limits, if it
    /// was not run, or if its outcome is unknown and a resend of its key may reveal it.
    pub async fn call(&self, call: &Call) -> Record {
        let mut attempt = 0;
        let mut resends = if call.key.is_some() { self.resends } else { 0 };
        let mut uncertain: Option<Record> = None;
        loop {
            attempt += 1;
            let mut record = self.try_addresses(call).await;
            record.attempts = attempt;
            match record.outcome {
                Some(Outcome::NotRun) if attempt < self.attempts => {
                    let wait = record.retry_after.unwrap_or_default();
                    task::sleep(wait.min(MAX_RETRY_AFTER)).await;
                }
                Some(Outcome::Unknown) | None if resends > 0 => {
                    resends -= 1;
                    uncertain.get_or_insert(record);
                    task::sleep(RESEND_DELAY).await;
                }
                _ => return self.add_record(record, uncertain),
            }
        }
    }

    /// Stores and returns the record of a request. `uncertain` is the first record with an unknown
    /// outcome; it stands if the last resend was not run, as that says nothing about earlier sends.
    fn add_record(&self, last: Record, uncertain: Option<Record>) -> Record {
        let record = match uncertain {
            Some(uncertain) if last.outcome == Some(Outcome::NotRun) => Record {
                attempts: last.attempts,
                ..uncertain
            },
            uncertain => Record {
                uncertain: uncertain.map(Box::new),
                ..last
            },
        };
        lock(&self.records).push(record.clone());
        record
    }

    async fn fetch_addresses(&self, seed: SocketAddr) -> Option<Addresses> {
        let path = format!("/v1/addresses?account={}", self.account);
        let response = Client::new(seed, ADDRESSES_TIMEOUT).get(&path).await.ok()?;
        let addresses: Addresses = serde_json::from_slice(&response.body).ok()?;
        Some(addresses).filter(|found| !found.addresses.is_empty())
    }

    /// Sends a request to the first address that accepts a connection.
    async fn try_addresses(&self, call: &Call) -> Record {
        let mut error = "no address is known".to_owned();
        for address in self.addresses().await {
            match self.send(address, call).await {
                Ok(response) => return record_response(call, &response),
                Err(Error::Connect(refused)) => error = refused.to_string(),
                Err(failed) => {
                    error = failed.to_string();
                    break;
                }
            }
        }
        // The cached addresses did not work: the next call asks for new ones.
        *lock(&self.cached) = None;
        Record {
            error: Some(error),
            ..empty_record(call)
        }
    }

    async fn send(&self, address: SocketAddr, call: &Call) -> Result<TimedResponse, Error> {
        let timeout_ms = call.timeout.as_millis().to_string();
        let mut client = Client::new(address, call.timeout + RESPONSE_MARGIN)
            .with_header("Client-Account", &self.account)
            .with_header("Request-Timeout-Ms", &timeout_ms);
        if let Some(key) = &call.key {
            client = client.with_header("Idempotency-Key", key);
        }
        let path = format!("/v1/services/{}/{}", call.service, call.route);
        client.post(&path, call.payload.body()).await
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

fn empty_record(call: &Call) -> Record {
    Record {
        service: call.service.clone(),
        route: call.route.clone(),
        key: call.key.clone(),
        digest: call.payload.digest(),
        status: None,
        outcome: None,
        version: None,
        upstream: None,
        retry_after: None,
        check: Check::None,
        request_id: None,
        first_byte: Duration::ZERO,
        total: Duration::ZERO,
        attempts: 1,
        error: None,
        uncertain: None,
    }
}

fn record_response(call: &Call, response: &TimedResponse) -> Record {
    let header = |name: &str| response.header(name).map(str::to_owned);
    let outcome = match response.header("Request-Outcome") {
        Some("served") => Some(Outcome::Served),
        Some("not-run") => Some(Outcome::NotRun),
        Some("unknown") => Some(Outcome::Unknown),
        Some(_) | None => None,
    };
    let seconds = response
        .header("Retry-After")
        .and_then(|text| text.parse().ok());
    let (check, request_id) = match response.status {
        200 => check(&call.payload, response),
        _ => (Check::None, None),
    };
    Record {
        status: Some(response.status),
        outcome,
        version: header("Served-Version"),
        upstream: header("Served-Upstream"),
        retry_after: seconds.map(Duration::from_secs),
        check,
        request_id,
        first_byte: response.first_byte,
        total: response.total,
        error: (response.status != 200)
            .then(|| String::from_utf8_lossy(&response.body).into_owned()),
        ..empty_record(call)
    }
}

fn check(payload: &Payload, response: &TimedResponse) -> (Check, Option<String>) {
    if !response.complete {
        return (Check::Truncated, None);
    }
    let result = match payload {
        Payload::Prompt {
            prompt,
            max_tokens,
            stream: true,
        } => check_stream(prompt, *max_tokens, &response.body),
        Payload::Prompt {
            prompt, max_tokens, ..
        } => check_unstreamed(prompt, *max_tokens, &response.body),
        Payload::Plain(body) => check_echo(body, &response.body).map(|()| None),
    };
    match result {
        Ok(request_id) => (Check::Complete, request_id),
        Err(reason) => (Check::Mismatch(reason), None),
    }
}

fn parse(text: &[u8]) -> Result<Value, String> {
    serde_json::from_slice(text).map_err(|error| error.to_string())
}

fn check_stream(prompt: &str, tokens: u64, body: &[u8]) -> Result<Option<String>, String> {
    let lines = body
        .split(|byte| *byte == b'\n')
        .filter(|line| !line.is_empty())
        .map(parse)
        .collect::<Result<Vec<Value>, String>>()?;
    let (last, lines) = lines.split_last().ok_or("the response is empty")?;
    if last["done"] != true {
        return Err("the last line does not mark the end of the response".into());
    }
    let id = last["request_id"].as_str().ok_or("no request id")?;
    let text = Text::new(id, prompt);
    for (n, line) in (0..).zip(lines) {
        if *line != json!({"n": n, "text": text.token(n)}) {
            return Err(format!("line {n} is {line}"));
        }
    }
    if lines.len() as u64 != tokens {
        return Err(format!("{} tokens instead of {tokens}", lines.len()));
    }
    Ok(Some(id.to_owned()))
}

fn check_unstreamed(prompt: &str, tokens: u64, body: &[u8]) -> Result<Option<String>, String> {
    let response = parse(body)?;
    let id = response["request_id"].as_str().ok_or("no request id")?;
    if response["text"] != Text::new(id, prompt).first_tokens(tokens) {
        return Err("the text does not belong to the prompt".into());
    }
    Ok(Some(id.to_owned()))
}

fn check_echo(sent: &[u8], body: &[u8]) -> Result<(), String> {
    let response = parse(body)?;
    if response["body_digest"] != digest(sent) {
        return Err("the echoed digest does not match the body that was sent".into());
    }
    Ok(())
}
