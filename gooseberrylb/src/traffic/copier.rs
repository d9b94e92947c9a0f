//! Replicates the claims of one scheduler to one backup.
//!
//! A copier first sends all claims, then each batch of records as the scheduler emits it. After a
//! gap or a full queue it starts over with all claims.

use std::cell::{Cell as Slot, RefCell};
use std::collections::VecDeque;
use std::rc::{Rc, Weak};
use std::time::Duration;

use async_std::{future, task};
use futures::channel::oneshot;
use gooseberrylb_config::number;
use gooseberrylb_policy::scheduler::Record;
use gooseberrylb_wire::codec;
use gooseberrylb_wire::link::Link;
use gooseberrylb_wire::message::{Batch, Held, Part};
use gooseberrylb_wire::plane::Traffic;

use super::runner::Runner;

/// Time limit for a backup to answer a batch.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Pause after a failed attempt.
const RETRY_PAUSE: Duration = Duration::from_millis(50);

/// Maximum number of parts queued for one backup; on overflow the backup is synced from scratch.
const MAX_QUEUED: usize = 4_096;

/// Replicates the claims of one scheduler to one backup.
pub struct Copier {
    view: number::View,
    queue: RefCell<VecDeque<Part>>,
    /// Last sequence number that the backup has acknowledged.
    acknowledged: Slot<u64>,
    /// Whether the backup holds all claims up to `acknowledged`.
    synced: Slot<bool>,
    stopped: Slot<bool>,
    /// Wakes the copying task while it waits for work.
    wakeup: RefCell<Option<oneshot::Sender<()>>>,
}

impl Copier {
    /// Starts a task that copies the claims of `runner` over `link`, beginning with all of them.
    pub fn start(runner: &Rc<Runner>, link: Rc<Link<Traffic>>) -> Rc<Self> {
        let copier = Rc::new(Self {
            view: runner.view(),
            queue: RefCell::default(),
            acknowledged: Slot::new(0),
            synced: Slot::new(false),
            stopped: Slot::new(false),
            wakeup: RefCell::default(),
        });
        task::spawn_local(run(copier.clone(), Rc::downgrade(runner), link));
        copier
    }

    /// Queues the records with one sequence number.
    pub fn push(&self, sequence: u64, records: Vec<Record>) {
        let mut queue = self.queue.borrow_mut();
        if queue.len() >= MAX_QUEUED {
            queue.clear();
            self.synced.set(false);
        }
        queue.push_back(Part { sequence, records });
        drop(queue);
        self.wake();
    }

    /// Returns the last sequence number that the backup has acknowledged.
    pub fn acknowledged(&self) -> u64 {
        self.acknowledged.get()
    }

    /// Whether the backup holds all claims, as of its last acknowledgement.
    pub fn is_synced(&self) -> bool {
        self.synced.get()
    }

    /// Stops the copying task.
    pub fn stop(&self) {
        self.stopped.set(true);
        self.wake();
    }

    fn wake(&self) {
        if let Some(wakeup) = self.wakeup.take() {
            wakeup.send(()).ok();
        }
    }

    /// Waits until there are claims to send or the copier is stopped.
    async fn wait_for_work(&self) {
        if !self.synced.get() || !self.queue.borrow().is_empty() || self.stopped.get() {
            return;
        }
        let (wakeup, woken) = oneshot::channel();
        self.wakeup.replace(Some(wakeup));
        woken.await.ok();
    }

    /// Returns all claims if the backup is not synced, otherwise the queued records.
    fn next_batch(&self, runner: &Runner) -> Batch {
        let (cell, view) = (runner.cell.clone(), self.view);
        if self.synced.get() {
            let parts = self.queue.borrow().iter().cloned().collect();
            return Batch {
                cell,
                view,
                whole: false,
                parts,
            };
        }
        let (sequence, records) = runner.read(|s| (s.sequence(), s.snapshot()));
        let mut queue = self.queue.borrow_mut();
        queue.retain(|part| part.sequence > sequence);
        Batch {
            cell,
            view,
            whole: true,
            parts: vec![Part { sequence, records }],
        }
    }

    /// Updates the state of the copier from the answer to a batch.
    fn handle_answer(&self, runner: &Runner, answer: Held) {
        match answer {
            Held::UpTo(sequence) => {
                self.queue
                    .borrow_mut()
                    .retain(|part| part.sequence > sequence);
                self.acknowledged.set(sequence);
                self.synced.set(true);
                runner.acknowledge();
            }
            Held::Missing | Held::NotBackup => self.synced.set(false),
            // This instance may be the scheduler in the later view too, so its claims are kept
            // until the configuration says otherwise. Until then, the missing acknowledgement
            // prevents grants of requests that must run at most once.
            Held::Later(view) => {
                log::info!(
                    "stopped copying claims of {:?}: backup has view {view}, scheduler has {}",
                    runner.cell,
                    self.view
                );
                self.stopped.set(true);
            }
        }
    }
}

async fn run(copier: Rc<Copier>, runner: Weak<Runner>, link: Rc<Link<Traffic>>) {
    loop {
        copier.wait_for_work().await;
        let Some(runner) = runner.upgrade() else {
            return;
        };
        if copier.stopped.get() {
            return;
        }
        let batch = copier.next_batch(&runner);
        match send(&link, &batch).await {
            Some(answer) if !copier.stopped.get() => {
                copier.handle_answer(&runner, answer);
                if matches!(answer, Held::NotBackup) {
                    task::sleep(RETRY_PAUSE).await;
                }
            }
            Some(_) => return,
            None => task::sleep(RETRY_PAUSE).await,
        }
    }
}

async fn send(link: &Link<Traffic>, batch: &Batch) -> Option<Held> {
    let bytes = codec::encode(batch).ok()?;
    let call = async {
        let client = link.client().await.ok()?;
        let mut request = client.copy_request();
        request.get().set_batch(&bytes);
        let response = request.send().promise.await.ok()?;
        codec::decode(response.get().ok()?.get_held().ok()?).ok()
    };
    match future::timeout(ANSWER_TIMEOUT, call).await {
        Ok(answer) => answer,
        Err(_) => {
            link.reset();
            None
        }
    }
}
