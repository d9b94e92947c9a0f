//! A bounded load: callers that each send one request after the other.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};

use async_std::task::{self, JoinHandle};

use super::Caller;
use super::caller::Call;
use super::tally::Record;

/// The most requests of one load, whatever happens: a minute of the fastest load that a test makes.
const MAX_CALLS: u64 = 100_000;

/// Makes a call from its number.
type CallFactory = dyn Fn(u64) -> Call + Send + Sync;

/// A load that is under way.
pub struct Load {
    callers: Vec<Arc<Caller>>,
    next: Arc<AtomicU64>,
    stopped: Arc<AtomicBool>,
    tasks: Vec<JoinHandle<()>>,
}

impl Load {
    /// Has each of `callers` send requests that `make` makes from numbers that grow.
    pub fn start(callers: Vec<Caller>, make: impl Fn(u64) -> Call + Send + Sync + 'static) -> Self {
        let callers: Vec<Arc<Caller>> = callers.into_iter().map(Arc::new).collect();
        let make: Arc<CallFactory> = Arc::new(make);
        let next = Arc::new(AtomicU64::new(0));
        let stopped = Arc::new(AtomicBool::new(false));
        let tasks = callers
            .iter()
            .map(|caller| {
                task::spawn(send(
                    caller.clone(),
                    make.clone(),
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

    /// The number of requests begun.
    pub fn started(&self) -> u64 {
        self.next.load(Ordering::Relaxed)
    }

    /// The number of requests ended.
    pub fn ended(&self) -> usize {
        self.callers.iter().map(|caller| caller.count()).sum()
    }

    /// Begins no more requests, awaits those under way, and gives what came of all.
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
    make: Arc<CallFactory>,
    next: Arc<AtomicU64>,
    stopped: Arc<AtomicBool>,
) {
    while !stopped.load(Ordering::Relaxed) {
        let number = next.fetch_add(1, Ordering::Relaxed);
        if number >= MAX_CALLS {
            return;
        }
        caller.call(&make(number)).await;
    }
}
