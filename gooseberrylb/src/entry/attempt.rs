//! A single attempt at a request: its dispatch to the granted upstream, and the start of the
//! response.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use gooseberrylb_config::note::Kind;
use gooseberrylb_policy::request::{Answer, Id, Outcome, Request};
use gooseberrylb_policy::scheduler::Grant;
use http_types::{Response, StatusCode};

use super::account::{self, EndReport, Verdict};
use super::cost::Prompt;
use super::incoming::Incoming;
use super::relay::{self, Reader, Source};
use super::{Entry, InFlight, SILENCE_TIMEOUT};
use crate::answer::{REQUEST_OUTCOME, SERVED_UPSTREAM, SERVED_VERSION};
use crate::upstream::Error;
use crate::upstream::engine::{self, Completion, Line, Started};
use crate::upstream::http::Reuse;
use crate::upstream::plain::{self, Reply};

/// Maximum size of an answer that is stored for a resent idempotency key, in bytes.
pub const MAX_STORED_ANSWER_BYTES: usize = 16 * 1024;

/// Failed attempts after which resuming the stream of a lost response is given up.
const MAX_RESUME_FAILURES: u32 = 5;

/// Interval between attempts to resume a stream.
const RESUME_INTERVAL: Duration = Duration::from_millis(100);

/// Outcome of an attempt.
pub enum AttemptOutcome {
    /// The upstream responded; the body may still be streaming.
    Answered(Response),
    /// The upstream did not start the request, so another one may be tried.
    NotRun,
    /// The upstream may have run the request.
    Unknown,
    /// The upstream may have run the request, and the request was counted already.
    UnknownCounted,
}

/// An attempt to serve a request at one upstream.
pub struct Attempt {
    /// Entry that serves the request.
    pub entry: Arc<Entry>,
    /// Request as the caller sent it.
    pub incoming: Arc<Incoming>,
    /// Request as the scheduler knows it.
    pub request: Request,
    /// Grant from the scheduler.
    pub grant: Grant,
    /// Address of the upstream.
    pub address: SocketAddr,
    /// Whether the request may be retried at another upstream if this one fails.
    pub may_retry: bool,
}

impl Attempt {
    /// Returns the time until the caller gives up.
    fn time_left(&self) -> Duration {
        self.incoming
            .deadline
            .saturating_duration_since(self.entry.clock.now())
    }

    /// Whether to retry at another upstream, instead of passing an upstream's error on.
    fn should_retry(&self, status: StatusCode) -> bool {
        status.is_server_error() && self.may_retry && self.request.repeatable
    }

    /// Returns whether the call may use a pooled connection: only a repeatable request may.
    fn reuse(&self) -> Reuse {
        if self.request.repeatable {
            Reuse::Allowed
        } else {
            Reuse::Never
        }
    }

    /// Returns the report on the end of this attempt, to be filled in and sent to the scheduler.
    pub fn end_report(&self) -> EndReport {
        let cell = self.entry.cell(&self.incoming.service);
        EndReport::new(cell, &self.request, &self.grant)
    }

    /// Dispatches the request and returns once the response to the caller can begin.
    pub async fn run(self, prompt: &Prompt, in_flight: InFlight) -> AttemptOutcome {
        match self.incoming.kind {
            Kind::Engine => self.run_engine(prompt, in_flight).await,
            Kind::Plain => self.run_plain(in_flight).await,
        }
    }

    /// Records a failed dispatch and returns its outcome.
    fn fail(&self, error: &Error) -> AttemptOutcome {
        log::debug!(
            "request {} failed at upstream {}: {error}",
            self.request.id,
            self.grant.upstream
        );
        let report = self.end_report().with_failure();
        match error {
            Error::NotSent(_) => {
                report.send(&self.entry, Outcome::NotRun);
                AttemptOutcome::NotRun
            }
            Error::Lost(_) => {
                let version = &self.grant.version;
                account::count_wasted(&self.entry, &self.incoming, &self.request, version);
                report.send(&self.entry, Outcome::Unknown);
                AttemptOutcome::Unknown
            }
        }
    }

    async fn run_plain(self, in_flight: InFlight) -> AttemptOutcome {
        let call = plain_call(&self.incoming, &self.request);
        let dispatched_at = self.entry.clock.now();
        let time_left = self.time_left();
        let calling = plain::call(self.address, &call, self.reuse(), time_left);
        let reply = match async_std::future::timeout(time_left, calling).await {
            Ok(Ok(reply)) if self.should_retry(reply.status) => {
                return self.fail(&status_error(reply.status));
            }
            Ok(Ok(reply)) => reply,
            Ok(Err(error)) => return self.fail(&error),
            Err(_) => return self.fail(&Error::timeout()),
        };
        let first_token = self.entry.clock.now() - dispatched_at;
        account::observe_first_token(
            &self.incoming,
            self.entry.clock.now() - self.incoming.arrived,
        );
        AttemptOutcome::Answered(self.answer_plain(reply, first_token, in_flight))
    }

    fn answer_plain(self, reply: Reply, first_token: Duration, in_flight: InFlight) -> Response {
        let mut response = Response::new(reply.status);
        set_served_headers(&mut response, &self.grant);
        let mut report = self.end_report();
        report.figures().first_token = first_token;
        if reply.status.is_server_error() {
            report = report.with_failure();
        }
        match reply.content {
            plain::Content::Complete(body) => {
                let stored = storable_answer(reply.status, reply.content_type.clone(), &body);
                let figures = *report.figures();
                report
                    .with_answer(stored)
                    .send(&self.entry, Outcome::Served);
                let verdict = Verdict::served(Some(self.grant.version.clone()), figures);
                account::count(&self.entry, &self.incoming, &verdict);
                response.set_body(body);
            }
            plain::Content::Partial(received, rest) => {
                response.set_body(relay::plain(self, report, received, rest, in_flight));
            }
        }
        set_content_type(&mut response, reply.content_type.as_deref());
        response
    }

    async fn run_engine(self, prompt: &Prompt, in_flight: InFlight) -> AttemptOutcome {
        let completion = Completion {
            request_id: stream_id(&self.request.id, &self.grant),
            parameters: prompt.parameters.clone(),
        };
        let dispatched_at = self.entry.clock.now();
        let outcome = self.start(&completion).await;
        let mut reader = match outcome {
            Ok(StartOutcome::Line(reader)) => reader,
            Ok(StartOutcome::Failed(response)) => return AttemptOutcome::Answered(response),
            Err(error) => {
                if matches!(error, Error::Lost(_)) {
                    self.cancel().await;
                }
                return self.fail(&error);
            }
        };
        let now = self.entry.clock.now();
        reader.first_token = now - dispatched_at;
        account::observe_first_token(&self.incoming, now - self.incoming.arrived);
        let source = Source::new(self, reader, in_flight);
        relay::engine(source, prompt.streams).await
    }

    /// Cancels the request at the engine, in the background.
    async fn cancel(&self) {
        let id = stream_id(&self.request.id, &self.grant);
        let address = self.address;
        async_std::task::spawn(async move { engine::cancel(address, &id).await });
    }

    /// Starts the completion and waits for its first line; resumes the stream on new connections if
    /// the first connection is lost or silent.
    async fn start(&self, completion: &Completion) -> Result<StartOutcome, Error> {
        let deadline = self.incoming.deadline;
        let first = engine::start(self.address, completion, self.reuse(), SILENCE_TIMEOUT);
        let mut failure = match with_deadline(self, deadline, first_response(first)).await {
            Ok(FirstResponse::Line(stream, line)) => {
                return Ok(StartOutcome::Line(Reader::new(stream, line)));
            }
            Ok(FirstResponse::Failed(status, ..)) if self.should_retry(status) => {
                return Err(status_error(status));
            }
            Ok(FirstResponse::Failed(status, body, content_type)) => {
                return Ok(StartOutcome::Failed(self.relay_error(
                    status,
                    body,
                    content_type,
                )));
            }
            Ok(FirstResponse::Duplicate) => Error::timeout(),
            Err(error @ Error::NotSent(_)) => return Err(error),
            Err(error) => error,
        };
        let mut failures = 0;
        while failures < MAX_RESUME_FAILURES && self.entry.clock.now() < deadline {
            let resumed = engine::resume(self.address, &completion.request_id, 0, SILENCE_TIMEOUT);
            match with_deadline(self, deadline, first_response(resumed)).await {
                Ok(FirstResponse::Line(stream, line)) => {
                    let labels = [self.incoming.service.as_str()];
                    crate::metrics::METRICS
                        .resumed
                        .with_label_values(&labels)
                        .inc();
                    return Ok(StartOutcome::Line(Reader::new(stream, line)));
                }
                // The engine has the stream and is only slow, which is no failure to resume.
                Err(Error::Lost(error)) if error.kind() == std::io::ErrorKind::TimedOut => {
                    failure = Error::Lost(error);
                }
                Ok(_) | Err(_) => failures += 1,
            }
            async_std::task::sleep(RESUME_INTERVAL).await;
        }
        // A failure to reconnect doesn't show that nothing was sent on the first connection.
        Err(match failure {
            Error::NotSent(error) | Error::Lost(error) => Error::Lost(error),
        })
    }

    /// Returns a response that passes on the engine's error, and records the request as served.
    fn relay_error(
        &self,
        status: StatusCode,
        body: Vec<u8>,
        content_type: Option<Arc<str>>,
    ) -> Response {
        let mut response = Response::new(status);
        set_served_headers(&mut response, &self.grant);
        let mut report = self.end_report();
        if status.is_server_error() {
            report = report.with_failure();
        }
        let stored = storable_answer(status, content_type.clone(), &body);
        report
            .with_answer(stored)
            .send(&self.entry, Outcome::Served);
        let verdict = Verdict::served(Some(self.grant.version.clone()), Default::default());
        account::count(&self.entry, &self.incoming, &verdict);
        response.set_body(body);
        set_content_type(&mut response, content_type.as_deref());
        response
    }
}

/// Result of starting a completion.
enum StartOutcome {
    Line(Reader),
    Failed(Response),
}

/// An engine's first response to starting or resuming a completion.
enum FirstResponse {
    Line(engine::Stream, Line),
    Duplicate,
    Failed(StatusCode, Vec<u8>, Option<Arc<str>>),
}

/// Waits for an engine's response and, if it is a stream, for its first line.
async fn first_response(
    start: impl Future<Output = Result<Started, Error>>,
) -> Result<FirstResponse, Error> {
    match start.await? {
        Started::Stream(mut stream) => {
            let line = stream.next().await?;
            Ok(FirstResponse::Line(stream, line))
        }
        Started::Duplicate => Ok(FirstResponse::Duplicate),
        Started::Failed {
            status,
            body,
            content_type,
        } => Ok(FirstResponse::Failed(status, body, content_type)),
    }
}

/// Returns the error for a response with an error status.
fn status_error(status: StatusCode) -> Error {
    Error::Lost(std::io::Error::other(format!(
        "the upstream answered {status}"
    )))
}

/// Waits for a call until `deadline`.
async fn with_deadline<T>(
    attempt: &Attempt,
    deadline: Instant,
    call: impl Future<Output = Result<T, Error>>,
) -> Result<T, Error> {
    let time_left = deadline.saturating_duration_since(attempt.entry.clock.now());
    match async_std::future::timeout(time_left, call).await {
        Ok(result) => result,
        Err(_) => Err(Error::timeout()),
    }
}

/// Returns the identifier of a request's stream at its engine.
///
/// It differs between grants, so that the engine does not mistake a retry for the attempt before.
pub fn stream_id(id: &Id, grant: &Grant) -> Arc<str> {
    format!("{id}.{}-{}", grant.ticket.view, grant.ticket.number).into()
}

/// Sets the headers of `response` that tell which version and upstream served the request.
pub fn set_served_headers(response: &mut Response, grant: &Grant) {
    response.insert_header(REQUEST_OUTCOME, Outcome::Served.to_string());
    response.insert_header(SERVED_VERSION, grant.version.as_str());
    response.insert_header(SERVED_UPSTREAM, grant.upstream.as_str());
}

/// Sets the content type of a response, or removes the header if there is none.
pub fn set_content_type(response: &mut Response, content_type: Option<&str>) {
    match content_type {
        Some(content_type) => {
            response.insert_header("Content-Type", content_type);
        }
        None => {
            response.remove_header("Content-Type");
        }
    }
}

/// Returns the answer to be stored for a resent idempotency key, unless it is too large.
pub fn storable_answer(
    status: StatusCode,
    content_type: Option<Arc<str>>,
    body: &[u8],
) -> Option<Answer> {
    let is_small = body.len() <= MAX_STORED_ANSWER_BYTES;
    is_small.then(|| Answer {
        status: status.into(),
        content_type,
        body: body.into(),
    })
}

/// Returns the call to a plain service for a request.
fn plain_call(incoming: &Incoming, request: &Request) -> plain::Call {
    let mut headers: Vec<(&'static str, Arc<str>)> = vec![
        ("Client-Account", incoming.account.as_str().into()),
        ("Request-Id", request.id.to_string().into()),
    ];
    if let Some(content_type) = &incoming.content_type {
        headers.push(("Content-Type", content_type.clone()));
    }
    if let Some(key) = &incoming.key {
        headers.push(("Idempotency-Key", key.clone()));
    }
    plain::Call {
        path: incoming.path.clone(),
        headers,
        body: incoming.body.clone(),
    }
}
