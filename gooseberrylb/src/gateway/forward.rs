//! Forwards a request to upstreams until one responds.
//!
//! A request that may have run is sent again only if its route allows that. Each further attempt
//! is limited by the route's number of attempts and by the retry budget.

use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use async_std::future;
use gooseberrylb_config::declaration::{Account, Retry, Route};
use gooseberrylb_config::dialect::RequestMetadata;
use gooseberrylb_config::id;
use gooseberrylb_policy::crash::{Cause, Ending};
use gooseberrylb_policy::dispatch::Outcome;
use gooseberrylb_policy::reach::{Symptom, Verdict};

use super::http::Request;
use super::memory;
use super::place::{Grant, Placement};
use super::{Gateway, delegate, reach};

pub use exchange::{Delivery, Exchange, Failure, Fault, Lease};

mod attempt;
mod copy;
mod exchange;
mod placement;

/// Maximum number of failed connection attempts per request. They are not counted as attempts of
/// the request, because the upstream received none of its bytes.
const MAX_CONNECT_FAILURES: u32 = 3;

/// `Retry-After` of refusals that have no more specific value.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_millis(500);

/// A request with the state of its attempts.
pub struct Forwarder {
    /// Gateway that received the request.
    pub gateway: Rc<Gateway>,
    /// Head of the request.
    pub request: Request,
    /// Body of the request, read in full; empty once it is no longer needed.
    pub body: Rc<memory::Body>,
    /// Platform-specific properties of the request, from its header fields.
    pub metadata: RequestMetadata,
    /// Route that matched the request.
    pub route: Arc<Route>,
    /// Client account of the request; `None` for anonymous requests.
    pub account: Option<Arc<Account>>,
    /// Identity of the request among all that callers send, for its repeats.
    pub content: id::Content,
    /// Time at which the head was complete.
    pub arrived: Instant,
    /// Time by which the response must be complete.
    pub deadline: Instant,
    /// Upstreams that have already failed for this request.
    pub excluded: Vec<id::Upstream>,
    /// Number of attempts in which bytes were sent to an upstream.
    pub attempts: u32,
    /// Whether the request was sent to an upstream, or to another entry that may have sent it on.
    pub sent: bool,
    /// Upstream of the most recent attempt.
    pub last_upstream: Option<id::Upstream>,
    /// Total time spent waiting for placement.
    pub placement_wait: Duration,
    /// Whether the entry made the latest placement alone, without the dispatcher.
    pub alone: bool,
    /// Age of the configuration's confirmation by the leader when the request was last sent on.
    pub confirmed: Option<Duration>,
    /// Whether the account has been charged.
    pub charged: bool,
    /// Whether another entry has delegated the request.
    pub delegated: bool,
    /// Entry that the request was delegated to.
    pub delegate: Option<id::Instance>,
}

impl Forwarder {
    pub(super) fn now(&self) -> Instant {
        self.gateway.core.clock.now()
    }

    pub(super) fn time_left(&self) -> Duration {
        self.deadline.saturating_duration_since(self.now())
    }

    /// Drops the body, unless it may be sent once more to resume a stream.
    pub fn release_body(&mut self, delivery: &Delivery) {
        let may_resume = match delivery {
            Delivery::Streamed(_) => self.route.retry == Retry::Resume,
            Delivery::Buffered(..) | Delivery::Fault(_) => false,
        };
        if !may_resume {
            self.body = Rc::new(memory::Body::empty());
        }
    }

    /// Whether the request may be sent to another upstream although it may already have run.
    pub fn may_repeat(&self) -> bool {
        let repeatable = match self.route.retry {
            Retry::Any | Retry::Resume => true,
            Retry::Never => false,
        };
        repeatable && self.has_retry_left()
    }

    /// Whether the route and the retry budget allow another attempt.
    fn has_retry_left(&self) -> bool {
        let now = self.now();
        self.attempts < self.route.max_attempts && self.gateway.budget.borrow_mut().allows(now)
    }

    /// Forwards the request, with retries, and returns the response for the caller.
    pub async fn run(&mut self) -> Delivery {
        let mut connect_failures = 0;
        let mut may_have_run = false;
        loop {
            if self.time_left().is_zero() {
                return Delivery::Fault(self.timeout_fault(may_have_run));
            }
            if self.gateway.is_cut()
                && !self.delegated
                && let Some(delivery) = self.run_elsewhere(&mut may_have_run).await
            {
                return delivery;
            }
            let asked = self.now();
            let placement = self.place().await;
            self.placement_wait += self.now().saturating_duration_since(asked);
            let grant = match placement {
                Placement::Granted(grant) => {
                    self.charged = true;
                    grant
                }
                Placement::Refused(..) if may_have_run => {
                    return Delivery::Fault(Fault::new(502, "the upstream failed"));
                }
                Placement::Refused(reason, pause) => {
                    return Delivery::Fault(Fault::refusal(reason, pause));
                }
            };
            if !self.gateway.is_fresh() {
                return Delivery::Fault(match may_have_run {
                    true => Fault::new(502, "the upstream failed"),
                    false => self.gateway.not_fresh(),
                });
            }
            let upstream = grant.upstream.clone();
            self.last_upstream = Some(upstream.clone());
            self.alone = grant.alone;
            let failure = match self.attempt_with_copy(grant).await {
                Ok(result) => return result,
                Err(failure) => failure,
            };
            self.excluded.push(upstream);
            match failure {
                Failure::Withdrawn => {}
                Failure::ConnectFailed => {
                    connect_failures += 1;
                    if connect_failures >= MAX_CONNECT_FAILURES && !self.finds_cut().await {
                        return Delivery::Fault(self.unreachable_fault(may_have_run));
                    }
                }
                Failure::NotRun => {
                    if !self.has_retry_left() {
                        return Delivery::Fault(match may_have_run {
                            true => Fault::new(502, "the upstream failed"),
                            false => Fault::with_retry_after(
                                503,
                                "the upstream is full",
                                DEFAULT_RETRY_AFTER,
                            ),
                        });
                    }
                }
                Failure::Unknown(cause) | Failure::Lost(cause) => {
                    may_have_run = true;
                    if !self.may_repeat() {
                        return Delivery::Fault(Fault::new(502, cause));
                    }
                }
                Failure::Silent => {
                    may_have_run = true;
                    if !self.may_repeat() {
                        return Delivery::Fault(Fault::new(502, "the upstream is silent"));
                    }
                }
                Failure::TimedOut => {
                    return Delivery::Fault(Fault::new(504, "the time limit has passed"));
                }
            }
        }
    }

    /// Waits for the reason of a failed connection, and returns whether this entry is cut off and
    /// another one may forward the request.
    async fn finds_cut(&self) -> bool {
        if self.delegated {
            return false;
        }
        let now = self.now();
        let verdict = self.gateway.verdict(Symptom::Unreached, now);
        let verdict = future::timeout(self.time_left(), verdict).await;
        verdict == Ok(Verdict::Cut) && {
            let homes = self.homes();
            let delegates = &self.gateway.delegates;
            delegates.has_any(&self.gateway.core, homes.as_ref(), now)
        }
    }

    /// Has other entries forward the request until one responds. Returns `None` if none takes it.
    async fn run_elsewhere(&mut self, may_have_run: &mut bool) -> Option<Delivery> {
        loop {
            let failure = match self.delegate(None).await? {
                Ok(delivery) => return Some(self.settle_delegated(delivery, *may_have_run)),
                Err(failure) => failure,
            };
            if matches!(failure, Failure::TimedOut) || self.time_left().is_zero() {
                return Some(Delivery::Fault(self.timeout_fault(true)));
            }
            if !self.may_repeat() {
                return Some(Delivery::Fault(Fault::new(502, "another entry failed")));
            }
            *may_have_run = true;
        }
    }

    /// Returns the error response for a request whose upstreams could not be reached.
    fn unreachable_fault(&self, may_have_run: bool) -> Fault {
        match may_have_run {
            true => Fault::new(502, "no other upstream could be reached"),
            false if self.delegated => {
                Fault::new(delegate::DECLINED, "no upstream could be reached")
            }
            false => {
                Fault::with_retry_after(503, "no upstream could be reached", DEFAULT_RETRY_AFTER)
            }
        }
    }

    /// Returns what to send to the caller of a delegated request. Another entry knows only its own
    /// part of what "not run" promises.
    fn settle_delegated(&self, delivery: Delivery, may_have_run: bool) -> Delivery {
        match delivery {
            Delivery::Buffered(response, _)
                if may_have_run && matches!(response.status, 408 | 421 | 429 | 503) =>
            {
                Delivery::Fault(Fault::new(502, "the upstream failed"))
            }
            delivery => delivery,
        }
    }

    /// Returns the error response for a request whose deadline passed between two attempts.
    fn timeout_fault(&self, may_have_run: bool) -> Fault {
        match may_have_run {
            true => Fault::new(504, "the time limit has passed"),
            false => Fault::with_retry_after(503, "the time limit has passed", DEFAULT_RETRY_AFTER),
        }
    }

    /// Ends a grant whose request failed, once it is clear that its upstream is the reason.
    pub(super) fn end_failed(
        &self,
        grant: Grant,
        symptom: Symptom,
        outcome: Outcome,
        ending: Ending,
    ) {
        let report = reach::Report {
            symptom,
            outcome,
            ending,
            causes: self.causes(),
        };
        self.gateway.end_failed(grant, report);
    }

    /// Resumes a stream at another upstream after `last_event`, the last event that the caller has.
    pub async fn resume(&mut self, last_event: u64) -> Option<Box<Exchange>> {
        if let Some(upstream) = self.last_upstream.clone() {
            self.excluded.push(upstream);
        }
        if self.route.retry != Retry::Resume || !self.may_repeat() {
            return None;
        }
        if self.gateway.is_cut()
            && !self.delegated
            && let Some(result) = self.delegate(Some(last_event)).await
        {
            return self.resumed(result);
        }
        let Placement::Granted(grant) = self.place().await else {
            return None;
        };
        let upstream = grant.upstream.clone();
        let result = self.attempt(grant, Some(last_event)).await;
        self.last_upstream = Some(upstream);
        self.resumed(result)
    }

    /// Returns the exchange that goes on with a stream, if the attempt to resume it brought one.
    fn resumed(&self, result: std::result::Result<Delivery, Failure>) -> Option<Box<Exchange>> {
        match result {
            Ok(Delivery::Streamed(exchange)) if self.is_event_stream(&exchange.response) => {
                Some(exchange)
            }
            Ok(Delivery::Streamed(exchange)) => {
                log::info!(
                    id = self.id(), upstream:% = exchange.lease, status = exchange.response.status;
                    "the stream is not resumed; the next upstream answered with an error"
                );
                None
            }
            Ok(Delivery::Buffered(..) | Delivery::Fault(_)) | Err(_) => None,
        }
    }

    /// Records what the end of the run on an upstream told about what may crash upstreams.
    pub fn record_ending(&self, grant: &Grant, ending: Ending) {
        grant.record_ending(&self.causes(), ending, self.now());
    }

    /// Returns what may crash upstreams that run the request.
    fn causes(&self) -> Vec<Cause> {
        let parts = self.metadata.parts.iter().copied().map(Cause::Part);
        parts.chain([Cause::Request(self.content)]).collect()
    }

    /// Returns the id of the request for log lines.
    pub fn id(&self) -> &str {
        self.metadata.attempt.as_deref().unwrap_or("-")
    }

    /// Returns the shared parts of the request's prompt for log lines.
    pub fn parts(&self) -> String {
        let parts: Vec<_> = self
            .metadata
            .parts
            .iter()
            .map(id::Part::to_string)
            .collect();
        parts.join(",")
    }
}

/// Appends a header field to `head`.
pub fn write_field(head: &mut Vec<u8>, name: &str, value: &[u8]) {
    head.extend_from_slice(name.as_bytes());
    head.extend_from_slice(b": ");
    head.extend_from_slice(value);
    head.extend_from_slice(b"\r\n");
}
