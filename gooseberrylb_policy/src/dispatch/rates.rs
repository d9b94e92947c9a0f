//! Measured speed of upstreams, and the response times expected from it.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::{Outcome, Request};

/// Weight of the newest response in the moving averages of one upstream.
pub(super) const NEWEST_WEIGHT: f64 = 0.2;

/// Weight of the newest response in the moving averages of all upstreams of a service together.
pub(super) const POOLED_NEWEST_WEIGHT: f64 = 0.05;

/// Seconds per prompt token and per event that are expected of an engine before any measurement.
const DEFAULT_ENGINE_SECONDS: (f64, f64) = (30e-6, 20e-3);

/// Seconds that a plain call is expected to take before any measurement.
const DEFAULT_CALL_SECONDS: f64 = 20e-3;

/// Shortest prompt whose time to the first event indicates the prefill rate, in tokens.
const MIN_MEASURED_PROMPT_TOKENS: u64 = 400;

/// Moving averages of an upstream's speed, in seconds; unset until measured.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct Rates {
    /// Prefill time per prompt token.
    prompt_token: Option<f64>,
    /// Time from one event to the next.
    event: Option<f64>,
    /// Duration of a plain call.
    call: Option<f64>,
}

/// Moves an exponential moving average towards `new` by `weight`; the first value is taken whole.
pub(super) fn update_average(average: &mut Option<f64>, new: f64, weight: f64) {
    *average = Some(average.map_or(new, |average| average + (new - average) * weight));
}

impl Rates {
    /// Records the response to a prompt of `prompt` tokens that was queued behind other prompts for
    /// `queued`.
    pub fn record(&mut self, prompt: u64, queued: Duration, outcome: &Outcome) {
        self.update(prompt, queued, outcome, NEWEST_WEIGHT);
    }

    /// Records a response like [`record`](Self::record), with `weight` as the weight of the newest.
    pub(super) fn update(&mut self, prompt: u64, queued: Duration, outcome: &Outcome, weight: f64) {
        let Outcome::Served {
            first,
            rest,
            events,
        } = *outcome
        else {
            return;
        };
        if prompt == 0 {
            update_average(&mut self.call, (first + rest).as_secs_f64(), weight);
            return;
        }
        if prompt >= MIN_MEASURED_PROMPT_TOKENS {
            // Time spent behind other prompts on that upstream is not this prompt's prefill time.
            let own = first.saturating_sub(queued).as_secs_f64();
            update_average(&mut self.prompt_token, own / prompt as f64, weight);
        }
        if events > 1 {
            let event = rest.as_secs_f64() / (events - 1) as f64;
            update_average(&mut self.event, event, weight);
        }
    }

    /// Takes over the averages of `other` that are not measured here yet.
    pub(super) fn adopt(&mut self, other: &Rates) {
        self.prompt_token = self.prompt_token.or(other.prompt_token);
        self.event = self.event.or(other.event);
        self.call = self.call.or(other.call);
    }

    /// Returns the expected time to the first event, or to the response of a plain call.
    pub(super) fn expected_first(&self, request: &Request, pooled: &Rates) -> Duration {
        let seconds = if request.prompt == 0 {
            self.call.or(pooled.call).unwrap_or(DEFAULT_CALL_SECONDS)
        } else {
            let rate = self.prompt_token.or(pooled.prompt_token);
            rate.unwrap_or(DEFAULT_ENGINE_SECONDS.0) * request.prompt as f64
        };
        Duration::from_secs_f64(seconds)
    }

    /// Returns the expected time from the first event to the last.
    pub(super) fn expected_rest(&self, request: &Request, pooled: &Rates) -> Duration {
        if request.prompt == 0 {
            return Duration::ZERO;
        }
        let rate = self
            .event
            .or(pooled.event)
            .unwrap_or(DEFAULT_ENGINE_SECONDS.1);
        Duration::from_secs_f64(rate * request.events as f64)
    }
}
