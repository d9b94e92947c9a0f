//! Looks at the engines of the cells that are scheduled here, now and then, on other threads.

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

/// The time between two looks at an engine; its report lags by about as much anyway.
const INTERVAL: Duration = Duration::from_millis(500);

/// How far the cache events of an engine are known, and whether a look is under way.
#[derive(Debug, Clone, Copy, Default)]
struct Known {
    after: u64,
    looking: bool,
}

/// One look that ended.
struct Ended {
    cell: Cell,
    upstream: id::Upstream,
    seen: Sample,
}

/// The looks at all engines.
struct Looks {
    host: Rc<Host>,
    known: RefCell<BTreeMap<(Cell, id::Upstream), Known>>,
    ended: Sender<Ended>,
}

/// Looks at engines for as long as the thread runs.
pub async fn run(host: Rc<Host>) {
    let (ended, results) = async_channel::unbounded();
    let known = RefCell::default();
    let looks = Rc::new(Looks { host, known, ended });
    task::spawn_local(take_in(looks.clone(), results));
    loop {
        looks.start();
        task::sleep(INTERVAL).await;
    }
}

async fn take_in(looks: Rc<Looks>, results: Receiver<Ended>) {
    while let Ok(ended) = results.recv().await {
        looks.take(ended);
    }
}

impl Looks {
    fn start(&self) {
        let directory = self.host.published.read().directory.clone();
        let cells = self.host.scheduled();
        let mut known = self.known.borrow_mut();
        known.retain(|(cell, upstream), _| {
            cells.contains(cell) && directory.upstreams.contains_key(upstream)
        });
        for cell in cells {
            for (upstream, address) in engines(&directory, &cell) {
                let key = (cell.clone(), upstream.clone());
                let known = known.entry(key).or_default();
                if known.looking {
                    continue;
                }
                known.looking = true;
                let (ended, cell, after) = (self.ended.clone(), cell.clone(), known.after);
                task::spawn(async move {
                    let seen = poll::fetch(address, after).await;
                    ended
                        .send(Ended {
                            cell,
                            upstream,
                            seen,
                        })
                        .await
                        .ok();
                });
            }
        }
    }

    fn take(&self, ended: Ended) {
        let key = (ended.cell.clone(), ended.upstream.clone());
        if let Some(known) = self.known.borrow_mut().get_mut(&key) {
            known.looking = false;
            known.after = ended.seen.last_event;
        }
        if let Some(load) = ended.seen.load {
            self.host
                .feed(&ended.cell, Input::Load(ended.upstream.clone(), load));
        }
        if !ended.seen.changes.is_empty() {
            self.host.feed(
                &ended.cell,
                Input::Cache(ended.upstream, ended.seen.changes),
            );
        }
    }
}

fn engines(directory: &Directory, cell: &Cell) -> Vec<(id::Upstream, SocketAddr)> {
    let of_cell = directory
        .upstreams
        .values()
        .filter(|upstream| upstream.service == cell.service && upstream.kind == Kind::Engine);
    of_cell
        .map(|upstream| (upstream.name.clone(), upstream.address))
        .collect()
}
