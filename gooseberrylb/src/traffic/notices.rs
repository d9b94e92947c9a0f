//! Queues the events that this instance's entry reports to the scheduler of one cell until they are
//! delivered.

use std::cell::{Cell as Slot, RefCell};
use std::collections::{BTreeMap, VecDeque};

use futures::channel::oneshot;
use gooseberrylb_config::number;
use gooseberrylb_policy::request::Id;
use gooseberrylb_policy::scheduler::Running;
use gooseberrylb_wire::message::Event;

/// Maximum number of events queued for one scheduler. On overflow the oldest are dropped; a
/// scheduler that misses the end of a request notices at the request's deadline.
const MAX_QUEUED: usize = 16_384;

/// Maximum number of events sent in one call.
const MAX_BATCH: usize = 256;

/// Undelivered events of one cell, and the requests of this instance that run in it.
#[derive(Default)]
pub struct Outbox {
    queue: RefCell<VecDeque<Event>>,
    running: RefCell<BTreeMap<Id, Running>>,
    /// See [`Outbox::notified_view`].
    notified_view: Slot<Option<number::View>>,
    /// Wakes the task that delivers the events, while it waits.
    wakeup: RefCell<Option<oneshot::Sender<()>>>,
}

impl Outbox {
    /// Records a request that is about to be dispatched.
    pub fn add_running(&self, running: Running) {
        self.running
            .borrow_mut()
            .insert(running.request.id.clone(), running);
    }

    /// Queues an event; the end of a request also removes it from the running ones.
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

    /// Returns the requests of this instance that run. They are reported to a new scheduler, which
    /// may not know of their grants.
    pub fn running(&self) -> Vec<Running> {
        self.running.borrow().values().cloned().collect()
    }

    /// Returns the last view whose scheduler has received the running requests of this instance.
    pub fn notified_view(&self) -> Option<number::View> {
        self.notified_view.get()
    }

    /// Records that the scheduler of `view` has received the running requests of this instance.
    pub fn set_notified_view(&self, view: number::View) {
        self.notified_view.set(Some(view));
    }

    /// Removes and returns the next events, up to [`MAX_BATCH`].
    pub fn take(&self) -> Vec<Event> {
        let mut queue = self.queue.borrow_mut();
        let count = queue.len().min(MAX_BATCH);
        queue.drain(..count).collect()
    }

    /// Returns events that could not be delivered to the front of the queue.
    pub fn requeue(&self, events: Vec<Event>) {
        let mut queue = self.queue.borrow_mut();
        for event in events.into_iter().rev() {
            queue.push_front(event);
        }
    }

    /// Whether no events are queued.
    pub fn is_empty(&self) -> bool {
        self.queue.borrow().is_empty()
    }

    /// Wakes the task that waits in [`Outbox::wait`].
    pub fn wake(&self) {
        if let Some(wakeup) = self.wakeup.take() {
            wakeup.send(()).ok();
        }
    }

    /// Waits for the next call of [`Outbox::wake`].
    pub async fn wait(&self) {
        let (wakeup, woken) = oneshot::channel();
        self.wakeup.replace(Some(wakeup));
        woken.await.ok();
    }
}
