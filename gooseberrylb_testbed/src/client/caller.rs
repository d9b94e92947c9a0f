//! A caller: it asks which address to use, keeps the answer for a while, connects there, follows
//! `Retry-After`, and checks that it got the whole answer to its own request.

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

/// How long an answer for addresses may take.
const ADDRESSES_TIMEOUT: Duration = Duration::from_secs(2);

/// The longest that a caller waits before it tries again, whatever it is told.
const LONGEST_RETRY_AFTER: Duration = Duration::from_secs(5);

/// How long a caller waits before it sends a key again.
const RESEND_PAUSE: Duration = Duration::from_millis(100);

/// How much longer than the request's own timeout a caller waits for an answer.
const PATIENCE: Duration = Duration::from_secs(5);

/// What a caller sends.
#[derive(Debug, Clone)]
pub enum Payload {
    /// A prompt for a model.
    Prompt {
        /// The prompt.
        prompt: String,
        /// The tokens wanted.
        max_tokens: u64,
        /// Whether the answer is to be streamed.
        stream: bool,
    },
    /// A body for a plain service.
    Plain(Vec<u8>),
}

impl Payload {
    /// The digest that upstreams log.
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

/// One request.
#[derive(Debug, Clone)]
pub struct Call {
    /// The service.
    pub service: String,
    /// The route.
    pub route: String,
    /// The idempotency key.
    pub key: Option<String>,
    /// How long the answer may take.
    pub timeout: Duration,
    /// What is sent.
    pub payload: Payload,
}

impl Call {
    /// Makes a streamed model request.
    pub fn prompt(service: &str, route: &str, prompt: &str, max_tokens: u64) -> Self {
        let payload = Payload::Prompt {
            prompt: prompt.into(),
            max_tokens,
            stream: true,
        };
        Self::new(service, route, payload)
    }

    /// Makes a request to a plain service.
    pub fn plain(service: &str, route: &str, body: &str) -> Self {
        Self::new(service, route, Payload::Plain(body.into()))
    }

    /// Sends an idempotency key.
    pub fn with_key(mut self, key: &str) -> Self {
        self.key = Some(key.into());
        self
    }

    /// Sets how long the answer may take.
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
struct Kept {
    addresses: Vec<SocketAddr>,
    until: Instant,
}

/// A caller of one client account.
#[derive(Debug)]
pub struct Caller {
    account: String,
    seeds: Vec<SocketAddr>,
    fixed: Option<SocketAddr>,
    preferred: Option<SocketAddr>,
    attempts: u32,
    resends: u32,
    kept: Mutex<Option<Kept>>,
    records: Mutex<Vec<Record>>,
}

impl Caller {
    /// Makes a caller that asks the instances at `seeds` for addresses, and sends each request once.
    pub fn new(account: &str, seeds: Vec<SocketAddr>) -> Self {
        Self {
            account: account.into(),
            seeds,
            fixed: None,
            preferred: None,
            attempts: 1,
            resends: 0,
            kept: Mutex::new(None),
            records: Mutex::new(Vec::new()),
        }
    }

    /// Sends a request up to `attempts` times while the system says that it was not run.
    pub fn with_attempts(mut self, attempts: u32) -> Self {
        self.attempts = attempts.max(1);
        self
    }

    /// Sends a key up to `resends` times again while it is not known what became of it.
    pub fn with_resends(mut self, resends: u32) -> Self {
        self.resends = resends;
        self
    }

    /// Uses this address first for as long as it is among those answered.
    pub fn with_preferred(mut self, address: SocketAddr) -> Self {
        self.preferred = Some(address);
        self
    }

    /// Uses one address, and asks for none.
    pub fn with_address(mut self, address: SocketAddr) -> Self {
        self.fixed = Some(address);
        self
    }

    /// What it got so far.
    pub fn records(&self) -> Vec<Record> {
        lock(&self.records).clone()
    }

    /// The number of requests that ended.
    pub fn count(&self) -> usize {
        lock(&self.records).len()
    }

    /// The addresses to use, asked for where the kept ones have lapsed.
    pub async fn addresses(&self) -> Vec<SocketAddr> {
        if let Some(address) = self.fixed {
            return vec![address];
        }
        let now = System.now();
        if let Some(kept) = lock(&self.kept).as_ref().filter(|kept| kept.until > now) {
            return kept.addresses.clone();
        }
        for seed in &self.seeds {
            if let Some(answer) = self.ask_for_addresses(*seed).await {
                let until = now + Duration::from_millis(answer.ttl_ms);
                let mut addresses = answer.addresses;
                addresses.sort_by_key(|address| Some(*address) != self.preferred);
                *lock(&self.kept) = Some(Kept {
                    addresses: addresses.clone(),
                    until,
                });
                return addresses;
            }
        }
        Vec::new()
    }

    /// Sends a request, and again where it was not run, or where a resend of its key may tell more.
    pub async fn call(&self, call: &Call) -> Record {
        let mut attempt = 0;
        let mut resends = if call.key.is_some() { self.resends } else { 0 };
        let mut doubt: Option<Record> = None;
        loop {
            attempt += 1;
            let mut record = self.try_addresses(call).await;
            record.attempts = attempt;
            match record.outcome {
                Some(Outcome::NotRun) if attempt < self.attempts => {
                    let wait = record.retry_after.unwrap_or_default();
                    task::sleep(wait.min(LONGEST_RETRY_AFTER)).await;
                }
                Some(Outcome::Unknown) | None if resends > 0 => {
                    resends -= 1;
                    doubt.get_or_insert(record);
                    task::sleep(RESEND_PAUSE).await;
                }
                _ => return self.keep(record, doubt),
            }
        }
    }

    /// Keeps what came of a request. That a resend was not run says nothing of the send before it.
    fn keep(&self, last: Record, doubt: Option<Record>) -> Record {
        let record = match doubt {
            Some(doubt) if last.outcome == Some(Outcome::NotRun) => Record {
                attempts: last.attempts,
                ..doubt
            },
            _ => last,
        };
        lock(&self.records).push(record.clone());
        record
    }

    async fn ask_for_addresses(&self, seed: SocketAddr) -> Option<Addresses> {
        let path = format!("/v1/addresses?account={}", self.account);
        let answer = Client::new(seed, ADDRESSES_TIMEOUT).get(&path).await.ok()?;
        let addresses: Addresses = serde_json::from_slice(&answer.body).ok()?;
        Some(addresses).filter(|answer| !answer.addresses.is_empty())
    }

    /// Sends a request to the first address that takes a connection.
    async fn try_addresses(&self, call: &Call) -> Record {
        let mut error = "no address is known".to_owned();
        for address in self.addresses().await {
            match self.send(address, call).await {
                Ok(answer) => return record_answer(call, &answer),
                Err(Error::Connect(refused)) => error = refused.to_string(),
                Err(failed) => {
                    error = failed.to_string();
                    break;
                }
            }
        }
        // Other addresses are asked for, since the kept ones proved wrong.
        *lock(&self.kept) = None;
        Record {
            error: Some(error),
            ..empty_record(call)
        }
    }

    async fn send(&self, address: SocketAddr, call: &Call) -> Result<TimedResponse, Error> {
        let timeout_ms = call.timeout.as_millis().to_string();
        let mut client = Client::new(address, call.timeout + PATIENCE)
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
    }
}

fn record_answer(call: &Call, answer: &TimedResponse) -> Record {
    let header = |name: &str| answer.header(name).map(str::to_owned);
    let outcome = match answer.header("Request-Outcome") {
        Some("served") => Some(Outcome::Served),
        Some("not-run") => Some(Outcome::NotRun),
        Some("unknown") => Some(Outcome::Unknown),
        Some(_) | None => None,
    };
    let seconds = answer
        .header("Retry-After")
        .and_then(|text| text.parse().ok());
    let (check, request_id) = match answer.status {
        200 => check(&call.payload, answer),
        _ => (Check::None, None),
    };
    Record {
        status: Some(answer.status),
        outcome,
        version: header("Served-Version"),
        upstream: header("Served-Upstream"),
        retry_after: seconds.map(Duration::from_secs),
        check,
        request_id,
        first_byte: answer.first_byte,
        total: answer.total,
        error: (answer.status != 200).then(|| String::from_utf8_lossy(&answer.body).into_owned()),
        ..empty_record(call)
    }
}

fn check(payload: &Payload, answer: &TimedResponse) -> (Check, Option<String>) {
    if !answer.complete {
        return (Check::Truncated, None);
    }
    let checked = match payload {
        Payload::Prompt {
            prompt,
            max_tokens,
            stream: true,
        } => check_stream(prompt, *max_tokens, &answer.body),
        Payload::Prompt {
            prompt, max_tokens, ..
        } => check_unstreamed(prompt, *max_tokens, &answer.body),
        Payload::Plain(body) => check_echo(body, &answer.body).map(|()| None),
    };
    match checked {
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
    let (last, lines) = lines.split_last().ok_or("the answer is empty")?;
    if last["done"] != true {
        return Err("the last line does not end the answer".into());
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
    let answer = parse(body)?;
    let id = answer["request_id"].as_str().ok_or("no request id")?;
    if answer["text"] != Text::new(id, prompt).first_tokens(tokens) {
        return Err("the text is not the answer to the prompt".into());
    }
    Ok(Some(id.to_owned()))
}

fn check_echo(sent: &[u8], body: &[u8]) -> Result<(), String> {
    let answer = parse(body)?;
    if answer["body_digest"] != digest(sent) {
        return Err("the echo is not of the body that was sent".into());
    }
    Ok(())
}
