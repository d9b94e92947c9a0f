//! Handles a request from its arrival to its response: waits for the scheduler's decision,
//! dispatches the request, and retries it at another upstream only if it was not run or is
//! repeatable.

use std::sync::Arc;
use std::time::Duration;

use async_std::task;
use futures::FutureExt;
use gooseberrylb_config::directory::Cell;
use gooseberrylb_policy::request::{Answer, Id, Key, Outcome, Request};
use gooseberrylb_policy::scheduler::{Decision, Grant, Refusal, Running};
use http_types::{Response, StatusCode};

use super::account::{self, Verdict};
use super::attempt::{Attempt, AttemptOutcome, set_content_type};
use super::cost::Prompt;
use super::incoming::Incoming;
use super::{Entry, InFlight, join};
use crate::answer::{Error, REQUEST_OUTCOME, SERVED_UPSTREAM, SERVED_VERSION};
use crate::metrics::METRICS;

/// Maximum number of times that a request is dispatched.
const MAX_ATTEMPTS: u32 = 3;

/// Time after which callers should try again if this instance is cut off from the others, or could
/// not reach any granted upstream.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Time for which a request waits for a fresh configuration.
const FRESH_TIMEOUT: Duration = Duration::from_secs(1);

/// Interval between checks whether the configuration is fresh.
const FRESH_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Next step for a request after a decision.
enum Step {
    /// Respond to the caller.
    Respond(Response),
    /// Request another upstream from the scheduler.
    Retry,
}

/// Serves a request.
pub async fn serve(entry: Arc<Entry>, incoming: Incoming) -> Response {
    let in_flight = entry.track();
    let prompt = match Prompt::read(&incoming) {
        Ok(prompt) => prompt,
        Err(error) => return refuse(&entry, &incoming, false, error),
    };
    entry.retries.deposit();
    Handler {
        cell: entry.cell(&incoming.service),
        entry,
        incoming: Arc::new(incoming),
        prompt,
    }
    .run(in_flight)
    .await
}

/// Counts a request that was not run, and returns the error response.
fn refuse(entry: &Entry, incoming: &Incoming, refused: bool, error: Error) -> Response {
    account::count(entry, incoming, &Verdict::not_run(refused));
    error.with_outcome(Outcome::NotRun).into()
}

/// Handler of one request.
struct Handler {
    entry: Arc<Entry>,
    incoming: Arc<Incoming>,
    prompt: Prompt,
    cell: Cell,
}

impl Handler {
    /// Serves the request, with further attempts where they are allowed.
    async fn run(self, in_flight: InFlight) -> Response {
        let mut in_flight = Some(in_flight);
        let mut attempts = 0;
        // All attempts share one id, so that the scheduler recognises a retry even if it arrives
        // before the end of the previous attempt.
        let id = self.entry.next_id();
        loop {
            if !self.wait_until_fresh().await {
                return self.refuse_cut_off();
            }
            let request = self.new_request(&id);
            let Some(decision) = self.wait_for_decision(request.clone()).await else {
                return self.refuse_hung_up();
            };
            let step = match decision {
                Decision::Grant(grant) => {
                    attempts += 1;
                    let in_flight = in_flight.take().unwrap_or_else(|| self.entry.track());
                    self.dispatch(request, grant, attempts, in_flight).await
                }
                Decision::Refuse {
                    reason,
                    retry_after,
                } => Step::Respond(self.refuse(reason, retry_after)),
                Decision::Join { grant, id } => {
                    let in_flight = in_flight.take().unwrap_or_else(|| self.entry.track());
                    Step::Respond(
                        join::serve(&self.entry, &self.incoming, grant, id, in_flight).await,
                    )
                }
                Decision::Ended {
                    outcome,
                    version,
                    upstream,
                    answer,
                } => {
                    let served_by = ServedBy { version, upstream };
                    Step::Respond(self.answer_resent_key(outcome, served_by, answer))
                }
            };
            match step {
                Step::Respond(response) => return response,
                Step::Retry => {}
            }
        }
    }

    /// Waits briefly for a fresh configuration; returns whether there is one.
    ///
    /// An instance that has just started, or whose leader has just changed, soon receives it.
    async fn wait_until_fresh(&self) -> bool {
        let clock = &self.entry.clock;
        let give_up_at = (clock.now() + FRESH_TIMEOUT).min(self.incoming.deadline);
        while !self.entry.published.read().is_fresh(clock.now()) {
            if clock.now() >= give_up_at {
                return false;
            }
            task::sleep(FRESH_POLL_INTERVAL).await;
        }
        true
    }

    /// Returns the request to be queued at the scheduler.
    fn new_request(&self, id: &Id) -> Request {
        let incoming = &self.incoming;
        let account = incoming.account.clone();
        let key = incoming.key.clone().map(|text| Key {
            account: account.clone(),
            text,
        });
        Request {
            id: id.clone(),
            key,
            route: incoming.route.name.clone(),
            tier: incoming.route.tier,
            account,
            repeatable: incoming.route.repeatable,
            cost: self.prompt.cost,
            prefix: self.prompt.prefix.clone(),
            time_left: incoming
                .deadline
                .saturating_duration_since(self.entry.clock.now()),
            data_centre: self.entry.identity.instance.data_centre.clone(),
        }
    }

    /// Queues the request at the scheduler and waits for the decision.
    ///
    /// Returns `None` if the caller hangs up first, which withdraws the request, or if no decision
    /// can come any more.
    async fn wait_for_decision(&self, request: Request) -> Option<Decision> {
        let decision = self.entry.traffic.enqueue(self.cell.clone(), request);
        let Some(peer) = &self.incoming.peer else {
            return decision.await.ok();
        };
        futures::select! {
            decision = decision.fuse() => decision.ok(),
            () = peer.hung_up().fuse() => None,
        }
    }

    /// Dispatches the request to the granted upstream.
    async fn dispatch(
        &self,
        request: Request,
        grant: Grant,
        attempts: u32,
        in_flight: InFlight,
    ) -> Step {
        let snapshot = self.entry.published.read();
        let upstream = snapshot.directory.upstreams.get(&grant.upstream);
        let is_fresh = snapshot.is_fresh(self.entry.clock.now());
        let Some(address) = upstream
            .map(|upstream| upstream.address)
            .filter(|_| is_fresh)
        else {
            // The upstream was removed, or this instance was cut off, before the grant arrived.
            self.entry.traffic.withdraw(self.cell.clone(), request.id);
            return if attempts < MAX_ATTEMPTS {
                Step::Retry
            } else {
                self.refuse_unreachable()
            };
        };
        let repeatable = request.repeatable;
        let may_retry = attempts < MAX_ATTEMPTS && self.entry.retries.withdraw_if(repeatable);
        let running = Running {
            request: request.clone(),
            grant: grant.clone(),
        };
        self.entry.traffic.dispatched(self.cell.clone(), running);
        let version = grant.version.clone();
        let attempt = Attempt {
            entry: self.entry.clone(),
            incoming: self.incoming.clone(),
            request,
            grant,
            address,
            may_retry,
        };
        let outcome = attempt.run(&self.prompt, in_flight).await;
        if may_retry && !matches!(outcome, AttemptOutcome::Unknown) {
            self.entry.retries.refund();
        }
        match outcome {
            AttemptOutcome::Answered(response) => Step::Respond(response),
            AttemptOutcome::NotRun if attempts < MAX_ATTEMPTS => Step::Retry,
            AttemptOutcome::NotRun => self.refuse_unreachable(),
            AttemptOutcome::Unknown if may_retry && repeatable => Step::Retry,
            AttemptOutcome::Unknown => {
                let verdict = Verdict::unknown(Some(version));
                account::count(&self.entry, &self.incoming, &verdict);
                Step::Respond(unknown_outcome().into())
            }
            AttemptOutcome::UnknownCounted => Step::Respond(unknown_outcome().into()),
        }
    }

    fn refuse_cut_off(&self) -> Response {
        let message = "this instance is cut off from the others; ask another for addresses";
        let error = Error::new(StatusCode::ServiceUnavailable, "cut_off", message)
            .with_retry_after(RETRY_AFTER);
        refuse(&self.entry, &self.incoming, false, error)
    }

    fn refuse_hung_up(&self) -> Response {
        let message = "the caller hung up before the request was dispatched";
        let error = Error::new(StatusCode::ServiceUnavailable, "hung_up", message);
        refuse(&self.entry, &self.incoming, false, error)
    }

    fn refuse_unreachable(&self) -> Step {
        let message = "the granted upstreams could not be reached";
        let error = Error::new(StatusCode::ServiceUnavailable, "unreachable", message)
            .with_retry_after(RETRY_AFTER);
        Step::Respond(refuse(&self.entry, &self.incoming, false, error))
    }

    fn refuse(&self, reason: Refusal, retry_after: Duration) -> Response {
        let (status, code, message) = describe_refusal(reason);
        let tier = self.incoming.route.tier.to_string();
        let labels = [self.incoming.service.as_str(), &tier, code];
        METRICS.refusals.with_label_values(&labels).inc();
        let error = Error::new(status, code, message).with_retry_after(retry_after);
        refuse(&self.entry, &self.incoming, true, error)
    }

    /// Responds to a resent idempotency key with the outcome of the first request.
    fn answer_resent_key(
        &self,
        outcome: Outcome,
        served_by: ServedBy,
        answer: Option<Answer>,
    ) -> Response {
        let mut response = match (outcome, answer) {
            (Outcome::Served, Some(answer)) => stored_response(answer),
            (Outcome::Served, None) => {
                let message = "this key was served before, and its answer is not kept any more";
                Error::new(StatusCode::Conflict, "served_before", message).into()
            }
            (Outcome::NotRun, _) => {
                let message = "the request that came first with this key was not run";
                Error::new(StatusCode::ServiceUnavailable, "not_run", message).into()
            }
            (Outcome::Unknown, _) => unknown_outcome().into(),
        };
        response.insert_header(REQUEST_OUTCOME, outcome.to_string());
        if let Some(version) = &served_by.version {
            response.insert_header(SERVED_VERSION, version.as_str());
        }
        if let Some(upstream) = &served_by.upstream {
            response.insert_header(SERVED_UPSTREAM, upstream.as_str());
        }
        let verdict = Verdict {
            outcome,
            version: served_by.version,
            ..Verdict::not_run(false)
        };
        account::count(&self.entry, &self.incoming, &verdict);
        response
    }
}

/// Version and upstream that served a request.
struct ServedBy {
    version: Option<gooseberrylb_config::id::Version>,
    upstream: Option<gooseberrylb_config::id::Upstream>,
}

/// Returns the response for a stored answer.
fn stored_response(answer: Answer) -> Response {
    let status = StatusCode::try_from(answer.status).unwrap_or(StatusCode::Ok);
    let mut response = Response::new(status);
    response.set_body(answer.body.to_vec());
    set_content_type(&mut response, answer.content_type.as_deref());
    response
}

/// Returns the error for a request that an upstream may have run.
pub fn unknown_outcome() -> Error {
    let message = "an upstream may have run the request, and its answer was lost";
    Error::new(StatusCode::BadGateway, "unknown", message).with_outcome(Outcome::Unknown)
}

/// Returns the status, code and message for a refusal.
fn describe_refusal(reason: Refusal) -> (StatusCode, &'static str, &'static str) {
    match reason {
        Refusal::Shed => (
            StatusCode::TooManyRequests,
            "shed",
            "the service has more work of this importance or more than it can take",
        ),
        Refusal::TooLate => (
            StatusCode::GatewayTimeout,
            "too_late",
            "the request could not be finished within its time, so it was not started",
        ),
        Refusal::NoUpstream => (
            StatusCode::ServiceUnavailable,
            "no_upstream",
            "no upstream takes the service's traffic at present",
        ),
        Refusal::NotScheduler => (
            StatusCode::ServiceUnavailable,
            "no_scheduler",
            "the service's scheduler could not be reached in time",
        ),
        Refusal::NoBackup => (
            StatusCode::ServiceUnavailable,
            "no_backup",
            "the request's key could not be copied, so it was not started",
        ),
    }
}
