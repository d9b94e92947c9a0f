//! Turns of the sessions with entries on the control thread.
//!
//! Consensus, the list of upstreams and the distribution of the configuration run on the thread that
//! answers entries. When entries ask for more than it can decide, there is always another question to
//! answer. So one session at a time answers a few, and sessions leave a part of the thread's time to all
//! other tasks, however long the backlog is.

use std::time::{Duration, Instant};

use async_std::sync::{Mutex, MutexGuard};
use async_std::task;

use crate::metrics::METRICS;

/// Maximum number of questions that a session answers before another session may.
const MAX_PER_TURN: u32 = 8;

/// Time, or number of questions answered, after which the sessions pause.
const MAX_BUSY: Duration = Duration::from_millis(4);
const MAX_ANSWERED: u32 = 64;

/// Share of the time for questions that a pause lasts for.
const PAUSE_DIVISOR: u32 = 4;

/// Least duration of a pause. It has to be a wait: the executor looks for timers and for what has arrived
/// only once no task is ready to run, or after hundreds of them.
const MIN_PAUSE: Duration = Duration::from_millis(1);

/// Turns of all sessions.
#[derive(Default)]
pub struct Turns(Mutex<Usage>);

/// What the sessions have used since their last pause.
#[derive(Default)]
struct Usage {
    /// Time for questions, less the time in which there were none.
    busy: Duration,
    /// Number of questions answered. Time without questions does not reset it: the thread may have
    /// waited for a processor then, so that no other task had a turn.
    answered: u32,
    /// End of the last turn.
    ended: Option<Instant>,
}

/// A session's right to answer questions now.
pub struct Turn<'a> {
    usage: MutexGuard<'a, Usage>,
    began: Instant,
    /// Number of questions answered in this turn.
    answered: u32,
}

impl Turns {
    /// Waits for the next turn. The session that waits longest gets it.
    pub async fn next(&self, now: impl Fn() -> Instant) -> Turn<'_> {
        let mut usage = self.0.lock().await;
        let began = now();
        let ended = usage.ended.unwrap_or(began);
        let repaid = began.saturating_duration_since(ended) * PAUSE_DIVISOR;
        usage.busy = usage.busy.saturating_sub(repaid);
        Turn {
            usage,
            began,
            answered: 0,
        }
    }
}

impl Turn<'_> {
    /// Counts a question that was answered; returns whether the turn is over.
    pub fn count(&mut self, now: Instant) -> bool {
        self.answered += 1;
        self.answered >= MAX_PER_TURN || now >= self.began + MAX_BUSY
    }

    /// Ends the turn. No session answers anything until the pause that is due is over.
    pub async fn end(mut self, now: Instant) {
        let usage = &mut *self.usage;
        usage.busy += now.saturating_duration_since(self.began);
        usage.answered += self.answered;
        usage.ended = Some(now);
        if usage.busy >= MAX_BUSY || usage.answered >= MAX_ANSWERED {
            METRICS.session_pauses.inc();
            task::sleep((usage.busy / PAUSE_DIVISOR).max(MIN_PAUSE)).await;
            *usage = Usage::default();
        }
        drop(self);
        task::yield_now().await;
    }
}

#[cfg(test)]
mod tests;
