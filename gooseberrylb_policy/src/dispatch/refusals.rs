//! Which accounts have used up their quotas, as an entry was told.
//!
//! Load that it answers: an account that sends several times what it may, whose requests would all be
//! carried to the dispatcher only to be refused there.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use gooseberrylb_config::id;

use super::Request;

/// How long a refusal stands for others at most. Use that is given back, such as by requests that are
/// refused after a wait, makes room sooner than was foreseen.
const LONGEST: Duration = Duration::from_millis(300);

/// The accounts that were refused.
#[derive(Debug, Default)]
pub struct Refusals {
    accounts: HashMap<id::Account, Refusal>,
}

#[derive(Debug)]
struct Refusal {
    /// What did not fit; more does not fit either.
    units: f64,
    /// When it was refused.
    at: Instant,
    /// When it was expected to fit.
    until: Instant,
}

impl Refusals {
    /// Takes note that a request was refused for so long, since its account has used what it may.
    pub fn record(&mut self, ask: &Request, pause: Duration, now: Instant) {
        let Some(account) = ask.account.clone() else {
            return;
        };
        self.accounts.retain(|_, refusal| now < refusal.until);
        let refusal = Refusal {
            units: ask.units,
            at: now,
            until: now + pause,
        };
        self.accounts.insert(account, refusal);
    }

    /// For how long a request is refused by what is known already, if it is.
    pub fn remaining(&self, ask: &Request, now: Instant) -> Option<Duration> {
        let refusal = self.accounts.get(ask.account.as_ref()?)?;
        let stands = now < refusal.until.min(refusal.at + LONGEST);
        // What counts nothing, such as a second attempt, is never over the quota.
        (stands && ask.units > 0.0 && ask.units >= refusal.units).then(|| refusal.until - now)
    }
}
