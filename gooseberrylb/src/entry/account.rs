//! Accounts for what became of each request: in the report, in the metrics and at the scheduler.

use std::time::Duration;

use gooseberrylb_config::directory::Cell;
use gooseberrylb_config::id;
use gooseberrylb_control::state::{Counts, Label};
use gooseberrylb_policy::request::{Answer, Figures, Outcome, Request};
use gooseberrylb_policy::scheduler::{End, Grant};

use super::Entry;
use super::incoming::Incoming;
use crate::metrics::METRICS;

/// What a caller was told, for the report.
#[derive(Debug, Clone)]
pub struct Verdict {
    /// The outcome.
    pub outcome: Outcome,
    /// Whether the system refused it.
    pub refused: bool,
    /// The version that it was dispatched to.
    pub version: Option<id::Version>,
    /// What was measured.
    pub figures: Figures,
}

impl Verdict {
    /// A request that no upstream started.
    pub fn not_run(refused: bool) -> Self {
        let outcome = Outcome::NotRun;
        Self {
            outcome,
            refused,
            version: None,
            figures: Figures::default(),
        }
    }

    /// A request whose upstream may have run it.
    pub fn unknown(version: Option<id::Version>) -> Self {
        let outcome = Outcome::Unknown;
        Self {
            outcome,
            refused: false,
            version,
            figures: Figures::default(),
        }
    }

    /// A request that was served.
    pub fn served(version: Option<id::Version>, figures: Figures) -> Self {
        Self {
            outcome: Outcome::Served,
            refused: false,
            version,
            figures,
        }
    }
}

/// Counts a request once, when its caller was told what became of it.
pub fn count(entry: &Entry, incoming: &Incoming, verdict: &Verdict) {
    let tier = incoming.route.tier;
    let outcome = verdict.outcome.to_string();
    let labels = [incoming.service.as_str(), &tier.to_string(), &outcome];
    METRICS.requests.with_label_values(&labels).inc();
    let figures = &verdict.figures;
    let read = figures.prompt.0.saturating_sub(figures.cached.0);
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
        prompt_tokens: read,
        output_tokens: figures.output.0,
        wasted_tokens: 0,
    };
    count_tokens(incoming, "read", read);
    count_tokens(incoming, "cached", figures.cached.0);
    count_tokens(incoming, "written", figures.output.0);
    entry.tallies.count(label, counts);
}

/// Counts tokens that an upstream read for nothing.
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

/// Counts the time to the first byte of an answer.
pub fn observe_first_token(incoming: &Incoming, waited: Duration) {
    let tier = incoming.route.tier.to_string();
    let labels = [incoming.service.as_str(), &tier];
    METRICS
        .first_token
        .with_label_values(&labels)
        .observe(waited.as_secs_f64());
}

/// What the scheduler is told of a dispatched request; told once, when the value is finished.
pub struct Ending {
    cell: Cell,
    end: End,
}

impl Ending {
    /// Begins the account of a request dispatched under `grant`: until something better is known,
    /// the upstream may have run it.
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

    /// The figures, to be filled in.
    pub fn figures(&mut self) -> &mut Figures {
        &mut self.end.figures
    }

    /// Notes that the upstream is to blame.
    pub fn with_failure(mut self) -> Self {
        self.end.failed = true;
        self
    }

    /// Notes that the caller hung up.
    pub fn with_cancellation(mut self) -> Self {
        self.end.cancelled = true;
        self
    }

    /// Keeps an answer for a resent key.
    pub fn with_answer(mut self, answer: Option<Answer>) -> Self {
        self.end.answer = answer;
        self
    }

    /// Tells the scheduler.
    pub fn finish(mut self, entry: &Entry, outcome: Outcome) {
        self.end.outcome = outcome;
        entry.traffic.end(self.cell, self.end);
    }
}
