//! Fair queueing among accounts, so that an account with a burst does not delay the others.
//!
//! Start-time fair queueing: a request starts at the virtual time at which the previous request of
//! its account ends, or at the service's current virtual time if that is later. Its length in
//! virtual time is its cost divided by the account's weight.

use std::collections::HashMap;

use gooseberrylb_config::id;

use super::Request;

/// Cost of a request in addition to its tokens, in prompt tokens, so that plain calls have a cost
/// too.
const BASE_COST: f64 = 100.0;

/// Cost of an event of a stream, in prompt tokens: an event holds several tokens, and prefill
/// takes many times less time per token than decoding.
const EVENT_COST: f64 = 40.0;

/// Number of accounts kept before those behind the current virtual time are dropped.
const MAX_ACCOUNTS: usize = 4_096;

/// Virtual time, in millionths of cost over weight.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct VirtualTime(u64);

/// Virtual clock of one service.
#[derive(Debug, Clone, Default)]
pub(super) struct Clock {
    /// Current virtual time: the start of the last request that was granted.
    now: VirtualTime,
    /// Earliest start of the next request, by account.
    next_starts: HashMap<Option<id::Account>, VirtualTime>,
}

impl Clock {
    /// Returns the virtual time at which a request would start.
    pub(super) fn start(&self, request: &Request) -> VirtualTime {
        let own = self
            .next_starts
            .get(&request.account)
            .copied()
            .unwrap_or_default();
        own.max(self.now)
    }

    /// Assigns a start to a request that is granted or queued, and advances its account by its
    /// cost.
    pub(super) fn assign(&mut self, request: &Request, start: VirtualTime) {
        let cost = BASE_COST + request.prompt as f64 + request.events as f64 * EVENT_COST;
        let length = cost / request.weight.max(f64::MIN_POSITIVE) * 1e6;
        let end = VirtualTime(start.0.saturating_add(length as u64));
        self.next_starts.insert(request.account.clone(), end);
        if self.next_starts.len() > MAX_ACCOUNTS {
            let now = self.now;
            self.next_starts.retain(|_, next| *next > now);
        }
    }

    /// Advances the clock to the start of a request that was granted.
    pub(super) fn advance(&mut self, start: VirtualTime) {
        self.now = self.now.max(start);
    }
}
