//! What callers, operators and upstreams saw, held against what is promised to them.

use std::collections::HashMap;
use std::sync::{Mutex, MutexGuard};
use std::time::{Duration, Instant};

use super::lock;
use super::platform;
use super::wire::Message;

/// The events of each stream.
pub const STREAM_EVENTS: u32 = 6;

/// How soon an accepted declaration is read back everywhere, as the platform's bounds state it.
pub const IN_FORCE_BOUND: Duration = Duration::from_millis(2_000);

/// How soon a key that was taken away runs nothing more, on any machine.
const REVOCATION_BOUND: Duration = Duration::from_millis(5_000);

/// The most upstreams that one attempt of the routes played may run on.
const MAX_EXECUTIONS: usize = 2;

/// The attempts that may exceed [`MOST_RUNS`].
const MAX_EXCESSIVE_ATTEMPTS: usize = 3;

/// The requests that may be denied though they are allowed, beside one in [`PER_DENIED`].
const BASE_DENIALS: usize = 5;
const REQUESTS_PER_DENIAL: usize = 500;

/// The account that all requests of callers belong to.
pub const ACCOUNT: &str = "hule";

/// An event of a stream, as upstreams write it.
pub fn event(attempt: &str, number: u32) -> String {
    format!("id: {number}\ndata: {attempt}-{number}\n\n")
}

/// What may be repeated of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// Nothing.
    Once,
    /// All of it.
    Safe,
    /// Nothing; its answer is a stream.
    Stream,
}

impl Kind {
    /// The prefix of its route.
    pub fn prefix(self) -> &'static str {
        match self {
            Kind::Once => "/once/",
            Kind::Safe => "/safe/",
            Kind::Stream => "/stream/",
        }
    }
}

/// A request as its caller sent it.
#[derive(Debug, Clone)]
pub struct Call {
    /// What may be repeated.
    pub kind: Kind,
    /// Its target.
    pub target: String,
    /// Its body.
    pub body: String,
    /// Whether it bears the key that declarations give and take away.
    pub uses_revocable_key: bool,
    /// When it was sent.
    pub sent_at: Instant,
}

/// A run at an upstream.
#[derive(Debug)]
pub struct Execution {
    attempt: String,
    target: String,
    body: Vec<u8>,
    account: Option<String>,
    started_at: Instant,
}

impl Execution {
    /// Takes note of a request that begins to run.
    pub fn new(request: &Message, attempt: &str) -> Self {
        Self {
            attempt: attempt.to_owned(),
            target: request.target().to_owned(),
            body: request.body.clone(),
            account: request.header(platform::TENANT_HEADER).map(str::to_owned),
            started_at: Instant::now(),
        }
    }
}

/// A declaration that an operator sent.
#[derive(Debug, Clone)]
pub struct Declaration {
    /// Its version.
    pub version: u64,
    /// Its text.
    pub text: String,
    /// Whether it holds the key that comes and goes.
    pub has_revocable_key: bool,
    /// When it was first sent.
    pub sent_at: Instant,
    /// When it was acknowledged.
    pub acknowledged_at: Option<Instant>,
}

#[derive(Debug, Default)]
struct Records {
    calls: HashMap<String, Call>,
    statuses: HashMap<String, u16>,
    executions: Vec<Execution>,
    declarations: Vec<Declaration>,
    violations: Vec<String>,
    read_count: usize,
}

/// All that was seen.
#[derive(Debug, Default)]
pub struct History(Mutex<Records>);

impl History {
    fn records(&self) -> MutexGuard<'_, Records> {
        lock(&self.0)
    }

    /// Takes note of a request before it is sent.
    pub fn record_request(&self, attempt: &str, call: &Call) {
        self.records()
            .calls
            .insert(attempt.to_owned(), call.clone());
    }

    /// Takes note of a request that an upstream begins to run.
    pub fn record_execution(&self, execution: Execution) {
        self.records().executions.push(execution);
    }

    /// Takes in an answer; tells whether it is a whole success.
    pub fn record_response(&self, attempt: &str, response: &Message) -> bool {
        let mut records = self.records();
        let status = response.status();
        records.statuses.insert(attempt.to_owned(), status);
        let Some(call) = records.calls.get(attempt) else {
            return false;
        };
        let stream: String = (1..=STREAM_EVENTS)
            .map(|number| event(attempt, number))
            .collect();
        let expected = match call.kind {
            Kind::Once | Kind::Safe => format!("answer {attempt}"),
            Kind::Stream => stream,
        };
        let signature = response
            .header(platform::SIGNATURE_HEADER)
            .unwrap_or_default();
        let is_success = (200..300).contains(&status);
        let is_signed = signature.starts_with(&format!("s.{attempt}."));
        let fits = match response.is_complete {
            true => response.body == expected.as_bytes(),
            false => expected.as_bytes().starts_with(&response.body),
        };
        if status == 0 || (is_success && !(is_signed && fits)) {
            let body = String::from_utf8_lossy(&response.body).into_owned();
            let line = format!(
                "MIXED {attempt}: {} {signature} {body:?}",
                response.start_line
            );
            records.violations.push(line);
        }
        is_success && response.is_complete
    }

    /// Takes note of a declaration that is sent for the first time.
    pub fn record_declaration(&self, declared: Declaration) {
        self.records().declarations.push(declared);
    }

    /// Takes note of an acknowledgement.
    pub fn record_acknowledgement(&self, version: u64) {
        let mut records = self.records();
        let mut declared = records.declarations.iter_mut();
        if let Some(declared) = declared.find(|declared| declared.version == version) {
            declared.acknowledged_at.get_or_insert(Instant::now());
        }
    }

    /// Adds what was broken.
    pub fn record_violation(&self, line: String) {
        self.records().violations.push(line);
    }

    /// The newest version that was acknowledged so long ago.
    pub fn newest_acknowledged(&self, min_age: Duration) -> u64 {
        let records = self.records();
        let old = |declared: &&Declaration| {
            declared
                .acknowledged_at
                .is_some_and(|at| at.elapsed() >= min_age)
        };
        records
            .declarations
            .iter()
            .filter(old)
            .map(|d| d.version)
            .max()
            .unwrap_or(0)
    }

    /// Takes in what a keeper gives as the declaration in force, when `newest` had to be.
    pub fn record_read(&self, keeper: u8, text: &str, newest: u64) {
        let mut records = self.records();
        records.read_count += 1;
        let found = records
            .declarations
            .iter()
            .find(|declared| declared.text == text);
        match found.map(|declared| declared.version) {
            Some(version) if version >= newest => {}
            Some(version) => {
                let line = format!("CONFIG {keeper} gave version {version}, older than {newest}");
                records.violations.push(line);
            }
            None => {
                let line = format!("CONFIG {keeper} gave what nobody sent: {text:.200}");
                records.violations.push(line);
            }
        }
    }

    /// What was done, in one line.
    pub fn summary(&self) -> String {
        let records = self.records();
        let served = records
            .statuses
            .values()
            .filter(|status| **status == 200)
            .count();
        let acknowledged = records
            .declarations
            .iter()
            .filter(|d| d.acknowledged_at.is_some());
        format!(
            "{} requests, {} answered 200, {} runs, {} declarations, {} acknowledged, {} read back",
            records.calls.len(),
            served,
            records.executions.len(),
            records.declarations.len(),
            acknowledged.count(),
            records.read_count,
        )
    }

    /// What was broken, over all that was seen.
    pub fn check(&self) -> Vec<String> {
        let records = self.records();
        let mut violations = records.violations.clone();
        let mut execution_counts: HashMap<&str, usize> = HashMap::new();
        for execution in &records.executions {
            *execution_counts.entry(&execution.attempt).or_default() += 1;
            violations.extend(records.check_execution(execution));
        }
        let mut excessive = 0;
        for (attempt, count) in execution_counts {
            let Some(call) = records.calls.get(attempt) else {
                continue;
            };
            let status = records.statuses.get(attempt).copied().unwrap_or(0);
            if count > 1 && call.kind != Kind::Safe {
                violations.push(format!("TWICE {attempt} ({:?}): {count} runs", call.kind));
            }
            excessive += usize::from(count > MAX_EXECUTIONS);
            if matches!(status, 408 | 421 | 429 | 503) && call.kind != Kind::Safe {
                violations.push(format!(
                    "REFUSED {attempt} ({:?}): {status}, and it ran",
                    call.kind
                ));
            }
        }
        if excessive > MAX_EXCESSIVE_ATTEMPTS {
            violations.push(format!(
                "BUDGET {excessive} attempts ran more than {MAX_EXECUTIONS} times"
            ));
        }
        let denials = records.statuses.iter().filter(|(attempt, status)| {
            let passing = records
                .calls
                .get(*attempt)
                .is_some_and(|call| call.uses_revocable_key);
            matches!(status, 300..=407 | 409..=420 | 422..=428 | 430..=499) && !passing
        });
        let denials = denials.count();
        if denials > BASE_DENIALS + records.calls.len() / REQUESTS_PER_DENIAL {
            violations.push(format!("DENIED {denials} allowed requests"));
        }
        violations
    }
}

impl Records {
    fn check_execution(&self, execution: &Execution) -> Option<String> {
        let attempt = &execution.attempt;
        let Some(call) = self.calls.get(attempt) else {
            return Some(format!("UNASKED {attempt}: {}", execution.target));
        };
        let account = execution.account.as_deref();
        let is_unchanged =
            execution.target == call.target && execution.body == call.body.as_bytes();
        if !is_unchanged || account != Some(ACCOUNT) {
            return Some(format!("UNASKED {attempt} was changed: {execution:?}"));
        }
        if !call.uses_revocable_key {
            return None;
        }
        let in_force = |declared: &&Declaration| {
            let at = declared.acknowledged_at;
            at.is_some_and(|at| call.sent_at.saturating_duration_since(at) > REVOCATION_BOUND)
        };
        let newest = self.declarations.iter().filter(in_force);
        let newest = newest.map(|declared| declared.version).max()?;
        let mut candidates = self.declarations.iter();
        let allowed = candidates.any(|d| {
            d.has_revocable_key && d.version >= newest && d.sent_at <= execution.started_at
        });
        let line = format!("CONFIG {attempt} ran with a key that {newest} took away");
        (!allowed).then_some(line)
    }
}
