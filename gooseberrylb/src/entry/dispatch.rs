//! The way of a request through the entry: wait for leave, dispatch, and try elsewhere only where
//! that cannot run it twice.

use std::sync::Arc;
use std::time::Duration;

use async_std::task;
use futures::FutureExt;
use gooseberrylb_config::directory::Cell;
use gooseberrylb_policy::request::{Answer, Id, Key, Outcome, Request};
use gooseberrylb_policy::scheduler::{Decision, Grant, Refusal, Running};
use http_types::{Response, StatusCode};

use super::account::{self, Verdict};
use super::attempt::{Attempt, Attempted, set_content_type};
use super::cost::Prompt;
use super::incoming::Incoming;
use super::{Entry, InFlight, join};
use crate::answer::{Error, REQUEST_OUTCOME, SERVED_UPSTREAM, SERVED_VERSION};
use crate::metrics::METRICS;

/// How often a request is dispatched at most.
const MAX_ATTEMPTS: u32 = 3;

/// When a caller may try again that came to an instance cut off from the others.
const CUT_OFF_RETRY: Duration = Duration::from_secs(1);

/// How long a request waits for the configuration to be fresh.
const FRESH_PATIENCE: Duration = Duration::from_secs(1);

/// The pause between two looks at whether it is.
const FRESH_INTERVAL: Duration = Duration::from_millis(10);

/// What becomes of a decision.
enum Next {
    /// The caller is answered.
    Answer(Response),
    /// Another upstream is asked for.
    Again,
}

/// Serves one request.
pub async fn serve(entry: Arc<Entry>, incoming: Incoming) -> Response {
    let held = entry.track();
    let prompt = match Prompt::read(&incoming) {
        Ok(prompt) => prompt,
        Err(error) => return refuse(&entry, &incoming, false, error),
    };
    entry.retries.earn();
    Serving {
        cell: entry.cell(&incoming.service),
        entry,
        incoming: Arc::new(incoming),
        prompt,
    }
    .run(held)
    .await
}

/// Answers a request that was not run, and counts it.
fn refuse(entry: &Entry, incoming: &Incoming, refused: bool, error: Error) -> Response {
    account::count(entry, incoming, &Verdict::not_run(refused));
    error.with_outcome(Outcome::NotRun).into()
}

struct Serving {
    entry: Arc<Entry>,
    incoming: Arc<Incoming>,
    prompt: Prompt,
    cell: Cell,
}

impl Serving {
    async fn run(self, held: InFlight) -> Response {
        let mut held = Some(held);
        let mut attempts = 0;
        // One id for all attempts, so that the scheduler knows a retry for what it is, even where it
        // hears of it before the end of the attempt before.
        let id = self.entry.next_id();
        loop {
            if !self.wait_until_fresh().await {
                return self.refuse_cut_off();
            }
            let request = self.request(&id);
            let Some(decision) = self.wait(request.clone()).await else {
                return self.refuse_hung_up();
            };
            let next = match decision {
                Decision::Grant(grant) => {
                    attempts += 1;
                    let held = held.take().unwrap_or_else(|| self.entry.track());
                    self.dispatch(request, grant, attempts, held).await
                }
                Decision::Refuse {
                    reason,
                    retry_after,
                } => Next::Answer(self.refuse(reason, retry_after)),
                Decision::Join { grant, id } => {
                    let held = held.take().unwrap_or_else(|| self.entry.track());
                    Next::Answer(join::serve(&self.entry, &self.incoming, grant, id, held).await)
                }
                Decision::Ended {
                    outcome,
                    version,
                    upstream,
                    answer,
                } => {
                    let served = Served { version, upstream };
                    Next::Answer(self.repeat(outcome, served, answer))
                }
            };
            match next {
                Next::Answer(response) => return response,
                Next::Again => {}
            }
        }
    }

    /// Waits for a short while until the configuration may be acted on: an instance that has just
    /// started, or whose leader has just changed, soon hears of it.
    async fn wait_until_fresh(&self) -> bool {
        let clock = &self.entry.clock;
        let patience = (clock.now() + FRESH_PATIENCE).min(self.incoming.deadline);
        while !self.entry.published.read().is_fresh(clock.now()) {
            if clock.now() >= patience {
                return false;
            }
            task::sleep(FRESH_INTERVAL).await;
        }
        true
    }

    fn request(&self, id: &Id) -> Request {
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

    /// Waits for the decision; a caller that hangs up meanwhile gives the request up.
    async fn wait(&self, request: Request) -> Option<Decision> {
        let decision = self.entry.traffic.enqueue(self.cell.clone(), request);
        let Some(peer) = &self.incoming.peer else {
            return decision.await.ok();
        };
        futures::select! {
            decision = decision.fuse() => decision.ok(),
            () = peer.hung_up().fuse() => None,
        }
    }

    async fn dispatch(
        &self,
        request: Request,
        grant: Grant,
        attempts: u32,
        held: InFlight,
    ) -> Next {
        let snapshot = self.entry.published.read();
        let upstream = snapshot.directory.upstreams.get(&grant.upstream);
        let fresh = snapshot.is_fresh(self.entry.clock.now());
        let Some(address) = upstream.map(|upstream| upstream.address).filter(|_| fresh) else {
            // The upstream was withdrawn, or this instance was cut off, while the grant was under way.
            self.entry.traffic.withdraw(self.cell.clone(), request.id);
            return if attempts < MAX_ATTEMPTS {
                Next::Again
            } else {
                self.refuse_again()
            };
        };
        let repeatable = request.repeatable;
        let may_retry = attempts < MAX_ATTEMPTS && self.entry.retries.spend_if(repeatable);
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
        let attempted = attempt.run(&self.prompt, held).await;
        if may_retry && !matches!(attempted, Attempted::Unknown) {
            self.entry.retries.give_back();
        }
        match attempted {
            Attempted::Answered(response) => Next::Answer(response),
            Attempted::NotRun if attempts < MAX_ATTEMPTS => Next::Again,
            Attempted::NotRun => self.refuse_again(),
            Attempted::Unknown if may_retry && repeatable => Next::Again,
            Attempted::Unknown => {
                let verdict = Verdict::unknown(Some(version));
                account::count(&self.entry, &self.incoming, &verdict);
                Next::Answer(unknown().into())
            }
            Attempted::Concluded => Next::Answer(unknown().into()),
        }
    }

    fn refuse_cut_off(&self) -> Response {
        let message = "this instance is cut off from the others; ask another for addresses";
        let error = Error::new(StatusCode::ServiceUnavailable, "cut_off", message)
            .with_retry_after(CUT_OFF_RETRY);
        refuse(&self.entry, &self.incoming, false, error)
    }

    fn refuse_hung_up(&self) -> Response {
        let message = "the caller hung up before the request was dispatched";
        let error = Error::new(StatusCode::ServiceUnavailable, "hung_up", message);
        refuse(&self.entry, &self.incoming, false, error)
    }

    fn refuse_again(&self) -> Next {
        let message = "the granted upstreams could not be reached";
        let error = Error::new(StatusCode::ServiceUnavailable, "unreachable", message)
            .with_retry_after(CUT_OFF_RETRY);
        Next::Answer(refuse(&self.entry, &self.incoming, false, error))
    }

    fn refuse(&self, reason: Refusal, retry_after: Duration) -> Response {
        let (status, code, message) = explain(reason);
        let tier = self.incoming.route.tier.to_string();
        let labels = [self.incoming.service.as_str(), &tier, code];
        METRICS.refusals.with_label_values(&labels).inc();
        let error = Error::new(status, code, message).with_retry_after(retry_after);
        refuse(&self.entry, &self.incoming, true, error)
    }

    /// Tells the caller of a resent key how the request ended that came first.
    fn repeat(&self, outcome: Outcome, served: Served, answer: Option<Answer>) -> Response {
        let mut response = match (outcome, answer) {
            (Outcome::Served, Some(answer)) => stored(answer),
            (Outcome::Served, None) => {
                let message = "this key was served before, and its answer is not kept any more";
                Error::new(StatusCode::Conflict, "served_before", message).into()
            }
            (Outcome::NotRun, _) => {
                let message = "the request that came first with this key was not run";
                Error::new(StatusCode::ServiceUnavailable, "not_run", message).into()
            }
            (Outcome::Unknown, _) => unknown().into(),
        };
        response.insert_header(REQUEST_OUTCOME, outcome.to_string());
        if let Some(version) = &served.version {
            response.insert_header(SERVED_VERSION, version.as_str());
        }
        if let Some(upstream) = &served.upstream {
            response.insert_header(SERVED_UPSTREAM, upstream.as_str());
        }
        let verdict = Verdict {
            outcome,
            version: served.version,
            ..Verdict::not_run(false)
        };
        account::count(&self.entry, &self.incoming, &verdict);
        response
    }
}

/// Who served a request.
struct Served {
    version: Option<gooseberrylb_config::id::Version>,
    upstream: Option<gooseberrylb_config::id::Upstream>,
}

fn stored(answer: Answer) -> Response {
    let status = StatusCode::try_from(answer.status).unwrap_or(StatusCode::Ok);
    let mut response = Response::new(status);
    response.set_body(answer.body.to_vec());
    set_content_type(&mut response, answer.content_type.as_deref());
    response
}

/// The answer to a request that an upstream may have run.
pub fn unknown() -> Error {
    let message = "an upstream may have run the request, and its answer was lost";
    Error::new(StatusCode::BadGateway, "unknown", message).with_outcome(Outcome::Unknown)
}

fn explain(reason: Refusal) -> (StatusCode, &'static str, &'static str) {
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
