//! Turns of accounts, by which none can push the others back however much it sends at once.
//!
//! Start-time fair queueing: each request begins where the one before it of its account ends, counted
//! in its cost over the account's weight, or where the service stands if that is later.

use std::collections::HashMap;

use gooseberrylb_config::id;

use super::Request;

/// The cost of a request beside its tokens, so that plain calls cost something as well.
const BASE_COST: f64 = 100.0;

/// What an event of a stream costs against a token of a prompt: it holds some tokens, and engines
/// read many times faster than they write.
const EVENT_COST: f64 = 40.0;

/// How many accounts are remembered before those that are behind are forgotten.
const KEPT: usize = 4_096;

/// A place among the turns, in millionths of cost over weight.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Turn(u64);

/// The turns of one service.
#[derive(Debug, Default)]
pub(super) struct Turns {
    /// Where the service stands: the turn of the last request that was granted.
    now: Turn,
    /// Where the next request of each account begins at the earliest.
    next: HashMap<Option<id::Account>, Turn>,
}

impl Turns {
    /// The turn that a request would have.
    pub(super) fn next(&self, ask: &Request) -> Turn {
        let own = self.next.get(&ask.account).copied().unwrap_or_default();
        own.max(self.now)
    }

    /// Takes note that a request has its turn, granted or waiting.
    pub(super) fn take(&mut self, ask: &Request, turn: Turn) {
        let cost = BASE_COST + ask.prompt as f64 + ask.events as f64 * EVENT_COST;
        let length = cost / ask.weight.max(f64::MIN_POSITIVE) * 1e6;
        let end = Turn(turn.0.saturating_add(length as u64));
        self.next.insert(ask.account.clone(), end);
        if self.next.len() > KEPT {
            let now = self.now;
            self.next.retain(|_, next| *next > now);
        }
    }

    /// Takes note that the service has come to a turn.
    pub(super) fn served(&mut self, turn: Turn) {
        self.now = self.now.max(turn);
    }
}
