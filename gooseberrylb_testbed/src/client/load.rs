//! A bounded, closed-loop load: each caller sends its next request when the last one has ended.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};

use async_std::task::{self, JoinHandle};

use super::Caller;
use super::caller::Call;
use super::tally::Record;

/// Maximum number of requests of one load, about a minute of the fastest load of any test.
const MAX_CALLS: u64 = 100_000;

/// Returns the call with a number.
type CallFactory = dyn Fn(u64) -> Call + Send + Sync;

/// Running load.
pub struct Load {
    callers: Vec<Arc<Caller>>,
    next: Arc<AtomicU64>,
    stopped: Arc<AtomicBool>,
    tasks: Vec<JoinHandle<()>>,
}

impl Load {
    /// Starts sending with each of `callers`. `make_call` returns the request with a number;
    /// numbers count up from 0 across all callers.
    pub fn start(
        callers: Vec<Caller>,
        make_call: impl Fn(u64) -> Call + Send + Sync + 'static,
    ) -> Self {
        let callers: Vec<Arc<Caller>> = callers.into_iter().map(Arc::new).collect();
        let make_call: Arc<CallFactory> = Arc::new(make_call);
        let next = Arc::new(AtomicU64::new(0));
        let stopped = Arc::new(AtomicBool::new(false));
        let tasks = callers
            .iter()
            .map(|caller| {
                task::spawn(send(
                    caller.clone(),
                    make_call.clone(),
                    next.clone(),
                    stopped.clone(),
                ))
            })
            .collect();
        Self {
            callers,
            next,
            stopped,
            tasks,
        }
    }

    /// Returns the number of requests started.
    pub fn started(&self) -> u64 {
        self.next.load(Ordering::Relaxed)
    }

    /// Returns the number of requests that have ended.
    pub fn ended(&self) -> usize {
        self.callers.iter().map(|caller| caller.count()).sum()
    }

    /// Starts no more requests, waits for those in flight, and returns the records of all.
    pub async fn stop(self) -> Vec<Record> {
        self.stopped.store(true, Ordering::Relaxed);
        for task in self.tasks {
            task.await;
        }
        self.callers
            .iter()
            .flat_map(|caller| caller.records())
            .collect()
    }
}

async fn send(
    caller: Arc<Caller>,
    make_call: Arc<CallFactory>,
    next: Arc<AtomicU64>,
    stopped: Arc<AtomicBool>,
) {
    while !stopped.load(Ordering::Relaxed) {
        let number = next.fetch_add(1, Ordering::Relaxed);
        if number >= MAX_CALLS {
            return;
        }
        caller.call(&make_call(number)).await;
    }
}
