//! Memory for the bodies of requests and responses that an entry holds in full.
//!
//! Each body is limited by itself; together they are limited by a share of the machine's memory. A body
//! that finds no room waits until others are dropped. See `docs/design/bounded-state.md`.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::ops::Deref;
use std::rc::Rc;
use std::time::Duration;

use async_std::future;
use futures::channel::oneshot;
use gooseberrylb_config::number::Bytes;
use thiserror::Error;

use crate::metrics::METRICS;

/// Size up to which a body needs no room in the budget. The number of connections bounds such bodies.
const MIN_SIZE: Bytes = Bytes(16 * 1024);

/// Step in which the room of a body grows whose size is not known in advance.
const STEP: Bytes = Bytes(64 * 1024);

/// Memory that bodies share.
#[derive(Debug)]
pub struct Budget {
    limit: Bytes,
    used: Cell<Bytes>,
    /// Bodies that wait for room, the first one first. Only that one may take any.
    waiting: RefCell<VecDeque<Waiter>>,
    next_waiter: Cell<u64>,
}

/// Body that waits for room.
#[derive(Debug)]
struct Waiter {
    number: u64,
    /// Channel that is notified when there may be room.
    notify: Option<oneshot::Sender<()>>,
}

impl Budget {
    /// Creates a budget of `limit` in total.
    pub fn new(limit: Bytes) -> Rc<Self> {
        Rc::new(Self {
            limit,
            used: Cell::default(),
            waiting: RefCell::default(),
            next_waiter: Cell::default(),
        })
    }

    /// Returns room of size 0, which waits for `max_wait` at most whenever it grows.
    pub fn room(self: &Rc<Self>, max_wait: Duration) -> Room {
        Room {
            budget: self.clone(),
            size: Bytes(0),
            max_wait,
        }
    }

    /// Whether `size` more fits. A body that is alone always fits, since each is limited by itself.
    fn fits(&self, size: Bytes) -> bool {
        let used = self.used.get();
        used.0 == 0 || used.0 + size.0 <= self.limit.0
    }

    /// Takes `size`, once it fits and no earlier body waits. Nothing is taken if the future is dropped.
    async fn take(self: &Rc<Self>, size: Bytes) {
        let mut place: Option<Place> = None;
        loop {
            let first = self.waiting.borrow().front().map(|waiter| waiter.number);
            let is_first = first.is_none() || first == place.as_ref().map(|place| place.number);
            if is_first && self.fits(size) {
                self.used.set(Bytes(self.used.get().0 + size.0));
                METRICS.body_bytes.add(size.0 as i64);
                return;
            }
            let place = place.get_or_insert_with(|| Place::new(self));
            place.wait().await;
        }
    }

    /// Tells the first body that waits to look for room again.
    fn notify_first(&self) {
        let mut waiting = self.waiting.borrow_mut();
        let notify = waiting.front_mut().and_then(|first| first.notify.take());
        if let Some(notify) = notify {
            // This fails if the body is given up, which notifies the next one.
            notify.send(()).ok();
        }
    }
}

/// Room of one body in a [`Budget`], given back when it is dropped.
#[derive(Debug)]
pub struct Room {
    budget: Rc<Budget>,
    size: Bytes,
    max_wait: Duration,
}

/// There was no room for a body in time.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("there is no memory for the body")]
pub struct Exhausted;

impl Room {
    /// Makes room for a body of `size`, once there is some.
    pub async fn grow(&mut self, size: Bytes) -> Result<(), Exhausted> {
        if size <= MIN_SIZE.max(self.size) {
            return Ok(());
        }
        let missing = Bytes((size.0 - self.size.0).max(STEP.0.min(size.0)));
        let taken = future::timeout(self.max_wait, self.budget.take(missing)).await;
        taken.map_err(|_| Exhausted)?;
        self.size.0 += missing.0;
        Ok(())
    }
}

impl Drop for Room {
    fn drop(&mut self) {
        if self.size.0 > 0 {
            let budget = &self.budget;
            budget.used.set(Bytes(budget.used.get().0 - self.size.0));
            METRICS.body_bytes.sub(self.size.0 as i64);
            budget.notify_first();
        }
    }
}

/// Place in the queue of bodies that wait for room.
struct Place {
    budget: Rc<Budget>,
    number: u64,
}

impl Place {
    fn new(budget: &Rc<Budget>) -> Self {
        let number = budget.next_waiter.get();
        budget.next_waiter.set(number + 1);
        let waiter = Waiter {
            number,
            notify: None,
        };
        budget.waiting.borrow_mut().push_back(waiter);
        METRICS.waiting_bodies.inc();
        Self {
            budget: budget.clone(),
            number,
        }
    }

    /// Waits until there may be room.
    async fn wait(&self) {
        let (notify, notified) = oneshot::channel();
        {
            let mut waiting = self.budget.waiting.borrow_mut();
            let own = waiting.iter_mut().find(|w| w.number == self.number);
            if let Some(own) = own {
                own.notify = Some(notify);
            }
        }
        notified.await.ok();
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        let number = self.number;
        self.budget
            .waiting
            .borrow_mut()
            .retain(|waiter| waiter.number != number);
        METRICS.waiting_bodies.dec();
        self.budget.notify_first();
    }
}

/// Body with its room.
#[derive(Debug)]
pub struct Body {
    bytes: Vec<u8>,
    _room: Option<Room>,
}

impl Body {
    /// Creates a body that was read into `room`.
    pub fn new(bytes: Vec<u8>, room: Room) -> Self {
        Self {
            bytes,
            _room: Some(room),
        }
    }

    /// Creates a body without content.
    pub fn empty() -> Self {
        Self {
            bytes: Vec::new(),
            _room: None,
        }
    }
}

impl Deref for Body {
    type Target = [u8];

    fn deref(&self) -> &[u8] {
        &self.bytes
    }
}

#[cfg(test)]
mod tests;
