//! Upstreams as candidates for a request, with what speaks against them.

use std::time::Instant;

use gooseberrylb_config::answer::placement::{Candidate, Obstacle};

use super::Service;
use crate::dispatch::explain::millis;
use crate::dispatch::upstream::State;
use crate::dispatch::{Key, Request};

impl Service {
    /// Returns the upstreams, those that could be granted first, by the expected end of the response.
    pub(in crate::dispatch) fn candidates(
        &self,
        request: &Request,
        now: Instant,
    ) -> Vec<Candidate> {
        let eligible = self.eligible();
        let mut candidates: Vec<_> = self
            .upstreams
            .iter()
            .map(|state| {
                let (first, end) = state.expected_times(request, &self.pooled, now);
                let mut obstacles = self.obstacles(state, request, now);
                if !eligible(state) {
                    obstacles.push(Obstacle::Release);
                }
                Candidate {
                    upstream: state.upstream.name.clone(),
                    data_centre: state.upstream.data_centre.clone(),
                    release: state.upstream.release.clone(),
                    running: state.running,
                    slots: state.upstream.slots,
                    tokens: state.tokens,
                    first_ms: millis(first),
                    end_ms: millis(end),
                    obstacles,
                }
            })
            .collect();
        candidates.sort_by_key(|candidate| (!candidate.obstacles.is_empty(), candidate.end_ms));
        candidates
    }

    /// Returns what speaks against an upstream now.
    fn obstacles(&self, state: &State, request: &Request, now: Instant) -> Vec<Obstacle> {
        let slots = state.upstream.slots;
        let opens = state.opens_at(now).filter(|opens| *opens > now);
        let is_cold = state.is_cold(now);
        let found = [
            (
                request.excluded.contains(&state.upstream.name),
                Obstacle::Excluded,
            ),
            (state.leaving, Obstacle::Leaving),
            (state.health.limit(slots, now) == 0, Obstacle::Ejected),
            (is_cold && opens.is_some(), Obstacle::Cold),
            (state.running >= slots, Obstacle::Busy),
            (!state.holds(self.profile.tokens(request)), Obstacle::Memory),
        ];
        let mut found: Vec<_> = found
            .into_iter()
            .filter(|(applies, _)| *applies)
            .map(|(_, obstacle)| obstacle)
            .collect();
        if found.is_empty() && !state.has_room(true, now) {
            let opens_ms = opens.map(|opens| millis(opens.saturating_duration_since(now)));
            found.push(Obstacle::Closed { opens_ms });
        }
        found
    }

    /// Returns the number of requests that are queued before one.
    pub(in crate::dispatch) fn ahead_of(&self, key: &Key) -> usize {
        let position = self.positions.get(key);
        position.map_or(0, |position| self.queue.range(..position).count())
    }
}
