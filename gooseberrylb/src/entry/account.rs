//! Records the outcome of each request in the usage report and the metrics, and reports it to the
//! scheduler.

use std::time::Duration;

use gooseberrylb_config::directory::Cell;
use gooseberrylb_config::id;
use gooseberrylb_control::state::{Counts, Label};
use gooseberrylb_policy::request::{Answer, Figures, Outcome, Request};
use gooseberrylb_policy::scheduler::{End, Grant};

use super::Entry;
use super::incoming::Incoming;
use crate::metrics::METRICS;

/// Result of a request as the caller was told it, for the usage report.
#[derive(Debug, Clone)]
pub struct Verdict {
    /// Outcome of the request.
    pub outcome: Outcome,
    /// Whether a scheduling decision refused the request.
    pub refused: bool,
    /// Version to which the request was dispatched.
    pub version: Option<id::Version>,
    /// Measured times and token counts.
    pub figures: Figures,
}

impl Verdict {
    /// Returns the verdict on a request that no upstream started.
    pub fn not_run(refused: bool) -> Self {
        let outcome = Outcome::NotRun;
        Self {
            outcome,
            refused,
            version: None,
            figures: Figures::default(),
        }
    }

    /// Returns the verdict on a request that an upstream may have run.
    pub fn unknown(version: Option<id::Version>) -> Self {
        let outcome = Outcome::Unknown;
        Self {
            outcome,
            refused: false,
            version,
            figures: Figures::default(),
        }
    }

    /// Returns the verdict on a request that was served.
    pub fn served(version: Option<id::Version>, figures: Figures) -> Self {
        Self {
            outcome: Outcome::Served,
            refused: false,
            version,
            figures,
        }
    }
}

/// Counts a request in the metrics and the usage report; called once per request, when its outcome
/// is known.
pub fn count(entry: &Entry, incoming: &Incoming, verdict: &Verdict) {
    let tier = incoming.route.tier;
    let outcome = verdict.outcome.to_string();
    let labels = [incoming.service.as_str(), &tier.to_string(), &outcome];
    METRICS.requests.with_label_values(&labels).inc();
    let figures = &verdict.figures;
    let uncached = figures.prompt.0.saturating_sub(figures.cached.0);
    let label = Label {
        account: incoming.account.clone(),
        tier,
        service: incoming.service.clone(),
        version: verdict.version.clone(),
        outcome: verdict.outcome,
        refused: verdict.refused,
    };
    let counts = Counts {
        requests: 1,
        prompt_tokens: uncached,
        output_tokens: figures.output.0,
        wasted_tokens: 0,
    };
    count_tokens(incoming, "read", uncached);
    count_tokens(incoming, "cached", figures.cached.0);
    count_tokens(incoming, "written", figures.output.0);
    entry.tallies.count(label, counts);
}

/// Counts a request's estimated prompt tokens as wasted: the upstream may have processed them, but
/// the caller got no complete response.
pub fn count_wasted(entry: &Entry, incoming: &Incoming, request: &Request, version: &id::Version) {
    let wasted = request.cost.prompt.0;
    count_tokens(incoming, "wasted", wasted);
    let label = Label {
        account: incoming.account.clone(),
        tier: incoming.route.tier,
        service: incoming.service.clone(),
        version: Some(version.clone()),
        outcome: Outcome::Unknown,
        refused: false,
    };
    entry.tallies.count(
        label,
        Counts {
            wasted_tokens: wasted,
            ..Counts::default()
        },
    );
}

fn count_tokens(incoming: &Incoming, kind: &str, tokens: u64) {
    let tier = incoming.route.tier.to_string();
    let labels = [incoming.service.as_str(), &tier, kind];
    METRICS.tokens.with_label_values(&labels).inc_by(tokens);
}

/// Records the time from the arrival of a request to the first token, or to a plain service's
/// response, in the metrics.
pub fn observe_first_token(incoming: &Incoming, waited: Duration) {
    let tier = incoming.route.tier.to_string();
    let labels = [incoming.service.as_str(), &tier];
    METRICS
        .first_token
        .with_label_values(&labels)
        .observe(waited.as_secs_f64());
}

/// Builder of the report on the end of a dispatched request, which [`Self::send`] sends to the
/// scheduler.
pub struct EndReport {
    cell: Cell,
    end: End,
}

impl EndReport {
    /// Returns the report for a request that was dispatched under `grant`, with an unknown outcome
    /// until it is sent.
    pub fn new(cell: Cell, request: &Request, grant: &Grant) -> Self {
        let end = End {
            id: request.id.clone(),
            ticket: grant.ticket,
            outcome: Outcome::Unknown,
            failed: false,
            cancelled: false,
            figures: Figures::default(),
            answer: None,
        };
        Self { cell, end }
    }

    /// Returns the measured times and token counts, to be filled in.
    pub fn figures(&mut self) -> &mut Figures {
        &mut self.end.figures
    }

    /// Marks the request as failed by the upstream.
    pub fn with_failure(mut self) -> Self {
        self.end.failed = true;
        self
    }

    /// Marks the request as cancelled, as the caller hung up.
    pub fn with_cancellation(mut self) -> Self {
        self.end.cancelled = true;
        self
    }

    /// Adds the answer that is stored for a resent idempotency key.
    pub fn with_answer(mut self, answer: Option<Answer>) -> Self {
        self.end.answer = answer;
        self
    }

    /// Sends the report with `outcome` to the scheduler.
    pub fn send(mut self, entry: &Entry, outcome: Outcome) {
        self.end.outcome = outcome;
        entry.traffic.end(self.cell, self.end);
    }
}
