//! What a request asks of whoever places it.

use std::time::Duration;

use gooseberrylb_policy::dispatch::{Rank, Request, objective};

use super::Work;
use crate::control::dispatch;
use crate::gateway::place::Placement;

/// The longest that a late request is held for an upstream, against the time after which callers
/// give up a stream that has not begun.
const HOLD_PART: f64 = 0.6;

/// The shortest time after which callers give up a stream that has not begun.
const SHORTEST_PATIENCE: Duration = Duration::from_secs(2);

/// How many objectives a caller waits for a stream to begin.
const OBJECTIVES_WAITED: u32 = 4;

/// How many of a stream's longest pauses a caller waits for it to go on.
const GAPS_WAITED: u32 = 8;

/// The tokens that an output has where nobody guesses, as part of the most that it may have.
const UNGUESSED_OUTPUT: u64 = 4;

impl Work {
    /// Asks for an upstream.
    pub(super) async fn place(&self) -> Placement {
        let gateway = &self.gateway;
        let (now, left) = (self.now(), self.left());
        let table = gateway.table();
        let waited = now.saturating_duration_since(self.arrived);
        let objective = objective::remaining(
            self.route.time_limit,
            self.route.objective,
            self.facts.patience,
            waited,
        );
        let service = gateway.pick_target(&self.route);
        let declared = table
            .as_ref()
            .and_then(|t| t.declaration.services.get(&service));
        let stride = declared.and_then(|s| s.stride);
        let (prompt, output) = match (self.facts.tokens, stride) {
            (Some((prompt, most)), Some(_)) => {
                let guess = self
                    .facts
                    .expected_output
                    .unwrap_or(most / UNGUESSED_OUTPUT);
                (prompt, guess.min(most))
            }
            _ => (0, 0),
        };
        let quota = self.account.as_ref().and_then(|account| account.quota);
        let units = quota.map(|a| dispatch::units(a.unit, self.facts.tokens));
        let ask = Request {
            key: gateway.place.key(),
            service,
            route: self.route.name.clone(),
            account: units.and(self.account.as_ref().map(|account| account.name.clone())),
            weight: quota.map_or(1.0, |a| a.per_second),
            units: units.filter(|_| self.sent == 0).unwrap_or(0.0),
            rank: self.rank(),
            data_centre: gateway.core.identity.instance.data_centre.as_str().into(),
            prompt,
            events: output / u64::from(stride.unwrap_or(1)),
            objective,
            hold: self.hold(waited).min(left),
            patience: left,
            excluded: self.excluded.clone(),
        };
        gateway.place.place(ask).await
    }

    /// The request's rank.
    pub fn rank(&self) -> Rank {
        let route = self.route.rank;
        let own = self.account.as_ref().and_then(|account| account.rank);
        Rank {
            account: own.unwrap_or(route),
            route,
        }
    }

    /// How long the request is worth holding.
    fn hold(&self, waited: Duration) -> Duration {
        let waits = match self.route.streams {
            true => SHORTEST_PATIENCE
                .max(self.route.objective * OBJECTIVES_WAITED)
                .max(self.route.gap * GAPS_WAITED),
            false => self.route.time_limit,
        };
        waits.mul_f64(HOLD_PART).saturating_sub(waited)
    }
}
