//! Polls the engines of the cells scheduled on this instance for their load and cache events.
//!
//! The calls run on other threads; their results are fed to the schedulers on the traffic thread.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use async_channel::{Receiver, Sender};
use async_std::task;
use gooseberrylb_config::directory::{Cell, Directory};
use gooseberrylb_config::id;
use gooseberrylb_config::note::Kind;
use gooseberrylb_policy::scheduler::Input;

use super::host::Host;
use crate::upstream::poll::{self, Sample};

/// Time between two polls of an engine, about as long as an engine's own report lags.
const POLL_INTERVAL: Duration = Duration::from_millis(500);

/// Polling state of one engine.
#[derive(Debug, Clone, Copy, Default)]
struct Progress {
    /// Number of the last cache event received.
    last_event: u64,
    /// Whether a poll is in progress.
    in_flight: bool,
}

/// Outcome of one poll.
struct Outcome {
    cell: Cell,
    upstream: id::Upstream,
    sample: Sample,
}

/// Polls all engines of the cells scheduled here.
struct Poller {
    host: Rc<Host>,
    polls: RefCell<BTreeMap<(Cell, id::Upstream), Progress>>,
    /// Carries outcomes back to the traffic thread.
    outcomes: Sender<Outcome>,
}

/// Polls engines for as long as the thread runs.
pub async fn run(host: Rc<Host>) {
    let (outcomes, results) = async_channel::unbounded();
    let polls = RefCell::default();
    let poller = Rc::new(Poller {
        host,
        polls,
        outcomes,
    });
    task::spawn_local(receive(poller.clone(), results));
    loop {
        poller.start_polls();
        task::sleep(POLL_INTERVAL).await;
    }
}

async fn receive(poller: Rc<Poller>, results: Receiver<Outcome>) {
    while let Ok(outcome) = results.recv().await {
        poller.apply(outcome);
    }
}

impl Poller {
    /// Starts a poll of each engine that has none in progress.
    fn start_polls(&self) {
        let directory = self.host.published.read().directory.clone();
        let cells = self.host.scheduled();
        let mut polls = self.polls.borrow_mut();
        polls.retain(|(cell, upstream), _| {
            cells.contains(cell) && directory.upstreams.contains_key(upstream)
        });
        for cell in cells {
            for (upstream, address) in engines(&directory, &cell) {
                let key = (cell.clone(), upstream.clone());
                let progress = polls.entry(key).or_default();
                if progress.in_flight {
                    continue;
                }
                progress.in_flight = true;
                let (outcomes, cell, last_event) =
                    (self.outcomes.clone(), cell.clone(), progress.last_event);
                task::spawn(async move {
                    let sample = poll::fetch(address, last_event).await;
                    outcomes
                        .send(Outcome {
                            cell,
                            upstream,
                            sample,
                        })
                        .await
                        .ok();
                });
            }
        }
    }

    /// Feeds the outcome of a poll to the scheduler of its cell.
    fn apply(&self, outcome: Outcome) {
        let key = (outcome.cell.clone(), outcome.upstream.clone());
        if let Some(progress) = self.polls.borrow_mut().get_mut(&key) {
            progress.in_flight = false;
            progress.last_event = outcome.sample.last_event;
        }
        if let Some(load) = outcome.sample.load {
            self.host
                .feed(&outcome.cell, Input::Load(outcome.upstream.clone(), load));
        }
        if !outcome.sample.changes.is_empty() {
            self.host.feed(
                &outcome.cell,
                Input::Cache(outcome.upstream, outcome.sample.changes),
            );
        }
    }
}

/// Returns the name and address of each engine that serves the cell.
fn engines(directory: &Directory, cell: &Cell) -> Vec<(id::Upstream, SocketAddr)> {
    let of_cell = directory
        .upstreams
        .values()
        .filter(|upstream| upstream.service == cell.service && upstream.kind == Kind::Engine);
    of_cell
        .map(|upstream| (upstream.name.clone(), upstream.address))
        .collect()
}
