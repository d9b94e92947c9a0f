//! Cache of the accounts that the dispatcher refused for their quotas, kept by each entry.
//!
//! Without it, all requests of an account that sends several times its quota would be carried to
//! the dispatcher only to be refused there.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use gooseberrylb_config::id;

use super::Request;

/// Longest time for which a cached refusal applies to later requests. Quota that is refunded, such
/// as for requests refused after they were queued, makes room sooner than the refusal foresaw.
const MAX_REFUSAL_AGE: Duration = Duration::from_millis(300);

/// Latest refusal of each account.
#[derive(Debug, Default)]
pub struct Refusals {
    accounts: HashMap<id::Account, Refusal>,
}

#[derive(Debug)]
struct Refusal {
    /// Units that did not fit; larger requests do not fit either.
    units: f64,
    /// Time of the refusal.
    at: Instant,
    /// Time at which the request was expected to fit.
    until: Instant,
}

impl Refusals {
    /// Records that a request was refused for `pause`, as its account has used up its quota.
    pub fn record(&mut self, request: &Request, pause: Duration, now: Instant) {
        let Some(account) = request.account.clone() else {
            return;
        };
        self.accounts.retain(|_, refusal| now < refusal.until);
        let refusal = Refusal {
            units: request.units,
            at: now,
            until: now + pause,
        };
        self.accounts.insert(account, refusal);
    }

    /// Returns for how long a cached refusal applies to a request, if one does.
    pub fn remaining(&self, request: &Request, now: Instant) -> Option<Duration> {
        let refusal = self.accounts.get(request.account.as_ref()?)?;
        let applies = now < refusal.until.min(refusal.at + MAX_REFUSAL_AGE);
        // A request without units, such as a retry, never exceeds the quota.
        (applies && request.units > 0.0 && request.units >= refusal.units)
            .then(|| refusal.until - now)
    }
}
