//! History of a soak test: records what callers, operators and upstreams observe, and checks it
//! against the guarantees of the system.

use std::collections::{HashMap, HashSet};
use std::net::{IpAddr, SocketAddr};
use std::sync::{Mutex, MutexGuard};
use std::time::{Duration, Instant};

use super::configuration::{CoreDisruption, Evidence, Probe, Target};
use super::declaration::Content;
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

/// Time after which an entry that has passed on a response of an upstream that leaves sends no
/// request there, as the platform's bounds state it.
const DRAIN_BOUND: Duration = Duration::from_millis(3_000);

/// Time after which an entry that an upstream has asked for a pause sends no more than
/// [`MAX_CLOSED_ARRIVALS`] requests there.
const CLOSED_BOUND: Duration = Duration::from_millis(500);
/// See [`CLOSED_BOUND`].
const MAX_CLOSED_ARRIVALS: usize = 2;

/// Time after which an entry that has passed on a response with a limit keeps it.
const LIMIT_BOUND: Duration = Duration::from_millis(500);
/// Window in which the requests at a limited upstream are counted.
const LIMIT_WINDOW: Duration = Duration::from_secs(4);

/// Number of requests of a kind that crashes upstreams that may reach these once the cause is known.
const MAX_KNOWN_CRASHES: usize = 3;

/// Number of times that a brittle upstream may fall over: two, and a tenth of their number.
const MAX_FALLS: usize = 2;

/// Number of first attempts that may fail at an entry that is cut off, in addition to one in
/// [`ATTEMPTS_PER_FAILURE`].
const BASE_FAILURES: usize = 10;
/// See [`BASE_FAILURES`].
const ATTEMPTS_PER_FAILURE: usize = 50;

/// Number of requests whose upstream goes on after a pause that may end without an answer.
const MAX_LOST: usize = 3;

/// Time within which a request ends.
const REQUEST_TIME: Duration = Duration::from_secs(4);

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
    /// Like [`Kind::Stream`], with a prompt under which every upstream crashes.
    CrashingPrompt,
    /// Like [`Kind::Safe`], the same request of all callers, under which every upstream crashes.
    CrashingRequest,
    /// Like [`Kind::Safe`], on a route of its own.
    Probe,
}

impl Kind {
    /// Returns the path prefix of the route for this kind.
    pub fn prefix(self) -> &'static str {
        match self {
            Kind::Once => "/once/",
            Kind::Safe | Kind::CrashingRequest => "/safe/",
            Kind::Stream | Kind::CrashingPrompt => "/stream/",
            Kind::Probe => "/steady/",
        }
    }

    /// Whether the request may run more than once.
    fn is_repeatable(self) -> bool {
        match self {
            Kind::Safe | Kind::CrashingRequest | Kind::Probe => true,
            Kind::Once | Kind::Stream | Kind::CrashingPrompt => false,
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
    /// Entry to which the request was sent.
    pub entry: Option<SocketAddr>,
}

/// Request that an upstream received.
#[derive(Debug)]
struct Arrival {
    upstream: String,
    attempt: String,
    at: Instant,
}

/// Response of an upstream in which it named its limit, as an entry passed it on.
#[derive(Debug)]
struct Limited {
    upstream: String,
    entry: Option<SocketAddr>,
    at: Instant,
}

/// What an upstream said of its availability in a response.
#[derive(Debug)]
struct Statement {
    upstream: String,
    /// Request that was answered so, and the time.
    attempt: String,
    at: Instant,
    /// Time for which the upstream wants no request; `None` if it leaves.
    closed_for: Option<Duration>,
}

/// Fault at entries or at links that they use.
#[derive(Debug, Clone, Copy)]
pub struct Disruption {
    /// Host number of the entry; `None` for all.
    pub entry: Option<u8>,
    /// Whether the process was stopped or suspended, so that it may have forgotten or missed what it
    /// was told.
    pub interrupts: bool,
    /// Time at which the fault began.
    pub start: Instant,
    /// Time at which its effect ended.
    pub end: Instant,
}

impl Disruption {
    /// Whether the fault affects the entry at an address in the period from `from` to `to`.
    fn affects(&self, entry: Option<SocketAddr>, from: Instant, to: Instant) -> bool {
        let is_host = |host: u8| match entry.map(|entry| entry.ip()) {
            Some(IpAddr::V4(ip)) => ip.octets()[3] == host,
            Some(IpAddr::V6(_)) | None => false,
        };
        self.entry.is_none_or(is_host) && self.start <= to && self.end >= from
    }
}

/// Execution of a request at an upstream.
#[derive(Debug)]
pub struct Execution {
    /// Attempt id of the request.
    pub attempt: String,
    /// Service of the upstream.
    pub service: &'static str,
    target: String,
    body: Vec<u8>,
    account: Option<String>,
    /// Time at which it started.
    pub started_at: Instant,
}

impl Execution {
    /// Returns the execution of a request that starts now.
    pub fn new(request: &Message, attempt: &str, service: &'static str) -> Self {
        Self {
            attempt: attempt.to_owned(),
            service,
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
    /// Contents that differ between versions.
    pub content: Content,
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
    arrivals: Vec<Arrival>,
    statements: Vec<Statement>,
    limited: Vec<Limited>,
    disruptions: Vec<Disruption>,
    /// Requests whose upstream was silent for a while and then responded.
    paused: HashSet<String>,
    /// Number of times that a brittle upstream fell over.
    fall_count: usize,
    declarations: Vec<Declaration>,
    probes: HashMap<String, Probe>,
    /// Numbers of routes that no declaration contains that may be in force.
    forged_numbers: Vec<u64>,
    /// Entries that were cut off from upstreams once the faults were over.
    cuts: Vec<Disruption>,
    core_disruptions: Vec<CoreDisruption>,
    /// Starts of instances by host number.
    starts: Vec<(u8, Instant)>,
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

    /// Records that an upstream has received a request that is meant for it.
    pub fn record_arrival(&self, upstream: &str, attempt: &str) {
        self.records().arrivals.push(Arrival {
            upstream: upstream.to_owned(),
            attempt: attempt.to_owned(),
            at: Instant::now(),
        });
    }

    /// Returns the number of requests of a kind that reached upstreams.
    fn arrival_count(&self, kind: Kind) -> usize {
        let records = self.records();
        let kind_of = |arrival: &Arrival| records.calls.get(&arrival.attempt).map(|call| call.kind);
        let arrivals = records.arrivals.iter();
        arrivals.filter(|a| kind_of(a) == Some(kind)).count()
    }

    /// Records a violation if crashing requests that `send` sends, while the cause is known, reach
    /// upstreams, or if few of the sound ones among them are served. `send` returns the numbers of
    /// sound ones sent and served.
    pub fn check_known_crashes(&self, send: impl FnOnce() -> (usize, usize)) {
        let kinds = [Kind::CrashingPrompt, Kind::CrashingRequest];
        let before = kinds.map(|kind| self.arrival_count(kind));
        let (sent, served) = send();
        for (kind, before) in kinds.into_iter().zip(before) {
            let count = self.arrival_count(kind) - before;
            if count > MAX_KNOWN_CRASHES {
                let line =
                    format!("BUDGET {count} requests of {kind:?} crashed upstreams though known");
                self.record_violation(line);
            }
        }
        if served < sent / 2 {
            let line =
                format!("LOST {served} of {sent} sound requests were served beside known crashes");
            self.record_violation(line);
        }
    }

    /// Records that an upstream turns a request away and wants none for a while.
    pub fn record_closed(&self, upstream: &str, attempt: &str, time: Duration) {
        self.records().statements.push(Statement {
            upstream: upstream.to_owned(),
            attempt: attempt.to_owned(),
            at: Instant::now(),
            closed_for: Some(time),
        });
    }

    /// Records that an upstream is silent for a while and then responds to a request.
    pub fn record_pause(&self, attempt: &str) {
        self.records().paused.insert(attempt.to_owned());
    }

    /// Records that a brittle upstream had to turn away more requests than it tolerates.
    pub fn record_fall(&self) {
        self.records().fall_count += 1;
    }

    /// Records a violation if a brittle upstream falls over too often while `press` sends requests.
    pub fn check_falls(&self, press: impl FnOnce()) {
        let before = self.records().fall_count;
        press();
        let count = self.records().fall_count - before;
        if count > MAX_FALLS {
            self.record_violation(format!("LIMIT a brittle upstream fell over {count} times"));
        }
    }

    /// Records a violation if an entry that is cut off from upstreams serves first attempts less than
    /// two thirds as often as the others. The figures are of those sent and served.
    pub fn check_cut_off(&self, entry: u8, cut_off: (usize, usize), others: (usize, usize)) {
        let is_worse = cut_off.1 * others.0 * 3 < others.1 * cut_off.0 * 2;
        let failed = cut_off.0 - cut_off.1;
        if is_worse && failed > BASE_FAILURES + cut_off.0 / ATTEMPTS_PER_FAILURE {
            self.record_violation(format!(
                "RECOVER {entry} was cut off and served {cut_off:?}, the others {others:?}"
            ));
        }
    }

    /// Records a probe before it is sent.
    pub fn record_probe(&self, attempt: &str, probe: Probe) {
        self.records().probes.insert(attempt.to_owned(), probe);
    }

    /// Records the complete response to a probe.
    pub fn record_probe_answer(&self, attempt: &str, status: u16) {
        if let Some(probe) = self.records().probes.get_mut(attempt) {
            probe.answer = Some((status, Instant::now()));
        }
    }

    /// Returns the numbers of all routes that were added so far.
    pub fn added_numbers(&self) -> Vec<u64> {
        let records = self.records();
        let mut numbers: Vec<u64> = records
            .declarations
            .iter()
            .filter_map(|d| d.content.added)
            .collect();
        numbers.dedup();
        numbers
    }

    /// Records the number of a route before a declaration with it is sent that must not be in force.
    pub fn record_forged(&self, number: u64) {
        self.records().forged_numbers.push(number);
    }

    /// Returns the numbers of these routes.
    pub fn forged_numbers(&self) -> Vec<u64> {
        self.records().forged_numbers.clone()
    }

    /// Records a fault at keepers or at links between them that has ended.
    pub fn record_core_disruption(&self, start: Instant, end: Instant) {
        let disruption = CoreDisruption { start, end };
        self.records().core_disruptions.push(disruption);
    }

    /// Records that entries were cut off from upstreams, once the faults were over, until now.
    pub fn record_cut(&self, entries: &[u8], start: Instant) {
        let end = Instant::now();
        let cut = |entry: &u8| Disruption {
            entry: Some(*entry),
            interrupts: false,
            start,
            end,
        };
        self.records().cuts.extend(entries.iter().map(cut));
    }

    /// Records the start of an instance.
    pub fn record_start(&self, host: u8) {
        self.records().starts.push((host, Instant::now()));
    }

    /// Records a fault that has ended.
    pub fn record_disruption(&self, disruption: Disruption) {
        self.records().disruptions.push(disruption);
    }

    /// Records a response, and a violation if it does not belong to the request. Returns whether it
    /// is a complete success.
    pub fn record_response(&self, attempt: &str, response: &Message) -> bool {
        let mut records = self.records();
        let status = response.status();
        let signature = response.header(platform::SIGNATURE_HEADER);
        if let Some(upstream) = signature.and_then(|signature| signature.rsplit('.').next())
            && response.header(platform::LEAVING_HEADER).is_some()
        {
            records.statements.push(Statement {
                upstream: upstream.to_owned(),
                attempt: attempt.to_owned(),
                at: Instant::now(),
                closed_for: None,
            });
        }
        if let Some(upstream) = signature.and_then(|signature| signature.rsplit('.').next())
            && response.header(platform::LIMIT_HEADER).is_some()
        {
            let entry = records.calls.get(attempt).and_then(|call| call.entry);
            records.limited.push(Limited {
                upstream: upstream.to_owned(),
                entry,
                at: Instant::now(),
            });
        }
        records.statuses.insert(attempt.to_owned(), status);
        let Some(call) = records.calls.get(attempt) else {
            return false;
        };
        let stream: String = (1..=STREAM_EVENTS)
            .map(|number| event(attempt, number))
            .collect();
        let expected = match call.kind {
            Kind::Once | Kind::Safe | Kind::CrashingRequest | Kind::Probe => {
                format!("answer {attempt}")
            }
            Kind::Stream | Kind::CrashingPrompt => stream,
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
            "{} requests, {} with 200, {} executions, {} declarations, {} acknowledged, {} reads, {}",
            records.calls.len(),
            served,
            records.executions.len(),
            records.declarations.len(),
            acknowledged.count(),
            records.read_count,
            records.evidence().summary(),
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
            if count > 1 && !call.kind.is_repeatable() {
                violations.push(format!(
                    "TWICE {attempt} ({:?}): {count} executions",
                    call.kind
                ));
            }
            excessive += usize::from(count > MAX_EXECUTIONS);
            if matches!(status, 408 | 421 | 429 | 503) && !call.kind.is_repeatable() {
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
        violations.extend(records.check_statements());
        violations.extend(records.check_limits());
        violations.extend(records.check_pauses());
        violations.extend(records.evidence().check());
        let probes = &records.probes;
        // What other probes get depends on the version in force.
        let is_always_allowed = |attempt: &str, call: &Call| {
            let mut probe = probes.get(attempt).into_iter();
            !call.uses_revocable_key && probe.all(|probe| probe.target == Target::Steady)
        };
        let denials = records.statuses.iter().filter(|(attempt, status)| {
            let call = records.calls.get(*attempt);
            matches!(status, 300..=407 | 409..=420 | 422..=428 | 430..=499)
                && call.is_none_or(|call| is_always_allowed(attempt, call))
        });
        let denials = denials.count();
        let requests = records.calls.len() - probes.len();
        if denials > BASE_DENIALS + requests / REQUESTS_PER_DENIAL {
            violations.push(format!("DENIED {denials} allowed requests"));
        }
        violations
    }
}

impl Records {
    /// Returns what shows by which declarations entries handled requests.
    fn evidence(&self) -> Evidence<'_> {
        Evidence {
            probes: &self.probes,
            executions: &self.executions,
            declarations: &self.declarations,
            disruptions: &self.disruptions,
            cuts: &self.cuts,
            core_disruptions: &self.core_disruptions,
            starts: &self.starts,
        }
    }

    /// Returns the violations of what upstreams said of their availability. An interruption of the
    /// entry excuses them, and a fault at links excuses more requests to a closed upstream, as the
    /// entry may not have been told.
    fn check_statements(&self) -> Vec<String> {
        let entry_of = |attempt: &str| self.calls.get(attempt).and_then(|call| call.entry);
        let mut violations = Vec::new();
        let mut reported = HashSet::new();
        for statement in &self.statements {
            let entry = entry_of(&statement.attempt);
            let same = self.arrivals.iter().filter(|arrival| {
                arrival.upstream == statement.upstream
                    && entry.is_some()
                    && entry_of(&arrival.attempt) == entry
                    && !self.disruptions.iter().any(|disruption| {
                        let excuses = statement.closed_for.is_some() || disruption.interrupts;
                        excuses && disruption.affects(entry, statement.at, arrival.at)
                    })
            });
            let (upstream, said) = (&statement.upstream, &statement.attempt);
            match statement.closed_for {
                Some(time) => {
                    let period = statement.at + CLOSED_BOUND..statement.at + time;
                    let count = same.filter(|arrival| period.contains(&arrival.at)).count();
                    if count > MAX_CLOSED_ARRIVALS {
                        violations.push(format!(
                            "BUDGET {count} requests reached {upstream}, closed since {said}"
                        ));
                    }
                }
                None => {
                    let is_late = |arrival: &&Arrival| {
                        let call = self.calls.get(&arrival.attempt);
                        call.is_some_and(|call| call.sent_at > statement.at + DRAIN_BOUND)
                    };
                    // The upstream says so in each response.
                    if !reported.insert((upstream, entry)) {
                        continue;
                    }
                    let late: Vec<_> = same.filter(is_late).collect();
                    if let Some(first) = late.first() {
                        violations.push(format!(
                            "DRAIN {} and {} others reached {upstream}, leaving since {said}",
                            first.attempt,
                            late.len() - 1
                        ));
                    }
                }
            }
        }
        violations
    }

    /// Returns the violation of requests that ended without an answer though their upstream went on,
    /// unless a fault affected their entry or links meanwhile.
    fn check_pauses(&self) -> Option<String> {
        let is_lost = |attempt: &&String| {
            let Some(call) = self.calls.get(*attempt) else {
                return false;
            };
            let end = call.sent_at + REQUEST_TIME;
            let mut faults = self.disruptions.iter();
            !self.statuses.contains_key(*attempt)
                && !faults.any(|fault| fault.affects(call.entry, call.sent_at, end))
        };
        let lost = self.paused.iter().filter(is_lost).count();
        let line =
            format!("LOST {lost} requests ended without an answer though their upstream went on");
        (lost > MAX_LOST).then_some(line)
    }

    /// Returns the violations of upstreams' limits. Arrivals count from entries that had passed on a
    /// response with the limit, unless these were disrupted since or links were.
    fn check_limits(&self) -> Vec<String> {
        let binds = |limited: &Limited, arrival: &Arrival, entry: Option<SocketAddr>| {
            limited.upstream == arrival.upstream
                && entry.is_some()
                && limited.entry == entry
                && arrival.at > limited.at + LIMIT_BOUND
                && !self
                    .disruptions
                    .iter()
                    .any(|fault| fault.affects(entry, limited.at, arrival.at))
        };
        let mut counted: HashMap<&str, Vec<Instant>> = HashMap::new();
        for arrival in &self.arrivals {
            let entry = self.calls.get(&arrival.attempt).and_then(|call| call.entry);
            if self
                .limited
                .iter()
                .any(|limited| binds(limited, arrival, entry))
            {
                counted
                    .entry(&arrival.upstream)
                    .or_default()
                    .push(arrival.at);
            }
        }
        let allowed = 1.5 * platform::LIMIT * LIMIT_WINDOW.as_secs_f64() + 5.0;
        let mut violations = Vec::new();
        for (upstream, arrivals) in counted {
            let in_window = |from: &Instant| {
                let window = *from..*from + LIMIT_WINDOW;
                arrivals.iter().filter(|at| window.contains(*at)).count()
            };
            let most = arrivals.iter().map(in_window).max().unwrap_or(0);
            if most as f64 > allowed {
                violations.push(format!(
                    "LIMIT {upstream} got {most} requests in {LIMIT_WINDOW:?}, {allowed} allowed"
                ));
            }
        }
        violations
    }

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
            d.content.has_revocable_key && d.version >= newest && d.sent_at <= execution.started_at
        });
        let line = format!("CONFIG {attempt} ran with a key that version {newest} revoked");
        (!allowed).then_some(line)
    }
}
