//! When a request with a blocked cause runs all the same, to find out whether the block is wrong.
//!
//! All entries know the time of the block and the crashes since, and take turns from there. So there is
//! one trial at a time in the whole fleet, without a message of its own.

use std::time::{Duration, Instant};

use super::{Cause, Table};

/// Pause between a block and its first trial; each crash since multiplies it.
const FIRST_PAUSE: Duration = Duration::from_secs(2);

/// Factor by which the pause grows with each crash.
const PAUSE_FACTOR: u32 = 4;

/// Number of crashes under trials from which on a block is not tried until its end. One more trial may be
/// on its way whose entry has lost its dispatcher, and three crashes are allowed.
const MAX_CRASHES: usize = 2;

/// Interval between the turns of two entries. The result of a trial is known to all before the next.
const TURN: Duration = Duration::from_secs(3);

/// Time at the beginning of its turn in which an entry may try once.
const TRIAL_TIME: Duration = Duration::from_secs(1);

/// Number of requests that an entry refuses because of a block before it tries it.
const MIN_REFUSALS: u32 = 20;

/// Age of a block from which on any request may be its trial.
const OLD: Duration = Duration::from_secs(60);

/// Place of an entry in the order of all entries of the fleet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Seat {
    /// Number of the entries before it.
    pub number: usize,
    /// Number of all entries.
    pub count: usize,
}

/// What an entry refused because of a block.
#[derive(Debug, Clone, Copy, Default)]
pub struct Refusals {
    count: u32,
    /// Time of the entry's last trial.
    tried: Option<Instant>,
}

impl Table {
    /// Returns a cause because of which a request is refused, and the time for which it is blocked.
    /// A request with a blocked cause is not refused if it is a trial. An entry without a seat, which
    /// can tell nobody of the result, tries nothing.
    pub fn refuse(
        &mut self,
        causes: &[Cause],
        seat: Option<Seat>,
        now: Instant,
    ) -> Option<(Cause, Duration)> {
        let blocked = self.blocked(causes, now)?;
        let is_blocked = |cause: &&Cause| self.blocked(&[**cause], now).is_some();
        let all: Vec<Cause> = causes.iter().filter(is_blocked).copied().collect();
        let is_trial =
            seat.is_some_and(|seat| all.iter().all(|cause| self.is_due(cause, seat, now)));
        for cause in &all {
            let Some(block) = self.blocks.get_mut(cause) else {
                continue;
            };
            block.refusals.count = block.refusals.count.saturating_add(1);
            if is_trial {
                block.refusals.tried = Some(now);
            }
        }
        (!is_trial).then_some(blocked)
    }

    /// Whether it is the turn of an entry to try a blocked cause.
    fn is_due(&self, cause: &Cause, seat: Seat, now: Instant) -> bool {
        let Some(block) = self.blocks.get(cause) else {
            return true;
        };
        // No trial ends earlier; what ran when the block came may still crash.
        let first = block.since + FIRST_PAUSE;
        let crashes = self.crashes().into_iter().filter(|crash| {
            let mut runs = crash.runs.iter();
            crash.at >= first && runs.any(|run| run.causes.contains(cause))
        });
        let crashes: Vec<Instant> = crashes.map(|crash| crash.at).collect();
        if crashes.len() >= MAX_CRASHES {
            return false;
        }
        let pause = FIRST_PAUSE * PAUSE_FACTOR.pow(crashes.len() as u32);
        let start = crashes.last().copied().unwrap_or(block.since) + pause;
        let Some(time) = now.checked_duration_since(start) else {
            return false;
        };
        let turn = time.as_millis() / TURN.as_millis();
        let is_own = turn % seat.count.max(1) as u128 == seat.number as u128;
        let is_turn = is_own && time.as_millis() % TURN.as_millis() < TRIAL_TIME.as_millis();
        let tried = block.refusals.tried;
        let is_rested = tried.is_none_or(|tried| now >= tried + TRIAL_TIME);
        let is_old = now.saturating_duration_since(block.since) >= OLD;
        is_turn && is_rested && (is_old || block.refusals.count >= MIN_REFUSALS)
    }
}
