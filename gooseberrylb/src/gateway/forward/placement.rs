//! Builds the placement request for a forwarded request: its rank, cost, objective and the longest
//! time for which it may wait for an upstream.

use gooseberrylb_policy::dispatch::{Rank, Reason, Request, objective};

use super::Forwarder;
use crate::control::dispatch;
use crate::control::homes::{Homes, NO_UPSTREAM_PAUSE};
use crate::gateway::place::Placement;

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
            hold: objective::hold(&self.route, waited).min(time_left),
            patience: time_left,
            excluded,
        })
    }

    /// Returns the regions to which the request is restricted, if it is.
    pub(in crate::gateway) fn homes(&self) -> Option<Homes> {
        Homes::new(&self.route, self.account.as_deref())
    }

    /// Returns the rank of the request.
    pub fn rank(&self) -> Rank {
        let account = self.account.as_ref().and_then(|account| account.rank);
        Rank::new(account, self.route.rank)
    }
}
