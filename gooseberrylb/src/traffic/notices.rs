//! What this instance's entry has to tell the scheduler of one cell, kept until it was told.

use std::cell::{Cell as Slot, RefCell};
use std::collections::{BTreeMap, VecDeque};

use futures::channel::oneshot;
use gooseberrylb_config::number;
use gooseberrylb_policy::request::Id;
use gooseberrylb_policy::scheduler::Running;
use gooseberrylb_wire::message::Event;

/// The most events that wait for a scheduler; the oldest go first, and a scheduler that misses an
/// end finds out by the request's deadline.
const MAX_QUEUED: usize = 16_384;

/// The most events that go in one call.
const MAX_BATCH: usize = 256;

/// The events of one cell and the requests that run.
#[derive(Default)]
pub struct Outbox {
    queue: RefCell<VecDeque<Event>>,
    running: RefCell<BTreeMap<Id, Running>>,
    told_view: Slot<Option<number::View>>,
    wakeup: RefCell<Option<oneshot::Sender<()>>>,
}

impl Outbox {
    /// Notes a request that is about to be dispatched.
    pub fn add_running(&self, running: Running) {
        self.running
            .borrow_mut()
            .insert(running.request.id.clone(), running);
    }

    /// Queues an event; a request that ended runs no longer.
    pub fn push(&self, event: Event) {
        if let Event::End(end) = &event {
            self.running.borrow_mut().remove(&end.id);
        }
        let mut queue = self.queue.borrow_mut();
        if queue.len() >= MAX_QUEUED {
            queue.pop_front();
        }
        queue.push_back(event);
        drop(queue);
        self.wake();
    }

    /// The grant's upstream may have been told to others: what runs here, for a new scheduler.
    pub fn running(&self) -> Vec<Running> {
        self.running.borrow().values().cloned().collect()
    }

    /// The last view whose scheduler knows what runs here.
    pub fn told_view(&self) -> Option<number::View> {
        self.told_view.get()
    }

    /// Notes that the scheduler of `view` knows what runs here.
    pub fn set_told_view(&self, view: number::View) {
        self.told_view.set(Some(view));
    }

    /// Takes out the next events.
    pub fn take(&self) -> Vec<Event> {
        let mut queue = self.queue.borrow_mut();
        let count = queue.len().min(MAX_BATCH);
        queue.drain(..count).collect()
    }

    /// Puts back events that could not be told.
    pub fn put_back(&self, events: Vec<Event>) {
        let mut queue = self.queue.borrow_mut();
        for event in events.into_iter().rev() {
            queue.push_front(event);
        }
    }

    /// Whether no events wait.
    pub fn is_empty(&self) -> bool {
        self.queue.borrow().is_empty()
    }

    /// Has whoever waits for work look again.
    pub fn wake(&self) {
        if let Some(wakeup) = self.wakeup.take() {
            wakeup.send(()).ok();
        }
    }

    /// Waits until there may be work.
    pub async fn woken(&self) {
        let (wakeup, woken) = oneshot::channel();
        self.wakeup.replace(Some(wakeup));
        woken.await.ok();
    }
}
