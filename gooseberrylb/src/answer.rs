//! HTTP answers that are not an upstream's: JSON bodies and errors in one shape.

use std::time::Duration;

use gooseberrylb_config::answer;
use gooseberrylb_config::finding::Findings;
use gooseberrylb_policy::request::Outcome;
use http_types::headers::RETRY_AFTER;
use http_types::{Body, Response, StatusCode, mime};
use serde::Serialize;

/// The header that tells a caller what became of its request.
pub const REQUEST_OUTCOME: &str = "Request-Outcome";

/// The header that names the version that served a request.
pub const SERVED_VERSION: &str = "Served-Version";

/// The header that names the upstream that served a request.
pub const SERVED_UPSTREAM: &str = "Served-Upstream";

/// An answer of `value` as JSON.
pub fn json<T: Serialize>(status: StatusCode, value: &T) -> Response {
    let mut response = Response::new(status);
    match Body::from_json(value) {
        Ok(body) => response.set_body(body),
        Err(_) => response.set_status(StatusCode::InternalServerError),
    }
    response.set_content_type(mime::JSON);
    response
}

/// An error that explains itself.
pub struct Error {
    /// The status.
    pub status: StatusCode,
    /// A code for programs.
    pub code: &'static str,
    /// A sentence for people.
    pub message: String,
    /// What exactly is wrong, where there is more to say.
    pub findings: Findings,
    /// What became of the request, where one was made.
    pub outcome: Option<Outcome>,
    /// When to come back, where that helps.
    pub retry_after: Option<Duration>,
}

impl Error {
    /// Makes an error without findings.
    pub fn new(status: StatusCode, code: &'static str, message: impl Into<String>) -> Self {
        Self {
            status,
            code,
            message: message.into(),
            findings: Findings::new(),
            outcome: None,
            retry_after: None,
        }
    }

    /// Adds one finding.
    pub fn with_finding(mut self, place: &str, message: &str) -> Self {
        self.findings.add(place, message);
        self
    }

    /// Adds findings.
    pub fn with_findings(mut self, findings: Findings) -> Self {
        self.findings.extend(findings);
        self
    }

    /// Says what became of the request.
    pub fn with_outcome(mut self, outcome: Outcome) -> Self {
        self.outcome = Some(outcome);
        self
    }

    /// Says when to come back.
    pub fn with_retry_after(mut self, after: Duration) -> Self {
        self.retry_after = Some(after);
        self
    }
}

/// Rounds up to whole seconds, which is all that `Retry-After` can say.
fn whole_seconds(duration: Duration) -> u64 {
    let rounded_up = duration.as_millis().div_ceil(1000);
    u64::try_from(rounded_up).unwrap_or(u64::MAX).max(1)
}

impl From<Error> for Response {
    fn from(error: Error) -> Self {
        let body = answer::Error::new(error.code, error.message).with_findings(error.findings);
        let mut response = json(error.status, &body);
        if let Some(outcome) = error.outcome {
            response.insert_header(REQUEST_OUTCOME, outcome.to_string());
        }
        if let Some(after) = error.retry_after {
            response.insert_header(RETRY_AFTER, whole_seconds(after).to_string());
        }
        response
    }
}
