//! Builds the placement request for a forwarded request: its rank, cost, objective and the longest
//! time for which it may wait for an upstream.

use std::time::Duration;

use gooseberrylb_policy::dispatch::{Rank, Reason, Request, objective};

use super::Forwarder;
use crate::control::dispatch;
use crate::control::homes::{Homes, NO_UPSTREAM_PAUSE};
use crate::gateway::place::Placement;

/// Longest time for which a request waits for an upstream, as a fraction of the time after which
/// its caller is expected to give up.
const HOLD_FRACTION: f64 = 0.6;

/// Minimum time after which a caller is expected to give up a stream that has not begun.
const MIN_STREAM_PATIENCE: Duration = Duration::from_secs(2);

/// Time for which a caller waits for a stream to begin, as a multiple of the route's objective.
const PATIENCE_OBJECTIVES: u32 = 4;

/// Time for which a caller waits for a stream to begin, as a multiple of the longest gap that the
/// route allows between two events.
const PATIENCE_GAPS: u32 = 8;

/// Divisor of the maximum output that gives the expected output, in tokens, where the caller does
/// not state one.
const DEFAULT_OUTPUT_DIVISOR: u64 = 4;

impl Forwarder {
    /// Asks for an upstream for the next attempt.
    pub(super) async fn place(&self) -> Placement {
        match self.placement_request() {
            Some(request) => self.gateway.placer.place(request, &self.causes()).await,
            None => Placement::Refused(Reason::NoUpstream, NO_UPSTREAM_PAUSE),
        }
    }

    /// Returns the question for an upstream for the next attempt, or `None` if no upstream is in the
    /// regions that the request is restricted to. A request counts once against the quota.
    pub(super) fn placement_request(&self) -> Option<Request> {
        let gateway = &self.gateway;
        let (now, time_left) = (self.now(), self.time_left());
        let table = gateway.table();
        let waited = now.saturating_duration_since(self.arrived);
        let objective = objective::remaining(
            self.route.time_limit,
            self.route.objective,
            self.metadata.patience,
            waited,
        );
        let service = gateway.pick_target(&self.route);
        let declared = table
            .as_ref()
            .and_then(|t| t.declaration.services.get(&service));
        let stride = declared.and_then(|s| s.stride);
        let (prompt, output) = match (self.metadata.tokens, stride) {
            (Some((prompt, max_output)), Some(_)) => {
                let expected = self
                    .metadata
                    .expected_output
                    .unwrap_or(max_output / DEFAULT_OUTPUT_DIVISOR);
                (prompt, expected.min(max_output))
            }
            _ => (0, 0),
        };
        let mut excluded = self.excluded.clone();
        if let Some(homes) = self.homes() {
            let directory = &gateway.core.published().directory;
            excluded.extend(homes.excluded(&gateway.core, directory, &service)?);
        }
        let quota = self.account.as_ref().and_then(|account| account.quota);
        let units = quota.map(|a| dispatch::units(a.unit, self.metadata.tokens));
        Some(Request {
            key: gateway.placer.key(),
            service,
            route: self.route.name.clone(),
            account: units.and(self.account.as_ref().map(|account| account.name.clone())),
            weight: quota.map_or(1.0, |a| a.per_second),
            units: units.filter(|_| !self.charged).unwrap_or(0.0),
            rank: self.rank(),
            data_centre: gateway.core.identity.instance.data_centre.as_str().into(),
            prompt,
            events: output / u64::from(stride.unwrap_or(1)),
            objective,
            hold: self.hold(waited).min(time_left),
            patience: time_left,
            excluded,
        })
    }

    /// Returns the regions to which the request is restricted, if it is.
    pub(in crate::gateway) fn homes(&self) -> Option<Homes> {
        Homes::new(&self.route, self.account.as_deref())
    }

    /// Returns the rank of the request. An account without a rank takes that of the route.
    pub fn rank(&self) -> Rank {
        let route = self.route.rank;
        let account = self.account.as_ref().and_then(|account| account.rank);
        Rank {
            account: account.unwrap_or(route),
            route,
        }
    }

    /// Returns the time for which the request may still wait for an upstream.
    fn hold(&self, waited: Duration) -> Duration {
        let patience = match self.route.streams {
            true => MIN_STREAM_PATIENCE
                .max(self.route.objective * PATIENCE_OBJECTIVES)
                .max(self.route.gap * PATIENCE_GAPS),
            false => self.route.time_limit,
        };
        patience.mul_f64(HOLD_FRACTION).saturating_sub(waited)
    }
}
