//! The operators' HTTP interface: accepts release notes and answers queries about the system.
//! `docs/INTERFACE.md` describes it.

use std::sync::Arc;
use std::time::{Duration, SystemTime};

use gooseberrylb_config::answer::Accepted;
use gooseberrylb_config::clock::Clock;
use gooseberrylb_config::directory::evacuation::Order;
use gooseberrylb_config::note::Note;
use gooseberrylb_config::number;
use gooseberrylb_config::settings::secret::Secret;
use gooseberrylb_control::state::{Command, Reply};
use http_types::{Response, StatusCode, mime};

use crate::answer::{Error, json};
use crate::control::{self, Answer, Failure, Identity, Question, evacuation};
use crate::metrics::METRICS;

mod query;
mod sheet;

/// Maximum size of a release note, in bytes.
const MAX_NOTE_BYTES: u64 = 4 * 1024 * 1024;

/// Delay after which an operator may retry a request that the control state did not answer.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// State shared by the handlers of operators' requests.
pub struct Operators {
    /// Identity of this instance.
    pub identity: Identity,
    /// Source of the current time.
    pub clock: Arc<dyn Clock>,
    /// Handle of the control thread.
    pub control: control::Handle,
    /// Bearer token required from operators.
    pub token: Secret,
}

type Request = tide::Request<Arc<Operators>>;

/// Returns the application served to operators. Commands and queries have separate handlers.
pub fn app(operators: Arc<Operators>) -> tide::Server<Arc<Operators>> {
    let mut app = tide::with_state(operators);
    app.at("/health").get(health);
    app.at("/metrics").get(metrics);
    app.at("/v1/notes").post(submit).get(notes);
    app.at("/v1/notes/:number").get(note);
    app.at("/v1/status").get(status);
    app.at("/v1/declaration").get(declaration);
    app.at("/v1/upstreams").get(upstreams);
    app.at("/v1/rollouts").get(rollouts);
    app.at("/v1/placement").get(placement);
    app.at("/v1/evacuations").get(evacuations);
    app.at("/v1/evacuations/:data_centre")
        .post(evacuate)
        .delete(end_evacuation);
    app.at("/v1/report").get(report);
    app.at("/v1/audit").get(audit);
    app.at("/").all(not_found);
    app.at("/*").all(not_found);
    app
}

async fn not_found(request: Request) -> tide::Result {
    let message = format!("there is no {} {}", request.method(), request.url().path());
    Ok(answer(Error::new(
        StatusCode::NotFound,
        "not_found",
        message,
    )))
}

fn answer(response: impl Into<Response>) -> tide::Response {
    response.into().into()
}

/// Returns an error unless the request carries the operators' token.
fn check_token(request: &Request) -> Result<(), Error> {
    let header = request
        .header("Authorization")
        .map(|values| values.as_str());
    let token = header.and_then(|value| value.strip_prefix("Bearer "));
    match token {
        Some(token) if request.state().token.matches(token) => Ok(()),
        _ => {
            let message = "the operators' token is required";
            Err(
                Error::new(StatusCode::Unauthorized, "unauthorized", message).with_finding(
                    "Authorization",
                    "send the header `Authorization: Bearer TOKEN`",
                ),
            )
        }
    }
}

async fn health(_: Request) -> tide::Result {
    Ok(answer(json(
        StatusCode::Ok,
        &serde_json::json!({ "status": "ok" }),
    )))
}

async fn metrics(_: Request) -> tide::Result {
    let mut response = Response::new(StatusCode::Ok);
    response.set_body(METRICS.text());
    response.set_content_type(mime::PLAIN);
    Ok(answer(response))
}

/// Handles the submission of a release note.
async fn submit(mut request: Request) -> tide::Result {
    if let Err(error) = check_token(&request) {
        return Ok(answer(error));
    }
    let text = match read_note(&mut request).await {
        Ok(text) => text,
        Err(error) => return Ok(answer(error)),
    };
    let note = match Note::parse(&text) {
        Ok(note) => Box::new(note),
        Err(findings) => return Ok(answer(invalid_note().with_findings(findings))),
    };
    let operators = request.state();
    let via = operators.identity.name.clone();
    let at = operators.clock.wall();
    let result = operators
        .control
        .propose(Command::Submit { note, via, at })
        .await;
    Ok(answer(reply_response(result)))
}

/// Returns the body of a request, limited to [`MAX_NOTE_BYTES`].
async fn read_note(request: &mut Request) -> Result<String, Error> {
    use async_std::io::ReadExt;
    let mut bytes = Vec::new();
    let mut bounded = request.take_body().take(MAX_NOTE_BYTES + 1);
    let read = bounded.read_to_end(&mut bytes).await;
    if bytes.len() as u64 > MAX_NOTE_BYTES {
        let message = format!("the note is larger than {MAX_NOTE_BYTES} bytes");
        return Err(Error::new(
            StatusCode::PayloadTooLarge,
            "note_too_large",
            message,
        ));
    }
    let bad_body = |message: String| Error::new(StatusCode::BadRequest, "bad_body", message);
    read.map_err(|error| bad_body(format!("the note cannot be read: {error}")))?;
    String::from_utf8(bytes).map_err(|error| bad_body(format!("the note is not UTF-8: {error}")))
}

fn invalid_note() -> Error {
    let message = "the note cannot be accepted; nothing was changed";
    Error::new(StatusCode::UnprocessableEntity, "invalid_note", message)
}

/// Returns the response for the reply to a submitted note.
fn reply_response(result: Result<Reply, Failure>) -> Response {
    match result {
        Ok(Reply::Accepted(acceptance)) => json(
            StatusCode::Ok,
            &Accepted {
                note: acceptance.note,
                revision: acceptance.revision,
                digest: acceptance.digest,
            },
        ),
        Ok(Reply::Conflict(other)) => {
            let at = humantime::format_rfc3339_millis(other.at);
            let message = format!(
                "note {} was accepted with other content from {} at {at}, digest {}",
                other.note, other.author, other.digest.0
            );
            Error::new(StatusCode::Conflict, "note_conflict", message)
                .with_finding("note", "give the note another number")
                .into()
        }
        Ok(Reply::Invalid(findings)) => invalid_note().with_findings(findings).into(),
        Ok(Reply::Applied | Reply::Stale | Reply::Busy) => {
            let message = "the control state gave an answer that does not fit a note";
            Error::new(StatusCode::InternalServerError, "internal", message).into()
        }
        Err(failure) => failure_error(&failure).into(),
    }
}

/// Returns the error response for a failed request to the control state.
fn failure_error(failure: &Failure) -> Error {
    let code = match failure {
        Failure::Unreachable | Failure::NotLeader { .. } => "no_leader",
        Failure::Full => "disk_full",
        Failure::Encoding(_) => "bad_command",
    };
    Error::new(StatusCode::ServiceUnavailable, code, failure.to_string())
        .with_retry_after(RETRY_AFTER)
}

/// Queries the control state and returns its answer; `missing` is the message of a 404 response.
async fn answer_query(request: &Request, question: Question, missing: &str) -> tide::Response {
    if let Err(error) = check_token(request) {
        return answer(error);
    }
    match request.state().control.query(question).await {
        Ok(Answer::Found(text)) => {
            let mut response = Response::new(StatusCode::Ok);
            response.set_body(&*text);
            response.set_content_type(mime::JSON);
            answer(response)
        }
        Ok(Answer::Missing) => answer(Error::new(StatusCode::NotFound, "not_found", missing)),
        Err(failure) => answer(failure_error(&failure)),
    }
}

async fn note(request: Request) -> tide::Result {
    let text = request.param("number").unwrap_or_default();
    let Ok(number) = text.parse::<number::Note>() else {
        let error = Error::new(
            StatusCode::BadRequest,
            "bad_number",
            "a note's number is required",
        )
        .with_finding("number", &format!("{text:?} is not a whole number"));
        return Ok(answer(error));
    };
    let missing = format!("there is no note {number}");
    Ok(answer_query(&request, Question::Note(number), &missing).await)
}

async fn notes(request: Request) -> tide::Result {
    Ok(answer_query(&request, Question::Notes, "there are no notes").await)
}

async fn declaration(request: Request) -> tide::Result {
    let missing = "no declaration was accepted";
    Ok(answer_query(&request, Question::Declaration, missing).await)
}

async fn upstreams(request: Request) -> tide::Result {
    Ok(answer_query(&request, Question::Upstreams, "there is no list").await)
}

async fn rollouts(request: Request) -> tide::Result {
    Ok(answer_query(&request, Question::Rollouts, "there are no rollouts").await)
}

async fn placement(request: Request) -> tide::Result {
    match query::placement(&request) {
        Ok(question) => Ok(answer_query(&request, question, "there is no such route").await),
        Err(error) => Ok(answer(error)),
    }
}

async fn evacuations(request: Request) -> tide::Result {
    let missing = "there are no evacuations";
    Ok(answer_query(&request, Question::Evacuations, missing).await)
}

async fn evacuate(request: Request) -> tide::Result {
    Ok(submit_evacuation(&request, true).await)
}

async fn end_evacuation(request: Request) -> tide::Result {
    Ok(submit_evacuation(&request, false).await)
}

/// Submits an order to evacuate a data centre, or to end that.
async fn submit_evacuation(request: &Request, active: bool) -> tide::Response {
    if let Err(error) = check_token(request) {
        return answer(error);
    }
    let name = request.param("data_centre").unwrap_or_default();
    let order = Order {
        data_centre: name.into(),
        active,
    };
    let operators = request.state();
    match evacuation::submit(&operators.control, order, operators.clock.wall()).await {
        Ok(evacuation::Outcome::Accepted) => {
            let body = serde_json::json!({ "data_centre": name, "evacuated": active });
            answer(json(StatusCode::Ok, &body))
        }
        Ok(evacuation::Outcome::UnknownDataCentre) => {
            let message = format!("there is no data centre {name}");
            let code = "unknown_data_centre";
            answer(Error::new(StatusCode::NotFound, code, message))
        }
        Err(failure) => answer(failure_error(&failure)),
    }
}

async fn status(request: Request) -> tide::Result {
    Ok(answer_query(&request, Question::Status, "there is no status").await)
}

async fn audit(request: Request) -> tide::Result {
    match query::audit(&request) {
        Ok(question) => Ok(answer_query(&request, question, "there is no audit trail").await),
        Err(error) => Ok(answer(error)),
    }
}

async fn report(request: Request) -> tide::Result {
    if let Err(error) = check_token(&request) {
        return Ok(answer(error));
    }
    let parameters = match query::report(&request, request.state().clock.wall()) {
        Ok(parameters) => parameters,
        Err(error) => return Ok(answer(error)),
    };
    let question = Question::Report(parameters.filter);
    let response = answer_query(&request, question, "there is no report").await;
    Ok(query::format(response, parameters.format).await)
}

/// Returns the default start of a report that ends at `to`.
fn default_report_start(to: SystemTime) -> SystemTime {
    const DAY: Duration = Duration::from_secs(24 * 60 * 60);
    to.checked_sub(DAY).unwrap_or(SystemTime::UNIX_EPOCH)
}
