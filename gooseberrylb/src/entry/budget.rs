//! Retry budget: limits the load that retries add, so that a failing upstream does not cause a
//! retry storm.

use std::sync::atomic::{AtomicU32, Ordering};

/// Cost of a retry, in hundredths of a retry.
const RETRY_COST: u32 = 100;

/// Deposit per request, in hundredths of a retry: one retry for ten requests.
const DEPOSIT: u32 = 10;

/// Maximum balance, in hundredths of a retry.
const MAX_BALANCE: u32 = 20 * RETRY_COST;

/// A budget of retries, to which each request deposits; the balance is in hundredths of a retry.
#[derive(Debug)]
pub struct Budget(AtomicU32);

impl Default for Budget {
    fn default() -> Self {
        Self(AtomicU32::new(MAX_BALANCE))
    }
}

impl Budget {
    /// Refunds a retry that was not needed.
    pub fn refund(&self) {
        let deposit = |balance: u32| Some((balance + RETRY_COST).min(MAX_BALANCE));
        self.0
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, deposit)
            .ok();
    }

    /// Deposits the share of a new request.
    pub fn deposit(&self) {
        let deposit = |balance: u32| Some((balance + DEPOSIT).min(MAX_BALANCE));
        self.0
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, deposit)
            .ok();
    }

    /// Withdraws one retry if it is `wanted`; returns whether one was withdrawn.
    pub fn withdraw_if(&self, wanted: bool) -> bool {
        if !wanted {
            return false;
        }
        let withdraw = |balance: u32| balance.checked_sub(RETRY_COST);
        self.0
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, withdraw)
            .is_ok()
    }
}
