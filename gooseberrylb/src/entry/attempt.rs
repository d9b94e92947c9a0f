//! One dispatch of a request to the upstream that it was granted.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use gooseberrylb_config::note::Kind;
use gooseberrylb_policy::request::{Answer, Id, Outcome, Request};
use gooseberrylb_policy::scheduler::Grant;
use http_types::{Response, StatusCode};

use super::account::{self, Ending, Verdict};
use super::cost::Prompt;
use super::incoming::Incoming;
use super::relay::{self, Joined, Source};
use super::{Entry, InFlight, SILENCE_TIMEOUT};
use crate::answer::{REQUEST_OUTCOME, SERVED_UPSTREAM, SERVED_VERSION};
use crate::upstream::Error;
use crate::upstream::engine::{self, Completion, Line, Started};
use crate::upstream::http::Reuse;
use crate::upstream::plain::{self, Reply};

/// Answers up to this size are kept for a resent key, in bytes.
pub const KEPT_ANSWER_BYTES: usize = 16 * 1024;

/// How often an engine is asked for the stream of a request whose answer was lost.
const RESUMES: u32 = 5;

/// The pause between two such attempts.
const RESUME_PAUSE: Duration = Duration::from_millis(100);

/// How an attempt ended.
pub enum Attempted {
    /// The caller has its answer, or gets it as it is written.
    Answered(Response),
    /// No upstream started the request: it may be tried elsewhere.
    NotRun,
    /// The upstream may have run the request.
    Unknown,
    /// The same, and it was accounted for already.
    Concluded,
}

/// Everything about one dispatch.
pub struct Attempt {
    /// The entry.
    pub entry: Arc<Entry>,
    /// The caller's request.
    pub incoming: Arc<Incoming>,
    /// What the scheduler knows of it.
    pub request: Request,
    /// The grant.
    pub grant: Grant,
    /// Where the upstream listens.
    pub address: SocketAddr,
    /// Whether the request is tried elsewhere if this upstream fails it.
    pub may_retry: bool,
}

impl Attempt {
    /// How long the caller goes on waiting.
    fn time_left(&self) -> Duration {
        self.incoming
            .deadline
            .saturating_duration_since(self.entry.clock.now())
    }

    /// Whether an upstream's own error is not passed on, since another upstream may do better.
    fn is_retried(&self, status: StatusCode) -> bool {
        status.is_server_error() && self.may_retry && self.request.repeatable
    }

    fn reuse(&self) -> Reuse {
        if self.request.repeatable {
            Reuse::Allowed
        } else {
            Reuse::Never
        }
    }

    /// The account of this dispatch.
    pub fn ending(&self) -> Ending {
        let cell = self.entry.cell(&self.incoming.service);
        Ending::new(cell, &self.request, &self.grant)
    }

    /// Dispatches the request.
    pub async fn run(self, prompt: &Prompt, held: InFlight) -> Attempted {
        match self.incoming.kind {
            Kind::Engine => self.run_engine(prompt, held).await,
            Kind::Plain => self.run_plain(held).await,
        }
    }

    /// Accounts for a dispatch that gave no answer.
    fn fail(&self, error: &Error) -> Attempted {
        log::debug!("{} at {}: {error}", self.request.id, self.grant.upstream);
        let ending = self.ending().with_failure();
        match error {
            Error::NotSent(_) => {
                ending.finish(&self.entry, Outcome::NotRun);
                Attempted::NotRun
            }
            Error::Lost(_) => {
                let version = &self.grant.version;
                account::count_wasted(&self.entry, &self.incoming, &self.request, version);
                ending.finish(&self.entry, Outcome::Unknown);
                Attempted::Unknown
            }
        }
    }

    async fn run_plain(self, held: InFlight) -> Attempted {
        let call = plain_call(&self.incoming, &self.request);
        let dispatched = self.entry.clock.now();
        let silence = self.time_left();
        let calling = plain::call(self.address, &call, self.reuse(), silence);
        let reply = match async_std::future::timeout(silence, calling).await {
            Ok(Ok(reply)) if self.is_retried(reply.status) => {
                return self.fail(&failed_status(reply.status));
            }
            Ok(Ok(reply)) => reply,
            Ok(Err(error)) => return self.fail(&error),
            Err(_) => return self.fail(&Error::timeout()),
        };
        let first_token = self.entry.clock.now() - dispatched;
        account::observe_first_token(
            &self.incoming,
            self.entry.clock.now() - self.incoming.arrived,
        );
        Attempted::Answered(self.answer_plain(reply, first_token, held))
    }

    fn answer_plain(self, reply: Reply, first_token: Duration, held: InFlight) -> Response {
        let mut response = Response::new(reply.status);
        mark(&mut response, &self.grant);
        let mut ending = self.ending();
        ending.figures().first_token = first_token;
        if reply.status.is_server_error() {
            ending = ending.with_failure();
        }
        match reply.answer {
            plain::Answer::Whole(body) => {
                let kept = keep(reply.status, reply.content_type.clone(), &body);
                let figures = *ending.figures();
                ending
                    .with_answer(kept)
                    .finish(&self.entry, Outcome::Served);
                let verdict = Verdict::served(Some(self.grant.version.clone()), figures);
                account::count(&self.entry, &self.incoming, &verdict);
                response.set_body(body);
            }
            plain::Answer::Begun(begun, rest) => {
                response.set_body(relay::plain(self, ending, begun, rest, held));
            }
        }
        set_content_type(&mut response, reply.content_type.as_deref());
        response
    }

    async fn run_engine(self, prompt: &Prompt, held: InFlight) -> Attempted {
        let completion = Completion {
            request_id: stream_name(&self.request.id, &self.grant),
            parameters: prompt.parameters.clone(),
        };
        let dispatched = self.entry.clock.now();
        let started = self.start(&completion).await;
        let mut joined = match started {
            Ok(First::Line(joined)) => joined,
            Ok(First::Failed(response)) => return Attempted::Answered(response),
            Err(error) => {
                if matches!(error, Error::Lost(_)) {
                    self.cancel().await;
                }
                return self.fail(&error);
            }
        };
        let now = self.entry.clock.now();
        joined.first_token = now - dispatched;
        account::observe_first_token(&self.incoming, now - self.incoming.arrived);
        let source = Source::new(self, joined, held);
        relay::engine(source, prompt.streams).await
    }

    async fn cancel(&self) {
        let id = stream_name(&self.request.id, &self.grant);
        let address = self.address;
        async_std::task::spawn(async move { engine::cancel(address, &id).await });
    }

    /// Starts the completion and waits for its first line, over new connections where one is lost.
    async fn start(&self, completion: &Completion) -> Result<First, Error> {
        let deadline = self.incoming.deadline;
        let first = engine::start(self.address, completion, self.reuse(), SILENCE_TIMEOUT);
        let mut failure = match within(self, deadline, first_line(first)).await {
            Ok(Begun::Line(stream, line)) => return Ok(First::Line(Joined::new(stream, line))),
            Ok(Begun::Failed(status, ..)) if self.is_retried(status) => {
                return Err(failed_status(status));
            }
            Ok(Begun::Failed(status, body, kind)) => {
                return Ok(First::Failed(self.pass_on(status, body, kind)));
            }
            Ok(Begun::Duplicate) => Error::timeout(),
            Err(error @ Error::NotSent(_)) => return Err(error),
            Err(error) => error,
        };
        let mut misses = 0;
        while misses < RESUMES && self.entry.clock.now() < deadline {
            let resumed = engine::resume(self.address, &completion.request_id, 0, SILENCE_TIMEOUT);
            match within(self, deadline, first_line(resumed)).await {
                Ok(Begun::Line(stream, line)) => {
                    let labels = [self.incoming.service.as_str()];
                    crate::metrics::METRICS
                        .resumed
                        .with_label_values(&labels)
                        .inc();
                    return Ok(First::Line(Joined::new(stream, line)));
                }
                // The engine knows the stream and is only slow: that is no miss.
                Err(Error::Lost(error)) if error.kind() == std::io::ErrorKind::TimedOut => {
                    failure = Error::Lost(error);
                }
                Ok(_) | Err(_) => misses += 1,
            }
            async_std::task::sleep(RESUME_PAUSE).await;
        }
        // A failure to connect again says nothing of the first connection's bytes.
        Err(match failure {
            Error::NotSent(error) | Error::Lost(error) => Error::Lost(error),
        })
    }

    /// Passes on an error that the engine itself answered with.
    fn pass_on(&self, status: StatusCode, body: Vec<u8>, kind: Option<Arc<str>>) -> Response {
        let mut response = Response::new(status);
        mark(&mut response, &self.grant);
        let mut ending = self.ending();
        if status.is_server_error() {
            ending = ending.with_failure();
        }
        let kept = keep(status, kind.clone(), &body);
        ending
            .with_answer(kept)
            .finish(&self.entry, Outcome::Served);
        let verdict = Verdict::served(Some(self.grant.version.clone()), Default::default());
        account::count(&self.entry, &self.incoming, &verdict);
        response.set_body(body);
        set_content_type(&mut response, kind.as_deref());
        response
    }
}

enum First {
    Line(Joined),
    Failed(Response),
}

enum Begun {
    Line(engine::Stream, Line),
    Duplicate,
    Failed(StatusCode, Vec<u8>, Option<Arc<str>>),
}

async fn first_line(
    starting: impl Future<Output = Result<Started, Error>>,
) -> Result<Begun, Error> {
    match starting.await? {
        Started::Stream(mut stream) => {
            let line = stream.next().await?;
            Ok(Begun::Line(stream, line))
        }
        Started::Duplicate => Ok(Begun::Duplicate),
        Started::Failed {
            status,
            body,
            content_type,
        } => Ok(Begun::Failed(status, body, content_type)),
    }
}

fn failed_status(status: StatusCode) -> Error {
    Error::Lost(std::io::Error::other(format!(
        "the upstream answered {status}"
    )))
}

async fn within<T>(
    attempt: &Attempt,
    deadline: Instant,
    call: impl Future<Output = Result<T, Error>>,
) -> Result<T, Error> {
    let left = deadline.saturating_duration_since(attempt.entry.clock.now());
    match async_std::future::timeout(left, call).await {
        Ok(result) => result,
        Err(_) => Err(Error::timeout()),
    }
}

/// Names a request's stream at its engine: apart for each grant, so that a retry at the same engine
/// is not taken for the attempt before.
pub fn stream_name(id: &Id, grant: &Grant) -> Arc<str> {
    format!("{id}.{}-{}", grant.ticket.view, grant.ticket.number).into()
}

/// Puts the headers of a served answer on `response`.
pub fn mark(response: &mut Response, grant: &Grant) {
    response.insert_header(REQUEST_OUTCOME, Outcome::Served.to_string());
    response.insert_header(SERVED_VERSION, grant.version.as_str());
    response.insert_header(SERVED_UPSTREAM, grant.upstream.as_str());
}

/// Sets the type of a body as the upstream gave it, or none where it gave none.
pub fn set_content_type(response: &mut Response, kind: Option<&str>) {
    match kind {
        Some(kind) => {
            response.insert_header("Content-Type", kind);
        }
        None => {
            response.remove_header("Content-Type");
        }
    }
}

/// Keeps a small answer for a resent key.
pub fn keep(status: StatusCode, content_type: Option<Arc<str>>, body: &[u8]) -> Option<Answer> {
    let small = body.len() <= KEPT_ANSWER_BYTES;
    small.then(|| Answer {
        status: status.into(),
        content_type,
        body: body.into(),
    })
}

fn plain_call(incoming: &Incoming, request: &Request) -> plain::Call {
    let mut headers: Vec<(&'static str, Arc<str>)> = vec![
        ("Client-Account", incoming.account.as_str().into()),
        ("Request-Id", request.id.to_string().into()),
    ];
    if let Some(kind) = &incoming.content_type {
        headers.push(("Content-Type", kind.clone()));
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
