//! Records of the responses that callers received, and counts of them that tests compare with the
//! report of the system.

use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

use gooseberrylb_policy::request::Outcome;

/// Whether a response is complete and belongs to the caller's own request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Check {
    /// The response is complete and belongs to the request.
    Complete,
    /// The response visibly ended early.
    Truncated,
    /// The response ended properly but is not the expected one; holds the reason.
    Mismatch(String),
    /// There is no upstream's response to check.
    None,
}

/// Result of one request, as its caller saw it.
#[derive(Debug, Clone)]
pub struct Record {
    /// Name of the service.
    pub service: String,
    /// Name of the route.
    pub route: String,
    /// Idempotency key, if one was sent.
    pub key: Option<String>,
    /// Digest of the prompt or body, as upstreams log it for each execution.
    pub digest: String,
    /// HTTP status; `None` if there was no response.
    pub status: Option<u16>,
    /// Outcome stated in the response; `None` if none was stated.
    pub outcome: Option<Outcome>,
    /// Version named in the response.
    pub version: Option<String>,
    /// Upstream named in the response.
    pub upstream: Option<String>,
    /// Value of `Retry-After`, if any.
    pub retry_after: Option<Duration>,
    /// Result of the check of the response.
    pub check: Check,
    /// Id under which the engine ran the request.
    pub request_id: Option<String>,
    /// Time from sending to the first byte of the response.
    pub first_byte: Duration,
    /// Time from sending to the end of the response.
    pub total: Duration,
    /// Number of times the request was sent.
    pub attempts: u32,
    /// Error or body of a failed request; `None` on success.
    pub error: Option<String>,
    /// First send whose outcome was unknown, if the request was sent again because of it.
    pub uncertain: Option<Box<Record>>,
}

impl Record {
    /// Whether the caller received the complete response to its own request.
    pub fn is_served(&self) -> bool {
        self.outcome == Some(Outcome::Served) && self.check == Check::Complete
    }
}

impl fmt::Display for Record {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let text = |value: &Option<String>| value.clone().unwrap_or_else(|| "-".into());
        let status = self.status.map_or("-".into(), |status| status.to_string());
        let outcome = self.outcome.map_or("no answer".into(), |o| o.to_string());
        write!(
            f,
            "{}/{}: {outcome}, status {status}, version {}, upstream {}, {:?}, {} ms",
            self.service,
            self.route,
            text(&self.version),
            text(&self.upstream),
            self.check,
            self.total.as_millis()
        )?;
        if let Some(first) = &self.uncertain {
            let error = first.error.as_deref().unwrap_or("-");
            write!(
                f,
                ", after {} sends, the first: [{first}, error {error}]",
                self.attempts
            )?;
        }
        Ok(())
    }
}

/// Counts of records by outcome and by the check of their response.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Tally {
    /// Number of requests by the outcome their callers were told.
    pub by_outcome: BTreeMap<Option<Outcome>, usize>,
    /// Number of responses that ended properly but were not the expected ones.
    pub mismatched: usize,
    /// Number of responses that visibly ended early.
    pub truncated: usize,
}

impl Tally {
    /// Returns the counts of `records`.
    pub fn new<'a>(records: impl IntoIterator<Item = &'a Record>) -> Self {
        let mut tally = Self::default();
        for record in records {
            *tally.by_outcome.entry(record.outcome).or_default() += 1;
            match record.check {
                Check::Mismatch(_) => tally.mismatched += 1,
                Check::Truncated => tally.truncated += 1,
                Check::Complete | Check::None => {}
            }
        }
        tally
    }

    /// Returns the number of requests with an outcome.
    pub fn count(&self, outcome: Outcome) -> usize {
        self.by_outcome.get(&Some(outcome)).copied().unwrap_or(0)
    }

    /// Returns the number of requests without an outcome.
    pub fn unanswered(&self) -> usize {
        self.by_outcome.get(&None).copied().unwrap_or(0)
    }
}

impl fmt::Display for Tally {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (outcome, count) in &self.by_outcome {
            match outcome {
                Some(outcome) => write!(f, "{outcome} {count}, ")?,
                None => write!(f, "no answer {count}, ")?,
            }
        }
        write!(
            f,
            "truncated {}, mismatched {}",
            self.truncated, self.mismatched
        )
    }
}
