//! Bounds how much load retries may add, so that a failing upstream is not met with a storm.

use std::sync::atomic::{AtomicU32, Ordering};

/// What a retry costs, in hundredths.
const RETRY: u32 = 100;

/// What each request earns towards retries, in hundredths: a tenth of a retry.
const EARNED: u32 = 10;

/// The most that can be saved up, in hundredths.
const MOST: u32 = 20 * RETRY;

/// A budget of retries that requests earn.
#[derive(Debug)]
pub struct Budget(AtomicU32);

impl Default for Budget {
    fn default() -> Self {
        Self(AtomicU32::new(MOST))
    }
}

impl Budget {
    /// Gives back a retry that was not needed.
    pub fn give_back(&self) {
        let add = |saved: u32| Some((saved + RETRY).min(MOST));
        self.0
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, add)
            .ok();
    }

    /// Notes a new request.
    pub fn earn(&self) {
        let add = |saved: u32| Some((saved + EARNED).min(MOST));
        self.0
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, add)
            .ok();
    }

    /// Spends one retry, if it is `wanted` and there is one.
    pub fn spend_if(&self, wanted: bool) -> bool {
        if !wanted {
            return false;
        }
        let take = |saved: u32| saved.checked_sub(RETRY);
        self.0
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, take)
            .is_ok()
    }
}
