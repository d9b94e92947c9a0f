//! Keeps one backup's copy of a scheduler's claims up to date.

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

use super::hosted::Hosted;

/// How long a backup may take to answer.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(1_500);

/// The pause after a failed attempt.
const RETRY_PAUSE: Duration = Duration::from_millis(50);

/// The most parts that wait for one backup; beyond that, it is synced anew instead.
const MAX_QUEUED: usize = 4_096;

/// Copies claims to one backup.
pub struct Copier {
    view: number::View,
    queue: RefCell<VecDeque<Part>>,
    held: Slot<u64>,
    synced: Slot<bool>,
    stopped: Slot<bool>,
    wakeup: RefCell<Option<oneshot::Sender<()>>>,
}

impl Copier {
    /// Starts copying the claims of `hosted` over `link`, beginning with all of them.
    pub fn start(hosted: &Rc<Hosted>, link: Rc<Link<Traffic>>) -> Rc<Self> {
        let copier = Rc::new(Self {
            view: hosted.view(),
            queue: RefCell::default(),
            held: Slot::new(0),
            synced: Slot::new(false),
            stopped: Slot::new(false),
            wakeup: RefCell::default(),
        });
        task::spawn_local(run(copier.clone(), Rc::downgrade(hosted), link));
        copier
    }

    /// Queues the records of one number.
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

    /// The last number that the backup holds.
    pub fn held(&self) -> u64 {
        self.held.get()
    }

    /// Whether the backup holds all claims.
    pub fn is_synced(&self) -> bool {
        self.synced.get()
    }

    /// Ends the copying.
    pub fn stop(&self) {
        self.stopped.set(true);
        self.wake();
    }

    fn wake(&self) {
        if let Some(wakeup) = self.wakeup.take() {
            wakeup.send(()).ok();
        }
    }

    async fn work(&self) {
        if !self.synced.get() || !self.queue.borrow().is_empty() || self.stopped.get() {
            return;
        }
        let (wakeup, woken) = oneshot::channel();
        self.wakeup.replace(Some(wakeup));
        woken.await.ok();
    }

    fn next(&self, hosted: &Hosted) -> Batch {
        let (cell, view) = (hosted.cell.clone(), self.view);
        if self.synced.get() {
            let parts = self.queue.borrow().iter().cloned().collect();
            return Batch {
                cell,
                view,
                whole: false,
                parts,
            };
        }
        let (sequence, records) = hosted.read(|s| (s.sequence(), s.snapshot()));
        let mut queue = self.queue.borrow_mut();
        queue.retain(|part| part.sequence > sequence);
        Batch {
            cell,
            view,
            whole: true,
            parts: vec![Part { sequence, records }],
        }
    }

    fn note(&self, hosted: &Hosted, answer: Held) {
        match answer {
            Held::UpTo(sequence) => {
                self.queue
                    .borrow_mut()
                    .retain(|part| part.sequence > sequence);
                self.held.set(sequence);
                self.synced.set(true);
                hosted.acknowledge();
            }
            Held::Missing | Held::NotBackup => self.synced.set(false),
            // This instance may schedule in the later view too, so the claims are kept until the
            // configuration says; without this backup's word nothing that must run once is granted.
            Held::Later(view) => {
                log::info!(
                    "{:?} has moved to view {view}, so copying in view {} ends",
                    hosted.cell,
                    self.view
                );
                self.stopped.set(true);
            }
        }
    }
}

async fn run(copier: Rc<Copier>, hosted: Weak<Hosted>, link: Rc<Link<Traffic>>) {
    loop {
        copier.work().await;
        let Some(hosted) = hosted.upgrade() else {
            return;
        };
        if copier.stopped.get() {
            return;
        }
        let batch = copier.next(&hosted);
        match send(&link, &batch).await {
            Some(answer) if !copier.stopped.get() => {
                copier.note(&hosted, answer);
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
