//! What callers got, counted by themselves, to be held against what the system reports.

use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

use gooseberrylb_policy::request::Outcome;

/// Whether an answer is the whole answer to the caller's own request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Check {
    /// It is.
    Complete,
    /// It visibly broke off.
    Truncated,
    /// It came to a proper end and is not the answer to this request.
    Mismatch(String),
    /// There is no answer of an upstream to check.
    None,
}

/// What a caller got for one request.
#[derive(Debug, Clone)]
pub struct Record {
    /// The service asked.
    pub service: String,
    /// The route asked.
    pub route: String,
    /// The idempotency key sent.
    pub key: Option<String>,
    /// The digest of the prompt or body, by which upstreams log what they ran.
    pub digest: String,
    /// The status; `None` where no answer came.
    pub status: Option<u16>,
    /// What the caller was told; `None` where nothing was said.
    pub outcome: Option<Outcome>,
    /// The version named in the answer.
    pub version: Option<String>,
    /// The upstream named in the answer.
    pub upstream: Option<String>,
    /// When to come back, where that was said.
    pub retry_after: Option<Duration>,
    /// Whether the answer is whole.
    pub check: Check,
    /// The name that the engine knew the request by.
    pub request_id: Option<String>,
    /// From sending to the first byte of the answer.
    pub first_byte: Duration,
    /// From sending to the end.
    pub total: Duration,
    /// How often the request was sent.
    pub attempts: u32,
    /// Why there is no answer, where there is none.
    pub error: Option<String>,
}

impl Record {
    /// Whether the caller has the whole answer to its own request.
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
        )
    }
}

/// Counts of records by outcome.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Tally {
    /// The number of requests by what their callers were told.
    pub by_outcome: BTreeMap<Option<Outcome>, usize>,
    /// The number of answers that were not the whole answer to the caller's own request, though
    /// they came to a proper end.
    pub mismatched: usize,
    /// The number of answers that visibly broke off.
    pub truncated: usize,
}

impl Tally {
    /// Counts `records`.
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

    /// The number of requests with an outcome.
    pub fn count(&self, outcome: Outcome) -> usize {
        self.by_outcome.get(&Some(outcome)).copied().unwrap_or(0)
    }

    /// The number of requests that got no answer.
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
