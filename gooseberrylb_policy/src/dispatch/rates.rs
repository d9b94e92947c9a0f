//! How fast an upstream is, as far as it was measured.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::{Outcome, Request};

/// The weight of the newest answer in what is learned of one upstream.
pub(super) const NEWEST: f64 = 0.2;

/// The weight of the newest answer in what is learned of all upstreams together.
pub(super) const NEWEST_POOLED: f64 = 0.05;

/// What is expected of an engine before any was measured: a prompt token and an event, in seconds.
const UNMEASURED: (f64, f64) = (30e-6, 20e-3);

/// What is expected of a plain call before any was measured, in seconds.
const UNMEASURED_CALL: f64 = 20e-3;

/// The shortest prompt whose reading time tells something of the rate, in tokens.
const TELLING_PROMPT: u64 = 400;

/// How fast an upstream is, as far as it was measured; in seconds.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct Rates {
    prompt_token: Option<f64>,
    event: Option<f64>,
    call: Option<f64>,
}

pub(super) fn learn(known: &mut Option<f64>, new: f64, weight: f64) {
    *known = Some(known.map_or(new, |known| known + (new - known) * weight));
}

impl Rates {
    /// Takes in an answer to a prompt of so many tokens that waited behind others for `queued`.
    pub fn record(&mut self, prompt: u64, queued: Duration, outcome: &Outcome) {
        self.learn(prompt, queued, outcome, NEWEST);
    }

    pub(super) fn learn(&mut self, prompt: u64, queued: Duration, outcome: &Outcome, weight: f64) {
        let Outcome::Served {
            first,
            rest,
            events,
        } = *outcome
        else {
            return;
        };
        if prompt == 0 {
            learn(&mut self.call, (first + rest).as_secs_f64(), weight);
            return;
        }
        if prompt >= TELLING_PROMPT {
            // What waited before it on that upstream is not its own reading time.
            let own = first.saturating_sub(queued).as_secs_f64();
            learn(&mut self.prompt_token, own / prompt as f64, weight);
        }
        if events > 1 {
            let event = rest.as_secs_f64() / (events - 1) as f64;
            learn(&mut self.event, event, weight);
        }
    }

    /// Takes over what somebody else has measured, where nothing was measured here.
    pub(super) fn adopt(&mut self, other: &Rates) {
        self.prompt_token = self.prompt_token.or(other.prompt_token);
        self.event = self.event.or(other.event);
        self.call = self.call.or(other.call);
    }

    /// The time to the first event, or to the answer of a plain call.
    pub(super) fn first(&self, ask: &Request, pooled: &Rates) -> Duration {
        let seconds = if ask.prompt == 0 {
            self.call.or(pooled.call).unwrap_or(UNMEASURED_CALL)
        } else {
            let rate = self.prompt_token.or(pooled.prompt_token);
            rate.unwrap_or(UNMEASURED.0) * ask.prompt as f64
        };
        Duration::from_secs_f64(seconds)
    }

    /// The time from the first event to the last.
    pub(super) fn rest(&self, ask: &Request, pooled: &Rates) -> Duration {
        if ask.prompt == 0 {
            return Duration::ZERO;
        }
        let rate = self.event.or(pooled.event).unwrap_or(UNMEASURED.1);
        Duration::from_secs_f64(rate * ask.events as f64)
    }
}
