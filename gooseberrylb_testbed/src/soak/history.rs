//! History of a soak test: records what callers, operators and upstreams observe, and checks it
//! against the guarantees of the system.

use std::collections::HashMap;
use std::sync::{Mutex, MutexGuard};
use std::time::{Duration, Instant};

use super::lock;
use super::platform;
use super::wire::Message;

/// Number of events in each stream.
pub const STREAM_EVENTS: u32 = 6;

/// Time after which an accepted declaration is read back at every keeper, as the platform's bounds
/// state it.
pub const IN_FORCE_BOUND: Duration = Duration::from_millis(2_000);

/// Time after which a revoked key must not let any request run, on any machine.
const REVOCATION_BOUND: Duration = Duration::from_millis(5_000);

/// Highest number of upstreams on which one attempt may run, given the routes of the soak test.
const MAX_EXECUTIONS: usize = 2;

/// Number of attempts that may exceed [`MAX_EXECUTIONS`].
const MAX_EXCESSIVE_ATTEMPTS: usize = 3;

/// Number of allowed requests that may be denied, in addition to one in [`REQUESTS_PER_DENIAL`].
const BASE_DENIALS: usize = 5;
/// Number of requests for each of which one more may be denied; see [`BASE_DENIALS`].
const REQUESTS_PER_DENIAL: usize = 500;

/// Client account of all requests.
pub const ACCOUNT: &str = "hule";

/// Returns event `number` of a stream as upstreams send it.
pub fn event(attempt: &str, number: u32) -> String {
    format!("id: {number}\ndata: {attempt}-{number}\n\n")
}

/// Kind of request, which tells whether it may be retried.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// Request that must not run twice.
    Once,
    /// Request that may be retried.
    Safe,
    /// Request that must not run twice and whose response is a stream.
    Stream,
}

impl Kind {
    /// Returns the path prefix of the route for this kind.
    pub fn prefix(self) -> &'static str {
        match self {
            Kind::Once => "/once/",
            Kind::Safe => "/safe/",
            Kind::Stream => "/stream/",
        }
    }
}

/// Request as its caller sent it.
#[derive(Debug, Clone)]
pub struct Call {
    /// Kind of the request.
    pub kind: Kind,
    /// Request target.
    pub target: String,
    /// Request body.
    pub body: String,
    /// Whether the request uses the key that declarations add and remove.
    pub uses_revocable_key: bool,
    /// Time at which the request was sent.
    pub sent_at: Instant,
}

/// Execution of a request at an upstream.
#[derive(Debug)]
pub struct Execution {
    attempt: String,
    target: String,
    body: Vec<u8>,
    account: Option<String>,
    started_at: Instant,
}

impl Execution {
    /// Returns the execution of a request that starts now.
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

/// Declaration that an operator sent.
#[derive(Debug, Clone)]
pub struct Declaration {
    /// Version of the declaration.
    pub version: u64,
    /// Text of the declaration.
    pub text: String,
    /// Whether the declaration contains the revocable key.
    pub has_revocable_key: bool,
    /// Time at which the declaration was first sent.
    pub sent_at: Instant,
    /// Time at which the declaration was first acknowledged.
    pub acknowledged_at: Option<Instant>,
}

/// Contents of a history. Requests and statuses are kept by attempt id.
#[derive(Debug, Default)]
struct Records {
    calls: HashMap<String, Call>,
    statuses: HashMap<String, u16>,
    executions: Vec<Execution>,
    declarations: Vec<Declaration>,
    violations: Vec<String>,
    read_count: usize,
}

/// Everything that callers, operators and upstreams have observed so far.
#[derive(Debug, Default)]
pub struct History(Mutex<Records>);

impl History {
    fn records(&self) -> MutexGuard<'_, Records> {
        lock(&self.0)
    }

    /// Records a request before it is sent.
    pub fn record_request(&self, attempt: &str, call: &Call) {
        self.records()
            .calls
            .insert(attempt.to_owned(), call.clone());
    }

    /// Records that an upstream starts to run a request.
    pub fn record_execution(&self, execution: Execution) {
        self.records().executions.push(execution);
    }

    /// Records a response, and a violation if it does not belong to the request. Returns whether it
    /// is a complete success.
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
        let body_matches = match response.is_complete {
            true => response.body == expected.as_bytes(),
            false => expected.as_bytes().starts_with(&response.body),
        };
        if status == 0 || (is_success && !(is_signed && body_matches)) {
            let body = String::from_utf8_lossy(&response.body).into_owned();
            let line = format!(
                "MIXED {attempt}: {} {signature} {body:?}",
                response.start_line
            );
            records.violations.push(line);
        }
        is_success && response.is_complete
    }

    /// Records a declaration before it is first sent.
    pub fn record_declaration(&self, declaration: Declaration) {
        self.records().declarations.push(declaration);
    }

    /// Records that a declaration was acknowledged.
    pub fn record_acknowledgement(&self, version: u64) {
        let mut records = self.records();
        let mut declaration = records.declarations.iter_mut();
        if let Some(declaration) = declaration.find(|declaration| declaration.version == version) {
            declaration.acknowledged_at.get_or_insert(Instant::now());
        }
    }

    /// Records a violation that was found by others.
    pub fn record_violation(&self, line: String) {
        self.records().violations.push(line);
    }

    /// Returns the newest version that was acknowledged at least `min_age` ago, or 0.
    pub fn newest_acknowledged(&self, min_age: Duration) -> u64 {
        let records = self.records();
        let is_old_enough = |declaration: &&Declaration| {
            declaration
                .acknowledged_at
                .is_some_and(|at| at.elapsed() >= min_age)
        };
        records
            .declarations
            .iter()
            .filter(is_old_enough)
            .map(|d| d.version)
            .max()
            .unwrap_or(0)
    }

    /// Records the declaration that a keeper returned as the one in force, and a violation if it
    /// was never sent or is older than version `newest`.
    pub fn record_read(&self, keeper: u8, text: &str, newest: u64) {
        let mut records = self.records();
        records.read_count += 1;
        let found = records
            .declarations
            .iter()
            .find(|declaration| declaration.text == text);
        match found.map(|declaration| declaration.version) {
            Some(version) if version >= newest => {}
            Some(version) => {
                let line =
                    format!("CONFIG {keeper} returned version {version}, older than {newest}");
                records.violations.push(line);
            }
            None => {
                let line = format!("CONFIG {keeper} returned an unknown declaration: {text:.200}");
                records.violations.push(line);
            }
        }
    }

    /// Returns a summary of the history in one line.
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
            "{} requests, {} with 200, {} executions, {} declarations, {} acknowledged, {} reads",
            records.calls.len(),
            served,
            records.executions.len(),
            records.declarations.len(),
            acknowledged.count(),
            records.read_count,
        )
    }

    /// Returns all violations, after checking the whole history.
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
                violations.push(format!(
                    "TWICE {attempt} ({:?}): {count} executions",
                    call.kind
                ));
            }
            excessive += usize::from(count > MAX_EXECUTIONS);
            if matches!(status, 408 | 421 | 429 | 503) && call.kind != Kind::Safe {
                violations.push(format!(
                    "REFUSED {attempt} ({:?}): status {status}, but it ran",
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
            let uses_revocable_key = records
                .calls
                .get(*attempt)
                .is_some_and(|call| call.uses_revocable_key);
            matches!(status, 300..=407 | 409..=420 | 422..=428 | 430..=499) && !uses_revocable_key
        });
        let denials = denials.count();
        if denials > BASE_DENIALS + records.calls.len() / REQUESTS_PER_DENIAL {
            violations.push(format!("DENIED {denials} allowed requests"));
        }
        violations
    }
}

impl Records {
    /// Returns the violation that a single execution shows, if any.
    fn check_execution(&self, execution: &Execution) -> Option<String> {
        let attempt = &execution.attempt;
        let Some(call) = self.calls.get(attempt) else {
            return Some(format!("UNASKED {attempt}: {}", execution.target));
        };
        let account = execution.account.as_deref();
        let is_unchanged =
            execution.target == call.target && execution.body == call.body.as_bytes();
        if !is_unchanged || account != Some(ACCOUNT) {
            return Some(format!("UNASKED {attempt} was modified: {execution:?}"));
        }
        if !call.uses_revocable_key {
            return None;
        }
        let in_force = |declaration: &&Declaration| {
            let at = declaration.acknowledged_at;
            at.is_some_and(|at| call.sent_at.saturating_duration_since(at) > REVOCATION_BOUND)
        };
        let newest = self.declarations.iter().filter(in_force);
        let newest = newest.map(|declaration| declaration.version).max()?;
        let mut candidates = self.declarations.iter();
        let allowed = candidates.any(|d| {
            d.has_revocable_key && d.version >= newest && d.sent_at <= execution.started_at
        });
        let line = format!("CONFIG {attempt} ran with a key that version {newest} revoked");
        (!allowed).then_some(line)
    }
}
