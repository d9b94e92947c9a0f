//! One scheduler that runs here, with the entries that wait for its decisions.

use std::cell::{Cell as Slot, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Arc;

use futures::channel::oneshot;
use gooseberrylb_config::clock::Clock;
use gooseberrylb_config::directory::{Cell, Directory};
use gooseberrylb_config::number;
use gooseberrylb_policy::moves::evidence::Report;
use gooseberrylb_policy::request::{Id, Request};
use gooseberrylb_policy::scheduler::{Decision, End, Input, Output, Refusal, Scheduler};

use super::copier::Copier;
use super::trials::{self, Scene, Trials};
use crate::published::Snapshot;

/// When an entry may try again that asked the wrong scheduler.
pub const NOT_SCHEDULER_RETRY: std::time::Duration = std::time::Duration::from_millis(500);

struct Waiter {
    turn: u64,
    reply: oneshot::Sender<Decision>,
}

/// What a hosted scheduler is made of.
pub struct Parts {
    /// The cell.
    pub cell: Cell,
    /// The scheduler.
    pub scheduler: Scheduler,
    /// The last view in which the claims that it took over were whole.
    pub holds: Option<number::View>,
    /// The start of this instance.
    pub incarnation: u64,
    /// The time.
    pub clock: Arc<dyn Clock>,
}

/// A scheduler with what carries its decisions out.
pub struct Hosted {
    /// The cell.
    pub cell: Cell,
    scheduler: RefCell<Scheduler>,
    trials: Trials,
    clock: Arc<dyn Clock>,
    waiters: RefCell<HashMap<Id, Waiter>>,
    turns: Slot<u64>,
    copiers: RefCell<Vec<Rc<Copier>>>,
    retired: Slot<bool>,
    holds: Slot<Option<number::View>>,
}

/// The refusal of a request that came to the wrong scheduler.
pub fn not_scheduler() -> Decision {
    Decision::Refuse {
        reason: Refusal::NotScheduler,
        retry_after: NOT_SCHEDULER_RETRY,
    }
}

impl Hosted {
    /// Hosts a scheduler.
    pub fn new(parts: Parts) -> Rc<Self> {
        Rc::new(Self {
            trials: Trials::new(parts.cell.clone(), parts.incarnation),
            cell: parts.cell,
            scheduler: RefCell::new(parts.scheduler),
            clock: parts.clock,
            waiters: RefCell::default(),
            turns: Slot::new(0),
            copiers: RefCell::default(),
            retired: Slot::new(false),
            holds: Slot::new(parts.holds),
        })
    }

    /// Has the trials of versions follow the control state.
    pub fn follow_moves(&self, snapshot: &Snapshot) {
        let inputs = self.trials.configure(&Scene {
            now: self.clock.now(),
            wall: self.clock.wall(),
            view: self.view(),
            moves: &snapshot.moves,
            directory: &snapshot.directory,
        });
        for input in inputs {
            self.step(input);
        }
    }

    /// What the leader is to be told of versions under a move, when that is due.
    pub fn poll_trials(&self) -> Option<Report> {
        let report = self.trials.poll(self.clock.now())?;
        (!report.findings.is_empty()).then_some(report)
    }

    /// Takes in how a dispatched request ended.
    pub fn end(&self, end: End, directory: &Directory) {
        let now = self.clock.now();
        let sample = trials::sample(&self.scheduler.borrow(), directory, &end, now);
        self.step(Input::End(end));
        let Some(sample) = sample else {
            return;
        };
        for input in self.trials.record(now, &sample) {
            self.step(input);
        }
    }

    /// The view that it grants in.
    pub fn view(&self) -> number::View {
        self.scheduler.borrow().view().number
    }

    /// Whether a later view has taken over, as far as a backup said.
    pub fn is_retired(&self) -> bool {
        self.retired.get()
    }

    /// Reads the scheduler.
    pub fn read<T>(&self, query: impl FnOnce(&Scheduler) -> T) -> T {
        query(&self.scheduler.borrow())
    }

    /// Replaces the copiers, which sync their backups from the start.
    pub fn set_copiers(&self, copiers: Vec<Rc<Copier>>) {
        for old in self.copiers.replace(copiers) {
            old.stop();
        }
    }

    /// The last view in which every backup held all claims, as the scheduler did.
    pub fn holds(&self) -> Option<number::View> {
        if self.retired.get() {
            return self.holds.get();
        }
        let copiers = self.copiers.borrow();
        if self.reaches_all(&copiers) && copiers.iter().all(|copier| copier.is_synced()) {
            self.holds.set(Some(self.view()));
        }
        self.holds.get()
    }

    /// Feeds the scheduler, and carries out what it wants done.
    pub fn step(&self, input: Input) {
        if self.retired.get() {
            return;
        }
        let outputs = self.scheduler.borrow_mut().step(self.clock.now(), input);
        self.carry_out(outputs);
    }

    /// Moves to a view with other backups.
    pub fn change_view(&self, view: gooseberrylb_config::directory::View) {
        let outputs = self
            .scheduler
            .borrow_mut()
            .change_view(view, self.clock.now());
        self.carry_out(outputs);
    }

    fn carry_out(&self, outputs: Vec<Output>) {
        for output in outputs {
            match output {
                Output::Decide(id, decision) => self.decide(&id, decision),
                Output::Copy { sequence, records } => {
                    for copier in self.copiers.borrow().iter() {
                        copier.push(sequence, records.clone());
                    }
                    if self.has_no_backups() {
                        self.step(Input::Acknowledged(sequence));
                    }
                }
            }
        }
    }

    /// Whether there is a copier for each backup of the view; one whose address is not known yet must
    /// hold claims as well.
    fn reaches_all(&self, copiers: &[Rc<Copier>]) -> bool {
        copiers.len() == self.scheduler.borrow().view().backups.len()
    }

    /// Whether the view names no backups; one that it names must hold a claim, known here or not.
    fn has_no_backups(&self) -> bool {
        self.scheduler.borrow().view().backups.is_empty()
    }

    fn decide(&self, id: &Id, decision: Decision) {
        if let Some(waiter) = self.waiters.borrow_mut().remove(id) {
            // An entry that is gone asks anew or withdraws, by the same id.
            waiter.reply.send(decision).ok();
        }
    }

    /// Tells the scheduler how far every backup has come.
    pub fn acknowledge(&self) {
        let copiers = self.copiers.borrow();
        let held = copiers.iter().map(|copier| copier.held()).min();
        let held = held.filter(|_| self.reaches_all(&copiers));
        drop(copiers);
        if let Some(held) = held {
            self.step(Input::Acknowledged(held));
        }
    }

    /// Asks for leave to dispatch a request; a caller that stops waiting withdraws it.
    pub async fn enqueue(self: Rc<Self>, request: Request) -> Decision {
        if self.retired.get() {
            return not_scheduler();
        }
        let id = request.id.clone();
        let turn = self.turns.get() + 1;
        self.turns.set(turn);
        let (reply, decision) = oneshot::channel();
        self.waiters
            .borrow_mut()
            .insert(id.clone(), Waiter { turn, reply });
        let guard = Guard {
            hosted: self.clone(),
            id,
            turn,
        };
        self.step(Input::Enqueue(request));
        let decision = decision.await;
        drop(guard);
        decision.unwrap_or_else(|_| not_scheduler())
    }

    /// Ends the hosting: whoever waits is told to ask another.
    pub fn retire(&self) {
        self.retired.set(true);
        self.set_copiers(Vec::new());
        for (_, waiter) in self.waiters.borrow_mut().drain() {
            waiter.reply.send(not_scheduler()).ok();
        }
    }
}

/// Withdraws a request whose entry stopped waiting before the decision.
struct Guard {
    hosted: Rc<Hosted>,
    id: Id,
    turn: u64,
}

impl Drop for Guard {
    fn drop(&mut self) {
        let mut waiters = self.hosted.waiters.borrow_mut();
        // A later call for the same request has a turn of its own.
        if waiters
            .get(&self.id)
            .is_some_and(|waiter| waiter.turn == self.turn)
        {
            waiters.remove(&self.id);
            drop(waiters);
            self.hosted.step(Input::Withdraw(self.id.clone()));
        }
    }
}
