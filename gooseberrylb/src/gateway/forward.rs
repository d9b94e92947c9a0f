//! Sends a request to upstreams until one answers, as far as it may be repeated.

use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use async_std::future;
use futures::future::Either;
use gooseberrylb_config::declaration::{Account, Repeat, Route};
use gooseberrylb_config::dialect::{Facts, Outgoing, Reply};
use gooseberrylb_config::id;
use gooseberrylb_policy::dispatch::{Outcome, Reason};

use super::Gateway;
use super::http::{self, Answer, Connection, Framing, Request};
use super::place::{Grant, Placement};

mod ask;

/// The most upstreams that could not be reached for one request before it is refused; none of them
/// got a byte of it.
const MAX_UNREACHED: u32 = 3;

/// The largest answer that is read as a whole before it is passed on, so that one that breaks off
/// can still be replaced or told apart from a whole one.
const MAX_WHOLE_BYTES: u64 = 256 * 1024;

/// The least time that an upstream is given for its first byte before it counts as silent.
const MIN_SILENCE: Duration = Duration::from_millis(250);

/// The time that a refused request is kept away where the refusal gives none.
const DEFAULT_PAUSE: Duration = Duration::from_millis(500);

/// A request on its way.
pub struct Work {
    /// The gateway.
    pub gateway: Rc<Gateway>,
    /// The request's head.
    pub request: Request,
    /// Its body.
    pub body: Vec<u8>,
    /// What it says of itself.
    pub facts: Facts,
    /// Its route.
    pub route: Arc<Route>,
    /// Its account.
    pub account: Option<Arc<Account>>,
    /// When it came.
    pub arrived: Instant,
    /// When it must have its final answer.
    pub deadline: Instant,
    /// The upstreams that it must not go to again.
    pub excluded: Vec<id::Upstream>,
    /// How many upstreams it was sent to.
    pub sent: u32,
    /// The upstream that it was sent to last.
    pub last: Option<id::Upstream>,
    /// How long it waited for upstreams.
    pub waited: Duration,
    /// Whether the entry placed it itself.
    pub alone: bool,
}

/// An answer of the system's own.
#[derive(Debug, Clone)]
pub struct Own {
    /// The status.
    pub status: u16,
    /// What is wrong.
    pub message: &'static str,
    /// When the caller may come back.
    pub retry_after: Option<Duration>,
}

impl Own {
    /// Makes an answer after which the caller need not come back.
    pub fn new(status: u16, message: &'static str) -> Self {
        Self {
            status,
            message,
            retry_after: None,
        }
    }

    /// Refuses a request that did not run and will not.
    pub fn refusal(status: u16, message: &'static str, retry_after: Duration) -> Self {
        Self {
            status,
            message,
            retry_after: Some(retry_after),
        }
    }
}

/// An upstream's answer whose body is still to come.
pub struct Live {
    /// The leave under which the request runs.
    pub grant: Grant,
    /// The connection.
    pub connection: Connection,
    /// The head.
    pub answer: Answer,
    /// When the request was sent.
    pub sent: Instant,
}

/// What came of a request before its answer is passed on.
pub enum Result {
    /// An answer whose body is still to come.
    Live(Box<Live>),
    /// A whole answer.
    Whole(Answer, Vec<u8>),
    /// An answer of the system's own.
    Own(Own),
}

/// How one attempt failed.
enum Failure {
    /// The upstream could not be reached, and got nothing.
    Unreached,
    /// The upstream says that the request did not run.
    NotRun,
    /// Nobody knows whether the request ran.
    Unknown(&'static str),
    /// There is no time left.
    Late,
}

impl Work {
    fn now(&self) -> Instant {
        self.gateway.core.clock.now()
    }

    fn left(&self) -> Duration {
        self.deadline.saturating_duration_since(self.now())
    }

    /// Whether the request may be sent to another upstream though it may have run.
    pub fn may_repeat(&self) -> bool {
        let repeatable = match self.route.repeat {
            Repeat::Any | Repeat::Resume => true,
            Repeat::Never => false,
        };
        repeatable && self.may_send_again()
    }

    /// Whether the request may be sent to another upstream, where it did not run.
    fn may_send_again(&self) -> bool {
        let now = self.now();
        self.sent < self.route.attempts && self.gateway.budget.borrow_mut().allows(now)
    }

    /// Gets an answer, or finds that there is none to be had.
    pub async fn run(&mut self) -> Result {
        let mut unreached = 0;
        let mut may_have_run = false;
        loop {
            if self.left().is_zero() {
                return Result::Own(self.give_up(may_have_run));
            }
            let asked = self.now();
            let placement = self.place().await;
            self.waited += self.now().saturating_duration_since(asked);
            let grant = match placement {
                Placement::Granted(grant) => grant,
                Placement::Refused(..) if may_have_run => {
                    return Result::Own(Own::new(502, "the upstream failed"));
                }
                Placement::Refused(reason, pause) => return Result::Own(refuse(reason, pause)),
            };
            if !self.gateway.is_fresh() {
                return Result::Own(self.gateway.not_fresh());
            }
            let upstream = grant.upstream.clone();
            self.last = Some(upstream.clone());
            self.alone = grant.alone;
            let failure = match self.attempt(grant, None).await {
                Ok(result) => return result,
                Err(failure) => failure,
            };
            self.excluded.push(upstream);
            match failure {
                Failure::Unreached => {
                    unreached += 1;
                    if unreached >= MAX_UNREACHED {
                        return Result::Own(match may_have_run {
                            true => Own::new(502, "no other upstream could be reached"),
                            false => {
                                Own::refusal(503, "no upstream could be reached", DEFAULT_PAUSE)
                            }
                        });
                    }
                }
                Failure::NotRun => {
                    if !self.may_send_again() {
                        return Result::Own(match may_have_run {
                            true => Own::new(502, "the upstream failed"),
                            false => Own::refusal(503, "the upstream is full", DEFAULT_PAUSE),
                        });
                    }
                }
                Failure::Unknown(cause) => {
                    may_have_run = true;
                    if !self.may_repeat() {
                        return Result::Own(Own::new(502, cause));
                    }
                }
                Failure::Late => return Result::Own(Own::new(504, "the time limit has passed")),
            }
        }
    }

    fn give_up(&self, may_have_run: bool) -> Own {
        match may_have_run {
            true => Own::new(504, "the time limit has passed"),
            false => Own::refusal(503, "the time limit has passed", DEFAULT_PAUSE),
        }
    }

    /// Sends the request to the upstream that it was granted.
    async fn attempt(
        &mut self,
        grant: Grant,
        last_event: Option<u64>,
    ) -> std::result::Result<Result, Failure> {
        let now = self.now();
        let address = grant.listed.address;
        let connecting = self.gateway.pool.connect(address, now);
        let connected = future::timeout(self.left(), connecting).await;
        let mut connection = match connected {
            Ok(Ok(connected)) => connected,
            Ok(Err(error)) => {
                log::info!(
                    id = self.id(), upstream:% = grant.upstream, error:% = error;
                    "an upstream cannot be reached"
                );
                grant.end(Outcome::Failed);
                return Err(Failure::Unreached);
            }
            Err(_) => return Err(Failure::Unreached),
        };
        let left = self.left();
        if left.is_zero() {
            return Err(Failure::Unreached);
        }
        let head = self.head(&grant, left, last_event);
        let sent = self.now();
        if self.sent > 0 {
            self.gateway.budget.borrow_mut().withdraw(sent);
        }
        self.sent += 1;
        let answer = match self.exchange(&grant, &mut connection, head).await {
            Ok((answer, reply)) => {
                if reply.not_run {
                    let outcome = match answer.status {
                        421 => Outcome::Failed,
                        _ => Outcome::Full,
                    };
                    grant.end(outcome);
                    self.drain(answer, connection, address).await;
                    return Err(Failure::NotRun);
                }
                answer
            }
            Err(failure) => {
                grant.end(Outcome::Failed);
                return Err(failure);
            }
        };
        let is_large = matches!(answer.framing, Framing::Length(n) if n > MAX_WHOLE_BYTES);
        if (self.route.streams && answer.status == 200) || is_large {
            return Ok(Result::Live(Box::new(Live {
                grant,
                connection,
                answer,
                sent,
            })));
        }
        self.take_whole(grant, connection, answer, sent).await
    }

    /// Reads the rest of an answer that is not passed on, so that its connection can be kept.
    async fn drain(
        &self,
        answer: Answer,
        mut connection: Connection,
        address: std::net::SocketAddr,
    ) {
        let Some(keep) = answer.keep else {
            return;
        };
        let body = connection.read_body(answer.framing, MAX_WHOLE_BYTES as usize);
        if let Ok(Ok(_)) = future::timeout(MIN_SILENCE, body).await {
            let until = self.now() + keep;
            self.gateway.pool.keep(address, connection, until);
        }
    }

    async fn take_whole(
        &mut self,
        grant: Grant,
        mut connection: Connection,
        answer: Answer,
        sent: Instant,
    ) -> std::result::Result<Result, Failure> {
        let limit = self.gateway.body_limit();
        let reading = connection.read_body(answer.framing, limit);
        let body = match future::timeout(self.left(), reading).await {
            Ok(Ok(body)) => body,
            Ok(Err(error)) => {
                log::info!(
                    id = self.id(), upstream:% = grant.upstream, error:% = error;
                    "an answer broke off"
                );
                grant.end(Outcome::Failed);
                return Err(Failure::Unknown("the upstream's answer broke off"));
            }
            Err(_) => return Err(Failure::Late),
        };
        let now = self.now();
        if let Some(keep) = answer.keep {
            let address = grant.listed.address;
            self.gateway.pool.keep(address, connection, now + keep);
        }
        if answer.status >= 500 {
            grant.end(Outcome::Failed);
            if self.may_repeat() {
                return Err(Failure::Unknown("the upstream failed"));
            }
            return Ok(Result::Whole(answer, body));
        }
        grant.end(Outcome::Served {
            first: now.saturating_duration_since(sent),
            rest: Duration::ZERO,
            events: 0,
        });
        Ok(Result::Whole(answer, body))
    }

    /// Takes up a stream at another upstream behind the last event that was passed on.
    pub async fn resume(&mut self, last_event: Option<u64>) -> Option<Box<Live>> {
        if let Some(upstream) = self.last.clone() {
            self.excluded.push(upstream);
        }
        if self.route.repeat != Repeat::Resume || !self.may_repeat() {
            return None;
        }
        let Placement::Granted(grant) = self.place().await else {
            return None;
        };
        let upstream = grant.upstream.clone();
        let result = self.attempt(grant, last_event.or(Some(0))).await;
        self.last = Some(upstream);
        match result {
            Ok(Result::Live(live)) => Some(live),
            Ok(Result::Whole(..) | Result::Own(_)) | Err(_) => None,
        }
    }

    /// Writes the request and reads the head of its answer.
    async fn exchange(
        &self,
        grant: &Grant,
        connection: &mut Connection,
        head: Vec<u8>,
    ) -> std::result::Result<(Answer, Reply), Failure> {
        if let Err(error) = self.write(connection, head).await {
            log::info!(
                id = self.id(), upstream:% = grant.upstream, error:% = error;
                "a request could not be written as a whole"
            );
            return Err(Failure::Unknown("the upstream closed the connection"));
        }
        let patience = self.route.objective.max(MIN_SILENCE);
        let to_head = self.request.method == "HEAD";
        let mut strays = 0;
        let mut told = false;
        loop {
            let waits = if told {
                self.left()
            } else {
                patience.min(self.left())
            };
            let answer = match future::timeout(waits, connection.read_response(to_head)).await {
                Ok(Ok(answer)) => answer,
                Ok(Err(error)) => {
                    log::info!(
                        id = self.id(), upstream:% = grant.upstream, error:% = error;
                        "an upstream gave no answer"
                    );
                    return Err(Failure::Unknown("the upstream closed the connection"));
                }
                Err(_) if self.left().is_zero() => return Err(Failure::Late),
                Err(_) if told => continue,
                Err(_) => {
                    told = true;
                    grant.silent();
                    log::info!(
                        id = self.id(), upstream:% = grant.upstream, waited_ms = patience.as_millis() as u64;
                        "an upstream is silent"
                    );
                    if self.may_repeat() {
                        return Err(Failure::Unknown("the upstream is silent"));
                    }
                    continue;
                }
            };
            let reply = self
                .gateway
                .dialect
                .reply(answer.status, &answer.fields.borrowed());
            let is_ours = reply.attempt.is_none() || reply.attempt == self.facts.attempt;
            if !is_ours && strays < 2 && answer.keep.is_some() {
                // An answer to an earlier request came late; this request's own follows it.
                strays += 1;
                let rest = connection.read_body(answer.framing, MAX_WHOLE_BYTES as usize);
                if let Ok(Ok(_)) = future::timeout(self.left(), rest).await {
                    continue;
                }
            }
            let is_success = (200..300).contains(&answer.status);
            if !is_ours || (is_success && (!reply.signed || reply.encoded)) {
                log::info!(
                    id = self.id(), upstream:% = grant.upstream, status = answer.status,
                    signed = reply.signed, own = is_ours;
                    "an answer is not this request's"
                );
                return Err(Failure::Unknown(
                    "the upstream gave an answer that is not its own",
                ));
            }
            return Ok((answer, reply));
        }
    }

    /// Writes the request, unless the answer begins before it was read as a whole.
    async fn write(&self, connection: &mut Connection, mut head: Vec<u8>) -> std::io::Result<()> {
        const TOGETHER: usize = 64 * 1024;
        if self.body.len() <= TOGETHER {
            head.extend_from_slice(&self.body);
            return connection.write(&head).await;
        }
        connection.write(&head).await?;
        for part in self.body.chunks(TOGETHER) {
            let early = {
                let writing = std::pin::pin!(connection.write(part));
                let answered = std::pin::pin!(connection.readable());
                match futures::future::select(writing, answered).await {
                    Either::Left((written, _)) => {
                        written?;
                        false
                    }
                    Either::Right(_) => true,
                }
            };
            if early {
                // The rest would be taken for another request, so this connection is not kept.
                connection.forbid_keeping();
                return Ok(());
            }
        }
        Ok(())
    }

    fn head(&self, grant: &Grant, left: Duration, last_event: Option<u64>) -> Vec<u8> {
        let mut head = Vec::with_capacity(1024 + self.body.len().min(64 * 1024));
        let request = &self.request;
        head.extend_from_slice(request.method.as_bytes());
        head.push(b' ');
        head.extend_from_slice(request.target.as_bytes());
        head.extend_from_slice(b" HTTP/1.1\r\n");
        for field in request.fields.iter() {
            let name = field.name.as_str();
            let is_dropped = request.fields.is_of_connection(name)
                || name.eq_ignore_ascii_case("Content-Length")
                || name.eq_ignore_ascii_case("Expect")
                || self.gateway.dialect.is_withheld(name);
            if !is_dropped {
                write_field(&mut head, name, &field.value);
            }
        }
        let outgoing = Outgoing {
            upstream: &grant.upstream,
            account: self.account.as_ref().map(|account| &account.name),
            patience: left,
            last_event: last_event.or(self.facts.last_event),
        };
        self.gateway.dialect.write_outgoing(&outgoing, &mut head);
        if request.framing != Framing::Empty || !self.body.is_empty() {
            write_field(
                &mut head,
                "Content-Length",
                self.body.len().to_string().as_bytes(),
            );
        } else if request.fields.all("Content-Length").next().is_some() {
            write_field(&mut head, "Content-Length", b"0");
        }
        head.extend_from_slice(b"\r\n");
        head
    }

    /// The request's id, for logs.
    pub fn id(&self) -> &str {
        self.facts.attempt.as_deref().unwrap_or("-")
    }
}

fn refuse(reason: Reason, pause: Duration) -> Own {
    match reason {
        Reason::Quota => Own::refusal(429, "the account's quota is used up", pause),
        Reason::Busy => Own::refusal(503, "the upstreams are busy", pause),
        Reason::NoUpstream => Own::refusal(503, "the service has no upstream", pause),
    }
}

/// Writes a field of a head.
pub fn write_field(head: &mut Vec<u8>, name: &str, value: &[u8]) {
    head.extend_from_slice(name.as_bytes());
    head.extend_from_slice(b": ");
    head.extend_from_slice(value);
    head.extend_from_slice(b"\r\n");
}

impl From<http::Error> for Own {
    fn from(error: http::Error) -> Self {
        match error {
            http::Error::HeadTooLarge(_) => Own::new(431, "the head is too large"),
            http::Error::BodyTooLarge(_) => Own::new(413, "the body is too large"),
            http::Error::Malformed(message) => Own::new(400, message),
            http::Error::Io(_) | http::Error::Ended => Own::new(400, "the request broke off"),
        }
    }
}
