//! Keeps a panic while one connection is served from ending the process.
//!
//! A panic of the control, traffic or journal thread ends the process, since nobody knows what it
//! left behind. What one peer, caller or operator sends must not do that: its connection is closed
//! instead. Consensus, the journal and the leader's tasks are not guarded.

use std::cell::Cell;
use std::future::Future;
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::task::Poll;

use crate::metrics::METRICS;

thread_local! {
    /// Whether this thread polls a guarded future.
    static GUARDED: Cell<bool> = const { Cell::new(false) };
}

/// Whether a panic of this thread now is caught.
pub fn is_guarded() -> bool {
    GUARDED.get()
}

/// Runs a future to its end, or until it panics. `what` names what it serves in the log.
pub async fn run(what: &'static str, future: impl Future<Output = ()>) {
    let mut future = std::pin::pin!(future);
    futures::future::poll_fn(|context| {
        let outer = GUARDED.replace(true);
        let polled = catch_unwind(AssertUnwindSafe(|| future.as_mut().poll(context)));
        GUARDED.set(outer);
        polled.unwrap_or_else(|_| {
            METRICS.panics.inc();
            log::error!(serving = what; "a panic ended a connection; the process goes on");
            Poll::Ready(())
        })
    })
    .await;
}

#[cfg(test)]
mod tests;
